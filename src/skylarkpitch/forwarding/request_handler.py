"""Forward the requests of callers to upstreams, and relay the responses.

The steps are: route, API key, rate, body, upstream, exchange. A request that
is not repeatable is sent again only if no byte of it has left this host, or
if the upstream reported that it did not run it.
"""

import asyncio
from collections.abc import Callable
import dataclasses
import random
import time

from aiohttp import web
import structlog

from skylarkpitch.fleet import control_requests
from skylarkpitch.fleet import model
from skylarkpitch.fleet import view as views
from skylarkpitch.forwarding import admission
from skylarkpitch.forwarding import callers
from skylarkpitch.forwarding import calls
from skylarkpitch.forwarding import candidates
from skylarkpitch.forwarding import crash_tracker
from skylarkpitch.forwarding import header_names
from skylarkpitch.forwarding import http_messages
from skylarkpitch.forwarding import refusals
from skylarkpitch.forwarding import retry_budget
from skylarkpitch.forwarding import scheduler as schedulers
from skylarkpitch.forwarding import sender as senders
from skylarkpitch.forwarding import upstream_notices
from skylarkpitch.forwarding import upstream_selector as selectors

__all__ = ['RequestHandler', 'RequestOutcome']

MAX_CONNECT_FAILURES = 4
RETRY_AFTER_S = 0.2
MS_PER_S = 1000
STATUS_MISDIRECTED_REQUEST = 421

_log = structlog.get_logger(__name__)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RequestOutcome:
    """Result of one request, for counters, histograms and logs.

    ``status`` is 0 when the caller closed the connection. ``reason`` is
    ``answered``, ``upstream_failed`` for a response with status 500 or more,
    ``caller_gone``, or the reason of the refusal. ``left_s`` is the time
    that was left to the deadline. ``expected_s`` and ``expected_warm`` are
    what the last upstream was selected by.
    """

    request_id: str | None
    route: str
    organisation: str
    status: int
    reason: str
    detail: str
    upstreams: tuple[str, ...]
    queued_s: float
    took_s: float
    left_s: float
    affinity_key: str
    expected_s: float
    expected_warm: bool


class RequestHandler:
    """Handle all requests of callers on the entry host named ``host``."""

    def __init__(
        self,
        *,
        view: views.FleetView,
        host: str,
        selector: selectors.UpstreamSelector,
        names: header_names.HeaderNames,
        retry_limits: retry_budget.RetryLimits,
        rate_tolerance: callers.RateTolerance,
        is_ready: Callable[[], bool],
        is_stopping: Callable[[], bool],
        on_finished: Callable[[RequestOutcome], None],
        sender: senders.Sender | None = None,
        clock: Callable[[], float] = time.monotonic,
        unix_clock: Callable[[], float] = time.time,
        rng: random.Random | None = None,
    ) -> None:
        rng = rng or random.Random()
        self._view = view
        self._names = names
        self._is_stopping = is_stopping
        self._on_finished = on_finished
        self._clock = clock
        self._admission = admission.Admission(
            view=view,
            names=names,
            rate_tolerance=rate_tolerance,
            is_serving=lambda: is_ready() or is_stopping(),
            clock=clock,
            rng=rng,
        )
        self.selector = selector
        self._scheduler = schedulers.RequestScheduler(
            view=view,
            host=host,
            selector=selector,
            names=names,
            clock=clock,
            unix_clock=unix_clock,
            rng=rng,
        )
        self._retry_budgets = retry_budget.RetryBudgets(limits=retry_limits)
        self._crash_tracker = crash_tracker.CrashTracker(rng=rng)
        self._notice_reader = upstream_notices.NoticeReader(names=names)
        self._sender = sender or senders.Sender(names=names)
        self._recording: set[asyncio.Future[None]] = set()
        self.running = 0

    def open(self) -> None:
        """Open the client for upstreams; needs a running event loop."""
        self._sender.open()

    async def close(self) -> None:
        """Close the connections to upstreams."""
        await self._sender.close()

    def apply_view_changes(self, changes: views.Changes) -> None:
        """Apply changes of the view."""
        self._admission.apply_view_changes(changes.kinds)
        self._scheduler.apply_view_changes(changes)

    def counters(self) -> dict[str, float]:
        """Return the counters since the start and the current gauges."""
        return {
            'running': self.running,
            'notices_malformed': self._notice_reader.malformed,
            **self.selector.notices.counts(),
            **self._crash_tracker.counts,
        }

    @property
    def rates(self) -> callers.RateLimits:
        """Return the rate limits of organisations on this host."""
        return self._admission.rates

    def report(
        self, entry_host: model.EntryHost, *, leaving: bool
    ) -> control_requests.EntryReport:
        """Return the report of this host to the leader of control."""
        now_s = self._clock()
        measurements = self.selector.measurements
        usage = self.rates.usage(now_s=now_s)
        return control_requests.EntryReport(
            entry_host=entry_host,
            leaving=leaving,
            demand_per_s=dict(usage.demand_per_s),
            passed=dict(usage.passed),
            incarnation=usage.incarnation,
            offered_slots=measurements.offered_slots(now_s=now_s),
            own_shares=self.selector.local_shares(),
            route_loads=measurements.route_loads(now_s=now_s),
            route_shares=self.selector.route_shares(),
            relative_times=measurements.relative_times(now_s=now_s),
            crash_report=self._crash_tracker.report(now_s=now_s),
        )

    def apply_grant(self, grant: control_requests.EntryGrant) -> bool:
        """Apply what control grants to this host.

        Returns whether this host should report again at once.
        """
        now_s = self._clock()
        self.rates.apply_grant(
            grant.rate_per_s, grant.admitted_shares, now_s=now_s
        )
        self.selector.apply_grant(
            grant.own_shares, grant.route_shares, now_s=now_s
        )
        return self._crash_tracker.apply_grant(grant.crash_grant, now_s=now_s)

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Handle one request of a caller and return the response."""
        started_s = self._clock()
        header_value = request.headers.get(self._names.deadline_ms, '')
        call = calls.Call(
            request=request,
            started_s=started_s,
            deadline_s=started_s + admission.caller_timeout_s(header_value),
            request_id=request.headers.get(self._names.request_id),
        )
        self.running += 1
        status, reason, detail = 0, 'caller_gone', ''
        try:
            result = await self._admit_and_send(call)
            status = result.status
            if isinstance(result, refusals.Refusal):
                reason, detail = result.reason.value, result.detail
                return self._close_if_stopping(
                    http_messages.refusal_response(result, names=self._names)
                )
            reason = 'answered' if status < 500 else 'upstream_failed'
            return await self._relay(call, result)
        except senders.BROKEN_OFF_ERRORS as error:
            reason, detail = 'upstream_broke_off', str(error)
            call.candidate.load.record_unreachable(now_s=self._clock())
            self._record_failure_soon(call, refusals.Reason.UPSTREAM_BROKE_OFF)
            raise
        except TimeoutError:
            # The connection is aborted, so that the caller does not take the
            # part that it has for the whole response.
            reason, detail = 'too_late', 'the response did not end in time'
            raise
        finally:
            self.running -= 1
            self._report_outcome(call, status, reason, detail)

    async def _relay(
        self, call: calls.Call, response: senders.UpstreamResponse
    ) -> web.StreamResponse:
        is_streamed = response.rest is not None
        relayed = await http_messages.relay_response(
            call.request,
            response,
            finish=self._close_if_stopping,
            left_s=call.deadline_s - self._clock(),
        )
        if is_streamed:
            self._crash_tracker.record_response(
                call, status=response.status, now_s=self._clock()
            )
        return relayed

    def _record_failure_soon(
        self, call: calls.Call, reason: refusals.Reason
    ) -> asyncio.Future[None]:
        """Record a failure once it is known whether the upstream crashed.

        The caller does not wait for that, only a request that is sent again.
        """
        task = asyncio.ensure_future(
            self._record_failure(call, reason, failed_s=self._clock())
        )
        self._recording.add(task)
        task.add_done_callback(self._recording.discard)
        return asyncio.shield(task)

    async def _record_failure(
        self, call: calls.Call, reason: refusals.Reason, *, failed_s: float
    ) -> None:
        is_listening = True
        if reason in crash_tracker.CRASH_REASONS:
            address = call.candidate.load.upstream.address
            is_listening = await self._sender.is_listening(address)
        self._crash_tracker.record_failure(
            call, reason=reason, is_listening=is_listening, now_s=failed_s
        )

    def _report_outcome(
        self, call: calls.Call, status: int, reason: str, detail: str
    ) -> None:
        now_s = self._clock()
        candidate = call.candidate
        self._on_finished(
            RequestOutcome(
                request_id=call.request_id,
                route=call.route.name if call.route else '',
                organisation=(
                    call.organisation.name if call.organisation else ''
                ),
                status=status,
                reason=reason,
                detail=detail,
                upstreams=tuple(call.tried),
                queued_s=call.queued_s,
                took_s=now_s - call.started_s,
                left_s=call.deadline_s - now_s,
                affinity_key=call.request.headers.get(
                    self._names.affinity, ''
                ),
                expected_s=candidate.expected_s if candidate else 0.0,
                expected_warm=candidate is not None and candidate.is_warm,
            )
        )

    async def _admit_and_send(
        self, call: calls.Call
    ) -> senders.UpstreamResponse | refusals.Refusal:
        refusal = await self._admission.admit(call)
        if refusal is not None:
            return refusal
        refusal = self._quarantine_refusal(call)
        if refusal is not None:
            return refusal
        now_s = self._clock()
        self._retry_budgets.add_request(call.service, now_s=now_s)
        self.selector.record_request(
            call.service, call.route.name, now_s=now_s
        )
        return await self._send_until_response(call)

    def _quarantine_refusal(self, call: calls.Call) -> refusals.Refusal | None:
        left_s = self._crash_tracker.quarantine_left_s(
            call, now_s=self._clock()
        )
        if left_s <= 0:
            return None
        return refusals.refuse(
            refusals.Reason.QUARANTINED,
            'upstreams that ran this request broke off',
            retry_after_s=left_s,
        )

    async def _send_until_response(
        self, call: calls.Call
    ) -> senders.UpstreamResponse | refusals.Refusal:
        """Send a request until there is a response to relay.

        Returns a refusal when the request may not be sent again.
        """
        while True:
            candidate = await self._scheduler.reserve(call)
            if isinstance(candidate, refusals.Refusal):
                return self._refusal_after_sending(call, candidate)
            refusal = self._quarantine_refusal(call)
            if refusal is not None:
                # The quarantine began while the request waited.
                self._scheduler.cancel(call, candidate)
                return self._refusal_after_sending(call, refusal)
            result = await self._send(call, candidate)
            if isinstance(result, senders.Failure):
                final = await self._after_failure(call, candidate, result)
            else:
                final = self._after_response(call, candidate, result)
            if final is not None:
                return final

    def _refusal_after_sending(
        self, call: calls.Call, refusal: refusals.Refusal
    ) -> refusals.Refusal:
        """Return the refusal to send once upstreams may have run a request.

        The statuses 408, 421, 429 and 503 guarantee that the request has not
        run, so they are replaced if it may have.
        """
        if not call.may_have_run or refusal.status not in (408, 421, 429, 503):
            return refusal
        return refusals.refuse(
            refusals.Reason.UPSTREAM_BROKE_OFF, refusal.detail
        )

    async def _send(
        self, call: calls.Call, candidate: candidates.Candidate
    ) -> senders.UpstreamResponse | senders.Failure:
        upstream = candidate.load.upstream
        call.tried.append(upstream.upstream_id)
        call.candidate = candidate
        call.sent_s = self._clock()
        try:
            result = await self._sender.send(
                http_messages.upstream_request(
                    call, upstream, names=self._names, now_s=call.sent_s
                ),
                address=upstream.address,
                deadline_s=call.deadline_s,
                on_head=lambda head: self._record_head(call, head),
            )
        finally:
            self._scheduler.release(call, candidate)
        now_s = self._clock()
        took_s = now_s - call.sent_s
        if isinstance(result, senders.UpstreamResponse):
            self._record_load(candidate, result, now_s=now_s)
            if result.status < 400:
                self._scheduler.record_response(call, candidate, took_s=took_s)
        elif result.reason is refusals.Reason.TOO_LATE:
            self._scheduler.record_timeout(call, candidate, took_s=took_s)
        return result

    def _record_head(
        self, call: calls.Call, head: senders.ResponseHead
    ) -> None:
        """Record what an upstream says of itself in the head of a response.

        Another incarnation may be at its address by now: it says nothing of
        the one that the request was sent to.
        """
        if head.status == STATUS_MISDIRECTED_REQUEST:
            return
        upstream = call.candidate.load.upstream
        notice = self._notice_reader.read(
            head.values, status=head.status, upstream=upstream
        )
        self.selector.record_notice(
            upstream, notice, sent_s=call.sent_s, now_s=self._clock()
        )

    def _record_load(
        self,
        candidate: candidates.Candidate,
        response: senders.UpstreamResponse,
        *,
        now_s: float,
    ) -> None:
        reported = response.header(self._names.load)
        if reported is None:
            return
        parts = reported.split(',')
        if len(parts) < 2 or not all(part.strip().isdigit() for part in parts):
            _log.info(
                'load_malformed',
                upstream=candidate.load.upstream,
                reported=reported,
            )
            return
        running, waiting = int(parts[0]), int(parts[1])
        candidate.load.record_report(
            running=running, waiting=waiting, now_s=now_s
        )

    async def _after_failure(
        self,
        call: calls.Call,
        candidate: candidates.Candidate,
        failure: senders.Failure,
    ) -> refusals.Refusal | None:
        """Handle an exchange without a usable response.

        Returns the refusal for the caller, or None to send the request again.
        """
        now_s = self._clock()
        timed_out = failure.reason is refusals.Reason.TOO_LATE
        if timed_out:
            candidate.load.record_failure()
        else:
            candidate.load.record_unreachable(now_s=now_s)
        self._log_failure(call, candidate, failure)
        if not failure.sent:
            call.connect_failures += 1
            if call.connect_failures < MAX_CONNECT_FAILURES:
                return None
            refusal = refusals.refuse(
                failure.reason, failure.detail, retry_after_s=RETRY_AFTER_S
            )
            return self._refusal_after_sending(call, refusal)
        call.exchanges += 1
        call.may_have_run = True
        recorded = self._record_failure_soon(call, failure.reason)
        if call.route.repeatable and not timed_out and self._claim_retry(call):
            await recorded
            return None
        return refusals.refuse(failure.reason, failure.detail)

    def _after_response(
        self,
        call: calls.Call,
        candidate: candidates.Candidate,
        response: senders.UpstreamResponse,
    ) -> senders.UpstreamResponse | refusals.Refusal | None:
        """Handle the response of an upstream.

        Returns the response or refusal for the caller, or None to send the
        request again.
        """
        call.exchanges += 1
        not_run = (
            response.header(self._names.not_run) is not None
            or response.status == STATUS_MISDIRECTED_REQUEST
        )
        now_s = self._clock()
        if not not_run:
            if response.rest is None:
                self._crash_tracker.record_response(
                    call, status=response.status, now_s=now_s
                )
            if response.status < 500:
                return response
            candidate.load.record_failure()
            if not call.route.repeatable or not self._claim_retry(call):
                return response
            response.close()
            call.may_have_run = True
            return None
        if response.status == STATUS_MISDIRECTED_REQUEST:
            candidate.load.record_unreachable(now_s=now_s)
        elif response.status == 400:
            return response
        elif now_s >= candidate.load.notices.back_off_until_s:
            # An upstream that asked for a pause instead has not failed.
            candidate.load.record_rejection(now_s=now_s)
        if self._claim_retry(call):
            response.close()
            return None
        response.close()
        refusal = self._scheduler.refuse(call)
        return self._refusal_after_sending(
            call, dataclasses.replace(refusal, reason=refusals.Reason.REJECTED)
        )

    def _claim_retry(self, call: calls.Call) -> bool:
        """Return whether a request may be sent again; count it if so."""
        now_s = self._clock()
        if call.exchanges >= call.route.max_upstreams:
            return False
        if call.deadline_s - now_s < schedulers.MIN_TIME_LEFT_S:
            return False
        return self._retry_budgets.consume(
            call.service,
            entry_hosts=self._view.entry_host_count,
            now_s=now_s,
        )

    def _log_failure(
        self,
        call: calls.Call,
        candidate: candidates.Candidate,
        failure: senders.Failure,
    ) -> None:
        _log.info(
            'exchange_failed',
            request_id=call.request_id,
            upstream=candidate.load.upstream.upstream_id,
            address=candidate.load.upstream.address,
            reason=failure.reason.value,
            sent=failure.sent,
            detail=failure.detail[:160],
            left_ms=int((call.deadline_s - self._clock()) * MS_PER_S),
        )

    def _close_if_stopping(
        self, response: web.StreamResponse
    ) -> web.StreamResponse:
        """Close the connection after the response if this host stops.

        The caller then connects to another host.
        """
        if self._is_stopping():
            response.force_close()
        return response
