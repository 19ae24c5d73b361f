"""Choose the hosts that keep a region's ledger of operations."""

from skylarkpitch.peers import directory as directories
from skylarkpitch.peers import rendezvous

__all__ = ['MAX_MEMBERS', 'members_of_region']

MIN_MEMBERS = 3
MAX_MEMBERS = 5


def members_of_region(
    directory: directories.Directory, region: str
) -> tuple[str, ...]:
    """Return the ledger members of a region, sorted by name.

    They are entry hosts of the region, at most ``MAX_MEMBERS`` and an odd
    number. A region with fewer than ``MIN_MEMBERS`` takes witnesses from
    other regions, so that the loss of one host stops no operation.
    """
    key = f'ledger/{region}'
    own = [host.name for host in directory.in_region(region)]
    members = rendezvous.rank(key, own)[:MAX_MEMBERS]
    if len(members) < MIN_MEMBERS or len(members) % 2 == 0:
        members.extend(_witnesses(directory, region, key, len(members)))
    return tuple(sorted(members))


def _witnesses(
    directory: directories.Directory, region: str, key: str, present: int
) -> list[str]:
    others = [
        host.name
        for host in directory.with_role('entry')
        if host.region != region
    ]
    wanted = MIN_MEMBERS - present if present < MIN_MEMBERS else 1
    return rendezvous.rank(key, others)[:wanted]
