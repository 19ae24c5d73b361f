"""Find a place for a request, let it wait for one, or refuse it."""

import asyncio
from collections.abc import Callable
import random

from skylarkpitch.fleet import state as fleet_state
from skylarkpitch.fleet import view as views
from skylarkpitch.forwarding import calls
from skylarkpitch.forwarding import header_names
from skylarkpitch.forwarding import refusals
from skylarkpitch.forwarding import upstream_selector as selectors
from skylarkpitch.forwarding import request_queue
from skylarkpitch import sentinels

__all__ = ['LEAST_LEFT_S', 'Placing']

LOOK_AGAIN_S = 0.03
LEAST_LEFT_S = 0.005
MS_PER_S = 1000
_PLACED = frozenset(
    (fleet_state.UPSTREAM, fleet_state.DRAIN, fleet_state.SERVICE)
)


class Placing:
    """Room on the upstreams, and the requests that wait for it."""

    def __init__(
        self,
        *,
        view: views.FleetView,
        room: selectors.Room,
        names: header_names.HeaderNames,
        clock: Callable[[], float],
        rng: random.Random,
    ) -> None:
        self._view = view
        self._room = room
        self._names = names
        self._clock = clock
        self._rng = rng
        self._lines: dict[str, request_queue.Line] = {}

    def learn(self, changed: frozenset[str]) -> None:
        """Take over what has changed in the view."""
        if not changed & _PLACED:
            return
        self._room.learn(
            self._view.upstreams,
            draining_domains=self._view.draining_domains,
            cold_s=self._cold_s,
            now_s=self._clock(),
        )
        for line in self._lines.values():
            line.wake(len(line))

    async def find(
        self, call: calls.Call
    ) -> selectors.Place | refusals.Refusal:
        """Return an upstream with room, taken for a call, or a refusal."""
        wanted = self._wanted(call)
        line = self._line(call)
        asked_s = self._clock()
        if call.deadline_s - asked_s < LEAST_LEFT_S:
            return refusals.refuse(
                refusals.Reason.NO_ROOM, 'no time is left', retry_after_s=0.05
            )
        if line.is_first(call.rank):
            place = self._look(call, wanted)
            if not sentinels.is_absent(place):
                return place
            if place.reason == 'no_upstream':
                return self._refuse(call, line, place)
        else:
            place = sentinels.Absent('no_room', 'others wait')
        return await self._wait(call, wanted, line, place)

    def refuse(self, call: calls.Call) -> refusals.Refusal:
        """Return the refusal of a call that finds no room any more."""
        line = self._line(call)
        return self._refuse(call, line, sentinels.Absent('no_room'))

    def ended(self, call: calls.Call, place: selectors.Place) -> None:
        """Give a place back, and let the first who waits look for room."""
        self._room.give_back(place)
        line = self._line(call)
        line.served(now_s=self._clock())
        line.wake()

    def answered(
        self, call: calls.Call, place: selectors.Place, *, took_s: float
    ) -> None:
        """Learn from how long a good answer took."""
        self._room.answered(place, self._wanted(call), took_s=took_s)

    def _line(self, call: calls.Call) -> request_queue.Line:
        return self._lines.setdefault(call.service, request_queue.Line())

    def _look(
        self,
        call: calls.Call,
        wanted: selectors.Wanted,
        *,
        is_last: bool = False,
    ) -> selectors.Place | sentinels.Absent:
        known = self._view.service(call.service)
        now_s = self._clock()
        place = self._room.find(
            wanted,
            cold_rate_per_s=None if known is None else known.cold_rate_per_s,
            entry_hosts=self._view.entry_host_count,
            now_s=now_s,
            is_last_look=is_last,
        )
        if not sentinels.is_absent(place):
            self._room.take(place, wanted, now_s=now_s)
        return place

    async def _wait(
        self,
        call: calls.Call,
        wanted: selectors.Wanted,
        line: request_queue.Line,
        absent: sentinels.Absent,
    ) -> selectors.Place | refusals.Refusal:
        now_s = self._clock()
        hold_s = request_queue.hold_s(
            objective_s=wanted.objective_s,
            expected_s=self._room.expected_s(wanted),
            spent_s=now_s - call.started_s,
            left_s=call.deadline_s - now_s,
        )
        if line.wait_s(call.rank, now_s=now_s) > hold_s:
            place = self._look(call, wanted, is_last=True)
            return place or self._refuse(call, line, absent)
        waiter = line.join(call.rank, until_s=now_s + hold_s)
        try:
            place = await self._wait_for_place(call, wanted, line, waiter)
        finally:
            line.leave(waiter)
            call.held_s += self._clock() - now_s
        place = place or self._look(call, wanted, is_last=True)
        return place or self._refuse(call, line, absent)

    async def _wait_for_place(
        self,
        call: calls.Call,
        wanted: selectors.Wanted,
        line: request_queue.Line,
        waiter: request_queue.Waiter,
    ) -> selectors.Place | sentinels.Absent:
        place = sentinels.Absent('no_room')
        while not place and (left_s := waiter.until_s - self._clock()) > 0:
            woken = await _woken(waiter, min(left_s, LOOK_AGAIN_S))
            if woken or line.is_next(waiter):
                place = self._look(call, wanted)
        return place

    def _refuse(
        self,
        call: calls.Call,
        line: request_queue.Line,
        absent: sentinels.Absent,
    ) -> refusals.Refusal:
        now_s = self._clock()
        reason = refusals.Reason.NO_ROOM
        if absent.reason == 'no_upstream':
            reason = refusals.Reason.NO_UPSTREAM
        return refusals.refuse(
            reason,
            absent.detail,
            retry_after_s=request_queue.retry_after_s(
                backlog_s=line.wait_s(call.rank, now_s=now_s),
                left_s=max(0.0, call.deadline_s - now_s),
                rng=self._rng,
            ),
        )

    def _wanted(self, call: calls.Call) -> selectors.Wanted:
        homes = None
        for allowed in (
            call.route.homes,
            call.organisation.homes if call.organisation else (),
        ):
            if allowed:
                both = frozenset(allowed)
                homes = both if homes is None else homes & both
        affinity = None
        if call.route.is_sticky:
            affinity = call.request.headers.get(self._names.affinity)
            if affinity is not None:
                affinity = f'{call.route.name} {affinity}'
        return selectors.Wanted(
            service=call.service,
            route=call.route.name,
            affinity=affinity,
            homes=homes,
            objective_s=call.route.objective_ms / MS_PER_S,
            excluded=frozenset(call.tried),
        )

    def _cold_s(self, service: str) -> float:
        known = self._view.service(service)
        return 0.0 if known is None else known.cold_ms / MS_PER_S


async def _woken(waiter: request_queue.Waiter, timeout_s: float) -> bool:
    """Wait to be woken, and tell whether that happened in time."""
    try:
        await asyncio.wait_for(waiter.woken.wait(), timeout_s)
    except TimeoutError:
        return False
    waiter.woken.clear()
    return True
