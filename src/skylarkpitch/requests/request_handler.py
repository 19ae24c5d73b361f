"""Handling of the requests of callers.

The steps are: admission by request line and headers, reading of the body,
rate limit, claim of the operation, reservation of a slot and exchange with
the upstream. Each step starts only if the earlier ones succeeded.
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

from skylarkpitch.listening import limits as connection_limits
from skylarkpitch import ports
from skylarkpitch.requests import admission
from skylarkpitch.requests import attempts
from skylarkpitch.requests import bodies
from skylarkpitch.requests import caller_connection
from skylarkpitch.requests import crash_watch as crash_watches
from skylarkpitch.requests import exchange
from skylarkpitch.requests import refusals
from skylarkpitch.requests import responses
from skylarkpitch import sentinels
from skylarkpitch.settings import daemon
from skylarkpitch.settings import deployment

__all__ = ['RequestHandler', 'RequestOutcome']

DEFAULT_QUARANTINE_S = 300.0
BYTES_PER_MB = 1024 * 1024

_log = structlog.get_logger(__name__)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RequestOutcome:
    """Outcome of one request, for histograms and logs.

    ``reason`` is ``answered``, ``replayed``, ``cancelled``, ``broken_off``
    or the reason of a refusal. ``organisation`` is None on an open route and
    for a request that was not admitted. ``status`` is 0 if no response was
    started.
    """

    organisation: str | None
    request_class: str
    status: int
    reason: str
    latency_s: float


@dataclasses.dataclass(slots=True)
class _RequestState:
    started_s: float
    admitted: admission.AdmittedRequest | None = None
    body: bodies.CallerBody | None = None
    status: int = 0
    reason: str = 'cancelled'


class RequestHandler:
    """Handler of all requests outside the paths of the system itself.

    ``site_config`` returns the configuration in use, or ``Absent``.
    ``pool`` is what the process may hold for its clients. ``is_stopping``
    returns True while the host refuses new requests. Calls ``on_finished``
    with the outcome of each request.
    """

    def __init__(
        self,
        *,
        site_config: Callable[[], deployment.SiteConfig | sentinels.Absent],
        authenticator: ports.Authenticator,
        limiter: ports.Limiter,
        slot_allocator: ports.SlotAllocator,
        ledger: ports.Ledger,
        settings: daemon.LimitSettings,
        pool: connection_limits.MemoryPool | None = None,
        is_stopping: Callable[[], bool],
        on_finished: Callable[[RequestOutcome], None] = lambda outcome: None,
        crash_watch: crash_watches.CrashWatch | None = None,
        region_of: Callable[[str], str | None] = lambda client_ip: None,
        clock: Callable[[], float] = time.monotonic,
        rng: random.Random | None = None,
    ) -> None:
        self._running_requests = 0
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
        self._bodies = bodies.BodyReader(
            settings=settings,
            pool=pool
            or connection_limits.MemoryPool(
                memory_bytes=settings.memory_mb * BYTES_PER_MB
            ),
        )
        self._client = exchange.UpstreamClient(settings=settings, clock=clock)
        self._crash_watch = crash_watch or crash_watches.CrashWatch(
            quarantine_s=lambda: DEFAULT_QUARANTINE_S, clock=clock
        )
        self._attempts = attempts.Attempts(
            slot_allocator=slot_allocator,
            admission=self._admission,
            client=self._client,
            crash_watch=self._crash_watch,
            clock=clock,
        )
        self._tasks: set[asyncio.Task[Any]] = set()
        self._counts: dict[str, float] = {}

    @property
    def running(self) -> int:
        """Return the number of running requests and settlements of claims."""
        return self._running_requests + len(self._tasks)

    async def start(self) -> None:
        """Do nothing; the first exchange opens the client sessions."""

    async def close(self) -> None:
        """Wait for claimed operations, then close the client sessions."""
        while self._tasks:
            await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._client.close()

    def counters(self) -> dict[str, float]:
        """Return running requests, buffered bytes, retries and outcomes."""
        return {
            'running': self.running,
            'held_body_bytes': self._bodies.buffered_bytes,
            'retries': self._attempts.retries,
            **self._crash_watch.counters(),
            **self._counts,
        }

    async def handle(self, request: web.Request) -> web.StreamResponse:
        """Handle a request.

        This is the catch-all handler of the callers' listener. It must be
        cancelled when the caller disconnects. An idempotent exchange is then
        cancelled as well. A claimed one continues, so that a resend gets its
        response.
        """
        state = _RequestState(started_s=self._clock())
        unavailable = self._refusal_reason()
        self._running_requests += 1
        try:
            if unavailable is not None:
                response = self._refuse(state, unavailable)
            else:
                response = await self._handle(request, state)
        except asyncio.CancelledError:
            state.reason = 'cancelled'
            raise
        except Exception:
            _log.exception('call_failed', method=request.method)
            response = self._refuse(state, sentinels.Absent('host_failed'))
        finally:
            self._running_requests -= 1
            if state.body is not None:
                self._bodies.release(state.body)
            self._report_outcome(state)
        if self._is_stopping():
            response.force_close()
        return response

    def _refusal_reason(self) -> sentinels.Absent | None:
        if self._is_stopping():
            return sentinels.Absent('stopping')
        if self._running_requests >= self._settings.max_running_calls:
            return sentinels.Absent('host_busy')
        return None

    async def _handle(
        self, request: web.Request, state: _RequestState
    ) -> web.StreamResponse:
        admitted = self._admission.admit(request, now_s=state.started_s)
        if sentinels.is_absent(admitted):
            return self._refuse(state, admitted)
        state.admitted = admitted
        needs_claim = (
            not admitted.repeatable and admitted.operation_id is not None
        )
        body = await self._bodies.read(request, whole=needs_claim)
        if sentinels.is_absent(body):
            return self._refuse(state, body)
        state.body = body
        request_id = _fingerprint(admitted, body)
        remaining_s = self._crash_watch.quarantine_left_s(request_id)
        if remaining_s > 0:
            absent = sentinels.Absent(
                'crash_suspect', f'for {remaining_s:.0f} s'
            )
            return self._refuse(state, absent)
        spent = await self._spend_rate(admitted)
        if sentinels.is_absent(spent):
            return self._refuse(state, spent)
        if needs_claim:
            return await self._handle_claimed(request, state, request_id)
        outcome = await self._attempts.run(
            admitted,
            body,
            request_id,
            has_caller_left=lambda: caller_connection.has_left(request),
        )
        return await self._respond(request, state, outcome)

    async def _spend_rate(
        self, admitted: admission.AdmittedRequest
    ) -> float | sentinels.Absent:
        organisation = admitted.caller.organisation
        if organisation is None:
            return 0.0
        return await self._limiter.spend(
            organisation,
            now_s=self._clock(),
            deadline_s=admitted.deadline_s,
        )

    async def _handle_claimed(
        self,
        request: web.Request,
        state: _RequestState,
        request_id: bytes,
    ) -> web.StreamResponse:
        admitted, body = state.admitted, state.body
        if caller_connection.has_left(request):
            # Once claimed, an operation runs whether the caller waits or not.
            raise asyncio.CancelledError
        claim = await self._ledger.claim(
            organisation=admitted.caller.organisation or '',
            operation_id=admitted.operation_id or '',
            fingerprint=request_id,
            deadline_s=admitted.deadline_s,
        )
        if sentinels.is_absent(claim):
            return self._refuse(state, claim)
        if isinstance(claim, ports.RecordedResponse):
            return self._replay(state, claim)
        task = self._spawn(
            self._run_claimed(admitted, body, claim, request_id)
        )
        try:
            outcome = await asyncio.shield(task)
        except asyncio.CancelledError:
            task.add_done_callback(_discard_response)
            raise
        return await self._respond(request, state, outcome)

    async def _run_claimed(
        self,
        admitted: admission.AdmittedRequest,
        body: bodies.CallerBody,
        claim: ports.OperationClaim,
        request_id: bytes,
    ) -> attempts.AttemptsOutcome:
        try:
            outcome = await self._attempts.run(admitted, body, request_id)
        except BaseException:
            self._spawn(self._ledger.mark_unknown(claim))
            raise
        if outcome.response is not None:
            recorded = ports.RecordedResponse(
                status=outcome.response.status,
                headers=outcome.response.headers,
                body=outcome.response.prefix
                if outcome.response.is_complete
                else b'',
                is_complete=outcome.response.is_complete,
            )
            self._spawn(self._ledger.record(claim, recorded))
        elif outcome.sent:
            self._spawn(self._ledger.mark_unknown(claim))
        else:
            self._spawn(self._ledger.release(claim))
        return outcome

    async def _respond(
        self,
        request: web.Request,
        state: _RequestState,
        outcome: attempts.AttemptsOutcome,
    ) -> web.StreamResponse:
        if outcome.response is None:
            return self._refuse_for(state, outcome.refusal)
        state.status = outcome.response.status
        state.reason = 'answered'
        if outcome.response.is_complete:
            return responses.complete_response(
                outcome.response, method=request.method, extra={}
            )
        result = ports.ExchangeOutcome.CANCELLED
        try:
            response, result = await responses.stream_response(
                request,
                outcome.response,
                extra={},
                write_timeout_s=self._settings.body_timeout_s,
            )
        finally:
            outcome.finish(result)
        if result is not ports.ExchangeOutcome.ANSWERED:
            state.reason = 'broken_off'
        return response

    def _replay(
        self, state: _RequestState, recorded: ports.RecordedResponse
    ) -> web.StreamResponse:
        if not recorded.is_complete:
            absent = sentinels.Absent(
                'answer_not_kept', f'status {recorded.status}'
            )
            return self._refuse(state, absent)
        state.status = recorded.status
        state.reason = 'replayed'
        return responses.replay_response(recorded)

    def _refuse(
        self, state: _RequestState, absent: sentinels.Absent
    ) -> web.StreamResponse:
        return self._refuse_for(state, refusals.from_absent(absent))

    def _refuse_for(
        self, state: _RequestState, refusal: refusals.Refusal
    ) -> web.StreamResponse:
        state.status = refusal.status
        state.reason = refusal.reason
        return responses.refusal_response(refusal)

    def _report_outcome(self, state: _RequestState) -> None:
        name = f'ended.{state.reason}'
        self._counts[name] = self._counts.get(name, 0) + 1
        admitted = state.admitted
        self._on_finished(
            RequestOutcome(
                organisation=admitted and admitted.caller.organisation,
                request_class=(
                    admitted.route_match.route.request_class
                    if admitted
                    else 'unknown'
                ),
                status=state.status,
                reason=state.reason,
                latency_s=self._clock() - state.started_s,
            )
        )

    def _spawn(self, work: Awaitable[Any]) -> asyncio.Task[Any]:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._on_task_done)
        return task

    def _on_task_done(self, task: asyncio.Task[Any]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            _log.error('claim_end_failed', error=str(task.exception()))


def _discard_response(task: asyncio.Task[attempts.AttemptsOutcome]) -> None:
    """Release the connection and the slot of a response without receiver."""
    if task.cancelled() or task.exception() is not None:
        return
    outcome = task.result()
    if outcome.response is not None:
        outcome.response.close()
    outcome.finish(ports.ExchangeOutcome.CANCELLED)


def _fingerprint(
    admitted: admission.AdmittedRequest, body: bodies.CallerBody
) -> bytes:
    return crash_watches.fingerprint(
        admitted.caller.organisation,
        admitted.method,
        admitted.target,
        body.prefix,
    )
