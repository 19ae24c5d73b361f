"""Estimate of a rate of events."""

import math

__all__ = ['RateMeter']


class RateMeter:
    """Exponentially weighted moving rate with time constant ``tau_s``."""

    def __init__(self, *, tau_s: float, now_s: float) -> None:
        self._tau_s = tau_s
        self._per_s = 0.0
        self._last_s = now_s
        self._began_s = now_s

    def add(self, *, now_s: float, count: int = 1) -> None:
        """Record ``count`` events at ``now_s``."""
        self._per_s = self.per_s(now_s=now_s) + count / self._tau_s
        self._last_s = now_s

    def per_s(self, *, now_s: float) -> float:
        """Return the rate at ``now_s``, in events per second."""
        age_s = max(0.0, now_s - self._last_s)
        return self._per_s * math.exp(-age_s / self._tau_s)
