"""Store snapshots of the state machine in the data folder.

A file is a line with the format version, one line of JSON that describes
the snapshot, and the encoded state. The journal refers to the one snapshot
that it requires; any other file is left over from a crash.
"""

import zlib

import msgspec

from skylarkpitch.consensus import faults
from skylarkpitch.consensus import folder as folders
from skylarkpitch.messages import consensus as messages

__all__ = ['CHUNK_BYTES', 'Snapshots', 'describe', 'file_name_of']

PREFIX = 'snapshot-'
CHUNK_BYTES = 1024 * 1024
FORMAT_VERSION = 1
FORMAT_NAME = b'skylarkpitch-snapshot'

_decoder = msgspec.json.Decoder(messages.SnapshotInfo)


def file_name_of(index: int) -> str:
    """Return the file name of the snapshot up to an index."""
    return f'{PREFIX}{index:020d}'


def describe(
    *,
    index: int,
    term: int,
    members: messages.Members,
    members_index: int,
    data: bytes,
) -> messages.SnapshotInfo:
    """Return the description of a snapshot with an encoded state."""
    return messages.SnapshotInfo(
        index=index,
        term=term,
        members=members,
        members_index=members_index,
        size_bytes=len(data),
        checksum=zlib.crc32(data),
    )


class Snapshots:
    """The snapshots of one data folder."""

    def __init__(self, *, folder: folders.Folder) -> None:
        self._folder = folder
        self._data_offsets: dict[int, int] = {}

    def exist(self) -> bool:
        """Return whether the folder has any snapshot."""
        return any(name.startswith(PREFIX) for name in self._folder.names())

    def save(self, info: messages.SnapshotInfo, data: bytes) -> None:
        """Save a snapshot; it is durable on return."""
        header = _encode_header(info)
        self._data_offsets[info.index] = len(header)
        self._folder.replace(file_name_of(info.index), header + data)

    def load(self, index: int) -> tuple[messages.SnapshotInfo, bytes]:
        """Return the description and the encoded state of a snapshot.

        Raises ``SnapshotMissingError``, ``SnapshotCorruptError`` or
        ``NewerFormatError``.
        """
        name = file_name_of(index)
        content = self._folder.read(name)
        if content is None:
            raise faults.SnapshotMissingError(
                f'{self._folder.path / name} is missing and the journal '
                'requires it; empty the data folder and add this host '
                'again as a member'
            )
        self._check_format(content, name)
        info, data = self._parse(content, name)
        self._data_offsets[index] = len(content) - len(data)
        return info, data

    def read_part(self, index: int, offset: int, size: int) -> bytes:
        """Return up to ``size`` bytes of a state from an offset.

        Returns empty bytes when the snapshot no longer exists.
        """
        data_offset = self._data_offsets.get(index)
        if data_offset is None:
            return b''
        name = file_name_of(index)
        return self._folder.read_part(name, data_offset + offset, size) or b''

    def remove_others(self, index: int) -> None:
        """Remove every snapshot except one."""
        for name in self._folder.names():
            if name.startswith(PREFIX) and name != file_name_of(index):
                self._folder.remove(name)

    def _check_format(self, content: bytes, name: str) -> None:
        line = content.partition(b'\n')[0]
        format_name, _, version = line.partition(b' ')
        if format_name != FORMAT_NAME or not version.isdigit():
            raise self._corrupt(name)
        if int(version) > FORMAT_VERSION:
            raise faults.NewerFormatError(
                f'{self._folder.path / name} has format {int(version)} and '
                f'this release reads up to {FORMAT_VERSION}; run the newer '
                'release on this host'
            )

    def _parse(
        self, content: bytes, name: str
    ) -> tuple[messages.SnapshotInfo, bytes]:
        _, info_line, data = content.split(b'\n', 2)
        check, _, text = info_line.partition(b' ')
        if check != b'%08x' % zlib.crc32(text):
            raise self._corrupt(name)
        info = _decoder.decode(text)
        if len(data) != info.size_bytes or zlib.crc32(data) != info.checksum:
            raise self._corrupt(name)
        return info, data

    def _corrupt(self, name: str) -> faults.SnapshotCorruptError:
        return faults.SnapshotCorruptError(
            f'{self._folder.path / name} has changed since it was written; '
            'check the disk, empty the data folder and add this host again '
            'as a member'
        )


def _encode_header(info: messages.SnapshotInfo) -> bytes:
    text = msgspec.json.encode(info)
    return b'%s %d\n%08x %s\n' % (
        FORMAT_NAME,
        FORMAT_VERSION,
        zlib.crc32(text),
        text,
    )
