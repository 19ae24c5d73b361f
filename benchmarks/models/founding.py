"""Specification of the bootstrap of a control group from three seeds.

Each seed may request the introduction of any other at any time. It decides
from the responses with the implementation's own rule. A seed that is killed
loses its responses; a seed that loses its disk is no longer at its first
start. All seeds that bootstrap must bootstrap the same group.
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
    """State of a seed: its disk, and the introductions it received."""

    incarnation: int = 0
    first_start: bool = True
    founders: Founders = ()
    introductions: tuple[tuple[str, str, Founders], ...] = ()


class _Variant(NamedTuple):
    """Rules that the broken variants omit."""

    founders_are_durable: bool = True
    wiped_may_bootstrap: bool = False
    requires_every_voter: bool = True


def _identity(name: str, seed: _Seed) -> str:
    return f'{name}/{seed.incarnation}'


def _requests(state: tuple) -> list[tuple[str, tuple]]:
    """Return every request of one seed to another."""
    seeds, kills, wipes = state
    successors = []
    for index, name in enumerate(SEEDS):
        for other_index, other in enumerate(SEEDS):
            if other == name or seeds[index].founders:
                continue
            responder = seeds[other_index]
            introduction = (
                other,
                _identity(other, responder),
                responder.founders,
            )
            others = [
                item for item in seeds[index].introductions if item[0] != other
            ]
            introductions = tuple(sorted([*others, introduction]))
            after = seeds[index]._replace(introductions=introductions)
            changed = _replace_seed(seeds, index, after)
            successors.append(
                (f'{name}_asks_{other}', (changed, kills, wipes))
            )
    return successors


def _decisions(state: tuple, variant: _Variant) -> list[tuple[str, tuple]]:
    seeds, kills, wipes = state
    successors = []
    for index, name in enumerate(SEEDS):
        seed = seeds[index]
        if seed.founders:
            continue
        founders = _decide(name, seed, variant)
        if not sentinels.is_absent(founders):
            after = seed._replace(founders=founders, introductions=())
            changed = _replace_seed(seeds, index, after)
            successors.append((f'{name}_founds', (changed, kills, wipes)))
    return successors


def _decide(
    name: str, seed: _Seed, variant: _Variant
) -> Founders | sentinels.Absent:
    introductions = {
        other: messages.IntroductionResponse(
            identity=identity,
            cluster='-'.join(founders),
            voters=SEEDS,
            founders=founders,
        )
        for other, identity, founders in seed.introductions
    }
    voters = SEEDS
    if not variant.requires_every_voter:
        voters = tuple(sorted({name, *introductions}))
        if len(voters) * 2 <= len(SEEDS):
            return sentinels.Absent('hosts_missing')
        introductions = {
            other: _with_voters(introduction, voters)
            for other, introduction in introductions.items()
        }
    return bootstrap.decide_founders(
        identity=_identity(name, seed),
        voters=voters,
        control_hosts=(),
        introductions=introductions,
        may_bootstrap=seed.first_start or variant.wiped_may_bootstrap,
    )


def _with_voters(
    introduction: messages.IntroductionResponse, voters: tuple[str, ...]
) -> messages.IntroductionResponse:
    return messages.IntroductionResponse(
        identity=introduction.identity,
        cluster=introduction.cluster,
        voters=voters,
        founders=introduction.founders,
    )


def _faults(state: tuple, variant: _Variant) -> list[tuple[str, tuple]]:
    seeds, kills, wipes = state
    successors = []
    for index, name in enumerate(SEEDS):
        seed = seeds[index]
        if kills:
            after = seed._replace(introductions=())
            if not variant.founders_are_durable:
                after = after._replace(founders=())
            changed = _replace_seed(seeds, index, after)
            successors.append((f'kill_{name}', (changed, kills - 1, wipes)))
        if wipes:
            after = _Seed(incarnation=seed.incarnation + 1, first_start=False)
            changed = _replace_seed(seeds, index, after)
            successors.append((f'wipe_{name}', (changed, kills, wipes - 1)))
    return successors


def _replace_seed(
    seeds: tuple[_Seed, ...], index: int, seed: _Seed
) -> tuple[_Seed, ...]:
    return (*seeds[:index], seed, *seeds[index + 1 :])


def _transitions(variant: _Variant) -> Callable[[tuple], list]:
    def transitions(state: tuple) -> list:
        return (
            _requests(state)
            + _decisions(state, variant)
            + _faults(state, variant)
        )

    return transitions


def _one_group(fields: dict) -> bool:
    return len({seed.founders for seed in fields['seeds']} - {()}) <= 1


def _only_members(fields: dict) -> bool:
    """Return whether each seed is a founder of the group it belongs to."""
    return all(
        not seed.founders or _identity(name, seed) in seed.founders
        for name, seed in zip(SEEDS, fields['seeds'], strict=True)
    )


def _protocol(
    *, kills: int, wipes: int, variant: _Variant | None = None
) -> minicheck.Protocol:
    return minicheck.Protocol(
        name='founding',
        candidate=False,
        fields=('seeds', 'kills', 'wipes'),
        initial=((_Seed(),) * len(SEEDS), kills, wipes),
        transitions=_transitions(variant or _Variant()),
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
                    kills=1,
                    wipes=1,
                    variant=_Variant(founders_are_durable=False),
                ),
            ),
            (
                'wiped_host_founds',
                _protocol(
                    kills=0,
                    wipes=1,
                    variant=_Variant(wiped_may_bootstrap=True),
                ),
            ),
            (
                'founds_with_a_majority',
                _protocol(
                    kills=0,
                    wipes=0,
                    variant=_Variant(requires_every_voter=False),
                ),
            ),
        ),
        small=_protocol(kills=1, wipes=1),
    ),
)
