"""State as small parts, each with the version that last changed it.

A part is one entry of a section of the base or of an overlay, one key, one
drain or one leaving host. The changes since a version are all parts with a
higher version. Therefore several changes to one part are sent as its last
value, and no log of changes is stored. A removed part leaves a tombstone.
Above ``MAX_TOMBSTONES`` the oldest tombstones are deleted; a reader whose
version is below ``floor_version`` then needs the whole state.
"""

from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Mapping
import dataclasses
import hashlib
import itertools
from typing import Any

from skylarkpitch.config import documents
from skylarkpitch import errors

__all__ = ['PartKey', 'PartStore', 'Row', 'scope_of', 'split']

MAX_TOMBSTONES = 10_000
DIGEST_BYTES = 8
COMMON = ''
OVERLAY = 'overlay'

PartKey = tuple[str, ...]
Row = tuple[PartKey, int, bytes | None]


@dataclasses.dataclass(frozen=True, slots=True)
class _Part:
    """Value of a part, None for a tombstone, with version and digest."""

    version: int
    value: bytes | None
    digest: int


def split(document: dict[str, Any], prefix: PartKey) -> dict[PartKey, bytes]:
    """Return the parts of a document that consists of sections.

    A section that is a non-empty object is split into one part per entry;
    any other section is one part. The prefix itself is a part too, so that
    an empty document differs from a missing one.
    """
    document_parts = {prefix: b'{}'}
    for section, value in document.items():
        if not isinstance(value, dict) or not value:
            document_parts[*prefix, section] = documents.canonical(value)
            continue
        for name, entry in value.items():
            document_parts[*prefix, section, name] = documents.canonical(entry)
    return document_parts


def scope_of(key: PartKey) -> str:
    """Return the site whose hosts need a part; ``COMMON`` means all sites."""
    return key[1] if key[0] == OVERLAY else COMMON


def _digest(key: PartKey, version: int, value: bytes | None) -> int:
    if value is None:
        return 0
    hashed = hashlib.blake2b(digest_size=DIGEST_BYTES)
    hashed.update(repr((key, version)).encode())
    hashed.update(value)
    return int.from_bytes(hashed.digest(), 'big')


class PartStore:
    """Parts in ascending order of their versions.

    ``floor_version`` is the version of the newest deleted tombstone.
    """

    def __init__(self) -> None:
        self.version = 0
        self.floor_version = 0
        self._parts: dict[PartKey, _Part] = {}
        self._digests: dict[str, int] = {}
        self._tombstones = 0

    def __len__(self) -> int:
        return len(self._parts) - self._tombstones

    def __contains__(self, key: PartKey) -> bool:
        return key in self._parts

    def get(self, key: PartKey) -> bytes | None:
        """Return the value of a part; None if it is missing or removed."""
        part = self._parts.get(key)
        return None if part is None else part.value

    def live(self) -> Iterator[tuple[PartKey, bytes]]:
        """Return the parts that are not removed, by ascending version."""
        return (
            (key, part.value)
            for key, part in self._parts.items()
            if part.value is not None
        )

    def with_prefix(self, prefix: PartKey) -> dict[PartKey, bytes]:
        """Return the parts whose key starts with ``prefix``; no tombstones."""
        size = len(prefix)
        return {k: v for k, v in self.live() if k[:size] == prefix}

    def put(self, key: PartKey, version: int, value: bytes | None) -> None:
        """Set a part at a version; a value of None removes it.

        Raises ``InvariantError`` if the part has a higher version already.
        """
        previous = self._parts.pop(key, None)
        if previous is not None and previous.version > version:
            raise errors.InvariantError(
                f'part {key} of version {previous.version} would go back to '
                f'{version}; report this as a fault of the program'
            )
        part = _Part(version, value, _digest(key, version, value))
        self._parts[key] = part
        scope = scope_of(key)
        old_digest = 0 if previous is None else previous.digest
        self._digests[scope] = (
            self._digests.get(scope, 0) ^ old_digest ^ part.digest
        )
        was_tombstone = previous is not None and previous.value is None
        self._tombstones += int(value is None) - int(was_tombstone)

    def advance(self, version: int) -> None:
        """Raise the version of the store and limit its tombstones.

        Raises ``InvariantError`` if ``version`` is lower than the current.
        """
        if version < self.version:
            raise errors.InvariantError(
                f'state of version {self.version} would go back to {version};'
                ' report this as a fault of the program'
            )
        self.version = version
        if self._tombstones > MAX_TOMBSTONES:
            self._prune()

    def digest(self, sites: Iterable[str]) -> int:
        """Return the digest of the common parts and those of ``sites``.

        Tombstones do not contribute, so that deleting them does not change
        the digest.
        """
        digest = self._digests.get(COMMON, 0)
        for site in sites:
            digest ^= self._digests.get(site, 0)
        return digest

    def rows(self) -> tuple[Row, ...]:
        """Return every part, tombstones included, by ascending version."""
        return tuple((k, p.version, p.value) for k, p in self._parts.items())

    def rows_since(
        self, version: int, sites: Mapping[str, int]
    ) -> tuple[Row, ...]:
        """Return the parts that a reader lacks, by ascending version.

        ``version`` is the reader's version of the common parts. ``sites``
        maps each site to the reader's version of it, below 0 if the reader
        has none. Tombstones are left out where the reader's version is 0 or
        below.
        """
        version_by_scope = {COMMON: version, **sites}
        lowest_version = min(version_by_scope.values())
        rows = []
        for key, part in reversed(self._parts.items()):
            if part.version <= lowest_version:
                break
            reader_version = version_by_scope.get(scope_of(key))
            if reader_version is None or part.version <= reader_version:
                continue
            if reader_version > 0 or part.value is not None:
                rows.append((key, part.version, part.value))
        return tuple(reversed(rows))

    def merge(self, rows: Iterable[Row]) -> None:
        """Put rows and restore the order of versions.

        Rows may be older than stored parts of other sites.
        """
        newest = next(reversed(self._parts.values()), None)
        newest_version = 0 if newest is None else newest.version
        in_order = True
        for key, version, value in rows:
            in_order &= version >= newest_version
            self.put(key, version, value)
        if not in_order:
            ordered = sorted(
                self._parts.items(), key=lambda item: item[1].version
            )
            self._parts = dict(ordered)

    def _prune(self) -> None:
        tombstones = [k for k, p in self._parts.items() if p.value is None]
        surplus = self._tombstones - MAX_TOMBSTONES // 2
        for key in itertools.islice(tombstones, surplus):
            self.floor_version = self._parts.pop(key).version
            self._tombstones -= 1
