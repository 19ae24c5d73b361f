"""Specification of the claim ledger with restarts and resends.

One operation is claimed by several claimers; each claim after the first is a
resend. A claimer that wins sends the request and never refuses it afterwards.
A claimer that gives up refuses the request as "not run" and may release its
registers: all, some or none of them. Any response may be lost, and a claim
may arrive after its claimer gave up.

The quorums are those of the program (``requests.quorums``).
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
    lacks_history: bool = False
    copied: frozenset[int] = frozenset()


class _Claimer(NamedTuple):
    grants: tuple = ()
    sent: bool = False
    refused: bool = False


class _State(NamedTuple):
    members: tuple[_Member, ...]
    claimers: tuple[_Claimer, ...]
    restarts_left: int


class _Variant(NamedTuple):
    """Options of a variant; the defaults are those of the protocol."""

    copies_registers: bool = True
    new_incarnation: bool = True
    needs_majority: bool = True
    refuses_only_unsent: bool = True
    copy_quorum: int = quorums.copy_quorum(len(MEMBERS))


PROTOCOL = _Variant()


def _replaced(items: tuple, index: int, item) -> tuple:
    return (*items[:index], item, *items[index + 1 :])


def _merged(stored: int, copied: int) -> int:
    if copied == FREE or copied == stored:
        return stored
    return copied if stored == FREE else CONTESTED


def _claims(state: _State, number: int):
    claimer = state.claimers[number]
    token = number + 1
    for name in MEMBERS:
        member = state.members[name]
        if member.lacks_history or member.register not in (FREE, token):
            continue
        written = member._replace(register=token)
        members = _replaced(state.members, name, written)
        yield 'claim_lost', state._replace(members=members)
        if claimer.sent or claimer.refused:
            continue
        grant = (name, member.incarnation, member.view)
        others = tuple(g for g in claimer.grants if g[0] != name)
        granted = claimer._replace(grants=tuple(sorted((*others, grant))))
        yield (
            'claim',
            _State(
                members,
                _replaced(state.claimers, number, granted),
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


def _ends(state: _State, number: int, variant: _Variant):
    claimer = state.claimers[number]
    if not claimer.sent and not claimer.refused:
        if _has_won(claimer) or not variant.needs_majority:
            sent = claimer._replace(sent=True, grants=())
            claimers = _replaced(state.claimers, number, sent)
            yield 'send', state._replace(claimers=claimers)
    if not claimer.refused and not (
        claimer.sent and variant.refuses_only_unsent
    ):
        refusing = claimer._replace(refused=True, grants=())
        claimers = _replaced(state.claimers, number, refusing)
        yield 'give_up', state._replace(claimers=claimers)
    if claimer.refused:
        for name in MEMBERS:
            member = state.members[name]
            if member.register == number + 1:
                freed = member._replace(register=FREE)
                members = _replaced(state.members, name, freed)
                yield 'release', state._replace(members=members)


def _restarts(state: _State, variant: _Variant):
    if state.restarts_left == 0:
        return
    for name in MEMBERS:
        stopped = state.members[name]
        restarted = _Member(
            incarnation=stopped.incarnation + variant.new_incarnation,
            lacks_history=True,
        )
        restarted = restarted._replace(
            view=_replaced(restarted.view, name, restarted.incarnation)
        )
        yield (
            'restart',
            state._replace(
                members=_replaced(state.members, name, restarted),
                restarts_left=state.restarts_left - 1,
            ),
        )


def _copies(state: _State, variant: _Variant):
    for name, other in itertools.permutations(MEMBERS, 2):
        member, source = state.members[name], state.members[other]
        if not member.lacks_history:
            continue
        informed = source._replace(
            view=_replaced(source.view, name, member.incarnation)
        )
        members = _replaced(state.members, other, informed)
        if not source.lacks_history:
            view = tuple(map(max, member.view, informed.view))
            received = source.register if variant.copies_registers else FREE
            copied = member._replace(
                register=_merged(member.register, received),
                view=_replaced(view, other, source.incarnation),
                copied=member.copied | {other},
            )
            members = _replaced(members, name, copied)
        yield 'copy', state._replace(members=members)
    for name in MEMBERS:
        member = state.members[name]
        if member.lacks_history and len(member.copied) >= variant.copy_quorum:
            synced = member._replace(lacks_history=False, copied=frozenset())
            members = _replaced(state.members, name, synced)
            yield 'see', state._replace(members=members)


def _transitions(variant: _Variant):
    def transitions(state: tuple) -> list:
        state = _State(*state)
        successors = []
        for number in range(len(state.claimers)):
            successors.extend(_claims(state, number))
            successors.extend(_ends(state, number, variant))
        successors.extend(_restarts(state, variant))
        successors.extend(_copies(state, variant))
        return [
            (label, tuple(successor))
            for label, successor in successors
            if tuple(successor) != tuple(state)
        ]

    return transitions


def _protocol(
    *, claimers: int, restarts: int, variant: _Variant = PROTOCOL
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
        transitions=_transitions(variant),
        invariants={
            'runs_at_most_once': lambda s: (
                sum(claimer.sent for claimer in s['claimers']) <= 1
            ),
            'not_run_is_true': lambda s: (
                not any(
                    claimer.sent and claimer.refused
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
            (
                name,
                _protocol(claimers=2, restarts=1, variant=_Variant(**options)),
            )
            for name, options in (
                ('forgets_and_votes', {'copies_registers': False}),
                ('copies_without_incarnation', {'new_incarnation': False}),
                ('sends_before_claim', {'needs_majority': False}),
                ('not_run_after_send', {'refuses_only_unsent': False}),
                ('copies_from_one', {'copy_quorum': 1}),
            )
        ),
        small=_protocol(claimers=2, restarts=1),
    ),
)
