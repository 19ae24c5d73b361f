"""Estimate an organisation's demand at one host."""

import math

from skylarkpitch.limits import shares

__all__ = ['DemandEstimator']

FAST_S = 0.25
SLOW_S = 2.0
FULL_RATE_MARGIN = 1.2
EMPTY_RATE_MARGIN = 1.5
LOW_FILL = 0.5
BURST_S = 0.5


class DemandEstimator:
    """Count calls with two decaying averages, one fast and one slow."""

    def __init__(self, *, now_s: float) -> None:
        self._fast = 0.0
        self._slow = 0.0
        self._updated_s = now_s

    def record_call(self, *, now_s: float) -> None:
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

    def required_share(
        self,
        *,
        now_s: float,
        queued: int,
        limit: shares.Share,
        burst: int,
        tokens: float,
        headroom_tokens: float,
    ) -> shares.Share:
        """Return the share that covers the demand, within ``limit``.

        ``burst`` and ``tokens`` are the size of the bucket and what lies in
        it, in micro-tokens; ``spare_tokens`` are kept beyond the demand of
        half a second. A bucket that runs low needs room beyond its
        size, since only room that is lent anew brings tokens with it.
        """
        rate = self.rate_per_s(now_s=now_s)
        if rate < 0.01 and not queued:
            return shares.ZERO
        wanted = rate * BURST_S + headroom_tokens + queued
        fill = min(1.0, tokens / shares.MICROTOKENS_PER_TOKEN / wanted)
        margin = EMPTY_RATE_MARGIN
        margin += (FULL_RATE_MARGIN - EMPTY_RATE_MARGIN) * fill
        needed = shares.from_tokens(
            rate_per_s=rate * margin + queued, burst=wanted
        )
        if fill < LOW_FILL:
            needed = needed + shares.Share(0, max(0, burst - int(tokens)))
        return needed.at_most(limit)

    def _decay(self, now_s: float) -> None:
        elapsed_s = now_s - self._updated_s
        if elapsed_s <= 0:
            return
        self._fast *= math.exp(-elapsed_s / FAST_S)
        self._slow *= math.exp(-elapsed_s / SLOW_S)
        self._updated_s = now_s
