"""Implement the state machine of the fleet for the replicated log.

The state is a set of parts, each stored with the log index that changed it
last. The changes since an index are the parts with a higher index. A new
configuration changes only the parts that differ from the previous one.
"""

from collections.abc import Iterator
from typing import Any

import msgspec

from skylarkpitch.config import parts
from skylarkpitch.fleet import commands
from skylarkpitch.fleet import model
from skylarkpitch.fleet import upstream_table

__all__ = [
    'CONTROL_HOST',
    'DOCUMENT',
    'DRAIN',
    'ENTRY_HOST',
    'FleetState',
    'KINDS',
    'LIMITS',
    'ORGANISATION',
    'REQUIRES_API_KEY',
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
REQUIRES_API_KEY = 'requires_api_key'
DRAIN = 'drain'
UPSTREAM = upstream_table.UPSTREAM
ENTRY_HOST = 'entry_host'
CONTROL_HOST = 'control_host'
DOCUMENT = 'document'

KINDS: dict[str, type] = {
    VERSION: int,
    LIMITS: model.CallerLimits,
    ROUTE: model.Route,
    SERVICE: model.Service,
    ORGANISATION: model.Organisation,
    REQUIRES_API_KEY: bool,
    DRAIN: bool,
    UPSTREAM: model.Upstream,
    ENTRY_HOST: model.EntryHost,
    CONTROL_HOST: model.ControlHost,
}
_CONFIGURATION_KINDS = (
    VERSION,
    LIMITS,
    ROUTE,
    SERVICE,
    ORGANISATION,
    REQUIRES_API_KEY,
)
_CONTROL_ONLY_KINDS = frozenset(
    (
        DOCUMENT,
        upstream_table.DEPARTED,
        upstream_table.DEPARTED_UNRECORDED,
        upstream_table.REMOVED,
    )
)
_UPSTREAM_APPLIERS = {
    commands.RecordUpstream: upstream_table.UpstreamTable.record,
    commands.RemoveUpstream: upstream_table.UpstreamTable.remove,
    commands.MarkDeparture: upstream_table.UpstreamTable.mark_departure,
    commands.ForgetDeparture: upstream_table.UpstreamTable.forget_departure,
    commands.ForgetRemoved: upstream_table.UpstreamTable.forget_removed,
}
# Kind, name, floor version and index of the snapshot: the key of a row that
# earlier releases load as a removed part. They refuse further fields.
_FLOOR_KEY = (DOCUMENT, 'floor_version')
_snapshot_decoder = msgspec.msgpack.Decoder(
    tuple[int, list[tuple[parts.PartKey, int, bytes | None]]]
)


def shared_rows(rows: tuple[parts.Row, ...]) -> tuple[parts.Row, ...]:
    """Return the rows to send to entry hosts.

    The traces of upstreams that were removed, and the configuration document,
    are for control hosts only.
    """
    return tuple(row for row in rows if row[0][0] not in _CONTROL_ONLY_KINDS)


class FleetState:
    """State machine that the replicated log applies commands to."""

    def __init__(self) -> None:
        self.parts = parts.PartStore()
        self.upstream_table = upstream_table.UpstreamTable(store=self.parts)
        self.configuration_version = 0
        self.document = b''
        self.entry_hosts: dict[str, model.EntryHost] = {}
        self.control_hosts: dict[str, model.ControlHost] = {}
        self._organisations: dict[str, model.Organisation] = {}
        self._appliers = {
            commands.PutConfiguration: self._put_configuration,
            commands.SetDomainDrain: self._set_drain,
            commands.RecordEntryHost: self._record_entry_host,
            commands.RemoveEntryHost: self._remove_entry_host,
            commands.RecordControlHost: self._record_control_host,
            commands.RemoveControlHost: self._remove_control_host,
        }

    @property
    def index(self) -> int:
        """Return the index of the last applied log entry."""
        return self.parts.version

    @property
    def upstreams(self) -> dict[str, model.Upstream]:
        """Return the recorded upstreams by id."""
        return self.upstream_table.upstreams

    def organisation(self, name: str) -> model.Organisation | None:
        """Return an organisation of the configuration, or None.

        Decoded organisations are kept until the configuration changes, since
        every report of an entry host asks for some.
        """
        if name not in self._organisations:
            value = self.parts.get((ORGANISATION, name))
            if value is None:
                return None
            self._organisations[name] = model.decode(model.Organisation, value)
        return self._organisations[name]

    def is_draining(self, failure_domain: str) -> bool:
        """Return whether a failure domain is being drained."""
        return self.parts.get((DRAIN, failure_domain)) is not None

    def apply(self, index: int, command: bytes) -> object:
        """Apply a committed command; return the configuration version."""
        item = commands.decode(command)
        kind = type(item)
        if kind in _UPSTREAM_APPLIERS:
            _UPSTREAM_APPLIERS[kind](self.upstream_table, index, item)
        else:
            self._appliers[kind](index, item)
        self.parts.advance(index)
        return self.configuration_version

    def snapshot(self) -> bytes:
        """Return the whole state, encoded."""
        floor_row = _floor_row(self.parts.floor_version, index=self.index)
        rows = (floor_row, *self.parts.rows())
        return msgspec.msgpack.encode((self.index, rows))

    def restore(self, data: bytes) -> None:
        """Replace the state with that of a snapshot."""
        index, rows = _snapshot_decoder.decode(data)
        self.parts = parts.PartStore()
        self.upstream_table = upstream_table.UpstreamTable(store=self.parts)
        self.parts.floor_version = _floor_version_of(rows, index=index)
        self.configuration_version = 0
        self.document = b''
        self.entry_hosts.clear()
        self.control_hosts.clear()
        self._organisations.clear()
        for key, version, value in rows:
            if not _is_floor_key(key):
                self.parts.put(key, version, value)
                self._load_part(key, value)
        self.parts.advance(index)

    def _load_part(self, key: parts.PartKey, value: bytes | None) -> None:
        if value is None:
            return
        if key[0] == VERSION:
            self.configuration_version = model.decode(int, value)
        elif key[0] == DOCUMENT:
            self.document = value
        elif key[0] == ENTRY_HOST:
            self.entry_hosts[key[1]] = model.decode(model.EntryHost, value)
        elif key[0] == CONTROL_HOST:
            self.control_hosts[key[1]] = model.decode(model.ControlHost, value)
        else:
            self.upstream_table.load(key, value)

    def _put_configuration(
        self, index: int, item: commands.PutConfiguration
    ) -> None:
        configuration = item.configuration
        if configuration.version <= self.configuration_version:
            return
        new_parts = dict(_configuration_parts(configuration))
        old_keys = {
            key
            for key, _value in self.parts.live()
            if key[0] in _CONFIGURATION_KINDS
        }
        for key in old_keys - set(new_parts):
            self.parts.put(key, index, None)
        for key, value in new_parts.items():
            if self.parts.get(key) != value:
                self.parts.put(key, index, value)
        self.parts.put((DOCUMENT,), index, item.document)
        self.document = item.document
        self.configuration_version = configuration.version
        self._organisations.clear()

    def _set_drain(self, index: int, item: commands.SetDomainDrain) -> None:
        if item.draining == self.is_draining(item.failure_domain):
            return
        value = model.encode(True) if item.draining else None
        self.parts.put((DRAIN, item.failure_domain), index, value)

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

    def _record_control_host(
        self, index: int, item: commands.RecordControlHost
    ) -> None:
        host = item.control_host
        if self.control_hosts.get(host.name) == host:
            return
        self.control_hosts[host.name] = host
        self.parts.put((CONTROL_HOST, host.name), index, model.encode(host))

    def _remove_control_host(
        self, index: int, item: commands.RemoveControlHost
    ) -> None:
        if self.control_hosts.pop(item.name, None) is not None:
            self.parts.put((CONTROL_HOST, item.name), index, None)


def _floor_row(floor_version: int, *, index: int) -> parts.Row:
    return (*_FLOOR_KEY, str(floor_version), str(index)), 0, None


def _is_floor_key(key: parts.PartKey) -> bool:
    return key[: len(_FLOOR_KEY)] == _FLOOR_KEY


def _floor_version_of(rows: list[parts.Row], *, index: int) -> int:
    """Return the floor version of a snapshot, its index if unknown.

    Earlier releases store no row of it, or keep that of a snapshot from
    which they started, while they delete further tombstones. From the index
    on, no tombstone of the snapshot is needed.
    """
    for key, _version, _value in rows:
        if _is_floor_key(key) and key[-1] == str(index):
            return int(key[-2])
    return index


def _configuration_parts(
    configuration: model.Configuration,
) -> Iterator[tuple[parts.PartKey, bytes]]:
    yield (VERSION,), model.encode(configuration.version)
    yield (LIMITS,), model.encode(configuration.limits)
    if configuration.requires_api_key is not None:
        required = model.encode(configuration.requires_api_key)
        yield (REQUIRES_API_KEY,), required
    items_by_kind: tuple[tuple[str, tuple[Any, ...]], ...] = (
        (ROUTE, configuration.routes),
        (SERVICE, configuration.services),
        (ORGANISATION, configuration.organisations),
    )
    for kind, items in items_by_kind:
        for item in items:
            yield (kind, item.name), model.encode(item)
