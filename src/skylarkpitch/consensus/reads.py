"""Confirm that the committed state is current, by a round of heartbeats.

A read is confirmed when a quorum has responded to a round that was sent
after the read was added (section 6.4 of Ongaro's dissertation). Only the
leader's own clock is involved.
"""

from skylarkpitch.consensus import replication
from skylarkpitch.consensus import rules
from skylarkpitch.consensus import state as states

__all__ = ['add', 'confirm_acknowledged', 'start_round']


def add(state: states.State, token: object) -> None:
    """Add a read; :func:`start_round` assigns it a round.

    ``token`` identifies the read for the caller.
    """
    state.reads.append(states.Read(token=token))


def start_round(state: states.State, *, now_s: float) -> None:
    """Start a round of heartbeats if there are reads without one.

    Reads wait until an entry of the leader's own term is committed, because
    the leader's commit index may be out of date before that.
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
    """Move reads whose round a quorum acknowledged to ``confirmed_reads``."""
    acked = {name: item.acked_round for name, item in state.progress.items()}
    acked[state.identity] = state.round
    quorum_round = rules.quorum_value(acked, state.members.voters, missing=0)
    unconfirmed = []
    for item in state.reads:
        if 0 < item.round <= quorum_round:
            state.confirmed_reads.append(item)
        else:
            unconfirmed.append(item)
    state.reads[:] = unconfirmed
