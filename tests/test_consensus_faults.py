"""Test the replicated log under failures in a simulated cluster."""

import pytest

from skylarkpitch.consensus import engine as engines
from skylarkpitch.consensus import members as member_sets
from skylarkpitch.consensus import state as states
from skylarkpitch import errors
from tests.stand_ins import simulated_log

VOTERS = ('a', 'b', 'c')
ELECTION_MAX_S = states.Timing().election_max_s
BY_LOG = engines.Limits(snapshot_entries=10_000)
BY_SNAPSHOT = engines.Limits(snapshot_entries=50, retained_entries=5)


def _cluster(*, voters=VOTERS, others=(), limits=BY_SNAPSHOT, seed=7):
    simulation = simulated_log.Simulation(
        seed=seed, voters=voters, others=others, limits=limits
    )
    simulation.start()
    simulation.wait_for_leader()
    return simulation


def _others(simulation, leader):
    return [m for m in simulation.members.values() if m is not leader]


def _lose_disk(member):
    member.crash()
    member.wipe()
    member.start()


def _repair(simulation, member):
    """Erase a host's disk and add the host again until it is a voter."""
    _lose_disk(member)
    identity = simulation.add(member.name)
    assert simulation.run(
        20, until=lambda: identity in simulation.voters_now()
    )


@pytest.mark.parametrize('voters', [VOTERS, ('a', 'b', 'c', 'd', 'e')])
def test_isolated_leader_steps_down_and_causes_no_election(voters):
    simulation = _cluster(voters=voters)
    old = simulation.leader()
    simulation.isolate(old.name)
    pending = simulation.submit(old, 'never committed')
    read = simulation.confirm(old)
    simulation.run(ELECTION_MAX_S)
    assert not old.is_leader
    assert read.result().reason == 'not_leader'
    assert isinstance(pending.exception(), errors.UncertainError)
    with pytest.raises(errors.NotLeaderError):
        simulation.submit(old, 'refused').result()
    simulation.commit('one')
    simulation.run(60)
    leader = simulation.leader()
    term = leader.engine.core.state.term
    simulation.heal()
    simulation.run(5)
    assert simulation.leader() is leader
    assert leader.engine.core.state.term == term
    assert old.machine.commands == ['one']


def test_isolated_follower_returns_without_an_election():
    simulation = _cluster()
    leader = simulation.leader()
    term = leader.engine.core.state.term
    follower = _others(simulation, leader)[0]
    simulation.isolate(follower.name)
    simulation.run(120)
    simulation.heal()
    simulation.run(5)
    assert simulation.leader() is leader
    assert leader.engine.core.state.term == term


@pytest.mark.parametrize('seed', range(5))
def test_second_disk_loss_right_after_a_repair_loses_no_change(seed):
    simulation = _cluster(seed=seed)
    simulation.commit(*(f'c{n}' for n in range(30)))
    first, second = _others(simulation, simulation.leader())
    _repair(simulation, first)
    _lose_disk(second)
    simulation.commit('after')
    simulation.run(0.5)
    expected = [f'c{n}' for n in range(30)] + ['after']
    assert first.machine.commands == expected
    _repair(simulation, second)
    simulation.leader().crash()
    simulation.commit('last')
    assert simulation.leader().machine.commands == [*expected, 'last']


@pytest.mark.parametrize('limits', [BY_LOG, BY_SNAPSHOT])
@pytest.mark.parametrize('wiped', [False, True])
def test_restart_after_hundreds_of_changes(limits, wiped):
    simulation = _cluster(limits=limits)
    member = _others(simulation, simulation.leader())[0]
    member.crash()
    commands = [f'c{n}' for n in range(400)]
    simulation.commit(*commands)
    if wiped:
        _repair(simulation, member)
    else:
        member.start()
    assert simulation.run(
        10, until=lambda: member.machine.commands == commands
    )
    installed = member.engine.core.state.counts.get('snapshots_installed', 0)
    assert bool(installed) == (limits is BY_SNAPSHOT)


@pytest.mark.parametrize('limits', [BY_LOG, BY_SNAPSHOT])
def test_all_restart_at_once(limits):
    simulation = _cluster(limits=limits)
    commands = [f'c{n}' for n in range(300)]
    simulation.commit(*commands)
    for member in simulation.members.values():
        member.crash()
    for member in simulation.members.values():
        member.start()
    simulation.wait_for_leader()
    assert simulation.leader().machine.commands == commands


@pytest.mark.parametrize('lost', [('a',), ('b',), ('a', 'b')])
def test_wiped_hosts_bootstrap_no_second_cluster(lost):
    simulation = _cluster()
    simulation.commit('one')
    before = simulation.leader().engine.core.state.cluster
    members = [simulation.members[name] for name in lost]
    for member in members:
        _lose_disk(member)
    simulation.run(30)
    clusters = {
        m.engine.core.state.cluster for m in simulation.members.values()
    }
    assert clusters <= {'', before}
    for member in members:
        assert member.engine.core.state.role is states.Role.UNJOINED
    assert (simulation.leader() is None) == (len(lost) > 1)


def test_host_that_lost_its_disk_casts_no_vote():
    simulation = _cluster()
    simulation.commit('one')
    leader = simulation.leader()
    lost, other = _others(simulation, leader)
    old = lost.identity
    other.crash()
    leader.crash()
    _lose_disk(lost)
    leader.start()
    simulation.run(30)
    assert simulation.leader() is None
    assert lost.identity != old
    assert lost.engine.core.state.vote is None
    other.start()
    simulation.commit('two')
    assert simulation.leader().machine.commands == ['one', 'two']


def test_learner_counts_only_once_it_has_caught_up():
    simulation = _cluster(others=('d',))
    simulation.commit('one')
    identity = simulation.members['d'].identity
    simulation.isolate('d')
    simulation.add('d')
    simulation.commit('two')
    simulation.run(10)
    assert identity not in simulation.voters_now()
    simulation.heal()
    assert simulation.run(
        10, until=lambda: identity in simulation.voters_now()
    )
    assert simulation.members['d'].machine.commands == ['one', 'two']


def test_removal_is_refused_when_no_quorum_would_respond():
    simulation = _cluster()
    leader = simulation.leader()
    isolated, remaining = _others(simulation, leader)
    simulation.isolate(isolated.name)
    simulation.run(3)
    core = leader.engine.core
    with pytest.raises(member_sets.MemberChangeError, match='no quorum'):
        core.remove(remaining.identity, now_s=leader.clock())
    core.remove(isolated.identity, now_s=leader.clock())


def test_removed_leader_steps_down_after_the_commit():
    simulation = _cluster()
    old = simulation.leader()
    identity = old.identity
    simulation.change(lambda core, now_s: core.remove(identity, now_s=now_s))
    simulation.commit('one')
    assert simulation.leader() is not old
    assert identity not in simulation.voters_now()
    simulation.run(30)
    assert len(simulation.voters_now()) == 2


@pytest.mark.parametrize('seed', range(4))
def test_retries_across_leader_changes_commit_at_least_once(seed):
    simulation = _cluster(seed=seed)
    uncertain = 0
    for number in range(6):
        leader = simulation.leader()
        future = simulation.submit(leader, f'c{number}')
        simulation.run(0.001 * seed)
        simulation.isolate(leader.name)
        simulation.run(3)
        simulation.heal()
        if isinstance(future.exception(), errors.UncertainError):
            uncertain += 1
            simulation.commit(f'c{number}')
        simulation.wait_for_leader()
    assert uncertain
    simulation.run(3)
    for member in simulation.members.values():
        assert set(member.machine.commands) == {f'c{n}' for n in range(6)}


def test_planned_stop_transfers_leadership_at_once():
    simulation = _cluster()
    simulation.commit('one')
    old = simulation.leader()
    old.step(lambda now_s: old.engine.core.transfer_leadership())
    assert simulation.run(
        0.3, until=lambda: simulation.leader() not in (old, None)
    )
