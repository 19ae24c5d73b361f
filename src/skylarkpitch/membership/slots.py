"""Exact count of the slots of one upstream.

A request is sent only with a reserved slot. The announced slots and
connections are the upper bound; the ramp, load reports and backoff only lower
it.
"""

import dataclasses
import math
import random

from skylarkpitch import errors
from skylarkpitch.membership import backoff as backoffs
from skylarkpitch import ports

__all__ = ['UpstreamReport', 'UpstreamSlots']

# Successful requests without a failure after which a report of bad health is
# ignored.
SUCCESSES_TO_IGNORE_REPORT = 5
# The slots in use are compared with a load report by their recent peak.
PEAK_WINDOW_S = 2.0
CANCELLATION_DELAY_S = 0.25
_INTERRUPTED = frozenset(
    (ports.ExchangeOutcome.TIMED_OUT, ports.ExchangeOutcome.CANCELLED)
)
_FAILURES = frozenset(
    (
        ports.ExchangeOutcome.SHED,
        ports.ExchangeOutcome.FAILED,
        ports.ExchangeOutcome.TIMED_OUT,
    )
)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class UpstreamReport:
    """Capacity and load that an upstream reports.

    ``load_percent`` is the load from all sources, relative to the slots.
    """

    slots: int
    connections: int
    load_percent: float = 0.0
    healthy: bool = True


class UpstreamSlots:
    """Slots of one upstream that this host owns.

    For ``ramp_s`` after the start of a process the number of usable slots
    grows linearly from one. ``lease_until_s`` is the end of the ownership
    lease; without ``accepts_work`` no slot is free.
    """

    def __init__(
        self, *, report: UpstreamReport, ramp_s: float, now_s: float
    ) -> None:
        self.report = report
        self.backoff = backoffs.Backoff()
        self.in_use = 0
        self.lease_until_s = 0.0
        self.accepts_work = True
        self._ramp_s = ramp_s
        self._ramp_started_s = now_s
        self._blocked: dict[str, tuple[float, int]] = {}
        self._deadlines_s: dict[int, float] = {}
        self._next_token = 0
        self._successes_since_report = 0
        self._peak = 0
        self._peak_at_s = now_s

    @property
    def ceiling(self) -> int:
        """Return the number of slots that the upstream has announced."""
        return min(self.report.slots, self.report.connections)

    def update_report(self, report: UpstreamReport, *, ramp_s: float) -> None:
        """Store a new report of the same process of the upstream."""
        changed = report.healthy != self.report.healthy
        if changed or report.load_percent != self.report.load_percent:
            self._successes_since_report = 0
        self.report = report
        self._ramp_s = ramp_s

    def restart_ramp(self, *, now_s: float) -> None:
        """Restart the ramp for a new process of the upstream."""
        self._ramp_started_s = now_s
        self.backoff.reset()

    def ramp_age_s(self, *, now_s: float) -> float:
        """Return the seconds since the ramp started."""
        return now_s - self._ramp_started_s

    def extend_ramp_age(self, ramp_age_s: float, *, now_s: float) -> None:
        """Move the start of the ramp back to its start under an earlier owner.

        ``ramp_age_s`` is the time since that start. The start is never moved
        to a later time.
        """
        started_s = now_s - ramp_age_s
        self._ramp_started_s = min(self._ramp_started_s, started_s)

    def block(self, source: str, count: int, *, until_s: float) -> None:
        """Count slots as busy with work that an earlier owner sent.

        A later count from the same ``source`` replaces the earlier one. The
        slots are free again at ``until_s``.
        """
        self._blocked[source] = (until_s, count)

    def reduce_block(self, source: str, count: int) -> None:
        """Lower the slots that are blocked for a source to ``count``."""
        if source in self._blocked:
            until_s, before = self._blocked[source]
            self._blocked[source] = (until_s, min(before, count))

    def blocked(self, *, now_s: float) -> int:
        """Return the slots that may be busy with an earlier owner's work."""
        if not self._blocked:
            return 0
        for source, (until_s, _) in list(self._blocked.items()):
            if until_s <= now_s:
                del self._blocked[source]
        return sum(count for _, count in self._blocked.values())

    def busy(self, *, now_s: float) -> tuple[int, float]:
        """Return the busy slots and the seconds until the last is free."""
        ends_s = [*self._deadlines_s.values()]
        count = self.in_use + self.blocked(now_s=now_s)
        ends_s.extend(until_s for until_s, _ in self._blocked.values())
        return count, max(0.0, max(ends_s, default=now_s) - now_s)

    def is_ramped_up(self, *, now_s: float) -> bool:
        """Return whether the ramp has ended."""
        return now_s - self._ramp_started_s >= self._ramp_s

    def limit(self, *, now_s: float) -> int:
        """Return how many slots may be in use now."""
        if not self.accepts_work or now_s >= self.lease_until_s:
            return 0
        if self.backoff.is_in_backoff(now_s=now_s):
            return 0
        ceiling = self.ceiling
        if self.backoff.is_probing(now_s=now_s):
            return min(1, ceiling)
        return min(
            ceiling,
            self._ramp_limit(ceiling, now_s),
            self._report_limit(ceiling, now_s),
        )

    def free(self, *, now_s: float) -> int:
        """Return the number of slots that may be reserved now."""
        allowed = self.limit(now_s=now_s) - self.in_use
        if allowed <= 0:
            return 0
        unused = self.ceiling - self.in_use - self.blocked(now_s=now_s)
        return max(0, min(allowed, unused))

    def reserve(self, *, now_s: float, until_s: float) -> int:
        """Reserve a slot for work that ends by ``until_s``; return a token.

        Raises ``InvariantError`` when no slot is free.
        """
        if self.free(now_s=now_s) < 1:
            raise errors.InvariantError(
                f'a slot was reserved with {self.in_use} of {self.ceiling} '
                'in use and none free; report this as a defect'
            )
        self.in_use += 1
        self._next_token += 1
        self._deadlines_s[self._next_token] = until_s
        if (
            self.in_use >= self._peak
            or now_s - self._peak_at_s > PEAK_WINDOW_S
        ):
            self._peak = self.in_use
            self._peak_at_s = now_s
        return self._next_token

    def finish(
        self,
        token: int,
        exchange: ports.ExchangeOutcome,
        *,
        now_s: float,
        rng: random.Random,
    ) -> None:
        """Release a slot and record the outcome of its request.

        A request that timed out or was cancelled counts as busy for another
        ``CANCELLATION_DELAY_S``, until the upstream has received the
        cancellation. Raises ``InvariantError`` for a token that was released
        before.
        """
        if self._deadlines_s.pop(token, None) is None:
            raise errors.InvariantError(
                f'slot {token} was released twice; report this as a defect'
            )
        self.in_use -= 1
        if exchange in _INTERRUPTED:
            until_s = now_s + CANCELLATION_DELAY_S
            self.block(f'cancelled#{token}', 1, until_s=until_s)
        if exchange in _FAILURES:
            self._successes_since_report = 0
            self.backoff.record_failure(now_s=now_s, rng=rng)
        elif exchange is ports.ExchangeOutcome.ANSWERED:
            self._record_success(now_s)

    def _record_success(self, now_s: float) -> None:
        self._successes_since_report += 1
        if not self.backoff.is_probing(now_s=now_s):
            return
        fraction = self.backoff.resume_fraction()
        self._ramp_started_s = now_s - self._ramp_s * fraction
        self.backoff.reset()

    def _ramp_limit(self, ceiling: int, now_s: float) -> int:
        age_s = now_s - self._ramp_started_s
        if age_s >= self._ramp_s:
            return ceiling
        return 1 + math.floor((ceiling - 1) * age_s / self._ramp_s)

    def _report_limit(self, ceiling: int, now_s: float) -> int:
        if self._successes_since_report >= SUCCESSES_TO_IGNORE_REPORT:
            if not self.report.healthy:
                return ceiling
        elif not self.report.healthy:
            return min(1, ceiling)
        reported = math.ceil(self.report.load_percent * ceiling / 100)
        local = max(self.in_use, self._recent_peak(now_s))
        remote = max(0, reported - local)
        return max(min(1, ceiling), ceiling - remote)

    def _recent_peak(self, now_s: float) -> int:
        if now_s - self._peak_at_s > 2 * PEAK_WINDOW_S:
            return self.in_use
        return self._peak
