"""Specification of the claim ledger during a change of its members.

Member 2 is replaced by member 3. A claimer sends its claim to the members of
the list that its host knows. A member of the new list copies from a majority
of the old list before it grants a claim. A member of the old list that gets
a copy request grants no claim under the old list any more.
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
    may_grant: bool = True
    register: int = FREE
    copied: frozenset[int] = frozenset()


class _Claimer(NamedTuple):
    epoch: int
    granted: frozenset[int] = frozenset()
    sent: bool = False
    refused: bool = False


class _State(NamedTuple):
    members: tuple[_Member, ...]
    claimers: tuple[_Claimer, ...]


class _Variant(NamedTuple):
    """Options of a variant; the defaults are those of the protocol."""

    request_seals: bool = True
    copies_first: bool = True
    refuses_older: bool = True
    releases: bool = True


PROTOCOL = _Variant()


def _replaced(items: tuple, index: int, item) -> tuple:
    return (*items[:index], item, *items[index + 1 :])


def _adopted(name: int, member: _Member) -> _Member:
    copied = frozenset({name}) if name in LISTS[0] else frozenset()
    return member._replace(epoch=1, may_grant=False, copied=copied)


def _claims(state: _State, number: int, variant: _Variant):
    claimer = state.claimers[number]
    token = number + 1
    for name in LISTS[claimer.epoch]:
        member = state.members[name]
        if member.epoch != claimer.epoch and variant.refuses_older:
            continue
        if not member.may_grant or member.register not in (FREE, token):
            continue
        members = _replaced(
            state.members, name, member._replace(register=token)
        )
        if variant.releases:
            yield 'claim_lost', state._replace(members=members)
        if not claimer.sent and not claimer.refused:
            granted = claimer._replace(granted=claimer.granted | {name})
            claimers = _replaced(state.claimers, number, granted)
            yield 'claim', _State(members, claimers)


def _ends(state: _State, number: int, variant: _Variant):
    claimer = state.claimers[number]
    if claimer.refused and variant.releases:
        for name in NAMES:
            member = state.members[name]
            if member.register == number + 1:
                freed = member._replace(register=FREE)
                yield (
                    'release',
                    state._replace(
                        members=_replaced(state.members, name, freed)
                    ),
                )
    if claimer.sent or claimer.refused:
        return
    if variant.releases:
        refusing = claimer._replace(refused=True, granted=frozenset())
        claimers = _replaced(state.claimers, number, refusing)
        yield 'give_up', state._replace(claimers=claimers)
    listed = len(LISTS[claimer.epoch])
    if len(claimer.granted) >= quorums.majority(listed):
        sent = claimer._replace(sent=True, granted=frozenset())
        yield (
            'send',
            state._replace(claimers=_replaced(state.claimers, number, sent)),
        )


def _merged(stored: int, copied: int) -> int:
    if copied == FREE or copied == stored:
        return stored
    return copied if stored == FREE else CONTESTED


def _changes(state: _State, variant: _Variant):
    for name in NAMES:
        member = state.members[name]
        if member.epoch == 0:
            adopted = _adopted(name, member)
            yield (
                'adopt',
                state._replace(
                    members=_replaced(state.members, name, adopted)
                ),
            )
    for name, other in itertools.permutations(NAMES, 2):
        member, source = state.members[name], state.members[other]
        if member.epoch == 0 or member.may_grant or name not in LISTS[1]:
            continue
        if other not in LISTS[0]:
            continue
        if source.epoch == 0 and variant.request_seals:
            source = _adopted(other, source)
        members = _replaced(state.members, other, source)
        copied = member._replace(
            register=_merged(member.register, source.register),
            copied=member.copied | {other},
        )
        yield 'copy', state._replace(members=_replaced(members, name, copied))
    for name in LISTS[1]:
        member = state.members[name]
        old_members = member.copied & set(LISTS[0])
        is_majority = len(old_members) >= quorums.majority(len(LISTS[0]))
        if not member.may_grant and (is_majority or not variant.copies_first):
            synced = member._replace(may_grant=True, copied=frozenset())
            yield (
                'settle',
                state._replace(members=_replaced(state.members, name, synced)),
            )


def _transitions(variant: _Variant):
    def transitions(state: tuple) -> list:
        state = _State(*state)
        successors = []
        for number in range(len(state.claimers)):
            successors.extend(_claims(state, number, variant))
            successors.extend(_ends(state, number, variant))
        successors.extend(_changes(state, variant))
        return [
            (label, tuple(successor))
            for label, successor in successors
            if tuple(successor) != tuple(state)
        ]

    return transitions


def _protocol(
    *, epochs: tuple[int, ...], variant: _Variant = PROTOCOL
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
        transitions=_transitions(variant),
        invariants={
            'runs_at_most_once': lambda s: (
                sum(claimer.sent for claimer in s['claimers']) <= 1
            ),
        },
    )


def _without_release(**options: bool) -> minicheck.Protocol:
    return _protocol(
        epochs=(0, 1), variant=_Variant(releases=False, **options)
    )


SPECS = (
    spec.Spec(
        name='ledger_change',
        protocol=_protocol(epochs=(0, 1)),
        broken=tuple(
            (name, _without_release(**options))
            for name, options in (
                ('copies_without_sealing', {'request_seals': False}),
                ('grants_before_copying', {'copies_first': False}),
                ('grants_for_older_list', {'refuses_older': False}),
            )
        ),
        small=_without_release(),
    ),
)
