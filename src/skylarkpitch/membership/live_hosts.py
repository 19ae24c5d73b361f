"""Track which entry hosts of the failure domain are alive."""

import dataclasses

from skylarkpitch.peers import rendezvous

__all__ = ['LiveHosts']

MIN_CONTACT_TIMEOUT_S = 2.0
CONTACT_TIMEOUT_PER_HOST_S = 0.5
STABLE_AFTER_S = 3.0


@dataclasses.dataclass(slots=True)
class _Contact:
    first_contact_s: float
    last_contact_s: float
    stopping: bool
    slots: dict[str, int]
    slots_until_s: float


class LiveHosts:
    """Last contact of each other host and the slots that it reported.

    ``own_host`` is the name of this host and ``others`` the number of the
    other hosts in its failure domain. ``contact_timeout_s`` grows with that
    number, because a host sends only a few hellos in each round.
    """

    def __init__(self, *, own_host: str, others: int = 0) -> None:
        self._own_host = own_host
        self.contact_timeout_s = max(
            MIN_CONTACT_TIMEOUT_S, CONTACT_TIMEOUT_PER_HOST_S * others
        )
        self._contacts: dict[str, _Contact] = {}
        self.stopping = False

    def record_contact(
        self,
        host: str,
        *,
        stopping: bool,
        now_s: float,
    ) -> None:
        """Record a message from a host.

        A first message, or one after ``contact_timeout_s`` without any, starts
        a new period of contact without known slots.
        """
        contact = self._contacts.get(host)
        if (
            contact is None
            or now_s - contact.last_contact_s > self.contact_timeout_s
        ):
            self._contacts[host] = _Contact(now_s, now_s, stopping, {}, now_s)
            return
        contact.last_contact_s = now_s
        contact.stopping = stopping

    def record_owned_slots(
        self, host: str, slots: dict[str, int], *, until_s: float
    ) -> None:
        """Record that a host owns ``slots`` until ``until_s`` at least.

        ``slots`` counts them by service.
        """
        contact = self._contacts.get(host)
        if contact is not None:
            contact.slots = slots
            contact.slots_until_s = until_s

    def clear_owned_slots(self) -> None:
        """Discard the slots that other hosts reported.

        Called when ownership of an upstream may change: its slots would
        otherwise be counted for two hosts.
        """
        for contact in self._contacts.values():
            contact.slots = {}

    def remove(self, host: str) -> None:
        """Remove a host that does not respond."""
        self._contacts.pop(host, None)

    def live(self, *, now_s: float) -> tuple[str, ...]:
        """Return the hosts with a contact within the timeout, sorted by name.

        Hosts that are stopping are included.
        """
        return tuple(
            host
            for host, contact in sorted(self._contacts.items())
            if now_s - contact.last_contact_s <= self.contact_timeout_s
        )

    def preferred_owner(self, upstream: str, *, now_s: float) -> str | None:
        """Return the host that should own an upstream.

        It is the first by rendezvous hash among the live hosts that aren't
        stopping; None without any.
        """
        hosts = [
            host
            for host in self.live(now_s=now_s)
            if not self._contacts[host].stopping
        ]
        if not self.stopping:
            hosts.append(self._own_host)
        return rendezvous.first(upstream, hosts)

    def is_stable(self, host: str, *, now_s: float) -> bool:
        """Return whether a host may take over owned upstreams.

        It must have been in contact for ``STABLE_AFTER_S``.
        """
        contact = self._contacts.get(host)
        return (
            contact is not None
            and now_s - contact.first_contact_s >= STABLE_AFTER_S
        )

    def owned_slots(self, *, now_s: float) -> dict[str, int]:
        """Return the slots that the other live hosts own, by service."""
        total: dict[str, int] = {}
        for host in self.live(now_s=now_s):
            if self._contacts[host].slots_until_s <= now_s:
                continue
            for service, count in self._contacts[host].slots.items():
                total[service] = total.get(service, 0) + count
        return total
