"""One-time tickets for slots of other entry hosts.

A ticket is the right to use one slot of the host that issued it. The issuer
reserves a slot for each ticket until the ticket is redeemed, returned or
expired. A ticket expires later by the issuer's clock than by the client's.
"""

import dataclasses

from skylarkpitch import errors
from skylarkpitch import sentinels

__all__ = ['IssuedTicket', 'ReceivedTickets', 'IssuedTickets', 'reservation_s']

# Time for a call to reach the issuer after its ticket was used.
GRACE_S = 0.25


def reservation_s(*, lease_s: float, drift: float) -> float:
    """Return how long an issuer reserves a slot for a ticket.

    The client counts ``lease_s`` from before it sent the request, on a clock
    that may run slow by ``drift``, a fraction. Its call may then take
    ``GRACE_S`` to arrive.
    """
    return lease_s * (1 + drift) / (1 - drift) + GRACE_S


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class IssuedTicket:
    """Outstanding ticket; ``client`` is the name of the receiving host."""

    service: str
    client: str
    cross_region: bool
    expires_s: float


class IssuedTickets:
    """Outstanding tickets of an issuer, by ticket."""

    def __init__(self) -> None:
        self._tickets: dict[str, IssuedTicket] = {}
        self._outstanding: dict[str, int] = {}
        self._outstanding_cross_region: dict[str, int] = {}

    def outstanding(self, service: str) -> int:
        """Return the number of outstanding tickets for a service."""
        return self._outstanding.get(service, 0)

    def outstanding_cross_region(self, service: str) -> int:
        """Return the number of outstanding tickets of remote regions."""
        return self._outstanding_cross_region.get(service, 0)

    def issue(self, ticket: str, issued: IssuedTicket) -> None:
        """Store a new ticket, for which a slot has been reserved.

        Raises ``InvariantError`` for a ticket that is outstanding already.
        """
        if ticket in self._tickets:
            raise errors.InvariantError(
                'a ticket was issued twice; report this as a defect'
            )
        self._tickets[ticket] = issued
        self._count(issued, 1)

    def redeem(
        self, ticket: str, *, now_s: float
    ) -> IssuedTicket | sentinels.Absent:
        """Remove and return a ticket that has not expired.

        Returns ``Absent`` with reason ``ticket_unknown`` for one that was
        never issued, has been redeemed or returned, or has expired.
        """
        issued = self._tickets.get(ticket)
        if issued is None or issued.expires_s <= now_s:
            return sentinels.Absent('ticket_unknown')
        return self._remove(ticket)

    def remove_returned(
        self, ticket: str, *, client: str
    ) -> IssuedTicket | None:
        """Remove and return a ticket that was issued to ``client``.

        Returns None for any other ticket.
        """
        issued = self._tickets.get(ticket)
        if issued is None or issued.client != client:
            return None
        return self._remove(ticket)

    def expire(self, *, now_s: float) -> list[IssuedTicket]:
        """Remove and return the expired tickets."""
        expired = [
            ticket
            for ticket, issued in self._tickets.items()
            if issued.expires_s <= now_s
        ]
        return [self._remove(ticket) for ticket in expired]

    def _remove(self, ticket: str) -> IssuedTicket:
        issued = self._tickets.pop(ticket)
        self._count(issued, -1)
        return issued

    def _count(self, issued: IssuedTicket, change: int) -> None:
        service = issued.service
        self._outstanding[service] = self._outstanding.get(service, 0) + change
        if issued.cross_region:
            self._outstanding_cross_region[service] = (
                self._outstanding_cross_region.get(service, 0) + change
            )


@dataclasses.dataclass(frozen=True, slots=True)
class _ReceivedTicket:
    ticket: str
    received_s: float
    expires_s: float


class ReceivedTickets:
    """Unused tickets of a client, by service and issuer."""

    def __init__(self) -> None:
        self._by_service: dict[str, dict[str, list[_ReceivedTicket]]] = {}

    def add(
        self,
        service: str,
        issuer: str,
        tickets: tuple[str, ...],
        *,
        now_s: float,
        expires_s: float,
    ) -> None:
        """Store tickets, which can be used until ``expires_s``."""
        received = self._by_service.setdefault(service, {}).setdefault(
            issuer, []
        )
        received.extend(
            _ReceivedTicket(ticket, now_s, expires_s) for ticket in tickets
        )

    def count(self, service: str) -> int:
        """Return the number of stored tickets, including expired ones."""
        return sum(
            len(received)
            for received in self._by_service.get(service, {}).values()
        )

    def issuers(self, service: str) -> list[str]:
        """Return the issuers of the stored tickets for a service."""
        return [
            name
            for name, received in self._by_service.get(service, {}).items()
            if received
        ]

    def pop(self, service: str, issuer: str, *, now_s: float) -> str | None:
        """Remove and return the newest valid ticket, or None."""
        received = self._by_service.get(service, {}).get(issuer)
        while received:
            item = received.pop()
            if item.expires_s > now_s:
                return item.ticket
        return None

    def pop_idle(self, *, now_s: float, idle_s: float) -> dict[str, list[str]]:
        """Remove the tickets that were stored at least ``idle_s`` ago.

        Returns those that have not expired, by issuer.
        """
        unused: dict[str, list[str]] = {}
        for issuers in self._by_service.values():
            for issuer, received in issuers.items():
                idle = [x for x in received if now_s - x.received_s >= idle_s]
                if idle:
                    received[:] = [
                        x for x in received if now_s - x.received_s < idle_s
                    ]
                    unused.setdefault(issuer, []).extend(
                        x.ticket for x in idle if x.expires_s > now_s
                    )
        return unused
