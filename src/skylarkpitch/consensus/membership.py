"""Change the member set, one member at a time.

A host joins as a learner, which does not count in a quorum. Once it has
replicated all committed entries, the leader promotes it to voter. A change
is possible only after the previous change and an entry of the leader's own
term are committed.
"""

from collections.abc import Callable
from collections.abc import Mapping
from collections.abc import Sequence

from skylarkpitch.consensus import election
from skylarkpitch.consensus import members as member_sets
from skylarkpitch.consensus import replication
from skylarkpitch.consensus import rules
from skylarkpitch.consensus import state as states
from skylarkpitch.messages import consensus as messages

__all__ = [
    'PromotionPolicy',
    'add_learner',
    'always_promote',
    'on_tick',
    'ready_learners',
    'remove',
    'step_down_if_removed',
    'transfer_leadership',
]


# Returns whether a learner of a new host may become a voter now. The arguments
# are the voters and the age, in seconds, of the last contact with each other
# member.
PromotionPolicy = Callable[[Sequence[str], Mapping[str, float]], bool]


def always_promote(
    voters: Sequence[str], contact_ages_s: Mapping[str, float]
) -> bool:
    """Return True: a learner becomes a voter as soon as it is ready."""
    return True


def add_learner(state: states.State, identity: str, *, now_s: float) -> int:
    """Propose to add an identity as learner; return the entry's index.

    Raises ``MemberChangeError`` when the identity is a member already or
    another change is in progress.
    """
    _check_can_change_members(state)
    changed = member_sets.with_learner(state.members, identity)
    return _propose(state, changed, now_s)


def remove(state: states.State, identity: str, *, now_s: float) -> int:
    """Propose to remove an identity; return the entry's index.

    Raises ``MemberChangeError`` when the identity is not a member, when
    another change is in progress, or when no quorum of the remaining voters
    is responding.
    """
    _check_can_change_members(state)
    changed = member_sets.without(state.members, identity)
    if not _has_live_quorum(state, changed, now_s):
        raise member_sets.MemberChangeError(
            f'without {identity} no quorum of the remaining voters would '
            'respond; restore the other voters first'
        )
    return _propose(state, changed, now_s)


def on_tick(
    state: states.State, *, may_promote: PromotionPolicy, now_s: float
) -> None:
    """Promote a learner that has caught up, if a change is possible now."""
    if not _can_change_members(state):
        return
    for learner in ready_learners(state, now_s=now_s):
        if _promote(state, learner, may_promote, now_s):
            return


def ready_learners(state: states.State, *, now_s: float) -> list[str]:
    """Return the learners that have caught up and respond."""
    return [
        learner
        for learner in state.members.learners
        if _has_caught_up(state, learner, now_s)
    ]


def step_down_if_removed(state: states.State, *, now_s: float) -> None:
    """Step down once the removal of this member is committed."""
    if state.is_voter or state.members_index > state.commit_index:
        return
    transfer_leadership(state)
    election.become_follower(state, term=state.term, leader=None, now_s=now_s)


def transfer_leadership(state: states.State) -> bool:
    """Request an immediate election at a voter with a complete log.

    Returns False when no other voter has a complete log.
    """
    up_to_date = [
        voter
        for voter in state.other_voters()
        if voter in state.progress
        and state.progress[voter].match_index == state.log.last_index
    ]
    if not up_to_date:
        return False
    successor = max(up_to_date, key=lambda i: state.progress[i].contact_s)
    state.before_write.append(
        messages.LeadershipTransfer(**state.header(successor))
    )
    return True


def _promote(
    state: states.State,
    learner: str,
    may_promote: PromotionPolicy,
    now_s: float,
) -> bool:
    """Propose the next change on the way from a learner to a voter.

    That is the removal of another incarnation of the same host, or, if
    there is none, the promotion. Returns whether a change was proposed.
    """
    replaced = member_sets.other_incarnations(state.members, learner)
    if replaced:
        changed = member_sets.without(state.members, replaced[0])
    else:
        ages_s = {
            name: now_s - item.contact_s
            for name, item in state.progress.items()
        }
        if not may_promote(state.members.voters, ages_s):
            return False
        changed = member_sets.with_voter(state.members, learner)
    if not _has_live_quorum(state, changed, now_s):
        return False
    _propose(state, changed, now_s)
    return True


def _has_caught_up(state: states.State, learner: str, now_s: float) -> bool:
    item = state.progress.get(learner)
    if item is None or item.match_index < state.commit_index:
        return False
    return now_s - item.contact_s < state.timing.election_min_s


def _has_live_quorum(
    state: states.State, members: messages.Members, now_s: float
) -> bool:
    responding = {
        name
        for name, item in state.progress.items()
        if now_s - item.contact_s < state.timing.election_min_s
    }
    responding.add(state.identity)
    return rules.has_quorum(responding, members.voters)


def _can_change_members(state: states.State) -> bool:
    has_own_term_commit = state.log.term_at(state.commit_index) == state.term
    return has_own_term_commit and state.members_index <= state.commit_index


def _check_can_change_members(state: states.State) -> None:
    if not _can_change_members(state):
        raise member_sets.MemberChangeError(
            'another change of members, or the first entry of this leader, '
            'is not committed yet; try again in a second'
        )


def _propose(
    state: states.State, members: messages.Members, now_s: float
) -> int:
    data = member_sets.encode(members)
    index = state.append(messages.EntryKind.MEMBERS, data)
    state.count('member_changes')
    replication.broadcast(state, now_s=now_s)
    return index
