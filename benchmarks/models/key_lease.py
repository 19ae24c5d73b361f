"""Specification of the key lease, with drifting clocks and a relay.

A key is withdrawn at some moment of the first tick. A host sends requests to
a relay, and the relay to a control host, whose proof by the quorum may be
old. Responses are withheld and delayed for any time or are lost, and the rate
of every clock may be wrong by ``DRIFT``. No host may accept the key
``LEASE_TICKS`` ticks after the withdrawal. Proofs and leases are computed by
the functions that the program uses.

A request arrives as soon as it is sent: a later arrival would only shorten
the time for which the response is withheld, and thus the proof.

Clocks count in units: ten per tick for a true clock, nine for a slow one and
eleven for a fast one.
"""

from collections.abc import Callable
import dataclasses
import math
from typing import NamedTuple

import minicheck

from benchmarks.models import spec
from skylarkpitch.dissemination import freshness

__all__ = ['SPECS']

UNITS_PER_TICK = 10
DRIFT = 0.1
LEASE_TICKS = 3
NEVER = -1000
VALID = 0
WITHDRAWN = 1
WITHDRAWN_AT_TICK = 1
CLOCKS = ((9, 9, 9), (11, 11, 9), (10, 10, 11))
HOST_OFFSET = -20


class Node(NamedTuple):
    """Version and proof of a relay or host, and its pending request.

    ``asked`` is the time when the request was sent, or NEVER. ``sent`` is the
    response in transit: a version and the value from which its proof is
    computed.
    """

    version: int = VALID
    proof: int = NEVER
    asked: int = NEVER
    sent: tuple = ()


_WITHDRAWN_RESPONSE = (WITHDRAWN, 0)


class State(NamedTuple):
    """True time in ticks, and the state of all nodes."""

    now: int
    is_withdrawn: bool
    clocks: tuple
    control_proof: int
    control_version: int
    relay: Node
    host: Node
    push: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class Variant:
    """Bounds of the specification, and the rules for proofs and leases.

    The flags select the faults of the broken variants.
    """

    ticks: int
    clocks: tuple = CLOCKS
    drift: float = DRIFT
    adds_ages: bool = True
    from_arrival: bool = False
    by_granter: bool = False
    counts_push: bool = False


def _clock(state: State, index: int) -> int:
    offset = HOST_OFFSET if index == 2 else 0
    return offset + state.now * state.clocks[index]


def _request_tick(state: State, node: Node, index: int) -> int:
    offset = HOST_OFFSET if index == 2 else 0
    return (node.asked - offset) // state.clocks[index]


def _proof(asked: int, held: int, age: int, drift: float) -> int:
    proof = freshness.proven_at_s(
        sent_at_s=asked, held_s=held, age_s=age, drift=drift
    )
    return math.floor(proof)


def _with_response(state: State, index: int, variant: Variant) -> Node:
    """Return the node at ``index`` with the response in transit."""
    requester = (state.relay, state.host)[index - 1]
    upper = index - 1
    now = _clock(state, upper)
    if upper == 0:
        version, proof = state.control_version, state.control_proof
    else:
        version, proof = state.relay.version, state.relay.proof
    if version == WITHDRAWN:
        return requester._replace(asked=NEVER, sent=_WITHDRAWN_RESPONSE)
    if proof == NEVER:
        return requester._replace(asked=NEVER)
    age = now - proof if upper == 0 or variant.adds_ages else 0
    held = now - _request_tick(state, requester, index) * state.clocks[upper]
    if variant.by_granter:
        basis = proof
    elif variant.from_arrival:
        basis = age
    else:
        basis = _proof(requester.asked, held, age, variant.drift)
    return requester._replace(asked=NEVER, sent=(VALID, basis))


def _received(node: Node, now: int, variant: Variant) -> Node:
    version, basis = node.sent
    if version == WITHDRAWN:
        return Node(version=WITHDRAWN)
    if variant.from_arrival:
        basis = _proof(now, 0, basis, variant.drift)
    return Node(proof=max(node.proof, basis))


def _steps(
    state: State, name: str, index: int, variant: Variant
) -> list[tuple[str, State]]:
    node: Node = getattr(state, name)
    now = _clock(state, index)
    if node.version == WITHDRAWN:
        return []
    if node.sent:
        lost = node._replace(sent=())
        successors = [_received(node, now, variant), lost]
    elif node.asked > NEVER:
        successors = [_with_response(state, index, variant)]
    else:
        successors = [node._replace(asked=now)]
    return [
        (f'{name}{n}', state._replace(**{name: after}))
        for n, after in enumerate(successors)
    ]


def _push_steps(state: State) -> list[tuple[str, State]]:
    if state.push < 0:
        return [('push', state._replace(push=state.control_version))]
    host = state.host._replace(
        version=max(state.host.version, state.push), proof=_clock(state, 2)
    )
    return [('pushed', state._replace(push=-1, host=host))]


def _after_proof(state: State) -> State:
    """Return the state after a proof by the quorum.

    Proofs of a state without the key are not distinguished, since no later
    transition depends on them.
    """
    if state.is_withdrawn:
        return state._replace(control_version=WITHDRAWN, control_proof=NEVER)
    return state._replace(control_proof=_clock(state, 0))


def _transitions(variant: Variant) -> Callable[[tuple], list]:
    def transitions(values: tuple) -> list:
        state = State(*values)
        if not state.clocks:
            return [
                (f'clocks{n}', state._replace(clocks=clocks))
                for n, clocks in enumerate(variant.clocks)
            ]
        if state.host.version == WITHDRAWN:
            return []
        if variant.counts_push:
            successors = _push_steps(state)
        else:
            successors = _steps(state, 'relay', 1, variant)
            successors += _steps(state, 'host', 2, variant)
        if state.now < variant.ticks and (state.is_withdrawn or not state.now):
            successors.append(('tick', state._replace(now=state.now + 1)))
        if state.now == WITHDRAWN_AT_TICK and not state.is_withdrawn:
            successors.append(('withdraw', state._replace(is_withdrawn=True)))
        successors.append(('prove', _after_proof(state)))
        return successors

    return transitions


def _accepts_key(state: State, variant: Variant) -> bool:
    host = state.host
    if host.version == WITHDRAWN or host.proof == NEVER:
        return False
    end = freshness.serves_until_s(
        proven_at_s=host.proof,
        lease_s=LEASE_TICKS * UNITS_PER_TICK,
        drift=variant.drift,
    )
    return _clock(state, 2) < end


def _is_refused_in_time(variant: Variant) -> Callable[[dict], bool]:
    def holds(fields: dict) -> bool:
        state = State(**fields)
        if (
            not state.is_withdrawn
            or state.now < WITHDRAWN_AT_TICK + LEASE_TICKS
        ):
            return True
        return not _accepts_key(state, variant)

    return holds


def _protocol(**fields) -> minicheck.Protocol:
    variant = Variant(**fields)
    return minicheck.Protocol(
        name='key_lease',
        candidate=False,
        fields=State._fields,
        initial=State(
            now=0,
            is_withdrawn=False,
            clocks=(),
            control_proof=NEVER,
            control_version=VALID,
            relay=Node(),
            host=Node(),
            push=-1,
        ),
        transitions=_transitions(variant),
        invariants={'refused_in_time': _is_refused_in_time(variant)},
    )


_SLOW_CLOCKS = ((9, 9, 9),)


def _broken(**fields) -> minicheck.Protocol:
    return _protocol(ticks=4, clocks=_SLOW_CLOCKS, **fields)


SPECS = (
    spec.Spec(
        name='key_lease',
        protocol=_protocol(ticks=5),
        broken=(
            ('granters_clock', _broken(by_granter=True)),
            ('from_arrival', _broken(from_arrival=True)),
            ('push_is_proof', _broken(counts_push=True)),
            ('no_drift', _broken(drift=0.0)),
            ('ages_not_added', _broken(adds_ages=False)),
        ),
        small=_protocol(ticks=4, clocks=_SLOW_CLOCKS),
    ),
)
