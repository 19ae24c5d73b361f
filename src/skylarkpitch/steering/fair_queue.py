"""Serve waiting calls by weighted fair queueing.

Start-time fair queueing: Goyal, Vin and Cheng, "Start-time Fair Queuing: A
Scheduling Algorithm for Integrated Services Packet Switching Networks",
1996. A full queue drops from the flow with the longest backlog for its
weight: McKenney, "Stochastic Fairness Queueing", 1990.
"""

from collections.abc import Callable
import dataclasses
from typing import Any

__all__ = ['FairQueue', 'Waiter']

LOOK_AHEAD = 8


@dataclasses.dataclass(slots=True, eq=False)
class Waiter:
    """One waiting call; ``flow`` is its organisation and class."""

    flow: tuple[str, str]
    item: Any
    arrived: float
    waiting: bool = True


@dataclasses.dataclass(slots=True)
class _Flow:
    weight: float
    finish: float
    waiters: list[Waiter]

    def start(self) -> float:
        return max(self.finish, self.waiters[0].arrived)


class FairQueue:
    """Hold waiters by flow.

    A call that leaves the queue unserved costs its flow nothing: tags are
    given when a call reaches the head of its flow.
    """

    def __init__(self) -> None:
        self._flows: dict[tuple[str, str], _Flow] = {}
        self._virtual = 0.0
        self._length = 0

    def __len__(self) -> int:
        return self._length

    def push(
        self, flow: tuple[str, str], *, weight: float, item: Any
    ) -> Waiter:
        """Queue a call and return its waiter."""
        known = self._flows.get(flow)
        if known is None:
            known = _Flow(weight, self._virtual, [])
            self._flows[flow] = known
        known.weight = weight
        waiter = Waiter(flow=flow, item=item, arrived=self._virtual)
        known.waiters.append(waiter)
        self._length += 1
        return waiter

    def remove(self, waiter: Waiter) -> None:
        """Forget a waiter that was not served; no effect if it was."""
        if not waiter.waiting:
            return
        waiter.waiting = False
        self._flows[waiter.flow].waiters.remove(waiter)
        self._length -= 1
        self._forget()

    def serve(self, match: Callable[[Any], Any]) -> Waiter | None:
        """Remove and return the first waiter that ``match`` accepts.

        The heads of at most ``LOOK_AHEAD`` flows are tried, so that one
        which cannot be served now does not block the rest.
        """
        active = [flow for flow in self._flows.values() if flow.waiters]
        active.sort(key=_Flow.start)
        for flow in active[:LOOK_AHEAD]:
            waiter = flow.waiters[0]
            if match(waiter.item):
                self._served(flow, waiter)
                return waiter
        return None

    def backlog(
        self, counts: Callable[[Any], bool]
    ) -> tuple[tuple[str, str, float, int], ...]:
        """Return organisation, class, weight and length of each flow.

        Only waiters whose item ``counts`` accepts are counted.
        """
        lengths = (
            (name, flow.weight, sum(counts(w.item) for w in flow.waiters))
            for name, flow in self._flows.items()
        )
        return tuple((*name, w, count) for name, w, count in lengths if count)

    def ahead(self, flow: tuple[str, str], *, weight: float) -> float:
        """Return how many calls are served before a new one of a flow."""
        own = self._flows.get(flow)
        rounds = 1.0 if own is None else 1.0 + len(own.waiters)
        rounds /= weight
        total = 0.0
        for name, other in self._flows.items():
            if name == flow:
                total += len(other.waiters)
            else:
                total += min(len(other.waiters), rounds * other.weight)
        return total

    def victim(self, flow: tuple[str, str], *, weight: float) -> Waiter | None:
        """Return the waiter to drop for a new call of ``flow``.

        ``None`` when the flow itself has the longest backlog.
        """
        own = self._flows.get(flow)
        backlog = 1 if own is None else len(own.waiters) + 1
        longest = max(
            self._flows.values(),
            key=lambda item: len(item.waiters) / item.weight,
            default=None,
        )
        if longest is None or not longest.waiters:
            return None
        if len(longest.waiters) / longest.weight <= backlog / weight:
            return None
        return longest.waiters[-1]

    def _served(self, flow: _Flow, waiter: Waiter) -> None:
        start = flow.start()
        self._virtual = max(self._virtual, start)
        flow.finish = start + 1 / flow.weight
        flow.waiters.pop(0)
        waiter.waiting = False
        self._length -= 1
        self._forget()

    def _forget(self) -> None:
        if self._length == 0:
            self._flows.clear()
            self._virtual = 0.0
            return
        past = [
            name
            for name, flow in self._flows.items()
            if not flow.waiters and flow.finish <= self._virtual
        ]
        for name in past:
            del self._flows[name]
