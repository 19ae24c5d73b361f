"""Serve callers on one entry host: the parts of the forwarding role."""

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
from skylarkpitch.forwarding import names as header_names
from skylarkpitch.forwarding import path as paths
from skylarkpitch.forwarding import retry_budget
from skylarkpitch.forwarding import room as rooms
from skylarkpitch.observability import histograms
from skylarkpitch.peers import network

__all__ = ['ForwardingRole', 'ForwardingSettings']

MS_PER_S = 1000
NEVER_S = 1e6
# What the end of the process takes after the last answer.
EXIT_S = 0.8

_log = structlog.get_logger(__name__)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ForwardingSettings:
    """What an entry host is told; addresses are ``ip:port``.

    On a planned stop new connections are taken for ``lead_s`` still, since
    callers keep the answer of a look-up that long, and what runs may take
    until ``grace_s``.
    """

    entry_host: model.EntryHost
    ready_address: str
    ready_path: str
    names: header_names.HeaderNames
    retry_limits: retry_budget.RetryLimits
    rate_tolerance: callers.RateTolerance
    region_of: Callable[[str], str | None]
    lead_s: float = 2.6
    grace_s: float = 6.0


class ForwardingRole(mode.Service):
    """Take callers' requests and forward them."""

    def __init__(
        self,
        *,
        settings: ForwardingSettings,
        peers: network.Peers,
        seeds: Callable[[], tuple[str, ...]],
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
        self._path = paths.ForwardingPath(
            view=self._view,
            room=rooms.Room(
                region=host.region,
                failure_domain=host.failure_domain,
                region_of=settings.region_of,
            ),
            names=settings.names,
            retry_limits=settings.retry_limits,
            rate_tolerance=settings.rate_tolerance,
            is_ready=lambda: self._subscriber.is_ready,
            is_stopping=lambda: self._subscriber.is_leaving,
            on_done=self._done,
            clock=clock,
            rng=rng,
        )
        self._subscriber = subscribers.Subscriber(
            peers=peers,
            view=self._view,
            seeds=seeds,
            on_changed=self._changed,
            report=self._report,
            on_grant=self._path.grant,
            clock=clock,
        )
        self._listener = callers_listener.CallersListener(
            address=host.callers_address, handler=self._path.handle
        )
        super().__init__(**options)

    def on_init_dependencies(self) -> list[mode.Service]:
        """Return the watch of control."""
        return [self._subscriber]

    async def on_start(self) -> None:
        """Begin to listen; callers are served once the view is fresh."""
        self._path.open()
        self._ready = web.Server(self._answer_ready, access_log=None)
        self._ready_server = await asyncio.get_running_loop().create_server(
            self._ready,
            sock=callers_listener.bind(self._settings.ready_address),
        )
        await self._listener.open(self._view.limits)

    async def on_stop(self) -> None:
        """Lead callers away, end what runs, then close."""
        stopped_s = self._clock()
        _log.info('stopping', running=self._path.running)
        await self._subscriber.leave()
        left_s = self._settings.lead_s - (self._clock() - stopped_s)
        await asyncio.sleep(max(0.0, left_s))
        left_s = self._settings.grace_s - (self._clock() - stopped_s)
        await self._listener.close(timeout_s=max(0.1, left_s - EXIT_S))
        await self._path.close()
        self._ready_server.close()
        await self._ready.shutdown(0.1)
        _log.info('stopped', running=self._path.running)

    def counters(self) -> dict[str, float]:
        """Return counts since start, and present values."""
        return {
            **self.counts,
            'running': self._path.running,
            'view_age_s': min(self._subscriber.age_s(), NEVER_S),
            'view_index': self._view.index,
            'configuration_version': self._view.version,
            'ready': float(self._subscriber.is_ready),
        }

    def _report(self) -> control_requests.EntryReport:
        now_s = self._clock()
        return control_requests.EntryReport(
            entry_host=self._settings.entry_host,
            leaving=self._subscriber.is_leaving,
            demand_per_s=self._path.rates.demand_per_s(now_s=now_s),
            offered_slots=self._path.room.offered_slots(now_s=now_s),
            own_shares=self._path.room.own_shares(),
        )

    async def _answer_ready(self, request: web.BaseRequest) -> web.Response:
        if request.path != self._settings.ready_path:
            return web.Response(status=404)
        return web.Response(status=200 if self._subscriber.is_ready else 503)

    def _changed(self, kinds: frozenset[str]) -> None:
        self._path.learn(kinds)
        if fleet_state.LIMITS in kinds:
            self._listener.set_limits(self._view.limits)

    def _done(self, done: paths.Done) -> None:
        name = f'requests_{done.reason}'
        self.counts[name] = self.counts.get(name, 0) + 1
        self.histograms.record(done.organisation, done.route, done.took_s)
        is_answered = done.reason == 'answered'
        _log.info(
            'request_answered' if is_answered else 'request_not_answered',
            request_id=done.request_id,
            route=done.route,
            organisation=done.organisation,
            status=done.status,
            reason=done.reason,
            detail=done.detail[:160],
            upstreams=','.join(done.upstreams),
            held_ms=round(done.held_s * MS_PER_S),
            took_ms=round(done.took_s * MS_PER_S),
            left_ms=round(done.left_s * MS_PER_S),
            version=self._view.version,
            view_age_s=round(min(self._subscriber.age_s(), NEVER_S), 2),
        )
