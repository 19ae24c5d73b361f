"""Terms of ownership, and the refusals of an announcement."""

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
    """An announcement that is not taken, with a typed reason."""

    status: int
    reason: str
    remedy: str
    retry_after_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Terms:
    """Times that the configuration sets for one announcement."""

    lease_s: float
    drift: float
    ramp_s: float
    max_work_s: float

    @property
    def takeover_wait_s(self) -> float:
        """Return how long an upstream waits before it changes hosts."""
        return ownerships.takeover_wait_s(
            lease_s=self.lease_s, drift=self.drift
        )


def refuse_departed() -> Refusal:
    """Refuse a process that has said that it leaves."""
    return Refusal(
        status=409,
        reason='left',
        remedy='announce a new instance after a restart',
    )


def refuse_stopping() -> Refusal:
    """Refuse because no host here takes upstreams now."""
    return Refusal(
        status=503,
        reason='stopping',
        remedy='announce to another entry host of the failure domain',
        retry_after_s=1.0,
    )


def refuse_early(retry_after_s: float) -> Refusal:
    """Refuse while an earlier owner may hand out the slots."""
    return Refusal(
        status=409,
        reason='previous_owner_may_live',
        remedy='announce again after retry_after_s',
        retry_after_s=retry_after_s,
    )


def refuse_taken(name: str, *, retry_after_s: float) -> Refusal:
    """Refuse a name or an address that another process has."""
    return Refusal(
        status=409,
        reason='name_taken',
        remedy=f'give {name!r} and its address to one process only',
        retry_after_s=retry_after_s,
    )
