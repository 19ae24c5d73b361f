"""Schedule changes of an organisation's limit and audit the spending.

``now_s`` is the host's monotonic time in seconds.
"""

from skylarkpitch import errors
from skylarkpitch.limits import shares

__all__ = ['EntitlementSchedule', 'SpendAudit']


class EntitlementSchedule:
    """Lower an entitlement at once and raise it after a delay.

    A new process has no entitlement until ``start_s``, a time of the host's
    clock, since loans of its previous run may last until then.
    """

    def __init__(self, *, start_s: float) -> None:
        self._start_s = start_s
        self._target: shares.Share | None = None
        self._usable = shares.ZERO
        self._raise_at_s = start_s

    def set_target(
        self, share: shares.Share, *, now_s: float, grace_s: float
    ) -> None:
        """Set the entitlement; an increase takes effect after ``grace_s``.

        The first one takes effect at ``start_s``, or now if that is later.
        """
        if share == self._target:
            return
        is_first = self._target is None
        self._target = share
        self._usable = self._usable.at_most(share)
        if is_first:
            self._raise_at_s = max(now_s, self._start_s)
        else:
            self._raise_at_s = max(now_s + grace_s, self._start_s)

    def usable(self, *, now_s: float) -> shares.Share:
        """Return the share that can be used or lent now."""
        if self._target is not None and now_s >= self._raise_at_s:
            self._usable = self._target
        return self._usable


class SpendAudit:
    """Check that one host alone spends no more than the whole limit.

    This is an independent token bucket with the organisation's whole rate
    and burst, refilled by the host's own clock. A lower limit is checked
    only after every loan made under the higher one has expired.
    """

    def __init__(self, *, limit: shares.Share, now_s: float) -> None:
        self._limit = limit
        self._pending_limit: tuple[float, shares.Share] | None = None
        self._tokens = float(limit.burst)
        self._updated_s = now_s

    def set_limit(
        self, limit: shares.Share, *, now_s: float, grace_s: float
    ) -> None:
        """Check against ``limit``; a decrease applies after ``grace_s``."""
        raised = self._limit.at_least(limit)
        self._tokens += raised.burst - self._limit.burst
        self._limit = raised
        self._pending_limit = (now_s + grace_s, limit)

    def record_spend(self, *, now_s: float) -> None:
        """Record one spent token.

        Raises ``InvariantError`` if the whole limit does not allow it.
        """
        if self._pending_limit is not None and now_s >= self._pending_limit[0]:
            self._limit, self._pending_limit = self._pending_limit[1], None
        elapsed_s = max(0.0, now_s - self._updated_s)
        self._updated_s = max(now_s, self._updated_s)
        refilled = self._tokens + elapsed_s * self._limit.rate
        self._tokens = (
            min(refilled, self._limit.burst) - shares.MICROTOKENS_PER_TOKEN
        )
        if self._tokens < -shares.MICROTOKENS_PER_TOKEN / 1000:
            raise errors.InvariantError(
                'this host exceeded burst + rate x window of an organisation; '
                'report this with the log, and restart the host'
            )
