"""Queue requests for a free slot, and refuse those that cannot be in time.

In a burst the callers briefly send more than the upstreams can serve. The
highest rank (the lowest number) is served first, then the earliest arrival.
A request that can't be served while its response is still useful is refused at
once with a retry delay, which is randomised so that refused callers don't
retry all at the same time.
"""

import asyncio
import bisect
import collections
import dataclasses
import itertools
import random

__all__ = ['RequestQueue', 'Waiter', 'max_wait_s', 'retry_after_s']

MIN_WAIT_SHARE = 0.12
COMPLETION_WINDOW_S = 1.0
MIN_RETRY_S = 0.15
MAX_RETRY_S = 2.0


def max_wait_s(
    *, objective_s: float, expected_s: float, spent_s: float, left_s: float
) -> float:
    """Return for how long a request may wait for a free slot.

    A request waits as long as its latency objective can still be met. One
    that can't meet it anyway waits until ``MIN_WAIT_SHARE`` of the objective
    has passed. ``spent_s`` is the time since its arrival, ``left_s`` the
    time to its deadline.
    """
    slack_s = objective_s - expected_s - spent_s
    min_wait_s = MIN_WAIT_SHARE * objective_s - spent_s
    return max(0.0, min(max(slack_s, min_wait_s), left_s - expected_s))


def retry_after_s(
    *, backlog_s: float, left_s: float, rng: random.Random
) -> float:
    """Return after how many seconds a refused caller should retry.

    ``backlog_s`` is how long it takes to serve the queue; the delay is drawn
    between once and twice that time. It is at most a third of ``left_s``,
    since callers would shorten a longer one anyway.
    """
    delay_s = MIN_RETRY_S + backlog_s * rng.uniform(1.0, 2.0)
    delay_s += rng.uniform(0.0, MIN_RETRY_S)
    return max(0.05, min(delay_s, MAX_RETRY_S, left_s / 3))


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True, order=True)
class Waiter:
    """A queued request; the lowest rank, then sequence, is served first."""

    rank: int
    sequence: int
    expires_s: float = dataclasses.field(compare=False)
    woken: asyncio.Event = dataclasses.field(compare=False)


class RequestQueue:
    """Queue of one service on one entry host."""

    def __init__(self) -> None:
        self._waiters: list[Waiter] = []
        self._sequence_numbers = itertools.count()
        self._completions: collections.deque[float] = collections.deque()

    def __len__(self) -> int:
        return len(self._waiters)

    def record_completion(self, *, now_s: float) -> None:
        """Record that a request of the service has ended."""
        self._completions.append(now_s)
        self._trim(now_s)

    def expected_wait_s(self, rank: int, *, now_s: float) -> float:
        """Return how long a request of a rank would wait to be served.

        The estimate uses the rate at which requests ended within the last
        ``COMPLETION_WINDOW_S``. If none ended, it is that time, or 0 if no
        request of this or a higher rank waits.
        """
        ahead = sum(1 for waiter in self._waiters if waiter.rank <= rank)
        self._trim(now_s)
        if not self._completions:
            return 0.0 if not ahead else COMPLETION_WINDOW_S
        return ahead * COMPLETION_WINDOW_S / len(self._completions)

    def enqueue(self, rank: int, *, expires_s: float) -> Waiter:
        """Add a request to the queue; :meth:`remove` removes it."""
        waiter = Waiter(
            rank=rank,
            sequence=next(self._sequence_numbers),
            expires_s=expires_s,
            woken=asyncio.Event(),
        )
        bisect.insort(self._waiters, waiter)
        return waiter

    def remove(self, waiter: Waiter) -> None:
        """Remove a request from the queue."""
        if waiter in self._waiters:
            self._waiters.remove(waiter)

    def is_empty_up_to(self, rank: int) -> bool:
        """Return whether no request of this or a higher rank waits."""
        return not self._waiters or self._waiters[0].rank > rank

    def is_head(self, waiter: Waiter) -> bool:
        """Return whether a request is at the head of the queue."""
        return bool(self._waiters) and self._waiters[0] == waiter

    def wake(self, count: int = 1) -> None:
        """Wake the first ``count`` requests to retry reserving a slot."""
        for waiter in self._waiters[:count]:
            waiter.woken.set()

    def _trim(self, now_s: float) -> None:
        while (
            self._completions
            and self._completions[0] < now_s - COMPLETION_WINDOW_S
        ):
            self._completions.popleft()
