"""State of one organisation's limit at one host."""

import dataclasses

from skylarkpitch.limits import demand as demands
from skylarkpitch.limits import entitlements
from skylarkpitch.limits import escrow
from skylarkpitch.limits import planning
from skylarkpitch.limits import shares

__all__ = ['LeaseBounds', 'OrganisationState']


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LeaseBounds:
    """Leases and clock error, equal on every host.

    Leases are in seconds; ``drift`` is the error of a clock's rate as a
    fraction.
    """

    lease_s: float
    drift: float
    key_lease_s: float

    @property
    def startup_wait_s(self) -> float:
        """Return the seconds for which a new process has no share."""
        return self.lease_s * (1 + self.drift)

    @property
    def grace_s(self) -> float:
        """Return the seconds after which no host applies an older limit."""
        return (self.lease_s + self.key_lease_s) * (1 + self.drift)


@dataclasses.dataclass(slots=True, kw_only=True)
class OrganisationState:
    """State of one organisation's limit at one host.

    ``headroom_tokens`` are whole tokens that the host requires beyond its
    demand. ``queued`` counts calls that wait for a token.
    """

    limit: shares.Share
    headroom_tokens: float
    account: escrow.Account
    entitlement_schedule: entitlements.EntitlementSchedule
    audit: entitlements.SpendAudit
    demand: demands.DemandEstimator
    planner: planning.LoanPlanner
    queued: int = 0
    refused: int = 0
    wrongly_refused: int = 0

    def required_share(self, *, now_s: float) -> shares.Share:
        """Return the share that this host requires for its own calls."""
        self.account.refill_and_expire(now_s=now_s)
        return self.demand.required_share(
            now_s=now_s,
            queued=self.queued,
            limit=self.limit,
            burst=self.account.available.burst,
            tokens=self.account.tokens,
            headroom_tokens=self.headroom_tokens,
        )
