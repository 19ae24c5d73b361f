"""Judge one upstream: how full it is, how fast, and whether it answers.

What other entry hosts run there is known from the load that the upstream
reports in its answers. A report ages quickly, down to the mean of those
before it, since one entry host alone hears from an upstream seldom.
"""

import collections
import math

from skylarkpitch.fleet import model

__all__ = ['UpstreamLoad']

REPORT_MEMORY_S = 0.4
MEAN_MEMORY_S = 2.0
UNHEARD_MEMORY_S = 6.0
FULL_BACKOFF_S = 0.08
FIRST_BACKOFF_S = 0.4
LONGEST_BACKOFF_S = 3.0
SLOW_MEMORY = 0.1
QUICK_MEMORY = 0.5
LEAST_SLOWNESS = 0.5
MOST_SLOWNESS = 20.0
REMEMBERED_OBJECTS = 128
OBJECT_MEMORY_S = 4.0
GREY_MEMORY = 0.15
JOINED_S = 1.0


class UpstreamLoad:
    """What one entry host knows of one upstream incarnation."""

    def __init__(self, upstream: model.Upstream, *, now_s: float) -> None:
        self.upstream = upstream
        self.running = 0
        self._others = 0.0
        self._mean_others = 0.0
        self._reported_s = now_s
        self.slowness = 1.0
        self.failure_share = 0.0
        self._failures = 0
        self.avoided_until_s = float('-inf')
        self.full_until_s = float('-inf')
        self.cold_until_s = float('-inf')
        self._cold_tokens = 0.0
        self._cold_filled_s = now_s
        self._objects: collections.OrderedDict[str, float] = (
            collections.OrderedDict()
        )
        self.learn(upstream, now_s=now_s)

    def learn(self, upstream: model.Upstream, *, now_s: float) -> None:
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
            self._cold_filled_s = now_s
            self._objects.clear()
        self.cold_until_s = max(self.cold_until_s, now_s + left_s)

    def is_cold(self, *, now_s: float) -> bool:
        """Tell whether only the cold rate may be sent."""
        return now_s < self.cold_until_s

    def has_cold_token(self, rate_per_s: float, *, now_s: float) -> bool:
        """Tell whether one more request is within the cold rate."""
        elapsed_s = now_s - self._cold_filled_s
        self._cold_filled_s = now_s
        self._cold_tokens = min(
            1.0, self._cold_tokens + rate_per_s * elapsed_s
        )
        return self._cold_tokens >= 1.0

    def take_cold_token(self) -> None:
        """Count a request against the cold rate."""
        self._cold_tokens -= 1.0

    def occupied(self, *, now_s: float) -> float:
        """Return how many slots are taken, by this host and by others."""
        age_s = now_s - self._reported_s
        excess = self._others - self._mean_others
        others = excess * math.exp(-age_s / REPORT_MEMORY_S)
        others += self._mean_others * math.exp(-age_s / UNHEARD_MEMORY_S)
        return self.running + max(0.0, others)

    def report(self, *, running: int, waiting: int, now_s: float) -> None:
        """Take the load that the upstream reports.

        The request that is answered counts in it no longer.
        """
        age_s = now_s - self._reported_s
        self._others = max(0.0, running + waiting - self.running)
        part = 1 - math.exp(-max(age_s, 0.05) / MEAN_MEMORY_S)
        self._mean_others += part * (self._others - self._mean_others)
        self._reported_s = now_s

    def is_avoided(self, *, now_s: float) -> bool:
        """Tell whether it failed so lately that others come first."""
        return now_s < self.avoided_until_s

    def holds(self, affinity: str, *, now_s: float) -> bool:
        """Tell whether it has handled an object for this host lately."""
        handled_s = self._objects.get(affinity)
        return handled_s is not None and now_s - handled_s < OBJECT_MEMORY_S

    def handled(self, affinity: str, *, now_s: float) -> None:
        """Note that it handles an object."""
        self._objects[affinity] = now_s
        self._objects.move_to_end(affinity)
        if len(self._objects) > REMEMBERED_OBJECTS:
            self._objects.popitem(last=False)

    def answered(self, *, took_s: float, expected_s: float) -> None:
        """Note a good answer and how long it took."""
        self._failures = 0
        self.failure_share *= 1 - GREY_MEMORY
        ratio = took_s / max(expected_s, 0.001)
        ratio = min(MOST_SLOWNESS, max(LEAST_SLOWNESS, ratio))
        # One quick answer shows that the upstream is sound; a long one may
        # only have missed its object or waited its turn.
        memory = QUICK_MEMORY if ratio < self.slowness else SLOW_MEMORY
        self.slowness += memory * (ratio - self.slowness)

    def answered_badly(self) -> None:
        """Note an answer that says that the upstream failed."""
        self.failure_share += GREY_MEMORY * (1 - self.failure_share)

    def rejected(self, *, now_s: float) -> None:
        """Note that it took no more for the moment."""
        self.answered_badly()
        self.full_until_s = now_s + FULL_BACKOFF_S

    def broke(self, *, now_s: float) -> None:
        """Note that it could not be reached or broke off."""
        self._failures += 1
        self.answered_badly()
        backoff_s = FIRST_BACKOFF_S * 2 ** min(self._failures - 1, 3)
        self.avoided_until_s = now_s + min(LONGEST_BACKOFF_S, backoff_s)
