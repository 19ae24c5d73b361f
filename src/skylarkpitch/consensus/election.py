"""Elect a leader: pre-vote, vote, and the leader's check of its quorum.

A member that hears from a leader grants nothing until the shortest election
timeout has passed since, and a member asks whether it would be granted a
vote before it enters a new term. So one that returns from isolation, or was
removed, disturbs nobody (sections 4.2.3 and 9.6 of Ongaro's dissertation).
"""

from skylarkpitch.consensus import replication
from skylarkpitch.consensus import rules
from skylarkpitch.consensus import state as states
from skylarkpitch.messages import consensus as messages

__all__ = [
    'become_follower',
    'on_persisted',
    'on_process_stall',
    'on_tick',
    'on_vote_request',
    'on_vote_response',
    'start_election',
]


def become_follower(
    state: states.State, *, term: int, leader: str | None, now_s: float
) -> None:
    """Follow a leader, or nobody yet, in a term."""
    if term > state.term:
        state.enter_term(term)
    if state.role is states.Role.LEADER:
        state.count('steps_down')
    if state.role is not states.Role.FOLLOWER:
        state.restart_election_timer(now_s)
    state.role = states.Role.FOLLOWER
    state.leader = leader
    state.transferring = False
    state.progress.clear()
    state.reads.clear()
    state.confirmed_reads.clear()
    state.granted_by.clear()


def on_tick(state: states.State, *, now_s: float) -> None:
    """Act on the timers."""
    if state.role is states.Role.LEADER:
        _check_quorum(state, now_s)
        return
    due = now_s >= state.election_due_s
    if due and state.cluster and state.is_voter:
        _start_pre_vote(state, now_s)
    elif due:
        state.leader = None
        state.restart_election_timer(now_s)


def on_process_stall(state: states.State, *, now_s: float) -> None:
    """Blame no other member for time in which this process stood still.

    What the others sent meanwhile may not be read yet. A leader gives them
    one more heartbeat to answer, and any other member waits anew before it
    calls an election. Neither makes a commit or a read count that no quorum
    has answered.
    """
    state.count('late_steps')
    if state.role is not states.Role.LEADER:
        state.restart_election_timer(now_s)
        return
    least_s = now_s - state.timing.election_min_s + state.timing.heartbeat_s
    for item in state.progress.values():
        item.contact_s = max(item.contact_s, least_s)


def _check_quorum(state: states.State, now_s: float) -> None:
    contact_s = replication.quorum_contact_s(state, now_s=now_s)
    if now_s - contact_s < state.timing.election_min_s:
        return
    state.count('leases_lost')
    become_follower(state, term=state.term, leader=None, now_s=now_s)


def _start_pre_vote(state: states.State, now_s: float) -> None:
    state.count('pre_votes')
    state.role = states.Role.PRE_CANDIDATE
    state.leader = None
    state.granted_by = {state.identity}
    state.restart_election_timer(now_s)
    if rules.has_quorum(state.granted_by, state.members.voters):
        start_election(state, now_s=now_s)
        return
    _request_votes(
        state,
        state.before_write,
        term=state.term + 1,
        pre=True,
        transfer=False,
    )


def start_election(
    state: states.State, *, now_s: float, transfer: bool = False
) -> None:
    """Enter a new term and ask for votes.

    The own vote counts once it is durable.
    """
    state.count('elections')
    state.enter_term(state.term + 1)
    state.role = states.Role.CANDIDATE
    state.leader = None
    state.vote = state.identity
    state.granted_by = set()
    state.restart_election_timer(now_s)
    _request_votes(
        state, state.after_write, term=state.term, pre=False, transfer=transfer
    )


def _request_votes(
    state: states.State, out: list, *, term: int, pre: bool, transfer: bool
) -> None:
    last_term, last_index = state.log.last
    for voter in state.other_voters():
        header = {**state.header(voter), 'term': term}
        out.append(
            messages.VoteRequest(
                **header,
                last_index=last_index,
                last_term=last_term,
                pre=pre,
                transfer=transfer,
            )
        )


def on_persisted(state: states.State, *, now_s: float) -> None:
    """Count the own vote, which is durable now."""
    if state.role is states.Role.CANDIDATE:
        state.granted_by.add(state.identity)
        _count_votes(state, now_s)


def on_vote_request(
    state: states.State, ask: messages.VoteRequest, *, now_s: float
) -> None:
    """Grant or deny a vote."""
    if not ask.transfer and _has_live_leader(state, now_s):
        _send_vote_response(state, ask, granted=False)
        return
    if ask.pre:
        granted = ask.term > state.term and _is_up_to_date(state, ask)
        _send_vote_response(state, ask, granted=granted)
        return
    if ask.term > state.term:
        become_follower(state, term=ask.term, leader=None, now_s=now_s)
    granted = ask.term == state.term and rules.may_vote(
        vote=state.vote,
        candidate=ask.sender,
        up_to_date=_is_up_to_date(state, ask),
    )
    if granted and state.vote is None:
        state.vote = ask.sender
        state.hard_state_changed = True
        state.restart_election_timer(now_s)
    _send_vote_response(state, ask, granted=granted)


def _has_live_leader(state: states.State, now_s: float) -> bool:
    if state.role is states.Role.LEADER:
        return True
    return now_s - state.leader_contact_s < state.timing.election_min_s


def _is_up_to_date(state: states.State, ask: messages.VoteRequest) -> bool:
    asked = (ask.last_term, ask.last_index)
    return rules.is_up_to_date(asked, other=state.log.last)


def _send_vote_response(
    state: states.State, ask: messages.VoteRequest, *, granted: bool
) -> None:
    term = ask.term if granted else state.term
    header = {**state.header(ask.sender), 'term': term}
    state.after_write.append(
        messages.VoteResponse(**header, granted=granted, pre=ask.pre)
    )


def on_vote_response(
    state: states.State, answer: messages.VoteResponse, *, now_s: float
) -> None:
    """Count a vote; a majority of voters elects."""
    if not answer.granted:
        if answer.term > state.term:
            become_follower(state, term=answer.term, leader=None, now_s=now_s)
        return
    if answer.pre:
        expected = (states.Role.PRE_CANDIDATE, state.term + 1)
    else:
        expected = (states.Role.CANDIDATE, state.term)
    if (state.role, answer.term) != expected:
        return
    state.granted_by.add(answer.sender)
    _count_votes(state, now_s)


def _count_votes(state: states.State, now_s: float) -> None:
    if not rules.has_quorum(state.granted_by, state.members.voters):
        return
    if state.role is states.Role.PRE_CANDIDATE:
        start_election(state, now_s=now_s)
        return
    _become_leader(state, now_s)


def _become_leader(state: states.State, now_s: float) -> None:
    state.count('elections_won')
    state.role = states.Role.LEADER
    state.leader = state.identity
    state.round = 0
    state.round_sent_s.clear()
    state.progress = {
        other: states.Progress(
            next_index=state.log.last_index + 1, contact_s=now_s
        )
        for other in state.others()
    }
    state.append(messages.EntryKind.NOOP, b'')
    replication.broadcast(state, now_s=now_s)
