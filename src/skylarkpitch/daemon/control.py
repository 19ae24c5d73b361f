"""Assemble the control role from its services."""

import random
from typing import Any

import mode

from skylarkpitch.config import state as config_state
from skylarkpitch.consensus import service as consensus
from skylarkpitch.daemon import listener
from skylarkpitch.dissemination import source as sources
from skylarkpitch.listening import limits as connection_limits
from skylarkpitch.operators import api
from skylarkpitch.peers import network
from skylarkpitch.settings import daemon as daemon_settings

__all__ = ['ControlRole']

# Part of the connections of the process that operators may have.
CONNECTIONS_SHARE = 0.1


class ControlRole(mode.Service):
    """Replicate the control state and serve the operators' HTTP API."""

    def __init__(
        self,
        *,
        settings: daemon_settings.DaemonSettings,
        peers: network.Peers,
        resources: connection_limits.Resources,
        rng: random.Random,
        **options: Any,
    ) -> None:
        self._settings = settings
        self._resources = resources
        self._control_state = config_state.ControlState()
        self._control_log = consensus.ReplicatedLog(
            peers=peers,
            state_machine=self._control_state,
            data_folder=settings.data_folder,
            voters=tuple(
                host.name for host in peers.directory.with_role('control')
            ),
            rng=rng,
            on_applied=lambda: self._source.notify(),
        )
        self._source = sources.StateSource(
            peers=peers, log=self._control_log, state=self._control_state
        )
        self._api = api.OperatorsApi(
            log=self._control_log,
            state=self._control_state,
            source=self._source,
            peers=peers,
            token_hashes=settings.control.operator_token_hashes,
        )
        super().__init__(**options)

    async def on_stop(self) -> None:
        """Transfer the leadership to another voter.

        Operators then need not wait for an election timeout.
        """
        if self._control_log.started:
            await self._control_log.resign()

    def on_init_dependencies(self) -> list[mode.Service]:
        """Return the services in the order in which they start."""
        return [
            self._control_log,
            self._source,
            listener.Listener(
                name='operators',
                address=self._settings.control.operators,
                routes=self._api.routes(),
                limits=self._settings.limits,
                resources=self._resources,
                connections_share=CONNECTIONS_SHARE,
            ),
        ]
