"""Carry a caller's request to an upstream and the answer back.

The order is: route, key, rate, body, place, exchange. A request that may
not repeat is sent a second time only when no byte of it has left, or when
the upstream said that it did not run it.
"""

from collections.abc import Callable
import dataclasses
import random
import time

from aiohttp import web
import structlog

from skylarkpitch.fleet import control_requests
from skylarkpitch.fleet import view as views
from skylarkpitch.forwarding import admission
from skylarkpitch.forwarding import callers
from skylarkpitch.forwarding import calls
from skylarkpitch.forwarding import names as header_names
from skylarkpitch.forwarding import placing
from skylarkpitch.forwarding import refusals
from skylarkpitch.forwarding import replies
from skylarkpitch.forwarding import retry_budget
from skylarkpitch.forwarding import room as rooms
from skylarkpitch.forwarding import sender as senders
from skylarkpitch.requests import crash_suspicion

__all__ = ['Done', 'ForwardingPath']

MAX_UNREACHED = 4
COME_BACK_S = 0.2
QUARANTINE_S = 60.0
MS_PER_S = 1000
WRONG_UPSTREAM = 421

_log = structlog.get_logger(__name__)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Done:
    """End of one request, for counters, histograms and logs."""

    request_id: str | None
    route: str
    organisation: str
    status: int
    reason: str
    detail: str
    upstreams: tuple[str, ...]
    held_s: float
    took_s: float
    left_s: float


class ForwardingPath:
    """Handle every request of callers on one entry host."""

    def __init__(
        self,
        *,
        view: views.FleetView,
        room: rooms.Room,
        names: header_names.HeaderNames,
        retry_limits: retry_budget.RetryLimits,
        rate_tolerance: callers.RateTolerance,
        is_ready: Callable[[], bool],
        is_stopping: Callable[[], bool],
        on_done: Callable[[Done], None],
        clock: Callable[[], float] = time.monotonic,
        rng: random.Random | None = None,
    ) -> None:
        self._view = view
        self._names = names
        self._is_stopping = is_stopping
        self._on_done = on_done
        self._clock = clock
        self._admission = admission.Admission(
            view=view,
            names=names,
            rate_tolerance=rate_tolerance,
            is_open=lambda: is_ready() or is_stopping(),
            clock=clock,
        )
        self.room = room
        self._placing = placing.Placing(
            view=view,
            room=room,
            names=names,
            clock=clock,
            rng=rng or random.Random(),
        )
        self._repeats = retry_budget.Repeats(limits=retry_limits)
        self._suspicions = crash_suspicion.Suspicions()
        self._sender = senders.Sender(names=names)
        self.running = 0

    def open(self) -> None:
        """Get ready to send; call it on the running loop."""
        self._sender.open()

    async def close(self) -> None:
        """Close the connections towards upstreams."""
        await self._sender.close()

    def learn(self, changed: frozenset[str]) -> None:
        """Take over what has changed in the view."""
        self._admission.learn(changed)
        self._placing.learn(changed)

    @property
    def rates(self) -> callers.RateLimits:
        """Return this host's parts of the organisations' rates."""
        return self._admission.rates

    def grant(self, grant: control_requests.EntryGrant) -> None:
        """Keep to what control grants this host."""
        now_s = self._clock()
        self.rates.grant(grant.rate_per_s, now_s=now_s)
        self.room.grant(grant.own_shares, now_s=now_s)

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer a request of a caller."""
        started_s = self._clock()
        given = request.headers.get(self._names.deadline_ms, '')
        call = calls.Call(
            request=request,
            started_s=started_s,
            deadline_s=started_s + admission.asked_s(given),
            request_id=request.headers.get(self._names.request_id),
        )
        self.running += 1
        status, reason, detail = 0, 'caller_gone', ''
        try:
            result = await self._admit_and_send(call)
            status = result.status
            if isinstance(result, refusals.Refusal):
                reason, detail = result.reason.value, result.detail
                return self._with_goodbye(
                    replies.refusal(result, names=self._names)
                )
            reason = 'answered' if status < 500 else 'upstream_failed'
            return await replies.answer(
                request, result, finish=self._with_goodbye
            )
        finally:
            self.running -= 1
            self._tell(call, status, reason, detail)

    def _tell(
        self, call: calls.Call, status: int, reason: str, detail: str
    ) -> None:
        now_s = self._clock()
        self._on_done(
            Done(
                request_id=call.request_id,
                route=call.route.name if call.route else '',
                organisation=(
                    call.organisation.name if call.organisation else ''
                ),
                status=status,
                reason=reason,
                detail=detail,
                upstreams=tuple(call.tried),
                held_s=call.held_s,
                took_s=now_s - call.started_s,
                left_s=call.deadline_s - now_s,
            )
        )

    async def _admit_and_send(
        self, call: calls.Call
    ) -> senders.Answer | refusals.Refusal:
        refused = await self._admission.admit(call)
        if refused is not None:
            return refused
        left_s = self._suspicions.quarantine_left_s(
            call.fingerprint, now_s=self._clock()
        )
        if left_s > 0:
            return refusals.refuse(
                refusals.Reason.QUARANTINED,
                'upstreams that ran this request broke off',
                retry_after_s=left_s,
            )
        now_s = self._clock()
        self._repeats.add_request(call.service, now_s=now_s)
        self.room.asked(call.service, now_s=now_s)
        return await self._send_until_answered(call)

    async def _send_until_answered(
        self, call: calls.Call
    ) -> senders.Answer | refusals.Refusal:
        """Send a request until one upstream answers or none may."""
        while True:
            place = await self._placing.find(call)
            if isinstance(place, refusals.Refusal):
                return self._after_sending(call, place)
            result = await self._send(call, place)
            if isinstance(result, senders.Failure):
                ended = self._after_failure(call, place, result)
            else:
                ended = self._after_answer(call, place, result)
            if ended is not None:
                return ended

    def _after_sending(
        self, call: calls.Call, refusal: refusals.Refusal
    ) -> refusals.Refusal:
        """Keep a refusal from promising what may not be true."""
        if not call.may_have_run or refusal.status not in (408, 421, 429, 503):
            return refusal
        return refusals.refuse(refusals.Reason.BROKEN, refusal.detail)

    async def _send(
        self, call: calls.Call, place: rooms.Place
    ) -> senders.Answer | senders.Failure:
        upstream = place.load.upstream
        call.tried.append(upstream.upstream_id)
        sent_s = self._clock()
        try:
            result = await self._sender.send(
                replies.outgoing(
                    call, upstream, names=self._names, now_s=sent_s
                ),
                address=upstream.address,
                deadline_s=call.deadline_s,
            )
        finally:
            self._placing.ended(call, place)
        now_s = self._clock()
        if isinstance(result, senders.Answer):
            self._note_load(place, result, now_s=now_s)
            if result.status < 400:
                took_s = now_s - sent_s
                self._placing.answered(call, place, took_s=took_s)
        return result

    def _note_load(
        self, place: rooms.Place, answer: senders.Answer, *, now_s: float
    ) -> None:
        told = answer.header(self._names.load)
        if told is None:
            return
        parts = told.split(',')
        if len(parts) < 2 or not all(part.strip().isdigit() for part in parts):
            _log.info(
                'load_malformed', upstream=place.load.upstream, told=told
            )
            return
        running, waiting_there = int(parts[0]), int(parts[1])
        place.load.report(running=running, waiting=waiting_there, now_s=now_s)

    def _after_failure(
        self, call: calls.Call, place: rooms.Place, failure: senders.Failure
    ) -> refusals.Refusal | None:
        """Judge an upstream that gave no answer; None sends once more."""
        now_s = self._clock()
        timed_out = failure.reason is refusals.Reason.TOO_LATE
        if timed_out:
            place.load.answered_badly()
        else:
            place.load.broke(now_s=now_s)
        self._tell_failure(call, place, failure)
        if not failure.sent:
            call.unreached += 1
            if call.unreached < MAX_UNREACHED:
                return None
            refused = refusals.refuse(
                failure.reason, failure.detail, retry_after_s=COME_BACK_S
            )
            return self._after_sending(call, refused)
        call.sends += 1
        call.may_have_run = True
        if failure.reason is refusals.Reason.BROKEN:
            self._suspicions.died(
                call.fingerprint,
                place.load.upstream.upstream_id,
                now_s=now_s,
                quarantine_s=QUARANTINE_S,
            )
        if call.route.repeatable and not timed_out and self._may_repeat(call):
            return None
        return refusals.refuse(failure.reason, failure.detail)

    def _after_answer(
        self, call: calls.Call, place: rooms.Place, answer: senders.Answer
    ) -> senders.Answer | refusals.Refusal | None:
        """Judge an answer; None sends the request once more."""
        call.sends += 1
        not_run = (
            answer.header(self._names.not_run) is not None
            or answer.status == WRONG_UPSTREAM
        )
        now_s = self._clock()
        if not not_run:
            self._suspicions.answered(call.fingerprint)
            if answer.status < 500:
                return answer
            place.load.answered_badly()
            if not call.route.repeatable or not self._may_repeat(call):
                return answer
            answer.close()
            call.may_have_run = True
            return None
        if answer.status == WRONG_UPSTREAM:
            place.load.broke(now_s=now_s)
        elif answer.status == 400:
            return answer
        else:
            place.load.rejected(now_s=now_s)
        if self._may_repeat(call):
            answer.close()
            return None
        answer.close()
        refused = self._placing.refuse(call)
        return self._after_sending(
            call, dataclasses.replace(refused, reason=refusals.Reason.REJECTED)
        )

    def _may_repeat(self, call: calls.Call) -> bool:
        now_s = self._clock()
        if call.sends >= call.route.max_upstreams:
            return False
        if call.deadline_s - now_s < placing.LEAST_LEFT_S:
            return False
        return self._repeats.take(
            call.service,
            entry_hosts=self._view.entry_host_count,
            now_s=now_s,
        )

    def _tell_failure(
        self, call: calls.Call, place: rooms.Place, failure: senders.Failure
    ) -> None:
        _log.info(
            'exchange_failed',
            request_id=call.request_id,
            upstream=place.load.upstream.upstream_id,
            address=place.load.upstream.address,
            reason=failure.reason.value,
            sent=failure.sent,
            detail=failure.detail[:160],
            left_ms=int((call.deadline_s - self._clock()) * MS_PER_S),
        )

    def _with_goodbye(
        self, response: web.StreamResponse
    ) -> web.StreamResponse:
        """Have the caller connect elsewhere next when this host stops."""
        if self._is_stopping():
            response.force_close()
        return response
