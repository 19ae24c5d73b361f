"""Judge one upstream: how full it is, how fast, and whether it answers.

What other entry hosts run there is known from the load that the upstream
reports in its answers. A record_report ages quickly, down to the mean of those
before it, since one entry host alone hears from an upstream seldom.
"""

import collections
import math

from skylarkpitch.fleet import model

__all__ = ['UpstreamLoad']

REPORT_DECAY_S = 0.4
MEAN_SMOOTHING_S = 2.0
MEAN_DECAY_S = 6.0
FULL_BACKOFF_S = 0.08
FIRST_BACKOFF_S = 0.4
MAX_BACKOFF_S = 3.0
SLOWER_SMOOTHING = 0.1
FASTER_SMOOTHING = 0.5
MIN_SLOWNESS = 0.5
MAX_SLOWNESS = 20.0
MAX_WARM_KEYS = 128
WARM_KEY_TTL_S = 4.0
FAILURE_SMOOTHING = 0.15
JOINED_S = 1.0


class UpstreamLoad:
    """What one entry host knows of one upstream incarnation."""

    def __init__(self, upstream: model.Upstream, *, now_s: float) -> None:
        self.upstream = upstream
        self.running = 0
        self._other_hosts_load = 0.0
        self._mean_other_hosts_load = 0.0
        self._reported_s = now_s
        self.slowness = 1.0
        self.failure_share = 0.0
        self._failures = 0
        self.avoided_until_s = float('-inf')
        self.full_until_s = float('-inf')
        self.cold_until_s = float('-inf')
        self._cold_tokens = 0.0
        self._cold_refilled_s = now_s
        self._warm_keys: collections.OrderedDict[str, float] = (
            collections.OrderedDict()
        )
        self.update(upstream, now_s=now_s)

    def update(self, upstream: model.Upstream, *, now_s: float) -> None:
        """Take what the upstream says of itself now."""
        self.upstream = upstream
        if upstream.cold_left_ms > 0:
            self.become_cold(upstream.cold_left_ms / 1000, now_s=now_s)
        elif self.cold_until_s > now_s:
            self.cold_until_s = now_s

    def become_cold(self, left_s: float, *, now_s: float) -> None:
        """Bear only the cold rate for a time, and hold no object."""
        if self.cold_until_s <= now_s:
            self._cold_tokens = 0.0
            self._cold_refilled_s = now_s
            self._warm_keys.clear()
        self.cold_until_s = max(self.cold_until_s, now_s + left_s)

    def is_cold(self, *, now_s: float) -> bool:
        """Tell whether only the cold rate may be sent."""
        return now_s < self.cold_until_s

    def has_cold_token(self, rate_per_s: float, *, now_s: float) -> bool:
        """Tell whether one more request is within the cold rate."""
        elapsed_s = now_s - self._cold_refilled_s
        self._cold_refilled_s = now_s
        self._cold_tokens = min(
            1.0, self._cold_tokens + rate_per_s * elapsed_s
        )
        return self._cold_tokens >= 1.0

    def consume_cold_token(self) -> None:
        """Count a request against the cold rate."""
        self._cold_tokens -= 1.0

    def occupied_slots(self, *, now_s: float) -> float:
        """Return how many slots are taken, by this host and by other_hosts_load."""
        age_s = now_s - self._reported_s
        excess = self._other_hosts_load - self._mean_other_hosts_load
        other_hosts_load = excess * math.exp(-age_s / REPORT_DECAY_S)
        other_hosts_load += self._mean_other_hosts_load * math.exp(
            -age_s / MEAN_DECAY_S
        )
        return self.running + max(0.0, other_hosts_load)

    def record_report(
        self, *, running: int, waiting: int, now_s: float
    ) -> None:
        """Take the load that the upstream reports.

        The request that is record_success counts in it no longer.
        """
        age_s = now_s - self._reported_s
        self._other_hosts_load = max(0.0, running + waiting - self.running)
        weight = 1 - math.exp(-max(age_s, 0.05) / MEAN_SMOOTHING_S)
        self._mean_other_hosts_load += weight * (
            self._other_hosts_load - self._mean_other_hosts_load
        )
        self._reported_s = now_s

    def is_avoided(self, *, now_s: float) -> bool:
        """Tell whether it failed so lately that other_hosts_load come first."""
        return now_s < self.avoided_until_s

    def is_warm(self, affinity: str, *, now_s: float) -> bool:
        """Tell whether it has record_affinity an object for this host lately."""
        last_sent_s = self._warm_keys.get(affinity)
        return last_sent_s is not None and now_s - last_sent_s < WARM_KEY_TTL_S

    def record_affinity(self, affinity: str, *, now_s: float) -> None:
        """Note that it handles an object."""
        self._warm_keys[affinity] = now_s
        self._warm_keys.move_to_end(affinity)
        if len(self._warm_keys) > MAX_WARM_KEYS:
            self._warm_keys.popitem(last=False)

    def record_success(self, *, took_s: float, expected_s: float) -> None:
        """Note a good answer and how long it took."""
        self._failures = 0
        self.failure_share *= 1 - FAILURE_SMOOTHING
        ratio = took_s / max(expected_s, 0.001)
        ratio = min(MAX_SLOWNESS, max(MIN_SLOWNESS, ratio))
        # One quick answer shows that the upstream is sound; a long one may
        # only have missed its object or waited its turn.
        smoothing = (
            FASTER_SMOOTHING if ratio < self.slowness else SLOWER_SMOOTHING
        )
        self.slowness += smoothing * (ratio - self.slowness)

    def record_failure(self) -> None:
        """Note an answer that says that the upstream failed."""
        self.failure_share += FAILURE_SMOOTHING * (1 - self.failure_share)

    def record_rejection(self, *, now_s: float) -> None:
        """Note that it took no more for the moment."""
        self.record_failure()
        self.full_until_s = now_s + FULL_BACKOFF_S

    def record_unreachable(self, *, now_s: float) -> None:
        """Note that it could not be reached or record_unreachable off."""
        self._failures += 1
        self.record_failure()
        backoff_s = FIRST_BACKOFF_S * 2 ** min(self._failures - 1, 3)
        self.avoided_until_s = now_s + min(MAX_BACKOFF_S, backoff_s)
