"""Hold what one host keeps of one organisation."""

import dataclasses

from skylarkpitch.limits import demand as demands
from skylarkpitch.limits import entitlements
from skylarkpitch.limits import escrow
from skylarkpitch.limits import planning
from skylarkpitch.limits import shares

__all__ = ['LeaseBounds', 'OrganisationState']


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LeaseBounds:
    """Leases and clock error that every host must agree on."""

    lease_s: float
    drift: float
    key_lease_s: float

    @property
    def startup_wait_s(self) -> float:
        """Return the seconds a new process waits with an empty share."""
        return self.lease_s * (1 + self.drift)

    @property
    def grace_s(self) -> float:
        """Return the seconds after which no host uses an older limit."""
        return (self.lease_s + self.key_lease_s) * (1 + self.drift)


@dataclasses.dataclass(slots=True, kw_only=True)
class OrganisationState:
    """What one host keeps of one organisation."""

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
        """Return what this host needs for its own calls."""
        self.account.refill_and_expire(now_s=now_s)
        return self.demand.required_share(
            now_s=now_s,
            queued=self.queued,
            limit=self.limit,
            burst=self.account.available.burst,
            tokens=self.account.tokens,
            headroom_tokens=self.headroom_tokens,
        )
