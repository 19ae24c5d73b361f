"""Pattern: all members start at once, and every one left is needed."""

import statistics

import pytest

from skylarkpitch.consensus import state as states
from tests.stand_ins import simulated_log

FAR_S = (0.05, 0.06)
TIMING = states.Timing(
    heartbeat_s=0.12, election_min_s=0.5, election_max_s=1.7
)
VOTERS = 'abcdef'


def time_to_leader_s(seed, *, lost):
    """Return how long a group whose members all restart has no leader."""
    simulation = simulated_log.Simulation(
        seed=seed, voters=VOTERS, timing=TIMING
    )
    simulation.delay_s = FAR_S
    simulation.start()
    simulation.wait_for_leader()
    for member in simulation.members.values():
        member.crash()
    began_s = simulation.now_s
    for name in VOTERS[lost:]:
        simulation.members[name].start()
    assert simulation.run(30.0, until=lambda: simulation.leader() is not None)
    return simulation.now_s - began_s


@pytest.mark.parametrize('lost', [0, 1, 2])
def test_group_that_restarts_elects_without_dividing_its_votes(lost):
    """With two of six lost every vote of the others is needed."""
    took_s = [time_to_leader_s(seed, lost=lost) for seed in range(20)]
    turn_s = (TIMING.election_max_s - TIMING.election_min_s) / len(VOTERS)
    first_s = TIMING.election_min_s + (lost + states.TURN_JITTER) * turn_s
    last_s = TIMING.election_min_s + (lost + 1) * turn_s
    round_trips_s = 4 * FAR_S[1]
    assert statistics.median(took_s) <= first_s + round_trips_s
    assert max(took_s) <= last_s + round_trips_s
