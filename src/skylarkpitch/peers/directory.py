"""Look up the hosts of the system, their roles, addresses and public keys."""

from collections.abc import Callable
from collections.abc import Iterable
import dataclasses

__all__ = ['Directory', 'Host']


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Host:
    """One host of the system.

    Addresses are ``ip:port``. Other hosts send messages to ``peers_address``
    and requests with a ticket to ``relay_address``; callers send requests to
    ``callers_address``. The last two are None for a host that does not serve
    callers. ``public_key`` is in Z85, the base-85 encoding of ZeroMQ.
    """

    name: str
    region: str
    failure_domain: str
    roles: tuple[str, ...]
    peers_address: str
    callers_address: str | None
    relay_address: str | None
    public_key: str


class Directory:
    """Store the hosts that a process knows, including the local host.

    ``derive_host`` derives a host that is not in ``hosts`` from its name, or
    returns None. If it is set, all hosts share one key pair, so that a sender
    is identified by the ZeroMQ routing id that it sends.
    """

    def __init__(
        self,
        *,
        local_host: str,
        hosts: Iterable[Host],
        derive_host: Callable[[str], Host | None] | None = None,
    ) -> None:
        self._local_name = local_host
        self._derive_host = derive_host
        self._hosts = {host.name: host for host in hosts}
        self._name_by_key = {
            h.public_key: h.name for h in self._hosts.values()
        }

    @property
    def local_host(self) -> Host:
        """Return the host that this process runs on."""
        return self._hosts[self._local_name]

    def get(self, name: str) -> Host | None:
        """Return the host called ``name``, or None if it is unknown."""
        host = self._hosts.get(name)
        if host is None and self._derive_host is not None:
            return self._derive_host(name)
        return host

    @property
    def shares_key(self) -> bool:
        """Return whether all hosts share the same key pair."""
        return self._derive_host is not None

    def name_of_key(self, public_key: str) -> str | None:
        """Return the name of the host with this public key, or None."""
        return self._name_by_key.get(public_key)

    def name_of_sender(self, *, public_key: str, routing_id: bytes) -> str:
        """Return the name of a message's sender; empty if it is unknown.

        The public key identifies the sender, or the routing id if all hosts
        share one key pair.
        """
        if not self.shares_key:
            return self.name_of_key(public_key) or ''
        name = routing_id.decode('ascii', 'replace')
        return name if self.get(name) is not None else ''

    def all(self) -> tuple[Host, ...]:
        """Return every host, sorted by name."""
        return tuple(self._hosts[name] for name in sorted(self._hosts))

    def with_role(self, role: str) -> tuple[Host, ...]:
        """Return the hosts that have a role, sorted by name."""
        return tuple(host for host in self.all() if role in host.roles)

    def in_failure_domain(
        self, failure_domain: str, *, role: str = 'entry'
    ) -> tuple[Host, ...]:
        """Return the hosts of a failure domain that have a role."""
        return tuple(
            host
            for host in self.with_role(role)
            if host.failure_domain == failure_domain
        )

    def in_region(
        self, region: str, *, role: str = 'entry'
    ) -> tuple[Host, ...]:
        """Return the hosts of a region that have a role."""
        return tuple(
            host for host in self.with_role(role) if host.region == region
        )
