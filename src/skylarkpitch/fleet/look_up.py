"""Select the entry hosts that a look-up returns to a caller."""

from collections.abc import Collection
from collections.abc import Iterable

from skylarkpitch.fleet import model

__all__ = ['select_entry_hosts']

MAX_HOSTS = 64
# A failure domain with this many entry hosts serves its callers alone.
MIN_DOMAIN_HOSTS = 2


def select_entry_hosts(
    hosts: Iterable[model.EntryHost],
    *,
    region: str,
    failure_domain: str,
    homes: Collection[str] = (),
) -> list[model.EntryHost]:
    """Return at most ``MAX_HOSTS`` entry hosts for a caller, nearest first.

    If the caller's failure domain has ``MIN_DOMAIN_HOSTS`` entry hosts, only
    these are returned, so that requests stay within the failure domain.
    Otherwise all entry hosts of the caller's region are returned. If the
    region has none, those of the ``homes`` regions are returned, or those of
    every region if ``homes`` is empty.
    """
    hosts = sorted(hosts, key=lambda host: host.name)
    same_domain = [h for h in hosts if h.failure_domain == failure_domain]
    if len(same_domain) >= MIN_DOMAIN_HOSTS:
        return same_domain[:MAX_HOSTS]
    same_region = [h for h in hosts if h.region == region]
    if same_region:
        others = [h for h in same_region if h.failure_domain != failure_domain]
        return (same_domain + others)[:MAX_HOSTS]
    if homes:
        hosts = [h for h in hosts if h.region in homes]
    return hosts[:MAX_HOSTS]
