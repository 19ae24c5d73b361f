"""Assemble a process of a fleet whose hosts discover each other by seeds."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import hashlib
import ipaddress
import os
import pathlib
import random
import signal
from typing import Any

from aiohttp import web
import mode
import structlog
from zmq.utils import z85

from skylarkpitch.consensus import service as consensus
from skylarkpitch.consensus import state as consensus_state
from skylarkpitch.daemon import keys
from skylarkpitch.daemon import runner
from skylarkpitch.fleet import control_service as control_services
from skylarkpitch.fleet import membership as memberships
from skylarkpitch.fleet import state as fleet_state
from skylarkpitch.forwarding import callers_listener
from skylarkpitch.forwarding import service as forwarding_service
from skylarkpitch.observability import histograms
from skylarkpitch.observability import logs
from skylarkpitch.observability import loop_delay as loop_delays
from skylarkpitch.observability import metrics
from skylarkpitch.peers import directory
from skylarkpitch.peers import network

__all__ = ['ControlSettings', 'FleetDaemon', 'FleetSettings', 'run']

BOOTSTRAP_MARKER_NAME = 'first-start'
LEADERSHIP_TRANSFER_TIMEOUT_S = 1.0
HTTP_SHUTDOWN_TIMEOUT_S = 1.5
ELECTION_TIMING = consensus_state.Timing(
    heartbeat_s=0.12, election_min_s=0.5, election_max_s=1.7
)
SETTINGS_CHECK_INTERVAL_S = 1.0
LOG_CHECK_INTERVAL_S = 1.5

HttpHandler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]

_log = structlog.get_logger(__name__)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ControlSettings:
    """Settings of a control host.

    ``create_handler`` returns the handler of the HTTP API, which is served
    at each of the ``addresses``. ``region_of`` returns the region of a
    failure domain, None if it is unknown.
    """

    data_folder: pathlib.Path
    is_first_start: bool
    is_voter: bool
    tolerated_disks: int
    heartbeat_s: float
    region_of: Callable[[str], str | None]
    addresses: tuple[str, ...]
    create_handler: Callable[
        [control_services.ControlService, fleet_state.FleetState], HttpHandler
    ]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class FleetSettings:
    """Settings of a process of a fleet.

    ``name`` appears in logs and ``peer_name`` identifies the process among
    its peers. The peer name of a control host is its IP address, and every
    control host listens for peers on ``peers_port``, so that the name is
    enough to connect to it. This process listens on ``own_peers_port``.

    ``seeds`` returns the IP addresses of the control hosts to contact first.
    All hosts share ``secret``.
    """

    name: str
    peer_name: str
    ip: str
    region: str
    failure_domain: str
    peers_port: int
    own_peers_port: int
    secret: str
    seeds: Callable[[], tuple[str, ...]]
    metrics_address: str | None = None
    control: ControlSettings | None = None
    forwarding: forwarding_service.ForwardingSettings | None = None


def _curve_secret_key(secret: str) -> str:
    """Return the CURVE secret key that the hosts of a fleet share, in Z85."""
    digest = hashlib.blake2b(secret.encode(), digest_size=32).digest()
    return z85.encode(digest).decode()


def _directory(settings: FleetSettings) -> directory.Directory:
    public_key = keys.public_key_of(_curve_secret_key(settings.secret))

    def derive_host(name: str) -> directory.Host | None:
        try:
            ipaddress.ip_address(name)
        except ValueError:
            return None
        return directory.Host(
            name=name,
            region='',
            failure_domain='',
            roles=(),
            peers_address=f'{name}:{settings.peers_port}',
            callers_address=None,
            relay_address=None,
            public_key=public_key,
        )

    local_host = dataclasses.replace(
        derive_host(settings.ip),
        name=settings.peer_name,
        peers_address=f'{settings.ip}:{settings.own_peers_port}',
        region=settings.region,
        failure_domain=settings.failure_domain,
    )
    return directory.Directory(
        local_host=settings.peer_name,
        hosts=[local_host],
        derive_host=derive_host,
    )


def _is_bootstrap_host(control: ControlSettings) -> bool:
    """Return whether this host ever started with ``is_first_start`` set.

    A marker file in the data folder records it, so that a host that restarts
    before bootstrap has finished still takes part in it.
    """
    marker = control.data_folder / BOOTSTRAP_MARKER_NAME
    if not control.is_first_start:
        return marker.exists()
    control.data_folder.mkdir(parents=True, exist_ok=True)
    marker.touch()
    return True


class ControlRole(mode.Service):
    """Run the replicated log, the state of the fleet and the HTTP API."""

    def __init__(
        self,
        *,
        settings: FleetSettings,
        peers: network.Peers,
        loop_delay: loop_delays.LoopDelay,
        rng: random.Random,
        **options: Any,
    ) -> None:
        control = settings.control
        self._control = control
        self.fleet = fleet_state.FleetState()
        self._replicated_log = consensus.ReplicatedLog(
            peers=peers,
            state_machine=self.fleet,
            data_folder=control.data_folder,
            voters=settings.seeds(),
            may_bootstrap=control.is_voter and _is_bootstrap_host(control),
            is_control=lambda name: True,
            rng=rng,
            on_applied=lambda: self.control_service.notify_applied(),
            timing=ELECTION_TIMING,
        )
        self._membership = memberships.Membership(
            peers=peers,
            log=self._replicated_log,
            seeds=settings.seeds,
            tolerated_disks=control.tolerated_disks,
            is_voter=control.is_voter,
        )
        self.control_service = control_services.ControlService(
            peers=peers,
            log=self._replicated_log,
            membership=self._membership,
            state=self.fleet,
            heartbeat_s=control.heartbeat_s,
            region_of=control.region_of,
            loop_delay=loop_delay,
        )
        super().__init__(**options)

    def on_init_dependencies(self) -> list[mode.Service]:
        """Return the replicated log, then the services that use it."""
        return [self._replicated_log, self._membership, self.control_service]

    async def on_started(self) -> None:
        """Serve the HTTP API at every address."""
        loop = asyncio.get_running_loop()
        self._http_server = web.Server(
            self._control.create_handler(self.control_service, self.fleet),
            access_log=None,
        )
        self._servers = [
            await loop.create_server(
                self._http_server, sock=callers_listener.bind(address)
            )
            for address in self._control.addresses
        ]

    @mode.Service.task
    async def _stop_when_the_log_fails(self) -> None:
        """Stop the process when its replicated log has failed.

        After a disk error the log does not recover in the running process; a
        restart reads the disk again.
        """
        while not self.should_stop:
            await self.sleep(LOG_CHECK_INTERVAL_S)
            if self._replicated_log.status().role == 'failed':
                _log.error('ending', why='the replicated log has failed')
                os.kill(os.getpid(), signal.SIGTERM)
                return

    async def on_stop(self) -> None:
        """Transfer the leadership, then stop the HTTP servers."""
        _log.info('stopping')
        await self._replicated_log.resign(
            timeout_s=LEADERSHIP_TRANSFER_TIMEOUT_S
        )
        for server in self._servers:
            server.close()
        await self._http_server.shutdown(HTTP_SHUTDOWN_TIMEOUT_S)

    @property
    def histograms(self) -> histograms.LatencyHistograms:
        """Return the durations of control requests."""
        return self.control_service.histograms

    def counters(self) -> dict[str, float]:
        """Return counts since the start and gauges of the current state."""
        return {
            **self._replicated_log.counters(),
            **{
                f'orders_{k}': v
                for k, v in self.control_service.counts.items()
            },
            'upstreams': len(self.fleet.upstreams),
            'entry_hosts': len(self.fleet.entry_hosts),
            'configuration_version': self.fleet.configuration_version,
        }


class FleetDaemon(runner.Process):
    """Run the peer transport and the role of one process."""

    def __init__(
        self,
        *,
        settings: FleetSettings,
        rng: random.Random,
        on_reload: Callable[[], None],
        **options: Any,
    ) -> None:
        self._settings = settings
        self._on_reload = on_reload
        self._peers = network.PeerNetwork(
            directory=_directory(settings),
            secret_key=_curve_secret_key(settings.secret),
        )
        self._loop_delay = loop_delays.LoopDelay()
        self._roles: list[Any] = []
        if settings.control is not None:
            self._roles.append(
                ControlRole(
                    settings=settings,
                    peers=self._peers,
                    loop_delay=self._loop_delay,
                    rng=rng,
                )
            )
        if settings.forwarding is not None:
            self._roles.append(
                forwarding_service.ForwardingRole(
                    settings=settings.forwarding,
                    peers=self._peers,
                    seeds=settings.seeds,
                    rng=rng,
                )
            )
        super().__init__(**options)

    def on_init_dependencies(self) -> list[mode.Service]:
        """Return the transport, then the roles."""
        return [self._loop_delay, self._peers, *self._roles]

    async def on_started(self) -> None:
        """Log that every service has started, and serve the metrics."""
        asyncio.get_running_loop().add_signal_handler(
            signal.SIGHUP, self._reload
        )
        if self._settings.metrics_address is not None:
            await asyncio.get_running_loop().create_server(
                web.Server(self._handle_metrics, access_log=None),
                sock=callers_listener.bind(self._settings.metrics_address),
            )
        _log.info(
            'started',
            failure_domain=self._settings.failure_domain,
            seeds=','.join(self._settings.seeds()),
        )

    async def _handle_metrics(self, request: web.BaseRequest) -> web.Response:
        counters = self._loop_delay.counters()
        for role in self._roles:
            counters.update(role.counters())
        text = metrics.text_page(counters)
        for role in self._roles:
            text += _latency_lines(role.histograms)
        return web.Response(text=text)

    def _reload(self) -> None:
        self._on_reload()
        _log.info('reloaded', seeds=','.join(self._settings.seeds()))

    @mode.Service.task
    async def _reload_periodically(self) -> None:
        """Reload the settings file, which can change without a SIGHUP."""
        while not self.should_stop:
            await self.sleep(SETTINGS_CHECK_INTERVAL_S)
            self._on_reload()


def _latency_lines(latencies: histograms.LatencyHistograms) -> str:
    lines = []
    for summary in latencies.summaries():
        series = f'{summary.request_class}/{summary.organisation}'
        for name in ('p50_ms', 'p90_ms', 'p99_ms', 'max_ms', 'count'):
            value = getattr(summary, name)
            lines.append(f'latency_{name}/{series} {value:g}\n')
    return ''.join(lines)


def run(settings: FleetSettings, *, on_reload: Callable[[], None]) -> None:
    """Run the process until a signal stops it.

    ``on_reload`` re-reads the settings; it is called at SIGHUP and every
    ``SETTINGS_CHECK_INTERVAL_S``. Raises the ``SkylarkError`` of a service
    that could not start.
    """
    logs.configure(host=settings.name, level='info', to_stdout=True)
    runner.run(
        lambda: FleetDaemon(
            settings=settings,
            rng=random.SystemRandom(),
            on_reload=on_reload,
        )
    )
