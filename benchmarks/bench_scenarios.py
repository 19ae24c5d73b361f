"""Describe the load and the faults of each scenario of the bench."""

import asyncio
from collections.abc import Callable
import dataclasses
import random
from typing import Any

from benchmarks import bench_measures
from benchmarks import shapes

__all__ = ['SCENARIOS', 'Scenario', 'run_load']

LOAD = 0.6
QUIET = 0.09
SURGED = 0.9
HOME_PART = 0.7
EVENT_S = 4.0
END_S = 12.0
SAMPLE_S = 0.1


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Scenario:
    """``load`` is an organisation's part of its rate at a time."""

    name: str
    load: Callable[[int, int, float], float]
    event: Callable[[Any, bench_measures.Measures], Any] | None = None


def _steady(_organisation: int, _region: int, _now_s: float) -> float:
    return LOAD


def _five_times(organisation: int, _region: int, now_s: float) -> float:
    return 5.0 if organisation == 0 and now_s >= EVENT_S else LOAD


def _surge(_organisation: int, region: int, now_s: float) -> float:
    if region:
        return QUIET
    risen = min(1.0, max(0.0, now_s - EVENT_S))
    return QUIET + (SURGED - QUIET) * risen


async def _region_dies(fleet: Any, _: bench_measures.Measures) -> None:
    region = next(iter(fleet.config.regions))
    places = [p for p, r in fleet.region_of.items() if r == region]
    fleet.kill(frozenset(places))


async def _drain(fleet: Any, measures: bench_measures.Measures) -> None:
    """Drain the upstreams and one entry host of the first place."""
    loop = asyncio.get_running_loop()
    began_s = loop.time()
    place = next(iter(fleet.shape.entry_hosts))
    going = fleet.upstreams.at(frozenset((place,)))
    fleet.drains = frozenset(item.name for item in going)
    fleet.leaving |= {f'{place}-1'}
    await asyncio.sleep(END_S - EVENT_S - 0.5)
    last_s = max(item.last_ended_s for item in going)
    measures.drain_s = max(0.0, last_s - began_s)


async def _blind(fleet: Any, _: bench_measures.Measures) -> None:
    """Let a third of the upstreams lie about their load and be slow."""
    for number, item in enumerate(fleet.upstreams.all()):
        item.lies = number % 3 == 0
        item.slowness = 3.0 if number % 6 == 0 else 1.0


SCENARIOS = (
    Scenario(name='steady', load=_steady),
    Scenario(name='five_times', load=_five_times),
    Scenario(name='surge', load=_surge),
    Scenario(name='region_death', load=_steady, event=_region_dies),
    Scenario(name='drain', load=_steady, event=_drain),
    Scenario(name='blind', load=_steady, event=_blind),
)


async def run_load(
    fleet: Any,
    scenario: Scenario,
    measures: bench_measures.Measures,
    *,
    rng: random.Random,
) -> None:
    """Send every organisation's calls and bring about the event."""
    loop = asyncio.get_running_loop()
    began_s = loop.time()
    tasks = [
        asyncio.ensure_future(
            _calls_of(fleet, scenario, measures, name, index, rng, began_s)
        )
        for index, name in enumerate(fleet.config.organisations)
    ]
    tasks.append(asyncio.ensure_future(_sample(fleet, measures)))
    await asyncio.sleep(EVENT_S)
    if scenario.event is not None:
        tasks.append(asyncio.ensure_future(scenario.event(fleet, measures)))
    await asyncio.sleep(END_S - EVENT_S)
    tasks[len(fleet.config.organisations)].cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


async def _sample(fleet: Any, measures: bench_measures.Measures) -> None:
    while True:
        measures.sample_headroom(fleet.upstreams.headroom_percent())
        await asyncio.sleep(SAMPLE_S)


async def _calls_of(
    fleet: Any,
    scenario: Scenario,
    measures: bench_measures.Measures,
    name: str,
    index: int,
    rng: random.Random,
    began_s: float,
) -> None:
    loop = asyncio.get_running_loop()
    places = list(fleet.shape.entry_hosts)
    home = places[index % len(places)]
    regions = list(fleet.config.regions)
    region = regions.index(fleet.region_of[home])
    rate_per_s = fleet.config.organisations[name].rate_per_s
    calls = set()
    while (now_s := loop.time() - began_s) < END_S:
        load = scenario.load(index, region, now_s)
        await asyncio.sleep(rng.expovariate(rate_per_s * load))
        place = home if rng.random() < HOME_PART else rng.choice(places)
        service = _service(fleet.shape, rng)
        call = asyncio.ensure_future(
            _one_call(fleet, measures, name, place, service)
        )
        calls.add(call)
        call.add_done_callback(calls.discard)
    await asyncio.gather(*calls)


def _service(shape: shapes.Shape, rng: random.Random) -> str:
    reads, *others = shape.upstreams
    return reads if rng.random() < 0.8 else rng.choice(others)


async def _one_call(
    fleet: Any,
    measures: bench_measures.Measures,
    organisation: str,
    place: str,
    service: str,
) -> None:
    loop = asyncio.get_running_loop()
    began_s = loop.time()
    measures.arrive(organisation, now_s=began_s)
    outcome = await fleet.call(
        organisation=organisation, place=place, service=service
    )
    measures.end(
        bench_measures.Call(
            organisation=organisation,
            outcome=outcome,
            latency_s=loop.time() - began_s,
        )
    )
