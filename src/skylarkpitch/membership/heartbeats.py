"""Heartbeats between entry hosts, and which hosts serve.

Each entry host sends its life-cycle state to the others every
``HEARTBEAT_INTERVAL_S``. A host whose last heartbeat is older than
``HEARTBEAT_TIMEOUT_S`` counts as unreachable until the next one arrives.
"""

from collections.abc import Callable
import dataclasses
import time
from typing import Any

import mode

from skylarkpitch.messages import hosts as host_messages
from skylarkpitch.peers import network
from skylarkpitch.peers import rendezvous

__all__ = [
    'HEARTBEAT_INTERVAL_S',
    'HEARTBEAT_TIMEOUT_S',
    'HeartbeatTable',
    'HostState',
]

HEARTBEAT_INTERVAL_S = 0.5
HEARTBEAT_TIMEOUT_S = 2.5
MAX_MESH_HOSTS = 32
SERVING = 'serving'


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class HostState:
    """State in a host's last heartbeat and the time of its arrival.

    ``free_slots`` counts the free slots of the upstreams that the host owns.
    """

    life_cycle: str
    free_slots: float
    last_contact_s: float


def not_serving(
    states: dict[str, HostState],
    names: tuple[str, ...],
    *,
    expected: frozenset[str],
    now_s: float,
) -> frozenset[str]:
    """Return the hosts that are unreachable, starting or leaving.

    ``expected`` are the hosts that send their heartbeats to this one. A host
    that isn't expected counts as serving until a heartbeat arrives from it.
    """
    return frozenset(
        name
        for name in names
        if not _is_serving(states.get(name), name in expected, now_s)
    )


def _is_serving(
    state: HostState | None, is_expected: bool, now_s: float
) -> bool:
    if state is None:
        return not is_expected
    return (
        state.life_cycle == SERVING
        and now_s - state.last_contact_s <= HEARTBEAT_TIMEOUT_S
    )


class HeartbeatTable(mode.Service):
    """Send this host's heartbeats and store those of the others.

    With more than ``MAX_MESH_HOSTS`` other entry hosts, heartbeats go to at
    most that many hosts of the same failure domain, chosen by rendezvous hash.
    """

    def __init__(
        self,
        *,
        peers: network.Peers,
        life_cycle: Callable[[], str],
        free_slots: Callable[[], float],
        clock: Callable[[], float] = time.monotonic,
        **options: Any,
    ) -> None:
        self._peers = peers
        self._life_cycle = life_cycle
        self._free_slots = free_slots
        self._clock = clock
        self._states: dict[str, HostState] = {}
        peers.handle(host_messages.HostHeartbeat, self._on_heartbeat)
        super().__init__(**options)

    def not_serving(self) -> frozenset[str]:
        """Return the entry hosts that look-up answers must leave out."""
        names = tuple(
            host.name for host in self._peers.directory.with_role('entry')
        )
        self._update_own_state()
        is_mesh = len(names) <= MAX_MESH_HOSTS + 1
        return not_serving(
            self._states,
            names,
            expected=frozenset(names if is_mesh else ()),
            now_s=self._clock(),
        )

    def free_slots(self) -> dict[str, float]:
        """Return the free slots that each host last reported."""
        self._update_own_state()
        return {name: state.free_slots for name, state in self._states.items()}

    def send_heartbeats(self) -> None:
        """Send this host's state to the other entry hosts now."""
        message = host_messages.HostHeartbeat(
            life_cycle=self._life_cycle(), room=self._free_slots()
        )
        for name in self._targets():
            self._peers.send(name, message)

    def _update_own_state(self) -> None:
        self._states[self._peers.directory.local_host.name] = HostState(
            life_cycle=self._life_cycle(),
            free_slots=self._free_slots(),
            last_contact_s=self._clock(),
        )

    def _targets(self) -> list[str]:
        directory = self._peers.directory
        own_name = directory.local_host.name
        names = [
            host.name
            for host in directory.with_role('entry')
            if host.name != own_name
        ]
        if len(names) <= MAX_MESH_HOSTS:
            return names
        neighbours = [
            host.name
            for host in directory.in_failure_domain(
                directory.local_host.failure_domain
            )
            if host.name != own_name
        ]
        return rendezvous.rank(own_name, neighbours)[:MAX_MESH_HOSTS]

    async def _on_heartbeat(
        self, sender: str, message: host_messages.HostHeartbeat
    ) -> None:
        self._states[sender] = HostState(
            life_cycle=message.life_cycle,
            free_slots=message.room,
            last_contact_s=self._clock(),
        )

    @mode.Service.task
    async def _send_regularly(self) -> None:
        while not self.should_stop:
            self.send_heartbeats()
            await self.sleep(HEARTBEAT_INTERVAL_S)
