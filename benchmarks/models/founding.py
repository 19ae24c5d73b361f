"""Specification of founding a control group from three seeds.

Each seed asks the others who they are, at any moment, and decides by the
program's own rule from the answers it holds. Seeds are killed, which costs
them their answers, and lose their disks, after which they are no first
start any more. All that found must found the same group.
"""

from collections.abc import Callable
from typing import NamedTuple

import minicheck

from benchmarks.models import spec
from skylarkpitch.consensus import bootstrap
from skylarkpitch.messages import consensus as messages
from skylarkpitch import sentinels

__all__ = ['SPECS']

SEEDS = ('a', 'b', 'c')
Founders = tuple[str, ...]


class _Seed(NamedTuple):
    """One seed: what is on its disk, and the answers it holds."""

    born: int = 0
    first_start: bool = True
    founders: Founders = ()
    heard: tuple[tuple[str, str, Founders], ...] = ()


class _Rules(NamedTuple):
    """What the variants break."""

    founders_are_durable: bool = True
    wiped_may_found: bool = False
    asks_everyone: bool = True


def _identity(name: str, seed: _Seed) -> str:
    return f'{name}/{seed.born}'


def _asks(state: tuple) -> list[tuple[str, tuple]]:
    """Return every way in which one seed may ask another."""
    seeds, kills, wipes = state
    following = []
    for place, name in enumerate(SEEDS):
        for other_place, other in enumerate(SEEDS):
            if other == name or seeds[place].founders:
                continue
            asked = seeds[other_place]
            told = (other, _identity(other, asked), asked.founders)
            kept = [item for item in seeds[place].heard if item[0] != other]
            heard = tuple(sorted([*kept, told]))
            after = seeds[place]._replace(heard=heard)
            changed = _with(seeds, place, after)
            following.append((f'{name}_asks_{other}', (changed, kills, wipes)))
    return following


def _decides(state: tuple, rules: _Rules) -> list[tuple[str, tuple]]:
    seeds, kills, wipes = state
    following = []
    for place, name in enumerate(SEEDS):
        seed = seeds[place]
        if seed.founders:
            continue
        founders = _decision(name, seed, rules)
        if not sentinels.is_absent(founders):
            after = seed._replace(founders=founders, heard=())
            changed = _with(seeds, place, after)
            following.append((f'{name}_founds', (changed, kills, wipes)))
    return following


def _decision(
    name: str, seed: _Seed, rules: _Rules
) -> Founders | sentinels.Absent:
    answers = {
        other: messages.IntroductionResponse(
            identity=identity,
            cluster='-'.join(founders),
            voters=SEEDS,
            founders=founders,
        )
        for other, identity, founders in seed.heard
    }
    voters = SEEDS
    if not rules.asks_everyone:
        voters = tuple(sorted({name, *answers}))
        if len(voters) * 2 <= len(SEEDS):
            return sentinels.Absent('hosts_missing')
        answers = {
            other: _of_voters(answer, voters)
            for other, answer in answers.items()
        }
    return bootstrap.decide_founders(
        identity=_identity(name, seed),
        voters=voters,
        control_hosts=(),
        answers=answers,
        may_bootstrap=seed.first_start or rules.wiped_may_found,
    )


def _of_voters(
    answer: messages.IntroductionResponse, voters: tuple[str, ...]
) -> messages.IntroductionResponse:
    return messages.IntroductionResponse(
        identity=answer.identity,
        cluster=answer.cluster,
        voters=voters,
        founders=answer.founders,
    )


def _faults(state: tuple, rules: _Rules) -> list[tuple[str, tuple]]:
    seeds, kills, wipes = state
    following = []
    for place, name in enumerate(SEEDS):
        seed = seeds[place]
        if kills:
            after = seed._replace(heard=())
            if not rules.founders_are_durable:
                after = after._replace(founders=())
            changed = _with(seeds, place, after)
            following.append((f'kill_{name}', (changed, kills - 1, wipes)))
        if wipes:
            after = _Seed(born=seed.born + 1, first_start=False)
            changed = _with(seeds, place, after)
            following.append((f'wipe_{name}', (changed, kills, wipes - 1)))
    return following


def _with(
    seeds: tuple[_Seed, ...], place: int, seed: _Seed
) -> tuple[_Seed, ...]:
    return (*seeds[:place], seed, *seeds[place + 1 :])


def _transitions(rules: _Rules) -> Callable[[tuple], list]:
    def transitions(state: tuple) -> list:
        return _asks(state) + _decides(state, rules) + _faults(state, rules)

    return transitions


def _one_group(fields: dict) -> bool:
    return len({seed.founders for seed in fields['seeds']} - {()}) <= 1


def _only_members(fields: dict) -> bool:
    """Nobody takes part in a group whose founders do not name it."""
    return all(
        not seed.founders or _identity(name, seed) in seed.founders
        for name, seed in zip(SEEDS, fields['seeds'], strict=True)
    )


def _protocol(
    *, kills: int, wipes: int, rules: _Rules | None = None
) -> minicheck.Protocol:
    return minicheck.Protocol(
        name='founding',
        candidate=False,
        fields=('seeds', 'kills', 'wipes'),
        initial=((_Seed(),) * len(SEEDS), kills, wipes),
        transitions=_transitions(rules or _Rules()),
        invariants={'one_group': _one_group, 'only_members': _only_members},
    )


SPECS = (
    spec.Spec(
        name='founding',
        protocol=_protocol(kills=2, wipes=2),
        broken=(
            (
                'founders_not_durable',
                _protocol(
                    kills=1, wipes=1, rules=_Rules(founders_are_durable=False)
                ),
            ),
            (
                'wiped_host_founds',
                _protocol(
                    kills=0, wipes=1, rules=_Rules(wiped_may_found=True)
                ),
            ),
            (
                'founds_with_a_majority',
                _protocol(kills=0, wipes=0, rules=_Rules(asks_everyone=False)),
            ),
        ),
        small=_protocol(kills=1, wipes=1),
    ),
)
