"""Map a client's address to a failure domain by longest-prefix match.

Nested blocks are flattened into disjoint ranges, so that one binary search
over a sorted array finds the longest prefix. For IPv4 a block takes 7 bytes
and a range 6; for IPv6, of which only the upper 64 bits are used, they take
15 and 10 bytes.
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

__all__ = ['BlockTable', 'BlockMatch', 'load']

NO_DOMAIN = 0xFFFF
VARIANTS = 16
V4_BITS = 32
V6_BITS = 64


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class BlockMatch:
    """Failure domain of a client's block and its variant of the answers.

    ``failure_domain`` is None for an address that no block contains.
    """

    failure_domain: str | None
    variant: int


class _FamilyTable:
    """Blocks and ranges of one address family; addresses have ``bits`` bits.

    Failure domains are numbers here. ``code`` is the array type of addresses.
    """

    def __init__(self, *, bits: int, code: str) -> None:
        self.bits = bits
        self._block_starts = array.array(code)
        self._block_lengths = array.array('B')
        self._block_domains = array.array('H')
        self.starts = array.array(code, [0])
        self.domains = array.array('H', [NO_DOMAIN])

    def __len__(self) -> int:
        return len(self._block_starts)

    def assign(self, start: int, length: int, domain: int) -> None:
        """Add a block or change its domain."""
        position = self._position(start, length)
        if self._is_block_at(position, start, length):
            self._block_domains[position] = domain
        else:
            self._block_starts.insert(position, start)
            self._block_lengths.insert(position, length)
            self._block_domains.insert(position, domain)
        self._flatten(start, length)

    def remove(self, start: int, length: int) -> bool:
        """Remove a block; return whether the table had it."""
        position = self._position(start, length)
        if not self._is_block_at(position, start, length):
            return False
        del self._block_starts[position]
        del self._block_lengths[position]
        del self._block_domains[position]
        self._flatten(start, length)
        return True

    def fill(self, blocks: list[tuple[int, int, int]]) -> None:
        """Replace all blocks by ``(start, length, domain)`` items."""
        ordered = sorted(blocks)
        code = self.starts.typecode
        self._block_starts = array.array(code, (b[0] for b in ordered))
        self._block_lengths = array.array('B', (b[1] for b in ordered))
        self._block_domains = array.array('H', (b[2] for b in ordered))
        starts, domains = self._ranges(0, 1 << self.bits, 0, NO_DOMAIN)
        self.starts = array.array(code, starts)
        self.domains = array.array('H', domains)

    def find(self, address: int) -> tuple[int, int]:
        """Return the domain of an address and the start of its range."""
        position = bisect.bisect_right(self.starts, address) - 1
        return self.domains[position], self.starts[position]

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

    def _is_block_at(self, position: int, start: int, length: int) -> bool:
        return (
            position < len(self._block_starts)
            and self._block_starts[position] == start
            and self._block_lengths[position] == length
        )

    def _flatten(self, start: int, length: int) -> None:
        """Recompute the ranges within a block."""
        end = start + (1 << (self.bits - length))
        first = self._position(start, length)
        outer_domain = self._domain_of_enclosing_block(start, length)
        starts, domains = self._ranges(start, end, first, outer_domain)
        low = bisect.bisect_left(self.starts, start)
        high = bisect.bisect_left(self.starts, end)
        ends_inside = high == len(self.starts) or self.starts[high] != end
        if ends_inside and end < 1 << self.bits:
            starts.append(end)
            domains.append(self.find(end)[0])
        self.starts[low:high] = array.array(self.starts.typecode, starts)
        self.domains[low:high] = array.array('H', domains)

    def _domain_of_enclosing_block(self, start: int, length: int) -> int:
        """Return the domain of the smallest block that contains another."""
        for shorter in range(length - 1, -1, -1):
            size = 1 << (self.bits - shorter)
            enclosing_start = start - start % size
            position = self._position(enclosing_start, shorter)
            if self._is_block_at(position, enclosing_start, shorter):
                return self._block_domains[position]
        return NO_DOMAIN

    def _ranges(
        self, start: int, end: int, position: int, outer_domain: int
    ) -> tuple[list[int], list[int]]:
        """Return the starts of disjoint ranges and their domains.

        They cover the addresses from ``start`` to before ``end``; ``position``
        is that of the first block in them, ``outer_domain`` the domain outside
        of all blocks.
        """
        starts, domains = [start], [outer_domain]
        enclosing = [(end, outer_domain)]
        count = len(self._block_starts)
        while position < count and self._block_starts[position] < end:
            block_start = self._block_starts[position]
            size = 1 << (self.bits - self._block_lengths[position])
            _end_blocks(enclosing, block_start, starts, domains)
            domain = self._block_domains[position]
            enclosing.append((block_start + size, domain))
            _append_range(starts, domains, block_start, domain)
            position += 1
        _end_blocks(enclosing, end - 1, starts, domains)
        return starts, domains


def _end_blocks(
    enclosing: list[tuple[int, int]],
    address: int,
    starts: list[int],
    domains: list[int],
) -> None:
    while len(enclosing) > 1 and enclosing[-1][0] <= address:
        end, _ = enclosing.pop()
        _append_range(starts, domains, end, enclosing[-1][1])


def _append_range(
    starts: list[int], domains: list[int], start: int, domain: int
) -> None:
    if starts[-1] == start:
        domains[-1] = domain
    else:
        starts.append(start)
        domains.append(domain)


class BlockTable:
    """Table of client blocks and their failure domains.

    ``find`` returns the match of an address and caches the last results.
    """

    def __init__(self) -> None:
        self._domain_names: list[str] = []
        self._domain_numbers: dict[str, int] = {}
        self._v4 = _FamilyTable(bits=V4_BITS, code='I')
        self._v6 = _FamilyTable(bits=V6_BITS, code='Q')
        self.find = functools.lru_cache(maxsize=4096)(self._find)

    def __len__(self) -> int:
        return len(self._v4) + len(self._v6)

    def fill(self, blocks: Iterable[tuple[str, str]]) -> None:
        """Replace the table by pairs of CIDR block and failure domain.

        Raises ``ValidationError`` for a block that is malformed.
        """
        by_version: dict[int, list[tuple[int, int, int]]] = {4: [], 6: []}
        for cidr, failure_domain in blocks:
            version, start, length = _parse(cidr)
            item = (start, length, self._domain_number(failure_domain))
            by_version[version].append(item)
        self._v4.fill(by_version[4])
        self._v6.fill(by_version[6])
        self.find.cache_clear()

    def assign(self, cidr: str, failure_domain: str) -> None:
        """Add a block or change its domain."""
        version, start, length = _parse(cidr)
        self._family(version).assign(
            start, length, self._domain_number(failure_domain)
        )
        self.find.cache_clear()

    def remove(self, cidr: str) -> bool:
        """Remove a block; return whether the table had it."""
        version, start, length = _parse(cidr)
        self.find.cache_clear()
        return self._family(version).remove(start, length)

    def _find(self, client_ip: str) -> BlockMatch | sentinels.Absent:
        """Return the match of an address.

        Returns ``Absent`` with reason ``client_malformed`` for text that is
        not an IP address.
        """
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
        if number == NO_DOMAIN:
            # Addresses in no block are grouped by /24, or /48 for IPv6.
            shift = 8 if family is self._v4 else 16
            return BlockMatch(
                failure_domain=None, variant=_variant(address >> shift)
            )
        return BlockMatch(
            failure_domain=self._domain_names[number], variant=_variant(start)
        )

    def _family(self, version: int) -> _FamilyTable:
        return self._v4 if version == 4 else self._v6

    def _domain_number(self, failure_domain: str) -> int:
        if failure_domain not in self._domain_numbers:
            if len(self._domain_names) >= NO_DOMAIN:
                raise errors.ValidationError(
                    f'more than {NO_DOMAIN} failure domains; use fewer names'
                )
            self._domain_numbers[failure_domain] = len(self._domain_names)
            self._domain_names.append(failure_domain)
        return self._domain_numbers[failure_domain]


def load(path: pathlib.Path) -> BlockTable:
    """Read a table from a JSON object of blocks and failure domains.

    Raises ``SettingsError`` if the file can't be read or is invalid.
    """
    table = BlockTable()
    try:
        document = json.loads(path.read_bytes())
        table.fill(document.items())
    except (OSError, ValueError, AttributeError) as error:
        raise errors.SettingsError(
            f'{path} is not a table of client blocks ({error}); write a JSON '
            'object such as {"192.0.2.0/24": "seoul-a"}'
        ) from error
    except errors.ValidationError as error:
        raise errors.SettingsError(f'{path}: {error}') from error
    return table


def _variant(block: int) -> int:
    """Return a variant that spreads neighbouring blocks evenly."""
    return (block * 0x9E3779B97F4A7C15 >> 40) % VARIANTS


def _parse(cidr: str) -> tuple[int, int, int]:
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
            f'/{V6_BITS} that contains it'
        )
    return 6, start >> V6_BITS, block.prefixlen
