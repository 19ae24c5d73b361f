"""Statistics of the calls of one scenario, as callers see them."""

import collections
import dataclasses

__all__ = ['CallStatistics', 'CompletedCall', 'IdealBucket']

RATE_REFUSED = 'rate_exceeded'
ANSWERED = 'answered'


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CompletedCall:
    """A completed call as its caller sees it."""

    organisation: str
    outcome: str
    latency_s: float


class IdealBucket:
    """A central token bucket that sees every call without delay."""

    def __init__(self, *, rate_per_s: float, burst: float) -> None:
        self._rate_per_s = rate_per_s
        self._burst = burst
        self._tokens = burst
        self._updated_s = 0.0

    def consume(self, *, now_s: float) -> bool:
        """Consume one token and return whether there was one."""
        elapsed_s = now_s - self._updated_s
        self._updated_s = now_s
        self._tokens += elapsed_s * self._rate_per_s
        self._tokens = min(self._tokens, self._burst)
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


class CallStatistics:
    """Collect the calls of one run and compute its figures.

    Refusals by rate are wrongful as far as they outnumber the calls that the
    ideal bucket of the organisation would have refused.
    """

    def __init__(self, *, limits: dict[str, tuple[float, float]]) -> None:
        self._buckets = {
            name: IdealBucket(rate_per_s=rate, burst=burst)
            for name, (rate, burst) in limits.items()
        }
        self._within_limit: collections.Counter[str] = collections.Counter()
        self._over_limit: collections.Counter[str] = collections.Counter()
        self._rate_refused: collections.Counter[str] = collections.Counter()
        self._outcomes: collections.Counter[str] = collections.Counter()
        self._answered: collections.Counter[str] = collections.Counter()
        self._latencies_s: list[float] = []
        self.headroom_percent = 100.0
        self.drain_s = 0.0

    def record_start(self, organisation: str, *, now_s: float) -> None:
        """Record that a caller sends a call."""
        if self._buckets[organisation].consume(now_s=now_s):
            self._within_limit[organisation] += 1
        else:
            self._over_limit[organisation] += 1

    def record_end(self, call: CompletedCall) -> None:
        """Record a completed call."""
        self._outcomes[call.outcome] += 1
        if call.outcome == RATE_REFUSED:
            self._rate_refused[call.organisation] += 1
        if call.outcome == ANSWERED:
            self._answered[call.organisation] += 1
            self._latencies_s.append(call.latency_s)

    def sample_headroom(self, percent: float) -> None:
        """Update the lowest headroom, in percent of all slots."""
        self.headroom_percent = min(self.headroom_percent, percent)

    def report(self) -> dict[str, float | dict]:
        """Return the figures of the run as a JSON object."""
        within_limit = sum(self._within_limit.values())
        wrongful_refusals = sum(
            max(0, self._rate_refused[name] - self._over_limit[name])
            for name in self._buckets
        )
        answered_percents = [
            100 * self._answered[name] / self._within_limit[name]
            for name in self._buckets
            if self._within_limit[name] and not self._over_limit[name]
        ]
        return {
            'p50_ms': self._percentile_ms(50),
            'p99_ms': self._percentile_ms(99),
            'headroom_percent': round(self.headroom_percent, 1),
            'drain_s': round(self.drain_s, 2),
            'worst_organisation_answered_percent': round(
                min(answered_percents, default=0.0), 2
            ),
            'best_organisation_answered_percent': round(
                max(answered_percents, default=0.0), 2
            ),
            'wrongful_refusals_percent': round(
                100 * wrongful_refusals / max(1, within_limit), 3
            ),
            'calls': sum(self._outcomes.values()),
            'outcomes': dict(self._outcomes.most_common()),
        }

    def _percentile_ms(self, percent: int) -> float:
        if not self._latencies_s:
            return 0.0
        sorted_s = sorted(self._latencies_s)
        index = min(len(sorted_s) - 1, len(sorted_s) * percent // 100)
        return round(sorted_s[index] * 1000, 1)
