"""Order of failure domains by their distance from this host."""

from skylarkpitch.peers import directory as directories
from skylarkpitch.settings import deployment

__all__ = ['domain_tiers']

# Distance of a region to which no link is configured.
UNLINKED_MS = 1e6


def domain_tiers(
    directory: directories.Directory, config: deployment.SiteConfig
) -> list[list[str]]:
    """Return the failure domains of entry hosts, nearest first.

    Domains of equal distance form one tier: the local domain, the other
    domains of the local region, then those of remote regions by the
    ``one_way_ms`` of the link.
    """
    local_host = directory.local_host
    distances_ms = {local_host.region: 0.0}
    for link in config.links:
        if local_host.region in link.between:
            one, other = link.between
            remote_region = other if one == local_host.region else one
            distances_ms[remote_region] = link.one_way_ms
    tiers: dict[tuple, list[str]] = {}
    for host in directory.with_role('entry'):
        distance = (
            host.failure_domain != local_host.failure_domain,
            host.region != local_host.region,
            distances_ms.get(host.region, UNLINKED_MS),
        )
        tier = tiers.setdefault(distance, [])
        if host.failure_domain not in tier:
            tier.append(host.failure_domain)
    return [tiers[distance] for distance in sorted(tiers)]
