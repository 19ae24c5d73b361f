"""Select the hosts that store the operation ledger of a region."""

from skylarkpitch.peers import directory as directories
from skylarkpitch.peers import rendezvous

__all__ = ['MAX_MEMBERS', 'members_of_region']

MIN_MEMBERS = 3
MAX_MEMBERS = 5


def members_of_region(
    directory: directories.Directory, region: str
) -> tuple[str, ...]:
    """Return the names of a region's ledger members, sorted.

    Members are entry hosts of the region, at most ``MAX_MEMBERS``. Entry
    hosts of other regions are added as witnesses until there are at least
    ``MIN_MEMBERS`` and an odd number, so that the loss of one host stops no
    operation.
    """
    key = f'ledger/{region}'
    local = [host.name for host in directory.in_region(region)]
    members = rendezvous.rank(key, local)[:MAX_MEMBERS]
    if len(members) < MIN_MEMBERS or len(members) % 2 == 0:
        members.extend(_witnesses(directory, region, key, len(members)))
    return tuple(sorted(members))


def _witnesses(
    directory: directories.Directory, region: str, key: str, member_count: int
) -> list[str]:
    remote = [
        host.name
        for host in directory.with_role('entry')
        if host.region != region
    ]
    missing = MIN_MEMBERS - member_count if member_count < MIN_MEMBERS else 1
    return rendezvous.rank(key, remote)[:missing]
