"""Hold what one host keeps of one organisation."""

import dataclasses

from skylarkpitch.limits import demand as demands
from skylarkpitch.limits import entitlements
from skylarkpitch.limits import escrow
from skylarkpitch.limits import planning
from skylarkpitch.limits import shares

__all__ = ['Bounds', 'Organisation']


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Bounds:
    """Leases and clock error that every host must agree on."""

    lease_s: float
    drift: float
    key_lease_s: float

    @property
    def first_s(self) -> float:
        """Return the seconds a new process waits with an empty share."""
        return self.lease_s * (1 + self.drift)

    @property
    def grace_s(self) -> float:
        """Return the seconds after which no host uses an older limit."""
        return (self.lease_s + self.key_lease_s) * (1 + self.drift)


@dataclasses.dataclass(slots=True, kw_only=True)
class Organisation:
    """What one host keeps of one organisation."""

    limit: shares.Share
    spare_tokens: float
    account: escrow.Account
    entitlement: entitlements.Entitlement
    audit: entitlements.SpendAudit
    demand: demands.Demand
    wishes: planning.Wishes
    queued: int = 0
    refused: int = 0
    wrongly_refused: int = 0

    def need(self, *, now_s: float) -> shares.Share:
        """Return what this host needs for its own calls."""
        self.account.settle(now_s=now_s)
        return self.demand.need(
            now_s=now_s,
            queued=self.queued,
            limit=self.limit,
            burst=self.account.own.burst,
            tokens=self.account.tokens,
            spare_tokens=self.spare_tokens,
        )
