"""Hold the state of the fleet that the replicated log builds up.

The state is a set of parts, each with the log index that changed it, so the
changes since any index are the parts above it. A new configuration changes
only the parts in which it differs from the one before.
"""

from collections.abc import Iterator
from typing import Any

import msgspec

from skylarkpitch.config import parts
from skylarkpitch.fleet import commands
from skylarkpitch.fleet import model

__all__ = [
    'DEPARTED',
    'DOCUMENT',
    'DRAIN',
    'ENTRY_HOST',
    'FleetState',
    'KINDS',
    'LIMITS',
    'ORGANISATION',
    'ROUTE',
    'SERVICE',
    'UPSTREAM',
    'VERSION',
    'shared_rows',
]

VERSION = 'version'
LIMITS = 'limits'
ROUTE = 'route'
SERVICE = 'service'
ORGANISATION = 'organisation'
DRAIN = 'drain'
UPSTREAM = 'upstream'
ENTRY_HOST = 'entry_host'
DEPARTED = 'departed'
DOCUMENT = 'document'
MAX_DEPARTED = 2000

KINDS: dict[str, type] = {
    VERSION: int,
    LIMITS: model.CallerLimits,
    ROUTE: model.Route,
    SERVICE: model.Service,
    ORGANISATION: model.Organisation,
    DRAIN: bool,
    UPSTREAM: model.Upstream,
    ENTRY_HOST: model.EntryHost,
}
_CONFIGURED = (VERSION, LIMITS, ROUTE, SERVICE, ORGANISATION)
_KEPT_BY_CONTROL = frozenset((DEPARTED, DOCUMENT))
_decoder = msgspec.msgpack.Decoder(
    tuple[int, list[tuple[parts.PartKey, int, bytes | None]]]
)


def shared_rows(rows: tuple[parts.Row, ...]) -> tuple[parts.Row, ...]:
    """Return the rows that entry hosts need."""
    return tuple(row for row in rows if row[0][0] not in _KEPT_BY_CONTROL)


class FleetState:
    """A state machine for the replicated log."""

    def __init__(self) -> None:
        self.parts = parts.PartStore()
        self.configuration_version = 0
        self.document = b''
        self.upstreams: dict[str, model.Upstream] = {}
        self.entry_hosts: dict[str, model.EntryHost] = {}
        self.departed: dict[str, int] = {}
        self._by_address: dict[str, str] = {}
        self._appliers = {
            commands.PutConfiguration: self._put_configuration,
            commands.SetDomainDrain: self._set_drain,
            commands.RecordUpstream: self._record_upstream,
            commands.RemoveUpstream: self._remove_upstream,
            commands.RecordEntryHost: self._record_entry_host,
            commands.RemoveEntryHost: self._remove_entry_host,
        }

    @property
    def index(self) -> int:
        """Return the log index up to which the state is built."""
        return self.parts.version

    def at_address(self, address: str) -> model.Upstream | None:
        """Return the upstream that is recorded at an address."""
        found = self._by_address.get(address)
        return None if found is None else self.upstreams.get(found)

    def is_draining(self, failure_domain: str) -> bool:
        """Tell whether a failure domain gets nothing."""
        return self.parts.get((DRAIN, failure_domain)) is not None

    def apply(self, index: int, command: bytes) -> object:
        """Apply a committed command; return the version now held."""
        item = commands.decode(command)
        self._appliers[type(item)](index, item)
        self.parts.advance(index)
        return self.configuration_version

    def snapshot(self) -> bytes:
        """Return the whole state."""
        return msgspec.msgpack.encode((self.index, self.parts.rows()))

    def restore(self, data: bytes) -> None:
        """Replace the state by that of a snapshot."""
        index, rows = _decoder.decode(data)
        self.parts = parts.PartStore()
        self.configuration_version = 0
        self.document = b''
        self.upstreams.clear()
        self.entry_hosts.clear()
        self.departed.clear()
        self._by_address.clear()
        for key, version, value in rows:
            self.parts.put(tuple(key), version, value)
            self._read_back(tuple(key), value)
        self.parts.advance(index)

    def _read_back(self, key: parts.PartKey, value: bytes | None) -> None:
        if value is None:
            return
        if key[0] == VERSION:
            self.configuration_version = model.decode(int, value)
        elif key[0] == DOCUMENT:
            self.document = value
        elif key[0] == UPSTREAM:
            self._remember(model.decode(model.Upstream, value))
        elif key[0] == ENTRY_HOST:
            self.entry_hosts[key[1]] = model.decode(model.EntryHost, value)
        elif key[0] == DEPARTED:
            self.departed[key[1]] = model.decode(int, value)

    def _put_configuration(
        self, index: int, item: commands.PutConfiguration
    ) -> None:
        configuration = item.configuration
        if configuration.version <= self.configuration_version:
            return
        wanted = dict(_configured_parts(configuration))
        held = {
            key for key, _value in self.parts.live() if key[0] in _CONFIGURED
        }
        for key in held - set(wanted):
            self.parts.put(key, index, None)
        for key, value in wanted.items():
            if self.parts.get(key) != value:
                self.parts.put(key, index, value)
        self.parts.put((DOCUMENT,), index, item.document)
        self.document = item.document
        self.configuration_version = configuration.version

    def _set_drain(self, index: int, item: commands.SetDomainDrain) -> None:
        if item.draining == self.is_draining(item.failure_domain):
            return
        value = model.encode(True) if item.draining else None
        self.parts.put((DRAIN, item.failure_domain), index, value)

    def _record_upstream(
        self, index: int, item: commands.RecordUpstream
    ) -> None:
        said = item.upstream
        if not self.is_news(said):
            return
        other = self.at_address(said.address)
        if other is not None and other.upstream_id != said.upstream_id:
            self._forget(index, other.upstream_id)
        held = self.upstreams.get(said.upstream_id)
        if held is not None:
            self._by_address.pop(held.address, None)
        self._remember(said)
        key = (UPSTREAM, said.upstream_id)
        self.parts.put(key, index, model.encode(said))

    def is_news(self, said: model.Upstream) -> bool:
        """Tell whether a report is later than all that it speaks about.

        It is not when this incarnation has left, when the upstream has
        said something later, or when a later one holds its address.
        """
        if said.born_ms <= self.departed.get(said.upstream_id, -1):
            return False
        held = self.upstreams.get(said.upstream_id)
        if held is not None and said.order <= held.order:
            return False
        other = self.at_address(said.address)
        return other is None or other.born_ms <= said.born_ms

    def _remove_upstream(
        self, index: int, item: commands.RemoveUpstream
    ) -> None:
        if item.left:
            self._note_departed(index, item)
        held = self.upstreams.get(item.upstream_id)
        if held is not None and held.born_ms <= item.born_ms:
            self._forget(index, item.upstream_id)

    def _note_departed(
        self, index: int, item: commands.RemoveUpstream
    ) -> None:
        known = self.departed.get(item.upstream_id, -1)
        if item.born_ms <= known:
            return
        self.departed.pop(item.upstream_id, None)
        self.departed[item.upstream_id] = item.born_ms
        key = (DEPARTED, item.upstream_id)
        self.parts.put(key, index, model.encode(item.born_ms))
        if len(self.departed) > MAX_DEPARTED:
            oldest = next(iter(self.departed))
            del self.departed[oldest]
            self.parts.put((DEPARTED, oldest), index, None)

    def _record_entry_host(
        self, index: int, item: commands.RecordEntryHost
    ) -> None:
        host = item.entry_host
        if self.entry_hosts.get(host.name) == host:
            return
        self.entry_hosts[host.name] = host
        self.parts.put((ENTRY_HOST, host.name), index, model.encode(host))

    def _remove_entry_host(
        self, index: int, item: commands.RemoveEntryHost
    ) -> None:
        if self.entry_hosts.pop(item.name, None) is not None:
            self.parts.put((ENTRY_HOST, item.name), index, None)

    def _remember(self, upstream: model.Upstream) -> None:
        self.upstreams[upstream.upstream_id] = upstream
        self._by_address[upstream.address] = upstream.upstream_id

    def _forget(self, index: int, upstream_id: str) -> None:
        held = self.upstreams.pop(upstream_id)
        if self._by_address.get(held.address) == upstream_id:
            del self._by_address[held.address]
        self.parts.put((UPSTREAM, upstream_id), index, None)


def _configured_parts(
    configuration: model.Configuration,
) -> Iterator[tuple[parts.PartKey, bytes]]:
    yield (VERSION,), model.encode(configuration.version)
    yield (LIMITS,), model.encode(configuration.limits)
    named: tuple[tuple[str, tuple[Any, ...]], ...] = (
        (ROUTE, configuration.routes),
        (SERVICE, configuration.services),
        (ORGANISATION, configuration.organisations),
    )
    for kind, items in named:
        for item in items:
            yield (kind, item.name), model.encode(item)
