"""Limit the share of a service's calls that a failure domain may run.

The share of a failure domain is the number of its running calls of a service
and of its outstanding tickets, divided by the slots of the service in the
fleet: those announced now in the local domain, and those last announced in
every other domain. Each host enforces a part of the limit that depends only
on its own slots and on the other domains. The parts therefore never sum to
more than the limit, even when the hosts of the domain cannot communicate.
"""

import math

from skylarkpitch.settings import deployment

__all__ = ['FleetSlots', 'domain_cap', 'host_limit']


class FleetSlots:
    """Slots that each other failure domain last reported, by service."""

    def __init__(self) -> None:
        self._slots: dict[str, dict[str, int]] = {}

    def record(self, failure_domain: str, slots: dict[str, int]) -> None:
        """Store the slots that a host of another domain reported for it."""
        self._slots[failure_domain] = slots

    def slots_elsewhere(self, service: str) -> int:
        """Return the slots of a service outside the local domain."""
        return sum(slots.get(service, 0) for slots in self._slots.values())


def domain_cap(
    config: deployment.SiteConfig, *, region: str, failure_domain: str
) -> float:
    """Return the largest share, from 0 to 1, of a failure domain.

    The cap of a region is divided among its domains in the ratio of their
    own caps, so that domains which cannot communicate stay within it
    together. The cap of a region without a limit (100 %) is not divided.
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
    domain_share = caps[failure_domain]
    if settings.max_share_percent >= 100:
        return domain_share
    return min(
        domain_share,
        settings.max_share_percent / 100 * domain_share / total,
    )


def host_limit(
    *, cap: float, own_slots: int, other_slots: int, domain_hosts: int
) -> int:
    """Return how many calls of a service one host may run at once.

    The sum over the hosts of the domain is at most ``cap`` times the fleet's
    slots. A host whose part is less than one call may run one, unless the
    cap is 0.
    """
    if cap <= 0:
        return 0
    slots = own_slots + other_slots / max(1, domain_hosts)
    return max(1, math.floor(cap * slots + 1e-9))
