"""Bound the share of a service's calls that a failure domain may run.

The share of a failure domain is its running calls of a service, tickets
that it has lent included, over the slots of the service in the fleet: those
announced now in the own domain, and those last announced in every other.
Each host keeps a part of the bound that depends only on what it owns itself
and on the other domains, so the parts never sum to more than the whole,
whatever the hosts of the domain know of each other.
"""

import math

from skylarkpitch.settings import deployment

__all__ = ['FleetSlots', 'domain_cap', 'host_limit']


class FleetSlots:
    """Remember the slots that each other failure domain last announced."""

    def __init__(self) -> None:
        self._slots: dict[str, dict[str, int]] = {}

    def record(self, failure_domain: str, slots: dict[str, int]) -> None:
        """Take what a host of another domain says about it."""
        self._slots[failure_domain] = slots

    def slots_elsewhere(self, service: str) -> int:
        """Return the slots of a service outside the own domain."""
        return sum(slots.get(service, 0) for slots in self._slots.values())


def domain_cap(
    config: deployment.SiteConfig, *, region: str, failure_domain: str
) -> float:
    """Return the largest share, from 0 to 1, of a failure domain.

    The cap of a region is divided between its domains by their own caps, so
    that domains which cannot hear each other keep it together. A region
    that may take everything needs no division.
    """
    settings = config.regions.get(region)
    if settings is None or failure_domain not in settings.failure_domains:
        return 1.0
    caps = {
        name: domain.max_share_percent / 100
        for name, domain in settings.failure_domains.items()
    }
    total = sum(caps.values())
    if total <= 0:
        return 0.0
    own = caps[failure_domain]
    if settings.max_share_percent >= 100:
        return own
    return min(own, settings.max_share_percent / 100 * own / total)


def host_limit(
    *, cap: float, own_slots: int, other_slots: int, domain_hosts: int
) -> int:
    """Return how many calls of a service one host may have running.

    Summed over the hosts of the domain this is at most ``cap`` times the
    fleet's slots, or one call a host where that is less than one.
    """
    if cap <= 0:
        return 0
    part = own_slots + other_slots / max(1, domain_hosts)
    return max(1, math.floor(cap * part + 1e-9))
