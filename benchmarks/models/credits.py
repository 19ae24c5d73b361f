"""Specification of tickets, each the right to use one slot for a time.

An issuer has two slots, which its local callers use too. A client has tickets,
and a call that uses one may arrive late or twice. All counters are remaining
times. The issuer's side is the ``IssuedTickets`` of the program.
"""

from collections.abc import Callable
import dataclasses

import minicheck

from benchmarks.models import spec
from skylarkpitch.steering import tickets

__all__ = ['SPECS']

SLOTS = 2
NOT_ISSUED = -1
REDEEMED = -2


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Variant:
    tickets: int = 2
    lease: int = 1
    reservation: int = 2
    once: bool = True
    expires: bool = True


def _replace(items: tuple, position: int, item: object) -> tuple:
    return items[:position] + (item,) + items[position + 1 :]


def _issued(issued_left: tuple) -> tickets.IssuedTickets:
    issued = tickets.IssuedTickets()
    for number, left in enumerate(issued_left):
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
    issued_left, _, _, running, local = state
    return SLOTS - _issued(issued_left).outstanding('s') - sum(running) - local


def _tick(state: tuple, variant: _Variant) -> tuple:
    issued_left, client_left, in_flight, running, local = state
    issued_left = tuple(left - 1 if left > 0 else left for left in issued_left)
    client_left = tuple(max(0, left - 1) for left in client_left)
    return issued_left, client_left, in_flight, running, local


def _grant(state: tuple, number: int, variant: _Variant) -> tuple:
    issued_left, client_left, in_flight, running, local = state
    issued_left = _replace(issued_left, number, variant.reservation)
    client_left = _replace(client_left, number, variant.lease)
    return issued_left, client_left, in_flight, running, local


def _use(state: tuple, number: int) -> tuple:
    issued_left, client_left, in_flight, running, local = state
    client_left = _replace(client_left, number, 0)
    return (
        issued_left,
        client_left,
        _replace(in_flight, number, 2),
        running,
        local,
    )


def _redeem(state: tuple, number: int, variant: _Variant) -> tuple:
    issued_left, client_left, in_flight, running, local = state
    in_flight = _replace(in_flight, number, in_flight[number] - 1)
    valid = bool(_issued(issued_left).redeem(str(number), now_s=0))
    late = not variant.expires and issued_left[number] == 0
    repeated = not variant.once and issued_left[number] == REDEEMED
    if valid or late or repeated:
        issued_left = _replace(issued_left, number, REDEEMED)
        running = _replace(running, number, running[number] + 1)
    return issued_left, client_left, in_flight, running, local


def _ticket_steps(state: tuple, number: int, variant: _Variant) -> list:
    issued_left, client_left, in_flight, running, local = state
    successors = []
    if issued_left[number] == NOT_ISSUED and _free(state) > 0:
        successors.append((f'grant{number}', _grant(state, number, variant)))
    if client_left[number] > 0:
        successors.append((f'use{number}', _use(state, number)))
    if in_flight[number] > 0:
        arrived = _redeem(state, number, variant)
        successors.append((f'redeem{number}', arrived))
    if running[number] > 0:
        fewer = _replace(running, number, running[number] - 1)
        ended = (issued_left, client_left, in_flight, fewer, local)
        successors.append((f'end{number}', ended))
    return successors


def _transitions(variant: _Variant) -> Callable[[tuple], list]:
    def transitions(state: tuple) -> list:
        successors = [('tick', _tick(state, variant))]
        if _free(state) > 0:
            successors.append(('take_local', (*state[:4], state[4] + 1)))
        if state[4] > 0:
            successors.append(('end_local', (*state[:4], state[4] - 1)))
        for number in range(variant.tickets):
            successors.extend(_ticket_steps(state, number, variant))
        return successors

    return transitions


def _protocol(variant: _Variant) -> minicheck.Protocol:
    zeros = (0,) * variant.tickets
    return minicheck.Protocol(
        name='credits',
        candidate=False,
        fields=('lent', 'in_hand', 'flying', 'running', 'local'),
        initial=((NOT_ISSUED,) * variant.tickets, zeros, zeros, zeros, 0),
        transitions=_transitions(variant),
        invariants={
            'credits_within_room': lambda s: _free(tuple(s.values())) >= 0,
            'credit_runs_once': lambda s: max(s['running']) <= 1,
        },
    )


SPECS = (
    spec.Spec(
        name='credits',
        protocol=_protocol(_Variant(tickets=4, lease=2, reservation=3)),
        broken=(
            ('credit_reused', _protocol(_Variant(once=False))),
            ('expired_credit_honoured', _protocol(_Variant(expires=False))),
        ),
        small=_protocol(_Variant()),
    ),
)
