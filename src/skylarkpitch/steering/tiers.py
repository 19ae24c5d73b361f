"""Order the failure domains by their distance from a host."""

from skylarkpitch.peers import directory as directories
from skylarkpitch.settings import deployment

__all__ = ['domain_tiers']

FAR_MS = 1e6


def domain_tiers(
    directory: directories.Directory, config: deployment.SiteConfig
) -> list[list[str]]:
    """Return the failure domains of entry hosts, nearest first.

    Domains of equal distance stand together: the own one, the others of the
    own region, then those of other regions by ``one_way_ms``.
    """
    own = directory.local_host
    far_ms = {own.region: 0.0}
    for link in config.links:
        if own.region in link.between:
            one, other = link.between
            far = other if one == own.region else one
            far_ms[far] = link.one_way_ms
    tiers: dict[tuple, list[str]] = {}
    for host in directory.with_role('entry'):
        distance = (
            host.failure_domain != own.failure_domain,
            host.region != own.region,
            far_ms.get(host.region, FAR_MS),
        )
        tier = tiers.setdefault(distance, [])
        if host.failure_domain not in tier:
            tier.append(host.failure_domain)
    return [tiers[distance] for distance in sorted(tiers)]
