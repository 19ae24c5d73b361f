"""Hold what an entry host knows of the fleet."""

from collections.abc import Iterable
from typing import Any

from skylarkpitch.fleet import model
from skylarkpitch.fleet import state as fleet_state
from skylarkpitch.messages import fleet as messages

__all__ = ['FleetView']


class FleetView:
    """The state of the fleet up to one log index, decoded.

    It never goes back: an answer of another cluster, or one that is older
    than what is held, changes nothing.
    """

    def __init__(self) -> None:
        self.cluster = ''
        self.index = 0
        self._tables: dict[str, dict[tuple[str, ...], Any]] = {
            kind: {} for kind in fleet_state.KINDS
        }

    @property
    def version(self) -> int:
        """Return the version of the configuration; 0 without one."""
        return self._tables[fleet_state.VERSION].get((), 0)

    @property
    def limits(self) -> model.CallerLimits:
        """Return the bounds on callers."""
        held = self._tables[fleet_state.LIMITS]
        return held.get((), model.CallerLimits())

    @property
    def routes(self) -> Iterable[model.Route]:
        """Return the routes, in no order."""
        return self._tables[fleet_state.ROUTE].values()

    @property
    def organisations(self) -> Iterable[model.Organisation]:
        """Return the organisations, in no order."""
        return self._tables[fleet_state.ORGANISATION].values()

    @property
    def upstreams(self) -> Iterable[model.Upstream]:
        """Return the upstreams, in no order."""
        return self._tables[fleet_state.UPSTREAM].values()

    @property
    def entry_hosts(self) -> Iterable[model.EntryHost]:
        """Return the entry hosts that callers may use, in no order."""
        return self._tables[fleet_state.ENTRY_HOST].values()

    @property
    def entry_host_count(self) -> int:
        """Return how many entry hosts share what holds for the fleet.

        It is 1 at least: this host counts before control names it.
        """
        return max(1, len(self._tables[fleet_state.ENTRY_HOST]))

    def service(self, name: str) -> model.Service | None:
        """Return what is known of a service."""
        return self._tables[fleet_state.SERVICE].get((name,))

    def organisation(self, name: str) -> model.Organisation | None:
        """Return an organisation by its name."""
        return self._tables[fleet_state.ORGANISATION].get((name,))

    @property
    def draining_domains(self) -> frozenset[str]:
        """Return the failure domains whose upstreams get nothing."""
        return frozenset(key[0] for key in self._tables[fleet_state.DRAIN])

    def apply(self, answer: messages.WatchResponse) -> frozenset[str]:
        """Take an answer of a control host; return the kinds it changed."""
        if self.cluster and answer.cluster != self.cluster:
            return frozenset()
        if not answer.cluster or answer.index <= self.index:
            return frozenset()
        changed = set()
        if answer.whole:
            for kind, table in self._tables.items():
                if table:
                    changed.add(kind)
                table.clear()
        for key, _version, value in answer.rows:
            kind, *name = key
            if kind not in self._tables:
                continue
            changed.add(kind)
            table = self._tables[kind]
            if value is None:
                table.pop(tuple(name), None)
            else:
                decoded = model.decode(fleet_state.KINDS[kind], value)
                table[tuple(name)] = decoded
        self.cluster = answer.cluster
        self.index = answer.index
        return frozenset(changed)
