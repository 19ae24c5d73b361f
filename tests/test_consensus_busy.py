"""What a leader does by time, while it is read and written all the time."""

import pytest

from tests.stand_ins import simulated_log

# A host that is back has to be a voter again within this time.
CATCH_UP_S = 4.0
# Minimum election timeout, and one more check of the quorum.
STEP_DOWN_S = 1.0
LOADS = {
    'none': (),
    'few-reads': (('read', 10),),
    'reads': (('read', 1000),),
    'commands': (('command', 300),),
    'both': (('read', 500), ('command', 100)),
}


def _keep_busy(simulation, loads, *, member=None):
    """Read or write at the leader, or at a member, so often a second."""

    def start(kind, rate):
        def act():
            target = member or simulation.leader()
            if target is not None and target.is_running:
                if kind == 'read':
                    simulation.confirm(target)
                else:
                    simulation.submit(target, 'c')
            simulation.after(1 / rate, act)

        act()

    for kind, rate in loads:
        start(kind, rate)


# Guards against a group that is lost at the second of two disk losses: reads
# put the leader's timer off for ever, so that the host that had lost its disk
# first was never made a voter again.
@pytest.mark.parametrize('load', LOADS)
def test_emptied_host_is_a_voter_again_in_time_under_load(load):
    simulation = simulated_log.Simulation(seed=3, voters='abc')
    simulation.start()
    simulation.commit('kept')
    leader = simulation.wait_for_leader()
    name = next(n for n in 'abc' if n != leader.name)
    _keep_busy(simulation, LOADS[load])
    member = simulation.members[name]
    member.crash()
    member.wipe()
    simulation.run(1.0)
    member.start()
    identity = simulation.add(name)
    assert simulation.run(
        CATCH_UP_S,
        until=lambda: (
            identity in simulation.voters_now()
            and len(simulation.voters_now()) == 3
        ),
    )


# Guards against a leader that is cut off and goes on as one.
@pytest.mark.parametrize('load', LOADS)
def test_leader_without_a_quorum_steps_down_under_load(load):
    simulation = simulated_log.Simulation(seed=4, voters='abc')
    simulation.start()
    leader = simulation.wait_for_leader()
    _keep_busy(simulation, LOADS[load], member=leader)
    simulation.run(1.0)
    assert leader.is_leader
    simulation.isolate(leader.name)
    assert simulation.run(STEP_DOWN_S, until=lambda: not leader.is_leader)


# Guards against a leader that steps down under many reads: responses to
# rounds that were too many rounds ago were no contact.
def test_leader_stays_one_under_reads_over_long_links():
    simulation = simulated_log.Simulation(seed=5, voters='abc')
    simulation.start()
    leader = simulation.wait_for_leader()
    simulation.delay_s = (0.18, 0.2)
    _keep_busy(simulation, (('read', 1000),))
    simulation.run(5.0)
    assert leader.is_leader
    assert leader.engine.core.state.counts.get('leases_lost', 0) == 0
