"""Decide which sets of ledger members are enough.

The functions are shared by the program and by its specification.
"""

from collections.abc import Iterable
from collections.abc import Mapping
import itertools

__all__ = ['agreeing_majority', 'copy_quorum', 'majority']


def majority(count: int) -> int:
    """Return how many of ``count`` members are a majority."""
    return count // 2 + 1


def copy_quorum(count: int) -> int:
    """Return how many others a member without memory has to copy from.

    Every majority that the member was part of before holds at least one of
    them.
    """
    return min(count - majority(count) + 1, count - 1)


def agreeing_majority(
    members: Iterable[str],
    incarnations: Mapping[str, int],
    views: Mapping[str, Mapping[str, int]],
) -> bool:
    """Tell whether a majority granted, each knowing the others' incarnation.

    ``incarnations`` and ``views`` hold what each granting member said of
    itself and of its peers. A grant from before a member's restart does not
    count together with one from a peer that knows of the restart.
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
