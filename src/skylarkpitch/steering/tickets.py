"""Lend room to other hosts by one-time tickets that run out.

A ticket is a credit of one slot. The lender sets a slot aside for each one
until it is redeemed, given back, or past its time on the lender's clock,
which is later than on the borrower's.
"""

import dataclasses

from skylarkpitch import errors
from skylarkpitch import sentinels

__all__ = ['Lent', 'HeldTickets', 'IssuedTickets', 'held_s']

GRACE_S = 0.25


def held_s(*, lease_s: float, drift: float) -> float:
    """Return how long a lender sets a slot aside for a ticket.

    The borrower counts ``lease_s`` from before it asked, on a clock that
    may run slow by ``drift``, and its call takes ``GRACE_S`` to arrive.
    """
    return lease_s * (1 + drift) / (1 - drift) + GRACE_S


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Lent:
    """One ticket that is out."""

    service: str
    borrower: str
    cross_region: bool
    expires_s: float


class IssuedTickets:
    """Remember the tickets that a lender has handed out."""

    def __init__(self) -> None:
        self._out: dict[str, Lent] = {}
        self._counts: dict[str, int] = {}
        self._cross: dict[str, int] = {}

    def outstanding(self, service: str) -> int:
        """Return the tickets of a service that are out."""
        return self._counts.get(service, 0)

    def outstanding_cross_region(self, service: str) -> int:
        """Return the tickets that are out to other regions."""
        return self._cross.get(service, 0)

    def issue(self, ticket: str, lent: Lent) -> None:
        """Hand out a ticket, for which a slot has been set aside."""
        if ticket in self._out:
            raise errors.InvariantError(
                'a ticket was issued twice; report this as a defect'
            )
        self._out[ticket] = lent
        self._count(lent, 1)

    def redeem(self, ticket: str, *, now_s: float) -> Lent | sentinels.Absent:
        """Take a ticket back, once.

        Returns ``Absent`` with reason ``ticket_unknown`` for one that was
        never issued, has been redeemed, or has run out.
        """
        lent = self._out.get(ticket)
        if lent is None or lent.expires_s <= now_s:
            return sentinels.Absent('ticket_unknown')
        return self._remove(ticket)

    def returned(self, ticket: str, *, borrower: str) -> Lent | None:
        """Take back a ticket that its borrower does not use."""
        lent = self._out.get(ticket)
        if lent is None or lent.borrower != borrower:
            return None
        return self._remove(ticket)

    def expire(self, *, now_s: float) -> list[Lent]:
        """Remove and return the tickets that have run out."""
        late = [t for t, lent in self._out.items() if lent.expires_s <= now_s]
        return [self._remove(ticket) for ticket in late]

    def _remove(self, ticket: str) -> Lent:
        lent = self._out.pop(ticket)
        self._count(lent, -1)
        return lent

    def _count(self, lent: Lent, change: int) -> None:
        service = lent.service
        self._counts[service] = self._counts.get(service, 0) + change
        if lent.cross_region:
            self._cross[service] = self._cross.get(service, 0) + change


@dataclasses.dataclass(frozen=True, slots=True)
class _Held:
    ticket: str
    got_s: float
    expires_s: float


class HeldTickets:
    """Hold the tickets that a borrower may use, by service and lender."""

    def __init__(self) -> None:
        self._held: dict[str, dict[str, list[_Held]]] = {}

    def put(
        self,
        service: str,
        lender: str,
        tickets: tuple[str, ...],
        *,
        now_s: float,
        expires_s: float,
    ) -> None:
        """Keep tickets until ``expires_s``."""
        kept = self._held.setdefault(service, {}).setdefault(lender, [])
        kept.extend(_Held(ticket, now_s, expires_s) for ticket in tickets)

    def count(self, service: str) -> int:
        """Return the tickets held for a service, expired ones included."""
        return sum(len(held) for held in self._held.get(service, {}).values())

    def lenders(self, service: str) -> list[str]:
        """Return the lenders of the tickets held for a service."""
        return [h for h, held in self._held.get(service, {}).items() if held]

    def take(self, service: str, lender: str, *, now_s: float) -> str | None:
        """Remove and return the ticket that lives longest, if one lives."""
        held = self._held.get(service, {}).get(lender)
        while held:
            item = held.pop()
            if item.expires_s > now_s:
                return item.ticket
        return None

    def idle(self, *, now_s: float, idle_s: float) -> dict[str, list[str]]:
        """Remove tickets held for ``idle_s`` or run out; by lender."""
        unused: dict[str, list[str]] = {}
        for lenders in self._held.values():
            for lender, held in lenders.items():
                old = [x for x in held if now_s - x.got_s >= idle_s]
                if old:
                    held[:] = [x for x in held if now_s - x.got_s < idle_s]
                    unused.setdefault(lender, []).extend(
                        x.ticket for x in old if x.expires_s > now_s
                    )
        return unused
