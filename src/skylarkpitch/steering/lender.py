"""Lend the room of this host's upstreams to other hosts.

Keeps the caps of the own failure domain: every call that runs here, of own
callers or others, and every ticket that is out counts.
"""

from collections.abc import Callable
import dataclasses
import math

from skylarkpitch import errors
from skylarkpitch.membership import pool as pools
from skylarkpitch import sentinels
from skylarkpitch.settings import deployment
from skylarkpitch.steering import shares
from skylarkpitch.steering import shift
from skylarkpitch.steering import tickets

__all__ = ['Borrower', 'Lender', 'Place']

KEEP_BACK = 0.1


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Place:
    """Where a host stands and with how many others."""

    region: str
    failure_domain: str
    domain_hosts: int
    region_hosts: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Borrower:
    """Host that asks for room."""

    host: str
    region: str
    failure_domain: str


class Lender:
    """Hand out and redeem tickets within room, share and shift."""

    def __init__(
        self,
        *,
        place: Place,
        pool: pools.Pool,
        fleet: shares.FleetSlots,
        new_ticket: Callable[[], str],
    ) -> None:
        self.issued = tickets.IssuedTickets()
        self.open = True
        self._place = place
        self._pool = pool
        self._fleet = fleet
        self._new_ticket = new_ticket
        self._config: deployment.SiteConfig | None = None
        self._cap = 0.0
        self._ramps: dict[str, shift.ShiftRamp] = {}
        self._running_cross: dict[str, int] = {}

    def limit(
        self, service: str, *, config: deployment.SiteConfig, now_s: float
    ) -> int:
        """Return how many calls of a service the share lets run here."""
        return shares.host_limit(
            cap=self._domain_cap(config),
            own_slots=self._own_slots(service, now_s),
            other_slots=self._fleet.others(service),
            domain_hosts=self._place.domain_hosts,
        )

    def share_room(
        self, service: str, *, config: deployment.SiteConfig, now_s: float
    ) -> int:
        """Return how many more calls of a service the share allows."""
        limit = self.limit(service, config=config, now_s=now_s)
        return max(0, limit - self._level(service))

    def level_cross_region(self, service: str) -> int:
        """Return the calls of other regions that run here or may come."""
        running = self._running_cross.get(service, 0)
        return running + self.issued.outstanding_cross_region(service)

    def shift_room(
        self, service: str, *, config: deployment.SiteConfig, now_s: float
    ) -> int:
        """Return how many more calls of other regions may run here."""
        own = self._own_slots(service, now_s)
        return self._ramp(service, now_s).room(
            self.level_cross_region(service),
            rate_per_s=shift.host_rate_per_s(
                shift_percent_per_s=config.policy.shift_percent_per_s,
                fleet_slots=own + self._fleet.others(service),
                region_hosts=self._place.region_hosts,
            )
            * (1 - config.policy.clock_drift_percent / 100),
            now_s=now_s,
        )

    def foreign_began(self, service: str, *, now_s: float) -> None:
        """Take it that a call of another region's caller runs here.

        Raises ``InvariantError`` past :meth:`shift_room`.
        """
        running = self._running_cross.get(service, 0)
        self._running_cross[service] = running + 1
        self._ramp(service, now_s).grow(
            self.level_cross_region(service), now_s=now_s
        )

    def foreign_ended(self, service: str) -> None:
        """Take it that a call of another region's caller has ended."""
        self._running_cross[service] -= 1

    def grant(
        self,
        service: str,
        *,
        borrower: Borrower,
        wanted: int,
        config: deployment.SiteConfig,
        now_s: float,
    ) -> tuple[str, ...]:
        """Return up to ``wanted`` tickets, each with a slot set aside.

        Raises ``InvariantError`` when a cap would be broken.
        """
        count = self._grantable(service, borrower, wanted, config, now_s)
        if count < 1:
            return ()
        count = self._pool.reserve(service, count, now_s=now_s)
        cross = borrower.region != self._place.region
        expires_s = now_s + tickets.held_s(
            lease_s=config.policy.credit_lease_s,
            drift=config.policy.clock_drift_percent / 100,
        )
        granted = tuple(self._new_ticket() for _ in range(count))
        for ticket in granted:
            self.issued.issue(
                ticket,
                tickets.Lent(
                    service=service,
                    borrower=borrower.host,
                    cross_region=cross,
                    expires_s=expires_s,
                ),
            )
        if cross:
            self._ramp(service, now_s).grow(
                self.level_cross_region(service), now_s=now_s
            )
        self._check(service, config, now_s)
        return granted

    def redeem(
        self, ticket: str, *, now_s: float
    ) -> tickets.Lent | sentinels.Absent:
        """Take a ticket back; its slot is then free to be taken."""
        lent = self.issued.redeem(ticket, now_s=now_s)
        if lent:
            self._pool.unreserve(lent.service, 1)
        return lent

    def began(self, lent: tickets.Lent) -> None:
        """Take it that the call of a redeemed ticket runs."""
        if lent.cross_region:
            running = self._running_cross.get(lent.service, 0)
            self._running_cross[lent.service] = running + 1

    def ended(self, lent: tickets.Lent) -> None:
        """Take it that the call of a redeemed ticket has ended."""
        if lent.cross_region:
            self._running_cross[lent.service] -= 1

    def returned(self, given: tuple[str, ...], *, borrower: str) -> set[str]:
        """Free the slots of unused tickets; return their services."""
        services = set()
        for ticket in given:
            lent = self.issued.returned(ticket, borrower=borrower)
            if lent is not None:
                self._pool.unreserve(lent.service, 1)
                services.add(lent.service)
        return services

    def expire(self, *, now_s: float) -> set[str]:
        """Free the slots of tickets that ran out; return their services."""
        late = self.issued.expire(now_s=now_s)
        for lent in late:
            self._pool.unreserve(lent.service, 1)
        return {lent.service for lent in late}

    def _grantable(
        self,
        service: str,
        borrower: Borrower,
        wanted: int,
        config: deployment.SiteConfig,
        now_s: float,
    ) -> int:
        if not self.open:
            return 0
        spare = self._pool.free(service, now_s=now_s)
        if borrower.failure_domain != self._place.failure_domain:
            own = self._own_slots(service, now_s)
            spare -= math.ceil(own * KEEP_BACK)
        room = min(
            spare,
            self.share_room(service, config=config, now_s=now_s),
        )
        if borrower.region != self._place.region:
            room = min(
                room, self.shift_room(service, config=config, now_s=now_s)
            )
        return max(0, min(wanted, room))

    def _ramp(self, service: str, now_s: float) -> shift.ShiftRamp:
        if service not in self._ramps:
            self._ramps[service] = shift.ShiftRamp(now_s=now_s)
        return self._ramps[service]

    def _level(self, service: str) -> int:
        running = self._pool.in_use(service)
        return running + self.issued.outstanding(service)

    def _domain_cap(self, config: deployment.SiteConfig) -> float:
        if config is not self._config:
            self._config = config
            self._cap = shares.domain_cap(
                config,
                region=self._place.region,
                failure_domain=self._place.failure_domain,
            )
        return self._cap

    def _own_slots(self, service: str, now_s: float) -> int:
        return self._pool.slots_of(service, now_s=now_s)

    def _check(
        self, service: str, config: deployment.SiteConfig, now_s: float
    ) -> None:
        limit = self.limit(service, config=config, now_s=now_s)
        if self._level(service) > limit:
            raise errors.InvariantError(
                f'service {service!r} has {self._level(service)} calls and '
                f'tickets over its share of {limit}; report this as a defect'
            )
