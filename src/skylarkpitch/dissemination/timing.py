"""Derive the intervals of requests and proofs from the key lease."""

import dataclasses

__all__ = ['RequestTiming', 'timing_for']

MAX_PERIOD_S = 1.25
PERIODS_PER_LEASE = 4
HOLD_PERIODS = 1.6
MAX_SLACK_S = 0.4
SLACKS_PER_LEASE = 4


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RequestTiming:
    """Intervals of proofs and requests, in seconds.

    ``period_s`` is the interval between two proofs by the quorum, ``hold_s``
    the longest time that a source holds a request until it has something new,
    and ``timeout_s`` the longest wait for the response.
    """

    period_s: float
    hold_s: float
    timeout_s: float

    def without_hold(self) -> 'RequestTiming':
        """Return the timing of a request that is answered at once."""
        return dataclasses.replace(
            self, hold_s=0.0, timeout_s=self.timeout_s - self.hold_s
        )


def timing_for(key_lease_s: float) -> RequestTiming:
    """Return the timing for a key lease.

    The lease outlasts a missed proof and the loss of the host's source after
    it.
    """
    period_s = min(MAX_PERIOD_S, key_lease_s / PERIODS_PER_LEASE)
    hold_s = period_s * HOLD_PERIODS
    slack_s = min(MAX_SLACK_S, key_lease_s / SLACKS_PER_LEASE)
    return RequestTiming(
        period_s=period_s,
        hold_s=hold_s,
        timeout_s=hold_s + slack_s,
    )
