"""Decide who belongs to the control group, and when it may acknowledge.

Every control host that counts becomes a voter. The group acknowledges
nothing before it is so large that the tolerated losses leave a quorum, and
leave in every quorum a disk that holds what was acknowledged.
"""

from collections.abc import Collection
from collections.abc import Mapping

from skylarkpitch.consensus import rules

__all__ = ['is_large_enough', 'to_remove']

GONE_S = 20.0


def is_large_enough(voters: Collection[str], *, tolerated: int) -> bool:
    """Tell whether a group bears the loss of ``tolerated`` disks."""
    quorum = rules.majority(voters)
    return quorum > tolerated and len(voters) - tolerated >= quorum


def to_remove(
    voters: Collection[str],
    *,
    contact_ages_s: Mapping[str, float],
    tolerated: int,
) -> str | None:
    """Return a voter that is gone for good, if the group can spare it.

    Only a group that stays large enough without it, and whose other voters
    all answer, lets one go.
    """
    gone = [name for name in voters if contact_ages_s.get(name, 0.0) > GONE_S]
    if len(gone) != 1:
        return None
    left = [name for name in voters if name != gone[0]]
    return gone[0] if is_large_enough(left, tolerated=tolerated) else None
