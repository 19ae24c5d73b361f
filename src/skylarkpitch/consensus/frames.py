"""Encode and decode the frames of a journal, with checksums.

Each frame is written and synced as a whole before the next one, so only the
last frame of a file can be incomplete after a crash. The checksums include
the journal's incarnation and the frame's position, so bytes of another
journal or of another position are not accepted as a frame. Marker and
trailer contain no zero byte, so a sector of a frame is all zeros only where
the payload has zeros.
"""

import dataclasses
import enum
import struct
import zlib

__all__ = ['Damage', 'Scan', 'frame', 'scan']

MARKER = 0x534B5946
# Marker, payload length, payload checksum, and checksum of these fields.
HEADER = struct.Struct('>IIII')
TRAILER = b'\xff'
# Smallest unit that a disk writes.
SECTOR_BYTES = 512


class Damage(enum.StrEnum):
    """Kind of damage after the last valid frame."""

    NONE = 'none'
    TORN = 'torn'
    CORRUPT = 'corrupt'


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Scan:
    """Result of :func:`scan`.

    ``end`` is the offset in bytes after the last valid frame, and
    ``damage`` the kind of damage at that offset.
    """

    payloads: tuple[bytes, ...]
    end: int
    damage: Damage


def frame(payload: bytes, *, offset: int, salt: bytes) -> bytes:
    """Return the frame of a payload for an offset of a file."""
    seed = _seed(offset, salt)
    header = struct.pack(
        '>III', MARKER, len(payload), zlib.crc32(payload, seed)
    )
    check = struct.pack('>I', zlib.crc32(header, seed))
    return header + check + payload + TRAILER


def scan(data: bytes, *, offset: int, salt: bytes) -> Scan:
    """Decode the frames from an offset to the end of the data.

    Data after the last valid frame is torn when a crash during the write
    can explain it: it is too short, or has sectors that were not written,
    which read as zeros. Any other invalid data was changed after its sync
    and is corrupt.
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
    header = data[offset : offset + HEADER.size - 4]
    is_valid = zlib.crc32(header, _seed(offset, salt)) == check
    return length if is_valid and marker == MARKER else None


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
    position = data.find(marker, offset + 1)
    while position >= 0:
        if _payload_at(data, position, salt) is not None:
            return True
        position = data.find(marker, position + 1)
    return False


def _has_unwritten_sector(data: bytes, start: int, end: int) -> bool:
    position = start
    while position < end:
        stop = min(end, (position // SECTOR_BYTES + 1) * SECTOR_BYTES)
        if not any(data[position:stop]):
            return True
        position = stop
    return False
