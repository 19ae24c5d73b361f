"""Run every randomised run in turn from one seed.

The last line is one JSON object: run name to its counts. Exits 1 when a run
saw a violation or took no step.
"""

import importlib
import json
import pkgutil
import sys

import click

from benchmarks import soaks


def is_failed(counts: dict) -> bool:
    """Tell whether a run saw a violation, or checked nothing at all."""
    return counts['violations'] > 0 or counts['steps'] == 0


@click.command()
@click.option('--seed', default=1, show_default=True)
@click.option('--seconds', default=20.0, show_default=True)
def main(seed: int, seconds: float) -> None:
    """Divide SECONDS between the runs and report their counts."""
    names = [module.name for module in pkgutil.iter_modules(soaks.__path__)]
    report = {}
    for name in names:
        run = importlib.import_module(f'benchmarks.soaks.{name}').run
        report[name] = run(seed=seed, seconds=seconds / len(names))
        print(f'{name}: {report[name]}', flush=True)
    print(json.dumps(report))
    sys.exit(int(any(map(is_failed, report.values()))))


if __name__ == '__main__':
    main()
