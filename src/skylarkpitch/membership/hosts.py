"""Know which entry hosts serve, by their heartbeats.

Each entry host tells the others its life-cycle state every
``HEARTBEAT_S``. A host that was not heard for ``SILENCE_S`` counts as cut
off until it is heard again.
"""

from collections.abc import Callable
import dataclasses
import time
from typing import Any

import mode

from skylarkpitch.messages import hosts as host_messages
from skylarkpitch.peers import network
from skylarkpitch.peers import rendezvous

__all__ = ['HEARTBEAT_S', 'SILENCE_S', 'HeartbeatTable', 'HostView']

HEARTBEAT_S = 0.5
SILENCE_S = 2.5
MAX_MESH_HOSTS = 32
SERVING = 'serving'


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class HostView:
    """What a heartbeat said of a host, and when it came."""

    life_cycle: str
    room: float
    heard_s: float


def not_serving(
    views: dict[str, HostView],
    names: tuple[str, ...],
    *,
    expected: frozenset[str],
    now_s: float,
) -> frozenset[str]:
    """Return the hosts that are silent, starting or leaving.

    ``expected`` are the hosts that send their heartbeats here; of another
    host only what it said counts, not that it was never heard.
    """
    return frozenset(
        name
        for name in names
        if not _serves(views.get(name), name in expected, now_s)
    )


def _serves(view: HostView | None, is_expected: bool, now_s: float) -> bool:
    if view is None:
        return not is_expected
    return view.life_cycle == SERVING and now_s - view.heard_s <= SILENCE_S


class HeartbeatTable(mode.Service):
    """Send this host's heartbeats and keep those of the others."""

    def __init__(
        self,
        *,
        peers: network.Peers,
        life_cycle: Callable[[], str],
        room: Callable[[], float],
        clock: Callable[[], float] = time.monotonic,
        **options: Any,
    ) -> None:
        self._peers = peers
        self._life_cycle = life_cycle
        self._room = room
        self._clock = clock
        self._views: dict[str, HostView] = {}
        peers.handle(host_messages.HostBeat, self._on_beat)
        super().__init__(**options)

    def not_serving(self) -> frozenset[str]:
        """Return the entry hosts that look-ups must leave out."""
        names = tuple(
            host.name for host in self._peers.directory.with_role('entry')
        )
        self._hear_own()
        is_mesh = len(names) <= MAX_MESH_HOSTS + 1
        return not_serving(
            self._views,
            names,
            expected=frozenset(names if is_mesh else ()),
            now_s=self._clock(),
        )

    def room(self) -> dict[str, float]:
        """Return the free slots that each host last told."""
        self._hear_own()
        return {name: view.room for name, view in self._views.items()}

    def beat(self) -> None:
        """Tell the other entry hosts this host's state now."""
        message = host_messages.HostBeat(
            life_cycle=self._life_cycle(), room=self._room()
        )
        for name in self._targets():
            self._peers.send(name, message)

    def _hear_own(self) -> None:
        self._views[self._peers.directory.local_host.name] = HostView(
            life_cycle=self._life_cycle(),
            room=self._room(),
            heard_s=self._clock(),
        )

    def _targets(self) -> list[str]:
        directory = self._peers.directory
        own = directory.local_host.name
        names = [
            host.name
            for host in directory.with_role('entry')
            if host.name != own
        ]
        if len(names) <= MAX_MESH_HOSTS:
            return names
        near = [
            host.name
            for host in directory.in_failure_domain(
                directory.local_host.failure_domain
            )
            if host.name != own
        ]
        return rendezvous.rank(own, near)[:MAX_MESH_HOSTS]

    async def _on_beat(
        self, sender: str, message: host_messages.HostBeat
    ) -> None:
        self._views[sender] = HostView(
            life_cycle=message.life_cycle,
            room=message.room,
            heard_s=self._clock(),
        )

    @mode.Service.task
    async def _beat_regularly(self) -> None:
        while not self.should_stop:
            self.beat()
            await self.sleep(HEARTBEAT_S)
