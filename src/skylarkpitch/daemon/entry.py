"""Assemble the entry role from its services."""

import asyncio
from collections.abc import Callable
import functools
import random
import time
from typing import Any

from aiohttp import web
import mode
import structlog

from skylarkpitch import charts
from skylarkpitch.daemon import ledger_members
from skylarkpitch.daemon import listener
from skylarkpitch.daemon import status
from skylarkpitch.daemon import tls
from skylarkpitch.dissemination import follower as followers
from skylarkpitch.dissemination import tree
from skylarkpitch.limits import service as limits
from skylarkpitch.listening import limits as connection_limits
from skylarkpitch.membership import heartbeats
from skylarkpitch.membership import service as membership
from skylarkpitch.observability import histograms
from skylarkpitch.observability import metrics
from skylarkpitch.observability import metrics_page
from skylarkpitch.peers import network
from skylarkpitch.requests import crash_watch
from skylarkpitch.requests import ledger_service
from skylarkpitch.requests import relay
from skylarkpitch.requests import request_handler
from skylarkpitch import sentinels
from skylarkpitch.settings import daemon as daemon_settings
from skylarkpitch.steering import lookup
from skylarkpitch.steering import lookup_blocks
from skylarkpitch.steering import slot_allocator

__all__ = ['EntryRole']

DRAIN_POLL_INTERVAL_S = 0.05
IDLE_BEFORE_STOP_S = 0.5
LOOKUP_MARGIN_S = 0.5
DEFAULT_LEDGER_RETENTION_S = 86_400.0
LEDGER_SYNC_TIMEOUT_S = 10.0
# Parts of the connections of the process, by port.
CALLERS_SHARE = 0.6
RELAY_SHARE = 0.3

_log = structlog.get_logger(__name__)


class EntryRole(mode.Service):
    """Serve callers and upstreams on one entry host.

    Callers look up entry hosts and send their requests to one of them, which
    forwards each to an upstream. Upstreams announce themselves to entry
    hosts. ``stop_process`` is called when an operator stops this host.
    """

    def __init__(
        self,
        *,
        settings: daemon_settings.DaemonSettings,
        peers: network.Peers,
        resources: connection_limits.Resources,
        rng: random.Random,
        stop_process: Callable[[], None] = lambda: None,
        **options: Any,
    ) -> None:
        self._stop_process = stop_process
        self._settings = settings
        self._resources = resources
        self._peers = peers
        self._rng = rng
        self._chart = charts.Chart(name='entry_host')
        self._latencies = histograms.LatencyHistograms()
        self._create_state_services()
        self._create_slot_services()
        self._create_request_services()
        self._status = status.EntryStatus(
            latencies=self._latencies,
            limits=self._limits,
            membership=self._membership,
            counter_sources=self._counter_sources(),
        )
        self._metrics = metrics.Metrics(
            settings=settings.statsd,
            host=settings.host,
            read=self._status.counters,
        )
        self._status.register_handlers(peers)
        super().__init__(**options)

    def _create_state_services(self) -> None:
        sources = tree.sources_of(self._peers.directory, self._settings.host)
        self._follower = followers.StateFollower(
            peers=self._peers,
            sources=lambda: sources,
            site=self._settings.site,
            report=self._report,
            rng=self._rng,
            on_change=self._on_state_change,
        )
        self._heartbeats = heartbeats.HeartbeatTable(
            peers=self._peers,
            life_cycle=lambda: self._chart.state,
            free_slots=lambda: self._slot_allocator.counters().get(
                'room', 0.0
            ),
        )

    def _create_slot_services(self) -> None:
        self._membership = membership.UpstreamMembership(
            peers=self._peers,
            site_config=self._follower.site_config,
            drains=lambda: self._follower.drains,
            announce_token_hash=self._settings.announce_token_hash,
            rng=self._rng,
        )
        self._slot_allocator = slot_allocator.FleetSlotAllocator(
            peers=self._peers,
            membership=self._membership,
            site_config=self._follower.site_config,
            rng=self._rng,
        )
        self._limits = limits.OrganisationLimits(
            peers=self._peers,
            site_config=self._follower.site_config,
            config_version=lambda: self._follower.version,
            rng=self._rng,
        )

    def _create_request_services(self) -> None:
        directory = self._peers.directory
        self._blocks = _client_blocks(self._settings)
        self._ledger = ledger_service.OperationLedger(
            peers=self._peers,
            region=self._settings.region,
            members=functools.cache(
                functools.partial(ledger_members.members_of_region, directory)
            ),
            epoch=lambda: 0,
            retention_s=lambda: self._policy_value(
                'ledger_retention_s', default=DEFAULT_LEDGER_RETENTION_S
            ),
            opened_s=lambda: self._policy_value(
                'ledger_opened_at_s', default=0.0
            ),
            predates_all_operations=lambda: self._follower.saw_empty_state,
            rng=self._rng,
        )
        self._lookup = lookup.LookupService(
            directory=directory,
            site_config=self._follower.site_config,
            is_leaving=self._heartbeats.not_serving,
            capacity=self._heartbeats.free_slots,
            id_prefix=self._ledger.id_prefix,
            blocks=self._blocks,
            scheme='http' if self._settings.tls is None else 'https',
        )
        self._request_handler = request_handler.RequestHandler(
            site_config=self._follower.site_config,
            authenticator=self._follower,
            limiter=self._limits,
            slot_allocator=self._slot_allocator,
            ledger=self._ledger,
            settings=self._settings.limits,
            pool=self._resources.pool,
            is_stopping=lambda: self._chart.state == 'stopped',
            on_finished=self._on_finished,
            crash_watch=self._crash_watch(),
            region_of=self._region_of,
            rng=self._rng,
        )
        self._relay = relay.RelayServer(
            redeem=lambda ticket: self._slot_allocator.redeem(
                ticket, now_s=time.monotonic()
            ),
            settings=self._settings.limits,
        )

    def _region_of(self, client_ip: str) -> str | None:
        block = self._blocks.find(client_ip)
        config = self._follower.site_config()
        if not block or block.failure_domain is None or not config:
            return None
        return config.region_of(block.failure_domain)

    def _crash_watch(self) -> crash_watch.CrashWatch:
        return crash_watch.CrashWatch(
            quarantine_s=lambda: self._policy_value(
                'crash_quarantine_s',
                default=request_handler.DEFAULT_QUARANTINE_S,
            ),
            peers=self._peers,
        )

    def on_init_dependencies(self) -> list[mode.Service]:
        """Return the services in the order in which they start."""
        services = [
            self._follower,
            self._membership,
            self._slot_allocator,
            self._limits,
            self._ledger,
            self._lookup,
            self._heartbeats,
            self._metrics,
            self._relay_listener(),
            *self._caller_listener(),
        ]
        return services

    async def on_start(self) -> None:
        """Open the HTTP client sessions towards the upstreams."""
        await self._request_handler.start()

    async def on_stop(self) -> None:
        """Leave the look-ups, drain, then close the client sessions.

        Waits until the look-up responses that callers cached have expired
        and running requests have ended, so that a planned stop interrupts no
        request.
        """
        await self._leave()
        await self._request_handler.close()

    async def _leave(self) -> None:
        if self._chart.send('stop') != 'leaving':
            return
        _log.info('host_leaving', running=self._request_handler.running)
        self._heartbeats.send_heartbeats()
        self._slot_allocator.stop_issuing_tickets()
        wait_s = self._policy_value('lookup_lifetime_s', default=0.0)
        wait_s += heartbeats.HEARTBEAT_INTERVAL_S + LOOKUP_MARGIN_S
        await asyncio.gather(
            asyncio.sleep(wait_s),
            self._membership.transfer_upstreams(timeout_s=wait_s),
        )
        self._chart.send('lookups_expired')
        await self._wait_until_idle()
        self._chart.send('idle')
        _log.info('host_drained')

    async def _wait_until_idle(self) -> None:
        idle_s = 0.0
        while idle_s < IDLE_BEFORE_STOP_S:
            await asyncio.sleep(DRAIN_POLL_INTERVAL_S)
            is_busy = self._request_handler.running or self._relay.running
            idle_s = 0.0 if is_busy else idle_s + DRAIN_POLL_INTERVAL_S
        await self._ledger.wait_for_peers(timeout_s=LEDGER_SYNC_TIMEOUT_S)

    def _policy_value(self, field: str, *, default: float) -> float:
        config = self._follower.site_config()
        if sentinels.is_absent(config):
            return default
        return getattr(config.policy, field)

    def _on_state_change(self) -> None:
        has_config = not sentinels.is_absent(self._follower.site_config())
        if self._chart.state == 'waiting_for_state' and has_config:
            self._chart.send('state_confirmed')
            _log.info('host_serving', version=self._follower.version)
            self._heartbeats.send_heartbeats()
        if self._follower.is_leaving and not self.should_stop:
            _log.info('host_stop_requested')
            self._stop_process()

    def _on_finished(self, outcome: request_handler.RequestOutcome) -> None:
        self._latencies.record(
            outcome.organisation, outcome.request_class, outcome.latency_s
        )
        self._metrics.timing(
            f'call.{outcome.request_class}', outcome.latency_s
        )

    def _report(self) -> dict:
        return {'life_cycle': self._chart.state}

    def _counter_sources(self) -> dict:
        return {
            'state': self._follower,
            'upstreams': self._membership,
            'room': self._slot_allocator,
            'limits': self._limits,
            'ledger': self._ledger,
            'calls': self._request_handler,
        }

    def _caller_listener(self) -> list[mode.Service]:
        context = None
        reloaders = []
        if self._settings.tls is not None:
            context = tls.context(self._settings.tls)
            reloaders.append(
                tls.CertificateReloader(
                    settings=self._settings.tls, context=context
                )
            )
        routes = [
            *self._lookup.routes(),
            *self._membership.routes(),
            web.get('/skylark/v1/health', self._health),
            web.get('/skylark/v1/metrics', self._metrics_page),
            web.route('*', '/{path:.*}', self._request_handler.handle),
        ]
        return [
            *reloaders,
            listener.Listener(
                name='callers',
                address=self._settings.callers_address,
                routes=routes,
                limits=self._settings.limits,
                resources=self._resources,
                connections_share=CALLERS_SHARE,
                tls=context,
            ),
        ]

    def _relay_listener(self) -> mode.Service:
        return listener.Listener(
            name='relay',
            address=self._settings.relay_address,
            routes=self._relay.routes(),
            limits=self._settings.limits,
            resources=self._resources,
            connections_share=RELAY_SHARE,
        )

    async def _health(self, _request: web.Request) -> web.Response:
        is_serving = self._chart.state == 'serving'
        return web.json_response(
            {
                'host': self._settings.host,
                'life_cycle': self._chart.state,
                'version': self._follower.version,
            },
            status=200 if is_serving else 503,
        )

    async def _metrics_page(self, _request: web.Request) -> web.Response:
        return web.Response(
            text=metrics_page.counter_lines(self._status.counters())
        )


def _client_blocks(
    settings: daemon_settings.DaemonSettings,
) -> lookup_blocks.BlockTable:
    if settings.client_blocks_file is None:
        return lookup_blocks.BlockTable()
    return lookup_blocks.load(settings.client_blocks_file)
