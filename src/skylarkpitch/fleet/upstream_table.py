"""Store what upstreams last reported, also after they are removed.

A heartbeat may arrive seconds late. Once an upstream is no longer recorded,
one of its earlier heartbeats must not bring it back as it was before: it may
drain, or have left. So whatever is removed leaves a trace: the incarnation
that left, or the revision that was last received of one that did not.
"""

from typing import TypeVar

from skylarkpitch.config import parts
from skylarkpitch.fleet import commands
from skylarkpitch.fleet import model

__all__ = [
    'DEPARTED',
    'DEPARTED_UNRECORDED',
    'REMOVED',
    'UPSTREAM',
    'Revision',
    'UpstreamTable',
]

UPSTREAM = 'upstream'
DEPARTED = 'departed'
DEPARTED_UNRECORDED = 'departed_unrecorded'
REMOVED = 'removed'
# Upstreams of which each kind of trace is kept; above this number the oldest
# is discarded.
MAX_DEPARTED = 2000
MAX_REMOVED = 10_000

# Start time and sequence of a report; see model.Upstream.
Revision = tuple[int, int]
_Trace = TypeVar('_Trace', int, Revision)


class UpstreamTable:
    """The upstreams of a fleet state, and the traces of removed ones.

    ``departed`` has the start times of the incarnations that left, and
    ``departed_unrecorded`` the times until which an upstream had left whose
    incarnation was not recorded. ``removed`` has the last revisions of
    upstreams that were removed although they had not left. All of it is in
    ``store``, the parts of the fleet state.
    """

    def __init__(self, *, store: parts.PartStore) -> None:
        self.upstreams: dict[str, model.Upstream] = {}
        self.departed: dict[str, int] = {}
        self.departed_unrecorded: dict[str, int] = {}
        self.removed: dict[str, Revision] = {}
        self._store = store
        self._by_address: dict[str, str] = {}

    def at(self, address: str) -> model.Upstream | None:
        """Return the upstream that is recorded at an address, or None."""
        upstream_id = self._by_address.get(address)
        return None if upstream_id is None else self.upstreams.get(upstream_id)

    def is_newer(self, reported: model.Upstream) -> bool:
        """Return whether a report is newer than what is known.

        It is not if this incarnation has departed, if a report of the same
        or a later revision is recorded, or was before the upstream was
        removed, or if an upstream that was started later is recorded at its
        address.
        """
        name = reported.upstream_id
        departed_ms = max(
            self.departed.get(name, -1), self.departed_unrecorded.get(name, -1)
        )
        if reported.born_ms <= departed_ms:
            return False
        last_revision = self._last_revision(name)
        if last_revision is not None and reported.revision <= last_revision:
            return False
        other = self.at(reported.address)
        return other is None or other.born_ms <= reported.born_ms

    def _last_revision(self, upstream_id: str) -> Revision | None:
        recorded = self.upstreams.get(upstream_id)
        if recorded is not None:
            return recorded.revision
        return self.removed.get(upstream_id)

    def load(self, key: parts.PartKey, value: bytes) -> None:
        """Load a part of a snapshot that is in the store already."""
        if key[0] == UPSTREAM:
            self._put(model.decode(model.Upstream, value))
        elif key[0] == DEPARTED:
            self.departed[key[1]] = model.decode(int, value)
        elif key[0] == DEPARTED_UNRECORDED:
            self.departed_unrecorded[key[1]] = model.decode(int, value)
        elif key[0] == REMOVED:
            self.removed[key[1]] = model.decode(Revision, value)

    def record(self, index: int, item: commands.RecordUpstream) -> None:
        """Record a report, if it is newer than what is known."""
        reported = item.upstream
        name = reported.upstream_id
        if not self.is_newer(reported):
            return
        other = self.at(reported.address)
        if other is not None and other.upstream_id != name:
            self._delete(index, other)
        recorded = self.upstreams.get(name)
        if recorded is not None:
            self._by_address.pop(recorded.address, None)
        self._put(reported)
        self._store.put((UPSTREAM, name), index, model.encode(reported))
        self._discard(index, REMOVED, self.removed, name)

    def remove(self, index: int, item: commands.RemoveUpstream) -> None:
        """Remove an incarnation that has left or has been silent."""
        if item.left:
            self._remove_departed(index, item)
        else:
            self._remove_silent(index, item)

    def _remove_departed(
        self, index: int, item: commands.RemoveUpstream
    ) -> None:
        name, born_ms = item.upstream_id, item.born_ms
        self._keep_trace(index, DEPARTED, self.departed, name, born_ms)
        recorded = self.upstreams.get(name)
        if recorded is not None and recorded.born_ms <= born_ms:
            self._delete(index, recorded)
        removed = self.removed.get(name)
        if removed is not None and removed[0] <= born_ms:
            self._discard(index, REMOVED, self.removed, name)

    def _remove_silent(
        self, index: int, item: commands.RemoveUpstream
    ) -> None:
        recorded = self.upstreams.get(item.upstream_id)
        if recorded is None or recorded.born_ms > item.born_ms:
            return
        # A report may have been committed since the removal was decided on.
        if item.sequence is None or recorded.revision <= (
            item.born_ms,
            item.sequence,
        ):
            self._delete(index, recorded, sequence=item.sequence)

    def mark_departure(self, index: int, item: commands.MarkDeparture) -> None:
        """Mark the departure of an upstream of an unknown incarnation."""
        name = item.upstream_id
        self._keep_trace(
            index,
            DEPARTED_UNRECORDED,
            self.departed_unrecorded,
            name,
            item.before_ms,
        )
        # A heartbeat may have been committed since the departure arrived.
        recorded = self.upstreams.get(name)
        if recorded is not None and recorded.born_ms <= item.before_ms:
            self._delete(index, recorded)

    def forget_departure(
        self, index: int, item: commands.ForgetDeparture
    ) -> None:
        """Delete the mark of an upstream, unless a later one was set."""
        name = item.upstream_id
        if self.departed_unrecorded.get(name) == item.before_ms:
            self._discard(
                index, DEPARTED_UNRECORDED, self.departed_unrecorded, name
            )

    def forget_removed(self, index: int, item: commands.ForgetRemoved) -> None:
        """Delete the last revision of a removed upstream, if it is this."""
        name = item.upstream_id
        if self.removed.get(name) == (item.born_ms, item.sequence):
            self._discard(index, REMOVED, self.removed, name)

    def _put(self, upstream: model.Upstream) -> None:
        self.upstreams[upstream.upstream_id] = upstream
        self._by_address[upstream.address] = upstream.upstream_id

    def _delete(
        self,
        index: int,
        recorded: model.Upstream,
        *,
        sequence: int | None = None,
    ) -> None:
        """Delete an upstream; ``sequence`` is that of its last report.

        Without it, the report that is recorded counts as the last one.
        """
        name = recorded.upstream_id
        del self.upstreams[name]
        if self._by_address.get(recorded.address) == name:
            del self._by_address[recorded.address]
        self._store.put((UPSTREAM, name), index, None)
        if recorded.born_ms <= self.departed.get(name, -1):
            return
        last_sequence = max(recorded.sequence, sequence or 0)
        revision = (recorded.born_ms, last_sequence)
        self._keep_trace(index, REMOVED, self.removed, name, revision)

    def _keep_trace(
        self,
        index: int,
        kind: str,
        traces: dict[str, _Trace],
        upstream_id: str,
        value: _Trace,
    ) -> None:
        before = traces.get(upstream_id)
        if before is not None and value <= before:
            return
        traces.pop(upstream_id, None)
        traces[upstream_id] = value
        self._store.put((kind, upstream_id), index, model.encode(value))
        maximum = MAX_REMOVED if kind == REMOVED else MAX_DEPARTED
        if len(traces) > maximum:
            self._discard(index, kind, traces, next(iter(traces)))

    def _discard(
        self,
        index: int,
        kind: str,
        traces: dict[str, _Trace],
        upstream_id: str,
    ) -> None:
        if traces.pop(upstream_id, None) is not None:
            self._store.put((kind, upstream_id), index, None)
