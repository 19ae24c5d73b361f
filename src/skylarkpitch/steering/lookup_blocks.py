"""Find the place of a client's address by longest-prefix match.

A place is a failure domain's name. Blocks that lie within others are
flattened into disjoint ranges, so that one binary search over a sorted array
finds the longest prefix. A block costs 7 bytes, a range 6 for IPv4 (15 and
10 for the upper halves of IPv6 addresses).
"""

import array
import bisect
from collections.abc import Iterable
import dataclasses
import functools
import ipaddress
import json
import pathlib
import socket

from skylarkpitch import errors
from skylarkpitch import sentinels

__all__ = ['BlockTable', 'Found', 'load']

NO_PLACE = 0xFFFF
VARIANTS = 16
V4_BITS = 32
V6_BITS = 64


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Found:
    """Place of a client's block and the variant that is its own.

    ``place`` is None where the table says nothing.
    """

    place: str | None
    variant: int


class _Family:
    """Hold the blocks of one address family, ``bits`` wide."""

    def __init__(self, *, bits: int, code: str) -> None:
        self.bits = bits
        self._block_starts = array.array(code)
        self._block_lengths = array.array('B')
        self._block_places = array.array('H')
        self.starts = array.array(code, [0])
        self.places = array.array('H', [NO_PLACE])

    def __len__(self) -> int:
        return len(self._block_starts)

    def assign(self, start: int, length: int, place: int) -> None:
        """Add a block or change its place."""
        position = self._position(start, length)
        if self._is_at(position, start, length):
            self._block_places[position] = place
        else:
            self._block_starts.insert(position, start)
            self._block_lengths.insert(position, length)
            self._block_places.insert(position, place)
        self._flatten(start, length)

    def remove(self, start: int, length: int) -> bool:
        """Remove a block; tell whether it was there."""
        position = self._position(start, length)
        if not self._is_at(position, start, length):
            return False
        del self._block_starts[position]
        del self._block_lengths[position]
        del self._block_places[position]
        self._flatten(start, length)
        return True

    def fill(self, blocks: list[tuple[int, int, int]]) -> None:
        """Replace everything by ``(start, length, place)`` items."""
        ordered = sorted(blocks)
        code = self.starts.typecode
        self._block_starts = array.array(code, (b[0] for b in ordered))
        self._block_lengths = array.array('B', (b[1] for b in ordered))
        self._block_places = array.array('H', (b[2] for b in ordered))
        starts, places = self._ranges(0, 1 << self.bits, 0, NO_PLACE)
        self.starts = array.array(code, starts)
        self.places = array.array('H', places)

    def find(self, address: int) -> tuple[int, int]:
        """Return the place of an address and the start of its range."""
        position = bisect.bisect_right(self.starts, address) - 1
        return self.places[position], self.starts[position]

    def _position(self, start: int, length: int) -> int:
        position = bisect.bisect_left(self._block_starts, start)
        count = len(self._block_starts)
        while (
            position < count
            and self._block_starts[position] == start
            and self._block_lengths[position] < length
        ):
            position += 1
        return position

    def _is_at(self, position: int, start: int, length: int) -> bool:
        return (
            position < len(self._block_starts)
            and self._block_starts[position] == start
            and self._block_lengths[position] == length
        )

    def _flatten(self, start: int, length: int) -> None:
        """Compute the ranges within a block again."""
        end = start + (1 << (self.bits - length))
        first = self._position(start, length)
        outer = self._place_around(start, length)
        starts, places = self._ranges(start, end, first, outer)
        low = bisect.bisect_left(self.starts, start)
        high = bisect.bisect_left(self.starts, end)
        ends_inside = high == len(self.starts) or self.starts[high] != end
        if ends_inside and end < 1 << self.bits:
            starts.append(end)
            places.append(self.find(end)[0])
        self.starts[low:high] = array.array(self.starts.typecode, starts)
        self.places[low:high] = array.array('H', places)

    def _place_around(self, start: int, length: int) -> int:
        """Return the place of the longest block around another."""
        for shorter in range(length - 1, -1, -1):
            size = 1 << (self.bits - shorter)
            around = start - start % size
            position = self._position(around, shorter)
            if self._is_at(position, around, shorter):
                return self._block_places[position]
        return NO_PLACE

    def _ranges(
        self, start: int, end: int, position: int, outer: int
    ) -> tuple[list[int], list[int]]:
        """Return disjoint ranges from ``start`` on and their places."""
        starts, places = [start], [outer]
        open_blocks = [(end, outer)]
        count = len(self._block_starts)
        while position < count and self._block_starts[position] < end:
            block_start = self._block_starts[position]
            size = 1 << (self.bits - self._block_lengths[position])
            _close(open_blocks, block_start, starts, places)
            place = self._block_places[position]
            open_blocks.append((block_start + size, place))
            _begin(starts, places, block_start, place)
            position += 1
        _close(open_blocks, end - 1, starts, places)
        return starts, places


def _close(
    open_blocks: list[tuple[int, int]],
    address: int,
    starts: list[int],
    places: list[int],
) -> None:
    while len(open_blocks) > 1 and open_blocks[-1][0] <= address:
        ended, _ = open_blocks.pop()
        _begin(starts, places, ended, open_blocks[-1][1])


def _begin(
    starts: list[int], places: list[int], start: int, place: int
) -> None:
    if starts[-1] == start:
        places[-1] = place
    else:
        starts.append(start)
        places.append(place)


class BlockTable:
    """Map client blocks to places."""

    def __init__(self) -> None:
        self._names: list[str] = []
        self._numbers: dict[str, int] = {}
        self._v4 = _Family(bits=V4_BITS, code='I')
        self._v6 = _Family(bits=V6_BITS, code='Q')
        self.find = functools.lru_cache(maxsize=4096)(self._find)

    def __len__(self) -> int:
        return len(self._v4) + len(self._v6)

    def fill(self, blocks: Iterable[tuple[str, str]]) -> None:
        """Replace the table by pairs of CIDR block and place.

        Raises ``ValidationError`` for a block that is malformed.
        """
        sorted_out: dict[int, list[tuple[int, int, int]]] = {4: [], 6: []}
        for cidr, place in blocks:
            version, start, length = _parsed(cidr)
            item = (start, length, self._number(place))
            sorted_out[version].append(item)
        self._v4.fill(sorted_out[4])
        self._v6.fill(sorted_out[6])
        self.find.cache_clear()

    def assign(self, cidr: str, place: str) -> None:
        """Add a block or change its place."""
        version, start, length = _parsed(cidr)
        self._family(version).assign(start, length, self._number(place))
        self.find.cache_clear()

    def remove(self, cidr: str) -> bool:
        """Remove a block; tell whether it was there."""
        version, start, length = _parsed(cidr)
        self.find.cache_clear()
        return self._family(version).remove(start, length)

    def _find(self, client_ip: str) -> Found | sentinels.Absent:
        """Return the place of an address, or ``client_malformed``."""
        try:
            if ':' in client_ip:
                packed = socket.inet_pton(socket.AF_INET6, client_ip)
                family, address = self._v6, int.from_bytes(packed[:8], 'big')
            else:
                packed = socket.inet_pton(socket.AF_INET, client_ip)
                family, address = self._v4, int.from_bytes(packed, 'big')
        except OSError:
            return sentinels.Absent('client_malformed', client_ip[:60])
        number, start = family.find(address)
        if number == NO_PLACE:
            # A /24 (or /48) stands for the block that is not known.
            kept = 8 if family is self._v4 else 16
            return Found(place=None, variant=_variant(address >> kept))
        return Found(place=self._names[number], variant=_variant(start))

    def _family(self, version: int) -> _Family:
        return self._v4 if version == 4 else self._v6

    def _number(self, place: str) -> int:
        if place not in self._numbers:
            if len(self._names) >= NO_PLACE:
                raise errors.ValidationError(
                    f'more than {NO_PLACE} places; use fewer names'
                )
            self._numbers[place] = len(self._names)
            self._names.append(place)
        return self._numbers[place]


def load(path: pathlib.Path) -> BlockTable:
    """Return the table in a JSON file: an object of block to place.

    Raises ``SettingsError`` when it can't be read or holds a mistake.
    """
    table = BlockTable()
    try:
        document = json.loads(path.read_bytes())
        table.fill(document.items())
    except (OSError, ValueError, AttributeError) as error:
        raise errors.SettingsError(
            f'{path} holds no table of client blocks ({error}); write a JSON '
            'object such as {"192.0.2.0/24": "seoul-a"}'
        ) from error
    except errors.ValidationError as error:
        raise errors.SettingsError(f'{path}: {error}') from error
    return table


def _variant(block: int) -> int:
    """Return a variant that spreads neighbouring blocks evenly."""
    return (block * 0x9E3779B97F4A7C15 >> 40) % VARIANTS


def _parsed(cidr: str) -> tuple[int, int, int]:
    try:
        block = ipaddress.ip_network(cidr)
    except ValueError as error:
        raise errors.ValidationError(
            f'client block {cidr!r} is malformed ({error}); write it as '
            '192.0.2.0/24'
        ) from error
    start = int(block.network_address)
    if block.version == 4:
        return 4, start, block.prefixlen
    if block.prefixlen > V6_BITS:
        raise errors.ValidationError(
            f'client block {cidr!r} is longer than /{V6_BITS}; give the '
            f'/{V6_BITS} that holds it'
        )
    return 6, start >> V6_BITS, block.prefixlen
