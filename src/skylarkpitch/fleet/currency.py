"""Decide whether the state of a control host is current."""

__all__ = ['is_behind', 'is_current']

# Maximum age of a state to count as current. A leader sends several
# heartbeats in that time.
MAX_STATE_AGE_S = 1.0


def is_current(*, contact_age_s: float, state_age_s: float) -> bool:
    """Return whether a control host shows what is committed.

    ``contact_age_s`` is the age of its last contact with a quorum, and
    ``state_age_s`` that of the last moment at which it had applied all that
    was committed.
    """
    return max(contact_age_s, state_age_s) <= MAX_STATE_AGE_S


def is_behind(*, contact_age_s: float, state_age_s: float) -> bool:
    """Return whether other control hosts are known to have a newer state.

    A host without contact is not behind in this sense: it may be cut off
    with its failure domain, and the best there is.
    """
    return contact_age_s <= MAX_STATE_AGE_S < state_age_s
