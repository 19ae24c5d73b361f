"""Bring changes of an organisation's limit into force."""

from skylarkpitch import errors
from skylarkpitch.limits import shares

__all__ = ['EntitlementSchedule', 'SpendAudit']


class EntitlementSchedule:
    """Lower an entitlement at once and raise it after a wait.

    A new process starts with nothing: loans that an earlier one gave may
    run until ``first_s``, a time of the host's clock.
    """

    def __init__(self, *, start_s: float) -> None:
        self._start_s = start_s
        self._target: shares.Share | None = None
        self._usable = shares.ZERO
        self._raise_s = start_s

    def set_target(
        self, share: shares.Share, *, now_s: float, grace_s: float
    ) -> None:
        """Aim at ``share``; a raise waits ``grace_s`` from now."""
        if share == self._target:
            return
        first = self._target is None
        self._target = share
        self._usable = self._usable.at_most(share)
        if first:
            self._raise_s = max(now_s, self._start_s)
        else:
            self._raise_s = max(now_s + grace_s, self._start_s)

    def usable(self, *, now_s: float) -> shares.Share:
        """Return what may be used or lent now."""
        if self._target is not None and now_s >= self._raise_s:
            self._usable = self._target
        return self._usable


class SpendAudit:
    """Check that one host alone spends within the whole limit.

    An independent bucket with the organisation's whole rate and burst,
    refilled by the host's own clock. A lower limit is checked from when
    every loan of the higher one has ended.
    """

    def __init__(self, *, limit: shares.Share, now_s: float) -> None:
        self._limit = limit
        self._next: tuple[float, shares.Share] | None = None
        self._tokens = float(limit.burst)
        self._updated_s = now_s

    def set_limit(
        self, limit: shares.Share, *, now_s: float, grace_s: float
    ) -> None:
        """Check against ``limit``, where lower after ``grace_s``."""
        raised = self._limit.at_least(limit)
        self._tokens += raised.burst - self._limit.burst
        self._limit = raised
        self._next = (now_s + grace_s, limit)

    def record_spend(self, *, now_s: float) -> None:
        """Count one token; raises ``InvariantError`` if there is none."""
        if self._next is not None and now_s >= self._next[0]:
            self._limit, self._next = self._next[1], None
        elapsed_s = max(0.0, now_s - self._updated_s)
        self._updated_s = max(now_s, self._updated_s)
        refilled = self._tokens + elapsed_s * self._limit.rate
        self._tokens = (
            min(refilled, self._limit.burst) - shares.MICROTOKENS_PER_TOKEN
        )
        if self._tokens < -shares.MICROTOKENS_PER_TOKEN / 1000:
            raise errors.InvariantError(
                'one host spends over burst + rate x window of an '
                'organisation; report this with the log, and restart the host'
            )
