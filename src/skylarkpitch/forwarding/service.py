"""Run the forwarding role: serve callers on one entry host."""

import asyncio
from collections.abc import Callable
import dataclasses
import random
import time
from typing import Any

from aiohttp import web
import mode
import structlog

from skylarkpitch.fleet import control_requests
from skylarkpitch.fleet import model
from skylarkpitch.fleet import state as fleet_state
from skylarkpitch.fleet import subscriber as subscribers
from skylarkpitch.fleet import view as views
from skylarkpitch.forwarding import callers
from skylarkpitch.forwarding import callers_listener
from skylarkpitch.forwarding import header_names
from skylarkpitch.forwarding import request_handler as handlers
from skylarkpitch.forwarding import retry_budget
from skylarkpitch.forwarding import upstream_selector as selectors
from skylarkpitch.listening import guard as guards
from skylarkpitch.listening import limits as connection_limits
from skylarkpitch.listening import serving
from skylarkpitch.observability import histograms
from skylarkpitch.peers import network

__all__ = ['ForwardingRole', 'ForwardingSettings']

MS_PER_S = 1000
# Reported in place of an infinite age, before the first view.
MAX_VIEW_AGE_S = 1e6
# Time that the process needs to exit after the last response.
PROCESS_EXIT_S = 0.8
# Time in which a last refusal is written before connections are aborted.
REFUSAL_S = 0.2

_log = structlog.get_logger(__name__)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ForwardingSettings:
    """Settings of an entry host; addresses are ``ip:port``.

    ``region_of`` returns the region of a failure domain, or None. On a
    planned stop the host accepts new connections for another ``drain_s``,
    since callers cache the result of a look-up that long. Running requests
    may take until ``grace_s`` after the stop began.
    """

    entry_host: model.EntryHost
    ready_address: str
    ready_path: str
    names: header_names.HeaderNames
    retry_limits: retry_budget.RetryLimits
    rate_tolerance: callers.RateTolerance
    region_of: Callable[[str], str | None]
    drain_s: float = 2.6
    grace_s: float = 6.0


class ForwardingRole(mode.Service):
    """Service that forwards the requests of callers to upstreams."""

    def __init__(
        self,
        *,
        settings: ForwardingSettings,
        peers: network.Peers,
        seeds: Callable[[], tuple[str, ...]],
        resources: connection_limits.Resources,
        clock: Callable[[], float] = time.monotonic,
        rng: random.Random | None = None,
        **options: Any,
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._view = views.FleetView()
        self.histograms = histograms.LatencyHistograms()
        self.counts: dict[str, float] = {}
        host = settings.entry_host
        self._handler = handlers.RequestHandler(
            view=self._view,
            host=host.name,
            selector=selectors.UpstreamSelector(
                region=host.region,
                failure_domain=host.failure_domain,
                region_of=settings.region_of,
            ),
            names=settings.names,
            retry_limits=settings.retry_limits,
            rate_tolerance=settings.rate_tolerance,
            pool=resources.pool,
            is_ready=lambda: self._subscriber.is_ready,
            is_stopping=lambda: self._subscriber.is_leaving,
            on_finished=self._record_outcome,
            clock=clock,
            rng=rng,
        )
        self._subscriber = subscribers.Subscriber(
            peers=peers,
            view=self._view,
            seeds=seeds,
            on_changed=self._on_view_changed,
            report=self._build_report,
            on_grant=self._handler.apply_grant,
            region_of=settings.region_of,
            clock=clock,
        )
        self._callers_guard = guards.ConnectionGuard(
            name='callers',
            max_connections=resources.max_connections,
            pool=resources.pool,
            limits=connection_limits.ConnectionLimits(),
        )
        self._ready_guard = guards.ConnectionGuard(
            name='ready',
            max_connections=connection_limits.MAX_CHECKS,
            pool=resources.pool,
            limits=connection_limits.ConnectionLimits(),
        )
        self._listener = callers_listener.CallersListener(
            address=host.callers_address,
            handler=self._handler.handle,
            guard=self._callers_guard,
        )
        super().__init__(**options)

    def on_init_dependencies(self) -> list[mode.Service]:
        """Return the subscription to the state of control."""
        return [self._subscriber]

    async def on_start(self) -> None:
        """Start listening; requests are refused until the view is ready."""
        self._handler.open()
        self._ready_web_server = web.Server(self._handle_ready)
        self._ready_tcp_server = await serving.serve(
            self._ready_web_server,
            guard=self._ready_guard,
            listening_socket=callers_listener.bind(
                self._settings.ready_address
            ),
        )
        await self._listener.open(self._view.limits)

    async def on_stop(self) -> None:
        """Leave the fleet, drain the running requests, then close."""
        stopped_s = self._clock()
        _log.info('stopping', running=self._handler.running)
        abort_s = stopped_s + self._settings.grace_s - PROCESS_EXIT_S
        self._handler.stop(at_s=abort_s - REFUSAL_S)
        await self._subscriber.leave()
        left_s = self._settings.drain_s - (self._clock() - stopped_s)
        await asyncio.sleep(max(0.0, left_s))
        left_s = abort_s - self._clock()
        await self._listener.close(timeout_s=max(0.1, left_s))
        await self._handler.close()
        self._ready_tcp_server.close()
        await self._ready_web_server.shutdown(0.1)
        _log.info('stopped', running=self._handler.running)

    def counters(self) -> dict[str, float]:
        """Return the counters since the start and the current gauges."""
        return {
            **self.counts,
            **self._handler.counters(),
            **self._subscriber.counters(),
            **self._callers_guard.counters(),
            'view_age_s': min(self._subscriber.age_s(), MAX_VIEW_AGE_S),
            'view_index': self._view.index,
            'configuration_version': self._view.version,
            'ready': float(self._subscriber.is_ready),
        }

    def _build_report(self) -> control_requests.EntryReport:
        return self._handler.report(
            self._settings.entry_host, leaving=self._subscriber.is_leaving
        )

    async def _handle_ready(self, request: web.BaseRequest) -> web.Response:
        if request.path != self._settings.ready_path:
            return web.Response(status=404)
        return web.Response(status=200 if self._subscriber.is_ready else 503)

    def _on_view_changed(self, changes: views.Changes) -> None:
        self._handler.apply_view_changes(changes)
        if fleet_state.LIMITS in changes.kinds:
            self._listener.set_limits(self._view.limits)

    def _record_outcome(self, outcome: handlers.RequestOutcome) -> None:
        name = f'requests_{outcome.reason}'
        self.counts[name] = self.counts.get(name, 0) + 1
        self.histograms.record(
            outcome.organisation, outcome.route, outcome.took_s
        )
        is_answered = outcome.reason == 'answered'
        _log.info(
            'request_answered' if is_answered else 'request_not_answered',
            request_id=outcome.request_id,
            route=outcome.route,
            organisation=outcome.organisation,
            status=outcome.status,
            reason=outcome.reason,
            detail=outcome.detail[:160],
            upstreams=','.join(outcome.upstreams),
            affinity=outcome.affinity_key[:32],
            expected_ms=round(outcome.expected_s * MS_PER_S),
            expected_warm=outcome.expected_warm,
            held_ms=round(outcome.queued_s * MS_PER_S),
            took_ms=round(outcome.took_s * MS_PER_S),
            left_ms=round(outcome.left_s * MS_PER_S),
            version=self._view.version,
            view_age_s=round(min(self._subscriber.age_s(), MAX_VIEW_AGE_S), 2),
        )
