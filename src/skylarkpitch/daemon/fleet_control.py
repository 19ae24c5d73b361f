"""Assemble the control role of a process of a fleet."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import functools
import os
import pathlib
import signal
from typing import Any

from aiohttp import web
import mode
import structlog

from skylarkpitch.consensus import folder as folders
from skylarkpitch.consensus import service as consensus
from skylarkpitch.consensus import state as consensus_state
from skylarkpitch.daemon import fleet
from skylarkpitch.fleet import control_service as control_services
from skylarkpitch.fleet import group
from skylarkpitch.fleet import log_lag
from skylarkpitch.fleet import membership as memberships
from skylarkpitch.fleet import state as fleet_state
from skylarkpitch.forwarding import body_budget
from skylarkpitch.forwarding import callers_listener
from skylarkpitch.listening import guard as guards
from skylarkpitch.listening import limits as connection_limits
from skylarkpitch.listening import serving
from skylarkpitch.observability import histograms

__all__ = ['ControlRole', 'ControlSettings', 'factory']

FIRST_START_NAME = 'first-start'
LEADERSHIP_TRANSFER_TIMEOUT_S = 1.0
HTTP_SHUTDOWN_TIMEOUT_S = 1.5
ELECTION_TIMING = consensus_state.Timing(
    heartbeat_s=0.12, election_min_s=0.5, election_max_s=1.7
)
LOG_CHECK_INTERVAL_S = 1.5

HttpHandler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]

_log = structlog.get_logger(__name__)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ControlSettings:
    """Settings of a control host.

    ``create_handler`` returns the handler of the HTTP API, which is served
    at each of the ``addresses`` and holds bodies within a budget.
    ``region_of`` returns the region of a failure domain, None if it is
    unknown. A control host that has been back for ``catch_up_s``, or whose
    successor has, is no loss any more.
    """

    data_folder: pathlib.Path
    is_first_start: bool
    is_voter: bool
    tolerated_disks: int
    catch_up_s: float
    heartbeat_s: float
    region_of: Callable[[str], str | None]
    addresses: tuple[str, ...]
    create_handler: Callable[
        [control_services.ControlService, body_budget.BodyBudget], HttpHandler
    ]


def _first_seeds(
    settings: ControlSettings, seeds: tuple[str, ...]
) -> tuple[str, ...] | None:
    """Return the seeds of the first start of this host, None without one.

    A file in the data folder keeps them, so that a host that restarts before
    the cluster exists still takes part in its bootstrap. By then ``seeds``
    may be others, but all hosts have to decide by the same ones.
    """
    path = settings.data_folder / FIRST_START_NAME
    if path.exists():
        # Earlier releases left the file empty.
        return tuple(path.read_text().split()) or seeds
    if not settings.is_first_start:
        return None
    settings.data_folder.mkdir(parents=True, exist_ok=True)
    folders.DataFolder(path=settings.data_folder).replace(
        FIRST_START_NAME, '\n'.join(seeds).encode()
    )
    return seeds


class ControlRole(mode.Service):
    """Run the replicated log, the state of the fleet and the HTTP API."""

    def __init__(
        self,
        *,
        settings: ControlSettings,
        context: fleet.RoleContext,
        **options: Any,
    ) -> None:
        self._settings = settings
        self._servers: list[asyncio.Server] = []
        self._http_server: web.Server | None = None
        self.fleet = fleet_state.FleetState()
        first_seeds = _first_seeds(settings, context.seeds())
        self._replicated_log = consensus.ReplicatedLog(
            peers=context.peers,
            state_machine=self.fleet,
            data_folder=settings.data_folder,
            voters=first_seeds or context.seeds(),
            may_bootstrap=first_seeds is not None,
            may_give_up_voter=True,
            is_control=lambda name: True,
            rng=context.rng,
            on_applied=lambda: self.control_service.notify_applied(),
            timing=ELECTION_TIMING,
            may_promote=functools.partial(
                group.may_promote, tolerated=settings.tolerated_disks
            ),
        )
        self._membership = memberships.Membership(
            peers=context.peers,
            log=self._replicated_log,
            seeds=context.seeds,
            tolerated_disks=settings.tolerated_disks,
            catch_up_s=settings.catch_up_s,
            is_voter=settings.is_voter,
        )
        self.control_service = control_services.ControlService(
            peers=context.peers,
            log=self._replicated_log,
            membership=self._membership,
            state=self.fleet,
            heartbeat_s=settings.heartbeat_s,
            region_of=settings.region_of,
            loop_delay=context.loop_delay,
        )
        self._log_lag = log_lag.LogLag(log=self._replicated_log)
        self._bodies = body_budget.BodyBudget(pool=context.resources.pool)
        self._guard = guards.ConnectionGuard(
            name='calls',
            max_connections=context.resources.max_connections,
            pool=context.resources.pool,
            limits=connection_limits.ConnectionLimits(),
        )
        super().__init__(**options)

    def on_init_dependencies(self) -> list[mode.Service]:
        """Return the replicated log, then the services that use it."""
        return [
            self._replicated_log,
            self._membership,
            self.control_service,
            self._log_lag,
        ]

    async def on_started(self) -> None:
        """Serve the HTTP API at every address."""
        self._http_server = web.Server(
            self._settings.create_handler(self.control_service, self._bodies)
        )
        self._servers = [
            await serving.serve(
                self._http_server,
                guard=self._guard,
                listening_socket=callers_listener.bind(address),
            )
            for address in self._settings.addresses
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
        if self._http_server is None:
            # The start failed, so there is no leadership to transfer.
            return
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
            **self._guard.counters(),
            'body_bytes_held': self._bodies.held_bytes,
            'upstreams': len(self.fleet.upstreams),
            'entry_hosts': len(self.fleet.entry_hosts),
            'configuration_version': self.fleet.configuration_version,
        }


def factory(settings: ControlSettings) -> fleet.RoleFactory:
    """Return the function that creates the control role of a process."""
    return lambda context: ControlRole(settings=settings, context=context)
