"""Borrow room from other hosts: nearest first, within the link budgets."""

import asyncio
from collections.abc import Callable
import math
import random

from skylarkpitch.messages import steering as messages
from skylarkpitch.peers import directory as directories
from skylarkpitch.peers import network
from skylarkpitch import ports
from skylarkpitch.settings import deployment
from skylarkpitch.steering import demand
from skylarkpitch.steering import hold_offs
from skylarkpitch.steering import link_budget
from skylarkpitch.steering import rates
from skylarkpitch.steering import remote_slot
from skylarkpitch.steering import shares
from skylarkpitch.steering import tickets
from skylarkpitch.steering import tiers

__all__ = ['Borrower']

ASK_TIMEOUT_S = 0.4
ASKS_A_DOMAIN = 2
ASKS_A_TIER = 8
HOLD_OFF_NEAR_S = 0.1
IDLE_S = 0.15
MAX_WANTED = 64
PREFETCH_S = 0.01
ROUND_TRIP_WEIGHT = 0.3
HOLD_WEIGHT = 0.05
RATE_TAU_S = 0.5
SURVEY_S = 0.2
SURVEY_A_DOMAIN_S = 0.02
REQUESTS_KEPT = 1000


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
        self.held = tickets.HeldTickets()
        self.counts = dict.fromkeys(
            ('asked', 'borrowed', 'used', 'returned', 'link_refused'), 0
        )
        self._peers = peers
        self._fleet = fleet
        self._clock = clock
        self._rng = rng
        self._own = peers.directory.own
        self._config: deployment.SiteConfig | None = None
        self._budgets: dict[str, link_budget.LinkBudget] = {}
        self._hold_offs = hold_offs.HoldOffs(rng=rng)
        self._used: dict[str, rates.RateMeter] = {}
        self._running: dict[str, int] = {}
        self._asked: dict[tuple[str, str], int] = {}
        self._standing: set[tuple[str, str]] = set()
        self._numbers = 0
        self._surveyed = 0
        self._sent_s: dict[int, float] = {}
        self._holds_s: dict[str, float] = {}
        self._tiers: list[list[str]] = []
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
        self._tiers = tiers.domain_tiers(self._peers.directory, config)
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
    ) -> remote_slot.RemoteSlot | None:
        """Use a ticket in hand, the nearest lender's first."""
        held = set(self.held.lenders(service))
        if not held:
            return None
        for tier in self._tiers:
            for host in self._lenders(tier, held, exclude):
                slot = self._use(service, host, body_bytes)
                if slot is not None:
                    return slot
        return None

    def _lenders(
        self, tier: list[str], held: set[str], exclude: frozenset[str]
    ) -> list[directories.Host]:
        found = [
            host
            for domain in tier
            for host in self._hosts.get(domain, ())
            if host.name in held and f'relay:{host.name}' not in exclude
        ]
        self._rng.shuffle(found)
        return found

    def ask_for_more(
        self,
        service: str,
        *,
        waiting: int,
        flows: tuple[messages.FlowDemand, ...],
    ) -> list[asyncio.Task[None]]:
        """Ask the nearest hosts that may have room; return the tasks.

        Hosts of equal distance are asked together. A host that had too
        little is left out for a while, and then farther ones are asked.
        """
        wanted = self._wanted(service, waiting)
        if wanted <= 0:
            return []
        for tier in self._tiers:
            asked = [
                host
                for domain in tier
                for host in self._askable(service, domain)
            ]
            if len(asked) > ASKS_A_TIER:
                asked = self._rng.sample(asked, ASKS_A_TIER)
            if asked:
                share = math.ceil(wanted / len(asked))
                return [
                    self._start(host, service, share, flows) for host in asked
                ]
        return []

    def offered(self, lender: str, offer: messages.TicketOffer) -> None:
        """Keep tickets that come after the answer to a request."""
        sent_s = self._sent_s.get(offer.number)
        if sent_s is None:
            self._peers.send(
                lender, messages.TicketReturn(tickets=offer.tickets)
            )
            return
        self.counts['borrowed'] += len(offer.tickets)
        self.held.put(
            offer.service,
            lender,
            offer.tickets,
            now_s=self._clock(),
            expires_s=sent_s + offer.expires_in_s,
        )

    def withdraw(self, service: str) -> None:
        """Tell the hosts that were asked that no call waits any more."""
        for key in sorted(key for key in self._standing if key[0] == service):
            self._standing.discard(key)
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
        self._asked[key] = wanted
        if host.failure_domain != self._own.failure_domain:
            flows = demand.at_most(flows, wanted)
        if flows:
            self._standing.add(key)
        task = asyncio.create_task(self._ask(host, service, wanted, flows))
        task.add_done_callback(lambda done: self._asked.pop(key, None))
        return task

    def needs_more(self, service: str) -> bool:
        """Tell whether tickets run short for the rate of their use."""
        low = self._ahead(service) / 2
        return low >= 0.5 and self.held.count(service) < low

    def running(self, service: str) -> int:
        """Return the calls that use borrowed slots now."""
        return self._running.get(service, 0)

    def asked(self, service: str) -> int:
        """Return the tickets that hosts have been asked for."""
        return sum(n for key, n in self._asked.items() if key[0] == service)

    def served_per_s(self, service: str) -> float:
        """Return the rate at which borrowed slots come free."""
        running = self.running(service)
        hold_s = self._holds_s.get(service)
        return 0.0 if hold_s is None else running / max(hold_s, 1e-3)

    async def survey(self) -> None:
        """Ask one host of the next domain for the slots it has there."""
        domains = self._other_domains()
        if domains:
            self._surveyed = (self._surveyed + 1) % len(domains)
            await self._survey_domain(domains[self._surveyed])

    def survey_interval_s(self) -> float:
        """Return the time between surveys: longer for a larger fleet."""
        return max(SURVEY_S, SURVEY_A_DOMAIN_S * len(self._hosts))

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
        unused = self.held.idle(now_s=self._clock(), idle_s=IDLE_S)
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
        body_bytes: int,
    ) -> remote_slot.RemoteSlot | None:
        now_s = self._clock()
        budget = self._budgets.get(host.region)
        if budget is not None and not budget.has(body_bytes, now_s=now_s):
            self.counts['link_refused'] += 1
            return None
        ticket = self.held.take(service, host.name, now_s=now_s)
        if ticket is None:
            return None
        if budget is not None:
            budget.spend(body_bytes, now_s=now_s)
        self.counts['used'] += 1
        self._rate(service).add(now_s=now_s)
        self._running[service] = self.running(service) + 1
        return remote_slot.RemoteSlot(
            lender=host,
            ticket=ticket,
            finish=lambda exchange: self._finished(
                service, host.name, exchange, now_s
            ),
            account=lambda more: self._owe(host.region, more),
        )

    def _owe(self, region: str, more_bytes: int) -> None:
        budget = self._budgets.get(region)
        if budget is not None:
            budget.owe(more_bytes, now_s=self._clock())

    def _wanted(self, service: str, waiting: int) -> int:
        ahead = math.ceil(self._ahead(service) - 0.5)
        coming = self.held.count(service) + self.asked(service)
        return min(MAX_WANTED, waiting + ahead - coming)

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
            if (service, host.name) not in self._asked
            and not self._hold_offs.is_held(service, host.name, now_s=now_s)
        ]
        if len(hosts) > ASKS_A_DOMAIN:
            hosts = self._rng.sample(hosts, ASKS_A_DOMAIN)
        return hosts

    async def _ask(
        self,
        host: directories.Host,
        service: str,
        wanted: int,
        flows: tuple[messages.FlowDemand, ...] = (),
    ) -> None:
        sent_s = self._clock()
        number = self._number(sent_s)
        self.counts['asked'] += 1
        answer = await self._peers.ask(
            host.name,
            messages.TicketRequest(
                service=service, wanted=wanted, number=number, flows=flows
            ),
            timeout_s=ASK_TIMEOUT_S,
        )
        if not isinstance(answer, messages.TicketGrant):
            self._refused(service, host.name)
            return
        if host.failure_domain != self._own.failure_domain:
            self._fleet.note(host.failure_domain, answer.domain_slots)
        if not wanted:
            return
        self._took(service, self._clock() - sent_s)
        if answer.tickets:
            self._hold_offs.lent(service, host.name)
        else:
            self._refused(service, host.name)
        self.counts['borrowed'] += len(answer.tickets)
        self.held.put(
            service,
            host.name,
            answer.tickets,
            now_s=self._clock(),
            expires_s=sent_s + answer.expires_in_s,
        )

    def _number(self, sent_s: float) -> int:
        self._numbers += 1
        self._sent_s[self._numbers] = sent_s
        if len(self._sent_s) > REQUESTS_KEPT:
            del self._sent_s[next(iter(self._sent_s))]
        return self._numbers

    def _took(self, service: str, round_trip_s: float) -> None:
        mean_s = self._round_trips_s.setdefault(service, round_trip_s)
        change_s = (round_trip_s - mean_s) * ROUND_TRIP_WEIGHT
        self._round_trips_s[service] = mean_s + change_s

    def _refused(self, service: str, host: str) -> None:
        near = (service, host) in self._standing
        self._hold_offs.refused(
            service,
            host,
            now_s=self._clock(),
            at_most_s=HOLD_OFF_NEAR_S if near else hold_offs.LONGEST_S,
        )

    def _finished(
        self,
        service: str,
        lender: str,
        exchange: ports.Exchange,
        taken_s: float,
    ) -> None:
        self._running[service] -= 1
        if exchange is ports.Exchange.ANSWERED:
            took_s = self._clock() - taken_s
            mean_s = self._holds_s.setdefault(service, took_s)
            self._holds_s[service] += (took_s - mean_s) * HOLD_WEIGHT
        if exchange is ports.Exchange.FAILED:
            self._refused(service, lender)
