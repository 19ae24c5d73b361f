"""Specification of the claim ledger across a change of its members.

Member 2 is replaced by member 3. A claimer asks the members of the list
that its host knows. A member of the new list copies from a majority of the
old one before it grants, and being asked seals a member of the old list.
"""

import itertools
from typing import NamedTuple

import minicheck

from benchmarks.models import spec
from skylarkpitch.requests import quorums

__all__ = ['SPECS']

FREE = 0
CONTESTED = -1
LISTS = ((0, 1, 2), (0, 1, 3))
NAMES = (0, 1, 2, 3)


class _Member(NamedTuple):
    epoch: int = 0
    settled: bool = True
    register: int = FREE
    copied: frozenset[int] = frozenset()


class _Claimer(NamedTuple):
    epoch: int
    granted: frozenset[int] = frozenset()
    sent: bool = False
    told_not_run: bool = False


class _State(NamedTuple):
    members: tuple[_Member, ...]
    claimers: tuple[_Claimer, ...]


class _Rules(NamedTuple):
    """What a variant does; the defaults are the protocol."""

    question_seals: bool = True
    copies_first: bool = True
    refuses_older: bool = True
    releases: bool = True


PROTOCOL = _Rules()


def _put(items: tuple, index: int, item) -> tuple:
    return (*items[:index], item, *items[index + 1 :])


def _adopted(name: int, member: _Member) -> _Member:
    copied = frozenset({name}) if name in LISTS[0] else frozenset()
    return member._replace(epoch=1, settled=False, copied=copied)


def _claims(state: _State, number: int, rules: _Rules):
    claimer = state.claimers[number]
    token = number + 1
    for name in LISTS[claimer.epoch]:
        member = state.members[name]
        if member.epoch != claimer.epoch and rules.refuses_older:
            continue
        if not member.settled or member.register not in (FREE, token):
            continue
        members = _put(state.members, name, member._replace(register=token))
        if rules.releases:
            yield 'claim_lost', state._replace(members=members)
        if not claimer.sent and not claimer.told_not_run:
            granted = claimer._replace(granted=claimer.granted | {name})
            claimers = _put(state.claimers, number, granted)
            yield 'claim', _State(members, claimers)


def _ends(state: _State, number: int, rules: _Rules):
    claimer = state.claimers[number]
    if claimer.told_not_run and rules.releases:
        for name in NAMES:
            member = state.members[name]
            if member.register == number + 1:
                freed = member._replace(register=FREE)
                yield (
                    'release',
                    state._replace(members=_put(state.members, name, freed)),
                )
    if claimer.sent or claimer.told_not_run:
        return
    if rules.releases:
        told = claimer._replace(told_not_run=True, granted=frozenset())
        claimers = _put(state.claimers, number, told)
        yield 'give_up', state._replace(claimers=claimers)
    listed = len(LISTS[claimer.epoch])
    if len(claimer.granted) >= quorums.majority(listed):
        sent = claimer._replace(sent=True, granted=frozenset())
        yield (
            'send',
            state._replace(claimers=_put(state.claimers, number, sent)),
        )


def _merged(own: int, copied: int) -> int:
    if copied == FREE or copied == own:
        return own
    return copied if own == FREE else CONTESTED


def _changes(state: _State, rules: _Rules):
    for name in NAMES:
        member = state.members[name]
        if member.epoch == 0:
            adopted = _adopted(name, member)
            yield (
                'adopt',
                state._replace(members=_put(state.members, name, adopted)),
            )
    for name, other in itertools.permutations(NAMES, 2):
        member, source = state.members[name], state.members[other]
        if member.epoch == 0 or member.settled or name not in LISTS[1]:
            continue
        if other not in LISTS[0]:
            continue
        if source.epoch == 0 and rules.question_seals:
            source = _adopted(other, source)
        members = _put(state.members, other, source)
        copied = member._replace(
            register=_merged(member.register, source.register),
            copied=member.copied | {other},
        )
        yield 'copy', state._replace(members=_put(members, name, copied))
    for name in LISTS[1]:
        member = state.members[name]
        heard = member.copied & set(LISTS[0])
        enough = len(heard) >= quorums.majority(len(LISTS[0]))
        if not member.settled and (enough or not rules.copies_first):
            settled = member._replace(settled=True, copied=frozenset())
            yield (
                'settle',
                state._replace(members=_put(state.members, name, settled)),
            )


def _transitions(rules: _Rules):
    def transitions(state: tuple) -> list:
        state = _State(*state)
        following = []
        for number in range(len(state.claimers)):
            following.extend(_claims(state, number, rules))
            following.extend(_ends(state, number, rules))
        following.extend(_changes(state, rules))
        return [
            (label, tuple(after))
            for label, after in following
            if tuple(after) != tuple(state)
        ]

    return transitions


def _protocol(
    *, epochs: tuple[int, ...], rules: _Rules = PROTOCOL
) -> minicheck.Protocol:
    initial = _State(
        members=tuple(_Member() for _ in NAMES),
        claimers=tuple(_Claimer(epoch=epoch) for epoch in epochs),
    )
    return minicheck.Protocol(
        name='ledger_change',
        candidate=False,
        fields=_State._fields,
        initial=tuple(initial),
        transitions=_transitions(rules),
        invariants={
            'runs_at_most_once': lambda s: (
                sum(claimer.sent for claimer in s['claimers']) <= 1
            ),
        },
    )


def _short(**rule: bool) -> minicheck.Protocol:
    return _protocol(epochs=(0, 1), rules=_Rules(releases=False, **rule))


SPECS = (
    spec.Spec(
        name='ledger_change',
        protocol=_protocol(epochs=(0, 1)),
        broken=tuple(
            (name, _short(**rule))
            for name, rule in (
                ('copies_without_sealing', {'question_seals': False}),
                ('grants_before_copying', {'copies_first': False}),
                ('grants_for_older_list', {'refuses_older': False}),
            )
        ),
        small=_short(),
    ),
)
