"""Execute every randomised run of ``benchmarks.soaks`` from one seed.

The last line is a JSON object from run name to counts. Exits 1 if a run
observed a violation or executed no step.
"""

import importlib
import json
import pkgutil
import sys

import click

from benchmarks import soaks


def is_failed(counts: dict) -> bool:
    """Return whether a run observed a violation or executed no step."""
    return counts['violations'] > 0 or counts['steps'] == 0


@click.command()
@click.option('--seed', default=1, show_default=True)
@click.option('--seconds', default=20.0, show_default=True)
def main(seed: int, seconds: float) -> None:
    """Divide SECONDS equally among the runs and print their counts."""
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
