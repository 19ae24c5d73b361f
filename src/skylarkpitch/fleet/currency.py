"""Decide whether the state of a control host is current."""

__all__ = ['is_behind', 'is_current', 'may_look_up']

# Maximum age of a state to count as current. A leader sends several
# heartbeats in that time.
MAX_STATE_AGE_S = 1.0
# Look-ups may be as old as the removal of an entry host takes anyway. With
# slow disks, all control hosts may have a state of some age.
MAX_LOOK_UP_AGE_S = 3.0


def is_current(*, contact_age_s: float, state_age_s: float) -> bool:
    """Return whether a control host shows what is committed.

    ``contact_age_s`` is the age of its last contact with a quorum, and
    ``state_age_s`` that of the last moment at which it had applied all that
    was committed.
    """
    return max(contact_age_s, state_age_s) <= MAX_STATE_AGE_S


def may_look_up(*, contact_age_s: float, state_age_s: float) -> bool:
    """Return whether a control host may answer look-ups."""
    return state_age_s <= MAX_LOOK_UP_AGE_S or not is_behind(
        contact_age_s=contact_age_s, state_age_s=state_age_s
    )


def is_behind(*, contact_age_s: float, state_age_s: float) -> bool:
    """Return whether other control hosts are known to have a newer state.

    A host without contact is not behind in this sense: it may be cut off
    with its failure domain, and the best there is.
    """
    return contact_age_s <= MAX_STATE_AGE_S < state_age_s
