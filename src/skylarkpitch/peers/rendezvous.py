"""Rank hosts for a key by rendezvous hashing.

Highest random weight hashing, by Thaler and Ravishankar, "Using name-based
mappings to increase hit rates" (IEEE/ACM Transactions on Networking, 1998):
every process ranks the same hosts alike without talking, and a host that
goes or comes moves only the keys that it ranked first for.
"""

from collections.abc import Iterable
from collections.abc import Mapping
import hashlib
import math

__all__ = ['first', 'first_by_weight', 'hash_fraction', 'rank']


def _weight(key: str, name: str) -> bytes:
    return hashlib.blake2b(
        f'{key}\0{name}'.encode(), digest_size=8, usedforsecurity=False
    ).digest()


def rank(key: str, names: Iterable[str]) -> list[str]:
    """Return the names, best first for ``key``; ties go by name."""
    return sorted(names, key=lambda name: (_weight(key, name), name))


def first(key: str, names: Iterable[str]) -> str | None:
    """Return the best name for ``key``, or None when there is none."""
    return min(
        names, key=lambda name: (_weight(key, name), name), default=None
    )


def first_by_weight(key: str, weights: Mapping[str, float]) -> str | None:
    """Return a name that is taken in proportion to its weight, or None.

    Weighted rendezvous hashing, by Schindelhauer and Schomaker, "Weighted
    distributed hash tables" (ACM SPAA, 2005): a weight that changes moves
    only the keys that it must.
    """

    def score(name: str) -> tuple[float, str]:
        drawn = (int.from_bytes(_weight(key, name), 'big') + 1) / 2**64
        return -math.log(drawn) / weights[name], name

    return min((n for n in weights if weights[n] > 0), key=score, default=None)


def hash_fraction(key: str) -> float:
    """Return a number from 0 to 1, without 1, that all processes agree on."""
    weight = int.from_bytes(_weight(key, ''), 'big')
    return weight / 2**64
