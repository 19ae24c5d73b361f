"""Elect a leader: pre-vote, vote, and the leader's quorum check.

A member denies votes until the minimum election timeout has passed since
its last contact with a leader. A candidate first runs a pre-vote, which
does not increase the term. A member that was isolated or removed therefore
cannot depose a working leader (sections 4.2.3 and 9.6 of Ongaro's
dissertation).
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
    """Become a follower in a term, of ``leader`` if it is known."""
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
    """Run the election timer, or the quorum check of a leader."""
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
    """Extend the timers after this process was stalled.

    Messages that arrived during the stall may not have been read yet. A
    leader allows the other members one more heartbeat interval to respond,
    once until a quorum has responded again;
    any other member restarts its election timer. Commits and reads still
    require the responses of a quorum.
    """
    state.count('late_steps')
    if state.role is not states.Role.LEADER:
        state.restart_election_timer(now_s)
        return
    if replication.quorum_contact_s(state, now_s=now_s) < state.excused_s:
        # No quorum has responded since the last excuse.
        return
    state.excused_s = (
        now_s - state.timing.election_min_s + state.timing.heartbeat_s
    )


def _check_quorum(state: states.State, now_s: float) -> None:
    contact_s = replication.quorum_contact_s(state, now_s=now_s)
    contact_s = max(contact_s, state.excused_s)
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
    """Enter a new term as candidate and request votes.

    The candidate's own vote counts only once it is durable.
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
    state: states.State, outbox: list, *, term: int, pre: bool, transfer: bool
) -> None:
    last_term, last_index = state.log.last
    for voter in state.other_voters():
        header = {**state.header(voter), 'term': term}
        outbox.append(
            messages.VoteRequest(
                **header,
                last_index=last_index,
                last_term=last_term,
                pre=pre,
                transfer=transfer,
            )
        )


def on_persisted(state: states.State, *, now_s: float) -> None:
    """Count the candidate's own vote, which is now durable."""
    if state.role is states.Role.CANDIDATE:
        state.granted_by.add(state.identity)
        _count_votes(state, now_s)


def on_vote_request(
    state: states.State, request: messages.VoteRequest, *, now_s: float
) -> None:
    """Respond to a vote request or a pre-vote request."""
    if not request.transfer and _has_live_leader(state, now_s):
        _send_vote_response(state, request, granted=False)
        return
    if request.pre:
        granted = request.term > state.term and _is_up_to_date(state, request)
        _send_vote_response(state, request, granted=granted)
        return
    if request.term > state.term:
        become_follower(state, term=request.term, leader=None, now_s=now_s)
    granted = request.term == state.term and rules.may_vote(
        vote=state.vote,
        candidate=request.sender,
        up_to_date=_is_up_to_date(state, request),
    )
    if granted and state.vote is None:
        state.vote = request.sender
        state.hard_state_changed = True
        state.restart_election_timer(now_s)
    _send_vote_response(state, request, granted=granted)


def _has_live_leader(state: states.State, now_s: float) -> bool:
    if state.role is states.Role.LEADER:
        return True
    return now_s - state.leader_contact_s < state.timing.election_min_s


def _is_up_to_date(state: states.State, request: messages.VoteRequest) -> bool:
    candidate_last = (request.last_term, request.last_index)
    return rules.is_up_to_date(candidate_last, other=state.log.last)


def _send_vote_response(
    state: states.State, request: messages.VoteRequest, *, granted: bool
) -> None:
    term = request.term if granted else state.term
    header = {**state.header(request.sender), 'term': term}
    state.after_write.append(
        messages.VoteResponse(**header, granted=granted, pre=request.pre)
    )


def on_vote_response(
    state: states.State, response: messages.VoteResponse, *, now_s: float
) -> None:
    """Count a granted vote; a majority of the voters elects the leader."""
    if not response.granted:
        if response.term > state.term:
            become_follower(
                state, term=response.term, leader=None, now_s=now_s
            )
        return
    if response.pre:
        expected = (states.Role.PRE_CANDIDATE, state.term + 1)
    else:
        expected = (states.Role.CANDIDATE, state.term)
    if (state.role, response.term) != expected:
        return
    state.granted_by.add(response.sender)
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
    state.excused_s = states.NEVER_S
    state.tick_due_s = now_s + state.timing.heartbeat_s
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
