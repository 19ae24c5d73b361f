"""Carry a caller's request to an upstream and the answer back.

The order is: route, key, rate, body, place, exchange. A request that may
not repeat is sent a second time only when no byte of it has left, or when
the upstream said that it did not run it.
"""

import asyncio
from collections.abc import Callable
import dataclasses
import random
import time

from aiohttp import web
import multidict
import structlog

from skylarkpitch.fleet import model
from skylarkpitch.fleet import state as fleet_state
from skylarkpitch.fleet import view as views
from skylarkpitch.forwarding import callers
from skylarkpitch.forwarding import names as header_names
from skylarkpitch.forwarding import refusals
from skylarkpitch.forwarding import retry_budget
from skylarkpitch.forwarding import room as rooms
from skylarkpitch.forwarding import routing
from skylarkpitch.forwarding import sender as senders
from skylarkpitch.forwarding import waiting
from skylarkpitch.requests import crash_suspicion
from skylarkpitch.requests import headers as header_rules
from skylarkpitch import sentinels

__all__ = ['Done', 'ForwardingPath', 'RetryLimits']

DEFAULT_DEADLINE_S = 30.0
MAX_UNREACHED = 4
LOOK_AGAIN_S = 0.03
LEAST_LEFT_S = 0.005
QUARANTINE_S = 60.0
MS_PER_S = 1000
WRONG_UPSTREAM = 421

_log = structlog.get_logger(__name__)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RetryLimits:
    """How many requests may be sent again, over the fleet."""

    ratio: float = 0.1
    extra: float = 10.0
    window_s: float = 10.0


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


@dataclasses.dataclass(slots=True, kw_only=True)
class _Call:
    request: web.BaseRequest
    started_s: float
    deadline_s: float
    request_id: str | None
    route: model.Route | None = None
    organisation: model.Organisation | None = None
    service: str = ''
    body: bytes = b''
    fingerprint: bytes = b''
    rank: int = 0
    tried: list[str] = dataclasses.field(default_factory=list)
    unreached: int = 0
    sends: int = 0
    may_have_run: bool = False
    held_s: float = 0.0

    @property
    def target(self) -> str:
        return self.request.raw_path


class ForwardingPath:
    """Handle every request of callers on one entry host."""

    def __init__(
        self,
        *,
        view: views.FleetView,
        room: rooms.Room,
        names: header_names.HeaderNames,
        retry_limits: RetryLimits,
        rate_tolerance: callers.RateTolerance,
        is_ready: Callable[[], bool],
        is_stopping: Callable[[], bool],
        on_done: Callable[[Done], None],
        clock: Callable[[], float] = time.monotonic,
        rng: random.Random | None = None,
    ) -> None:
        self._view = view
        self._room = room
        self._names = names
        self._retry_limits = retry_limits
        self._is_ready = is_ready
        self._is_stopping = is_stopping
        self._on_done = on_done
        self._clock = clock
        self._rng = rng or random.Random()
        self._routes = routing.RoutingTable(())
        self._splitter = routing.Splitter()
        self._keys = callers.KeyTable(())
        self.rates = callers.RateLimits(tolerance=rate_tolerance)
        self._lines: dict[str, waiting.Line] = {}
        self._budgets: dict[str, retry_budget.RetryBudget] = {}
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
        if fleet_state.ROUTE in changed:
            self._routes = routing.RoutingTable(self._view.routes)
            self._splitter.forget()
        if fleet_state.ORGANISATION in changed:
            self._keys = callers.KeyTable(self._view.organisations)
        placed = {
            fleet_state.UPSTREAM,
            fleet_state.DRAIN,
            fleet_state.SERVICE,
        }
        if changed & placed:
            self._room.learn(
                self._view.upstreams,
                draining_domains=self._view.draining_domains,
                cold_s=self._cold_s,
                now_s=self._clock(),
            )
            for line in self._lines.values():
                line.wake(len(line))

    def _cold_s(self, service: str) -> float:
        known = self._view.service(service)
        return 0.0 if known is None else known.cold_ms / MS_PER_S

    @property
    def _entry_hosts(self) -> int:
        return max(1, sum(1 for _host in self._view.entry_hosts))

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer a request of a caller."""
        started_s = self._clock()
        call = _Call(
            request=request,
            started_s=started_s,
            deadline_s=started_s + self._asked_s(request),
            request_id=request.headers.get(self._names.request_id),
        )
        self.running += 1
        status, reason, detail = 0, 'caller_gone', ''
        try:
            result = await self._admit_and_send(call)
            status = result.status
            if isinstance(result, refusals.Refusal):
                reason, detail = result.reason.value, result.detail
                return self._refusal(result)
            reason = 'answered' if status < 500 else 'upstream_failed'
            return await self._answer(request, result)
        finally:
            self.running -= 1
            self._tell(call, status, reason, detail)

    def _tell(
        self, call: _Call, status: int, reason: str, detail: str
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

    def _asked_s(self, request: web.BaseRequest) -> float:
        given = request.headers.get(self._names.deadline_ms, '')
        try:
            asked_s = float(given) / MS_PER_S
        except ValueError:
            return DEFAULT_DEADLINE_S
        return min(max(asked_s, 0.0), DEFAULT_DEADLINE_S)

    async def _admit_and_send(
        self, call: _Call
    ) -> senders.Answer | refusals.Refusal:
        refused = self._admit(call) or await self._read_body(call)
        if refused is not None:
            return refused
        call.service = self._splitter.service(call.route)
        left_s = self._suspicions.quarantine_left_s(
            call.fingerprint, now_s=self._clock()
        )
        if left_s > 0:
            return refusals.refuse(
                refusals.Reason.QUARANTINED,
                'upstreams that ran this request broke off',
                retry_after_s=left_s,
            )
        self._budget(call.service).add_request(now_s=self._clock())
        return await self._send_until_answered(call)

    def _admit(self, call: _Call) -> refusals.Refusal | None:
        if not self._view.version or not (
            self._is_ready() or self._is_stopping()
        ):
            return refusals.refuse(
                refusals.Reason.NO_CONFIGURATION, retry_after_s=0.3
            )
        host = call.request.headers.get('Host', '')
        path = call.target.partition('?')[0]
        call.route = self._routes.find(host.partition(':')[0], path)
        if call.route is None:
            return refusals.refuse(refusals.Reason.ROUTE_UNKNOWN)
        now_s = self._clock()
        call.deadline_s = min(
            call.deadline_s,
            call.started_s + call.route.timeout_ms / MS_PER_S,
        )
        call.rank = call.route.rank
        return self._admit_caller(call, now_s)

    def _admit_caller(
        self, call: _Call, now_s: float
    ) -> refusals.Refusal | None:
        key = call.request.headers.get(self._names.api_key)
        if key is not None:
            call.organisation = self._keys.holder(key)
        if call.route.is_public:
            return None
        if call.organisation is None:
            if self._keys.is_empty:
                return None
            return refusals.refuse(refusals.Reason.KEY_UNKNOWN)
        if call.organisation.rank is not None:
            call.rank = call.organisation.rank
        wait_s = self.rates.spend(
            call.organisation, entry_hosts=self._entry_hosts, now_s=now_s
        )
        if wait_s > 0:
            return refusals.refuse(
                refusals.Reason.OVER_RATE,
                f'{call.organisation.name} is over its rate',
                retry_after_s=wait_s,
            )
        return None

    async def _read_body(self, call: _Call) -> refusals.Refusal | None:
        request = call.request
        limits = self._view.limits
        problem = header_rules.check_framing(request.headers)
        if problem is not None:
            return refusals.refuse(refusals.Reason.MALFORMED, problem.detail)
        length = request.content_length or 0
        if length > limits.max_body_bytes:
            return refusals.refuse(refusals.Reason.BODY_TOO_LARGE)
        if request.body_exists:
            if request.headers.get('Expect', '').lower() == '100-continue':
                request.transport.write(b'HTTP/1.1 100 Continue\r\n\r\n')
            refused = await self._fill_body(call, limits.max_body_bytes)
            if refused is not None:
                return refused
        organisation = call.organisation.name if call.organisation else ''
        call.fingerprint = (
            '\0'.join((organisation, request.method, call.target)).encode(
                'utf-8', 'surrogateescape'
            )
            + call.body
        )
        return None

    async def _fill_body(
        self, call: _Call, most_bytes: int
    ) -> refusals.Refusal | None:
        left_s = max(0.0, call.deadline_s - self._clock())
        try:
            async with asyncio.timeout(left_s):
                call.body = await _whole_body(call.request, most_bytes)
        except TimeoutError:
            return refusals.refuse(refusals.Reason.BODY_LATE)
        except web.RequestPayloadError as error:
            return refusals.refuse(refusals.Reason.MALFORMED, str(error))
        if len(call.body) > most_bytes:
            return refusals.refuse(refusals.Reason.BODY_TOO_LARGE)
        return None

    async def _send_until_answered(
        self, call: _Call
    ) -> senders.Answer | refusals.Refusal:
        """Send a request until one upstream answers or none may."""
        while True:
            place = await self._find_place(call)
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
        self, call: _Call, refusal: refusals.Refusal
    ) -> refusals.Refusal:
        """Keep a refusal from promising what may not be true."""
        if not call.may_have_run or refusal.status not in (408, 421, 429, 503):
            return refusal
        return refusals.refuse(refusals.Reason.BROKEN, refusal.detail)

    async def _find_place(self, call: _Call) -> rooms.Place | refusals.Refusal:
        wanted = self._wanted(call)
        line = self._lines.setdefault(call.service, waiting.Line())
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
                return self._no_place(call, line, place)
        else:
            place = sentinels.Absent('no_room', 'others wait')
        return await self._wait(call, wanted, line, place)

    def _look(
        self, call: _Call, wanted: rooms.Wanted, *, is_last: bool = False
    ) -> rooms.Place | sentinels.Absent:
        known = self._view.service(call.service)
        now_s = self._clock()
        place = self._room.find(
            wanted,
            cold_rate_per_s=None if known is None else known.cold_rate_per_s,
            entry_hosts=self._entry_hosts,
            now_s=now_s,
            is_last_look=is_last,
        )
        if not sentinels.is_absent(place):
            self._room.take(place, wanted, now_s=now_s)
        return place

    async def _wait(
        self,
        call: _Call,
        wanted: rooms.Wanted,
        line: waiting.Line,
        absent: sentinels.Absent,
    ) -> rooms.Place | refusals.Refusal:
        now_s = self._clock()
        hold_s = waiting.hold_s(
            objective_s=wanted.objective_s,
            expected_s=self._room.expected_s(wanted),
            spent_s=now_s - call.started_s,
            left_s=call.deadline_s - now_s,
        )
        if line.wait_s(call.rank, now_s=now_s) > hold_s:
            place = self._look(call, wanted, is_last=True)
            return place or self._no_place(call, line, absent)
        waiter = line.join(call.rank, until_s=now_s + hold_s)
        try:
            place = await self._wait_for_place(call, wanted, line, waiter)
        finally:
            line.leave(waiter)
            call.held_s += self._clock() - now_s
        place = place or self._look(call, wanted, is_last=True)
        return place or self._no_place(call, line, absent)

    async def _wait_for_place(
        self,
        call: _Call,
        wanted: rooms.Wanted,
        line: waiting.Line,
        waiter: waiting.Waiter,
    ) -> rooms.Place | sentinels.Absent:
        place = sentinels.Absent('no_room')
        while not place and (left_s := waiter.until_s - self._clock()) > 0:
            woken = await _woken(waiter, min(left_s, LOOK_AGAIN_S))
            if woken or line.is_next(waiter):
                place = self._look(call, wanted)
        return place

    def _no_place(
        self, call: _Call, line: waiting.Line, absent: sentinels.Absent
    ) -> refusals.Refusal:
        now_s = self._clock()
        reason = refusals.Reason.NO_ROOM
        if absent.reason == 'no_upstream':
            reason = refusals.Reason.NO_UPSTREAM
        return refusals.refuse(
            reason,
            absent.detail,
            retry_after_s=waiting.retry_after_s(
                backlog_s=line.wait_s(call.rank, now_s=now_s),
                left_s=max(0.0, call.deadline_s - now_s),
                rng=self._rng,
            ),
        )

    def _wanted(self, call: _Call) -> rooms.Wanted:
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
        return rooms.Wanted(
            service=call.service,
            route=call.route.name,
            affinity=affinity,
            homes=homes,
            objective_s=call.route.objective_ms / MS_PER_S,
            excluded=frozenset(call.tried),
        )

    async def _send(
        self, call: _Call, place: rooms.Place
    ) -> senders.Answer | senders.Failure:
        upstream = place.load.upstream
        call.tried.append(upstream.upstream_id)
        sent_s = self._clock()
        line = self._lines[call.service]
        try:
            result = await self._sender.send(
                self._outgoing(call, upstream, now_s=sent_s),
                address=upstream.address,
                deadline_s=call.deadline_s,
            )
        finally:
            self._room.give_back(place)
            line.served(now_s=self._clock())
            line.wake()
        now_s = self._clock()
        if isinstance(result, senders.Answer):
            self._note_load(place, result, now_s=now_s)
            if result.status < 400:
                took_s = now_s - sent_s
                self._room.answered(place, self._wanted(call), took_s=took_s)
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

    def _outgoing(
        self, call: _Call, upstream: model.Upstream, *, now_s: float
    ) -> senders.Outgoing:
        names = self._names
        replaced = {
            names.deadline_ms.lower(),
            names.api_key.lower(),
            names.organisation.lower(),
            names.expected_upstream.lower(),
            header_rules.CONTENT_LENGTH.lower(),
        }
        pairs = [
            pair
            for pair in header_rules.end_to_end(call.request.headers)
            if pair[0].lower() not in replaced
        ]
        pairs.append(('Host', call.request.headers.get('Host', '')))
        left_ms = max(1, int((call.deadline_s - now_s) * MS_PER_S))
        pairs.append((names.deadline_ms, str(left_ms)))
        pairs.append((names.expected_upstream, upstream.upstream_id))
        if call.organisation is not None:
            pairs.append((names.organisation, call.organisation.name))
        return senders.Outgoing(
            method=call.request.method,
            target=call.target,
            headers=tuple(pairs),
            body=call.body,
            request_id=call.request_id,
        )

    def _after_failure(
        self, call: _Call, place: rooms.Place, failure: senders.Failure
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
            return refusals.refuse(
                failure.reason, failure.detail, retry_after_s=0.2
            )
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
        self, call: _Call, place: rooms.Place, answer: senders.Answer
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
        line = self._lines[call.service]
        refused = self._no_place(call, line, sentinels.Absent('no_room'))
        return self._after_sending(
            call, dataclasses.replace(refused, reason=refusals.Reason.REJECTED)
        )

    def _may_repeat(self, call: _Call) -> bool:
        now_s = self._clock()
        if call.sends >= call.route.max_upstreams:
            return False
        if call.deadline_s - now_s < LEAST_LEFT_S:
            return False
        budget = self._budget(call.service)
        return budget.take(entry_hosts=self._entry_hosts, now_s=now_s)

    def _budget(self, service: str) -> retry_budget.RetryBudget:
        if service not in self._budgets:
            self._budgets[service] = retry_budget.RetryBudget(
                ratio=self._retry_limits.ratio,
                extra=self._retry_limits.extra,
                window_s=self._retry_limits.window_s,
            )
        return self._budgets[service]

    def _tell_failure(
        self, call: _Call, place: rooms.Place, failure: senders.Failure
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

    def _refusal(self, refusal: refusals.Refusal) -> web.Response:
        headers = {'Content-Type': 'application/json'}
        if refusal.retry_after_s is not None:
            headers[self._names.retry_after] = f'{refusal.retry_after_s:.3f}'
        response = web.Response(
            status=refusal.status, headers=headers, body=refusal.body()
        )
        self._say_goodbye(response)
        return response

    async def _answer(
        self, request: web.BaseRequest, answer: senders.Answer
    ) -> web.StreamResponse:
        headers = multidict.CIMultiDict(answer.headers)
        if answer.rest is None:
            headers.popall(header_rules.CONTENT_LENGTH, None)
            response = web.Response(
                status=answer.status, headers=headers, body=answer.body
            )
            self._say_goodbye(response)
            return response
        response = web.StreamResponse(status=answer.status, headers=headers)
        self._say_goodbye(response)
        try:
            await response.prepare(request)
            await response.write(answer.body)
            async for chunk in answer.rest:
                await response.write(chunk)
            await response.write_eof()
        except BaseException:
            # A part must not look whole.
            answer.close()
            if request.transport is not None:
                request.transport.abort()
            raise
        return response

    def _say_goodbye(self, response: web.StreamResponse) -> None:
        if self._is_stopping():
            response.force_close()


async def _whole_body(request: web.BaseRequest, most_bytes: int) -> bytes:
    """Read a body, or a little more of it than is allowed."""
    chunks = []
    size = 0
    while size <= most_bytes and (chunk := await request.content.readany()):
        chunks.append(chunk)
        size += len(chunk)
    return b''.join(chunks)


async def _woken(waiter: waiting.Waiter, timeout_s: float) -> bool:
    """Wait to be woken, and tell whether that happened in time."""
    try:
        await asyncio.wait_for(waiter.woken.wait(), timeout_s)
    except TimeoutError:
        return False
    waiter.woken.clear()
    return True
