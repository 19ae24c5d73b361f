"""Measure what the users measure, ours beside the baseline.

Runs the deciding code of every entry host of a deployment in virtual time,
through each scenario. The last line is one JSON object: scenario to figures,
with those of the baseline under ``baseline``. Exits 1 when a bound of the
targets is missed.
"""

import json
import logging
import random
import sys

import click

from benchmarks import bench_baseline
from benchmarks import bench_fleet
from benchmarks import bench_measures
from benchmarks import bench_scenarios
from benchmarks import bench_upstreams
from benchmarks import shapes
from skylarkpitch.settings import deployment
from tests.stand_ins import virtual_time

__all__ = ['main', 'missed', 'run_one']

WARM_UP_S = 6.0
READ_S = 0.1
WRITE_S = 0.15
MAX_WRONGFUL_PERCENT = {'steady': 0.1}
MAX_WRONGFUL_IN_SHIFTS_PERCENT = 1.0
MIN_WORST_TO_BEST = 0.95
COLUMNS = (
    'p50_ms',
    'p99_ms',
    'headroom_percent',
    'drain_s',
    'worst_organisation_answered_percent',
    'wrongful_refusals_percent',
    'overload',
    'cap_breaches',
)


def run_one(
    scenario: bench_scenarios.Scenario,
    *,
    shape: shapes.Shape,
    fleet_type: type,
    seed: int,
) -> dict:
    """Run one scenario and return its figures."""
    config = deployment.validate_site(shapes.load_base(shape), {}, site='all')
    reads = next(iter(shape.upstreams))
    upstreams = bench_upstreams.UpstreamFleet(
        counts=shape.upstreams,
        places=tuple(shape.entry_hosts),
        slots=shape.slots,
        connections=shape.connections,
        work_s={
            name: READ_S if name == reads else WRITE_S
            for name in shape.upstreams
        },
        rng=random.Random(seed),
    )
    measures = bench_measures.Measures(
        limits={
            name: (item.rate_per_s, item.burst)
            for name, item in config.organisations.items()
        }
    )

    async def body() -> dict:
        fleet = fleet_type(
            shape=shape, config=config, upstreams=upstreams, seed=seed
        )
        await fleet.start()
        await bench_scenarios.asyncio.sleep(WARM_UP_S)
        rng = random.Random(seed)
        await bench_scenarios.run_load(fleet, scenario, measures, rng=rng)
        counters = fleet.counters()
        await fleet.stop()
        return counters

    counters = virtual_time.run(body())
    report = measures.report()
    report['overload'] = upstreams.overload()
    report['cap_breaches'] = int(counters.get('cap_breaches', 0))
    report['invariant_breaches'] = int(
        counters.get('limits_invariant_breaches', 0)
    )
    report['limit_requests'] = int(counters.get('limits_requests_sent', 0))
    return report


def missed(name: str, report: dict) -> list[str]:
    """Return the bounds that a scenario's figures miss."""
    allowed = MAX_WRONGFUL_PERCENT.get(name, MAX_WRONGFUL_IN_SHIFTS_PERCENT)
    best = report['best_organisation_answered_percent']
    worst = report['worst_organisation_answered_percent']
    checks = {
        'overload': report['overload'] == 0,
        'cap_breaches': report['cap_breaches'] == 0,
        'invariant_breaches': report['invariant_breaches'] == 0,
        'wrongful_refusals_percent': (
            report['wrongful_refusals_percent'] < allowed
        ),
        'worst_organisation_answered_percent': (
            worst >= MIN_WORST_TO_BEST * best
        ),
    }
    return [check for check, holds in checks.items() if not holds]


def _row(name: str, report: dict) -> str:
    cells = ' '.join(f'{report[column]:>9}' for column in COLUMNS)
    return f'{name:<24}{cells}'


@click.command()
@click.option(
    '--deployment',
    'name',
    type=click.Choice(sorted(shapes.SHAPES)),
    default='mueso',
    show_default=True,
)
@click.option('--seed', default=1, show_default=True)
def main(name: str, seed: int) -> None:
    """Run every scenario of one deployment."""
    logging.disable(logging.CRITICAL)
    shape = shapes.SHAPES[name]
    heads = ' '.join(f'{column[:9]:>9}' for column in COLUMNS)
    print(f'{name:<24}{heads}')
    reports = {}
    failures = {}
    for scenario in bench_scenarios.SCENARIOS:
        ours, baseline = (
            run_one(scenario, shape=shape, fleet_type=kind, seed=seed)
            for kind in (bench_fleet.Fleet, bench_baseline.Baseline)
        )
        print(_row(scenario.name, ours), flush=True)
        print(_row(f'  {scenario.name} baseline', baseline), flush=True)
        reports[scenario.name] = {**ours, 'baseline': baseline}
        failures[scenario.name] = missed(scenario.name, ours)
    for scenario_name, checks in failures.items():
        if checks:
            print(f'missed in {scenario_name}: {", ".join(checks)}')
    print(json.dumps(reports))
    sys.exit(int(any(failures.values())))


if __name__ == '__main__':
    main()
