"""Bounded queue of the calls to one service.

A call is refused at once if it is unlikely to be served in time.
"""

from collections.abc import Callable
import dataclasses
from typing import Any

from skylarkpitch import sentinels
from skylarkpitch.settings import deployment
from skylarkpitch.steering import fair_queue

__all__ = ['QueuedCall', 'BoundedQueue']

# Time reserved before the deadline for refusing a call that was not served.
REFUSAL_MARGIN_S = 0.01


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class QueuedCall:
    """Queued call, refused if it is not served by ``wait_until_s``."""

    waiter: fair_queue.Waiter
    wait_until_s: float


class BoundedQueue:
    """Fair queue of bounded length.

    When it is full, a call of a flow with a shorter backlog evicts a waiter
    of the flow with the longest one. ``drop`` is called with the item of the
    evicted waiter.
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
        """Queue a call, unless its expected wait is too long.

        ``served_per_s`` is the rate at which slots become free, None if it
        is unknown. ``settings`` limits the length of the queue and the wait.
        A refusal is ``Absent`` with reason ``no_room`` and the
        cause, such as the expected wait, in ``detail``.
        """
        wait_until_s = min(
            deadline_s - REFUSAL_MARGIN_S, now_s + settings.queue_s
        )
        if wait_until_s <= now_s:
            return sentinels.Absent('no_room', 'no time to wait')
        if served_per_s is not None:
            ahead = 1 + self.queue.calls_ahead(flow, weight=weight)
            wait_s = ahead / max(served_per_s, 1e-9)
            if now_s + wait_s > wait_until_s:
                return sentinels.Absent('no_room', f'wait of {wait_s:.1f} s')
        if not self._make_space(flow, weight, settings.queue_length):
            return sentinels.Absent('no_room', 'queue full')
        waiter = self.queue.push(flow, weight=weight, item=item)
        return QueuedCall(waiter=waiter, wait_until_s=wait_until_s)

    def remove(self, call: QueuedCall) -> None:
        """Remove a call; no effect once it was served."""
        self.queue.remove(call.waiter)

    def serve(self, match: Callable[[Any], bool]) -> bool:
        """Serve the next call that ``match`` accepts.

        Returns whether a call was served.
        """
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
