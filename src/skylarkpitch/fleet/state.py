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

__all__ = [
    'CONTROL_HOST',
    'DEPARTED',
    'DEPARTED_UNRECORDED',
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
UPSTREAM = 'upstream'
ENTRY_HOST = 'entry_host'
CONTROL_HOST = 'control_host'
DEPARTED = 'departed'
DEPARTED_UNRECORDED = 'departed_unrecorded'
DOCUMENT = 'document'
# Departures are stored so that late heartbeats of the departed incarnation
# are ignored; above this number the oldest is discarded.
MAX_DEPARTED = 2000

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
_CONTROL_ONLY_KINDS = frozenset((DEPARTED, DEPARTED_UNRECORDED, DOCUMENT))
# Kind, name, floor version and index of the snapshot: the key of a row that
# earlier releases load as a removed part. They refuse further fields.
_FLOOR_KEY = (DOCUMENT, 'floor_version')
_snapshot_decoder = msgspec.msgpack.Decoder(
    tuple[int, list[tuple[parts.PartKey, int, bytes | None]]]
)


def shared_rows(rows: tuple[parts.Row, ...]) -> tuple[parts.Row, ...]:
    """Return the rows to send to entry hosts.

    Departures and the configuration document are for control hosts only.
    """
    return tuple(row for row in rows if row[0][0] not in _CONTROL_ONLY_KINDS)


class FleetState:
    """State machine that the replicated log applies commands to."""

    def __init__(self) -> None:
        self.parts = parts.PartStore()
        self.configuration_version = 0
        self.document = b''
        self.upstreams: dict[str, model.Upstream] = {}
        self.entry_hosts: dict[str, model.EntryHost] = {}
        self.control_hosts: dict[str, model.ControlHost] = {}
        self.departed: dict[str, int] = {}
        self.departed_unrecorded: dict[str, int] = {}
        self._by_address: dict[str, str] = {}
        self._organisations: dict[str, model.Organisation] = {}
        self._appliers = {
            commands.PutConfiguration: self._put_configuration,
            commands.SetDomainDrain: self._set_drain,
            commands.RecordUpstream: self._record_upstream,
            commands.RemoveUpstream: self._remove_upstream,
            commands.MarkDeparture: self._mark_departure,
            commands.ForgetDeparture: self._forget_departure,
            commands.RecordEntryHost: self._record_entry_host,
            commands.RemoveEntryHost: self._remove_entry_host,
            commands.RecordControlHost: self._record_control_host,
            commands.RemoveControlHost: self._remove_control_host,
        }

    @property
    def index(self) -> int:
        """Return the index of the last applied log entry."""
        return self.parts.version

    def upstream_at(self, address: str) -> model.Upstream | None:
        """Return the upstream that is recorded at an address, or None."""
        upstream_id = self._by_address.get(address)
        return None if upstream_id is None else self.upstreams.get(upstream_id)

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
        self._appliers[type(item)](index, item)
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
        self.parts.floor_version = _floor_version_of(rows, index=index)
        self.configuration_version = 0
        self.document = b''
        self.upstreams.clear()
        self.entry_hosts.clear()
        self.control_hosts.clear()
        self.departed.clear()
        self.departed_unrecorded.clear()
        self._by_address.clear()
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
        elif key[0] == UPSTREAM:
            self._store_upstream(model.decode(model.Upstream, value))
        elif key[0] == ENTRY_HOST:
            self.entry_hosts[key[1]] = model.decode(model.EntryHost, value)
        elif key[0] == CONTROL_HOST:
            self.control_hosts[key[1]] = model.decode(model.ControlHost, value)
        elif key[0] == DEPARTED:
            self.departed[key[1]] = model.decode(int, value)
        elif key[0] == DEPARTED_UNRECORDED:
            self.departed_unrecorded[key[1]] = model.decode(int, value)

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

    def _record_upstream(
        self, index: int, item: commands.RecordUpstream
    ) -> None:
        reported = item.upstream
        if not self.is_newer(reported):
            return
        other = self.upstream_at(reported.address)
        if other is not None and other.upstream_id != reported.upstream_id:
            self._delete_upstream(index, other.upstream_id)
        recorded = self.upstreams.get(reported.upstream_id)
        if recorded is not None:
            self._by_address.pop(recorded.address, None)
        self._store_upstream(reported)
        key = (UPSTREAM, reported.upstream_id)
        self.parts.put(key, index, model.encode(reported))

    def is_newer(self, reported: model.Upstream) -> bool:
        """Return whether a report is newer than the recorded state.

        It is not if this incarnation has departed, if a report of the same
        or a later revision is recorded, or if an upstream that was started
        later is recorded at its address.
        """
        name = reported.upstream_id
        departed_ms = max(
            self.departed.get(name, -1), self.departed_unrecorded.get(name, -1)
        )
        if reported.born_ms <= departed_ms:
            return False
        recorded = self.upstreams.get(reported.upstream_id)
        if recorded is not None and reported.revision <= recorded.revision:
            return False
        other = self.upstream_at(reported.address)
        return other is None or other.born_ms <= reported.born_ms

    def _remove_upstream(
        self, index: int, item: commands.RemoveUpstream
    ) -> None:
        if item.left:
            self._record_departure(index, item)
        recorded = self.upstreams.get(item.upstream_id)
        if recorded is not None and recorded.born_ms <= item.born_ms:
            self._delete_upstream(index, item.upstream_id)

    def _record_departure(
        self, index: int, item: commands.RemoveUpstream
    ) -> None:
        self._store_departure(
            index, DEPARTED, self.departed, item.upstream_id, item.born_ms
        )

    def _mark_departure(
        self, index: int, item: commands.MarkDeparture
    ) -> None:
        self._store_departure(
            index,
            DEPARTED_UNRECORDED,
            self.departed_unrecorded,
            item.upstream_id,
            item.before_ms,
        )
        # A heartbeat may have been committed since the departure arrived.
        recorded = self.upstreams.get(item.upstream_id)
        if recorded is not None and recorded.born_ms <= item.before_ms:
            self._delete_upstream(index, item.upstream_id)

    def _store_departure(
        self,
        index: int,
        kind: str,
        departures: dict[str, int],
        upstream_id: str,
        born_ms: int,
    ) -> None:
        if born_ms <= departures.get(upstream_id, -1):
            return
        departures.pop(upstream_id, None)
        departures[upstream_id] = born_ms
        self.parts.put((kind, upstream_id), index, model.encode(born_ms))
        if len(departures) > MAX_DEPARTED:
            oldest = next(iter(departures))
            del departures[oldest]
            self.parts.put((kind, oldest), index, None)

    def _forget_departure(
        self, index: int, item: commands.ForgetDeparture
    ) -> None:
        name = item.upstream_id
        if self.departed_unrecorded.get(name) == item.before_ms:
            del self.departed_unrecorded[name]
            self.parts.put((DEPARTED_UNRECORDED, name), index, None)

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

    def _store_upstream(self, upstream: model.Upstream) -> None:
        self.upstreams[upstream.upstream_id] = upstream
        self._by_address[upstream.address] = upstream.upstream_id

    def _delete_upstream(self, index: int, upstream_id: str) -> None:
        deleted = self.upstreams.pop(upstream_id)
        if self._by_address.get(deleted.address) == upstream_id:
            del self._by_address[deleted.address]
        self.parts.put((UPSTREAM, upstream_id), index, None)


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
