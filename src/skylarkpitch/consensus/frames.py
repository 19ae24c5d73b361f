"""Frame the records of a journal with checksums.

A frame is written and synced as one before the next begins, so only the last
one of a file can be incomplete after a crash. Checksums cover the journal's
incarnation and the frame's position: bytes of another journal, or of the
same one elsewhere, are no frame. Marker and trailer have no zero byte, so a
sector of a frame is all zeros only when the payload has a run of them.
"""

import dataclasses
import enum
import struct
import zlib

__all__ = ['Damage', 'Scan', 'frame', 'scan']

MARKER = 0x534B5946
HEADER = struct.Struct('>IIII')
TRAILER = b'\xff'
SECTOR_BYTES = 512


class Damage(enum.StrEnum):
    """What is wrong behind the last whole frame."""

    NONE = 'none'
    TORN = 'torn'
    CORRUPT = 'corrupt'


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Scan:
    """Payloads of the whole frames, where they end, and what follows."""

    payloads: tuple[bytes, ...]
    end: int
    damage: Damage


def frame(payload: bytes, *, offset: int, salt: bytes) -> bytes:
    """Return a payload framed for a position of a file."""
    seed = _seed(offset, salt)
    front = struct.pack(
        '>III', MARKER, len(payload), zlib.crc32(payload, seed)
    )
    check = struct.pack('>I', zlib.crc32(front, seed))
    return front + check + payload + TRAILER


def scan(data: bytes, *, offset: int, salt: bytes) -> Scan:
    """Read the frames from a position on.

    What follows the last whole frame is torn when a crash can have left it:
    it ends early, or has sectors that were never written, which read as
    zeros. Anything else was synced once and is corrupt.
    """
    payloads = []
    while offset < len(data):
        payload = _payload_at(data, offset, salt)
        if payload is None:
            damage = _damage_at(data, offset, salt)
            return Scan(payloads=tuple(payloads), end=offset, damage=damage)
        payloads.append(payload)
        offset += HEADER.size + len(payload) + len(TRAILER)
    return Scan(payloads=tuple(payloads), end=offset, damage=Damage.NONE)


def _seed(offset: int, salt: bytes) -> int:
    return zlib.crc32(offset.to_bytes(8, 'big'), zlib.crc32(salt))


def _length_at(data: bytes, offset: int, salt: bytes) -> int | None:
    if len(data) < offset + HEADER.size:
        return None
    marker, length, _, check = HEADER.unpack_from(data, offset)
    front = data[offset : offset + HEADER.size - 4]
    whole = zlib.crc32(front, _seed(offset, salt)) == check
    return length if whole and marker == MARKER else None


def _payload_at(data: bytes, offset: int, salt: bytes) -> bytes | None:
    length = _length_at(data, offset, salt)
    if length is None:
        return None
    start = offset + HEADER.size
    payload = data[start : start + length]
    trailer = data[start + length : start + length + len(TRAILER)]
    checksum = HEADER.unpack_from(data, offset)[2]
    if trailer != TRAILER:
        return None
    if zlib.crc32(payload, _seed(offset, salt)) != checksum:
        return None
    return payload


def _damage_at(data: bytes, offset: int, salt: bytes) -> Damage:
    length = _length_at(data, offset, salt)
    if length is None:
        return _damage_of_header(data, offset, salt)
    end = offset + HEADER.size + length + len(TRAILER)
    if len(data) < end:
        return Damage.TORN
    if len(data) > end:
        return Damage.CORRUPT
    unwritten = _has_unwritten_sector(data, offset, end)
    return Damage.TORN if unwritten else Damage.CORRUPT


def _damage_of_header(data: bytes, offset: int, salt: bytes) -> Damage:
    if _has_later_frame(data, offset, salt):
        return Damage.CORRUPT
    if len(data) < offset + HEADER.size:
        return Damage.TORN
    unwritten = _has_unwritten_sector(data, offset, len(data))
    return Damage.TORN if unwritten else Damage.CORRUPT


def _has_later_frame(data: bytes, offset: int, salt: bytes) -> bool:
    marker = MARKER.to_bytes(4, 'big')
    found = data.find(marker, offset + 1)
    while found >= 0:
        if _payload_at(data, found, salt) is not None:
            return True
        found = data.find(marker, found + 1)
    return False


def _has_unwritten_sector(data: bytes, start: int, end: int) -> bool:
    first = start
    while first < end:
        stop = min(end, (first // SECTOR_BYTES + 1) * SECTOR_BYTES)
        if not any(data[first:stop]):
            return True
        first = stop
    return False
