"""Queue calls by weighted fair queueing.

Start-time fair queueing: Goyal, Vin and Cheng, "Start-time Fair Queuing: A
Scheduling Algorithm for Integrated Services Packet Switching Networks",
1996. A full queue drops from the flow with the longest backlog for its
weight: McKenney, "Stochastic Fairness Queueing", 1990.
"""

from collections.abc import Callable
import dataclasses
from typing import Any

__all__ = ['FairQueue', 'Waiter']

MAX_FLOWS_TRIED = 8


@dataclasses.dataclass(slots=True, eq=False)
class Waiter:
    """Queued call.

    ``flow`` is its organisation and request class, ``arrived`` the virtual
    time of its arrival. ``waiting`` is False once it was served or removed.
    """

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
    """Start-time fair queue of calls, with one FIFO queue for each flow.

    A call that is removed unserved does not delay its flow, because the
    start and finish tags are set when a call reaches the head of its flow.
    """

    def __init__(self) -> None:
        self._flows: dict[tuple[str, str], _Flow] = {}
        self._virtual_time = 0.0
        self._length = 0

    def __len__(self) -> int:
        return self._length

    def push(
        self, flow: tuple[str, str], *, weight: float, item: Any
    ) -> Waiter:
        """Append a call to its flow and return its waiter."""
        state = self._flows.get(flow)
        if state is None:
            state = _Flow(weight, self._virtual_time, [])
            self._flows[flow] = state
        state.weight = weight
        waiter = Waiter(flow=flow, item=item, arrived=self._virtual_time)
        state.waiters.append(waiter)
        self._length += 1
        return waiter

    def remove(self, waiter: Waiter) -> None:
        """Remove a waiter; no effect if it was served."""
        if not waiter.waiting:
            return
        waiter.waiting = False
        self._flows[waiter.flow].waiters.remove(waiter)
        self._length -= 1
        self._remove_idle_flows()

    def serve(self, match: Callable[[Any], Any]) -> Waiter | None:
        """Remove and return the first waiter whose item ``match`` accepts.

        Returns None when it accepts none. Tries the heads of the first
        ``MAX_FLOWS_TRIED`` flows, so that a call which cannot be served now
        does not block the others.
        """
        active = [flow for flow in self._flows.values() if flow.waiters]
        active.sort(key=_Flow.start)
        for flow in active[:MAX_FLOWS_TRIED]:
            waiter = flow.waiters[0]
            if match(waiter.item):
                self._mark_served(flow, waiter)
                return waiter
        return None

    def backlog(
        self, is_counted: Callable[[Any], bool]
    ) -> tuple[tuple[str, str, float, int], ...]:
        """Return organisation, class, weight and call count of each flow.

        Only waiters whose item is accepted by ``is_counted`` are counted.
        """
        lengths = (
            (name, flow.weight, sum(is_counted(w.item) for w in flow.waiters))
            for name, flow in self._flows.items()
        )
        return tuple((*name, w, count) for name, w, count in lengths if count)

    def calls_ahead(self, flow: tuple[str, str], *, weight: float) -> float:
        """Return how many calls are served before a new call of a flow."""
        current = self._flows.get(flow)
        rounds = 1.0 if current is None else 1.0 + len(current.waiters)
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

        Returns None when that flow itself has the longest backlog for its
        weight.
        """
        current = self._flows.get(flow)
        backlog = 1 if current is None else len(current.waiters) + 1
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

    def _mark_served(self, flow: _Flow, waiter: Waiter) -> None:
        start = flow.start()
        self._virtual_time = max(self._virtual_time, start)
        flow.finish = start + 1 / flow.weight
        flow.waiters.pop(0)
        waiter.waiting = False
        self._length -= 1
        self._remove_idle_flows()

    def _remove_idle_flows(self) -> None:
        if self._length == 0:
            self._flows.clear()
            self._virtual_time = 0.0
            return
        idle = [
            name
            for name, flow in self._flows.items()
            if not flow.waiters and flow.finish <= self._virtual_time
        ]
        for name in idle:
            del self._flows[name]
