"""Divide the rate of each organisation among the entry hosts.

While the demand for an organisation is below its rate, each host is granted
its own demand and an equal part of the remainder. Above the rate, the rate
is divided in proportion to demand. What other recorded hosts may still use
under an unexpired grant is subtracted first.
"""

import dataclasses

__all__ = ['RateShares', 'divide']

GRANT_LEASE_S = 2.0
# A host without demand still gets a share for its first requests.
MIN_DEMAND_PER_S = 0.5


@dataclasses.dataclass(slots=True)
class _Grant:
    rate_per_s: float
    expires_s: float


def divide(
    rate_per_s: float, demand_per_s: dict[str, float]
) -> dict[str, float]:
    """Return the share of a rate for each host of ``demand_per_s``.

    The shares add up to the rate.
    """
    total = sum(demand_per_s.values())
    if total <= rate_per_s:
        extra = (rate_per_s - total) / max(1, len(demand_per_s))
        return {name: demand + extra for name, demand in demand_per_s.items()}
    return {
        name: rate_per_s * demand / total
        for name, demand in demand_per_s.items()
    }


class RateShares:
    """Demand and grants of all entry hosts; used by the leader only."""

    def __init__(self) -> None:
        self._demand: dict[str, dict[str, float]] = {}
        self._grants: dict[tuple[str, str], _Grant] = {}

    def reset(self) -> None:
        """Discard demand and grants, as when this process becomes leader."""
        self._demand.clear()
        self._grants.clear()

    def record_demand(self, host: str, demand_per_s: dict[str, float]) -> None:
        """Record the demand at an entry host, by organisation."""
        self._demand[host] = demand_per_s

    def grant(
        self,
        host: str,
        *,
        rates_per_s: dict[str, float],
        hosts: set[str],
        now_s: float,
    ) -> dict[str, float]:
        """Return the rates that a host may use for ``GRANT_LEASE_S``.

        ``rates_per_s`` has the rate of each organisation in the whole
        fleet. Demand of hosts that are not among ``hosts`` is discarded.
        """
        for removed in set(self._demand) - hosts - {host}:
            del self._demand[removed]
        granted = {}
        for name, rate_per_s in rates_per_s.items():
            fair_share = self._fair_share(name, rate_per_s, host, hosts)
            others = self._granted_to_others(name, host, hosts, now_s)
            granted[name] = max(0.0, min(fair_share, rate_per_s - others))
            self._grants[name, host] = _Grant(
                granted[name], now_s + GRANT_LEASE_S
            )
        return granted

    def _fair_share(
        self, name: str, rate_per_s: float, host: str, hosts: set[str]
    ) -> float:
        demand = {
            other: max(
                MIN_DEMAND_PER_S,
                self._demand.get(other, {}).get(name, 0.0),
            )
            for other in hosts | {host}
        }
        return divide(rate_per_s, demand)[host]

    def _granted_to_others(
        self, name: str, host: str, hosts: set[str], now_s: float
    ) -> float:
        granted = 0.0
        for other in hosts - {host}:
            grant = self._grants.get((name, other))
            if grant is not None and grant.expires_s > now_s:
                granted += grant.rate_per_s
        return granted
