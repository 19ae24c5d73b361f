"""Store a member's term, vote and entries durably in the data folder.

The journal is one file: a line with the format version, a line with host
and incarnation, then frames. Each frame contains one :class:`Batch` and is
synced before the next one is written. :func:`open_journal` reads the file
at start and raises a separate error for each kind of damage.
"""

from collections.abc import Callable
import dataclasses
import secrets
import zlib

import msgspec
import structlog

from skylarkpitch.consensus import core
from skylarkpitch.consensus import faults
from skylarkpitch.consensus import folder as folders
from skylarkpitch.consensus import frames
from skylarkpitch.consensus import members as member_sets
from skylarkpitch.consensus import snapshots as snapshot_files
from skylarkpitch.consensus import state as states
from skylarkpitch.messages import consensus as messages

__all__ = ['Journal', 'new_incarnation', 'open_journal']

FILE_NAME = 'journal'
FORMAT_VERSION = 1
FORMAT_NAME = b'skylarkpitch-journal'
INCARNATION_BYTES = 8

_log = structlog.get_logger(__name__)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Base:
    """Position of the entry before the journal's first entry.

    ``snapshot_index`` is the last entry of the snapshot that the journal
    requires, or 0 without one.
    """

    index: int
    term: int
    snapshot_index: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Batch:
    """Content of one frame; each field that is set replaces earlier values.

    ``entries`` replace every earlier entry from the index of the first on.
    """

    cluster: str | None = None
    founders: tuple[str, ...] = ()
    base: Base | None = None
    hard_state: states.HardState | None = None
    entries: tuple[messages.Entry, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Owner:
    """Host and incarnation that the journal belongs to."""

    host: str
    incarnation: str


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Batch)
_owner_decoder = msgspec.json.Decoder(Owner)


def new_incarnation() -> str:
    """Return a new random incarnation for a data folder."""
    return secrets.token_hex(INCARNATION_BYTES)


class Journal:
    """The journal of one member, open for writing.

    After an error the caller must not write again: which data reached the
    disk after a failed sync is unknown.
    """

    def __init__(
        self,
        *,
        folder: folders.Folder,
        snapshots: snapshot_files.Snapshots,
        owner: Owner,
        size_bytes: int,
        cluster: str = '',
        founders: tuple[str, ...] = (),
    ) -> None:
        self._folder = folder
        self.snapshots = snapshots
        self._owner = owner
        self._salt = owner.incarnation.encode()
        self._cluster = cluster
        self._founders = founders
        self.size_bytes = size_bytes
        self.base_bytes = 0
        self.syncs = 0

    @property
    def identity(self) -> str:
        """Return the identity of the member that owns the journal."""
        return member_sets.identity_of(
            self._owner.host, self._owner.incarnation
        )

    def write(self, write: states.Write) -> None:
        """Make a write durable.

        Raises ``JournalError``.
        """
        if write.cluster is not None:
            self._cluster = write.cluster
            self._founders = write.founders
        if write.snapshot is not None:
            self._write_snapshot(write)
            return
        batch = Batch(
            cluster=write.cluster,
            founders=write.founders,
            hard_state=write.hard_state,
            entries=write.entries,
        )
        framed = self._frame(batch, self.size_bytes)
        self._folder.append(FILE_NAME, framed)
        self.size_bytes += len(framed)
        self.syncs += 1

    def _write_snapshot(self, write: states.Write) -> None:
        info = write.snapshot
        self.snapshots.save(info, write.snapshot_data)
        self.rebase(
            states.Rebase(
                base_index=info.index,
                base_term=info.term,
                snapshot_index=info.index,
                hard_state=write.hard_state,
                entries=write.entries,
            )
        )

    def rebase(self, rebase: states.Rebase) -> None:
        """Replace the journal by one that requires a saved snapshot.

        Raises ``JournalError``.
        """
        batch = Batch(
            cluster=self._cluster,
            founders=self._founders,
            base=Base(
                index=rebase.base_index,
                term=rebase.base_term,
                snapshot_index=rebase.snapshot_index,
            ),
            hard_state=rebase.hard_state,
            entries=rebase.entries,
        )
        content = _encode_header(self._owner)
        content += self._frame(batch, len(content))
        self._folder.replace(FILE_NAME, content)
        self.snapshots.remove_others(rebase.snapshot_index)
        self.size_bytes = len(content)
        self.base_bytes = len(content)
        self.syncs += 1

    def _frame(self, batch: Batch, offset: int) -> bytes:
        payload = _encoder.encode(batch)
        return frames.frame(payload, offset=offset, salt=self._salt)


def open_journal(
    *,
    folder: folders.Folder,
    host: str,
    new_incarnation: Callable[[], str] = new_incarnation,
) -> tuple[Journal, core.Recovered, bytes | None]:
    """Open the journal, or create one in an empty folder.

    Returns the journal, the recovered state, and the data of the snapshot
    that the journal requires, if any. A torn tail is cut off; it was never
    synced, so no message depends on it. Raises the subclasses of
    ``JournalError`` in :mod:`faults`.
    """
    snapshots = snapshot_files.Snapshots(folder=folder)
    content = folder.read(FILE_NAME)
    if content is None:
        _check_unused(folder, snapshots)
        owner = Owner(host=host, incarnation=new_incarnation())
        content = _encode_header(owner)
        folder.replace(FILE_NAME, content)
    owner, start = _read_header(folder, content, host)
    salt = owner.incarnation.encode()
    scan = frames.scan(content, offset=start, salt=salt)
    _handle_damage(folder, scan, len(content))
    recovered, state = _recover(scan.payloads, snapshots)
    journal = Journal(
        folder=folder,
        snapshots=snapshots,
        owner=owner,
        size_bytes=scan.end,
        cluster=recovered.cluster,
        founders=recovered.founders,
    )
    return journal, recovered, state


def _check_unused(
    folder: folders.Folder, snapshots: snapshot_files.Snapshots
) -> None:
    if snapshots.exist():
        raise faults.JournalMissingError(
            f'{folder.path / FILE_NAME} is missing but snapshots exist; '
            'empty the data folder and add this host again as a member'
        )


def _encode_header(owner: Owner) -> bytes:
    text = msgspec.json.encode(owner)
    return b'%s %d\n%08x %s\n' % (
        FORMAT_NAME,
        FORMAT_VERSION,
        zlib.crc32(text),
        text,
    )


def _read_header(
    folder: folders.Folder, content: bytes, host: str
) -> tuple[Owner, int]:
    path = folder.path / FILE_NAME
    format_line, _, rest = content.partition(b'\n')
    owner_line, newline, _ = rest.partition(b'\n')
    name, _, version = format_line.partition(b' ')
    if name != FORMAT_NAME or not version.isdigit():
        raise _corrupt(folder, 0)
    if int(version) > FORMAT_VERSION:
        raise faults.NewerFormatError(
            f'{path} has format {int(version)} and this release reads up to '
            f'{FORMAT_VERSION}; run the newer release on this host'
        )
    check, _, text = owner_line.partition(b' ')
    if not newline or check != b'%08x' % zlib.crc32(text):
        raise _corrupt(folder, len(format_line) + 1)
    owner = _owner_decoder.decode(text)
    if owner.host != host:
        raise faults.OtherHostError(
            f'{path} belongs to host {owner.host!r}, not {host!r}; give each '
            'host a data folder of its own and never copy one'
        )
    return owner, len(format_line) + len(owner_line) + 2


def _handle_damage(
    folder: folders.Folder, scan: frames.Scan, size_bytes: int
) -> None:
    if scan.damage is frames.Damage.CORRUPT:
        raise _corrupt(folder, scan.end)
    if scan.damage is frames.Damage.TORN:
        _log.warning(
            'journal_tail_cut',
            path=str(folder.path / FILE_NAME),
            at_bytes=scan.end,
            dropped_bytes=size_bytes - scan.end,
        )
        folder.truncate(FILE_NAME, scan.end)


def _corrupt(
    folder: folders.Folder, at_bytes: int
) -> faults.JournalCorruptError:
    return faults.JournalCorruptError(
        f'{folder.path / FILE_NAME} has changed at byte {at_bytes} since it '
        'was synced; check the disk, empty the data folder and add this host '
        'again as a member'
    )


def _recover(
    payloads: tuple[bytes, ...], snapshots: snapshot_files.Snapshots
) -> tuple[core.Recovered, bytes | None]:
    cluster = ''
    founders: tuple[str, ...] = ()
    base = Base(index=0, term=0, snapshot_index=0)
    hard_state = states.HardState()
    entries: list[messages.Entry] = []
    for payload in payloads:
        batch = _decoder.decode(payload)
        if batch.cluster is not None:
            cluster, founders = batch.cluster, batch.founders
        base = batch.base or base
        hard_state = batch.hard_state or hard_state
        if batch.entries:
            del entries[batch.entries[0].index - base.index - 1 :]
            entries.extend(batch.entries)
    info, state = None, None
    if base.snapshot_index:
        info, state = snapshots.load(base.snapshot_index)
        snapshots.remove_others(base.snapshot_index)
    recovered = core.Recovered(
        cluster=cluster,
        founders=founders,
        hard_state=hard_state,
        snapshot=info,
        base_index=base.index,
        base_term=base.term,
        entries=tuple(entries),
    )
    return recovered, state
