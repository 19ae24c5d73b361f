"""Decide the size of the control group and the removal of lost voters.

Every control host that is configured as a voter becomes one. The group
acknowledges nothing until it is large enough: after the tolerated number of
disk losses the remaining voters are still a quorum, and every quorum still
has a disk that stores each acknowledged entry.

A host that was replaced for good is no different, for the others, from one
that is silent for a while. A lost voter is therefore removed as soon as the
group is large enough without it: with fewer voters, the group survives more
further losses. A host that was removed by mistake joins again.
"""

from collections.abc import Collection
from collections.abc import Mapping
from collections.abc import Sequence

from skylarkpitch.consensus import rules

__all__ = ['is_large_enough', 'may_promote', 'removable_voter']

# Several heartbeats of the leader; a voter that responds later is silent.
SILENT_S = 0.7


def is_large_enough(voters: Collection[str], *, tolerated: int) -> bool:
    """Return whether a group tolerates the loss of ``tolerated`` disks."""
    return _tolerates(len(voters), tolerated)


def _tolerates(voter_count: int, tolerated: int) -> bool:
    quorum = rules.majority(range(voter_count))
    return quorum > tolerated and voter_count - tolerated >= quorum


def may_promote(
    voters: Sequence[str],
    contact_ages_s: Mapping[str, float],
    *,
    tolerated: int,
) -> bool:
    """Return whether the learner of a new host may become a voter.

    From an odd number of voters the promotion raises the quorum. While a
    voter is silent, a group that is large enough therefore waits until that
    voter responds or is removed.
    """
    if len(voters) % 2 == 0 or not is_large_enough(
        voters, tolerated=tolerated
    ):
        return True
    return all(contact_ages_s.get(name, 0.0) < SILENT_S for name in voters)


def removable_voter(
    voters: Collection[str],
    *,
    lost: Collection[str],
    ready_learners: Collection[str],
    tolerated: int,
) -> str | None:
    """Return a lost voter that the group can remove, or None.

    ``ready_learners`` can become voters at once. The group must be large
    enough without the removed voter and with them.
    """
    remaining = len(voters) - 1 + len(ready_learners)
    if not _tolerates(remaining, tolerated):
        return None
    return next((name for name in voters if name in lost), None)
