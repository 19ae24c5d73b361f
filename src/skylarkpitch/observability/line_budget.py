"""Bound how many log lines of each kind a process writes."""

import dataclasses

__all__ = ['LineBudget']


@dataclasses.dataclass(slots=True)
class _Kind:
    tokens: float
    filled_s: float
    left_out: int = 0


class LineBudget:
    """A rate and a burst for each event; what is left out is counted."""

    def __init__(self, *, per_s: float, burst: float) -> None:
        self._per_s = per_s
        self._burst = burst
        self._kinds: dict[str, _Kind] = {}

    def consume(self, event: str, *, now_s: float) -> int | None:
        """Return how many lines were left out before this one.

        ``None`` leaves this one out too.
        """
        kind = self._kinds.get(event)
        if kind is None:
            kind = self._kinds[event] = _Kind(self._burst, now_s)
        gained = self._per_s * max(0.0, now_s - kind.filled_s)
        kind.tokens = min(self._burst, kind.tokens + gained)
        kind.filled_s = now_s
        if kind.tokens < 1:
            kind.left_out += 1
            return None
        kind.tokens -= 1
        left_out, kind.left_out = kind.left_out, 0
        return left_out
