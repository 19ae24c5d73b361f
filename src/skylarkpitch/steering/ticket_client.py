"""Request and use tickets for slots of other entry hosts.

The nearest hosts are used first. A ticket of a remote region is used only
while the budget of the link to that region has enough bytes left.
"""

import asyncio
from collections.abc import Callable
import math
import random

from skylarkpitch.messages import steering as messages
from skylarkpitch.peers import directory as directories
from skylarkpitch.peers import network
from skylarkpitch import ports
from skylarkpitch.settings import deployment
from skylarkpitch.steering import backoff
from skylarkpitch.steering import demand
from skylarkpitch.steering import link_budget
from skylarkpitch.steering import rates
from skylarkpitch.steering import remote_slot
from skylarkpitch.steering import shares
from skylarkpitch.steering import tickets
from skylarkpitch.steering import tiers

__all__ = ['TicketClient']

REQUEST_TIMEOUT_S = 0.4
MAX_HOSTS_PER_DOMAIN = 2
MAX_HOSTS_PER_TIER = 8
# Longest backoff towards a host that has queued this host's calls.
MAX_QUEUED_BACKOFF_S = 0.1
# Unused tickets are returned after this time.
MAX_TICKET_IDLE_S = 0.15
MAX_REQUESTED_TICKETS = 64
# Tickets are prefetched for two round trips and this margin.
PREFETCH_MARGIN_S = 0.01
# Weight of a new value in a moving average.
ROUND_TRIP_SMOOTHING = 0.3
SERVICE_TIME_SMOOTHING = 0.05
RATE_TIME_CONSTANT_S = 0.5
# Minimum time between two surveys of other failure domains.
SURVEY_INTERVAL_S = 0.2
SURVEY_INTERVAL_PER_DOMAIN_S = 0.02
MAX_TRACKED_REQUESTS = 1000


class TicketClient:
    """Store unused tickets of other hosts and request more when needed.

    ``received`` stores the unused tickets, ``counts`` has the counters.
    """

    def __init__(
        self,
        *,
        peers: network.Peers,
        fleet: shares.FleetSlots,
        clock: Callable[[], float],
        rng: random.Random,
    ) -> None:
        self.received = tickets.ReceivedTickets()
        self.counts = dict.fromkeys(
            ('asked', 'borrowed', 'used', 'returned', 'link_refused'), 0
        )
        self._peers = peers
        self._fleet_slots = fleet
        self._clock = clock
        self._rng = rng
        self._local_host = peers.directory.local_host
        self._config: deployment.SiteConfig | None = None
        self._budgets: dict[str, link_budget.LinkBudget] = {}
        self._backoff = backoff.HostBackoff(rng=rng)
        self._usage_rates: dict[str, rates.RateMeter] = {}
        self._running: dict[str, int] = {}
        self._requested: dict[tuple[str, str], int] = {}
        self._queued_at: set[tuple[str, str]] = set()
        self._last_number = 0
        self._last_surveyed = 0
        self._sent_s: dict[int, float] = {}
        self._service_times_s: dict[str, float] = {}
        self._tiers: list[list[str]] = []
        self._round_trips_s: dict[str, float] = {}
        self._hosts: dict[str, list[directories.Host]] = {}
        for host in peers.directory.with_role('entry'):
            if host.name != self._local_host.name:
                self._hosts.setdefault(host.failure_domain, []).append(host)

    def configure(self, config: deployment.SiteConfig) -> None:
        """Apply a configuration; no effect for the one in use.

        It determines the order of failure domains by distance and the byte
        budgets of the links to remote regions.
        """
        if config is self._config:
            return
        self._config = config
        self._tiers = tiers.domain_tiers(self._peers.directory, config)
        local_region = self._local_host.region
        hosts = len(self._peers.directory.in_region(local_region))
        self._budgets = {}
        for link in config.links:
            if local_region not in link.between:
                continue
            one, other = link.between
            remote_region = other if one == local_region else one
            self._budgets[remote_region] = link_budget.LinkBudget(
                bytes_per_s=link_budget.host_bytes_per_s(
                    mbit_per_s=link.mbit_per_s, region_hosts=hosts
                )
                * (1 - config.policy.clock_drift_percent / 100),
                now_s=self._clock(),
            )

    def use_ticket(
        self, service: str, *, body_bytes: int, exclude: frozenset[str]
    ) -> remote_slot.RemoteSlot | None:
        """Use one stored ticket, of the nearest issuer that has one.

        Skips the issuers whose relay is in ``exclude`` and those behind a
        link with a budget of less than ``body_bytes``. Returns None when no
        ticket can be used.
        """
        issuers = set(self.received.issuers(service))
        if not issuers:
            return None
        for tier in self._tiers:
            for host in self._issuing_hosts(tier, issuers, exclude):
                slot = self._use_ticket(service, host, body_bytes)
                if slot is not None:
                    return slot
        return None

    def _issuing_hosts(
        self, tier: list[str], issuers: set[str], exclude: frozenset[str]
    ) -> list[directories.Host]:
        hosts = [
            host
            for domain in tier
            for host in self._hosts.get(domain, ())
            if host.name in issuers and f'relay:{host.name}' not in exclude
        ]
        self._rng.shuffle(hosts)
        return hosts

    def request_tickets(
        self,
        service: str,
        *,
        waiting: int,
        flows: tuple[messages.FlowDemand, ...],
    ) -> list[asyncio.Task[None]]:
        """Send requests to the nearest hosts that may have free slots.

        Returns the tasks of the requests. Hosts of equal distance get their
        requests together. A host that refused is skipped until its backoff
        ends; meanwhile farther hosts get requests. ``waiting`` is the number
        of queued calls, ``flows`` divides them by organisation and class.
        """
        wanted = self._tickets_to_request(service, waiting)
        if wanted <= 0:
            return []
        for tier in self._tiers:
            hosts = [
                host
                for domain in tier
                for host in self._available_hosts(service, domain)
            ]
            if len(hosts) > MAX_HOSTS_PER_TIER:
                hosts = self._rng.sample(hosts, MAX_HOSTS_PER_TIER)
            if hosts:
                share = math.ceil(wanted / len(hosts))
                return [
                    self._start(host, service, share, flows) for host in hosts
                ]
        return []

    def receive_offer(self, issuer: str, offer: messages.TicketOffer) -> None:
        """Store tickets that arrive after the response to a request.

        Tickets for a request that is not tracked any more are returned:
        their time of expiry is unknown.
        """
        sent_s = self._sent_s.get(offer.number)
        if sent_s is None:
            self._peers.send(
                issuer, messages.TicketReturn(tickets=offer.tickets)
            )
            return
        self.counts['borrowed'] += len(offer.tickets)
        self.received.add(
            offer.service,
            issuer,
            offer.tickets,
            now_s=self._clock(),
            expires_s=sent_s + offer.expires_in_s,
        )

    def withdraw_demand(self, service: str) -> None:
        """Cancel the queued demand for a service at all other hosts."""
        for key in sorted(key for key in self._queued_at if key[0] == service):
            self._queued_at.discard(key)
            self._peers.send(
                key[1], messages.TicketRequest(service=service, wanted=0)
            )

    def _start(
        self,
        host: directories.Host,
        service: str,
        wanted: int,
        flows: tuple[messages.FlowDemand, ...],
    ) -> asyncio.Task[None]:
        key = (service, host.name)
        self._requested[key] = wanted
        if host.failure_domain != self._local_host.failure_domain:
            flows = demand.scale_down(flows, wanted)
        if flows:
            self._queued_at.add(key)
        task = asyncio.create_task(self._request(host, service, wanted, flows))
        task.add_done_callback(lambda _: self._requested.pop(key, None))
        return task

    def needs_tickets(self, service: str) -> bool:
        """Return whether less than half the prefetch target is stored."""
        threshold = self._prefetch_target(service) / 2
        return threshold >= 0.5 and self.received.count(service) < threshold

    def calls_running(self, service: str) -> int:
        """Return the number of calls that use slots of other hosts now."""
        return self._running.get(service, 0)

    def requested(self, service: str) -> int:
        """Return the number of tickets in requests without a response."""
        return sum(
            count
            for key, count in self._requested.items()
            if key[0] == service
        )

    def served_per_s(self, service: str) -> float:
        """Return how many calls per second end on other hosts' slots.

        It is 0.0 before the first of them has ended.
        """
        running = self.calls_running(service)
        service_time_s = self._service_times_s.get(service)
        return (
            0.0
            if service_time_s is None
            else running / max(service_time_s, 1e-3)
        )

    async def survey(self) -> None:
        """Request the slot counts of the next other failure domain."""
        domains = self._other_domains()
        if domains:
            self._last_surveyed = (self._last_surveyed + 1) % len(domains)
            await self._survey_domain(domains[self._last_surveyed])

    def survey_interval_s(self) -> float:
        """Return the seconds between surveys, more in a larger fleet."""
        return max(
            SURVEY_INTERVAL_S, SURVEY_INTERVAL_PER_DOMAIN_S * len(self._hosts)
        )

    async def survey_all(self) -> None:
        """Request the slot counts of every other failure domain."""
        await asyncio.gather(
            *(self._survey_domain(name) for name in self._other_domains())
        )

    def _other_domains(self) -> list[str]:
        local_domain = self._local_host.failure_domain
        return [domain for domain in self._hosts if domain != local_domain]

    async def _survey_domain(self, domain: str) -> None:
        await self._request(self._rng.choice(self._hosts[domain]), '', 0)

    def return_idle(self) -> None:
        """Return tickets that were unused for ``MAX_TICKET_IDLE_S``."""
        unused = self.received.pop_idle(
            now_s=self._clock(), idle_s=MAX_TICKET_IDLE_S
        )
        for issuer, unused_tickets in unused.items():
            if unused_tickets:
                self.counts['returned'] += len(unused_tickets)
                self._peers.send(
                    issuer,
                    messages.TicketReturn(tickets=tuple(unused_tickets)),
                )

    def _use_ticket(
        self,
        service: str,
        host: directories.Host,
        body_bytes: int,
    ) -> remote_slot.RemoteSlot | None:
        now_s = self._clock()
        budget = self._budgets.get(host.region)
        if budget is not None and not budget.can_spend(
            body_bytes, now_s=now_s
        ):
            self.counts['link_refused'] += 1
            return None
        ticket = self.received.pop(service, host.name, now_s=now_s)
        if ticket is None:
            return None
        if budget is not None:
            budget.spend(body_bytes, now_s=now_s)
        self.counts['used'] += 1
        self._usage_rate(service).add(now_s=now_s)
        self._running[service] = self.calls_running(service) + 1
        return remote_slot.RemoteSlot(
            host=host,
            ticket=ticket,
            finish=lambda exchange: self._finished(
                service, host.name, exchange, now_s
            ),
            account=lambda more_bytes: self._charge_excess(
                host.region, more_bytes
            ),
        )

    def _charge_excess(self, region: str, more_bytes: int) -> None:
        budget = self._budgets.get(region)
        if budget is not None:
            budget.charge_excess(more_bytes, now_s=self._clock())

    def _tickets_to_request(self, service: str, waiting: int) -> int:
        prefetch = math.ceil(self._prefetch_target(service) - 0.5)
        expected = self.received.count(service) + self.requested(service)
        return min(MAX_REQUESTED_TICKETS, waiting + prefetch - expected)

    def _prefetch_target(self, service: str) -> float:
        per_s = self._usage_rate(service).per_s(now_s=self._clock())
        round_trip_s = self._round_trips_s.get(service, 0.0)
        return per_s * (2 * round_trip_s + PREFETCH_MARGIN_S)

    def _usage_rate(self, service: str) -> rates.RateMeter:
        if service not in self._usage_rates:
            self._usage_rates[service] = rates.RateMeter(
                tau_s=RATE_TIME_CONSTANT_S, now_s=self._clock()
            )
        return self._usage_rates[service]

    def _available_hosts(
        self, service: str, domain: str
    ) -> list[directories.Host]:
        now_s = self._clock()
        hosts = [
            host
            for host in self._hosts.get(domain, ())
            if (service, host.name) not in self._requested
            and not self._backoff.is_backing_off(
                service, host.name, now_s=now_s
            )
        ]
        if len(hosts) > MAX_HOSTS_PER_DOMAIN:
            hosts = self._rng.sample(hosts, MAX_HOSTS_PER_DOMAIN)
        return hosts

    async def _request(
        self,
        host: directories.Host,
        service: str,
        wanted: int,
        flows: tuple[messages.FlowDemand, ...] = (),
    ) -> None:
        sent_s = self._clock()
        number = self._next_number(sent_s)
        self.counts['asked'] += 1
        response = await self._peers.request(
            host.name,
            messages.TicketRequest(
                service=service, wanted=wanted, number=number, flows=flows
            ),
            timeout_s=REQUEST_TIMEOUT_S,
        )
        if not isinstance(response, messages.TicketResponse):
            self._back_off(service, host.name)
            return
        if host.failure_domain != self._local_host.failure_domain:
            self._fleet_slots.record(
                host.failure_domain, response.domain_slots
            )
        if not wanted:
            return
        self._record_round_trip(service, self._clock() - sent_s)
        if response.tickets:
            self._backoff.reset(service, host.name)
        else:
            self._back_off(service, host.name)
        self.counts['borrowed'] += len(response.tickets)
        self.received.add(
            service,
            host.name,
            response.tickets,
            now_s=self._clock(),
            expires_s=sent_s + response.expires_in_s,
        )

    def _next_number(self, sent_s: float) -> int:
        self._last_number += 1
        self._sent_s[self._last_number] = sent_s
        if len(self._sent_s) > MAX_TRACKED_REQUESTS:
            del self._sent_s[next(iter(self._sent_s))]
        return self._last_number

    def _record_round_trip(self, service: str, round_trip_s: float) -> None:
        mean_s = self._round_trips_s.setdefault(service, round_trip_s)
        change_s = (round_trip_s - mean_s) * ROUND_TRIP_SMOOTHING
        self._round_trips_s[service] = mean_s + change_s

    def _back_off(self, service: str, host: str) -> None:
        is_queued = (service, host) in self._queued_at
        self._backoff.record_refusal(
            service,
            host,
            now_s=self._clock(),
            max_backoff_s=MAX_QUEUED_BACKOFF_S
            if is_queued
            else backoff.MAX_BACKOFF_S,
        )

    def _finished(
        self,
        service: str,
        issuer: str,
        exchange: ports.ExchangeOutcome,
        used_s: float,
    ) -> None:
        self._running[service] -= 1
        if exchange is ports.ExchangeOutcome.ANSWERED:
            service_time_s = self._clock() - used_s
            mean_s = self._service_times_s.setdefault(service, service_time_s)
            self._service_times_s[service] += (
                service_time_s - mean_s
            ) * SERVICE_TIME_SMOOTHING
        if exchange is ports.ExchangeOutcome.FAILED:
            self._back_off(service, issuer)
