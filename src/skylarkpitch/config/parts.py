"""Keep the state as small parts, each with the version that changed it.

A part is one entry of a section of the base or of an overlay, one key, one
drain or one leaving host. Since every part knows its version, the changes
since any version are the parts above it: missed changes to one part fold
into its last value, and no log of deltas is kept. Removed parts leave a
tombstone; above ``MAX_TOMBSTONES`` the oldest go, and a reader from before
them needs the whole state.
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
    version: int
    value: bytes | None
    digest: int


def split(document: dict[str, Any], prefix: PartKey) -> dict[PartKey, bytes]:
    """Return the parts of a document of sections.

    A section that is an object with entries becomes one part an entry, any
    other one part. The prefix itself is a part too, so that an empty
    document differs from none.
    """
    found = {prefix: b'{}'}
    for section, value in document.items():
        if not isinstance(value, dict) or not value:
            found[*prefix, section] = documents.canonical(value)
            continue
        for name, entry in value.items():
            found[*prefix, section, name] = documents.canonical(entry)
    return found


def scope_of(key: PartKey) -> str:
    """Return the site whose hosts need a part, or ``COMMON``."""
    return key[1] if key[0] == OVERLAY else COMMON


def _digest(key: PartKey, version: int, value: bytes | None) -> int:
    if value is None:
        return 0
    hashed = hashlib.blake2b(digest_size=DIGEST_BYTES)
    hashed.update(repr((key, version)).encode())
    hashed.update(value)
    return int.from_bytes(hashed.digest(), 'big')


class PartStore:
    """Hold parts in the order of their versions."""

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
        """Return the value of a part, or None."""
        part = self._parts.get(key)
        return None if part is None else part.value

    def live(self) -> Iterator[tuple[PartKey, bytes]]:
        """Return the parts that are there, by ascending version."""
        return (
            (key, part.value)
            for key, part in self._parts.items()
            if part.value is not None
        )

    def with_prefix(self, prefix: PartKey) -> dict[PartKey, bytes]:
        """Return the parts whose key starts with ``prefix``."""
        size = len(prefix)
        return {k: v for k, v in self.live() if k[:size] == prefix}

    def put(self, key: PartKey, version: int, value: bytes | None) -> None:
        """Set or remove a part at a version.

        Raises ``InvariantError`` when that would bring back an older one.
        """
        before = self._parts.pop(key, None)
        if before is not None and before.version > version:
            raise errors.InvariantError(
                f'part {key} of version {before.version} would go back to '
                f'{version}; report this as a fault of the program'
            )
        part = _Part(version, value, _digest(key, version, value))
        self._parts[key] = part
        scope = scope_of(key)
        gone = 0 if before is None else before.digest
        self._digests[scope] = self._digests.get(scope, 0) ^ gone ^ part.digest
        was_tombstone = before is not None and before.value is None
        self._tombstones += int(value is None) - int(was_tombstone)

    def advance(self, version: int) -> None:
        """Raise the version of the whole store, and bound its tombstones.

        Raises ``InvariantError`` on a lower version.
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
        """Return the digest of the common parts and those of ``sites``."""
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
        """Return what a reader lacks, by ascending version.

        ``version`` is what it holds of the common parts, ``sites`` what it
        holds of each site, which is below 0 for nothing.
        """
        since = {COMMON: version, **sites}
        lowest = min(since.values())
        found = []
        for key, part in reversed(self._parts.items()):
            if part.version <= lowest:
                break
            held = since.get(scope_of(key))
            if held is None or part.version <= held:
                continue
            if held > 0 or part.value is not None:
                found.append((key, part.version, part.value))
        return tuple(reversed(found))

    def merge(self, rows: Iterable[Row]) -> None:
        """Put rows, some of which may be older than parts of other sites."""
        newest = next(reversed(self._parts.values()), None)
        least = 0 if newest is None else newest.version
        in_order = True
        for key, version, value in rows:
            in_order &= version >= least
            self.put(key, version, value)
        if not in_order:
            ordered = sorted(
                self._parts.items(), key=lambda item: item[1].version
            )
            self._parts = dict(ordered)

    def _prune(self) -> None:
        removed = [k for k, p in self._parts.items() if p.value is None]
        for key in itertools.islice(removed, MAX_TOMBSTONES // 2):
            self.floor_version = self._parts.pop(key).version
            self._tombstones -= 1
