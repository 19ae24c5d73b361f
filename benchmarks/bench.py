"""Compare the entry hosts with a round-robin baseline, as callers see them.

Runs the limits, slot allocation and look-up of every entry host of a
deployment in virtual time, through each scenario. The last line of the output
is a JSON object that maps each scenario to its figures, with those of the
baseline under ``baseline``. Exits with status 1 when a scenario misses a
bound.
"""

import json
import logging
import random
import sys

import click

from benchmarks import bench_baseline
from benchmarks import bench_fleet
from benchmarks import bench_scenarios
from benchmarks import bench_statistics
from benchmarks import bench_upstreams
from benchmarks import shapes
from skylarkpitch.settings import deployment
from tests.stand_ins import virtual_time

__all__ = ['main', 'missed_bounds', 'run_scenario']

WARM_UP_S = 6.0
READ_WORK_S = 0.1
WRITE_WORK_S = 0.15
MAX_WRONGFUL_REFUSALS_PERCENT = {'steady': 0.1}
MAX_WRONGFUL_REFUSALS_IN_CHANGES_PERCENT = 1.0
MIN_WORST_TO_BEST_RATIO = 0.95
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


def run_scenario(
    scenario: bench_scenarios.Scenario,
    *,
    shape: shapes.Shape,
    fleet_type: type,
    seed: int,
) -> dict:
    """Run one scenario and return its figures."""
    config = deployment.validate_site(shapes.load_base(shape), {}, site='all')
    read_service = next(iter(shape.upstreams))
    upstreams = bench_upstreams.UpstreamFleet(
        counts=shape.upstreams,
        failure_domains=tuple(shape.entry_hosts),
        slots=shape.slots,
        connections=shape.connections,
        work_s={
            name: READ_WORK_S if name == read_service else WRITE_WORK_S
            for name in shape.upstreams
        },
        rng=random.Random(seed),
    )
    statistics = bench_statistics.CallStatistics(
        limits={
            name: (item.rate_per_s, item.burst)
            for name, item in config.organisations.items()
        }
    )

    async def run() -> dict:
        fleet = fleet_type(
            shape=shape, config=config, upstreams=upstreams, seed=seed
        )
        await fleet.start()
        await bench_scenarios.asyncio.sleep(WARM_UP_S)
        rng = random.Random(seed)
        await bench_scenarios.run_load(fleet, scenario, statistics, rng=rng)
        counters = fleet.counters()
        await fleet.stop()
        return counters

    counters = virtual_time.run(run())
    report = statistics.report()
    report['overload'] = upstreams.overload_count()
    report['cap_breaches'] = int(counters.get('cap_breaches', 0))
    report['invariant_breaches'] = int(
        counters.get('limits_invariant_breaches', 0)
    )
    report['limit_requests'] = int(counters.get('limits_requests_sent', 0))
    return report


def missed_bounds(name: str, report: dict) -> list[str]:
    """Return the bounds that a scenario's figures miss."""
    max_wrongful_percent = MAX_WRONGFUL_REFUSALS_PERCENT.get(
        name, MAX_WRONGFUL_REFUSALS_IN_CHANGES_PERCENT
    )
    best = report['best_organisation_answered_percent']
    worst = report['worst_organisation_answered_percent']
    checks = {
        'overload': report['overload'] == 0,
        'cap_breaches': report['cap_breaches'] == 0,
        'invariant_breaches': report['invariant_breaches'] == 0,
        'wrongful_refusals_percent': (
            report['wrongful_refusals_percent'] < max_wrongful_percent
        ),
        'worst_organisation_answered_percent': (
            worst >= MIN_WORST_TO_BEST_RATIO * best
        ),
    }
    return [check for check, is_met in checks.items() if not is_met]


def _row(name: str, report: dict) -> str:
    columns = ' '.join(f'{report[column]:>9}' for column in COLUMNS)
    return f'{name:<24}{columns}'


@click.command()
@click.option(
    '--deployment',
    'deployment_name',
    type=click.Choice(sorted(shapes.SHAPES)),
    default='mueso',
    show_default=True,
)
@click.option('--seed', default=1, show_default=True)
def main(deployment_name: str, seed: int) -> None:
    """Run every scenario on one deployment."""
    logging.disable(logging.CRITICAL)
    shape = shapes.SHAPES[deployment_name]
    header = ' '.join(f'{column[:9]:>9}' for column in COLUMNS)
    print(f'{deployment_name:<24}{header}')
    reports = {}
    failures = {}
    for scenario in bench_scenarios.SCENARIOS:
        measured, baseline = (
            run_scenario(
                scenario, shape=shape, fleet_type=fleet_type, seed=seed
            )
            for fleet_type in (bench_fleet.Fleet, bench_baseline.Baseline)
        )
        print(_row(scenario.name, measured), flush=True)
        print(_row(f'  {scenario.name} baseline', baseline), flush=True)
        reports[scenario.name] = {**measured, 'baseline': baseline}
        failures[scenario.name] = missed_bounds(scenario.name, measured)
    for scenario_name, checks in failures.items():
        if checks:
            print(f'bounds missed in {scenario_name}: {", ".join(checks)}')
    print(json.dumps(reports))
    sys.exit(int(any(failures.values())))


if __name__ == '__main__':
    main()
