"""Rank hosts for a key by rendezvous hashing.

Highest random weight hashing, by Thaler and Ravishankar, "Using name-based
mappings to increase hit rates" (IEEE/ACM Transactions on Networking, 1998):
all processes compute the same ranking without communicating, and adding or
removing a host moves only the keys for which that host ranks first.
"""

from collections.abc import Iterable
from collections.abc import Mapping
import hashlib
import heapq
import math

__all__ = [
    'Ranked',
    'best',
    'first',
    'first_by_weight',
    'hash_fraction',
    'rank',
    'ranked',
]

# A name with its hash for a key; the lowest is the most preferred.
Ranked = tuple[bytes, str]


def _hash(key: str, name: str) -> bytes:
    return hashlib.blake2b(
        f'{key}\0{name}'.encode(), digest_size=8, usedforsecurity=False
    ).digest()


def rank(key: str, names: Iterable[str]) -> list[str]:
    """Return the names for ``key``, most preferred first."""
    return sorted(names, key=lambda name: (_hash(key, name), name))


def ranked(key: str, name: str) -> Ranked:
    """Return a name with its hash for ``key``."""
    return _hash(key, name), name


def best(key: str, names: Iterable[str], *, count: int) -> list[Ranked]:
    """Return the ``count`` most preferred names for ``key``, in order."""
    return heapq.nsmallest(count, (ranked(key, name) for name in names))


def first(key: str, names: Iterable[str]) -> str | None:
    """Return the most preferred name for ``key``; None without names."""
    return min(names, key=lambda name: (_hash(key, name), name), default=None)


def first_by_weight(key: str, weights: Mapping[str, float]) -> str | None:
    """Return the preferred name for ``key``; None without positive weights.

    Each name is preferred for a share of the keys in proportion to its weight.
    Weighted rendezvous hashing, by Schindelhauer and Schomaker, "Weighted
    distributed hash tables" (ACM SPAA, 2005): a changed weight moves the
    minimum number of keys.
    """

    def score(name: str) -> tuple[float, str]:
        uniform = (int.from_bytes(_hash(key, name), 'big') + 1) / 2**64
        return -math.log(uniform) / weights[name], name

    return min((n for n in weights if weights[n] > 0), key=score, default=None)


def hash_fraction(key: str) -> float:
    """Return the hash of ``key`` as a number of the interval [0, 1)."""
    hash_value = int.from_bytes(_hash(key, ''), 'big')
    return hash_value / 2**64
