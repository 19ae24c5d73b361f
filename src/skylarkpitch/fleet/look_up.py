"""Choose the entry hosts that a caller is told to use."""

from collections.abc import Collection
from collections.abc import Iterable

from skylarkpitch.fleet import model

__all__ = ['select_entry_hosts']

MAX_HOSTS = 64
ENOUGH_NEAR = 2


def select_entry_hosts(
    hosts: Iterable[model.EntryHost],
    *,
    region: str,
    failure_domain: str,
    homes: Collection[str] = (),
) -> list[model.EntryHost]:
    """Return the entry hosts for a caller, nearest first.

    Those of its failure domain are named alone when there are enough of
    them, so that its requests cross no link; else all of its region are.
    A caller whose region has none is sent to a home region if there are
    homes, and to any other region else.
    """
    hosts = sorted(hosts, key=lambda host: host.name)
    near = [h for h in hosts if h.failure_domain == failure_domain]
    if len(near) >= ENOUGH_NEAR:
        return near[:MAX_HOSTS]
    own = [h for h in hosts if h.region == region]
    if own:
        others = [h for h in own if h.failure_domain != failure_domain]
        return (near + others)[:MAX_HOSTS]
    if homes:
        hosts = [h for h in hosts if h.region in homes]
    return hosts[:MAX_HOSTS]
