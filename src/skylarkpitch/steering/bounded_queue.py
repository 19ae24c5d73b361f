"""Bound the calls that wait for one service, and refuse early."""

from collections.abc import Callable
import dataclasses
from typing import Any

from skylarkpitch import sentinels
from skylarkpitch.settings import deployment
from skylarkpitch.steering import fair_queue

__all__ = ['QueuedCall', 'BoundedQueue']

ANSWER_MARGIN_S = 0.01


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class QueuedCall:
    """One queued call; it leaves the queue by ``wait_until_s``."""

    waiter: fair_queue.Waiter
    wait_until_s: float


class BoundedQueue:
    """Hold the calls that wait for one service.

    ``drop`` is called with the item of a waiter that a full line puts out
    for a call of a flow with a shorter backlog.
    """

    def __init__(self, *, drop: Callable[[Any], None]) -> None:
        self.queue = fair_queue.FairQueue()
        self._drop = drop

    def enqueue(
        self,
        *,
        flow: tuple[str, str],
        weight: float,
        item: Any,
        settings: deployment.Service,
        deadline_s: float,
        served_per_s: float | None,
        now_s: float,
    ) -> QueuedCall | sentinels.Absent:
        """Queue a call that can expect to be served in time.

        ``served_per_s`` is the rate at which slots come free, ``None`` when
        it is not known. Returns ``Absent`` with reason ``no_room`` and the
        expected wait in ``detail``.
        """
        wait_until_s = min(
            deadline_s - ANSWER_MARGIN_S, now_s + settings.queue_s
        )
        if wait_until_s <= now_s:
            return sentinels.Absent('no_room', 'no time to wait')
        if served_per_s is not None:
            ahead = 1 + self.queue.ahead(flow, weight=weight)
            wait_s = ahead / max(served_per_s, 1e-9)
            if now_s + wait_s > wait_until_s:
                return sentinels.Absent('no_room', f'wait of {wait_s:.1f} s')
        if not self._make_space(flow, weight, settings.queue_length):
            return sentinels.Absent('no_room', 'queue full')
        waiter = self.queue.push(flow, weight=weight, item=item)
        return QueuedCall(waiter=waiter, wait_until_s=wait_until_s)

    def remove(self, call: QueuedCall) -> None:
        """Forget a call; no effect once it was served."""
        self.queue.remove(call.waiter)

    def serve(self, match: Callable[[Any], bool]) -> bool:
        """Serve the next call that ``match`` accepts, if any."""
        return self.queue.serve(match) is not None

    def _make_space(
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
