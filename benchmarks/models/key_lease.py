"""Specification of the key lease, with drifting clocks and a relay.

A key is withdrawn at some moment of the first tick. A host asks a relay and
the relay asks a control host, whose proof by the quorum may be old. Answers
are held and travel for any time or are lost, and every clock may run off by
``DRIFT``. No host may take the key ``LEASE`` ticks after the withdrawal.
Proofs and leases are computed by the functions that the program uses.

A question arrives as soon as it is asked: a later arrival only shortens the
time that the answer is held, and so the proof.

Clocks count in units: ten a tick for a true clock, nine for a slow one and
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

UNITS = 10
DRIFT = 0.1
LEASE = 3
NEVER = -1000
VALID = 0
WITHDRAWN = 1
WITHDRAWN_AT = 1
CLOCKS = ((9, 9, 9), (11, 11, 9), (10, 10, 11))
HOST_OFFSET = -20


class Holder(NamedTuple):
    """Version and proof of a holder, and its question on the way.

    ``asked`` is when the question was sent, or NEVER. ``sent`` is what the
    answer on the way brings: a version and what its proof is worked out from.
    """

    version: int = VALID
    proof: int = NEVER
    asked: int = NEVER
    sent: tuple = ()


_LEARNT = (WITHDRAWN, 0)


class State(NamedTuple):
    """Real time in ticks, and what everyone holds."""

    now: int
    is_withdrawn: bool
    clocks: tuple
    control_proof: int
    control_version: int
    relay: Holder
    host: Holder
    push: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class Rules:
    """How proofs and leases are computed."""

    ticks: int
    clocks: tuple = CLOCKS
    drift: float = DRIFT
    adds_ages: bool = True
    from_arrival: bool = False
    by_granter: bool = False
    counts_push: bool = False


def _clock(state: State, place: int) -> int:
    offset = HOST_OFFSET if place == 2 else 0
    return offset + state.now * state.clocks[place]


def _asked_tick(state: State, holder: Holder, place: int) -> int:
    offset = HOST_OFFSET if place == 2 else 0
    return (holder.asked - offset) // state.clocks[place]


def _proof(asked: int, held: int, age: int, drift: float) -> int:
    proof = freshness.proven_at_s(
        sent_at_s=asked, held_s=held, age_s=age, drift=drift
    )
    return math.floor(proof)


def _answered(state: State, place: int, rules: Rules) -> Holder:
    """Return the asker at ``place`` with the answer on its way."""
    asker = (state.relay, state.host)[place - 1]
    above = place - 1
    now = _clock(state, above)
    if above == 0:
        version, proof = state.control_version, state.control_proof
    else:
        version, proof = state.relay.version, state.relay.proof
    if version == WITHDRAWN:
        return asker._replace(asked=NEVER, sent=_LEARNT)
    if proof == NEVER:
        return asker._replace(asked=NEVER)
    age = now - proof if above == 0 or rules.adds_ages else 0
    held = now - _asked_tick(state, asker, place) * state.clocks[above]
    if rules.by_granter:
        worth = proof
    elif rules.from_arrival:
        worth = age
    else:
        worth = _proof(asker.asked, held, age, rules.drift)
    return asker._replace(asked=NEVER, sent=(VALID, worth))


def _taken(holder: Holder, now: int, rules: Rules) -> Holder:
    version, worth = holder.sent
    if version == WITHDRAWN:
        return Holder(version=WITHDRAWN)
    if rules.from_arrival:
        worth = _proof(now, 0, worth, rules.drift)
    return Holder(proof=max(holder.proof, worth))


def _steps(
    state: State, name: str, place: int, rules: Rules
) -> list[tuple[str, State]]:
    holder: Holder = getattr(state, name)
    now = _clock(state, place)
    if holder.version == WITHDRAWN:
        return []
    if holder.sent:
        lost = holder._replace(sent=())
        following = [_taken(holder, now, rules), lost]
    elif holder.asked > NEVER:
        following = [_answered(state, place, rules)]
    else:
        following = [holder._replace(asked=now)]
    return [
        (f'{name}{n}', state._replace(**{name: after}))
        for n, after in enumerate(following)
    ]


def _push_steps(state: State) -> list[tuple[str, State]]:
    if state.push < 0:
        return [('push', state._replace(push=state.control_version))]
    host = state.host._replace(
        version=max(state.host.version, state.push), proof=_clock(state, 2)
    )
    return [('pushed', state._replace(push=-1, host=host))]


def _proven(state: State) -> State:
    """Return the state after a proof by the quorum.

    Nothing that follows depends on proofs of a state without the key, so
    they are not told apart.
    """
    if state.is_withdrawn:
        return state._replace(control_version=WITHDRAWN, control_proof=NEVER)
    return state._replace(control_proof=_clock(state, 0))


def _transitions(rules: Rules) -> Callable[[tuple], list]:
    def transitions(values: tuple) -> list:
        state = State(*values)
        if not state.clocks:
            return [
                (f'clocks{n}', state._replace(clocks=clocks))
                for n, clocks in enumerate(rules.clocks)
            ]
        if state.host.version == WITHDRAWN:
            return []
        if rules.counts_push:
            found = _push_steps(state)
        else:
            found = _steps(state, 'relay', 1, rules)
            found += _steps(state, 'host', 2, rules)
        if state.now < rules.ticks and (state.is_withdrawn or not state.now):
            found.append(('tick', state._replace(now=state.now + 1)))
        if state.now == WITHDRAWN_AT and not state.is_withdrawn:
            found.append(('withdraw', state._replace(is_withdrawn=True)))
        found.append(('prove', _proven(state)))
        return found

    return transitions


def _takes_key(state: State, rules: Rules) -> bool:
    host = state.host
    if host.version == WITHDRAWN or host.proof == NEVER:
        return False
    end = freshness.serves_until_s(
        proven_at_s=host.proof, lease_s=LEASE * UNITS, drift=rules.drift
    )
    return _clock(state, 2) < end


def _refused_in_time(rules: Rules) -> Callable[[dict], bool]:
    def holds(fields: dict) -> bool:
        state = State(**fields)
        if not state.is_withdrawn or state.now < WITHDRAWN_AT + LEASE:
            return True
        return not _takes_key(state, rules)

    return holds


def _protocol(**fields) -> minicheck.Protocol:
    rules = Rules(**fields)
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
            relay=Holder(),
            host=Holder(),
            push=-1,
        ),
        transitions=_transitions(rules),
        invariants={'refused_in_time': _refused_in_time(rules)},
    )


_SLOW = ((9, 9, 9),)


def _broken(**fields) -> minicheck.Protocol:
    return _protocol(ticks=4, clocks=_SLOW, **fields)


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
        small=_protocol(ticks=4, clocks=_SLOW),
    ),
)
