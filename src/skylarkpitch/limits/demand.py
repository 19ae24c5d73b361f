"""Estimate an organisation's demand at one host."""

import math

from skylarkpitch.limits import shares

__all__ = ['Demand']

FAST_S = 0.25
SLOW_S = 2.0
RATE_MARGIN = 1.3
BURST_S = 0.5
SPARE_TOKENS = 1


class Demand:
    """Count calls with two decaying averages, one fast and one slow."""

    def __init__(self, *, now_s: float) -> None:
        self._fast = 0.0
        self._slow = 0.0
        self._updated_s = now_s

    def count(self, *, now_s: float) -> None:
        """Count one call."""
        self._decay(now_s)
        self._fast += 1 / FAST_S
        self._slow += 1 / SLOW_S

    def rate_per_s(self, *, now_s: float) -> float:
        """Return the calls a second, quick to rise and slow to fall.

        The fast average leaves out one call, since a single one says
        nothing of a rate.
        """
        self._decay(now_s)
        return max(self._fast - 1 / FAST_S, self._slow)

    def need(
        self, *, now_s: float, queued: int, limit: shares.Share
    ) -> shares.Share:
        """Return the share that covers the demand, within ``limit``."""
        rate = self.rate_per_s(now_s=now_s)
        if rate < 0.01 and not queued:
            return shares.NOTHING
        wanted = shares.of(
            rate_per_s=rate * RATE_MARGIN + queued,
            burst=rate * BURST_S + SPARE_TOKENS + queued,
        )
        return wanted.at_most(limit)

    def _decay(self, now_s: float) -> None:
        elapsed_s = now_s - self._updated_s
        if elapsed_s <= 0:
            return
        self._fast *= math.exp(-elapsed_s / FAST_S)
        self._slow *= math.exp(-elapsed_s / SLOW_S)
        self._updated_s = now_s
