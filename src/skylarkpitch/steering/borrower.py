"""Borrow room from other hosts: nearest first, within the link budgets."""

import asyncio
from collections.abc import Callable
import dataclasses
import math
import random

from skylarkpitch.messages import steering as messages
from skylarkpitch.peers import directory as directories
from skylarkpitch.peers import network
from skylarkpitch import ports
from skylarkpitch.settings import deployment
from skylarkpitch.steering import link_budget
from skylarkpitch.steering import rates
from skylarkpitch.steering import shares
from skylarkpitch.steering import tickets

__all__ = ['Borrower', 'RemoteSlot', 'domain_order']

ASK_TIMEOUT_S = 0.4
ASKS_A_DOMAIN = 2
HOLD_OFF_FIRST_S = 0.04
HOLD_OFF_LONGEST_S = 1.0
IDLE_S = 0.3
MAX_WANTED = 64
PREFETCH_S = 0.01
ROUND_TRIP_WEIGHT = 0.3
RATE_TAU_S = 0.5
RELAY_PATH = '/skylark/v1/relay'
TICKET_HEADER = 'Skylark-Ticket'
FAR_MS = 1e6


class RemoteSlot:
    """One slot of an upstream of another host, reached by its relay."""

    def __init__(
        self,
        *,
        lender: directories.Host,
        ticket: str,
        service: str,
        finish: Callable[[str, str, ports.Exchange], None],
        account: Callable[[int], None],
    ) -> None:
        self.upstream = f'relay:{lender.name}'
        self.url = f'http://{lender.relay_address}{RELAY_PATH}'
        self.headers = {TICKET_HEADER: ticket}
        self._lender = lender.name
        self._service = service
        self._finish = finish
        self._account = account

    def finish(self, exchange: ports.Exchange, *, latency_s: float) -> None:
        """Tell how the exchange with the lender's relay ended."""
        self._finish(self._service, self._lender, exchange)

    def account(self, more_bytes: int) -> None:
        """Count bytes over those that the call was expected to need."""
        self._account(more_bytes)


@dataclasses.dataclass(slots=True)
class _HoldOff:
    until_s: float = 0.0
    step: int = 0


def domain_order(
    directory: directories.Directory, config: deployment.SiteConfig
) -> list[tuple[str, str]]:
    """Return (region, failure domain) of all entry hosts, nearest first."""
    own = directory.own
    far_ms = {own.region: -1.0}
    for link in config.links:
        if own.region in link.between:
            one, other = link.between
            far = other if one == own.region else one
            far_ms[far] = link.one_way_ms
    places = {
        (host.region, host.failure_domain)
        for host in directory.with_role('entry')
    }

    def distance(place: tuple[str, str]) -> tuple:
        region, domain = place
        return (
            domain != own.failure_domain,
            far_ms.get(region, FAR_MS),
            domain,
        )

    return sorted(places, key=distance)


class Borrower:
    """Keep tickets of other hosts and ask for more."""

    def __init__(
        self,
        *,
        peers: network.Peers,
        fleet: shares.FleetSlots,
        clock: Callable[[], float],
        rng: random.Random,
    ) -> None:
        self.purse = tickets.Purse()
        self.counts = dict.fromkeys(
            ('asked', 'borrowed', 'used', 'returned', 'link_refused'), 0
        )
        self._peers = peers
        self._fleet = fleet
        self._clock = clock
        self._rng = rng
        self._own = peers.directory.own
        self._config: deployment.SiteConfig | None = None
        self._order: list[tuple[str, str]] = []
        self._budgets: dict[str, link_budget.LinkBudget] = {}
        self._hold_offs: dict[tuple[str, str], _HoldOff] = {}
        self._used: dict[str, rates.RateMeter] = {}
        self._running: dict[str, int] = {}
        self._round_trips_s: dict[str, float] = {}
        self._hosts: dict[str, list[directories.Host]] = {}
        for host in peers.directory.with_role('entry'):
            if host.name != self._own.name:
                self._hosts.setdefault(host.failure_domain, []).append(host)

    def configure(self, config: deployment.SiteConfig) -> None:
        """Take the order of domains and the link budgets from ``config``."""
        if config is self._config:
            return
        self._config = config
        self._order = domain_order(self._peers.directory, config)
        own = self._own.region
        hosts = len(self._peers.directory.in_region(own))
        self._budgets = {}
        for link in config.links:
            if own not in link.between:
                continue
            one, other = link.between
            far = other if one == own else one
            self._budgets[far] = link_budget.LinkBudget(
                bytes_per_s=link_budget.host_bytes_per_s(
                    mbit_per_s=link.mbit_per_s, region_hosts=hosts
                )
                * (1 - config.policy.clock_drift_percent / 100),
                now_s=self._clock(),
            )

    def take(
        self, service: str, *, body_bytes: int, exclude: frozenset[str]
    ) -> RemoteSlot | None:
        """Use a ticket in hand, the nearest lender's first."""
        held = set(self.purse.lenders(service))
        if not held:
            return None
        for region, domain in self._order:
            for host in self._hosts.get(domain, ()):
                if host.name not in held or f'relay:{host.name}' in exclude:
                    continue
                slot = self._use(service, host, region, body_bytes)
                if slot is not None:
                    return slot
        return None

    async def borrow(self, service: str, *, waiting: int) -> bool:
        """Ask the nearest hosts with room; tell whether any lent some."""
        wanted = self._wanted(service, waiting)
        for _, domain in list(self._order):
            asked = self._askable(service, domain)
            if not asked or wanted <= 0:
                continue
            results = await asyncio.gather(
                *(self._ask(host, service, wanted) for host in asked)
            )
            got = sum(results)
            wanted -= got
            if got:
                return True
        return False

    def needs_more(self, service: str) -> bool:
        """Tell whether tickets run short for the rate of their use."""
        low = self._ahead(service) / 2
        return low >= 0.5 and self.purse.count(service) < low

    def running(self, service: str) -> int:
        """Return the calls that use borrowed slots now."""
        return self._running.get(service, 0)

    async def survey(self) -> None:
        """Ask one host of one other domain for the slots it has there."""
        domains = self._other_domains()
        if domains:
            await self._survey_domain(self._rng.choice(domains))

    async def survey_all(self) -> None:
        """Ask one host of each other domain, as :meth:`survey` does."""
        await asyncio.gather(
            *(self._survey_domain(name) for name in self._other_domains())
        )

    def _other_domains(self) -> list[str]:
        own = self._own.failure_domain
        return [domain for domain in self._hosts if domain != own]

    async def _survey_domain(self, domain: str) -> None:
        await self._ask(self._rng.choice(self._hosts[domain]), '', 0)

    def give_back_idle(self) -> None:
        """Return the tickets that nobody has used for a while."""
        unused = self.purse.idle(now_s=self._clock(), idle_s=IDLE_S)
        for lender, left in unused.items():
            if left:
                self.counts['returned'] += len(left)
                self._peers.send(
                    lender, messages.TicketReturn(tickets=tuple(left))
                )

    def _use(
        self,
        service: str,
        host: directories.Host,
        region: str,
        body_bytes: int,
    ) -> RemoteSlot | None:
        now_s = self._clock()
        budget = self._budgets.get(region)
        if budget is not None and not budget.has(body_bytes, now_s=now_s):
            self.counts['link_refused'] += 1
            return None
        ticket = self.purse.take(service, host.name, now_s=now_s)
        if ticket is None:
            return None
        if budget is not None:
            budget.spend(body_bytes, now_s=now_s)
        self.counts['used'] += 1
        self._rate(service).add(now_s=now_s)
        self._running[service] = self.running(service) + 1
        return RemoteSlot(
            lender=host,
            ticket=ticket,
            service=service,
            finish=self._finished,
            account=lambda more: self._owe(region, more),
        )

    def _owe(self, region: str, more_bytes: int) -> None:
        budget = self._budgets.get(region)
        if budget is not None:
            budget.owe(more_bytes, now_s=self._clock())

    def _wanted(self, service: str, waiting: int) -> int:
        ahead = math.ceil(self._ahead(service) - 0.5)
        return min(MAX_WANTED, waiting + ahead - self.purse.count(service))

    def _ahead(self, service: str) -> float:
        per_s = self._rate(service).per_s(now_s=self._clock())
        round_trip_s = self._round_trips_s.get(service, 0.0)
        return per_s * (2 * round_trip_s + PREFETCH_S)

    def _rate(self, service: str) -> rates.RateMeter:
        if service not in self._used:
            self._used[service] = rates.RateMeter(
                tau_s=RATE_TAU_S, now_s=self._clock()
            )
        return self._used[service]

    def _askable(self, service: str, domain: str) -> list[directories.Host]:
        now_s = self._clock()
        hosts = [
            host
            for host in self._hosts.get(domain, ())
            if self._hold_off(service, host.name).until_s <= now_s
        ]
        if len(hosts) > ASKS_A_DOMAIN:
            hosts = self._rng.sample(hosts, ASKS_A_DOMAIN)
        return hosts

    async def _ask(
        self, host: directories.Host, service: str, wanted: int
    ) -> int:
        sent_s = self._clock()
        self.counts['asked'] += 1
        answer = await self._peers.ask(
            host.name,
            messages.TicketRequest(service=service, wanted=wanted),
            timeout_s=ASK_TIMEOUT_S,
        )
        if not isinstance(answer, messages.TicketGrant):
            self._refused(service, host.name)
            return 0
        if host.failure_domain != self._own.failure_domain:
            self._fleet.note(host.failure_domain, answer.domain_slots)
        if not wanted:
            return 0
        if not answer.tickets:
            self._refused(service, host.name)
            return 0
        self._hold_offs.pop((service, host.name), None)
        self._took(service, self._clock() - sent_s)
        self.counts['borrowed'] += len(answer.tickets)
        self.purse.put(
            service,
            host.name,
            answer.tickets,
            now_s=self._clock(),
            expires_s=sent_s + answer.expires_in_s,
        )
        return len(answer.tickets)

    def _took(self, service: str, round_trip_s: float) -> None:
        mean_s = self._round_trips_s.setdefault(service, round_trip_s)
        change_s = (round_trip_s - mean_s) * ROUND_TRIP_WEIGHT
        self._round_trips_s[service] = mean_s + change_s

    def _hold_off(self, service: str, host: str) -> _HoldOff:
        return self._hold_offs.get((service, host), _HoldOff())

    def _refused(self, service: str, host: str) -> None:
        state = self._hold_offs.setdefault((service, host), _HoldOff())
        longest_s = min(HOLD_OFF_LONGEST_S, HOLD_OFF_FIRST_S * 2**state.step)
        state.until_s = self._clock() + longest_s * self._rng.uniform(0.5, 1)
        state.step = min(state.step + 1, 10)

    def _finished(
        self, service: str, lender: str, exchange: ports.Exchange
    ) -> None:
        self._running[service] -= 1
        if exchange is ports.Exchange.FAILED:
            self._refused(service, lender)
