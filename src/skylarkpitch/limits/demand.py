"""Estimate an organisation's demand at one host."""

import math

from skylarkpitch.limits import shares

__all__ = ['DemandEstimator']

# Time constants of the fast and the slow average.
FAST_DECAY_S = 0.25
SLOW_DECAY_S = 2.0
# Factors on the estimated rate for a full and an empty bucket.
FULL_BUCKET_RATE_FACTOR = 1.2
EMPTY_BUCKET_RATE_FACTOR = 1.5
# Ratio of tokens to demand below which the burst is enlarged.
LOW_FILL_RATIO = 0.5
# Period whose expected calls the burst covers.
BURST_WINDOW_S = 0.5
# Rate below which an organisation without queued calls requires no share.
MIN_RATE_PER_S = 0.01


class DemandEstimator:
    """Estimate the call rate by two exponentially decaying averages.

    ``now_s`` is the host's monotonic time in seconds.
    """

    def __init__(self, *, now_s: float) -> None:
        self._fast = 0.0
        self._slow = 0.0
        self._updated_s = now_s

    def record_call(self, *, now_s: float) -> None:
        """Record one call."""
        self._decay(now_s)
        self._fast += 1 / FAST_DECAY_S
        self._slow += 1 / SLOW_DECAY_S

    def rate_per_s(self, *, now_s: float) -> float:
        """Return the calls a second; it rises quickly and falls slowly.

        The fast average is reduced by one call, since a single call does
        not indicate a rate.
        """
        self._decay(now_s)
        return max(self._fast - 1 / FAST_DECAY_S, self._slow)

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

        ``burst`` and ``tokens`` are the size and the content of the bucket
        in micro-tokens; ``queued`` is the number of waiting calls.
        ``headroom_tokens`` are whole tokens on top of the demand of half a
        second. A bucket that runs low requires a larger burst by the tokens
        that it lacks, since only an additional loan transfers tokens.
        """
        rate = self.rate_per_s(now_s=now_s)
        if rate < MIN_RATE_PER_S and not queued:
            return shares.ZERO
        burst_tokens = rate * BURST_WINDOW_S + headroom_tokens + queued
        fill_ratio = min(
            1.0, tokens / shares.MICROTOKENS_PER_TOKEN / burst_tokens
        )
        rate_factor = EMPTY_BUCKET_RATE_FACTOR
        rate_factor += (
            FULL_BUCKET_RATE_FACTOR - EMPTY_BUCKET_RATE_FACTOR
        ) * fill_ratio
        required = shares.from_tokens(
            rate_per_s=rate * rate_factor + queued, burst=burst_tokens
        )
        if fill_ratio < LOW_FILL_RATIO:
            required = required + shares.Share(0, max(0, burst - int(tokens)))
        return required.at_most(limit)

    def _decay(self, now_s: float) -> None:
        elapsed_s = now_s - self._updated_s
        if elapsed_s <= 0:
            return
        self._fast *= math.exp(-elapsed_s / FAST_DECAY_S)
        self._slow *= math.exp(-elapsed_s / SLOW_DECAY_S)
        self._updated_s = now_s
