"""Track the load, the speed and the failures of one upstream.

What other entry hosts run on it is derived from the load that the upstream
reports in its responses. A single entry host seldom receives a response of
one upstream, so a report decays quickly towards the mean of earlier reports.
"""

import collections
import dataclasses
import math
import zlib

from skylarkpitch.fleet import model

__all__ = ['ColdRate', 'UpstreamLoad']

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
# Duration of the turns in which hosts may use the rate of a cold upstream.
COLD_TURN_S = 1.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ColdRate:
    """Request rate of a cold upstream over all entry hosts.

    The share of one host can be far below one request. Hosts then take
    turns: in each turn of ``COLD_TURN_S``, as many hosts as the rate allows
    have one whole request each. ``host_position`` is that of this host among
    the ``entry_hosts``; None, for a host that is not recorded yet, has none.
    A host that is cut off keeps to the positions that it knows.
    """

    rate_per_s: float
    entry_hosts: int
    host_position: int | None

    @property
    def share_per_s(self) -> float:
        """Return an equal share of the rate."""
        return self.rate_per_s / self.entry_hosts

    def has_turn(self, number: int, *, offset: int) -> bool:
        """Return whether this host may send a request in a turn.

        ``offset`` differs between upstreams, so that the same hosts do not
        have the first turns of all of them.
        """
        if self.host_position is None:
            return False
        per_turn = self.rate_per_s * COLD_TURN_S
        position = (self.host_position + offset) % self.entry_hosts
        start = math.floor(number * per_turn) % self.entry_hosts
        end = start + math.floor((number + 1) * per_turn)
        end -= math.floor(number * per_turn)
        return start <= position < end or position + self.entry_hosts < end


class UpstreamLoad:
    """State of one upstream incarnation, as one entry host measures it.

    ``running`` counts the requests of this host. ``slowness`` is the ratio
    of measured to expected times. ``failure_share`` is the moving average of
    failed requests, which shows an upstream that is degraded while its
    health check passes.
    """

    def __init__(self, upstream: model.Upstream, *, now_s: float) -> None:
        self.upstream = upstream
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
        self._cold_tokens = 0.0
        self._cold_refilled_s = now_s
        self._cold_since_s = now_s
        self._cold_turn = -1
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
            self._cold_tokens = 0.0
            self._cold_refilled_s = now_s
            self._cold_since_s = now_s
            self._cold_turn = -1
            self._warm_keys.clear()
        self.cold_until_s = max(self.cold_until_s, now_s + left_s)

    def is_cold(self, *, now_s: float) -> bool:
        """Return whether the cold rate limits requests."""
        return now_s < self.cold_until_s

    def has_cold_token(self, rate: ColdRate, *, now_s: float) -> bool:
        """Refill tokens; return whether the cold rate allows a request."""
        if rate.share_per_s * COLD_TURN_S < 1.0:
            self._take_turn(rate, now_s)
            return self._cold_tokens >= 1.0
        elapsed_s = now_s - self._cold_refilled_s
        self._cold_refilled_s = now_s
        self._cold_tokens = min(
            1.0, self._cold_tokens + rate.share_per_s * elapsed_s
        )
        return self._cold_tokens >= 1.0

    def _take_turn(self, rate: ColdRate, now_s: float) -> None:
        """Set the token of the current turn; those of earlier ones lapse."""
        turn = int((now_s - self._cold_since_s) / COLD_TURN_S)
        if turn == self._cold_turn:
            return
        self._cold_turn = turn
        offset = zlib.crc32(self.upstream.upstream_id.encode())
        has_turn = rate.has_turn(turn, offset=offset)
        self._cold_tokens = 1.0 if has_turn else 0.0

    def consume_cold_token(self) -> None:
        """Count a request against the cold rate."""
        self._cold_tokens -= 1.0

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
