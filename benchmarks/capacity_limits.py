"""Measure the costs of escrow by the number of organisations and hosts."""

import asyncio
import random
import time
import tracemalloc

from benchmarks import capacity_report as reports
from skylarkpitch.limits import service as limit_service
from skylarkpitch.limits import shares
from skylarkpitch.messages import limits as messages
from skylarkpitch.settings import deployment
from tests.stand_ins import fake_peers
from tests.stand_ins import slow_peers
from tests.stand_ins import virtual_time

__all__ = ['measure']

RUN_S = 20.0
WARM_UP_S = 5.0
CALLS_PER_S = 2.0
# Failure domains, hosts per domain and organisations.
FLEET_SIZES = ((3, 2, 8), (3, 2, 32), (6, 4, 32))
FULL_ORGANISATIONS = 100
HOSTS_PER_DOMAIN = 70
MAX_CONTROL_BYTES_PER_S = 3_000
MAX_CONTROL_CORE_PERCENT = 2.4


def _config(domains: int, organisations: int) -> deployment.SiteConfig:
    base = {
        'services': {'s': {'routes': [{'prefix': '/'}]}},
        'organisations': {
            f'o{n}': {'rate_per_s': 200, 'burst': 200}
            for n in range(organisations)
        },
        'regions': {
            'r': {'failure_domains': {f'd{n}': {} for n in range(domains)}}
        },
    }
    return deployment.validate_site(base, {}, site='s')


class _Run:
    """Fleet in which every host spends tokens of each organisation."""

    def __init__(
        self, *, domains: int, hosts_per_domain: int, organisations: int
    ) -> None:
        self._names = [f'o{n}' for n in range(organisations)]
        config = _config(domains, organisations)
        hosts = tuple(
            fake_peers.host(f'd{d}-{n}', failure_domain=f'd{d}')
            for d in range(domains)
            for n in range(hosts_per_domain)
        )
        self.network = slow_peers.SlowNetwork(
            hosts=hosts, rng=random.Random(1)
        )
        self.limits = [
            limit_service.OrganisationLimits(
                peers=self.network.join(host.name),
                site_config=lambda: config,
                config_version=lambda: 1,
                clock=asyncio.get_running_loop().time,
                rng=random.Random(host.name),
            )
            for host in hosts
        ]

    async def run(self) -> dict[str, float]:
        """Return the traffic and CPU use of one host, per second."""
        for limiter in self.limits:
            await limiter.start()
        calls = [
            asyncio.ensure_future(self._call(limiter, name))
            for limiter in self.limits
            for name in self._names
        ]
        await asyncio.sleep(WARM_UP_S)
        self.network.bytes_sent.clear()
        self.network.messages_sent.clear()
        before = self._totals()
        started_s = time.process_time()
        await asyncio.sleep(RUN_S)
        used_s = time.process_time() - started_s
        measurements = self._measurements(used_s, before)
        for task in calls:
            task.cancel()
        for limiter in self.limits:
            await limiter.stop()
        await self.network.close()
        return measurements

    def _totals(self) -> tuple[float, float]:
        """Return the tokens spent and the loan requests sent so far."""
        counters = [limiter.counters() for limiter in self.limits]
        spent = sum(counts['limits_spent'] for counts in counters)
        requests = sum(counts['limits_requests_sent'] for counts in counters)
        return spent, requests

    def _measurements(
        self, used_s: float, before: tuple[float, float]
    ) -> dict[str, float]:
        seconds = RUN_S * len(self.limits)
        spent, requests = self._totals()
        return {
            'bytes_per_s': sum(self.network.bytes_sent.values()) / seconds,
            'messages_per_s': (
                sum(self.network.messages_sent.values()) / seconds
            ),
            'cpu_percent': 100 * used_s / seconds,
            'requests_a_call': (
                (requests - before[1]) / max(1, spent - before[0])
            ),
        }

    async def _call(
        self, limiter: limit_service.OrganisationLimits, name: str
    ) -> None:
        loop = asyncio.get_running_loop()
        rng = random.Random(f'{id(limiter)}{name}')
        while True:
            await asyncio.sleep(rng.expovariate(CALLS_PER_S))
            now_s = loop.time()
            await limiter.spend(name, now_s=now_s, deadline_s=now_s + 1)


async def _run(domains: int, hosts: int, organisations: int) -> dict:
    fleet_run = _Run(
        domains=domains, hosts_per_domain=hosts, organisations=organisations
    )
    return await fleet_run.run()


def _core_costs() -> list[reports.Measurement]:
    """Measure the size of an account and the time of a spend and a grant."""
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]

    async def make() -> limit_service.OrganisationLimits:
        network = fake_peers.FakeNetwork(hosts=[fake_peers.host('h')])
        config = _config(1, 1000)
        return limit_service.OrganisationLimits(
            peers=network.join('h'),
            site_config=lambda: config,
            config_version=lambda: 1,
            rng=random.Random(1),
        )

    service = asyncio.run(make())
    service._configure(time.monotonic())
    size = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    accounts = service._accounts
    spend_us = _spend_us(accounts)
    return [
        reports.Measurement(
            name='limit_account', value=size / 1e6, unit='KB each'
        ),
        reports.Measurement(
            name='limit_spend', value=spend_us, unit='us a call'
        ),
        reports.Measurement(
            name='limit_wish', value=_grant_us(accounts), unit='us a renewal'
        ),
    ]


def _spend_us(accounts) -> float:
    """Return the processor time per spent token, in microseconds."""
    organisation = accounts.organisations()['o1']
    started_s = time.process_time()
    for number in range(20_000):
        organisation.demand.record_call(now_s=1e9 + number / 1000)
        accounts.spend('o1', now_s=1e9 + number / 1000)
    return (time.process_time() - started_s) * 50


def _grant_us(accounts) -> float:
    """Return the processor time per granted loan, in microseconds."""
    accounts.apply_due_entitlements(now_s=2e9)
    loan = messages.RequestedLoan(
        organisation='o2',
        held_rate=0,
        held_burst=0,
        want_rate=shares.MICROTOKENS_PER_TOKEN,
        want_burst=shares.MICROTOKENS_PER_TOKEN,
    )
    started_s = time.process_time()
    for number in range(5_000):
        request = messages.LoanRequest(
            incarnation=number % HOSTS_PER_DOMAIN,
            number=1 + number,
            view=accounts.holders.view_digest,
            urgent=False,
            wishes=(loan,),
        )
        accounts.answer_request('h', request, now_s=2e9 + number / 1000)
    return (time.process_time() - started_s) * 200


def measure() -> list[reports.Measurement]:
    """Return the costs of the limits per organisation and per host."""
    by_size = {size: virtual_time.run(_run(*size)) for size in FLEET_SIZES}
    few, many, wide = (by_size[size] for size in FLEET_SIZES)
    added_organisations = FLEET_SIZES[1][2] - FLEET_SIZES[0][2]
    bytes_per_organisation = (
        many['bytes_per_s'] - few['bytes_per_s']
    ) / added_organisations
    cpu_per_organisation = (
        many['cpu_percent'] - few['cpu_percent']
    ) / added_organisations
    return [
        *_core_costs(),
        reports.Measurement(
            name='escrow_bytes_an_organisation',
            value=bytes_per_organisation,
            unit='B/s/host',
            full_size=bytes_per_organisation * FULL_ORGANISATIONS,
            full_size_unit='B/s/host',
            budget=MAX_CONTROL_BYTES_PER_S,
        ),
        reports.Measurement(
            name='escrow_cpu_an_organisation',
            value=cpu_per_organisation,
            unit='% of a core',
            full_size=cpu_per_organisation * FULL_ORGANISATIONS,
            full_size_unit='% of a core',
            budget=MAX_CONTROL_CORE_PERCENT,
        ),
        reports.Measurement(
            name='escrow_messages_a_host_of_24',
            value=wide['messages_per_s'],
            unit='1/s',
        ),
        reports.Measurement(
            name='escrow_requests_a_call',
            value=wide['requests_a_call'],
            unit='requests',
        ),
    ]
