"""Assemble a process of a fleet whose hosts find each other from seeds."""

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
from skylarkpitch.forwarding import service as forwarding_parts
from skylarkpitch.observability import logs
from skylarkpitch.observability import metrics
from skylarkpitch.peers import directory
from skylarkpitch.peers import network

__all__ = ['ControlSettings', 'FleetDaemon', 'FleetSettings', 'run']

FIRST_START_NAME = 'first-start'
RESIGN_S = 1.0
CALLS_TIMEOUT_S = 1.5
TIMING = consensus_state.Timing(
    heartbeat_s=0.12, election_min_s=0.5, election_max_s=1.7
)
RELOAD_INTERVAL_S = 1.0
FAILED_S = 1.5

HttpHandler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]

_log = structlog.get_logger(__name__)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ControlSettings:
    """What a control host is told.

    ``create_handler`` makes the handler of HTTP calls, which are taken at each of
    the ``addresses``.
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
    """What a process of a fleet is told.

    A control host is known to its peers by its IP address, so that its
    ``peers_port``, which all of them use, is all one has to know. All hosts
    hold the same ``secret``.
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
    forwarding: forwarding_parts.ForwardingSettings | None = None


def _secret_key(secret: str) -> str:
    """Return the CURVE key that the hosts of a fleet share, in Z85."""
    digest = hashlib.blake2b(secret.encode(), digest_size=32).digest()
    return z85.encode(digest).decode()


def _directory(settings: FleetSettings) -> directory.Directory:
    public_key = keys.public_key_of(_secret_key(settings.secret))

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

    own = dataclasses.replace(
        derive_host(settings.ip),
        name=settings.peer_name,
        peers_address=f'{settings.ip}:{settings.own_peers_port}',
        region=settings.region,
        failure_domain=settings.failure_domain,
    )
    return directory.Directory(
        local_host=settings.peer_name, hosts=[own], derive_host=derive_host
    )


def _was_first_start(control: ControlSettings) -> bool:
    """Tell whether this data folder was made at the first start of all.

    That is noted on the disk, so that a host which restarts before the
    group is founded still takes part in founding it.
    """
    noted = control.data_folder / FIRST_START_NAME
    if not control.is_first_start:
        return noted.exists()
    control.data_folder.mkdir(parents=True, exist_ok=True)
    noted.touch()
    return True


class ControlRole(mode.Service):
    """The replicated log, the state of the fleet, and its calls."""

    def __init__(
        self,
        *,
        settings: FleetSettings,
        peers: network.Peers,
        rng: random.Random,
        **options: Any,
    ) -> None:
        control = settings.control
        self._control = control
        self.fleet = fleet_state.FleetState()
        self._replicated = consensus.ReplicatedLog(
            peers=peers,
            state_machine=self.fleet,
            data_folder=control.data_folder,
            voters=settings.seeds(),
            may_bootstrap=control.is_voter and _was_first_start(control),
            is_control=lambda name: True,
            rng=rng,
            on_applied=lambda: self.control_service.notify_applied(),
            timing=TIMING,
        )
        self._membership = memberships.Membership(
            peers=peers,
            log=self._replicated,
            seeds=settings.seeds,
            tolerated_disks=control.tolerated_disks,
            is_voter=control.is_voter,
        )
        self.control_service = control_services.ControlService(
            peers=peers,
            log=self._replicated,
            membership=self._membership,
            state=self.fleet,
            heartbeat_s=control.heartbeat_s,
            region_of=control.region_of,
        )
        super().__init__(**options)

    def on_init_dependencies(self) -> list[mode.Service]:
        """Return the log, then what works on it."""
        return [self._replicated, self._membership, self.control_service]

    async def on_started(self) -> None:
        """Take calls."""
        running = asyncio.get_running_loop()
        self._calls = web.Server(
            self._control.create_handler(self.control_service, self.fleet),
            access_log=None,
        )
        self._servers = [
            await running.create_server(
                self._calls, sock=callers_listener.bind(address)
            )
            for address in self._control.addresses
        ]

    @mode.Service.task
    async def _end_with_the_log(self) -> None:
        """End the process when its disk failed; a start reads it anew."""
        while not self.should_stop:
            await self.sleep(FAILED_S)
            if self._replicated.status().role == 'failed':
                _log.error('ending', why='the log has failed')
                os.kill(os.getpid(), signal.SIGTERM)
                return

    async def on_stop(self) -> None:
        """Hand the lead over and end the calls that run."""
        _log.info('stopping')
        await self._replicated.resign(timeout_s=RESIGN_S)
        for server in self._servers:
            server.close()
        await self._calls.shutdown(CALLS_TIMEOUT_S)

    def counters(self) -> dict[str, float]:
        """Return counts since start, and present values."""
        return {
            **self._replicated.counters(),
            **{
                f'orders_{k}': v
                for k, v in self.control_service.counts.items()
            },
            'upstreams': len(self.fleet.upstreams),
            'entry_hosts': len(self.fleet.entry_hosts),
            'configuration_version': self.fleet.configuration_version,
        }


class FleetDaemon(runner.Process):
    """The transport and the parts of one process."""

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
            secret_key=_secret_key(settings.secret),
        )
        self._parts: list[Any] = []
        if settings.control is not None:
            self._parts.append(
                ControlRole(settings=settings, peers=self._peers, rng=rng)
            )
        if settings.forwarding is not None:
            self._parts.append(
                forwarding_parts.ForwardingRole(
                    settings=settings.forwarding,
                    peers=self._peers,
                    seeds=settings.seeds,
                    rng=rng,
                )
            )
        super().__init__(**options)

    def on_init_dependencies(self) -> list[mode.Service]:
        """Return the transport, then the parts."""
        return [self._peers, *self._parts]

    async def on_started(self) -> None:
        """Log that every part runs, and show the metrics."""
        asyncio.get_running_loop().add_signal_handler(
            signal.SIGHUP, self._reload
        )
        if self._settings.metrics_address is not None:
            await asyncio.get_running_loop().create_server(
                web.Server(self._answer_metrics, access_log=None),
                sock=callers_listener.bind(self._settings.metrics_address),
            )
        _log.info(
            'started',
            failure_domain=self._settings.failure_domain,
            seeds=','.join(self._settings.seeds()),
        )

    async def _answer_metrics(self, request: web.BaseRequest) -> web.Response:
        counters: dict[str, float] = {}
        for part in self._parts:
            counters.update(part.counters())
        text = metrics.text_page(counters)
        for part in self._parts:
            if isinstance(part, forwarding_parts.ForwardingRole):
                text += _latencies(part)
        return web.Response(text=text)

    def _reload(self) -> None:
        self._on_reload()
        _log.info('reloaded', seeds=','.join(self._settings.seeds()))

    @mode.Service.task
    async def _reload_regularly(self) -> None:
        """Follow a settings file that changes without a signal."""
        while not self.should_stop:
            await self.sleep(RELOAD_INTERVAL_S)
            self._on_reload()


def _latencies(part: forwarding_parts.ForwardingRole) -> str:
    lines = []
    for item in part.histograms.summaries():
        series = f'{item.request_class}/{item.organisation}'
        for name in ('p50_ms', 'p90_ms', 'p99_ms', 'max_ms', 'count'):
            value = getattr(item, name)
            lines.append(f'latency_{name}/{series} {value:g}\n')
    return ''.join(lines)


def run(settings: FleetSettings, *, on_reload: Callable[[], None]) -> None:
    """Run the process until it is told to stop.

    Raises the ``SkylarkError`` of a part that could not start.
    """
    logs.configure(host=settings.name, level='info', to_stdout=True)
    runner.run(
        lambda: FleetDaemon(
            settings=settings,
            rng=random.SystemRandom(),
            on_reload=on_reload,
        )
    )
