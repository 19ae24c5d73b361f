"""Count what the users measure in one scenario."""

import collections
import dataclasses

__all__ = ['Call', 'IdealBucket', 'Measures']

RATE_REFUSED = 'rate_exceeded'
ANSWERED = 'answered'


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Call:
    """One call as its caller sees it."""

    organisation: str
    outcome: str
    latency_s: float


class IdealBucket:
    """One central bucket that knows every call at once."""

    def __init__(self, *, rate_per_s: float, burst: float) -> None:
        self._rate_per_s = rate_per_s
        self._burst = burst
        self._tokens = burst
        self._updated_s = 0.0

    def take(self, *, now_s: float) -> bool:
        """Take one token if there is one."""
        elapsed_s = now_s - self._updated_s
        self._updated_s = now_s
        self._tokens += elapsed_s * self._rate_per_s
        self._tokens = min(self._tokens, self._burst)
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


class Measures:
    """Gather the calls of one run.

    A refusal by rate is wrongful where the ideal bucket of the organisation
    would have let more calls through than were let through.
    """

    def __init__(self, *, limits: dict[str, tuple[float, float]]) -> None:
        self._buckets = {
            name: IdealBucket(rate_per_s=rate, burst=burst)
            for name, (rate, burst) in limits.items()
        }
        self._within: collections.Counter[str] = collections.Counter()
        self._outside: collections.Counter[str] = collections.Counter()
        self._refused: collections.Counter[str] = collections.Counter()
        self._outcomes: collections.Counter[str] = collections.Counter()
        self._answered: collections.Counter[str] = collections.Counter()
        self._latencies_s: list[float] = []
        self.headroom_percent = 100.0
        self.drain_s = 0.0

    def arrive(self, organisation: str, *, now_s: float) -> None:
        """Count a call that sets out."""
        if self._buckets[organisation].take(now_s=now_s):
            self._within[organisation] += 1
        else:
            self._outside[organisation] += 1

    def end(self, call: Call) -> None:
        """Count a call that came to its end."""
        self._outcomes[call.outcome] += 1
        if call.outcome == RATE_REFUSED:
            self._refused[call.organisation] += 1
        if call.outcome == ANSWERED:
            self._answered[call.organisation] += 1
            self._latencies_s.append(call.latency_s)

    def sample_headroom(self, percent: float) -> None:
        """Keep the lowest headroom seen."""
        self.headroom_percent = min(self.headroom_percent, percent)

    def report(self) -> dict[str, float | dict]:
        """Return the figures of the run."""
        within = sum(self._within.values())
        wrongful = sum(
            max(0, self._refused[name] - self._outside[name])
            for name in self._buckets
        )
        shares = [
            100 * self._answered[name] / self._within[name]
            for name in self._buckets
            if self._within[name] and not self._outside[name]
        ]
        return {
            'p50_ms': self._percentile_ms(50),
            'p99_ms': self._percentile_ms(99),
            'headroom_percent': round(self.headroom_percent, 1),
            'drain_s': round(self.drain_s, 2),
            'worst_organisation_answered_percent': round(
                min(shares, default=0.0), 2
            ),
            'best_organisation_answered_percent': round(
                max(shares, default=0.0), 2
            ),
            'wrongful_refusals_percent': round(
                100 * wrongful / max(1, within), 3
            ),
            'calls': sum(self._outcomes.values()),
            'outcomes': dict(self._outcomes.most_common()),
        }

    def _percentile_ms(self, percent: int) -> float:
        if not self._latencies_s:
            return 0.0
        ordered = sorted(self._latencies_s)
        position = min(len(ordered) - 1, len(ordered) * percent // 100)
        return round(ordered[position] * 1000, 1)
