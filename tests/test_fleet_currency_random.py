"""Acknowledged versions reach every entry host of a healthy group in time.

Each row is a series of disturbances of real control hosts, with entry hosts
in each of three regions, in virtual time. A group is healthy if nothing has
disturbed it for ``HEALTHY_S``. While it is, every entry host must have each
version that was acknowledged over ``APPLY_S`` before.
"""

import asyncio
import os
import random

import pytest

from skylarkpitch.consensus import engine as engines
from skylarkpitch.consensus import snapshots
from skylarkpitch.consensus import state as consensus_state
from skylarkpitch.fleet import control_requests
from skylarkpitch.fleet import model
from skylarkpitch.fleet import subscriber as subscribers
from skylarkpitch.fleet import view as views
from skylarkpitch.messages import consensus as messages
from tests.stand_ins import fake_peers
from tests.stand_ins import fleet_cluster
from tests.stand_ins import lossy_network
from tests.stand_ins import virtual_time
from tests import test_fleet_state as fleet_fixtures

TIMING = consensus_state.Timing(
    heartbeat_s=0.12, election_min_s=0.5, election_max_s=1.7
)
LIMITS = engines.Limits(snapshot_entries=20, retained_entries=2)
REGIONS = ('west', 'east', 'nord')
FIRST_HOSTS = 'abcdef'
NEWCOMERS = 'ghijklmnopqrstuvwxyz'
ENTRY_HOSTS_PER_REGION = 1
TOLERATED = 2
CATCH_UP_S = 4.0
# Time from a change of the operator's list to the settings of the hosts.
SEED_LAG_S = 3.0
SEED_HOSTS = 3
HEALTHY_S = 3.0
APPLY_S = 2.5
SETTLE_S = 9.0
DOWN_S = 1.0
PUT_INTERVAL_S = 0.2
CHECK_INTERVAL_S = 0.1
CALL_TIMEOUT_S = 1.0
BIG_ROUTES = 100
# Chunks of a snapshot of these routes, of which one is sent at a time. The
# snapshot takes some 20 of them, or longer than until the next one.
CHUNK_BYTES = 1024
SMALL_CHUNK_BYTES = 128
# Random series in CI; CURRENCY_SEEDS sets a number for runs by hand, and
# CURRENCY_FIRST_SEED the first of them.
SEEDS = int(os.environ.get('CURRENCY_SEEDS', '2'))
FIRST_SEED = int(os.environ.get('CURRENCY_FIRST_SEED', '0'))
# A play that waits for what never comes ends after this virtual time.
MAX_PLAY_S = 400.0

KINDS = {
    'append': messages.AppendRequest,
    'appended': messages.AppendResponse,
    'chunk': messages.SnapshotChunk,
    'chunk_stored': messages.SnapshotResponse,
    'introduction': messages.IntroductionRequest,
}


def _region_of(domain):
    return domain.partition('-')[0]


class _Clock:
    """Time of the running loop, as a clock that can be passed on."""

    def __call__(self):
        return asyncio.get_running_loop().time()


class _EntryHost:
    """A subscriber with its view, which can be restarted."""

    def __init__(self, *, network, name, region):
        self.name = name
        self._network = network
        self._host = model.EntryHost(
            name=name,
            callers_address='10.0.0.1:80',
            region=region,
            failure_domain=f'{region}-0',
        )

    async def start(self, seeds):
        self.seeds = tuple(seeds)
        self.view = views.FleetView()
        self.subscriber = subscribers.Subscriber(
            peers=self._network.join(self.name),
            view=self.view,
            seeds=lambda: self.seeds,
            on_changed=lambda changes: None,
            report=lambda: control_requests.EntryReport(entry_host=self._host),
            on_grant=lambda grant: False,
            region_of=_region_of,
            clock=_Clock(),
        )
        self.started_s = _Clock()()
        await self.subscriber.start()

    async def restart(self, seeds):
        await self.subscriber.stop()
        await self.start(seeds)


class _Play:
    """One play: a control group, entry hosts, and what was acknowledged."""

    def __init__(self, *, rng):
        self.rng = rng
        self.domains = {
            name: f'{REGIONS[number % 3]}-{number // 3}'
            for number, name in enumerate(FIRST_HOSTS)
        }
        self.network = lossy_network.LossyNetwork(hosts=(), delay_s=0.02)
        self.cluster = fleet_cluster.FleetCluster(
            timing=TIMING,
            disk_delay_s=0.002,
            limits=LIMITS,
            network=self.network,
        )
        self.entry_hosts = [
            _EntryHost(
                network=self.network, name=f'{region}{number}', region=region
            )
            for region in REGIONS
            for number in range(ENTRY_HOSTS_PER_REGION)
        ]
        self.clock = _Clock()
        self.disturbed_s = 0.0
        self.disturbances = 0
        self.acknowledged = []
        self.late = []
        self.first_late = ''
        self.lags_at_end_s = {}
        self.max_lag_s = {}
        self._behind_since_s = {}
        self._version = 0
        self._newcomers = iter(NEWCOMERS)
        self._routes = 1
        self._listed = list(FIRST_HOSTS)
        self._lost_until_s = {}
        self._life_cycle = asyncio.Lock()
        self._update_directory()

    def _update_directory(self):
        control = [
            fake_peers.host(
                name,
                region=_region_of(domain),
                failure_domain=domain,
                roles=(),
            )
            for name, domain in self.domains.items()
        ]
        entry = [
            fake_peers.host(host.name, host._host.region, roles=('entry',))
            for host in self.entry_hosts
        ]
        self.network.hosts = (*control, *entry)

    # Disturbances.

    def _begin(self):
        self.disturbances += 1

    def _end(self):
        self.disturbances -= 1
        self.disturbed_s = self.clock()

    def _disturbed(self):
        self.disturbed_s = self.clock()

    def is_healthy(self):
        if self.disturbances:
            return False
        return self.clock() - self.disturbed_s > HEALTHY_S

    def pick(self, role):
        """Return a running host: the leader, of a region, or another."""
        names = sorted(
            self.cluster.logs,
            key=lambda name: (self._lost_until_s.get(name, 0.0), name),
        )
        leaders = [n for n in names if self.cluster.logs[n].is_leader]
        if role == 'leader' and leaders:
            return leaders[0]
        if role in REGIONS:
            near = [n for n in names if self.domains[n].startswith(role)]
            return (near or names)[0]
        others = [name for name in names if name not in leaders]
        return self.rng.choice(others or names)

    def seeds(self, kind):
        """Return seeds as the settings of a host that starts have them."""
        if kind == 'old':
            return tuple('abc')
        if kind == 'dead':
            gone = [n for n in self.domains if n not in self._listed]
            return tuple(gone[-SEED_HOSTS:] or 'abc')
        if kind == 'new':
            new = [n for n in self._listed if n not in FIRST_HOSTS]
            return tuple((new or self._listed)[-SEED_HOSTS:])
        return tuple(self._listed[:SEED_HOSTS])

    async def update_seeds_regularly(self):
        """Write the operator's list to the settings of all hosts."""
        while True:
            listed = self.rng.sample(self._listed, SEED_HOSTS)
            await asyncio.sleep(SEED_LAG_S)
            for name in self.cluster.logs:
                self.cluster.current_seeds[name] = tuple(listed)
            for host in self.entry_hosts:
                host.seeds = tuple(listed)

    async def _claim(self, role):
        """Return a host that may be lost now, within what is tolerated."""
        while True:
            now_s = self.clock()
            lost = [n for n, at in self._lost_until_s.items() if at > now_s]
            name = self.pick(role) if self.cluster.logs else None
            if name is not None and len({*lost, name}) <= TOLERATED:
                self._lost_until_s[name] = float('inf')
                return name
            await asyncio.sleep(0.1)

    def _release(self, name):
        self._lost_until_s[name] = self.clock() + CATCH_UP_S

    async def replace(self, role, seeds='running'):
        async with self._life_cycle:
            name = await self._claim(role)
            newcomer = next(self._newcomers)
            self.domains[newcomer] = self.domains[name]
            self._listed[self._listed.index(name)] = newcomer
            self._update_directory()
            await self._kill(name)
            await asyncio.sleep(DOWN_S)
            await self._start(newcomer, seeds=self.seeds(seeds))
            self._release(name)

    async def kill(self, role, *, wiped=False):
        async with self._life_cycle:
            name = await self._claim(role)
            await self._kill(name)
            if wiped:
                self.cluster.wipe(name)
            await asyncio.sleep(self.rng.choice((0.3, DOWN_S, 4.0)))
            await self._start(name, seeds=self.seeds('running'))
            self._release(name)

    async def wipe(self, role):
        await self.kill(role, wiped=True)

    async def wipe_both(self, role):
        """Wipe as many hosts at once as the group must tolerate."""
        async with self._life_cycle:
            names = [await self._claim(role) for _ in range(TOLERATED)]
            for name in names:
                await self._kill(name)
                self.cluster.wipe(name)
            await asyncio.sleep(DOWN_S)
            for name in names:
                await self._start(name, seeds=self.seeds('running'))
                self._release(name)

    async def power(self, role):
        async with self._life_cycle:
            names = sorted(self.cluster.logs)
            self._begin()
            for name in names:
                self.network.leave(name)
            await self.cluster.stop()
            await asyncio.sleep(DOWN_S)
            for name in names:
                await self._start(name, seeds=self.seeds('running'))
                await asyncio.sleep(self.rng.choice((0.0, 0.1, 0.3)))
            self._end()

    async def _kill(self, name):
        self._disturbed()
        await self.cluster.kill(name)
        self._disturbed()

    async def _start(self, name, *, seeds):
        self.cluster.current_seeds.pop(name, None)
        await self.cluster.start(name, is_first_start=False, seeds=seeds)
        self._disturbed()

    async def _lose(self, loss, for_s):
        self._begin()
        self.network.losses.add(loss)
        await asyncio.sleep(for_s)
        self.network.losses.discard(loss)
        self._end()

    async def _harm(self, role, is_lost, for_s):
        """Lose the messages of a host for which ``is_lost`` is true."""
        name = await self._claim(role)

        def loss(sender, receiver, item):
            return is_lost(name, sender, receiver, item)

        await self._lose(loss, for_s)
        self._release(name)

    async def cut(self, role, for_s=4.0):
        def is_lost(name, sender, receiver, item):
            return name in (sender, receiver)

        await self._harm(role, is_lost, for_s)

    async def cut_from(self, role, for_s=4.0):
        """Lose what a host sends to control hosts."""

        def is_lost(name, sender, receiver, item):
            return sender == name and receiver in self.domains

        await self._harm(role, is_lost, for_s)

    async def cut_to(self, role, for_s=4.0):
        """Lose what control hosts send to a host."""

        def is_lost(name, sender, receiver, item):
            return receiver == name and sender in self.domains

        await self._harm(role, is_lost, for_s)

    async def lose_kind(self, role, kind='append', for_s=4.0):
        """Lose one kind of message from and to a host."""

        def is_lost(name, sender, receiver, item):
            is_kind = isinstance(item, KINDS[kind])
            return is_kind and name in (sender, receiver)

        await self._harm(role, is_lost, for_s)

    async def lose_share(self, role, share=0.1, for_s=4.0):
        def loss(sender, receiver, item):
            return self.rng.random() < share

        await self._lose(loss, for_s)

    async def slow_disk(self, role, delay_s=0.4, for_s=4.0):
        name = await self._claim(role)
        self._begin()
        self.cluster.disk_delays_s[name] = delay_s
        await asyncio.sleep(for_s)
        del self.cluster.disk_delays_s[name]
        # A sync that has begun goes on for its delay.
        await asyncio.sleep(delay_s)
        self._end()
        self._release(name)

    async def big(self, role):
        self._routes = BIG_ROUTES - self._routes

    async def restart_entry_host(self, role, seeds='running'):
        host = self.rng.choice(self.entry_hosts)
        await host.restart(self.seeds(seeds))

    # What goes on beside them.

    async def put_regularly(self):
        while True:
            services = self.cluster.control_services
            if services:
                name = self.rng.choice(sorted(services))
                await self._put(services[name])
            await asyncio.sleep(PUT_INTERVAL_S)

    async def _put(self, service):
        self._version += 1
        version = self._version
        routes = tuple(
            fleet_fixtures.route(name=f'r{number}', path_prefix=f'/{number}/')
            for number in range(self._routes)
        )
        request = fleet_fixtures.put(version, routes=routes)
        try:
            async with asyncio.timeout(CALL_TIMEOUT_S):
                outcome = await service.execute(request)
        except TimeoutError:
            return
        if outcome.outcome == 'accepted':
            self.acknowledged.append((self.clock(), version))

    async def check_regularly(self):
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            self._record_lags()
            if self.is_healthy():
                self._check_entry_hosts()

    def _record_lags(self):
        """Record how long hosts that hear the leader lack what is old."""
        now_s = self.clock()
        logs = self.cluster.logs
        commits = [log.status().commit_index for log in logs.values()] or [0]
        for name, log in logs.items():
            age_s = log.quorum_contact_age_s(now_s=now_s)
            behind = log.status().applied_index < max(commits)
            if age_s > subscribers.MAX_QUORUM_AGE_S or not behind:
                self._behind_since_s.pop(name, None)
                continue
            since_s, index = self._behind_since_s.setdefault(
                name, (now_s, max(commits))
            )
            if log.status().applied_index >= index:
                self._behind_since_s[name] = (now_s, max(commits))
            key = 'healthy' if self.is_healthy() else 'disturbed'
            lag_s = now_s - self._behind_since_s[name][0]
            if lag_s > self.max_lag_s.get(key, (0.0,))[0]:
                self.max_lag_s[key] = (round(lag_s, 2), name, self.trace())

    def _due_version(self):
        due_s = self.clock() - APPLY_S
        due = [item for at_s, item in self.acknowledged if at_s < due_s]
        return max(due, default=0)

    def _check_entry_hosts(self):
        due = self._due_version()
        for host in self.entry_hosts:
            is_started = self.clock() - host.started_s > HEALTHY_S + APPLY_S
            if is_started and host.view.version < due:
                self.late.append((host.name, host.view.version, due))
                if len(self.late) == 1:
                    self.first_late = self.trace()

    def trace(self):
        """Return the state of each control host and entry host."""
        now_s = self.clock()
        lines = [f'at {now_s:.2f}']
        for name, log in sorted(self.cluster.logs.items()):
            status = log.status()
            lines.append(
                f'{name} {self.domains[name]} {status.role}'
                f' term={status.term}'
                f' applied={status.applied_index}'
                f' commit={status.commit_index}'
                f' leader_commit={status.leader_commit_index}'
                f' age_s={log.quorum_contact_age_s(now_s=now_s):.2f}'
                f' voters={",".join(n[0] for n in status.voters)}'
                f' learners={",".join(n[0] for n in status.learners)}'
            )
        for host in self.entry_hosts:
            subscriber = host.subscriber
            lines.append(
                f'{host.name} version={host.view.version}'
                f' index={host.view.index}'
                f' watched={subscriber._watched_source}'
                f' sources={",".join(subscriber._sources._sources)}'
                f' age_s={subscriber.age_s():.2f}'
            )
        return '\n'.join(lines)

    async def run(self, steps):
        await self.cluster.start(FIRST_HOSTS)
        await self.cluster.wait_for_voters(len(FIRST_HOSTS))
        for host in self.entry_hosts:
            await host.start('abc')
        beside = [
            asyncio.create_task(self.put_regularly()),
            asyncio.create_task(self.check_regularly()),
            asyncio.create_task(self.update_seeds_regularly()),
        ]
        await asyncio.sleep(HEALTHY_S)
        running = []
        for action, arguments, pause_s in steps:
            running.append(
                asyncio.create_task(getattr(self, action)(**arguments))
            )
            await asyncio.sleep(pause_s)
        await asyncio.gather(*running)
        await asyncio.sleep(SETTLE_S)
        self.lags_at_end_s = {
            name: round(self.clock() - since_s, 1)
            for name, (since_s, _index) in self._behind_since_s.items()
        }
        for task in beside:
            task.cancel()
        await asyncio.gather(*beside, return_exceptions=True)
        for host in self.entry_hosts:
            await host.subscriber.stop()
        await self.cluster.stop()


def _random_step(rng):
    role = rng.choice(('leader', 'other', *REGIONS))
    for_s = rng.choice((1.5, 3.0, 6.0))
    action, arguments = rng.choice(
        (
            ('wipe', {}),
            ('kill', {}),
            ('power', {}),
            ('cut', {'for_s': for_s}),
            ('cut_from', {'for_s': for_s}),
            ('cut_to', {'for_s': for_s}),
            ('lose_kind', {'kind': rng.choice(list(KINDS)), 'for_s': for_s}),
            ('lose_kind', {'kind': rng.choice(list(KINDS)), 'for_s': for_s}),
            (
                'lose_share',
                {'share': rng.choice((0.02, 0.1, 0.3)), 'for_s': for_s},
            ),
            (
                'slow_disk',
                {'delay_s': rng.choice((0.1, 0.6, 2.0)), 'for_s': for_s},
            ),
            ('big', {}),
            ('restart_entry_host', {'seeds': rng.choice(('old', 'running'))}),
        )
    )
    return action, {'role': role, **arguments}, rng.choice((0.5, 2.0, 6.0))


def _random_steps(rng):
    """Return replacements of the leader in a row, with others between."""
    steps = []
    for _ in range(rng.randint(3, 5)):
        if rng.random() < 0.6:
            steps.append(_random_step(rng))
        seeds = rng.choice(('running', 'new', 'old', 'dead'))
        pause_s = rng.uniform(7.0, 10.0)
        steps.append(('replace', {'role': 'leader', 'seeds': seeds}, pause_s))
    return [*steps, _random_step(rng)]


def _play(*, steps, seed=0):
    async def scenario():
        play = _Play(rng=random.Random(seed))
        async with asyncio.timeout(MAX_PLAY_S):
            await play.run(steps)
        return play

    return virtual_time.run(scenario())


@pytest.fixture
def chunk_bytes(monkeypatch):
    """Set the size of the chunks in which a snapshot is sent."""

    def set_size(size_bytes):
        monkeypatch.setattr(snapshots, 'CHUNK_BYTES', size_bytes)

    set_size(CHUNK_BYTES)
    return set_size


def _describe(play):
    lags = [' '.join(map(str, lag)) for lag in play.max_lag_s.values()]
    late = f'{len(play.late)} late, first {play.late[0]}' if play.late else ''
    return '\n'.join([late, play.first_late, *lags])


# Guards against an entry host that stays at an older configuration while
# the control group is healthy.
@pytest.mark.parametrize('seed', range(FIRST_SEED, FIRST_SEED + SEEDS))
def test_acknowledged_version_reaches_entry_hosts_in_time(chunk_bytes, seed):
    steps = _random_steps(random.Random(seed))
    play = _play(steps=steps, seed=seed)
    assert play.acknowledged
    assert not play.late, f'{steps}\n{_describe(play)}'


# The hosts of one region lose their disks while the state is large, and
# versions go on. The next snapshot is taken before one has been sent.
EMPTIED_REGION = [
    ('big', {'role': 'leader'}, 5.0),
    ('wipe_both', {'role': 'east'}, 5.0),
]


# Guards against entry hosts of one region that stay at an older version:
# both of its control hosts hear the leader, and lack what it has committed.
def test_entry_hosts_of_an_emptied_region_get_versions(chunk_bytes):
    chunk_bytes(SMALL_CHUNK_BYTES)
    play = _play(steps=EMPTIED_REGION)
    assert play.acknowledged
    assert not play.late, _describe(play)


# Guards against a member that never catches up, since the leader sends each
# new snapshot from its beginning and takes them faster than it sends one.
def test_emptied_hosts_of_a_region_catch_up(chunk_bytes):
    chunk_bytes(SMALL_CHUNK_BYTES)
    play = _play(steps=EMPTIED_REGION)
    assert play.acknowledged
    assert all(lag_s < CATCH_UP_S for lag_s in play.lags_at_end_s.values()), (
        f'{play.lags_at_end_s}\n{_describe(play)}'
    )
