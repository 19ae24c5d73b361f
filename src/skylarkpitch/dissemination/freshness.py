"""Compute how current a state is from requests and responses.

All functions work on durations measured by clocks of different hosts. Each
clock may deviate from real time by ``drift`` (a fraction, 0.01 for one
percent). A duration measured on one host and used on another is therefore
lengthened or shortened to the safe side.
"""

__all__ = ['NEVER_S', 'proven_at_s', 'serves_until_s']

NEVER_S = float('-inf')


def proven_at_s(
    *, sent_at_s: float, held_s: float, age_s: float, drift: float
) -> float:
    """Return when a received state was certainly current, by the local clock.

    The responding host had a proof of age ``age_s`` when it responded, which
    was at least ``held_s`` after the request was sent at ``sent_at_s``. The
    time that the response took to arrive counts as age.
    """
    slow = 1.0 - drift
    fast = 1.0 + drift
    return sent_at_s + held_s * slow / fast - age_s * fast / slow


def serves_until_s(
    *, proven_at_s: float, lease_s: float, drift: float
) -> float:
    """Return until when a state may be relied on, by the local clock.

    A slow clock must not extend the lease, so the drift is subtracted.
    """
    return proven_at_s + lease_s * (1.0 - drift)
