"""Keep a member's term, vote and entries in the data folder.

The journal is one file: a line with the format version, one with host and
incarnation, then frames, each of which holds one :class:`Batch` and is
synced before the next begins. :func:`open_journal` reads it at start and
tells the ways in which it can be damaged apart.
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

NAME = 'journal'
FORMAT_VERSION = 1
FORMAT_NAME = b'skylarkpitch-journal'
INCARNATION_BYTES = 8

_log = structlog.get_logger(__name__)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Base:
    """Entry that the journal's entries follow, and the snapshot needed."""

    index: int
    term: int
    snapshot_index: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Batch:
    """What one frame holds; a later batch replaces what it names.

    ``entries`` replace every entry from the first one's index on.
    """

    cluster: str | None = None
    founders: tuple[str, ...] = ()
    base: Base | None = None
    hard_state: states.HardState | None = None
    entries: tuple[messages.Entry, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Owner:
    """Whose journal it is."""

    host: str
    incarnation: str


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Batch)
_owner_decoder = msgspec.json.Decoder(Owner)


def new_incarnation() -> str:
    """Return an incarnation that no data folder has had before."""
    return secrets.token_hex(INCARNATION_BYTES)


class Journal:
    """The journal of one member, open for writing.

    Write no more after an error: what the operating system holds after a
    failed sync is unknown.
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
        """Return the identity that the journal belongs to."""
        return member_sets.identity_of(
            self._owner.host, self._owner.incarnation
        )

    def write(self, write: states.Write) -> None:
        """Make a write durable. Raises ``JournalError``."""
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
        self._folder.append(NAME, framed)
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
        """Replace the journal by one that builds on a saved snapshot.

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
        self._folder.replace(NAME, content)
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
    """Open the journal, or begin one in an empty folder.

    Returns the journal, what it holds, and the state in the snapshot it
    builds on. A torn tail, which nothing can depend on, is cut off. Raises
    the kinds of ``JournalError`` in :mod:`faults`.
    """
    snapshots = snapshot_files.Snapshots(folder=folder)
    content = folder.read(NAME)
    if content is None:
        _check_unused(folder, snapshots)
        owner = Owner(host=host, incarnation=new_incarnation())
        content = _encode_header(owner)
        folder.replace(NAME, content)
    owner, start = _read_header(folder, content, host)
    salt = owner.incarnation.encode()
    found = frames.scan(content, offset=start, salt=salt)
    _handle_damage(folder, found, len(content))
    recovered, state = _recover(found.payloads, snapshots)
    journal = Journal(
        folder=folder,
        snapshots=snapshots,
        owner=owner,
        size_bytes=found.end,
        cluster=recovered.cluster,
        founders=recovered.founders,
    )
    return journal, recovered, state


def _check_unused(
    folder: folders.Folder, snapshots: snapshot_files.Snapshots
) -> None:
    if snapshots.exist():
        raise faults.JournalMissingError(
            f'{folder.path / NAME} is missing beside its snapshots; empty '
            'the data folder and add this host again as a member'
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
    path = folder.path / NAME
    first, _, rest = content.partition(b'\n')
    described, newline, _ = rest.partition(b'\n')
    word, _, version = first.partition(b' ')
    if word != FORMAT_NAME or not version.isdigit():
        raise _corrupt(folder, 0)
    if int(version) > FORMAT_VERSION:
        raise faults.NewerFormatError(
            f'{path} has format {int(version)} and this release reads up to '
            f'{FORMAT_VERSION}; run the newer release on this host'
        )
    check, _, text = described.partition(b' ')
    if not newline or check != b'%08x' % zlib.crc32(text):
        raise _corrupt(folder, len(first) + 1)
    owner = _owner_decoder.decode(text)
    if owner.host != host:
        raise faults.OtherHostError(
            f'{path} belongs to host {owner.host!r}, not {host!r}; give each '
            'host a data folder of its own and never copy one'
        )
    return owner, len(first) + len(described) + 2


def _handle_damage(
    folder: folders.Folder, found: frames.Scan, size_bytes: int
) -> None:
    if found.damage is frames.Damage.CORRUPT:
        raise _corrupt(folder, found.end)
    if found.damage is frames.Damage.TORN:
        _log.warning(
            'journal_tail_cut',
            path=str(folder.path / NAME),
            at_bytes=found.end,
            dropped_bytes=size_bytes - found.end,
        )
        folder.truncate(NAME, found.end)


def _corrupt(
    folder: folders.Folder, at_bytes: int
) -> faults.JournalCorruptError:
    return faults.JournalCorruptError(
        f'{folder.path / NAME} has changed at byte {at_bytes} since it was '
        'synced; check the disk, empty the data folder and add this host '
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
