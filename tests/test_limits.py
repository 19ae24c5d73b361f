"""Tests of organisation limits over several hosts."""

import asyncio
import random

import pytest

from skylarkpitch.limits import entitlements
from skylarkpitch.limits import service as limits
from skylarkpitch.limits import shares
from skylarkpitch import sentinels
from skylarkpitch.settings import deployment
from tests.stand_ins import fake_peers
from tests.stand_ins import virtual_time

DOMAINS = ('d1', 'd2', 'd3')
RATE_PER_S = 60.0
BURST = 60.0


def config(rate_per_s=RATE_PER_S, burst=BURST):
    base = {
        'services': {'s': {'routes': [{'prefix': '/'}]}},
        'organisations': {
            'org': {'rate_per_s': rate_per_s, 'burst': burst},
        },
        'regions': {'r1': {'failure_domains': {d: {} for d in DOMAINS}}},
        'policy': {'limit_lease_s': 1.0, 'key_lease_s': 1.0},
    }
    return deployment.validate_site(base, {}, site='x')


class Fleet:
    """Limits of two hosts per failure domain, in virtual time."""

    def __init__(self):
        hosts = [
            fake_peers.host(f'{d}-{i}', failure_domain=d)
            for d in DOMAINS
            for i in (1, 2)
        ]
        self.network = fake_peers.FakeNetwork(hosts=hosts)
        self.config = config()
        self.version = 1
        self.loop = asyncio.get_running_loop()
        self.limits = {host.name: self.make(host.name) for host in hosts}

    def make(self, name):
        return limits.OrganisationLimits(
            peers=self.network.join(name),
            site_config=lambda: self.config,
            config_version=lambda: self.version,
            clock=self.loop.time,
            rng=random.Random(name),
        )

    def change(self, changed):
        self.config = changed
        self.version += 1

    async def __aenter__(self):
        for item in self.limits.values():
            await item.start()
        return self

    async def __aexit__(self, *_):
        for item in self.limits.values():
            await item.stop()

    async def restart(self, name):
        await self.limits[name].stop()
        self.limits[name] = self.make(name)
        await self.limits[name].start()

    async def spend(self, name, deadline_s=1.0, organisation='org'):
        now_s = self.loop.time()
        return await self.limits[name].spend(
            organisation, now_s=now_s, deadline_s=now_s + deadline_s
        )

    async def load(self, names, *, rate_per_s, seconds):
        """Call the hosts ``names`` in turn; return how many were served."""
        calls = []
        for number in range(int(rate_per_s * seconds)):
            name = names[number % len(names)]
            calls.append(asyncio.ensure_future(self.spend(name)))
            await asyncio.sleep(1 / rate_per_s)
        results = await asyncio.gather(*calls)
        return sum(result == 0.0 for result in results)


def with_fleet(scenario):
    async def body():
        async with Fleet() as fleet:
            await asyncio.sleep(4)
            return await scenario(fleet)

    return virtual_time.run(body())


ALL = tuple(f'{d}-{i}' for d in DOMAINS for i in (1, 2))


@pytest.mark.parametrize(
    'names', [ALL[:1], ALL[1:2], ALL[:2], ALL], ids=['1', 'other', '2', 'all']
)
def test_load_within_the_rate_is_served_wherever_it_arrives(names):
    async def scenario(fleet):
        return await fleet.load(names, rate_per_s=50, seconds=10)

    assert with_fleet(scenario) == 500


@pytest.mark.parametrize('names', [ALL[:1], ALL], ids=['1', 'all'])
def test_spend_stays_within_burst_and_rate(names):
    async def scenario(fleet):
        return await fleet.load(names, rate_per_s=300, seconds=5)

    served = with_fleet(scenario)
    window_s = 5 + limits.MAX_WAIT_S
    assert BURST + RATE_PER_S * 4 <= served
    assert served <= BURST + RATE_PER_S * window_s


def test_burst_at_one_host_gets_the_whole_burst():
    async def scenario(fleet):
        calls = [fleet.spend('d1-1') for _ in range(int(BURST))]
        return await asyncio.gather(*calls)

    results = with_fleet(scenario)
    assert sum(result == 0.0 for result in results) >= BURST * 0.9


def test_refusal_names_the_seconds_to_wait():
    async def scenario(fleet):
        await fleet.load(ALL[:1], rate_per_s=600, seconds=1)
        return await fleet.spend('d1-1', deadline_s=0.0)

    result = with_fleet(scenario)
    assert result.reason == 'rate_exceeded'
    assert 0 < float(result.detail) <= limits.MAX_RETRY_AFTER_S


def test_cut_off_domain_keeps_its_entitlement():
    async def scenario(fleet):
        for one in ALL[:2]:
            for other in ALL[2:]:
                fleet.network.cut(one, other)
        await asyncio.sleep(2)
        isolated = fleet.load(ALL[:2], rate_per_s=15, seconds=6)
        connected = fleet.load(ALL[2:], rate_per_s=300, seconds=6)
        return await asyncio.gather(isolated, connected)

    isolated, connected = with_fleet(scenario)
    assert isolated == 90
    window_s = 6 + limits.MAX_WAIT_S
    assert connected <= (BURST + RATE_PER_S * window_s) * 2 / 3


def test_restarted_hosts_spend_nothing_for_a_lease():
    async def scenario(fleet):
        for name in ALL:
            await fleet.restart(name)
        early = await fleet.load(ALL, rate_per_s=60, seconds=0.7)
        await asyncio.sleep(1)
        return early, await fleet.load(ALL, rate_per_s=30, seconds=2)

    assert with_fleet(scenario) == (0, 60)


def test_unknown_organisation_is_refused():
    async def scenario(fleet):
        return await fleet.spend('d1-1', organisation='other')

    assert with_fleet(scenario) == sentinels.Absent('rate_exceeded', '1.000')


def test_lower_limit_holds_within_a_lease():
    async def scenario(fleet):
        await fleet.load(ALL[:1], rate_per_s=50, seconds=2)
        fleet.change(config(rate_per_s=6, burst=6))
        await asyncio.sleep(1.1)
        return await fleet.load(ALL[:1], rate_per_s=100, seconds=4)

    served = with_fleet(scenario)
    assert served <= 6 + 6 * (4 + limits.MAX_WAIT_S)


@pytest.mark.parametrize(
    ('changes', 'at_s', 'usable'),
    [
        ([(0.0, 10)], 1.9, 0),
        ([(0.0, 10)], 2.0, 10),
        ([(5.0, 10)], 5.0, 10),
        ([(0.0, 10), (4.0, 5)], 4.0, 5),
        ([(0.0, 10), (4.0, 20)], 6.9, 10),
        ([(0.0, 10), (4.0, 20)], 7.0, 20),
        ([(0.0, 10), (4.0, 20), (5.0, 5)], 9.0, 5),
    ],
)
def test_entitlement_falls_at_once_and_rises_late(changes, at_s, usable):
    entitlement = entitlements.EntitlementSchedule(start_s=2.0)
    for now_s, amount in changes:
        entitlement.usable(now_s=now_s)
        entitlement.set_target(
            shares.Share(amount, amount), now_s=now_s, grace_s=3.0
        )
    share = entitlement.usable(now_s=at_s)
    assert share == shares.Share(usable, usable)
