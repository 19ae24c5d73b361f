"""Divide the rate of each organisation among the entry hosts.

While the demand for an organisation is below its rate, each host is granted
its own demand and an equal part of the remainder. Above the rate, the rate
is divided in proportion to demand. What other hosts may still use under an
unexpired grant is subtracted first.

Claims and unexpired grants are kept as totals over all hosts, so that the
cost of a grant does not depend on the number of hosts.
"""

from collections.abc import Mapping
import dataclasses

__all__ = ['Limit', 'RateShares', 'Usage', 'fair_share']

GRANT_LEASE_S = 2.0
# A host claims at least this fraction of an equal share, so that one without
# demand has a share for its first requests.
MIN_CLAIM_SHARE = 0.1
EXPIRY_INTERVAL_S = 0.25


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Limit:
    """Rate of an organisation over the whole fleet, and its burst."""

    rate_per_s: float
    burst: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Usage:
    """Requests at one entry host, by organisation.

    ``demand_per_s`` is their rate.
    """

    demand_per_s: Mapping[str, float]


@dataclasses.dataclass(slots=True)
class _HostShare:
    """Claim and grant of one host for one organisation."""

    claimed_per_s: float = 0.0
    granted_per_s: float = 0.0


@dataclasses.dataclass(slots=True)
class _Host:
    reported_s: float
    shares: dict[str, _HostShare] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(slots=True)
class _Total:
    """Claims and unexpired grants of all hosts for one organisation."""

    claimed_per_s: float = 0.0
    granted_per_s: float = 0.0
    claiming_hosts: int = 0


def fair_share(
    rate_per_s: float,
    *,
    claimed_per_s: float,
    total_claimed_per_s: float,
    host_count: int,
) -> float:
    """Return the share of a rate for a host, by what it claims.

    The shares of ``host_count`` hosts add up to the rate.
    """
    if total_claimed_per_s <= rate_per_s:
        spare_per_s = rate_per_s - total_claimed_per_s
        return claimed_per_s + spare_per_s / host_count
    return rate_per_s * claimed_per_s / total_claimed_per_s


class RateShares:
    """Claims and grants of all entry hosts; used by the leader only."""

    def __init__(self) -> None:
        self._hosts: dict[str, _Host] = {}
        self._totals: dict[str, _Total] = {}
        self._expired_s = float('-inf')

    def reset(self) -> None:
        """Discard claims and grants, as when this process becomes leader."""
        self._hosts.clear()
        self._totals.clear()

    def grant(
        self,
        host: str,
        *,
        usage: Usage,
        limits: Mapping[str, Limit],
        host_count: int,
        now_s: float,
    ) -> dict[str, float]:
        """Record the usage of a host; return its rates by organisation.

        The rates are valid for ``GRANT_LEASE_S``. ``limits`` are those of
        the whole fleet; organisations without one are ignored.
        """
        self._expire(now_s)
        recorded = self._hosts.setdefault(host, _Host(now_s))
        recorded.reported_s = now_s
        for name in set(recorded.shares) - set(usage.demand_per_s):
            self._discard(name, recorded.shares.pop(name))
        granted = {}
        for name, demand_per_s in usage.demand_per_s.items():
            limit = limits.get(name)
            if limit is None:
                continue
            granted[name] = self._share_of(
                recorded,
                name,
                rate_per_s=limit.rate_per_s,
                demand_per_s=demand_per_s,
                host_count=max(1, host_count),
            )
        return granted

    def _share_of(
        self,
        recorded: _Host,
        name: str,
        *,
        rate_per_s: float,
        demand_per_s: float,
        host_count: int,
    ) -> float:
        """Record the claim of a host and return its part of a rate."""
        total = self._totals.setdefault(name, _Total())
        share = recorded.shares.get(name)
        if share is None:
            share = recorded.shares[name] = _HostShare()
            total.claiming_hosts += 1
        min_claim_per_s = MIN_CLAIM_SHARE * rate_per_s / host_count
        claimed_per_s = max(demand_per_s, min_claim_per_s)
        total.claimed_per_s += claimed_per_s - share.claimed_per_s
        share.claimed_per_s = claimed_per_s
        others = max(0, host_count - total.claiming_hosts)
        fair_per_s = fair_share(
            rate_per_s,
            claimed_per_s=claimed_per_s,
            total_claimed_per_s=total.claimed_per_s + others * min_claim_per_s,
            host_count=host_count,
        )
        granted_to_others_per_s = total.granted_per_s - share.granted_per_s
        granted_per_s = max(
            0.0, min(fair_per_s, rate_per_s - granted_to_others_per_s)
        )
        total.granted_per_s += granted_per_s - share.granted_per_s
        share.granted_per_s = granted_per_s
        return granted_per_s

    def _expire(self, now_s: float) -> None:
        """Discard hosts whose grants have expired."""
        if now_s - self._expired_s < EXPIRY_INTERVAL_S:
            return
        self._expired_s = now_s
        for name, recorded in list(self._hosts.items()):
            if now_s - recorded.reported_s > GRANT_LEASE_S:
                for organisation, share in recorded.shares.items():
                    self._discard(organisation, share)
                del self._hosts[name]

    def _discard(self, organisation: str, share: _HostShare) -> None:
        total = self._totals[organisation]
        total.claimed_per_s -= share.claimed_per_s
        total.granted_per_s -= share.granted_per_s
        total.claiming_hosts -= 1
