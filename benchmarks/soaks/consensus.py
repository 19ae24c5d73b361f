"""Test the replicated log with random faults, clients and member changes.

Members run the real engine with a simulated network and disk. Messages are
lost, duplicated and reordered, hosts are partitioned, clocks run at
different rates, processes crash between and during writes, and disks are
lost and their hosts added again. The invariants of the log are checked
after every step and, at the end, for every acknowledged change.
"""

import bisect
import random
import time

from skylarkpitch.consensus import state as states
from skylarkpitch import errors
from skylarkpitch.messages import consensus as messages
from tests.stand_ins import simulated_log

VOTERS = ('a', 'b', 'c')
NON_VOTERS = ('d', 'e')
EPISODE_S = 40.0
# The election timeout of the second is shorter than some network delays, so
# that elections are frequent.
TIMINGS = (
    states.Timing(),
    states.Timing(heartbeat_s=0.04, election_min_s=0.1, election_max_s=0.2),
)
FAULT_INTERVALS_S = (0.2, 1.5)
RESTARTS_S = ((0.001, 0.05), (0.1, 3.0))
CONVERGENCE_TIMEOUT_S = 60.0
MAX_VOTERS = 5
MIN_VOTERS = 3

CRASH_PROBABILITY_BY_PROMISE = {
    messages.VoteResponse: 0.05,
    messages.AppendResponse: 0.001,
}
PROMISES = tuple(CRASH_PROBABILITY_BY_PROMISE)

__all__ = ['run']


class _Episode:
    """One simulated cluster, from its first start to its final check."""

    def __init__(self, *, seed):
        self.rng = random.Random(seed ^ 0x5EED)
        self.simulation = simulated_log.Simulation(
            seed=seed,
            voters=VOTERS,
            others=NON_VOTERS,
            timing=self.rng.choice(TIMINGS),
        )
        self._fault_interval_s = self.rng.choice(FAULT_INTERVALS_S)
        self.simulation.restart_s = self.rng.choice(RESTARTS_S)
        self.acknowledged = []
        self.uncertain = 0
        self.reads = 0
        self._acknowledged_s = []
        self._stale_reads = []
        self._number = 0
        self._faults_ended = False

    def run(self):
        """Run the episode; raise ``InvariantError`` on a violation."""
        simulation = self.simulation
        simulation.on_send = self._crash_after_promise
        simulation.start()
        simulation.run(3)
        self._change_network()
        for interval_s, action in (
            (0.03, self._submit),
            (0.2, self._confirm),
            (self._fault_interval_s, self._fault),
            (0.4, self._change_members),
            (2.5, self._change_network),
        ):
            self._repeat(interval_s, action)
        simulation.run(EPISODE_S)
        self._check_end()

    def _repeat(self, interval_s, action):
        def repeated():
            if self._faults_ended and action != self._change_members:
                return
            action()
            self._repeat(interval_s, action)

        delay_s = self.rng.uniform(0.2, 1.8) * interval_s
        self.simulation.after(delay_s, repeated)

    def _running(self):
        members = self.simulation.members.values()
        return [member for member in members if member.is_running]

    def _change_network(self):
        """Set random loss, duplication and delay of the network."""
        simulation = self.simulation
        rng = self.rng
        simulation.loss_probability = rng.choice((0.0, 0.0, 0.02, 0.2))
        simulation.duplication_probability = rng.choice((0.0, 0.05, 0.3))
        simulation.delay_s = rng.choice(
            ((0.001, 0.005), (0.05, 0.06), (0.001, 0.2))
        )

    def _submit(self):
        running = self._running()
        if not running:
            return
        leader = self.simulation.leader()
        member = leader or self.rng.choice(running)
        if self.rng.random() < 0.1:
            member = self.rng.choice(running)
        self._number += 1
        command = f'c{self._number}'
        future = self.simulation.submit(member, command)
        future.add_done_callback(lambda f: self._record_outcome(command, f))

    def _record_outcome(self, command, future):
        error = future.exception()
        if error is None:
            self.acknowledged.append(command)
            self._acknowledged_s.append(self.simulation.now_s)
        elif isinstance(error, errors.UncertainError):
            self.uncertain += 1

    def _confirm(self):
        running = self._running()
        if not running:
            return
        leading = [member for member in running if member.is_leader]
        member = self.rng.choice(leading or running)
        future = self.simulation.confirm(member)
        future.add_done_callback(lambda f: self._record_read(member, f))

    def _record_read(self, member, future):
        if not isinstance(future.result(), float):
            return
        self.reads += 1
        sent_s = member.to_simulated(future.result())
        count = bisect.bisect_left(self._acknowledged_s, sent_s - 1e-6)
        missing = set(self.acknowledged[:count])
        missing.difference_update(member.machine.commands)
        if missing:
            self._stale_reads.append((member.name, sorted(missing)))

    def _fault(self):
        rng = self.rng
        fault = rng.choice(
            (self._crash, self._crash_in_write, self._partition, self._heal)
        )
        fault()
        if rng.random() < 0.15:
            self._lose_disk()

    def _crash(self):
        running = self._running()
        if not running:
            return
        leader = self.simulation.leader()
        if leader is not None and self.rng.random() < 0.4:
            self._crash_member(leader)
        else:
            self._crash_member(self.rng.choice(running))

    def _crash_member(self, member):
        if not member.is_running:
            return
        self.simulation.crashes += 1
        member.crash()
        self.simulation.restart_later(member)

    def _crash_in_write(self):
        running = self._running()
        if not running:
            return
        member = self.rng.choice(running)
        member.folder.crash_after_writes(self.rng.randrange(4))

    def _crash_after_promise(self, sender, message):
        """Crash a member with some probability after a promise it sent.

        A vote or an acknowledgement must survive the crash.
        """
        if self._faults_ended or not isinstance(message, PROMISES):
            return
        if self.rng.random() < CRASH_PROBABILITY_BY_PROMISE[type(message)]:
            member = self.simulation.members[sender]
            self.simulation.after(0, lambda: self._crash_member(member))

    def _partition(self):
        simulation = self.simulation
        names = list(simulation.members)
        if self.rng.random() < 0.5:
            simulation.isolate(self.rng.choice(names))
            return
        one, other = self.rng.sample(names, 2)
        simulation.cut_pairs.add((one, other))

    def _heal(self):
        self.simulation.heal()

    def _lose_disk(self):
        """Erase a disk if a quorum of the voters retains its disks."""
        member = self.rng.choice(list(self.simulation.members.values()))
        if not self._may_lose(member.name):
            return
        self._crash_member(member)
        member.wipe()

    def _may_lose(self, name):
        # An uncommitted change of members may remove a voter that stores
        # entries, so a quorum must exist before and after the change. A host
        # that is down may have a later change than the running ones.
        running = self._running()
        if len(running) < len(self.simulation.members):
            return False
        for member in running:
            state = member.engine.core.state
            if state.members_index > state.commit_index:
                return False
        for member in running:
            voters = member.engine.core.state.members.voters
            left = [v for v in voters if self._is_intact(v, name)]
            if voters and len(left) < len(voters) // 2 + 1:
                return False
        return True

    def _is_intact(self, identity, lost):
        """Return whether the disk of this incarnation still exists."""
        host, _, incarnation = identity.rpartition('/')
        files = self.simulation.members[host].folder.files
        # The second line has the owner; entries contain other incarnations.
        owner = files.get('journal', b'\n').split(b'\n', 2)[1]
        return host != lost and incarnation.encode() in owner

    def _change_members(self):
        """Add a host that is not a member, or sometimes remove a voter."""
        leader = self.simulation.leader()
        if leader is None:
            return
        members = leader.engine.core.state.members
        identities = (*members.voters, *members.learners)
        non_members = [
            member
            for member in self._running()
            if member.identity not in identities
        ]
        hosts = simulated_log.hosts_of(members.voters)
        wiped_voters = [
            member for member in non_members if member.name in hosts
        ]
        if len(members.voters) >= MAX_VOTERS:
            non_members = wiped_voters
        if non_members:
            self._attempt_change(
                leader, self._addition_of(self.rng.choice(non_members))
            )
        elif len(members.voters) > MIN_VOTERS and self.rng.random() < 0.3:
            removed = self.rng.choice(members.voters)
            self._attempt_change(
                leader,
                lambda core, now_s: core.remove(removed, now_s=now_s),
            )

    def _addition_of(self, member):
        identity = member.identity
        return lambda core, now_s: core.add_learner(identity, now_s=now_s)

    def _attempt_change(self, leader, change):
        def attempt(now_s):
            try:
                change(leader.engine.core, now_s)
            except errors.SkylarkError:
                pass

        leader.step(attempt)

    def _check_end(self):
        """Remove all faults; then check that all members converge."""
        simulation = self.simulation
        self._faults_ended = True
        simulation.heal()
        simulation.loss_probability = 0.0
        simulation.duplication_probability = 0.0
        simulation.delay_s = (0.001, 0.02)
        for member in simulation.members.values():
            member.folder.crash_after_writes(None)
            member.start()
        if not simulation.run(CONVERGENCE_TIMEOUT_S, until=self._converged):
            raise errors.InvariantError('the members did not converge')
        if self._stale_reads:
            raise errors.InvariantError(
                f'confirmed reads missed changes: {self._stale_reads[:3]}'
            )
        committed = set(simulation.checker.commands_committed())
        lost = set(self.acknowledged) - committed
        if lost:
            raise errors.InvariantError(f'{sorted(lost)} were lost')
        simulation.checker.check_logs_match()
        for member in self._running():
            simulation.checker.check_machine(member)

    def _converged(self):
        leader = self.simulation.leader()
        if leader is None:
            return False
        core = leader.engine.core
        last_index = core.state.log.last_index
        if any(not self._is_intact(i, '') for i in core.state.members.voters):
            return False
        hosts = simulated_log.hosts_of(core.state.members.voters)
        members = [self.simulation.members[host] for host in hosts]
        return core.state.commit_index == last_index and all(
            member.is_running and member.engine.applied_index == last_index
            for member in members
        )


def run(*, seed: int, seconds: float) -> dict:
    """Run episodes for ``seconds`` and return the counts."""
    rng = random.Random(seed)
    end_s = time.monotonic() + seconds
    totals = dict.fromkeys(
        ('episodes', 'steps', 'crashes', 'elections', 'commits'), 0
    )
    totals.update(acknowledged=0, uncertain=0, reads=0, violations=0)
    failures = []
    while time.monotonic() < end_s:
        episode_seed = rng.randrange(2**32)
        episode = _Episode(seed=episode_seed)
        try:
            episode.run()
        except errors.SkylarkError as error:
            totals['violations'] += 1
            failures.append(f'episode {episode_seed}: {error}')
        _add(totals, episode)
    return {**totals, 'failures': failures[:5]}


def _add(totals: dict, episode: _Episode) -> None:
    simulation = episode.simulation
    totals['episodes'] += 1
    totals['steps'] += simulation.steps
    totals['crashes'] += simulation.crashes
    totals['elections'] += simulation.checker.elections()
    totals['commits'] += simulation.checker.commits
    totals['acknowledged'] += len(episode.acknowledged)
    totals['uncertain'] += episode.uncertain
    totals['reads'] += episode.reads
