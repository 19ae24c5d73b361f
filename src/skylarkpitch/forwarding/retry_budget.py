"""Limit how many requests of each service are retried.

The limit applies to the whole fleet. The part of it that does not depend on
the number of requests is divided equally among the entry hosts.
"""

import collections
import dataclasses

__all__ = ['RetryBudget', 'RetryBudgets', 'RetryLimits']

# Fraction of the limit that is used.
SAFETY_FACTOR = 0.7


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RetryLimits:
    """How many retries the fleet may send for one service.

    Within any ``window_s`` that is ``ratio`` of the requests plus ``extra``.
    """

    ratio: float = 0.1
    extra: float = 10.0
    window_s: float = 10.0


class RetryBudget:
    """Requests and retries of one service within a sliding window."""

    def __init__(self, *, ratio: float, extra: float, window_s: float) -> None:
        self._ratio = ratio
        self._extra = extra
        self._window_s = window_s
        self._requests: collections.deque[float] = collections.deque()
        self._retries: collections.deque[float] = collections.deque()

    def add_request(self, *, now_s: float) -> None:
        """Count a request, without its retries."""
        self._requests.append(now_s)
        self._trim(now_s)

    def consume(self, *, entry_hosts: int, now_s: float) -> bool:
        """Count a retry; return False if the budget is exhausted."""
        self._trim(now_s)
        allowed = self._ratio * len(self._requests)
        allowed += self._extra / max(1, entry_hosts)
        if len(self._retries) + 1 > SAFETY_FACTOR * allowed:
            return False
        self._retries.append(now_s)
        return True

    def _trim(self, now_s: float) -> None:
        window_start_s = now_s - self._window_s
        for times in (self._requests, self._retries):
            while times and times[0] < window_start_s:
                times.popleft()


class RetryBudgets:
    """Retry budgets of all services."""

    def __init__(self, *, limits: RetryLimits) -> None:
        self._limits = limits
        self._budgets: dict[str, RetryBudget] = {}

    def add_request(self, service: str, *, now_s: float) -> None:
        """Count a request for a service, without its retries."""
        self._budget_of(service).add_request(now_s=now_s)

    def consume(self, service: str, *, entry_hosts: int, now_s: float) -> bool:
        """Count a retry; return False if the budget is exhausted."""
        return self._budget_of(service).consume(
            entry_hosts=entry_hosts, now_s=now_s
        )

    def _budget_of(self, service: str) -> RetryBudget:
        if service not in self._budgets:
            self._budgets[service] = RetryBudget(
                ratio=self._limits.ratio,
                extra=self._limits.extra,
                window_s=self._limits.window_s,
            )
        return self._budgets[service]
