"""Count the slots of one upstream exactly.

A request is sent only with a slot in hand. Announced slots and connections
are the ceiling; ramp, reports and back-off only ever lower it.
"""

import dataclasses
import math
import random

from skylarkpitch import errors
from skylarkpitch.membership import backoff as backoffs
from skylarkpitch import ports

__all__ = ['Report', 'UpstreamSlots']

ANSWERS_THAT_REFUTE_A_REPORT = 5
PEAK_WINDOW_S = 2.0
CANCELLATION_S = 0.25
_CUT_SHORT = frozenset(
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
class Report:
    """What an upstream says about itself."""

    slots: int
    connections: int
    load_percent: float = 0.0
    healthy: bool = True


class UpstreamSlots:
    """Hold the slots of one upstream that this host owns.

    Raises ``InvariantError`` when a slot is taken that is not free.
    """

    def __init__(self, *, report: Report, ramp_s: float, now_s: float) -> None:
        self.report = report
        self.backoff = backoffs.Backoff()
        self.in_use = 0
        self.lease_until_s = 0.0
        self.open = True
        self._ramp_s = ramp_s
        self._warm_from_s = now_s
        self._blocked: dict[str, tuple[float, int]] = {}
        self._deadlines_s: dict[int, float] = {}
        self._next_token = 0
        self._answers_since_report = 0
        self._peak = 0
        self._peak_s = now_s

    @property
    def ceiling(self) -> int:
        """Return the slots that the upstream itself has announced."""
        return min(self.report.slots, self.report.connections)

    def announce(self, report: Report, *, ramp_s: float) -> None:
        """Take a new report of the same process of the upstream."""
        changed = report.healthy != self.report.healthy
        if changed or report.load_percent != self.report.load_percent:
            self._answers_since_report = 0
        self.report = report
        self._ramp_s = ramp_s

    def restart(self, *, now_s: float) -> None:
        """Begin the ramp again for a new process of the upstream."""
        self._warm_from_s = now_s
        self.backoff.succeeded()

    def served_for_s(self, *, now_s: float) -> float:
        """Return the time since the ramp began."""
        return now_s - self._warm_from_s

    def served_before(self, served_for_s: float, *, now_s: float) -> None:
        """Take it that the ramp began under an earlier owner."""
        began_s = now_s - served_for_s
        self._warm_from_s = min(self._warm_from_s, began_s)

    def block(self, source: str, count: int, *, until_s: float) -> None:
        """Count slots as busy with work that an earlier owner sent.

        A later count from the same source replaces the earlier one.
        """
        self._blocked[source] = (until_s, count)

    def lower_block(self, source: str, count: int) -> None:
        """Take it that fewer slots of a source are busy than before."""
        if source in self._blocked:
            until_s, before = self._blocked[source]
            self._blocked[source] = (until_s, min(before, count))

    def blocked(self, *, now_s: float) -> int:
        """Return the slots that an earlier owner's work may still hold."""
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

    def is_warm(self, *, now_s: float) -> bool:
        """Tell whether the ramp is over."""
        return now_s - self._warm_from_s >= self._ramp_s

    def limit(self, *, now_s: float) -> int:
        """Return how many slots may be in use now."""
        if not self.open or now_s >= self.lease_until_s:
            return 0
        if self.backoff.is_off(now_s=now_s):
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
        """Return the slots that may be taken now."""
        room = self.limit(now_s=now_s) - self.in_use
        if room <= 0:
            return 0
        unused = self.ceiling - self.in_use - self.blocked(now_s=now_s)
        return max(0, min(room, unused))

    def take(self, *, now_s: float, until_s: float) -> int:
        """Take a slot for work that ends by ``until_s``; return a token."""
        if self.free(now_s=now_s) < 1:
            raise errors.InvariantError(
                f'a slot was taken with {self.in_use} of {self.ceiling} in '
                'use and none free; report this as a defect'
            )
        self.in_use += 1
        self._next_token += 1
        self._deadlines_s[self._next_token] = until_s
        if self.in_use >= self._peak or now_s - self._peak_s > PEAK_WINDOW_S:
            self._peak = self.in_use
            self._peak_s = now_s
        return self._next_token

    def finish(
        self,
        token: int,
        exchange: ports.ExchangeOutcome,
        *,
        now_s: float,
        rng: random.Random,
    ) -> None:
        """Give a slot back and judge the upstream by the exchange.

        A call that was cut short counts as busy until the upstream has
        surely learned of it.
        """
        if self._deadlines_s.pop(token, None) is None:
            raise errors.InvariantError(
                f'slot {token} was given back twice; report this as a defect'
            )
        self.in_use -= 1
        if exchange in _CUT_SHORT:
            until_s = now_s + CANCELLATION_S
            self.block(f'cancelled#{token}', 1, until_s=until_s)
        if exchange in _FAILURES:
            self._answers_since_report = 0
            self.backoff.failed(now_s=now_s, rng=rng)
        elif exchange is ports.ExchangeOutcome.ANSWERED:
            self._succeeded(now_s)

    def _succeeded(self, now_s: float) -> None:
        self._answers_since_report += 1
        if not self.backoff.is_probing(now_s=now_s):
            return
        fraction = self.backoff.resume_fraction()
        self._warm_from_s = now_s - self._ramp_s * fraction
        self.backoff.succeeded()

    def _ramp_limit(self, ceiling: int, now_s: float) -> int:
        age_s = now_s - self._warm_from_s
        if age_s >= self._ramp_s:
            return ceiling
        return 1 + math.floor((ceiling - 1) * age_s / self._ramp_s)

    def _report_limit(self, ceiling: int, now_s: float) -> int:
        if self._answers_since_report >= ANSWERS_THAT_REFUTE_A_REPORT:
            if not self.report.healthy:
                return ceiling
        elif not self.report.healthy:
            return min(1, ceiling)
        reported = math.ceil(self.report.load_percent * ceiling / 100)
        ours = max(self.in_use, self._recent_peak(now_s))
        elsewhere = max(0, reported - ours)
        return max(min(1, ceiling), ceiling - elsewhere)

    def _recent_peak(self, now_s: float) -> int:
        if now_s - self._peak_s > 2 * PEAK_WINDOW_S:
            return self.in_use
        return self._peak
