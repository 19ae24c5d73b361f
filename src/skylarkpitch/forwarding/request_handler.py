"""Forward the requests of callers to upstreams, and relay the responses.

The steps are: route, API key, rate, body, upstream, exchange. A request that
is not repeatable is sent again only if no byte of it has left this host, or
if the upstream reported that it did not run it.
"""

from collections.abc import Callable
import dataclasses
import random
import time

from aiohttp import web

from skylarkpitch.fleet import control_requests
from skylarkpitch.fleet import model
from skylarkpitch.fleet import view as views
from skylarkpitch.forwarding import admission
from skylarkpitch.forwarding import body_budget
from skylarkpitch.forwarding import callers
from skylarkpitch.forwarding import calls
from skylarkpitch.forwarding import crash_tracker
from skylarkpitch.forwarding import exchanges
from skylarkpitch.forwarding import header_names
from skylarkpitch.forwarding import http_messages
from skylarkpitch.forwarding import refusals
from skylarkpitch.forwarding import retry_budget
from skylarkpitch.forwarding import scheduler as schedulers
from skylarkpitch.forwarding import sender as senders
from skylarkpitch.forwarding import upstream_selector as selectors
from skylarkpitch.listening import limits

__all__ = ['RequestHandler', 'RequestOutcome']


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
    """Handle all requests of callers on the entry host named ``host``.

    ``pool`` is what the process may hold for its callers.
    """

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
        pool: limits.MemoryPool,
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
        self._bodies = body_budget.BodyBudget(pool=pool)
        self._admission = admission.Admission(
            view=view,
            names=names,
            rate_tolerance=rate_tolerance,
            is_serving=lambda: is_ready() or is_stopping(),
            clock=clock,
            rng=rng,
            bodies=self._bodies,
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
        self._crash_tracker = crash_tracker.CrashTracker(rng=rng)
        self._sender = sender or senders.Sender(names=names, pool=pool)
        self._exchanges = exchanges.Exchanges(
            view=view,
            host=host,
            names=names,
            selector=selector,
            scheduler=self._scheduler,
            sender=self._sender,
            retry_limits=retry_limits,
            crash_tracker=self._crash_tracker,
            clock=clock,
            unix_clock=unix_clock,
        )
        self._stops_s = float('inf')
        self.running = 0

    def open(self) -> None:
        """Open the client for upstreams; needs a running event loop."""
        self._sender.open()

    def stop(self, *, at_s: float) -> None:
        """Refuse requests that cannot end before ``at_s``, by their bodies.

        A request that is refused has not run, which its caller learns; one
        that is aborted later may have.
        """
        self._stops_s = at_s
        self._admission.stop_reading(at_s=at_s)

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
            'body_bytes_held': self._bodies.held_bytes,
            'bodies_refused': self._bodies.refused,
            'notices_malformed': self._exchanges.notices_malformed,
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
            self._exchanges.record_failure_soon(
                call, refusals.Reason.UPSTREAM_BROKE_OFF
            )
            raise
        except TimeoutError:
            # The connection is aborted, so that the caller does not take the
            # part that it has for the whole response.
            reason, detail = 'too_late', 'the response did not end in time'
            raise
        finally:
            self.running -= 1
            self._bodies.release(call.held_bytes)
            self._report_outcome(call, status, reason, detail)

    async def _relay(
        self, call: calls.Call, response: senders.UpstreamResponse
    ) -> web.StreamResponse:
        is_streamed = response.rest is not None
        try:
            relayed = await http_messages.relay_response(
                call.request,
                response,
                finish=self._close_if_stopping,
                left_s=call.deadline_s - self._clock(),
            )
        finally:
            response.release()
        if is_streamed:
            self._crash_tracker.record_response(
                call, status=response.status, now_s=self._clock()
            )
        return relayed

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
        if not self._has_time(call):
            return admission.refuse_stopping()
        refusal = self._exchanges.quarantine_refusal(call)
        if refusal is not None:
            return refusal
        return await self._exchanges.send_until_response(call)

    def _has_time(self, call: calls.Call) -> bool:
        """Return whether a request may end before this host stops."""
        left_s = self._stops_s - self._clock()
        return self.selector.measurements.mean_work_s(call.service) < left_s

    def _close_if_stopping(
        self, response: web.StreamResponse
    ) -> web.StreamResponse:
        """Close the connection after the response if this host stops.

        The caller then connects to another host.
        """
        if self._is_stopping():
            response.force_close()
        return response
