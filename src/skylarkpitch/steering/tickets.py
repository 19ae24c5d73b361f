"""Lend room to other hosts by one-time tickets that run out.

A ticket is a credit of one slot. The issuer sets a slot aside for each one
until it is redeemed, given back, or past its time on the issuer's clock,
which is later than on the client's.
"""

import dataclasses

from skylarkpitch import errors
from skylarkpitch import sentinels

__all__ = ['IssuedTicket', 'ReceivedTickets', 'IssuedTickets', 'reservation_s']

GRACE_S = 0.25


def reservation_s(*, lease_s: float, drift: float) -> float:
    """Return how long a issuer sets a slot aside for a ticket.

    The client counts ``lease_s`` from before it asked, on a clock that
    may run slow by ``drift``, and its call takes ``GRACE_S`` to arrive.
    """
    return lease_s * (1 + drift) / (1 - drift) + GRACE_S


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class IssuedTicket:
    """One ticket that is out."""

    service: str
    client: str
    cross_region: bool
    expires_s: float


class IssuedTickets:
    """Remember the tickets that a issuer has handed out."""

    def __init__(self) -> None:
        self._tickets: dict[str, IssuedTicket] = {}
        self._outstanding: dict[str, int] = {}
        self._outstanding_cross_region: dict[str, int] = {}

    def outstanding(self, service: str) -> int:
        """Return the tickets of a service that are out."""
        return self._outstanding.get(service, 0)

    def outstanding_cross_region(self, service: str) -> int:
        """Return the tickets that are out to other regions."""
        return self._outstanding_cross_region.get(service, 0)

    def issue(self, ticket: str, issued: IssuedTicket) -> None:
        """Hand out a ticket, for which a slot has been set aside."""
        if ticket in self._tickets:
            raise errors.InvariantError(
                'a ticket was issued twice; report this as a defect'
            )
        self._tickets[ticket] = issued
        self._count(issued, 1)

    def redeem(
        self, ticket: str, *, now_s: float
    ) -> IssuedTicket | sentinels.Absent:
        """Take a ticket back, once.

        Returns ``Absent`` with reason ``ticket_unknown`` for one that was
        never issued, has been redeemed, or has run out.
        """
        issued = self._tickets.get(ticket)
        if issued is None or issued.expires_s <= now_s:
            return sentinels.Absent('ticket_unknown')
        return self._remove(ticket)

    def remove_returned(
        self, ticket: str, *, client: str
    ) -> IssuedTicket | None:
        """Take back a ticket that its client does not use."""
        issued = self._tickets.get(ticket)
        if issued is None or issued.client != client:
            return None
        return self._remove(ticket)

    def expire(self, *, now_s: float) -> list[IssuedTicket]:
        """Remove and return the tickets that have run out."""
        expired = [
            t
            for t, issued in self._tickets.items()
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
    """Hold the tickets that a client may use, by service and issuer."""

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
        """Keep tickets until ``expires_s``."""
        received = self._by_service.setdefault(service, {}).setdefault(
            issuer, []
        )
        received.extend(
            _ReceivedTicket(ticket, now_s, expires_s) for ticket in tickets
        )

    def count(self, service: str) -> int:
        """Return the tickets held for a service, expired ones included."""
        return sum(
            len(received)
            for received in self._by_service.get(service, {}).values()
        )

    def issuers(self, service: str) -> list[str]:
        """Return the lenders of the tickets held for a service."""
        return [
            name
            for name, received in self._by_service.get(service, {}).items()
            if received
        ]

    def pop(self, service: str, issuer: str, *, now_s: float) -> str | None:
        """Remove and return the ticket that lives longest, if one lives."""
        received = self._by_service.get(service, {}).get(issuer)
        while received:
            item = received.pop()
            if item.expires_s > now_s:
                return item.ticket
        return None

    def pop_idle(self, *, now_s: float, idle_s: float) -> dict[str, list[str]]:
        """Remove tickets held for ``idle_s`` or run out; by issuer."""
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
