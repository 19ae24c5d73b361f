"""Specifications of the claim ledger: restarts, resends, member change.

One operation is claimed by several claimers, of which each later one is a
resend. A claimer that wins sends and is never told off; one that gives up
says "not run" and may give its registers back, in part or not at all. Any
answer may be lost, and a question may arrive after its claimer gave up.

The rules for majorities are the program's own (``requests.quorums``).
"""

import itertools
from typing import NamedTuple

import minicheck

from benchmarks.models import spec
from skylarkpitch.requests import quorums

__all__ = ['SPECS']

FREE = 0
CONTESTED = -1
MEMBERS = (0, 1, 2)


class _Member(NamedTuple):
    incarnation: int = 0
    view: tuple[int, ...] = (0, 0, 0)
    register: int = FREE
    blind: bool = False
    copied: frozenset[int] = frozenset()


class _Claimer(NamedTuple):
    grants: tuple = ()
    sent: bool = False
    told_not_run: bool = False


class _State(NamedTuple):
    members: tuple[_Member, ...]
    claimers: tuple[_Claimer, ...]
    restarts_left: int


class _Rules(NamedTuple):
    """What a variant does; the defaults are the protocol."""

    copies_registers: bool = True
    new_incarnation: bool = True
    needs_majority: bool = True
    tells_truth: bool = True
    copy_quorum: int = quorums.copy_quorum(len(MEMBERS))


PROTOCOL = _Rules()


def _put(items: tuple, index: int, item) -> tuple:
    return (*items[:index], item, *items[index + 1 :])


def _merged(own: int, copied: int) -> int:
    if copied == FREE or copied == own:
        return own
    return copied if own == FREE else CONTESTED


def _claims(state: _State, number: int):
    claimer = state.claimers[number]
    token = number + 1
    for name in MEMBERS:
        member = state.members[name]
        if member.blind or member.register not in (FREE, token):
            continue
        written = member._replace(register=token)
        members = _put(state.members, name, written)
        yield 'claim_lost', state._replace(members=members)
        if claimer.sent or claimer.told_not_run:
            continue
        grant = (name, member.incarnation, member.view)
        kept = tuple(g for g in claimer.grants if g[0] != name)
        granted = claimer._replace(grants=tuple(sorted((*kept, grant))))
        yield (
            'claim',
            _State(
                members,
                _put(state.claimers, number, granted),
                state.restarts_left,
            ),
        )


def _has_won(claimer: _Claimer) -> bool:
    return quorums.agreeing_majority(
        [str(name) for name in MEMBERS],
        {str(name): incarnation for name, incarnation, _ in claimer.grants},
        {
            str(name): {str(n): i for n, i in enumerate(view)}
            for name, _, view in claimer.grants
        },
    )


def _ends(state: _State, number: int, rules: _Rules):
    claimer = state.claimers[number]
    if not claimer.sent and not claimer.told_not_run:
        if _has_won(claimer) or not rules.needs_majority:
            sent = claimer._replace(sent=True, grants=())
            claimers = _put(state.claimers, number, sent)
            yield 'send', state._replace(claimers=claimers)
    if not claimer.told_not_run and not (claimer.sent and rules.tells_truth):
        told = claimer._replace(told_not_run=True, grants=())
        claimers = _put(state.claimers, number, told)
        yield 'give_up', state._replace(claimers=claimers)
    if claimer.told_not_run:
        for name in MEMBERS:
            member = state.members[name]
            if member.register == number + 1:
                freed = member._replace(register=FREE)
                members = _put(state.members, name, freed)
                yield 'release', state._replace(members=members)


def _restarts(state: _State, rules: _Rules):
    if state.restarts_left == 0:
        return
    for name in MEMBERS:
        old = state.members[name]
        fresh = _Member(
            incarnation=old.incarnation + rules.new_incarnation,
            blind=True,
        )
        fresh = fresh._replace(view=_put(fresh.view, name, fresh.incarnation))
        yield (
            'restart',
            state._replace(
                members=_put(state.members, name, fresh),
                restarts_left=state.restarts_left - 1,
            ),
        )


def _copies(state: _State, rules: _Rules):
    for name, other in itertools.permutations(MEMBERS, 2):
        member, source = state.members[name], state.members[other]
        if not member.blind:
            continue
        noted = source._replace(
            view=_put(source.view, name, member.incarnation)
        )
        members = _put(state.members, other, noted)
        if not source.blind:
            view = tuple(map(max, member.view, noted.view))
            held = source.register if rules.copies_registers else FREE
            copied = member._replace(
                register=_merged(member.register, held),
                view=_put(view, other, source.incarnation),
                copied=member.copied | {other},
            )
            members = _put(members, name, copied)
        yield 'copy', state._replace(members=members)
    for name in MEMBERS:
        member = state.members[name]
        if member.blind and len(member.copied) >= rules.copy_quorum:
            seeing = member._replace(blind=False, copied=frozenset())
            members = _put(state.members, name, seeing)
            yield 'see', state._replace(members=members)


def _transitions(rules: _Rules):
    def transitions(state: tuple) -> list:
        state = _State(*state)
        following = []
        for number in range(len(state.claimers)):
            following.extend(_claims(state, number))
            following.extend(_ends(state, number, rules))
        following.extend(_restarts(state, rules))
        following.extend(_copies(state, rules))
        return [
            (label, tuple(after))
            for label, after in following
            if tuple(after) != tuple(state)
        ]

    return transitions


def _protocol(
    *, claimers: int, restarts: int, rules: _Rules = PROTOCOL
) -> minicheck.Protocol:
    initial = _State(
        members=tuple(_Member() for _ in MEMBERS),
        claimers=tuple(_Claimer() for _ in range(claimers)),
        restarts_left=restarts,
    )
    return minicheck.Protocol(
        name='claim_ledger',
        candidate=False,
        fields=_State._fields,
        initial=tuple(initial),
        transitions=_transitions(rules),
        invariants={
            'runs_at_most_once': lambda s: (
                sum(claimer.sent for claimer in s['claimers']) <= 1
            ),
            'not_run_is_true': lambda s: (
                not any(
                    claimer.sent and claimer.told_not_run
                    for claimer in s['claimers']
                )
            ),
        },
    )


SPECS = (
    spec.Spec(
        name='claim_ledger',
        protocol=_protocol(claimers=2, restarts=2),
        broken=tuple(
            (name, _protocol(claimers=2, restarts=1, rules=_Rules(**rule)))
            for name, rule in (
                ('forgets_and_votes', {'copies_registers': False}),
                ('copies_without_incarnation', {'new_incarnation': False}),
                ('sends_before_claim', {'needs_majority': False}),
                ('not_run_after_send', {'tells_truth': False}),
                ('copies_from_one', {'copy_quorum': 1}),
            )
        ),
        small=_protocol(claimers=2, restarts=1),
    ),
)
