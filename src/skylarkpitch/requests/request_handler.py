"""Carry a caller's request to an upstream and the answer back.

The order is: admission by line and headers, body, rate, claim, slot,
exchange. Nothing is asked of a later step before the earlier ones agree.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import random
import time
from typing import Any

from aiohttp import web
import structlog

from skylarkpitch import ports
from skylarkpitch.requests import admission
from skylarkpitch.requests import attempts
from skylarkpitch.requests import bodies
from skylarkpitch.requests import crash_watch as crash_watches
from skylarkpitch.requests import exchange
from skylarkpitch.requests import refusals
from skylarkpitch.requests import responses
from skylarkpitch import sentinels
from skylarkpitch.settings import daemon
from skylarkpitch.settings import deployment

__all__ = ['RequestHandler', 'RequestOutcome']

DEFAULT_QUARANTINE_S = 300.0

_log = structlog.get_logger(__name__)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RequestOutcome:
    """End of one call, for histograms and logs.

    ``reason`` is ``answered``, ``replayed``, ``cancelled``, ``broken_off``
    or the reason of a refusal.
    """

    organisation: str | None
    request_class: str
    status: int
    reason: str
    latency_s: float


@dataclasses.dataclass(slots=True)
class _Call:
    started_s: float
    admitted: admission.Admitted | None = None
    body: bodies.CallerBody | None = None
    status: int = 0
    reason: str = 'cancelled'


class RequestHandler:
    """Handle every request outside the system's own paths."""

    def __init__(
        self,
        *,
        site_config: Callable[[], deployment.SiteConfig | sentinels.Absent],
        authenticator: ports.Authenticator,
        limiter: ports.Limiter,
        slot_allocator: ports.SlotAllocator,
        ledger: ports.Ledger,
        settings: daemon.LimitSettings,
        is_stopping: Callable[[], bool],
        on_finished: Callable[[RequestOutcome], None] = lambda outcome: None,
        crash_watch: crash_watches.CrashWatch | None = None,
        region_of: Callable[[str], str | None] = lambda client_ip: None,
        clock: Callable[[], float] = time.monotonic,
        rng: random.Random | None = None,
    ) -> None:
        self._handling = 0
        self._limiter = limiter
        self._ledger = ledger
        self._settings = settings
        self._is_stopping = is_stopping
        self._on_finished = on_finished
        self._clock = clock
        self._rng = rng or random.Random()
        self._admission = admission.Admission(
            site_config=site_config,
            authenticator=authenticator,
            max_header_bytes=settings.max_header_bytes,
            region_of=region_of,
        )
        self._bodies = bodies.BodyReader(settings=settings)
        self._exchanger = exchange.Exchanger(settings=settings, clock=clock)
        self._crash_watch = crash_watch or crash_watches.CrashWatch(
            quarantine_s=lambda: DEFAULT_QUARANTINE_S, clock=clock
        )
        self._attempts = attempts.Attempts(
            slot_allocator=slot_allocator,
            admitter=self._admission,
            exchanger=self._exchanger,
            crash_watch=self._crash_watch,
            clock=clock,
        )
        self._tasks: set[asyncio.Task[Any]] = set()
        self._counts: dict[str, float] = {}

    @property
    def running(self) -> int:
        """Return how many calls and ends of claims are in progress."""
        return self._handling + len(self._tasks)

    async def start(self) -> None:
        """Do nothing yet: sessions open with the first exchange."""

    async def close(self) -> None:
        """Wait for claimed operations, then close the client sessions."""
        while self._tasks:
            await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._exchanger.close()

    def counters(self) -> dict[str, float]:
        """Return running calls, held bytes, retries and ends by reason."""
        return {
            'running': self.running,
            'held_body_bytes': self._bodies.buffered_bytes,
            'retries': self._attempts.retries,
            **self._crash_watch.counters(),
            **self._counts,
        }

    async def handle(self, request: web.Request) -> web.StreamResponse:
        """Answer a request; the catch-all handler of the callers' listener.

        Cancel it when the caller goes away: an idempotent exchange then
        ends at once, and a claimed one runs on so that a resend finds its
        answer.
        """
        call = _Call(started_s=self._clock())
        busy = self._busy()
        self._handling += 1
        try:
            if busy is not None:
                response = self._refuse(call, busy)
            else:
                response = await self._handle(request, call)
        except asyncio.CancelledError:
            call.reason = 'cancelled'
            raise
        except Exception:
            _log.exception('call_failed', method=request.method)
            response = self._refuse(call, sentinels.Absent('host_failed'))
        finally:
            self._handling -= 1
            if call.body is not None:
                self._bodies.free(call.body)
            self._report(call)
        if self._is_stopping():
            response.force_close()
        return response

    def _busy(self) -> sentinels.Absent | None:
        if self._is_stopping():
            return sentinels.Absent('stopping')
        if self._handling >= self._settings.max_running_calls:
            return sentinels.Absent('host_busy')
        return None

    async def _handle(
        self, request: web.Request, call: _Call
    ) -> web.StreamResponse:
        admitted = self._admission.admit(request, now_s=call.started_s)
        if sentinels.is_absent(admitted):
            return self._refuse(call, admitted)
        call.admitted = admitted
        claims = not admitted.repeatable and admitted.operation_id is not None
        body = await self._bodies.read(request, whole=claims)
        if sentinels.is_absent(body):
            return self._refuse(call, body)
        call.body = body
        request_id = _fingerprint(admitted, body)
        left_s = self._crash_watch.quarantine_left_s(request_id)
        if left_s > 0:
            absent = sentinels.Absent('crash_suspect', f'for {left_s:.0f} s')
            return self._refuse(call, absent)
        spent = await self._spend(admitted)
        if sentinels.is_absent(spent):
            return self._refuse(call, spent)
        if claims:
            return await self._claimed(request, call, request_id)
        ended = await self._attempts.run(admitted, body, request_id)
        return await self._respond(request, call, ended)

    async def _spend(
        self, admitted: admission.Admitted
    ) -> float | sentinels.Absent:
        organisation = admitted.caller.organisation
        if organisation is None:
            return 0.0
        return await self._limiter.spend(
            organisation,
            now_s=self._clock(),
            deadline_s=admitted.deadline_s,
        )

    async def _claimed(
        self,
        request: web.Request,
        call: _Call,
        request_id: bytes,
    ) -> web.StreamResponse:
        admitted, body = call.admitted, call.body
        claim = await self._ledger.claim(
            organisation=admitted.caller.organisation or '',
            operation_id=admitted.operation_id or '',
            fingerprint=request_id,
            deadline_s=admitted.deadline_s,
        )
        if sentinels.is_absent(claim):
            return self._refuse(call, claim)
        if isinstance(claim, ports.RecordedResponse):
            return self._replay(call, claim)
        task = self._spawn(
            self._run_claimed(admitted, body, claim, request_id)
        )
        try:
            ended = await asyncio.shield(task)
        except asyncio.CancelledError:
            task.add_done_callback(_discard_answer)
            raise
        return await self._respond(request, call, ended)

    async def _run_claimed(
        self,
        admitted: admission.Admitted,
        body: bodies.CallerBody,
        claim: ports.OperationClaim,
        request_id: bytes,
    ) -> attempts.Ended:
        try:
            ended = await self._attempts.run(admitted, body, request_id)
        except BaseException:
            self._spawn(self._ledger.mark_unknown(claim))
            raise
        if ended.answer is not None:
            recorded = ports.RecordedResponse(
                status=ended.answer.status,
                headers=ended.answer.headers,
                body=ended.answer.head if ended.answer.whole else b'',
                is_complete=ended.answer.whole,
            )
            self._spawn(self._ledger.record(claim, recorded))
        elif ended.sent:
            self._spawn(self._ledger.mark_unknown(claim))
        else:
            self._spawn(self._ledger.release(claim))
        return ended

    async def _respond(
        self, request: web.Request, call: _Call, ended: attempts.Ended
    ) -> web.StreamResponse:
        if ended.answer is None:
            return self._refuse_with(call, ended.refusal)
        call.status = ended.answer.status
        call.reason = 'answered'
        if ended.answer.whole:
            return responses.whole(
                ended.answer, method=request.method, extra={}
            )
        result = ports.ExchangeOutcome.CANCELLED
        try:
            response, result = await responses.stream(
                request,
                ended.answer,
                extra={},
                write_timeout_s=self._settings.body_timeout_s,
            )
        finally:
            ended.finish(result)
        if result is not ports.ExchangeOutcome.ANSWERED:
            call.reason = 'broken_off'
        return response

    def _replay(
        self, call: _Call, recorded: ports.RecordedResponse
    ) -> web.StreamResponse:
        if not recorded.is_complete:
            absent = sentinels.Absent(
                'answer_not_kept', f'status {recorded.status}'
            )
            return self._refuse(call, absent)
        call.status = recorded.status
        call.reason = 'replayed'
        return responses.replay(recorded)

    def _refuse(
        self, call: _Call, absent: sentinels.Absent
    ) -> web.StreamResponse:
        return self._refuse_with(call, refusals.from_absent(absent))

    def _refuse_with(
        self, call: _Call, refusal: refusals.Refusal
    ) -> web.StreamResponse:
        call.status = refusal.status
        call.reason = refusal.reason
        return responses.refuse(refusal)

    def _report(self, call: _Call) -> None:
        name = f'ended.{call.reason}'
        self._counts[name] = self._counts.get(name, 0) + 1
        admitted = call.admitted
        self._on_finished(
            RequestOutcome(
                organisation=admitted and admitted.caller.organisation,
                request_class=(
                    admitted.matched.route.request_class
                    if admitted
                    else 'unknown'
                ),
                status=call.status,
                reason=call.reason,
                latency_s=self._clock() - call.started_s,
            )
        )

    def _spawn(self, work: Awaitable[Any]) -> asyncio.Task[Any]:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._ended)
        return task

    def _ended(self, task: asyncio.Task[Any]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            _log.error('claim_end_failed', error=str(task.exception()))


def _discard_answer(task: asyncio.Task[attempts.Ended]) -> None:
    """Give back what an answer holds that nobody waits for any more."""
    if task.cancelled() or task.exception() is not None:
        return
    ended = task.result()
    if ended.answer is not None:
        ended.answer.close()
    ended.finish(ports.ExchangeOutcome.CANCELLED)


def _fingerprint(
    admitted: admission.Admitted, body: bodies.CallerBody
) -> bytes:
    return crash_watches.fingerprint(
        admitted.caller.organisation,
        admitted.method,
        admitted.target,
        body.head,
    )
