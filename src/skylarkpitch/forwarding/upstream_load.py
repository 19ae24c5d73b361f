"""Track the load, the speed and the failures of one upstream.

What other entry hosts run on it is derived from the load that the upstream
reports in its responses. A single entry host seldom receives a response of
one upstream, so a report decays quickly towards the mean of earlier reports.
"""

import collections
import math

from skylarkpitch.fleet import model
from skylarkpitch.forwarding import fleet_rate
from skylarkpitch.forwarding import upstream_notices

__all__ = ['UpstreamLoad']

# Time constants of the load of other hosts: the decay of a report towards the
# mean of reports, the average of that mean, and its decay without a report.
REPORT_DECAY_S = 0.4
MEAN_SMOOTHING_S = 2.0
MEAN_DECAY_S = 6.0
FULL_BACKOFF_S = 0.08
FIRST_BACKOFF_S = 0.4
MAX_BACKOFF_S = 3.0
# Weights of one response in the moving average of slowness.
SLOWER_SMOOTHING = 0.1
FASTER_SMOOTHING = 0.5
MIN_SLOWNESS = 0.5
MAX_SLOWNESS = 20.0
MAX_WARM_KEYS = 128
WARM_KEY_TTL_S = 4.0
# Weight of one response in the moving average of failures.
FAILURE_SMOOTHING = 0.15
# How long hosts may use a token of the rate of a cold upstream, which holds in
# every second, and of the rate that one names, which holds over some seconds.
COLD_TOKEN_LIFE_S = 1.0
MAX_RATE_TOKEN_LIFE_S = 2.0


class UpstreamLoad:
    """State of one upstream incarnation, as one entry host measures it.

    ``running`` counts the requests of this host. ``slowness`` is the ratio
    of measured to expected times. ``failure_share`` is the moving average of
    failed requests, which shows an upstream that is degraded while its
    health check passes. ``notices`` is what the incarnation says of itself,
    and ``cold_bucket`` and ``max_rate_bucket`` are this host's parts of the
    rates that a cold upstream bears, and that one names.
    """

    def __init__(
        self,
        upstream: model.Upstream,
        *,
        notices: upstream_notices.UpstreamState,
        now_s: float,
    ) -> None:
        self.upstream = upstream
        self.notices = notices
        self.running = 0
        self._other_hosts_load = 0.0
        self._mean_other_hosts_load = 0.0
        self._reported_s = now_s
        self.slowness = 1.0
        self.failure_share = 0.0
        self._failures = 0
        self.backoff_until_s = float('-inf')
        self.full_until_s = float('-inf')
        self.cold_until_s = float('-inf')
        name = upstream.upstream_id
        self.cold_bucket = fleet_rate.RateBucket(
            name, token_life_s=COLD_TOKEN_LIFE_S, now_s=now_s
        )
        self.max_rate_bucket = fleet_rate.RateBucket(
            name, token_life_s=MAX_RATE_TOKEN_LIFE_S, now_s=now_s
        )
        self._warm_keys: collections.OrderedDict[str, float] = (
            collections.OrderedDict()
        )
        self.update(upstream, now_s=now_s)

    def update(self, upstream: model.Upstream, *, now_s: float) -> None:
        """Replace the description that the upstream reported of itself."""
        self.upstream = upstream
        if upstream.cold_left_ms > 0:
            self.become_cold(upstream.cold_left_ms / 1000, now_s=now_s)
        elif self.cold_until_s > now_s:
            self.cold_until_s = now_s

    def become_cold(self, left_s: float, *, now_s: float) -> None:
        """Limit the upstream to the cold rate for at least ``left_s``.

        Its cache is assumed to be empty.
        """
        if self.cold_until_s <= now_s:
            self.cold_bucket.reset(now_s=now_s)
            self._warm_keys.clear()
        self.cold_until_s = max(self.cold_until_s, now_s + left_s)

    def is_cold(self, *, now_s: float) -> bool:
        """Return whether the cold rate limits requests."""
        return now_s < self.cold_until_s

    def occupied_slots(self, *, now_s: float) -> float:
        """Return an estimate of the slots that all entry hosts occupy."""
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
        """Record the load that the upstream reported in a response.

        The load no longer includes the request of that response.
        """
        age_s = now_s - self._reported_s
        self._other_hosts_load = max(0.0, running + waiting - self.running)
        weight = 1 - math.exp(-max(age_s, 0.05) / MEAN_SMOOTHING_S)
        self._mean_other_hosts_load += weight * (
            self._other_hosts_load - self._mean_other_hosts_load
        )
        self._reported_s = now_s

    def is_in_backoff(self, *, now_s: float) -> bool:
        """Return whether a recent failure makes other upstreams preferable."""
        return now_s < self.backoff_until_s

    def is_warm(self, affinity_key: str, *, now_s: float) -> bool:
        """Return whether the data of an affinity key should be cached.

        It should if this host sent the upstream a request with the key
        within the last ``WARM_KEY_TTL_S``.
        """
        last_sent_s = self._warm_keys.get(affinity_key)
        return last_sent_s is not None and now_s - last_sent_s < WARM_KEY_TTL_S

    def record_affinity(self, affinity_key: str, *, now_s: float) -> None:
        """Record that a request with an affinity key is sent."""
        self._warm_keys[affinity_key] = now_s
        self._warm_keys.move_to_end(affinity_key)
        if len(self._warm_keys) > MAX_WARM_KEYS:
            self._warm_keys.popitem(last=False)

    def record_success(self, *, took_s: float, expected_s: float) -> None:
        """Record a successful response and how long it took."""
        self._failures = 0
        self.failure_share *= 1 - FAILURE_SMOOTHING
        ratio = took_s / max(expected_s, 0.001)
        ratio = min(MAX_SLOWNESS, max(MIN_SLOWNESS, ratio))
        # One fast response shows that the upstream is healthy. A slow one may
        # be due to a cache miss or to queueing, so it weighs less.
        smoothing = (
            FASTER_SMOOTHING if ratio < self.slowness else SLOWER_SMOOTHING
        )
        self.slowness += smoothing * (ratio - self.slowness)

    def record_failure(self) -> None:
        """Record an error of the upstream, or a time-out."""
        self.failure_share += FAILURE_SMOOTHING * (1 - self.failure_share)

    def record_rejection(self, *, now_s: float) -> None:
        """Record a rejected request; the upstream counts as full briefly."""
        self.record_failure()
        self.full_until_s = now_s + FULL_BACKOFF_S

    def record_unreachable(self, *, now_s: float) -> None:
        """Record that the upstream could not be reached or broke off.

        This includes a response from another instance at its address. The
        backoff doubles with each consecutive failure, up to
        ``MAX_BACKOFF_S``.
        """
        self._failures += 1
        self.record_failure()
        backoff_s = FIRST_BACKOFF_S * 2 ** min(self._failures - 1, 3)
        self.backoff_until_s = now_s + min(MAX_BACKOFF_S, backoff_s)
