"""Compute how current a state is from questions and answers.

All functions work on durations by clocks of different hosts. Each clock may
run off real time by ``drift`` (a share, 0.01 for one percent), so that a
duration measured on one host and used on another is widened or narrowed to
the side that is safe.
"""

__all__ = ['NEVER_S', 'proven_at_s', 'serves_until_s']

NEVER_S = float('-inf')


def proven_at_s(
    *, sent_at_s: float, held_s: float, age_s: float, drift: float
) -> float:
    """Return when the answered state was certainly current, by own clock.

    The answerer had a proof of age ``age_s`` when it answered, which was at
    least ``held_s`` after the question was sent at ``asked_at_s``. The time
    that the answer took to arrive counts against the asker.
    """
    slow = 1.0 - drift
    fast = 1.0 + drift
    return sent_at_s + held_s * slow / fast - age_s * fast / slow


def serves_until_s(
    *, proven_at_s: float, lease_s: float, drift: float
) -> float:
    """Return until when a state may be relied on, by own clock.

    A slow clock must not stretch the lease, so the drift is taken off.
    """
    return proven_at_s + lease_s * (1.0 - drift)
