"""Issue and redeem tickets for slots of this host's upstreams.

Enforces the caps of the local failure domain. Every call that runs here
counts against them, whichever host received it, and so does every
outstanding ticket.
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

__all__ = ['RequestingHost', 'TicketIssuer', 'HostLocation']

# Share of the slots for which other failure domains get no tickets.
LOCAL_RESERVE_SHARE = 0.1


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class HostLocation:
    """Location of this host and the numbers of entry hosts there."""

    region: str
    failure_domain: str
    domain_hosts: int
    region_hosts: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RequestingHost:
    """Host that requests tickets."""

    name: str
    region: str
    failure_domain: str


class TicketIssuer:
    """Issue tickets within the free slots and the caps.

    The caps are the share of the fleet's slots that the failure domain may
    use, and the rate at which calls of remote regions may grow in number
    ("shift"). ``is_issuing`` is False once the host stops.
    """

    def __init__(
        self,
        *,
        location: HostLocation,
        pool: pools.Pool,
        fleet: shares.FleetSlots,
        new_ticket: Callable[[], str],
    ) -> None:
        self.issued = tickets.IssuedTickets()
        self.is_issuing = True
        self._location = location
        self._pool = pool
        self._fleet_slots = fleet
        self._new_ticket = new_ticket
        self._config: deployment.SiteConfig | None = None
        self._cap = 0.0
        self._ramps: dict[str, shift.ShiftRamp] = {}
        self._running_cross_region: dict[str, int] = {}

    def limit(
        self, service: str, *, config: deployment.SiteConfig, now_s: float
    ) -> int:
        """Return how many calls of a service the share cap allows here."""
        return shares.host_limit(
            cap=self._domain_cap(config),
            own_slots=self._own_slots(service, now_s),
            other_slots=self._fleet_slots.slots_elsewhere(service),
            domain_hosts=self._location.domain_hosts,
        )

    def share_headroom(
        self, service: str, *, config: deployment.SiteConfig, now_s: float
    ) -> int:
        """Return how many more calls of a service the share cap allows."""
        limit = self.limit(service, config=config, now_s=now_s)
        return max(0, limit - self._committed_slots(service))

    def cross_region_level(self, service: str) -> int:
        """Return the number of calls and tickets of remote regions."""
        running = self._running_cross_region.get(service, 0)
        return running + self.issued.outstanding_cross_region(service)

    def shift_headroom(
        self, service: str, *, config: deployment.SiteConfig, now_s: float
    ) -> int:
        """Return how many more calls of remote regions may run here."""
        own_slots = self._own_slots(service, now_s)
        return self._ramp(service, now_s).headroom(
            self.cross_region_level(service),
            rate_per_s=shift.host_rate_per_s(
                shift_percent_per_s=config.policy.shift_percent_per_s,
                fleet_slots=own_slots
                + self._fleet_slots.slots_elsewhere(service),
                region_hosts=self._location.region_hosts,
            )
            * (1 - config.policy.clock_drift_percent / 100),
            now_s=now_s,
        )

    def cross_region_call_started(self, service: str, *, now_s: float) -> None:
        """Count a call whose caller is in a remote region.

        Raises ``InvariantError`` if it exceeds :meth:`shift_headroom`.
        """
        running = self._running_cross_region.get(service, 0)
        self._running_cross_region[service] = running + 1
        self._ramp(service, now_s).record_growth(
            self.cross_region_level(service), now_s=now_s
        )

    def cross_region_call_ended(self, service: str) -> None:
        """Stop counting a call whose caller is in a remote region."""
        self._running_cross_region[service] -= 1

    def issue(
        self,
        service: str,
        *,
        client: RequestingHost,
        wanted: int,
        config: deployment.SiteConfig,
        now_s: float,
    ) -> tuple[str, ...]:
        """Issue up to ``wanted`` tickets and reserve a slot for each.

        Raises ``InvariantError`` when a cap is exceeded.
        """
        count = self._issuable(service, client, wanted, config, now_s)
        if count < 1:
            return ()
        count = self._pool.reserve_for_tickets(service, count, now_s=now_s)
        is_cross_region = client.region != self._location.region
        expires_s = now_s + tickets.reservation_s(
            lease_s=config.policy.credit_lease_s,
            drift=config.policy.clock_drift_percent / 100,
        )
        new_tickets = tuple(self._new_ticket() for _ in range(count))
        for ticket in new_tickets:
            self.issued.issue(
                ticket,
                tickets.IssuedTicket(
                    service=service,
                    client=client.name,
                    cross_region=is_cross_region,
                    expires_s=expires_s,
                ),
            )
        if is_cross_region:
            self._ramp(service, now_s).record_growth(
                self.cross_region_level(service), now_s=now_s
            )
        self._check_cap(service, config, now_s)
        return new_tickets

    def redeem(
        self, ticket: str, *, now_s: float
    ) -> tickets.IssuedTicket | sentinels.Absent:
        """Remove an outstanding ticket and release its reservation.

        The caller must reserve the slot for the call at once. Returns
        ``Absent`` with reason ``ticket_unknown`` for a ticket that is not
        outstanding or has expired.
        """
        issued = self.issued.redeem(ticket, now_s=now_s)
        if issued:
            self._pool.release_from_tickets(issued.service, 1)
        return issued

    def redeemed_call_started(self, issued: tickets.IssuedTicket) -> None:
        """Count the call of a redeemed ticket as running."""
        if issued.cross_region:
            running = self._running_cross_region.get(issued.service, 0)
            self._running_cross_region[issued.service] = running + 1

    def redeemed_call_ended(self, issued: tickets.IssuedTicket) -> None:
        """Stop counting the call of a redeemed ticket."""
        if issued.cross_region:
            self._running_cross_region[issued.service] -= 1

    def accept_returned(
        self, returned_tickets: tuple[str, ...], *, client: str
    ) -> set[str]:
        """Release the slots of unused tickets; return their services."""
        services = set()
        for ticket in returned_tickets:
            issued = self.issued.remove_returned(ticket, client=client)
            if issued is not None:
                self._pool.release_from_tickets(issued.service, 1)
                services.add(issued.service)
        return services

    def expire(self, *, now_s: float) -> set[str]:
        """Release the slots of expired tickets; return their services."""
        expired = self.issued.expire(now_s=now_s)
        for issued in expired:
            self._pool.release_from_tickets(issued.service, 1)
        return {issued.service for issued in expired}

    def _issuable(
        self,
        service: str,
        client: RequestingHost,
        wanted: int,
        config: deployment.SiteConfig,
        now_s: float,
    ) -> int:
        if not self.is_issuing:
            return 0
        free_slots = self._pool.free(service, now_s=now_s)
        if client.failure_domain != self._location.failure_domain:
            own_slots = self._own_slots(service, now_s)
            free_slots -= math.ceil(own_slots * LOCAL_RESERVE_SHARE)
        headroom = min(
            free_slots,
            self.share_headroom(service, config=config, now_s=now_s),
        )
        if client.region != self._location.region:
            headroom = min(
                headroom,
                self.shift_headroom(service, config=config, now_s=now_s),
            )
        return max(0, min(wanted, headroom))

    def _ramp(self, service: str, now_s: float) -> shift.ShiftRamp:
        if service not in self._ramps:
            self._ramps[service] = shift.ShiftRamp(now_s=now_s)
        return self._ramps[service]

    def _committed_slots(self, service: str) -> int:
        running = self._pool.in_use(service)
        return running + self.issued.outstanding(service)

    def _domain_cap(self, config: deployment.SiteConfig) -> float:
        if config is not self._config:
            self._config = config
            self._cap = shares.domain_cap(
                config,
                region=self._location.region,
                failure_domain=self._location.failure_domain,
            )
        return self._cap

    def _own_slots(self, service: str, now_s: float) -> int:
        return self._pool.slots_of(service, now_s=now_s)

    def _check_cap(
        self, service: str, config: deployment.SiteConfig, now_s: float
    ) -> None:
        limit = self.limit(service, config=config, now_s=now_s)
        if self._committed_slots(service) > limit:
            raise errors.InvariantError(
                f'service {service!r} has {self._committed_slots(service)} '
                f'calls and tickets over its share of {limit}; report this as '
                'a defect'
            )
