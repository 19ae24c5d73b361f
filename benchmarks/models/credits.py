"""Specification of tickets: credits of one slot that run out.

A lender has two slots, its own callers use them too, and a borrower holds
tickets whose use may arrive late or twice. All counters are times left. The
lender's side is the program's own ``IssuedTickets``.
"""

from collections.abc import Callable
import dataclasses

import minicheck

from benchmarks.models import spec
from skylarkpitch.steering import tickets

__all__ = ['SPECS']

SLOTS = 2
UNUSED = -1
DONE = -2


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Rules:
    tickets: int = 2
    lease: int = 1
    held: int = 2
    once: bool = True
    expires: bool = True


def _replace(items: tuple, position: int, item: object) -> tuple:
    return items[:position] + (item,) + items[position + 1 :]


def _issued(lent: tuple) -> tickets.IssuedTickets:
    issued = tickets.IssuedTickets()
    for number, left in enumerate(lent):
        if left > 0:
            issued.issue(
                str(number),
                tickets.IssuedTicket(
                    service='s',
                    client='b',
                    cross_region=False,
                    expires_s=left,
                ),
            )
    return issued


def _free(state: tuple) -> int:
    lent, _, _, running, local = state
    return SLOTS - _issued(lent).outstanding('s') - sum(running) - local


def _tick(state: tuple, rules: _Rules) -> tuple:
    lent, in_hand, flying, running, local = state
    lent = tuple(left - 1 if left > 0 else left for left in lent)
    in_hand = tuple(max(0, left - 1) for left in in_hand)
    return lent, in_hand, flying, running, local


def _grant(state: tuple, number: int, rules: _Rules) -> tuple:
    lent, in_hand, flying, running, local = state
    lent = _replace(lent, number, rules.held)
    in_hand = _replace(in_hand, number, rules.lease)
    return lent, in_hand, flying, running, local


def _use(state: tuple, number: int) -> tuple:
    lent, in_hand, flying, running, local = state
    in_hand = _replace(in_hand, number, 0)
    return lent, in_hand, _replace(flying, number, 2), running, local


def _redeem(state: tuple, number: int, rules: _Rules) -> tuple:
    lent, in_hand, flying, running, local = state
    flying = _replace(flying, number, flying[number] - 1)
    valid = bool(_issued(lent).redeem(str(number), now_s=0))
    late = not rules.expires and lent[number] == 0
    again = not rules.once and lent[number] == DONE
    if valid or late or again:
        lent = _replace(lent, number, DONE)
        running = _replace(running, number, running[number] + 1)
    return lent, in_hand, flying, running, local


def _ticket_steps(state: tuple, number: int, rules: _Rules) -> list:
    lent, in_hand, flying, running, local = state
    following = []
    if lent[number] == UNUSED and _free(state) > 0:
        following.append((f'grant{number}', _grant(state, number, rules)))
    if in_hand[number] > 0:
        following.append((f'use{number}', _use(state, number)))
    if flying[number] > 0:
        arrived = _redeem(state, number, rules)
        following.append((f'redeem{number}', arrived))
    if running[number] > 0:
        fewer = _replace(running, number, running[number] - 1)
        ended = (lent, in_hand, flying, fewer, local)
        following.append((f'end{number}', ended))
    return following


def _transitions(rules: _Rules) -> Callable[[tuple], list]:
    def transitions(state: tuple) -> list:
        following = [('tick', _tick(state, rules))]
        if _free(state) > 0:
            following.append(('take_local', (*state[:4], state[4] + 1)))
        if state[4] > 0:
            following.append(('end_local', (*state[:4], state[4] - 1)))
        for number in range(rules.tickets):
            following.extend(_ticket_steps(state, number, rules))
        return following

    return transitions


def _protocol(rules: _Rules) -> minicheck.Protocol:
    none = (0,) * rules.tickets
    return minicheck.Protocol(
        name='credits',
        candidate=False,
        fields=('lent', 'in_hand', 'flying', 'running', 'local'),
        initial=((UNUSED,) * rules.tickets, none, none, none, 0),
        transitions=_transitions(rules),
        invariants={
            'credits_within_room': lambda s: _free(tuple(s.values())) >= 0,
            'credit_runs_once': lambda s: max(s['running']) <= 1,
        },
    )


SPECS = (
    spec.Spec(
        name='credits',
        protocol=_protocol(_Rules(tickets=4, lease=2, held=3)),
        broken=(
            ('credit_reused', _protocol(_Rules(once=False))),
            ('expired_credit_honoured', _protocol(_Rules(expires=False))),
        ),
        small=_protocol(_Rules()),
    ),
)
