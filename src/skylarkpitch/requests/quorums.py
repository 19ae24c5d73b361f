"""Quorums of ledger members.

The ledger and its specifications in ``benchmarks.models`` share these
functions.
"""

from collections.abc import Iterable
from collections.abc import Mapping
import itertools

__all__ = ['agreeing_majority', 'copy_quorum', 'majority']


def majority(count: int) -> int:
    """Return the size of a majority of ``count`` members."""
    return count // 2 + 1


def copy_quorum(count: int) -> int:
    """Return from how many peers a restarted member has to copy.

    Any so many peers include one of every majority that the member belonged
    to before its restart.
    """
    return min(count - majority(count) + 1, count - 1)


def agreeing_majority(
    members: Iterable[str],
    incarnations: Mapping[str, int],
    views: Mapping[str, Mapping[str, int]],
) -> bool:
    """Return whether a majority granted, with incarnations that agree.

    ``incarnations`` has the incarnation that each granting member reported
    of itself, and ``views`` those that it knows of its peers. Every pair of
    the majority must know each other's incarnation. A grant of a member from
    before its restart thus does not count together with the grant of a peer
    that knows of the restart.
    """
    listed = sorted(members)
    granted = [name for name in listed if name in incarnations]
    return any(
        all(
            views[one].get(other) == incarnations[other]
            for one, other in itertools.permutations(group, 2)
        )
        for group in itertools.combinations(granted, majority(len(listed)))
    )
