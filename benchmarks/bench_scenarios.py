"""The load and the faults of each scenario of the bench."""

import asyncio
from collections.abc import Callable
import dataclasses
import random
from typing import Any

from benchmarks import bench_statistics
from benchmarks import shapes

__all__ = ['SCENARIOS', 'Scenario', 'run_load']

NORMAL_LOAD = 0.6
LOW_LOAD = 0.09
SURGE_LOAD = 0.9
HOME_CALL_FRACTION = 0.7
EVENT_TIME_S = 4.0
DURATION_S = 12.0
SAMPLE_INTERVAL_S = 0.1


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Scenario:
    """The load and, optionally, the fault of one run.

    ``load`` returns the rate at which an organisation calls, as a fraction of
    its limit. Its arguments are the indexes of the organisation and of its
    region and the seconds since the start. ``event`` is run after
    ``EVENT_TIME_S``.
    """

    name: str
    load: Callable[[int, int, float], float]
    event: Callable[[Any, bench_statistics.CallStatistics], Any] | None = None


def _steady_load(_organisation: int, _region: int, _now_s: float) -> float:
    return NORMAL_LOAD


def _overload_by_first_organisation(
    organisation: int, _region: int, now_s: float
) -> float:
    return 5.0 if organisation == 0 and now_s >= EVENT_TIME_S else NORMAL_LOAD


def _surge_load(_organisation: int, region: int, now_s: float) -> float:
    if region:
        return LOW_LOAD
    progress = min(1.0, max(0.0, now_s - EVENT_TIME_S))
    return LOW_LOAD + (SURGE_LOAD - LOW_LOAD) * progress


async def _kill_first_region(
    fleet: Any, _: bench_statistics.CallStatistics
) -> None:
    region = next(iter(fleet.config.regions))
    failure_domains = [
        domain
        for domain, domain_region in fleet.region_of.items()
        if domain_region == region
    ]
    fleet.kill(frozenset(failure_domains))


async def _drain_first_domain(
    fleet: Any, statistics: bench_statistics.CallStatistics
) -> None:
    """Drain the upstreams and one entry host of the first failure domain."""
    loop = asyncio.get_running_loop()
    started_s = loop.time()
    failure_domain = next(iter(fleet.shape.entry_hosts))
    draining = fleet.upstreams.in_failure_domains(frozenset((failure_domain,)))
    fleet.drains = frozenset(upstream.name for upstream in draining)
    fleet.leaving |= {f'{failure_domain}-1'}
    await asyncio.sleep(DURATION_S - EVENT_TIME_S - 0.5)
    last_completed_s = max(upstream.last_completed_s for upstream in draining)
    statistics.drain_s = max(0.0, last_completed_s - started_s)


async def _falsify_load_reports(
    fleet: Any, _: bench_statistics.CallStatistics
) -> None:
    """Make every third upstream report a false load; every sixth is slow."""
    for number, upstream in enumerate(fleet.upstreams.all()):
        upstream.reports_false_load = number % 3 == 0
        upstream.work_time_factor = 3.0 if number % 6 == 0 else 1.0


SCENARIOS = (
    Scenario(name='steady', load=_steady_load),
    Scenario(name='five_times', load=_overload_by_first_organisation),
    Scenario(name='surge', load=_surge_load),
    Scenario(name='region_death', load=_steady_load, event=_kill_first_region),
    Scenario(name='drain', load=_steady_load, event=_drain_first_domain),
    Scenario(name='blind', load=_steady_load, event=_falsify_load_reports),
)


async def run_load(
    fleet: Any,
    scenario: Scenario,
    statistics: bench_statistics.CallStatistics,
    *,
    rng: random.Random,
) -> None:
    """Send the calls of all organisations and trigger the event."""
    loop = asyncio.get_running_loop()
    started_s = loop.time()
    tasks = [
        asyncio.ensure_future(
            _generate_calls(
                fleet,
                scenario,
                statistics,
                name,
                organisation_index,
                rng,
                started_s,
            )
        )
        for organisation_index, name in enumerate(fleet.config.organisations)
    ]
    tasks.append(asyncio.ensure_future(_sample_headroom(fleet, statistics)))
    await asyncio.sleep(EVENT_TIME_S)
    if scenario.event is not None:
        tasks.append(asyncio.ensure_future(scenario.event(fleet, statistics)))
    await asyncio.sleep(DURATION_S - EVENT_TIME_S)
    tasks[len(fleet.config.organisations)].cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


async def _sample_headroom(
    fleet: Any, statistics: bench_statistics.CallStatistics
) -> None:
    while True:
        statistics.sample_headroom(fleet.upstreams.headroom_percent())
        await asyncio.sleep(SAMPLE_INTERVAL_S)


async def _generate_calls(
    fleet: Any,
    scenario: Scenario,
    statistics: bench_statistics.CallStatistics,
    name: str,
    organisation_index: int,
    rng: random.Random,
    started_s: float,
) -> None:
    loop = asyncio.get_running_loop()
    failure_domains = list(fleet.shape.entry_hosts)
    home_domain = failure_domains[organisation_index % len(failure_domains)]
    regions = list(fleet.config.regions)
    region = regions.index(fleet.region_of[home_domain])
    rate_per_s = fleet.config.organisations[name].rate_per_s
    calls = set()
    while (now_s := loop.time() - started_s) < DURATION_S:
        load = scenario.load(organisation_index, region, now_s)
        await asyncio.sleep(rng.expovariate(rate_per_s * load))
        failure_domain = (
            home_domain
            if rng.random() < HOME_CALL_FRACTION
            else rng.choice(failure_domains)
        )
        service = _choose_service(fleet.shape, rng)
        call = asyncio.ensure_future(
            _send_call(fleet, statistics, name, failure_domain, service)
        )
        calls.add(call)
        call.add_done_callback(calls.discard)
    await asyncio.gather(*calls)


def _choose_service(shape: shapes.Shape, rng: random.Random) -> str:
    reads, *others = shape.upstreams
    return reads if rng.random() < 0.8 else rng.choice(others)


async def _send_call(
    fleet: Any,
    statistics: bench_statistics.CallStatistics,
    organisation: str,
    failure_domain: str,
    service: str,
) -> None:
    loop = asyncio.get_running_loop()
    started_s = loop.time()
    statistics.record_start(organisation, now_s=started_s)
    outcome = await fleet.call(
        organisation=organisation,
        failure_domain=failure_domain,
        service=service,
    )
    statistics.record_end(
        bench_statistics.CompletedCall(
            organisation=organisation,
            outcome=outcome,
            latency_s=loop.time() - started_s,
        )
    )
