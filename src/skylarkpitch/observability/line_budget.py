"""Limit the rate of log lines of each event."""

import dataclasses

__all__ = ['LineBudget']


@dataclasses.dataclass(slots=True)
class _EventBucket:
    tokens: float
    refilled_at_s: float
    suppressed: int = 0


class LineBudget:
    """Token bucket for each event, which counts the suppressed lines.

    ``per_s`` is the rate and ``burst`` the size of each bucket, in lines.
    """

    def __init__(self, *, per_s: float, burst: float) -> None:
        self._per_s = per_s
        self._burst = burst
        self._buckets: dict[str, _EventBucket] = {}

    def consume(self, event: str, *, now_s: float) -> int | None:
        """Spend one token of an event's bucket.

        Returns how many lines of the event were suppressed since the last
        one written, or None if this line is suppressed as well.
        """
        bucket = self._buckets.get(event)
        if bucket is None:
            bucket = self._buckets[event] = _EventBucket(self._burst, now_s)
        refill = self._per_s * max(0.0, now_s - bucket.refilled_at_s)
        bucket.tokens = min(self._burst, bucket.tokens + refill)
        bucket.refilled_at_s = now_s
        if bucket.tokens < 1:
            bucket.suppressed += 1
            return None
        bucket.tokens -= 1
        suppressed, bucket.suppressed = bucket.suppressed, 0
        return suppressed
