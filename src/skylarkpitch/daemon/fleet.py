"""Assemble a process of a fleet whose hosts discover each other by seeds.

The roles of the process are created by functions of its settings, so that a
process imports only the modules of its own roles and starts sooner.
"""

import asyncio
from collections.abc import Callable
import dataclasses
import gc
import hashlib
import ipaddress
import random
import signal
from typing import Any
from typing import Protocol

from aiohttp import web
import mode
import structlog
from zmq.utils import z85

from skylarkpitch.daemon import keys
from skylarkpitch.daemon import runner
from skylarkpitch.forwarding import callers_listener
from skylarkpitch.listening import guard as guards
from skylarkpitch.listening import limits as connection_limits
from skylarkpitch.listening import serving
from skylarkpitch.observability import histograms
from skylarkpitch.observability import logs
from skylarkpitch.observability import loop_delay as loop_delays
from skylarkpitch.observability import metrics_page
from skylarkpitch.peers import directory
from skylarkpitch.peers import network

__all__ = [
    'FleetDaemon',
    'FleetSettings',
    'Role',
    'RoleContext',
    'RoleFactory',
    'run',
]

SETTINGS_CHECK_INTERVAL_S = 1.0

_log = structlog.get_logger(__name__)


class Role(Protocol):
    """What a process asks of each of its roles, which is a service."""

    @property
    def histograms(self) -> histograms.LatencyHistograms:
        """Return the durations of requests."""

    def counters(self) -> dict[str, float]:
        """Return counts since the start and gauges of the current state."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RoleContext:
    """What a process provides to its roles.

    ``seeds`` returns the IP addresses of the control hosts to contact first.
    ``resources`` are for all clients of the process together.
    """

    peers: network.Peers
    seeds: Callable[[], tuple[str, ...]]
    resources: connection_limits.Resources
    loop_delay: loop_delays.LoopDelay
    rng: random.Random


RoleFactory = Callable[[RoleContext], Role]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class FleetSettings:
    """Settings of a process of a fleet.

    ``name`` appears in logs and ``peer_name`` identifies the process among
    its peers. The peer name of a control host is its IP address, and every
    control host listens for peers on ``peers_port``, so that the name is
    enough to connect to it. This process listens on ``own_peers_port``.

    ``seeds`` returns the IP addresses of the control hosts to contact first.
    All hosts share ``secret``. ``roles`` create the roles of the process.
    It may use ``memory_bytes``, and ``max_descriptors`` unless the operating
    system allows fewer.
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
    roles: tuple[RoleFactory, ...]
    metrics_address: str | None = None
    memory_bytes: int = connection_limits.DEFAULT_MEMORY_BYTES
    max_descriptors: int | None = None


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
        resources = connection_limits.resources_of(
            memory_bytes=settings.memory_bytes,
            max_descriptors=settings.max_descriptors,
        )
        self._metrics_guard = guards.ConnectionGuard(
            name='metrics',
            max_connections=connection_limits.MAX_CHECKS,
            pool=resources.pool,
            limits=connection_limits.ConnectionLimits(),
        )
        context = RoleContext(
            peers=self._peers,
            seeds=settings.seeds,
            resources=resources,
            loop_delay=self._loop_delay,
            rng=rng,
        )
        self._roles = [create(context) for create in settings.roles]
        super().__init__(**options)

    def on_init_dependencies(self) -> list[mode.Service]:
        """Return the transport, then the roles."""
        return [self._loop_delay, self._peers, *self._roles]

    async def on_start(self) -> None:
        """Handle SIGHUP, before any service opens anything."""
        asyncio.get_running_loop().add_signal_handler(
            signal.SIGHUP, self._reload
        )

    async def on_started(self) -> None:
        """Log that every service has started, and serve the metrics."""
        if self._settings.metrics_address is not None:
            await serving.serve(
                web.Server(self._handle_metrics),
                guard=self._metrics_guard,
                listening_socket=callers_listener.bind(
                    self._settings.metrics_address
                ),
            )
        _log.info(
            'started',
            failure_domain=self._settings.failure_domain,
            seeds=','.join(self._settings.seeds()),
        )

    async def _handle_metrics(self, request: web.BaseRequest) -> web.Response:
        counters = self._loop_delay.counters()
        counters.update(self._peers.counters())
        for role in self._roles:
            counters.update(role.counters())
        text = metrics_page.counter_lines(counters)
        for role in self._roles:
            text += metrics_page.latency_lines(role.histograms)
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


def run(settings: FleetSettings, *, on_reload: Callable[[], None]) -> None:
    """Run the process until a signal stops it.

    ``on_reload`` re-reads the settings; it is called at SIGHUP and every
    ``SETTINGS_CHECK_INTERVAL_S``. Raises the ``SkylarkError`` of a service
    that could not start.
    """
    logs.configure(host=settings.name, level='info', to_stdout=True)
    # Modules stay until the end; collections need not go through them.
    gc.freeze()
    gc.enable()
    runner.run(
        lambda: FleetDaemon(
            settings=settings,
            rng=random.SystemRandom(),
            on_reload=on_reload,
        )
    )
