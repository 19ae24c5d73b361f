"""Bound how many requests are sent again, by service.

The bound holds over the whole fleet, so each entry host keeps to its part
of what does not depend on its own requests.
"""

import collections

__all__ = ['RetryBudget']

SAFETY = 0.7


class RetryBudget:
    """Requests and repeats of one service within a sliding window."""

    def __init__(self, *, ratio: float, extra: float, window_s: float) -> None:
        self._ratio = ratio
        self._extra = extra
        self._window_s = window_s
        self._requests: collections.deque[float] = collections.deque()
        self._repeats: collections.deque[float] = collections.deque()

    def add_request(self, *, now_s: float) -> None:
        """Count a request that is sent for the first time."""
        self._requests.append(now_s)
        self._trim(now_s)

    def take(self, *, entry_hosts: int, now_s: float) -> bool:
        """Count a repeat, or tell that none is left."""
        self._trim(now_s)
        allowed = self._ratio * len(self._requests)
        allowed += self._extra / max(1, entry_hosts)
        if len(self._repeats) + 1 > SAFETY * allowed:
            return False
        self._repeats.append(now_s)
        return True

    def _trim(self, now_s: float) -> None:
        since_s = now_s - self._window_s
        for times in (self._requests, self._repeats):
            while times and times[0] < since_s:
                times.popleft()
