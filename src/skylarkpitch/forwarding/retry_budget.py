"""Limit how many requests of each service are retried.

The limit applies to the whole fleet. The part of it that does not depend on
the number of requests is divided equally among the entry hosts. Where that is
less than one retry for each host, the hosts have whole retries in turns.
"""

import collections
import dataclasses

from skylarkpitch.fleet import host_parts
from skylarkpitch.forwarding import fleet_rate

__all__ = ['RetryBudget', 'RetryBudgets', 'RetryLimits']

# Fraction of the limit that is used.
SAFETY_FACTOR = 0.7
# How long a host may use the retry of its turn, in windows of the limit. A
# longer life makes it likelier that the host needs it by then, and the turns
# of a host rarer.
TURN_LIFE_WINDOWS = 3


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

    def __init__(
        self,
        *,
        ratio: float,
        extra: float,
        window_s: float,
        service: str = '',
    ) -> None:
        self._ratio = ratio
        self._extra = extra
        self._window_s = window_s
        self._requests: collections.deque[float] = collections.deque()
        self._retries: collections.deque[float] = collections.deque()
        self._turn_life_s = TURN_LIFE_WINDOWS * window_s
        self._turns = fleet_rate.RateBucket(
            service, token_life_s=self._turn_life_s, now_s=0.0
        )

    def add_request(self, *, now_s: float) -> None:
        """Count a request, without its retries."""
        self._requests.append(now_s)
        self._trim(now_s)

    def consume(
        self,
        *,
        entry_hosts: int,
        now_s: float,
        part: host_parts.HostPart | None = None,
        time_of_day_s: float = 0.0,
    ) -> bool:
        """Count a retry; return False if the budget is exhausted.

        ``part`` is this host's part of the fleet; without one it has no
        turns, which are counted by ``time_of_day_s``.
        """
        self._trim(now_s)
        extra = self._extra / max(1, entry_hosts)
        has_whole_retry = SAFETY_FACTOR * extra >= 1.0
        allowed = self._ratio * len(self._requests)
        if has_whole_retry:
            allowed += extra
        if len(self._retries) + 1 <= SAFETY_FACTOR * allowed:
            self._retries.append(now_s)
            return True
        if has_whole_retry:
            return False
        return self._take_turn(part, now_s=now_s, time_of_day_s=time_of_day_s)

    def _take_turn(
        self,
        part: host_parts.HostPart | None,
        *,
        now_s: float,
        time_of_day_s: float,
    ) -> bool:
        """Use a retry of this host's turns; return False without one.

        In any window, the hosts can use the retries of the turns in it and
        within their life before it. The rate is such that these are within
        the limit, also if all hosts were idle and retry at once.
        """
        in_window = max(0.0, SAFETY_FACTOR * self._extra - 1.0)
        rate = fleet_rate.FleetRate(
            rate_per_s=in_window / (self._window_s + self._turn_life_s),
            part=part,
        )
        if not self._turns.has_token(
            rate, now_s=now_s, time_of_day_s=time_of_day_s
        ):
            return False
        self._turns.consume()
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

    def consume(
        self,
        service: str,
        *,
        entry_hosts: int,
        now_s: float,
        part: host_parts.HostPart | None = None,
        time_of_day_s: float = 0.0,
    ) -> bool:
        """Count a retry; return False if the budget is exhausted."""
        return self._budget_of(service).consume(
            entry_hosts=entry_hosts,
            now_s=now_s,
            part=part,
            time_of_day_s=time_of_day_s,
        )

    def _budget_of(self, service: str) -> RetryBudget:
        if service not in self._budgets:
            self._budgets[service] = RetryBudget(
                ratio=self._limits.ratio,
                extra=self._limits.extra,
                window_s=self._limits.window_s,
                service=service,
            )
        return self._budgets[service]
