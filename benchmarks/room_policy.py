"""Measure the cost of slot allocation and how it shares scarce slots.

Prints one line for each scenario and then one JSON object. The cost of an
allocation is measured in real time. The other scenarios run the program's own
membership and steering in virtual time, with and without a mechanism.
"""

import asyncio
import collections
import json
import random
import time

from skylarkpitch.membership import pool as pools
from skylarkpitch.membership import slots as upstream_slots
from skylarkpitch.settings import deployment
from skylarkpitch.steering import shift
from tests.stand_ins import fake_peers
from tests.stand_ins import steering_hosts
from tests.stand_ins import virtual_fleet
from tests.stand_ins import virtual_time

__all__ = ['main']

RESERVATIONS = 5000
REGIONS = {'r1': ('d1', 'd2'), 'r2': ('d3', 'd4'), 'r3': ('d5', 'd6')}
UPSTREAM_SLOTS = 8
WORK_S = 0.02


def pick_cost_us(*, upstreams: int, two_choices: bool) -> float:
    """Return the cost of reserving and releasing a slot in the pool alone."""
    pool = pools.Pool(rng=random.Random(1))
    for number in range(upstreams):
        slots = upstream_slots.UpstreamSlots(
            report=upstream_slots.UpstreamReport(slots=8, connections=300),
            ramp_s=0.0,
            now_s=0.0,
        )
        slots.lease_until_s = 1e9
        pool.add(
            pools.Upstream(
                name=f'u{number}',
                service='desk',
                url='',
                instance='i',
                slots=slots,
            )
        )
    if not two_choices:
        pool._select = lambda service, now_s, exclude: min(
            pool.upstreams_of(service), key=pools._load
        )
    reserved = collections.deque()
    began_s = time.perf_counter()
    for _ in range(RESERVATIONS):
        reserved.append(pool.reserve_slot('desk', now_s=1.0, until_s=2.0))
        if len(reserved) > upstreams * 4:
            pool.finish(reserved.popleft(), 'answered', now_s=1.0)
    return (time.perf_counter() - began_s) / RESERVATIONS * 1e6


async def _reserve_cost_us(upstreams: int) -> float:
    hosts = steering_hosts.Hosts(hosts=[fake_peers.host('h1')])
    for number in range(upstreams):
        await hosts.own(
            'h1', name=f'u{number}', slots=8, url=f'http://u{number}'
        )
    caller = virtual_fleet.ports.Caller(organisation='o')
    began_s = time.perf_counter()
    for _ in range(RESERVATIONS):
        slot = await hosts.allocators['h1'].reserve(
            service='desk',
            caller=caller,
            request_class='reads',
            body_bytes=100,
            deadline_s=hosts.clock.now_s + 1,
            exclude=frozenset(),
        )
        slot.finish('answered', latency_s=0.0)
    return (time.perf_counter() - began_s) / RESERVATIONS * 1e6


def _site(share_percent: float) -> deployment.SiteConfig:
    names = sorted(REGIONS)
    return deployment.validate_site(
        {
            'services': {
                'desk': {'routes': [{'prefix': '/'}], 'deadline_s': 5}
            },
            'organisations': {},
            'regions': {
                region: {
                    'max_share_percent': min(100, 2 * share_percent),
                    'failure_domains': {
                        domain: {'max_share_percent': share_percent}
                        for domain in domains
                    },
                }
                for region, domains in REGIONS.items()
            },
            'links': [
                {'between': [a, b], 'mbit_per_s': 4000, 'one_way_ms': 20}
                for a in names
                for b in names
                if a < b
            ],
        },
        {},
        site='bench',
    )


def _latency_s(one, other) -> float:
    if one.region != other.region:
        return 0.02
    return 0.0015 if one.failure_domain != other.failure_domain else 0.0003


def _world(
    *, upstreams: int, domains: tuple[str, ...], share_percent: float
) -> virtual_fleet.World:
    directory_hosts = virtual_fleet.entry_hosts(
        {r: [d for d in ds if d in domains] for r, ds in REGIONS.items()}
    )
    world = virtual_fleet.World(
        seed=1,
        directory_hosts=directory_hosts,
        site=_site(share_percent),
        latency_s=_latency_s,
        drift=0.0,
    )
    for domain in domains:
        for number in range(upstreams):
            world.add_upstream(
                name=f'{domain}-u{number}',
                service='desk',
                domain=domain,
                slots=UPSTREAM_SLOTS,
                work_s=WORK_S,
            )
    return world


class _Load:
    """Poisson calls of several organisations and their outcomes."""

    def __init__(self, *, world: virtual_fleet.World) -> None:
        self._world = world
        self.answered: collections.Counter = collections.Counter()
        self.sent: collections.Counter = collections.Counter()
        self.latencies_s: dict = collections.defaultdict(list)

    async def send(self, organisation, rate_per_s, hosts, *, ends_s) -> None:
        loop = asyncio.get_running_loop()
        rng = random.Random(organisation)
        while loop.time() < ends_s:
            await asyncio.sleep(rng.expovariate(rate_per_s))
            self._world.spawn(self._call(organisation, rng.choice(hosts)))

    async def _call(self, organisation: str, host: str) -> None:
        loop = asyncio.get_running_loop()
        began_s = loop.time()
        self.sent[organisation] += 1
        outcome = await self._world.call(
            host, 'desk', organisation=organisation, deadline_s=2.0
        )
        if outcome == 'answered':
            self.answered[organisation] += 1
            self.latencies_s[organisation].append(loop.time() - began_s)

    def answered_percent(self, organisation: str) -> float:
        return 100 * self.answered[organisation] / self.sent[organisation]

    def p99_ms(self, organisation: str) -> float:
        ordered = sorted(self.latencies_s[organisation])
        return 1000 * ordered[int(len(ordered) * 0.99)]


async def _fairness(*, fair: bool) -> dict:
    """Send calls of seven organisations at their rate, of one at 5 times."""
    world = _world(upstreams=2, domains=('d1',), share_percent=100)
    await asyncio.sleep(8)
    if not fair:
        for host in world.hosts.values():
            enqueue = host.allocator._queue('desk').enqueue
            host.allocator._queue('desk').enqueue = (
                lambda enqueue=enqueue, **o: enqueue(**{**o, 'flow': ('', '')})
            )
    load = _Load(world=world)
    hosts = sorted(world.hosts)
    rates = {f'small{number}': 40.0 for number in range(7)}
    rates['large'] = 5 * 120.0
    ends_s = asyncio.get_running_loop().time() + 20
    await asyncio.gather(
        *(load.send(n, r, hosts, ends_s=ends_s) for n, r in rates.items())
    )
    await asyncio.sleep(3)
    small = [load.answered_percent(name) for name in rates if name != 'large']
    return {
        'worst_answered_percent': round(min(small), 2),
        'worst_over_best_percent': round(100 * min(small) / max(small), 2),
        'large_answered_percent': round(load.answered_percent('large'), 2),
        'small_p99_ms': round(
            max(load.p99_ms(n) for n in rates if n[0] == 's')
        ),
        'violations': sum(world.violations.values()),
    }


async def _region_death(*, capped: bool) -> dict:
    """Kill all upstreams of one region under load; measure all regions."""
    domains = sum(REGIONS.values(), ())
    world = _world(upstreams=3, domains=domains, share_percent=30)
    if not capped:
        shift.ShiftRamp.headroom = lambda self, level, **options: 10**6
        shift.ShiftRamp.record_growth = lambda self, level, **options: None
    await asyncio.sleep(8)
    loop = asyncio.get_running_loop()
    load = _Load(world=world)
    began_s = loop.time()
    calls = [
        world.spawn(
            load.send(
                region,
                800.0,
                [p.name for p in world.directory_hosts if p.region == region],
                ends_s=began_s + 20,
            )
        )
        for region in REGIONS
    ]
    await asyncio.sleep(5)
    for upstream in world.upstreams.values():
        upstream.alive = upstream.domain not in REGIONS['r1']
    levels = [await _highest_cross_region_level(world) for _ in range(200)]
    await asyncio.gather(*calls)
    await asyncio.sleep(3)
    fleet = UPSTREAM_SLOTS * 3 * len(domains)
    growth = max(
        levels[i + 20] - max(levels[: i + 1]) for i in range(len(levels) - 20)
    )
    return {
        'answered_percent_dead_region': round(load.answered_percent('r1'), 2),
        'answered_percent_others': round(
            min(load.answered_percent(r) for r in ('r2', 'r3')), 2
        ),
        'growth_percent_per_s': round(100 * growth / fleet, 2),
        'highest_percent': round(100 * max(levels) / fleet, 2),
        'dead_region_p99_ms': round(load.p99_ms('r1')),
        'violations': sum(world.violations.values()),
    }


async def _highest_cross_region_level(world: virtual_fleet.World) -> int:
    await asyncio.sleep(0.05)
    return max(
        sum(
            host.allocator.ticket_issuer.cross_region_level('desk')
            for host in world.hosts.values()
            if host.directory_host.region == region
        )
        for region in ('r2', 'r3')
    )


def main() -> None:
    """Run every scenario and print its figures."""
    report = {}
    for count in (5, 20):
        report[f'pick_{count}_us'] = {
            'two_choices': round(
                pick_cost_us(upstreams=count, two_choices=True), 1
            ),
            'full_scan': round(
                pick_cost_us(upstreams=count, two_choices=False), 1
            ),
            'take': round(asyncio.run(_reserve_cost_us(count)), 1),
        }
    for fair in (False, True):
        name = f'one_at_5x_{"fair_queue" if fair else "one_queue"}'
        report[name] = virtual_time.run(_fairness(fair=fair))
    for capped in (True, False):
        name = f'region_death_{"capped" if capped else "uncapped"}'
        report[name] = virtual_time.run(_region_death(capped=capped))
    for name, figures in report.items():
        print(name, figures)
    print(json.dumps(report))


if __name__ == '__main__':
    main()
