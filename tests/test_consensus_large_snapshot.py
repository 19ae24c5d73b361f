"""Test that a member gets a snapshot while the log goes on."""

import pytest

from skylarkpitch.consensus import engine as engines
from skylarkpitch.consensus import snapshots
from tests.stand_ins import simulated_log

LIMITS = engines.Limits(snapshot_entries=40, retained_entries=5)
COMMIT_INTERVAL_S = 0.02
CATCH_UP_S = 15.0
COMMANDS = 400


class Play:
    """Three members, one of which is emptied, while the log grows."""

    def __init__(self, *, seed):
        self.simulation = simulated_log.Simulation(
            seed=seed, voters='abc', limits=LIMITS
        )
        self.simulation.delay_s = (0.01, 0.01)
        self.simulation.start()
        self.simulation.wait_for_leader()
        self._number = 0

    def grow(self):
        """Submit commands at the leader, at a steady rate."""
        leader = self.simulation.leader()
        if leader is not None:
            self._number += 1
            self.simulation.submit(leader, f'command {self._number}')
        self.simulation.after(COMMIT_INTERVAL_S, self.grow)

    def empty(self):
        """Empty a follower; return its name after it was added again."""
        leader = self.simulation.wait_for_leader()
        name = next(n for n in 'abc' if n != leader.name)
        member = self.simulation.members[name]
        member.crash()
        member.wipe()
        member.start()
        self.simulation.add(name)
        return member


# Guards against a member that never catches up: the leader took the next
# snapshot before it had sent one, and then sent that from its beginning.
@pytest.mark.parametrize('chunk_bytes', [16, 48, 1024])
@pytest.mark.parametrize('seed', [1, 2])
def test_member_catches_up_while_the_log_grows(monkeypatch, chunk_bytes, seed):
    monkeypatch.setattr(snapshots, 'CHUNK_BYTES', chunk_bytes)
    play = Play(seed=seed)
    play.simulation.commit(*(str(n) for n in range(COMMANDS)))
    play.grow()
    member = play.empty()

    def has_caught_up():
        leader = play.simulation.leader()
        if leader is None:
            return False
        missing = leader.engine.applied_index - member.engine.applied_index
        return missing < LIMITS.retained_entries

    assert play.simulation.run(CATCH_UP_S, until=has_caught_up)
