"""Decide the size of the control group and the removal of lost voters.

Every control host that is configured as a voter becomes one. The group
acknowledges nothing until it is large enough: after the tolerated number of
disk losses the remaining voters are still a quorum, and every quorum still
has a disk that stores each acknowledged entry.
"""

from collections.abc import Collection
from collections.abc import Mapping

from skylarkpitch.consensus import rules

__all__ = ['is_large_enough', 'removable_voter']

VOTER_TIMEOUT_S = 20.0


def is_large_enough(voters: Collection[str], *, tolerated: int) -> bool:
    """Return whether a group tolerates the loss of ``tolerated`` disks."""
    quorum = rules.majority(voters)
    return quorum > tolerated and len(voters) - tolerated >= quorum


def removable_voter(
    voters: Collection[str],
    *,
    contact_ages_s: Mapping[str, float],
    tolerated: int,
) -> str | None:
    """Return a lost voter that the group can remove, or None.

    A voter is lost when its last contact is older than
    ``VOTER_TIMEOUT_S``. It is removed only if no other voter is lost and the
    group stays large enough without it.
    """
    lost = [
        name
        for name in voters
        if contact_ages_s.get(name, 0.0) > VOTER_TIMEOUT_S
    ]
    if len(lost) != 1:
        return None
    remaining = [name for name in voters if name != lost[0]]
    return lost[0] if is_large_enough(remaining, tolerated=tolerated) else None
