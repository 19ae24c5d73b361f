"""Say which host holds each failure domain's part of each organisation.

The holders follow from the list of hosts in the settings, never from which
hosts are alive, so that two hosts can't both take themselves for the holder
of one part. The holder is found by rendezvous hashing, see
``peers.rendezvous``.
"""

import functools
import hashlib

from skylarkpitch.limits import shares
from skylarkpitch.peers import directory as directories
from skylarkpitch.peers import rendezvous

__all__ = ['EntitlementHolders']

# One holder a group of organisations and failure domain bounds the messages
# of a host to this number a renewal.
ORGANISATION_GROUPS = 4


def _hash(*parts: str) -> int:
    digest = hashlib.blake2b('\0'.join(parts).encode(), digest_size=8)
    return int.from_bytes(digest.digest(), 'big')


class EntitlementHolders:
    """Name the holders of one directory."""

    def __init__(self, *, directory: directories.Directory) -> None:
        self.own_host = directory.own.name
        self.failure_domain = directory.own.failure_domain
        self._members: dict[str, tuple[str, ...]] = {}
        for host in directory.with_role('entry'):
            members = self._members.get(host.failure_domain, ())
            self._members[host.failure_domain] = (*members, host.name)
        self._domains = tuple(sorted(self._members))
        self._domain_of = {
            name: domain
            for domain, names in self._members.items()
            for name in names
        }
        self.view_digest = f'{_hash(repr(sorted(self._members.items()))):016x}'

    @property
    def host_count(self) -> int:
        """Return the number of entry hosts of the fleet."""
        return len(self._domain_of)

    def domain_of(self, host: str) -> str | None:
        """Return the failure domain of an entry host."""
        return self._domain_of.get(host)

    def local_holder(self, organisation: str) -> str | None:
        """Return the holder in the own failure domain, if it has any."""
        if self.failure_domain not in self._members:
            return None
        return self._holder(self.failure_domain, _group(organisation))

    def remote_holders(self, organisation: str) -> tuple[str, ...]:
        """Return the holders in the other failure domains."""
        return tuple(
            self._holder(domain, _group(organisation))
            for domain in self._domains
            if domain != self.failure_domain
        )

    def entitlement(
        self, organisation: str, limit: shares.Share
    ) -> shares.Share:
        """Return the part of ``limit`` that the own host holds by right."""
        if self.local_holder(organisation) != self.own_host:
            return shares.ZERO
        return limit.scaled(1, len(self._domains))

    @functools.cache  # noqa: B019 - lives as long as the process
    def _holder(self, failure_domain: str, group: int) -> str:
        return rendezvous.rank(str(group), self._members[failure_domain])[0]


@functools.lru_cache(maxsize=100_000)
def _group(organisation: str) -> int:
    return _hash('group', organisation) % ORGANISATION_GROUPS
