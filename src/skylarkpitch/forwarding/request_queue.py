"""Hold the requests that wait for room, and refuse the hopeless at once.

Answers the pattern of a burst: for a moment more is asked for than fits.
The highest rank goes first, then the first come. Who can't be served while
its answer is worth its place is told at once when to come back, at a moment
of its own so that those refused don't come back together.
"""

import asyncio
import bisect
import collections
import dataclasses
import itertools
import random

__all__ = ['Line', 'Waiter', 'max_wait_s', 'retry_after_s']

MIN_WAIT_SHARE = 0.12
COMPLETION_WINDOW_S = 1.0
MIN_RETRY_S = 0.15
MAX_RETRY_S = 2.0


def max_wait_s(
    *, objective_s: float, expected_s: float, spent_s: float, left_s: float
) -> float:
    """Return for how long a request may wait for room.

    It may as long as its objective can still be met; one that can't meet
    it anyway waits only a moment. ``spent_s`` is what it has waited
    already, ``left_s`` its time to the deadline.
    """
    slack_s = objective_s - expected_s - spent_s
    min_wait_s = MIN_WAIT_SHARE * objective_s - spent_s
    return max(0.0, min(max(slack_s, min_wait_s), left_s - expected_s))


def retry_after_s(
    *, backlog_s: float, left_s: float, rng: random.Random
) -> float:
    """Return when a refused caller should come back.

    ``backlog_s`` is how long what waits takes; the moment is spread over
    as long again. It is never later than a third of the time left, which
    callers would cut short anyway.
    """
    delay_s = MIN_RETRY_S + backlog_s * rng.uniform(1.0, 2.0)
    delay_s += rng.uniform(0.0, MIN_RETRY_S)
    return max(0.05, min(delay_s, MAX_RETRY_S, left_s / 3))


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True, order=True)
class Waiter:
    """A request in the line; the lowest goes first."""

    rank: int
    sequence: int
    expires_s: float = dataclasses.field(compare=False)
    woken: asyncio.Event = dataclasses.field(compare=False)


class RequestQueue:
    """The requests that wait for one service on one entry host."""

    def __init__(self) -> None:
        self._waiters: list[Waiter] = []
        self._sequence_numbers = itertools.count()
        self._completions: collections.deque[float] = collections.deque()

    def __len__(self) -> int:
        return len(self._waiters)

    def record_completion(self, *, now_s: float) -> None:
        """Note that a request of the service has ended."""
        self._completions.append(now_s)
        self._trim(now_s)

    def expected_wait_s(self, rank: int, *, now_s: float) -> float:
        """Return how long a request of a rank would wait for its turn."""
        ahead = sum(1 for waiter in self._waiters if waiter.rank <= rank)
        self._trim(now_s)
        if not self._completions:
            return 0.0 if not ahead else COMPLETION_WINDOW_S
        return ahead * COMPLETION_WINDOW_S / len(self._completions)

    def enqueue(self, rank: int, *, expires_s: float) -> Waiter:
        """Put a request in the line; :meth:`leave` takes it out."""
        waiter = Waiter(
            rank=rank,
            sequence=next(self._sequence_numbers),
            expires_s=expires_s,
            woken=asyncio.Event(),
        )
        bisect.insort(self._waiters, waiter)
        return waiter

    def remove(self, waiter: Waiter) -> None:
        """Take a request out of the line."""
        if waiter in self._waiters:
            self._waiters.remove(waiter)

    def is_empty_up_to(self, rank: int) -> bool:
        """Tell whether nobody of this rank or a higher one waits."""
        return not self._waiters or self._waiters[0].rank > rank

    def is_head(self, waiter: Waiter) -> bool:
        """Tell whether a request is the first in the line."""
        return bool(self._waiters) and self._waiters[0] == waiter

    def wake(self, count: int = 1) -> None:
        """Let the first in the line look for room again."""
        for waiter in self._waiters[:count]:
            waiter.woken.set()

    def _trim(self, now_s: float) -> None:
        while (
            self._completions
            and self._completions[0] < now_s - COMPLETION_WINDOW_S
        ):
            self._completions.popleft()
