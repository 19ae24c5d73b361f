"""Fleet of control and entry hosts with a simulated network and log."""

import asyncio
import json
import pathlib
import random
import types

from skylarkpitch.config import commands
from skylarkpitch.config import keys as caller_keys
from skylarkpitch.config import state as states
from skylarkpitch.consensus import ports as consensus_ports
from skylarkpitch.dissemination import follower as followers
from skylarkpitch.dissemination import source as sources
from skylarkpitch.dissemination import tree
from skylarkpitch import errors
from skylarkpitch import sentinels
from tests.stand_ins import fake_peers
from tests.stand_ins import slow_peers

ROOT = pathlib.Path(__file__).parents[2] / 'deployments' / 'mueso'
BASE = (ROOT / 'base.json').read_text()
OVERLAYS = {p.stem: p.read_text() for p in (ROOT / 'overlays').glob('*.json')}
APPEND_S = 0.05


def mueso_hosts(
    *, entry_hosts=10, control=('seoul-a', 'busan-a', 'gwangju-a')
):
    """Return entry hosts spread evenly over the failure domains of mueso.

    The first host of each domain in ``control`` is a control host as well.
    """
    base = json.loads(BASE)
    domains = [
        (region, domain)
        for region, fields in base['regions'].items()
        for domain in fields['failure_domains']
    ]
    hosts = []
    for number in range(entry_hosts):
        region, domain = domains[number % len(domains)]
        is_control = number < len(domains) and domain in control
        roles = ('entry', 'control') if is_control else ('entry',)
        hosts.append(
            fake_peers.host(f'{domain}-{number}', region, domain, roles)
        )
    return tuple(hosts)


def log_status(**fields):
    """Return a status of the replicated log with some of its fields."""
    defaults = {
        'member': 'c1/1',
        'role': 'follower',
        'term': 1,
        'leader': None,
        'commit_index': 0,
        'leader_commit_index': 0,
        'applied_index': 0,
        'voters': (),
        'learners': (),
    }
    return consensus_ports.LogStatus(**defaults | fields)


def watched_log(cluster):
    """Return the log of a control host whose state is current."""
    return types.SimpleNamespace(
        cluster=cluster,
        status=lambda: log_status(leader='a'),
        quorum_contact_age_s=lambda now_s: 0.0,
        state_age_s=lambda now_s: 0.0,
    )


class StandInLog:
    """Committed commands, shared by all members.

    Commits always succeed; reads are confirmed if the leader reaches a
    majority.
    """

    def __init__(self, *, fleet):
        self.fleet = fleet
        self.commands = []
        self.leader = fleet.control[0]

    def has_majority(self, name):
        """Return whether a member reaches a majority of control hosts."""
        return self.fleet.reachable_count(name) * 2 > len(self.fleet.control)


class MemberLog:
    """The ``ControlLog`` of one member."""

    def __init__(self, *, log, name):
        self._log = log
        self._name = name

    async def confirm(self, *, timeout_s):
        if self._log.leader != self._name:
            return sentinels.Absent('not_leader')
        requested_at_s = self._log.fleet.clock_of(self._name)()
        await asyncio.sleep(2 * self._log.fleet.delay_s)
        is_deposed = self._log.leader != self._name
        if is_deposed or not self._log.has_majority(self._name):
            return sentinels.Absent('no_quorum')
        return requested_at_s

    async def submit(self, command, *, timeout_s):
        raise errors.NotLeaderError('call Fleet.commit instead', leader=None)

    def status(self):
        return log_status(
            member=self._name,
            role='leader' if self._log.leader == self._name else 'follower',
            leader=self._log.leader,
            commit_index=len(self._log.commands),
            leader_commit_index=len(self._log.commands),
            voters=self._log.fleet.control,
        )


class Fleet:
    """Start, stop, partition and query the hosts of one test run.

    ``rates`` are the clock rates of hosts, 1.0 where none is given, and
    ``site_of`` returns the site whose state an entry host follows.
    """

    def __init__(
        self,
        *,
        hosts,
        seed=1,
        delay_s=0.02,
        delay_of=None,
        rates=None,
        site_of=lambda host: host.failure_domain,
        **network,
    ):
        self.rng = random.Random(seed)
        self.delay_s = delay_s
        self.hosts = {host.name: host for host in hosts}
        self.network = slow_peers.SlowNetwork(
            hosts=tuple(hosts),
            rng=self.rng,
            delay_s=delay_of or (lambda sender, receiver: delay_s),
            **network,
        )
        self.control = tuple(h.name for h in hosts if 'control' in h.roles)
        self.entry = tuple(h.name for h in hosts if 'entry' in h.roles)
        self.rates = rates or {}
        self.log = StandInLog(fleet=self)
        self.states = {name: states.ControlState() for name in self.control}
        self.sources = {}
        self.followers = {}
        self.operations = 0
        self.last_result = None
        self.on_change = lambda name: None
        self._site_of = site_of
        self._applied = dict.fromkeys(self.control, 0)

    def clock_of(self, name):
        """Return the monotonic clock of a host, at its rate."""
        rate = self.rates.get(name, 1.0)
        loop = asyncio.get_running_loop()
        return lambda: loop.time() * rate

    def now_s(self, name):
        return self.clock_of(name)()

    def reachable_count(self, name):
        """Return how many control hosts a control host reaches, with itself.

        Both directions of a link must be up.
        """
        is_cut = self.network.is_cut
        return sum(
            other == name
            or (not is_cut(name, other) and not is_cut(other, name))
            for other in self.control
        )

    async def start(self):
        for name in self.hosts:
            await self.start_host(name)

    async def start_host(self, name):
        peers = self.network.join(name)
        host = self.hosts[name]
        clock = self.clock_of(name)
        if name in self.control:
            self.sources[name] = sources.StateSource(
                peers=peers,
                log=MemberLog(log=self.log, name=name),
                state=self.states[name],
                clock=clock,
            )
            await self.sources[name].start()
        if name in self.entry:
            source_names = tree.sources_of(peers.directory, name)
            self.followers[name] = followers.StateFollower(
                peers=peers,
                sources=lambda: source_names,
                site=self._site_of(host),
                report=lambda: {'life_cycle': 'serving', 'calls': 1.0},
                clock=clock,
                rng=random.Random(self.rng.random()),
                on_change=lambda: self.on_change(name),
            )
            await self.followers[name].start()

    async def stop_host(self, name):
        self.network.leave(name)
        for services in (self.sources, self.followers):
            service = services.pop(name, None)
            if service is not None:
                await service.stop()

    async def stop(self):
        for name in self.hosts:
            await self.stop_host(name)
        await self.network.close()

    def elect(self, name):
        """Make a member the leader; it applies every committed command."""
        self.log.leader = name
        self.catch_up()

    def catch_up(self):
        """Apply the committed commands on members that the leader reaches."""
        for name in self.control:
            is_cut = self.network.is_cut(self.log.leader, name)
            if name != self.log.leader and is_cut:
                continue
            for command in self.log.commands[self._applied[name] :]:
                self._applied[name] += 1
                result = self.states[name].apply(self._applied[name], command)
                if name == self.log.leader:
                    self.last_result = result
            if name in self.sources:
                self.sources[name].notify()

    def split(self, *groups):
        """Partition the network into groups; hosts in none form another."""
        group_of = {n: i for i, names in enumerate(groups) for n in names}
        self.network.is_cut = lambda sender, receiver: (
            group_of.get(sender) != group_of.get(receiver)
        )

    def heal(self):
        """Remove all partitions."""
        self.network.is_cut = lambda sender, receiver: False
        self.catch_up()

    def names(self, *, region=None, failure_domain=None):
        """Return the names of the hosts in a region or failure domain."""
        return [
            name
            for name, host in self.hosts.items()
            if region in (None, host.region)
            and failure_domain in (None, host.failure_domain)
        ]

    async def commit(self, kind, **fields):
        """Commit one command; return the leader's result of applying it."""
        self.operations += 1
        item = kind(
            operation_id=f'op{self.operations}',
            operator='ana',
            at_s=asyncio.get_running_loop().time(),
            **fields,
        )
        self.log.commands.append(commands.encode(item))
        await asyncio.sleep(APPEND_S)
        self.catch_up()
        return self.last_result

    async def push(self, base=BASE, overlays=OVERLAYS):
        version = self.states[self.log.leader].config_version
        return await self.commit(
            commands.PushConfig,
            against_version=version,
            base_json=base,
            overlays_json=overlays,
        )

    async def issue(self, organisation='daegu-pans'):
        """Issue a key for an organisation and return it."""
        key = caller_keys.new_key(self.rng.randbytes)
        await self.commit(
            commands.IssueKey,
            key_id=key.key_id,
            organisation=organisation,
            salt=key.salt,
            secret_hash=key.secret_hash,
        )
        return key

    async def withdraw(self, key):
        return await self.commit(commands.WithdrawKey, key_id=key.key_id)

    def authenticate(self, key):
        """Authenticate a key at every entry host.

        Returns the organisation, or the reason of the refusal, by host.
        """
        results = {}
        for name, follower in self.followers.items():
            result = follower.authenticate(
                key.text if key else None, now_s=self.now_s(name)
            )
            results[name] = (
                getattr(result, 'reason', None) or result.organisation
            )
        return results
