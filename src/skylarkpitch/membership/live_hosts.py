"""Tell which entry hosts of the own failure domain live."""

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
    """Remember when each host was last heard and what it said."""

    def __init__(self, *, own: str, others: int = 0) -> None:
        self._own = own
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
        """Take a sign of life."""
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
        """Take it that a host owns slots until ``until_s`` at least."""
        contact = self._contacts.get(host)
        if contact is not None:
            contact.slots = slots
            contact.slots_until_s = until_s

    def clear_owned_slots(self) -> None:
        """Forget what the others own; some of it is changing hands."""
        for contact in self._contacts.values():
            contact.slots = {}

    def remove(self, host: str) -> None:
        """Take it that a host does not answer."""
        self._contacts.pop(host, None)

    def live(self, *, now_s: float) -> tuple[str, ...]:
        """Return the hosts heard lately, stopping ones included."""
        return tuple(
            host
            for host, contact in sorted(self._contacts.items())
            if now_s - contact.last_contact_s <= self.contact_timeout_s
        )

    def preferred_owner(self, upstream: str, *, now_s: float) -> str | None:
        """Return the host that should own an upstream, if any can."""
        hosts = [
            host
            for host in self.live(now_s=now_s)
            if not self._contacts[host].stopping
        ]
        if not self.stopping:
            hosts.append(self._own)
        return rendezvous.first(upstream, hosts)

    def is_stable(self, host: str, *, now_s: float) -> bool:
        """Tell whether a host has lived long enough to take over."""
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
