"""Randomised run of membership and steering over a whole fleet.

The hosts run the program's own code; the network, the upstreams, the callers
and the clock are simulated, and time is virtual. Messages are delayed and
lost, announcements arrive seconds late, clocks run at different rates, hosts
and upstreams restart, processes are paused for seconds, connections between
hosts and to upstreams fail, a region dies, upstreams leave and report a false
status.

Invariants are checked throughout: requests running at an upstream against its
slots, as the upstream counts them; calls of a failure domain against its
share; the growth of calls from remote regions; bytes over each link;
outstanding tickets against reserved slots; no new request to a leaving
upstream.
"""

import asyncio
import collections
import time

from skylarkpitch.settings import deployment
from skylarkpitch.steering import shift
from tests.stand_ins import virtual_fleet
from tests.stand_ins import virtual_time

__all__ = ['run']

SERVICES = ('desk', 'plan')
REGIONS = {'r1': ('d1', 'd2'), 'r2': ('d3', 'd4'), 'r3': ('d5', 'd6')}
EPISODE_S = 30.0
CHECK_S = 0.05
LINK_MBIT_PER_S = 1.0
SHARE_PERCENT = 30.0
SHIFT_PERCENT_PER_S = 10.0


def _site() -> deployment.SiteConfig:
    services = {
        name: {
            'routes': [{'prefix': f'/{name}'}],
            'deadline_s': 2,
            'ramp_s': 0 if name == 'desk' else 1,
            'queue_s': 0.5,
            'queue_length': 50,
        }
        for name in SERVICES
    }
    regions = {
        region: {
            'max_share_percent': 2 * SHARE_PERCENT,
            'failure_domains': {
                domain: {'max_share_percent': SHARE_PERCENT}
                for domain in domains
            },
        }
        for region, domains in REGIONS.items()
    }
    names = sorted(REGIONS)
    links = [
        {
            'between': [one, other],
            'mbit_per_s': LINK_MBIT_PER_S,
            'one_way_ms': 20,
        }
        for one in names
        for other in names
        if one < other
    ]
    base = {
        'services': services,
        'organisations': {},
        'regions': regions,
        'links': links,
        'policy': {
            'shift_percent_per_s': SHIFT_PERCENT_PER_S,
            'credit_lease_s': 0.5,
            'upstream_lease_s': 0.5,
        },
    }
    return deployment.validate_site(base, {}, site='soak')


def _latency_s(one, other) -> float:
    if one.region != other.region:
        return 0.02
    return 0.0015 if one.failure_domain != other.failure_domain else 0.0005


class _Episode:
    """Run of one fleet from its start for ``EPISODE_S``."""

    def __init__(self, *, seed: int) -> None:
        self.world = virtual_fleet.World(
            seed=seed,
            directory_hosts=virtual_fleet.entry_hosts(REGIONS),
            site=_site(),
            latency_s=_latency_s,
        )
        self.rng = self.world.rng
        self.world.loss = self.rng.choice((0.0, 0.01, 0.05))
        self.world.late = self.rng.choice((0.0, 0.05))
        self._wrapped_issuers: set = set()
        self._levels: dict = collections.defaultdict(collections.deque)
        for domain in sum(REGIONS.values(), ()):
            for service in SERVICES:
                for number in range(self.rng.randint(1, 3)):
                    self.world.add_upstream(
                        name=f'{domain}-{service}-{number}',
                        service=service,
                        domain=domain,
                        slots=self.rng.randint(1, 6),
                        work_s=self.rng.choice((0.02, 0.2, 1.5)),
                    )

    async def run(self) -> virtual_fleet.World:
        """Run callers, faults and checks until the episode ends."""
        loop = asyncio.get_running_loop()
        began_s = loop.time()
        await asyncio.sleep(2)
        steps = (self._callers, self._faults, self._checks)
        tasks = [self.world.spawn(step()) for step in steps]
        await asyncio.sleep(began_s + EPISODE_S - loop.time())
        for task in tasks:
            if task.done() and task.exception():
                raise task.exception()
            task.cancel()
        return self.world

    async def _callers(self) -> None:
        world = self.world
        while True:
            rate_per_s = self.rng.choice((50, 200, 400))
            entry_hosts = self.rng.sample(sorted(world.hosts), 5)
            for _ in range(rate_per_s):
                await asyncio.sleep(self.rng.expovariate(rate_per_s))
                world.spawn(self._call(self.rng.choice(entry_hosts)))

    async def _call(self, host: str) -> None:
        outcome = await self.world.call(
            host,
            self.rng.choice(SERVICES),
            organisation=self.rng.choice('abc'),
            deadline_s=self.rng.uniform(0.2, 2.0),
            body_bytes=self.rng.choice((500, 3000, 20_000)),
        )
        self.world.outcomes[outcome] += 1

    async def _faults(self) -> None:
        faults = (
            self._restart_host,
            self._restart_host,
            self._partition,
            self._partition,
            self._kill_region,
            self._pause_host,
            self._pause_host,
            self._disconnect_owner,
            self._disconnect_owner,
            self._restart_upstream,
            self._remove_upstream,
            self._toggle_false_status,
            self._drain,
        )
        while True:
            await asyncio.sleep(self.rng.uniform(0.2, 2))
            self.world.spawn(self.rng.choice(faults)())

    async def _restart_host(self) -> None:
        await self._restart_hosts([self.rng.choice(sorted(self.world.hosts))])

    async def _kill_region(self) -> None:
        domains = REGIONS[self.rng.choice(sorted(REGIONS))]
        dead_upstreams = [u for u in self._upstreams() if u.domain in domains]
        for upstream in dead_upstreams:
            upstream.alive = False
        await self._restart_hosts(
            [
                p.name
                for p in self.world.directory_hosts
                if p.failure_domain in domains
            ]
        )
        for upstream in dead_upstreams:
            upstream.start()

    async def _restart_hosts(self, names: list[str]) -> None:
        for name in names:
            self.world.kill(name)
        await asyncio.sleep(self.rng.uniform(0, 4))
        for name in names:
            if not self.world.hosts[name].peers.alive:
                self.world.start(name)

    async def _pause_host(self) -> None:
        host = self.world.hosts[self.rng.choice(sorted(self.world.hosts))]
        host.running.clear()
        await asyncio.sleep(self.rng.uniform(0.3, 4))
        host.running.set()

    async def _disconnect_owner(self) -> None:
        upstream = self.rng.choice(self._upstreams())
        names = [f'{upstream.domain}-{number}' for number in (1, 2)]
        host = self.rng.choice(names)
        pairs = {frozenset((upstream.name, host)), frozenset(names)}
        self.world.cut |= pairs
        await asyncio.sleep(self.rng.uniform(1, 5))
        self.world.cut -= pairs

    async def _partition(self) -> None:
        names = sorted(self.world.hosts)
        partition = set(self.rng.sample(names, self.rng.randint(1, 6)))
        pairs = {
            frozenset((one, other))
            for one in partition
            for other in names
            if other not in partition
        }
        self.world.cut |= pairs
        await asyncio.sleep(self.rng.uniform(0.5, 6))
        self.world.cut -= pairs

    def _upstreams(self) -> list:
        return list(self.world.upstreams.values())

    async def _restart_upstream(self) -> None:
        upstream = self.rng.choice(self._upstreams())
        upstream.alive = False
        await asyncio.sleep(self.rng.uniform(0, 1))
        upstream.start()

    async def _toggle_false_status(self) -> None:
        upstream = self.rng.choice(self._upstreams())
        upstream.reports_false_status = not upstream.reports_false_status

    async def _remove_upstream(self) -> None:
        upstream = self.rng.choice(self._upstreams())
        for host in self.world.hosts.values():
            if not host.peers.alive:
                continue
            owned = host.membership.handle_leave(
                name=upstream.name, instance=str(upstream.instance)
            )
            if owned:
                upstream.left_s = asyncio.get_running_loop().time()
        if upstream.left_s is not None:
            await asyncio.sleep(self.rng.uniform(2, 4))
            upstream.alive = False
            upstream.start()

    async def _drain(self) -> None:
        names = [upstream.name for upstream in self._upstreams()]
        self.world.drains = frozenset(self.rng.sample(names, 2))
        await asyncio.sleep(self.rng.uniform(0.5, 3))
        self.world.drains = frozenset()

    async def _checks(self) -> None:
        while True:
            await asyncio.sleep(CHECK_S)
            for service in SERVICES:
                self._check_shares(service)
                self._check_tickets(service)
            self._check_links()

    def _check_tickets(self, service: str) -> None:
        for host in self.world.hosts.values():
            outstanding = host.allocator.ticket_issuer.issued.outstanding(
                service
            )
            if outstanding != host.membership.pool.reserved_for_tickets(
                service
            ):
                self.world.violate('tickets')
            if host.allocator.counters()['cap_breaches']:
                self.world.violate('cap_breaches')
            if host.allocator.counters()['overload']:
                self.world.violate('overload')

    def _check_shares(self, service: str) -> None:
        fleet = sum(u.slots for u in self._upstreams() if u.service == service)
        for host in self.world.hosts.values():
            self._check_issued_tickets(host, service, fleet)
        for region, domains in REGIONS.items():
            total = 0
            for domain in domains:
                level = self._running(domain, service)
                total += level
                if level > max(2, fleet * SHARE_PERCENT / 100):
                    self.world.violate('share_of_domain')
            if total > max(4, fleet * 2 * SHARE_PERCENT / 100):
                self.world.violate(f'share_of_region_{region}')

    def _running(self, domain: str, service: str) -> int:
        return sum(
            host.membership.pool.in_use(service)
            + host.allocator.ticket_issuer.issued.outstanding(service)
            for host in self.world.hosts.values()
            if host.directory_host.failure_domain == domain
            and host.peers.alive
        )

    def _check_issued_tickets(self, host, service: str, fleet: int) -> None:
        """Check the growth at every later issue of tickets by a host."""
        issuer = host.allocator.ticket_issuer
        if (host, service) in self._wrapped_issuers:
            return
        self._wrapped_issuers.add((host, service))
        issue = issuer.issue

        def issue_and_check(name, **options):
            issued = issue(name, **options)
            if name == service:
                level = issuer.cross_region_level(service)
                self._check_shift(host, service, level, fleet)
            return issued

        issuer.issue = issue_and_check

    def _check_shift(self, host, service, level, fleet) -> None:
        now_s = asyncio.get_running_loop().time()
        samples = self._levels[host, service]
        samples.append((now_s, level))
        while samples[0][0] < now_s - 2 * shift.PEAK_BUCKET_S - 1:
            samples.popleft()
        before = [x for at_s, x in samples if at_s <= now_s - 1]
        peak = max(before, default=0)
        region_hosts = 4
        rate_per_s = fleet * SHIFT_PERCENT_PER_S / 100 / region_hosts
        if before and level > peak + max(1.0, rate_per_s) + 1e-9:
            self.world.violate('shift')

    def _check_links(self) -> None:
        now_s = asyncio.get_running_loop().time()
        crossings = self.world.crossings
        crossings[:] = [x for x in crossings if x[0] > now_s - 1]
        spent: collections.Counter = collections.Counter()
        for _, pair, size in crossings:
            spent[pair] += size
        if max(spent.values(), default=0) > LINK_MBIT_PER_S * 125_000:
            self.world.violate('link_bytes')


def run(*, seed: int, seconds: float) -> dict:
    """Run episodes from ``seed`` for about ``seconds`` of real time."""
    ends_s = time.monotonic() + seconds
    violations: collections.Counter = collections.Counter()
    outcomes: collections.Counter = collections.Counter()
    steps = episodes = 0
    while not episodes or time.monotonic() < ends_s:
        world = virtual_time.run(_episode(seed=seed * 1000 + episodes))
        violations.update(world.violations)
        outcomes.update(world.outcomes)
        steps += world.steps
        episodes += 1
    return {
        'steps': steps,
        'violations': sum(violations.values()),
        'kinds': dict(violations),
        'episodes': episodes,
        'virtual_s': episodes * EPISODE_S,
        'outcomes': dict(outcomes),
    }


async def _episode(*, seed: int) -> virtual_fleet.World:
    return await _Episode(seed=seed).run()
