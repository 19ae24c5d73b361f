"""Members of the replicated log with simulated time, network and disks.

The members run the real engine, core, journal and snapshots; only time,
network, threads and disk are simulated. A run is determined by its seed.
"""

import concurrent.futures
import heapq
import itertools
import random

from skylarkpitch.consensus import bootstrap
from skylarkpitch.consensus import engine as engines
from skylarkpitch.consensus import members as member_sets
from skylarkpitch.consensus import state as states
from skylarkpitch import errors
from skylarkpitch.messages import consensus as messages
from tests.stand_ins import counting_machine
from tests.stand_ins import memory_folder

BOOTSTRAP_INTERVAL_S = 0.2
LIMITS = engines.Limits(snapshot_entries=40, retained_entries=15)


class _InlineThreads:
    """Run the calls that the engine makes on threads in the caller."""

    async def sync(self, function, argument):
        function(argument)

    def save(self, function, *arguments):
        future = concurrent.futures.Future()
        function(*arguments)
        future.set_result(None)
        return future

    def close(self):
        pass


class Member:
    """One host: its disk and, while it is running, its process."""

    def __init__(self, *, simulation, name):
        self.name = name
        self.folder = None
        self.engine = None
        self.machine = None
        self.clock_rate = simulation.rng.uniform(0.95, 1.05)
        self.clock_offset_s = simulation.rng.uniform(0, 1000)
        self.wake_s = None
        self.checked_index = 0
        self._simulation = simulation
        self.wipe()

    def wipe(self):
        """Erase the disk; the process must not be running."""
        rng = random.Random(self._simulation.rng.random())
        self.folder = memory_folder.MemoryFolder(rng=rng)

    @property
    def is_running(self):
        return self.engine is not None

    @property
    def identity(self):
        return self.engine.core.state.identity

    @property
    def is_leader(self):
        return self.is_running and self.engine.core.is_leader

    def clock(self):
        """Return the host's monotonic time, with its own offset and rate."""
        return self.clock_offset_s + self.clock_rate * self._simulation.now_s

    def to_simulated(self, host_clock_s):
        """Convert a time of the host's clock to simulated time."""
        return (host_clock_s - self.clock_offset_s) / self.clock_rate

    def start(self):
        """Start the process unless it is running."""
        if self.is_running:
            return
        simulation = self._simulation
        self.machine = counting_machine.CountingMachine()
        self.checked_index = 0
        engine = engines.Engine(
            folder=self.folder,
            state_machine=self.machine,
            send=lambda host, item: simulation.send(self.name, host, item),
            clock=self.clock,
            on_applied=lambda: None,
            limits=simulation.limits,
            threads=_InlineThreads(),
            new_incarnation=lambda: f'{simulation.rng.getrandbits(64):016x}',
        )
        try:
            engine.open(
                host=self.name,
                rng=random.Random(simulation.rng.random()),
                timing=simulation.timing,
            )
        except memory_folder.CrashError:
            return
        self.engine = engine
        self.step()
        simulation.after(BOOTSTRAP_INTERVAL_S, self.discover_founders)

    def crash(self):
        if self.is_running:
            self.engine.pending.fail_all()
            self.engine = None

    def step(self, *inbox):
        """Run one step of the engine to completion."""
        if not self.is_running:
            return
        self._simulation.steps += 1
        coroutine = self.engine.step(list(inbox))
        try:
            while True:
                coroutine.send(None)
        except StopIteration:
            pass
        except memory_folder.CrashError:
            self._simulation.crashes += 1
            self.crash()
            self._simulation.restart_later(self)
            return
        self._simulation.checker.check(self)
        self._wake_when_due()

    def _wake_when_due(self):
        due_s = self.to_simulated(self.engine.core.next_due_s())
        if self.wake_s is None or due_s < self.wake_s:
            self.wake_s = due_s
            self._simulation.at(due_s + 1e-6, self._wake)

    def _wake(self):
        self.wake_s = None
        if not self.is_running:
            return
        if self.clock() >= self.engine.core.next_due_s():
            self.step()
        else:
            self._wake_when_due()

    def receive(self, message):
        self.step(lambda now_s: self.engine.core.receive(message, now_s=now_s))

    def introduction(self):
        state = self.engine.core.state
        return messages.IntroductionResponse(
            identity=state.identity,
            cluster=state.cluster,
            founders=state.founders,
            voters=self._simulation.voters,
        )

    def discover_founders(self):
        if not self.is_running or self.engine.core.state.cluster:
            return
        simulation = self._simulation
        others = [m for m in simulation.members.values() if m is not self]
        introductions = {
            other.name: other.introduction()
            for other in others
            if other.is_running
            and not simulation.is_cut(self.name, other.name)
        }
        founders = bootstrap.decide_founders(
            identity=self.identity,
            voters=simulation.voters,
            control_hosts=[other.name for other in others],
            introductions=introductions,
        )
        if isinstance(founders, tuple):
            self.step(
                lambda now_s: self.engine.core.bootstrap(founders, now_s=now_s)
            )
        simulation.after(BOOTSTRAP_INTERVAL_S, self.discover_founders)


class Simulation:
    """Simulated time and network, and the members of the cluster."""

    def __init__(self, *, seed, voters, others=(), limits=LIMITS, timing=None):
        self.rng = random.Random(seed)
        self.now_s = 0.0
        self.steps = 0
        self.crashes = 0
        self.loss_probability = 0.0
        self.duplication_probability = 0.0
        self.delay_s = (0.001, 0.02)
        self.restart_s = (0.5, 1.5)
        self.on_send = lambda sender, message: None
        self.cut_pairs = set()
        self.voters = tuple(voters)
        self.limits = limits
        self.timing = timing or states.Timing()
        self.checker = Checker(simulation=self)
        self._events = []
        self._numbers = itertools.count()
        self.members = {
            name: Member(simulation=self, name=name)
            for name in (*voters, *others)
        }

    def start(self):
        for member in self.members.values():
            member.start()

    def at(self, when_s, action):
        event = (max(when_s, self.now_s), next(self._numbers), action)
        heapq.heappush(self._events, event)

    def after(self, delay_s, action):
        self.at(self.now_s + delay_s, action)

    def run(self, seconds, *, until=lambda: False):
        """Advance simulated time until a condition is true; return whether."""
        end_s = self.now_s + seconds
        while self._events and self._events[0][0] <= end_s:
            self.now_s, _, action = heapq.heappop(self._events)
            action()
            if until():
                return True
        self.now_s = end_s
        return until()

    def is_cut(self, one, other):
        return (one, other) in self.cut_pairs

    def cut(self, one, other):
        self.cut_pairs |= {(one, other), (other, one)}

    def isolate(self, name):
        for other in self.members:
            if other != name:
                self.cut(name, other)

    def restart_later(self, member):
        self.after(self.rng.uniform(*self.restart_s), member.start)

    def heal(self):
        self.cut_pairs.clear()

    def send(self, sender, host, message):
        self.on_send(sender, message)
        copies = 1 + (self.rng.random() < self.duplication_probability)
        for _ in range(copies):
            if self.rng.random() >= self.loss_probability:
                delay_s = self.rng.uniform(*self.delay_s)
                self.after(
                    delay_s, lambda: self._deliver(sender, host, message)
                )

    def _deliver(self, sender, host, message):
        if host in self.members and not self.is_cut(sender, host):
            self.members[host].receive(message)

    def leader(self):
        """Return the leader with the highest term, or None."""
        leaders = [m for m in self.members.values() if m.is_leader]
        return max(
            leaders, key=lambda m: m.engine.core.state.term, default=None
        )

    def wait_for_leader(self, *, within_s=20):
        """Run until a leader has committed an entry of its term; return it."""

        def settled():
            leader = self.leader()
            if leader is None:
                return False
            state = leader.engine.core.state
            return state.log.term_at(state.commit_index) == state.term

        if not self.run(within_s, until=settled):
            raise AssertionError(f'no leader within {within_s} s')
        return self.leader()

    def submit(self, member, command):
        """Propose a command at a member and return its future."""
        future = concurrent.futures.Future()

        def propose(now_s):
            core = member.engine.core
            try:
                index = core.propose(command.encode())
            except errors.NotLeaderError as error:
                future.set_exception(error)
                return
            member.engine.pending.add_proposal(
                index, term=core.state.term, future=future
            )

        member.step(propose)
        return future

    def commit(self, *commands):
        """Submit commands one by one to the leader until each is committed."""
        for command in commands:
            is_committed = False
            while not is_committed:
                future = self.submit(self.wait_for_leader(), command)
                self.run(5, until=future.done)
                is_committed = future.done() and future.exception() is None

    def confirm(self, member):
        """Request a confirmed read at a member; return the future."""
        future = concurrent.futures.Future()

        def request_read(now_s):
            member.engine.pending.add_read(future)
            try:
                member.engine.core.request_read(future)
            except errors.NotLeaderError:
                future.set_result(None)

        member.step(request_read)
        return future

    def change(self, change):
        """Retry ``change(core, now_s)`` at the leader until it is accepted."""

        def attempt():
            leader = self.leader()
            if leader is None:
                return False
            try:
                leader.step(lambda now_s: change(leader.engine.core, now_s))
            except errors.SkylarkError:
                return False
            return leader.is_running

        for _ in range(200):
            if attempt():
                return
            self.run(0.1)
        raise AssertionError('the change of members was never accepted')

    def add(self, name):
        """Add a running host as a learner."""
        identity = self.members[name].identity
        self.change(
            lambda core, now_s: core.add_learner(identity, now_s=now_s)
        )
        return identity

    def voters_now(self):
        """Return the committed voters according to the leader."""
        leader = self.leader()
        if leader is None:
            return ()
        core = leader.engine.core
        return core.members_at(core.state.commit_index)[1].voters


class Checker:
    """Check the invariants of the log across all members."""

    def __init__(self, *, simulation):
        self._simulation = simulation
        self._leaders = {}
        self._committed = {}
        self.commits = 0

    def check(self, member):
        """Check one member after a step; raises ``InvariantError``."""
        state = member.engine.core.state
        if member.is_leader:
            leader = self._leaders.setdefault(state.term, state.identity)
            self._require(
                leader == state.identity, f'two leaders in term {state.term}'
            )
        self._require(
            state.commit_index <= state.log.last_index,
            f'{state.identity} committed entries not in its log',
        )
        self._check_committed(member, state)

    def _check_committed(self, member, state):
        start = max(member.checked_index, state.log.base_index)
        for entry in state.log.after(start, up_to=state.commit_index):
            committed = self._committed.setdefault(entry.index, entry)
            self._require(
                committed == entry,
                f'entry {entry.index} was committed twice: {committed}, '
                f'{entry}',
            )
        member.checked_index = max(start, state.commit_index)
        self.commits = max(self.commits, state.commit_index)

    def check_machine(self, member):
        """Check that a member applied exactly the committed commands."""
        applied_index = member.engine.applied_index
        expected = [
            self._committed[index].data.decode()
            for index in range(1, applied_index + 1)
            if self._committed[index].kind is messages.EntryKind.COMMAND
        ]
        self._require(
            member.machine.commands == expected,
            f'{member.name} applied {member.machine.commands[-3:]}',
        )

    def check_logs_match(self):
        """Check that logs with one equal entry are equal before it."""
        running = [
            m for m in self._simulation.members.values() if m.is_running
        ]
        for one, other in itertools.combinations(running, 2):
            self._check_pair(
                one.engine.core.state.log, other.engine.core.state.log
            )

    def _check_pair(self, one, other):
        low = max(one.base_index, other.base_index)
        high = min(one.last_index, other.last_index)
        has_equal_entry = False
        for index in range(high, low, -1):
            is_equal = one.term_at(index) == other.term_at(index)
            has_equal_entry = has_equal_entry or is_equal
            self._require(
                is_equal or not has_equal_entry, f'logs differ at {index}'
            )

    def elections(self):
        """Return the number of terms that had a leader."""
        return len(self._leaders)

    def commands_committed(self):
        """Return the committed commands in order."""
        return [
            entry.data.decode()
            for _, entry in sorted(self._committed.items())
            if entry.kind is messages.EntryKind.COMMAND
        ]

    @staticmethod
    def _require(condition, message):
        if not condition:
            raise errors.InvariantError(message)


def hosts_of(identities):
    """Return the host names in identities."""
    return {member_sets.host_of(identity) for identity in identities}
