"""Prove that the committed state is current, by a round of heartbeats.

A question is answered when a quorum has answered a round that was sent after
it was put (section 6.4 of Ongaro's dissertation). No clock but the asking
leader's own takes part.
"""

from skylarkpitch.consensus import replication
from skylarkpitch.consensus import rules
from skylarkpitch.consensus import state as states

__all__ = ['add', 'confirm_acknowledged', 'start_round']


def add(state: states.State, token: object) -> None:
    """Put a question; it goes out with the next round."""
    state.reads.append(states.Read(token=token))


def start_round(state: states.State, *, now_s: float) -> None:
    """Send a round for the questions that wait for one.

    They wait until an entry of the leader's own term is committed, since
    its commit index may be behind before that.
    """
    if not any(item.round == 0 for item in state.reads):
        return
    if state.log.term_at(state.commit_index) != state.term:
        return
    replication.broadcast(state, now_s=now_s)
    for item in state.reads:
        if item.round == 0:
            item.round = state.round
            item.sent_s = now_s
            item.index = state.commit_index


def confirm_acknowledged(state: states.State) -> None:
    """Move the questions that a quorum has answered to ``confirmed``."""
    acked = {name: item.acked_round for name, item in state.progress.items()}
    acked[state.identity] = state.round
    answered = rules.quorum_value(acked, state.members.voters, missing=0)
    waiting = []
    for item in state.reads:
        if 0 < item.round <= answered:
            state.confirmed_reads.append(item)
        else:
            waiting.append(item)
    state.reads[:] = waiting
