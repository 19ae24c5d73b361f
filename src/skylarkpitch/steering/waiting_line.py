"""Bound the calls that wait for one service, and refuse early."""

from collections.abc import Callable
import dataclasses
from typing import Any

from skylarkpitch import sentinels
from skylarkpitch.settings import deployment
from skylarkpitch.steering import fair_queue

__all__ = ['Waiter', 'WaitingLine']

MARGIN_S = 0.01


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Waiter:
    """One waiting call, which leaves the line at ``until_s`` at the latest."""

    place: fair_queue.Waiter
    until_s: float


class WaitingLine:
    """Hold the calls that wait for one service.

    ``drop`` is called with the item of a waiter that a full line puts out
    for a call of a flow with a shorter backlog.
    """

    def __init__(self, *, drop: Callable[[Any], None]) -> None:
        self.queue = fair_queue.FairQueue()
        self._drop = drop

    def join(
        self,
        *,
        flow: tuple[str, str],
        weight: float,
        item: Any,
        bounds: deployment.Service,
        deadline_s: float,
        served_per_s: float | None,
        now_s: float,
    ) -> Waiter | sentinels.Absent:
        """Queue a call that can expect to be served in time.

        ``served_per_s`` is the rate at which slots come free, ``None`` when
        it is not known. Returns ``Absent`` with reason ``no_room`` and the
        expected wait in ``detail``.
        """
        until_s = min(deadline_s - MARGIN_S, now_s + bounds.queue_s)
        if until_s <= now_s:
            return sentinels.Absent('no_room', 'no time to wait')
        if served_per_s is not None:
            ahead = 1 + self.queue.ahead(flow, weight=weight)
            wait_s = ahead / max(served_per_s, 1e-9)
            if now_s + wait_s > until_s:
                return sentinels.Absent('no_room', f'wait of {wait_s:.1f} s')
        if not self._make_place(flow, weight, bounds.queue_length):
            return sentinels.Absent('no_room', 'queue full')
        place = self.queue.push(flow, weight=weight, item=item)
        return Waiter(place=place, until_s=until_s)

    def leave(self, waiter: Waiter) -> None:
        """Forget a call; no effect once it was served."""
        self.queue.remove(waiter.place)

    def serve(self, match: Callable[[Any], bool]) -> bool:
        """Serve the next call that ``match`` accepts, if any."""
        return self.queue.serve(match) is not None

    def _make_place(
        self, flow: tuple[str, str], weight: float, length: int
    ) -> bool:
        if len(self.queue) < length:
            return True
        victim = self.queue.victim(flow, weight=weight)
        if victim is None:
            return False
        self.queue.remove(victim)
        self._drop(victim.item)
        return True
