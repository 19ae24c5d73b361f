"""Reserve an upstream slot for a request, queue it, or refuse it."""

import asyncio
from collections.abc import Callable
import random

from skylarkpitch.fleet import host_parts
from skylarkpitch.fleet import state as fleet_state
from skylarkpitch.fleet import view as views
from skylarkpitch.forwarding import calls
from skylarkpitch.forwarding import candidates
from skylarkpitch.forwarding import header_names
from skylarkpitch.forwarding import refusals
from skylarkpitch.forwarding import request_queue
from skylarkpitch.forwarding import upstream_selector as selectors
from skylarkpitch import sentinels

__all__ = ['MIN_TIME_LEFT_S', 'RequestScheduler']

# How often the head of a queue tries to reserve a slot without being woken:
# a fraction of its latency objective, within bounds.
POLL_OBJECTIVE_SHARE = 0.05
MIN_POLL_INTERVAL_S = 0.03
MAX_POLL_INTERVAL_S = 0.15
# A request with less time to its deadline is not sent.
MIN_TIME_LEFT_S = 0.005
MS_PER_S = 1000
_RELEVANT_KINDS = frozenset(
    (fleet_state.UPSTREAM, fleet_state.DRAIN, fleet_state.SERVICE)
)


class RequestScheduler:
    """Assign requests to upstream slots, with one queue for each service.

    ``host`` is the name of this entry host in the view.
    """

    def __init__(
        self,
        *,
        view: views.FleetView,
        host: str,
        selector: selectors.UpstreamSelector,
        names: header_names.HeaderNames,
        clock: Callable[[], float],
        unix_clock: Callable[[], float],
        rng: random.Random,
    ) -> None:
        self._view = view
        self._host = host
        self._selector = selector
        self._names = names
        self._clock = clock
        self._unix_clock = unix_clock
        self._rng = rng
        self._queues: dict[str, request_queue.RequestQueue] = {}

    def apply_view_changes(self, changes: views.Changes) -> None:
        """Apply changes of the view."""
        if not changes.kinds & _RELEVANT_KINDS:
            return
        now_s = self._clock()
        if changes.upstreams is None or fleet_state.DRAIN in changes.kinds:
            self._selector.update_upstreams(
                self._view.upstreams,
                draining_domains=self._view.draining_domains,
                cold_s=self._cold_s,
                now_s=now_s,
            )
        else:
            for name in sorted(changes.upstreams):
                self._selector.update_upstream(
                    name, self._view.upstream(name), now_s=now_s
                )
        for queue in self._queues.values():
            queue.wake(len(queue))

    async def reserve(
        self, call: calls.Call
    ) -> candidates.Candidate | refusals.Refusal:
        """Return a candidate with a slot reserved for a call, or a refusal.

        Waits in the queue of the service while no slot is free, for as long
        as a response would still be in time.
        """
        criteria = self._criteria(call)
        queue = self._queue(call)
        arrived_s = self._clock()
        if call.deadline_s - arrived_s < MIN_TIME_LEFT_S:
            return refusals.refuse(
                refusals.Reason.NO_CAPACITY,
                'no time is left',
                retry_after_s=0.05,
            )
        if queue.is_empty_up_to(call.rank):
            candidate = self._try_reserve(call, criteria)
            if not sentinels.is_absent(candidate):
                return candidate
            if candidate.reason == 'no_upstream':
                return self._refuse(call, queue, candidate)
        else:
            candidate = sentinels.Absent('no_room', 'others wait')
        return await self._wait_in_queue(call, criteria, queue, candidate)

    def refuse(self, call: calls.Call) -> refusals.Refusal:
        """Return the refusal of a call that is not sent again."""
        queue = self._queue(call)
        return self._refuse(call, queue, sentinels.Absent('no_room'))

    def release(
        self, call: calls.Call, candidate: candidates.Candidate
    ) -> None:
        """Release the slot of a call and wake the head of the queue."""
        self._selector.release(candidate)
        queue = self._queue(call)
        queue.record_completion(now_s=self._clock())
        queue.wake()

    def cancel(
        self, call: calls.Call, candidate: candidates.Candidate
    ) -> None:
        """Release the slot of a call that was not sent."""
        self._selector.release(candidate)
        self._queue(call).wake()

    def record_response(
        self,
        call: calls.Call,
        candidate: candidates.Candidate,
        *,
        took_s: float,
    ) -> None:
        """Update the measured times with those of a successful response."""
        self._selector.record_response(
            candidate,
            self._criteria(call),
            took_s=took_s,
            now_s=self._clock(),
        )

    def record_timeout(
        self,
        call: calls.Call,
        candidate: candidates.Candidate,
        *,
        took_s: float,
    ) -> None:
        """Record that an upstream did not respond before the deadline."""
        self._selector.record_timeout(
            candidate,
            self._criteria(call),
            took_s=took_s,
            now_s=self._clock(),
        )

    def _queue(self, call: calls.Call) -> request_queue.RequestQueue:
        return self._queues.setdefault(
            call.service, request_queue.RequestQueue()
        )

    def _try_reserve(
        self,
        call: calls.Call,
        criteria: candidates.SelectionCriteria,
        *,
        is_final: bool = False,
    ) -> candidates.Candidate | sentinels.Absent:
        configured = self._view.service(call.service)
        now_s = self._clock()
        candidate = self._selector.select(
            criteria,
            cold_rate_per_s=None
            if configured is None
            else configured.cold_rate_per_s,
            part_of=self._part,
            now_s=now_s,
            time_of_day_s=self._unix_clock(),
            is_final_attempt=is_final,
        )
        if not sentinels.is_absent(candidate):
            self._selector.reserve(candidate, criteria, now_s=now_s)
        return candidate

    async def _wait_in_queue(
        self,
        call: calls.Call,
        criteria: candidates.SelectionCriteria,
        queue: request_queue.RequestQueue,
        absent: sentinels.Absent,
    ) -> candidates.Candidate | refusals.Refusal:
        now_s = self._clock()
        max_wait_s = request_queue.max_wait_s(
            objective_s=criteria.objective_s,
            expected_s=self._selector.measurements.times_of(criteria).warm_s,
            spent_s=now_s - call.started_s,
            left_s=call.deadline_s - now_s,
        )
        if queue.expected_wait_s(call.rank, now_s=now_s) > max_wait_s:
            candidate = self._try_reserve(call, criteria, is_final=True)
            return candidate or self._refuse(call, queue, absent)
        waiter = queue.enqueue(call.rank, expires_s=now_s + max_wait_s)
        try:
            candidate = await self._wait_for_slot(
                call, criteria, queue, waiter
            )
        finally:
            queue.remove(waiter)
            call.queued_s += self._clock() - now_s
        candidate = candidate or self._try_reserve(
            call, criteria, is_final=True
        )
        return candidate or self._refuse(call, queue, absent)

    async def _wait_for_slot(
        self,
        call: calls.Call,
        criteria: candidates.SelectionCriteria,
        queue: request_queue.RequestQueue,
        waiter: request_queue.Waiter,
    ) -> candidates.Candidate | sentinels.Absent:
        candidate = sentinels.Absent('no_room')
        interval_s = min(
            MAX_POLL_INTERVAL_S,
            max(
                MIN_POLL_INTERVAL_S,
                POLL_OBJECTIVE_SHARE * criteria.objective_s,
            ),
        )
        while (
            not candidate and (left_s := waiter.expires_s - self._clock()) > 0
        ):
            woken = await _wait_woken(waiter, min(left_s, interval_s))
            if woken or queue.is_head(waiter):
                candidate = self._try_reserve(call, criteria)
        return candidate

    def _refuse(
        self,
        call: calls.Call,
        queue: request_queue.RequestQueue,
        absent: sentinels.Absent,
    ) -> refusals.Refusal:
        now_s = self._clock()
        reason = refusals.Reason.NO_CAPACITY
        if absent.reason == 'no_upstream':
            reason = refusals.Reason.NO_UPSTREAM
        return refusals.refuse(
            reason,
            absent.detail,
            retry_after_s=request_queue.retry_after_s(
                backlog_s=queue.expected_wait_s(call.rank, now_s=now_s),
                left_s=max(0.0, call.deadline_s - now_s),
                rng=self._rng,
            ),
        )

    def _part(self, favoured_region: str | None) -> host_parts.HostPart | None:
        return self._view.host_part(
            self._host, favoured_region=favoured_region
        )

    def _criteria(self, call: calls.Call) -> candidates.SelectionCriteria:
        homes = None
        for allowed in (
            call.route.homes,
            call.organisation.homes if call.organisation else (),
        ):
            if allowed:
                allowed_regions = frozenset(allowed)
                homes = (
                    allowed_regions
                    if homes is None
                    else homes & allowed_regions
                )
        affinity_key = None
        if call.route.is_sticky:
            affinity_key = call.request.headers.get(self._names.affinity)
            if affinity_key is not None:
                affinity_key = f'{call.route.name} {affinity_key}'
        return candidates.SelectionCriteria(
            service=call.service,
            route=call.route.name,
            affinity_key=affinity_key,
            homes=homes,
            objective_s=call.route.objective_ms / MS_PER_S,
            excluded=frozenset(call.tried),
        )

    def _cold_s(self, service: str) -> float:
        configured = self._view.service(service)
        return 0.0 if configured is None else configured.cold_ms / MS_PER_S


async def _wait_woken(waiter: request_queue.Waiter, timeout_s: float) -> bool:
    """Return whether a waiter was woken within ``timeout_s``."""
    try:
        async with asyncio.timeout(timeout_s):
            await waiter.woken.wait()
    except TimeoutError:
        return False
    waiter.woken.clear()
    return True
