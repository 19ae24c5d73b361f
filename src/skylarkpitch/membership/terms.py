"""Configured durations of an ownership, and refusals of announcements."""

import dataclasses

from skylarkpitch.membership import ownership as ownerships

__all__ = [
    'Refusal',
    'Terms',
    'refuse_departed',
    'refuse_early',
    'refuse_stopping',
    'refuse_taken',
]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Refusal:
    """Refusal of an announcement.

    ``status`` is the HTTP status, ``reason`` a fixed word, ``remedy`` the
    advice to the operator, and ``retry_after_s`` the time to wait before the
    next announcement.
    """

    status: int
    reason: str
    remedy: str
    retry_after_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Terms:
    """Durations that the configuration sets for one announcement.

    ``lease_s`` is the time for which a host owns an upstream after it issued
    the echo of an announcement. ``drift`` is the largest deviation of a clock
    from real time, as a fraction. ``ramp_s`` is the time over which a new
    upstream's slots are opened, and ``max_work_s`` the longest time that one
    request may run.
    """

    lease_s: float
    drift: float
    ramp_s: float
    max_work_s: float

    @property
    def takeover_wait_s(self) -> float:
        """Return how many seconds an upstream waits to change hosts."""
        return ownerships.takeover_wait_s(
            lease_s=self.lease_s, drift=self.drift
        )


def refuse_departed() -> Refusal:
    """Refuse a process that has sent a leave notice before."""
    return Refusal(
        status=409,
        reason='left',
        remedy='announce a new instance after a restart',
    )


def refuse_stopping() -> Refusal:
    """Refuse because no live host accepts upstreams."""
    return Refusal(
        status=503,
        reason='stopping',
        remedy='announce to another entry host of the failure domain',
        retry_after_s=1.0,
    )


def refuse_early(retry_after_s: float) -> Refusal:
    """Refuse while an earlier owner may still assign the slots."""
    return Refusal(
        status=409,
        reason='previous_owner_may_live',
        remedy='announce again after retry_after_s',
        retry_after_s=retry_after_s,
    )


def refuse_taken(name: str, *, retry_after_s: float) -> Refusal:
    """Refuse a name or an address that another process uses."""
    return Refusal(
        status=409,
        reason='name_taken',
        remedy=f'give {name!r} and its address to one process only',
        retry_after_s=retry_after_s,
    )
