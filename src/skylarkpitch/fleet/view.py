"""Store an entry host's copy of the fleet state."""

from collections.abc import Iterable
import dataclasses
from typing import Any

from skylarkpitch.fleet import host_parts
from skylarkpitch.fleet import model
from skylarkpitch.fleet import state as fleet_state
from skylarkpitch.messages import fleet as messages

__all__ = ['Changes', 'FleetView']


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Changes:
    """What a response changed in a view.

    ``kinds`` are the kinds of parts that changed. ``upstreams`` are the ids
    of the upstreams that were added, changed or removed; None stands for
    any of them, as after the view was replaced as a whole.
    """

    kinds: frozenset[str] = frozenset()
    upstreams: frozenset[str] | None = frozenset()

    def __bool__(self) -> bool:
        return bool(self.kinds)


_NO_CHANGES = Changes()


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
        self._host_parts: dict[str | None, dict[str, host_parts.HostPart]] = {}

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
    def requires_api_key(self) -> bool:
        """Return whether routes that are not public require an API key.

        A configuration that was stored before it said so requires one if
        any organisation has a key.
        """
        required = self._tables[fleet_state.REQUIRES_API_KEY].get(())
        if required is None:
            return any(item.api_keys for item in self.organisations)
        return required

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

    def domain_of_control_host(self, name: str) -> str | None:
        """Return the failure domain of a control host, None if unknown."""
        host = self._tables[fleet_state.CONTROL_HOST].get((name,))
        return None if host is None else host.failure_domain

    def upstream(self, upstream_id: str) -> model.Upstream | None:
        """Return an upstream by its id, or None."""
        return self._tables[fleet_state.UPSTREAM].get((upstream_id,))

    def host_part(
        self, name: str, *, favoured_region: str | None = None
    ) -> host_parts.HostPart | None:
        """Return the part of an entry host in what belongs to the fleet.

        Returns None for a host that control has not recorded.
        """
        if favoured_region not in self._host_parts:
            self._host_parts[favoured_region] = host_parts.divide(
                self.entry_hosts, favoured_region=favoured_region
            )
        return self._host_parts[favoured_region].get(name)

    def apply(self, response: messages.WatchResponse) -> Changes:
        """Apply the response of a control host; return what it changed."""
        if self.cluster and response.cluster != self.cluster:
            return _NO_CHANGES
        if not response.cluster or response.index <= self.index:
            return _NO_CHANGES
        changed = self._clear() if response.whole else set()
        upstreams = set()
        for key, _version, value in response.rows:
            kind, *name = key
            if kind not in self._tables:
                continue
            changed.add(kind)
            if kind == fleet_state.UPSTREAM:
                upstreams.add(name[0])
            self._set(kind, tuple(name), value)
        self.cluster = response.cluster
        self.index = response.index
        if fleet_state.ENTRY_HOST in changed:
            self._host_parts.clear()
        return Changes(
            kinds=frozenset(changed),
            upstreams=None if response.whole else frozenset(upstreams),
        )

    def _clear(self) -> set[str]:
        """Remove all parts; return the kinds that there were."""
        cleared = {kind for kind, table in self._tables.items() if table}
        for table in self._tables.values():
            table.clear()
        return cleared

    def _set(
        self, kind: str, name: tuple[str, ...], value: bytes | None
    ) -> None:
        table = self._tables[kind]
        if value is None:
            table.pop(name, None)
        else:
            table[name] = model.decode(fleet_state.KINDS[kind], value)
