"""Transitions of the replicated log with crashes and a lost disk.

Hosts 0, 1 and 2 are the founders. Host 2 may lose its disk; its next
incarnation is identity 3, which is a learner at first. The leader then
removes 2 and, once 3 has caught up, adds it as a voter. Votes and
acknowledgements arrive one by one, in any order or never, and are counted
with the rules in ``consensus.rules``, as in the implementation.

A member is ``(term, vote, role, log, responses)``: ``log`` is a tuple of
``(term, kind)``; ``responses`` are the voters that granted their vote or,
for a leader, the index that each identity acknowledged. An identity that
does not exist, or no longer does, is None. The crash transition also
covers a leader that steps down, since both lose only their role.
"""

import dataclasses
import itertools

import minicheck

from skylarkpitch.consensus import rules

__all__ = ['REPAIRED', 'protocol']

LOST = 2
REPAIRED = 3
IDENTITIES = (0, 1, LOST, REPAIRED)
FOUNDERS = (0, 1, LOST)

FOLLOWER, CANDIDATE, LEADER = range(3)
COMMAND, REMOVE_LOST, ADD_REPAIRED = range(3)
NOT_LOST, DISK_LOST = range(2)

# Two leaders failed, each before it replicated its first entry.
LEADERS_FAILED = (
    (1, 0, FOLLOWER, ((1, COMMAND),), ()),
    (2, 1, FOLLOWER, ((2, COMMAND),), ()),
    (2, 1, FOLLOWER, (), ()),
    None,
)

BLANK = (0, None, FOLLOWER, (), ())
NO_ACKS = (0,) * len(IDENTITIES)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Variant:
    """Bounds of a specification, and rules that broken variants omit."""

    terms: int
    entries: int
    crashes: int
    losses: int
    candidates: tuple[int, ...] = IDENTITIES
    leaders_failed: bool = False
    syncs_votes: bool = True
    counts_own_term_only: bool = True
    retains_identity: bool = False
    counts_repaired_at_once: bool = False


def _voters(log: tuple, disk: int, variant: Variant) -> tuple:
    voters = FOUNDERS
    for _, kind in log:
        if kind == REMOVE_LOST:
            voters = (0, 1)
        elif kind == ADD_REPAIRED:
            voters = (0, 1, REPAIRED)
    if variant.counts_repaired_at_once and disk == DISK_LOST:
        voters = (0, 1, REPAIRED)
    return voters


def _last(log: tuple) -> tuple:
    return (log[-1][0] if log else 0, len(log))


def _replace_members(members: tuple, **changed: tuple) -> tuple:
    return tuple(
        changed.get(f'm{i}', member) for i, member in enumerate(members)
    )


class _Transitions:
    """Function from a state to its possible transitions."""

    def __init__(self, variant: Variant) -> None:
        self._variant = variant

    def __call__(self, state: tuple) -> list:
        if state[-1]:
            return []
        steps = []
        for i in IDENTITIES:
            member = state[0][i]
            if member is None:
                continue
            steps += self._time_out(state, i, member)
            steps += self._crash(state, i, member)
            if member[2] == CANDIDATE:
                steps += self._receive_vote(state, i, member)
                steps += self._win_election(state, i, member)
            elif member[2] == LEADER:
                steps += self._append(state, i, member)
                steps += self._replicate(state, i, member)
                steps += self._commit(state, i, member)
        return steps + self._lose_disk(state)

    def _time_out(self, state: tuple, i: int, member: tuple) -> list:
        members, disk, *rest = state
        term, _, role, log, _ = member
        voters = _voters(log, disk, self._variant)
        if role == LEADER or term >= self._variant.terms:
            return []
        if i not in voters or i not in self._variant.candidates:
            return []
        after = (term + 1, i, CANDIDATE, log, (i,))
        return [
            (
                f'timeout{i}',
                (_replace_members(members, **{f'm{i}': after}), disk, *rest),
            )
        ]

    def _crash(self, state: tuple, i: int, member: tuple) -> list:
        members, disk, crashes, *rest = state
        if crashes == 0:
            return []
        term, vote, _, log, _ = member
        if not self._variant.syncs_votes:
            vote = None
        after = (term, vote, FOLLOWER, log, ())
        changed = _replace_members(members, **{f'm{i}': after})
        return [(f'crash{i}', (changed, disk, crashes - 1, *rest))]

    def _receive_vote(self, state: tuple, i: int, member: tuple) -> list:
        members, *rest = state
        term, _, _, log, granted_by = member
        steps = []
        for j in IDENTITIES:
            if j in granted_by or members[j] is None:
                continue
            other_term, vote, _, other_log, _ = members[j]
            if other_term > term:
                continue
            vote = vote if other_term == term else None
            up_to_date = rules.is_up_to_date(
                _last(log), other=_last(other_log)
            )
            if not rules.may_vote(
                vote=vote, candidate=i, up_to_date=up_to_date
            ):
                continue
            granted = (term, i, FOLLOWER, other_log, ())
            counted = (
                term,
                i,
                CANDIDATE,
                log,
                tuple(sorted((*granted_by, j))),
            )
            changed = {f'm{i}': counted, f'm{j}': granted}
            steps.append(
                (
                    f'vote{j}for{i}',
                    (_replace_members(members, **changed), *rest),
                )
            )
        return steps

    def _win_election(self, state: tuple, i: int, member: tuple) -> list:
        members, disk, crashes, leaders, committed, bad = state
        term, vote, _, log, granted_by = member
        if not rules.has_quorum(granted_by, _voters(log, disk, self._variant)):
            return []
        if leaders[term - 1] is not None:
            bad = bad or 'two_leaders'
        # With late votes, a candidate may win a term older than the commit.
        is_newer_term = _last(committed)[0] < term
        if is_newer_term and log[: len(committed)] != committed:
            bad = bad or 'committed_missing'
        new_leaders = list(leaders)
        new_leaders[term - 1] = i
        grown = (*log, (term, COMMAND))
        acks = list(NO_ACKS)
        acks[i] = len(grown)
        after = (term, vote, LEADER, grown, tuple(acks))
        changed = _replace_members(members, **{f'm{i}': after})
        return [
            (
                f'win{i}',
                (changed, disk, crashes, tuple(new_leaders), committed, bad),
            )
        ]

    def _append(self, state: tuple, i: int, member: tuple) -> list:
        members, disk, *rest = state
        term, vote, role, log, acks = member
        if len(log) >= self._variant.entries:
            return []
        steps = []
        for kind in self._appendable_kinds(state, member):
            grown = (*log, (term, kind))
            new_acks = list(acks)
            new_acks[i] = len(grown)
            after = (term, vote, role, grown, tuple(new_acks))
            changed = _replace_members(members, **{f'm{i}': after})
            steps.append((f'append{i}', (changed, disk, *rest)))
        return steps

    def _appendable_kinds(self, state: tuple, member: tuple) -> list:
        _, disk, _, _, committed, _ = state
        term, _, _, log, acks = member
        kinds = [COMMAND]
        has_own_term_commit = bool(committed) and committed[-1][0] == term
        pending = any(k != COMMAND for _, k in log[len(committed) :])
        if disk == NOT_LOST or not has_own_term_commit or pending:
            return kinds
        logged_kinds = {kind for _, kind in log}
        if REMOVE_LOST not in logged_kinds:
            kinds.append(REMOVE_LOST)
        elif ADD_REPAIRED not in logged_kinds and acks[REPAIRED] >= len(
            committed
        ):
            kinds.append(ADD_REPAIRED)
        return kinds

    def _replicate(self, state: tuple, i: int, member: tuple) -> list:
        members, *rest = state
        term, vote, role, log, acks = member
        steps = []
        for j in IDENTITIES:
            if j == i or members[j] is None or members[j][0] > term:
                continue
            after, index = _after_append(members[j], term, log)
            if after == members[j] and acks[j] == index:
                continue
            new_acks = list(acks)
            new_acks[j] = max(new_acks[j], index)
            leader = (term, vote, role, log, tuple(new_acks))
            changed = {f'm{i}': leader, f'm{j}': after}
            steps.append(
                (
                    f'send{i}to{j}',
                    (_replace_members(members, **changed), *rest),
                )
            )
        return steps

    def _commit(self, state: tuple, i: int, member: tuple) -> list:
        members, disk, crashes, leaders, committed, bad = state
        term, _, _, log, acks = member
        stored = dict(enumerate(acks))
        voters = _voters(log, disk, self._variant)
        index = rules.quorum_value(stored, voters, missing=0)
        entry_term = log[index - 1][0] if index else 0
        if self._variant.counts_own_term_only:
            counted = rules.may_commit(
                index=index,
                commit_index=0,
                entry_term=entry_term,
                term=term,
            )
        else:
            counted = index > 0
        if not counted:
            return []
        prefix = log[:index]
        short = min(len(prefix), len(committed))
        if prefix[:short] != committed[:short]:
            bad = bad or 'committed_changed'
        longer = prefix if len(prefix) > len(committed) else committed
        if (longer, bad) == (committed, state[5]):
            return []
        return [(f'commit{i}', (members, disk, crashes, leaders, longer, bad))]

    def _lose_disk(self, state: tuple) -> list:
        members, disk, *rest = state
        if disk == DISK_LOST or self._variant.losses == 0:
            return []
        if self._variant.retains_identity:
            changed = _replace_members(members, m2=BLANK)
        else:
            changed = _replace_members(members, m2=None, m3=BLANK)
        return [('lose_disk', (changed, DISK_LOST, *rest))]


def _after_append(member: tuple, term: int, log: tuple) -> tuple:
    """Return a follower after one more entry, and its matching index."""
    member_term, vote, _, member_log, _ = member
    common = 0
    while common < min(len(member_log), len(log)):
        if member_log[common] != log[common]:
            break
        common += 1
    vote = vote if member_term == term else None
    if common == len(log):
        return (term, vote, FOLLOWER, member_log, ()), common
    stored = (*log[:common], log[common])
    return (term, vote, FOLLOWER, stored, ()), common + 1


def _logs_match(state: dict) -> bool:
    logs = [member[3] for member in state['members'] if member]
    pairs = itertools.combinations(logs, 2)
    return all(_match(one, other) for one, other in pairs)


def _match(one: tuple, other: tuple) -> bool:
    for index in range(min(len(one), len(other)), 0, -1):
        if one[index - 1] == other[index - 1]:
            return one[:index] == other[:index]
    return True


def protocol(**options: object) -> minicheck.Protocol:
    """Return the protocol for the fields of :class:`Variant`."""
    variant = Variant(**options)
    members = (BLANK, BLANK, BLANK, None)
    leaders = (None,) * variant.terms
    if variant.leaders_failed:
        members = LEADERS_FAILED
        leaders = (0, 1, *leaders[2:])
    return minicheck.Protocol(
        name='log',
        candidate=False,
        fields=(
            'members',
            'disk',
            'crashes',
            'leaders',
            'committed',
            'bad',
        ),
        initial=(
            members,
            NOT_LOST,
            variant.crashes,
            leaders,
            (),
            '',
        ),
        transitions=_Transitions(variant),
        invariants={
            'one_leader_a_term': lambda s: s['bad'] != 'two_leaders',
            'leader_holds_committed': lambda s: (
                s['bad'] != 'committed_missing'
            ),
            'committed_never_changes': lambda s: (
                s['bad'] != 'committed_changed'
            ),
            'logs_match': _logs_match,
        },
    )
