"""Check every specification exhaustively, and that broken ones fail.

The last line is one JSON object: specification name to states, depth and
whether it holds. Exits 1 when a specification fails or when a broken
variant is not caught.
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
    found = []
    for module in pkgutil.iter_modules(models.__path__):
        loaded = importlib.import_module(f'benchmarks.models.{module.name}')
        found.extend(getattr(loaded, 'SPECS', ()))
    return found


def check(protocol: minicheck.Protocol) -> dict:
    """Return states, depth and whether every invariant holds."""
    depths = {protocol.initial: 0}
    measured = dataclasses.replace(
        protocol, transitions=_measuring(protocol.transitions, depths)
    )
    result = minicheck.check_safety(measured, max_states=MAX_STATES)
    properties = result['properties'].values()
    return {
        'states': result['reachable_states'],
        'depth': max(depths.values()),
        'holds': all(item['holds'] for item in properties),
    }


def _measuring(transitions, depths: dict):
    def measured(state):
        following = transitions(state)
        for _, after in following:
            depths.setdefault(after, depths[state] + 1)
        return following

    return measured


def is_caught(protocol: minicheck.Protocol) -> bool:
    """Tell whether the check finds a violation in a broken variant."""
    return not check(protocol)['holds']


def main() -> int:
    """Check everything and return the exit status."""
    report = {}
    failed = False
    for item in all_specs():
        outcome = check(item.protocol)
        caught = {name: is_caught(broken) for name, broken in item.broken}
        failed |= not outcome['holds'] or not all(caught.values())
        report[item.name] = {**outcome, 'broken_caught': caught}
        print(f'{item.name}: {report[item.name]}', flush=True)
    print(json.dumps(report))
    return int(failed)


if __name__ == '__main__':
    sys.exit(main())
