"""Check every specification exhaustively, and that broken variants fail.

The last line is a JSON object from specification name to states, depth and
whether it holds. Exits 1 if a specification fails or a broken variant does
not violate an invariant.
"""

import dataclasses
import importlib
import json
import pkgutil
import sys

import minicheck

from benchmarks import models
from benchmarks.models import spec as specs

MAX_STATES = 5_000_000


def all_specs() -> list[specs.Spec]:
    """Return the specifications of every module in ``models``."""
    collected = []
    for module in pkgutil.iter_modules(models.__path__):
        spec_module = importlib.import_module(
            f'benchmarks.models.{module.name}'
        )
        collected.extend(getattr(spec_module, 'SPECS', ()))
    return collected


def check(protocol: minicheck.Protocol) -> dict:
    """Return states, depth and whether every invariant holds."""
    depths = {protocol.initial: 0}
    instrumented = dataclasses.replace(
        protocol, transitions=_recording_depths(protocol.transitions, depths)
    )
    result = minicheck.check_safety(instrumented, max_states=MAX_STATES)
    properties = result['properties'].values()
    return {
        'states': result['reachable_states'],
        'depth': max(depths.values()),
        'holds': all(item['holds'] for item in properties),
    }


def _recording_depths(transitions, depths: dict):
    def record_depths(state):
        successors = transitions(state)
        for _, successor in successors:
            depths.setdefault(successor, depths[state] + 1)
        return successors

    return record_depths


def is_caught(protocol: minicheck.Protocol) -> bool:
    """Return whether the check finds a violation in a broken variant."""
    return not check(protocol)['holds']


def main() -> int:
    """Check all specifications and variants; return the exit status."""
    report = {}
    failed = False
    for spec in all_specs():
        outcome = check(spec.protocol)
        caught = {name: is_caught(variant) for name, variant in spec.broken}
        failed |= not outcome['holds'] or not all(caught.values())
        report[spec.name] = {**outcome, 'broken_caught': caught}
        print(f'{spec.name}: {report[spec.name]}', flush=True)
    print(json.dumps(report))
    return int(failed)


if __name__ == '__main__':
    sys.exit(main())
