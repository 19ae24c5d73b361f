"""Divide the rate of each organisation among the entry hosts.

While an organisation asks for less than its rate, each host gets what it is
asked for and an equal part of the rest; beyond that the rate is divided in
proportion. A part that another host may still use is not given away.
"""

import dataclasses

__all__ = ['RateShares', 'divide']

GRANT_S = 2.0
LEAST_DEMAND_PER_S = 0.5


@dataclasses.dataclass(slots=True)
class _Grant:
    rate_per_s: float
    until_s: float


def divide(
    rate_per_s: float, demand_per_s: dict[str, float]
) -> dict[str, float]:
    """Return the part of a rate for each host that asks."""
    asked = sum(demand_per_s.values())
    if asked <= rate_per_s:
        rest = (rate_per_s - asked) / max(1, len(demand_per_s))
        return {name: own + rest for name, own in demand_per_s.items()}
    return {
        name: rate_per_s * own / asked for name, own in demand_per_s.items()
    }


class RateShares:
    """Demand and grants of all entry hosts, held by the leader."""

    def __init__(self) -> None:
        self._demand: dict[str, dict[str, float]] = {}
        self._grants: dict[tuple[str, str], _Grant] = {}

    def forget_all(self) -> None:
        """Begin anew, as when this process starts to lead."""
        self._demand.clear()
        self._grants.clear()

    def report(self, host: str, demand_per_s: dict[str, float]) -> None:
        """Note what an entry host is asked for."""
        self._demand[host] = demand_per_s

    def grant(
        self,
        host: str,
        *,
        rates_per_s: dict[str, float],
        hosts: set[str],
        now_s: float,
    ) -> dict[str, float]:
        """Return the rates that a host may use for ``GRANT_S``."""
        for gone in set(self._demand) - hosts - {host}:
            del self._demand[gone]
        granted = {}
        for name, rate_per_s in rates_per_s.items():
            wanted = self._wanted(name, rate_per_s, host, hosts)
            taken = self._taken(name, host, hosts, now_s)
            granted[name] = max(0.0, min(wanted, rate_per_s - taken))
            self._grants[name, host] = _Grant(granted[name], now_s + GRANT_S)
        return granted

    def _wanted(
        self, name: str, rate_per_s: float, host: str, hosts: set[str]
    ) -> float:
        demand = {
            other: max(
                LEAST_DEMAND_PER_S,
                self._demand.get(other, {}).get(name, 0.0),
            )
            for other in hosts | {host}
        }
        return divide(rate_per_s, demand)[host]

    def _taken(
        self, name: str, host: str, hosts: set[str], now_s: float
    ) -> float:
        taken = 0.0
        for other in hosts - {host}:
            grant = self._grants.get((name, other))
            if grant is not None and grant.until_s > now_s:
                taken += grant.rate_per_s
        return taken
