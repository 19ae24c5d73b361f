"""Assign the entitlements of organisations to hosts.

Each failure domain is entitled to an equal part of an organisation's limit.
One entry host of the domain, the holder, has this entitlement and lends it
to the others. The holder is computed by rendezvous hashing over the hosts in
the settings, independent of which hosts are alive, so that two hosts never
both act as the holder of one part.
"""

import functools
import hashlib

from skylarkpitch.limits import shares
from skylarkpitch.peers import directory as directories
from skylarkpitch.peers import rendezvous

__all__ = ['EntitlementHolders']

# All organisations of a group have one holder in each failure domain. This
# limits the messages that a host sends per renewal to the number of groups.
ORGANISATION_GROUPS = 4


def _hash_64(*parts: str) -> int:
    digest = hashlib.blake2b('\0'.join(parts).encode(), digest_size=8)
    return int.from_bytes(digest.digest(), 'big')


class EntitlementHolders:
    """Map organisations to their holders by the hosts of a directory.

    ``view_digest`` is a digest of all entry hosts by failure domain; hosts
    with equal digests compute equal holders.
    """

    def __init__(self, *, directory: directories.Directory) -> None:
        self.local_host = directory.local_host.name
        self.failure_domain = directory.local_host.failure_domain
        self._hosts_by_domain: dict[str, tuple[str, ...]] = {}
        for host in directory.with_role('entry'):
            host_names = self._hosts_by_domain.get(host.failure_domain, ())
            self._hosts_by_domain[host.failure_domain] = (
                *host_names,
                host.name,
            )
        self._failure_domains = tuple(sorted(self._hosts_by_domain))
        self._domain_of = {
            name: domain
            for domain, names in self._hosts_by_domain.items()
            for name in names
        }
        self.view_digest = (
            f'{_hash_64(repr(sorted(self._hosts_by_domain.items()))):016x}'
        )

    @property
    def host_count(self) -> int:
        """Return the number of entry hosts of the fleet."""
        return len(self._domain_of)

    def domain_of(self, host: str) -> str | None:
        """Return the failure domain of an entry host."""
        return self._domain_of.get(host)

    def local_holder(self, organisation: str) -> str | None:
        """Return the holder in the failure domain of this host.

        Returns None if the domain has no entry host.
        """
        if self.failure_domain not in self._hosts_by_domain:
            return None
        return self._holder(self.failure_domain, _group(organisation))

    def remote_holders(self, organisation: str) -> tuple[str, ...]:
        """Return the holders in the other failure domains."""
        return tuple(
            self._holder(domain, _group(organisation))
            for domain in self._failure_domains
            if domain != self.failure_domain
        )

    def entitlement(
        self, organisation: str, limit: shares.Share
    ) -> shares.Share:
        """Return the part of ``limit`` that this host is entitled to."""
        if self.local_holder(organisation) != self.local_host:
            return shares.ZERO
        return limit.scaled(1, len(self._failure_domains))

    @functools.cache  # noqa: B019 - the instance lasts as long as the process
    def _holder(self, failure_domain: str, group: int) -> str:
        return rendezvous.rank(
            str(group), self._hosts_by_domain[failure_domain]
        )[0]


@functools.lru_cache(maxsize=100_000)
def _group(organisation: str) -> int:
    return _hash_64('group', organisation) % ORGANISATION_GROUPS
