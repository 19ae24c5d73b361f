"""Store an entry host's copy of the fleet state."""

from collections.abc import Iterable
from typing import Any

from skylarkpitch.fleet import model
from skylarkpitch.fleet import state as fleet_state
from skylarkpitch.messages import fleet as messages

__all__ = ['FleetView']


class FleetView:
    """Decoded state of the fleet as of one log index.

    The index never decreases: a response from another cluster, or one that
    is not newer than the view, is ignored.
    """

    def __init__(self) -> None:
        self.cluster = ''
        self.index = 0
        self._tables: dict[str, dict[tuple[str, ...], Any]] = {
            kind: {} for kind in fleet_state.KINDS
        }

    @property
    def version(self) -> int:
        """Return the configuration version, or 0 without a configuration."""
        return self._tables[fleet_state.VERSION].get((), 0)

    @property
    def limits(self) -> model.CallerLimits:
        """Return the limits for callers; defaults without a configuration."""
        table = self._tables[fleet_state.LIMITS]
        return table.get((), model.CallerLimits())

    @property
    def routes(self) -> Iterable[model.Route]:
        """Return the routes, unordered."""
        return self._tables[fleet_state.ROUTE].values()

    @property
    def organisations(self) -> Iterable[model.Organisation]:
        """Return the organisations, unordered."""
        return self._tables[fleet_state.ORGANISATION].values()

    @property
    def upstreams(self) -> Iterable[model.Upstream]:
        """Return the upstreams, unordered."""
        return self._tables[fleet_state.UPSTREAM].values()

    @property
    def entry_hosts(self) -> Iterable[model.EntryHost]:
        """Return the entry hosts that callers may use, unordered."""
        return self._tables[fleet_state.ENTRY_HOST].values()

    @property
    def entry_host_count(self) -> int:
        """Return how many entry hosts share fleet-wide limits.

        It is at least 1, since this host counts before control records it.
        """
        return max(1, len(self._tables[fleet_state.ENTRY_HOST]))

    def service(self, name: str) -> model.Service | None:
        """Return the configuration of a service, or None."""
        return self._tables[fleet_state.SERVICE].get((name,))

    def organisation(self, name: str) -> model.Organisation | None:
        """Return an organisation by its name, or None."""
        return self._tables[fleet_state.ORGANISATION].get((name,))

    @property
    def draining_domains(self) -> frozenset[str]:
        """Return the failure domains that are being drained."""
        return frozenset(key[0] for key in self._tables[fleet_state.DRAIN])

    def apply(self, response: messages.WatchResponse) -> frozenset[str]:
        """Apply the response of a control host; return the changed kinds."""
        if self.cluster and response.cluster != self.cluster:
            return frozenset()
        if not response.cluster or response.index <= self.index:
            return frozenset()
        changed = set()
        if response.whole:
            for kind, table in self._tables.items():
                if table:
                    changed.add(kind)
                table.clear()
        for key, _version, value in response.rows:
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
        self.cluster = response.cluster
        self.index = response.index
        return frozenset(changed)
