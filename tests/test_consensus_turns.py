"""Test that voters that start at the same time do not split their votes.

With simultaneous candidates no one gets the votes that it needs, in
particular when every remaining member must vote for the same candidate.
"""

import statistics

import pytest

from skylarkpitch.consensus import state as states
from tests.stand_ins import simulated_log

NETWORK_DELAY_S = (0.05, 0.06)
TIMING = states.Timing(
    heartbeat_s=0.12, election_min_s=0.5, election_max_s=1.7
)
VOTERS = 'abcdef'


def time_to_leader_s(seed, *, lost):
    """Return the time to a leader after all members restart, in seconds."""
    simulation = simulated_log.Simulation(
        seed=seed, voters=VOTERS, timing=TIMING
    )
    simulation.delay_s = NETWORK_DELAY_S
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
def test_restarted_group_elects_a_leader_without_split_votes(lost):
    """With two of six members lost, the votes of all others are needed."""
    took_s = [time_to_leader_s(seed, lost=lost) for seed in range(20)]
    turn_s = (TIMING.election_max_s - TIMING.election_min_s) / len(VOTERS)
    first_s = TIMING.election_min_s + (lost + states.TURN_JITTER) * turn_s
    last_s = TIMING.election_min_s + (lost + 1) * turn_s
    round_trips_s = 4 * NETWORK_DELAY_S[1]
    assert statistics.median(took_s) <= first_s + round_trips_s
    assert max(took_s) <= last_s + round_trips_s
