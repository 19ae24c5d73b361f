"""Measure the slopes that carry the design to its full size.

The last line is one JSON object: slope to value, unit, and the figure at full
size against its budget where there is one.
"""

import json
import logging
import resource
import subprocess
import sys

from benchmarks import capacity_control
from benchmarks import capacity_limits
from benchmarks import capacity_lookup
from benchmarks import capacity_report as reports

__all__ = ['main']

FOOTPRINTS = {
    'python': '',
    'python_aiohttp': 'import aiohttp.web',
    'python_all_libraries': (
        'import aiohttp.web, mode, zmq.asyncio, pydantic, msgspec, structlog,'
        ' sismic.interpreter, statsd'
    ),
    'python_entry_host': (
        'import skylarkpitch.limits.service, skylarkpitch.steering.lookup, '
        'skylarkpitch.steering.slot_allocator, '
        'skylarkpitch.requests.request_handler'
    ),
}


def _footprints() -> list[reports.Slope]:
    """Return the resident memory of interpreters with libraries alone."""
    slopes = []
    for name, imports in FOOTPRINTS.items():
        code = (
            f'{imports}\nimport re\n'
            "text = open('/proc/self/status').read()\n"
            "print(re.search(r'VmRSS:\\s+(\\d+)', text)[1])"
        )
        shown = subprocess.run(
            [sys.executable, '-c', code],
            capture_output=True,
            text=True,
            check=True,
        )
        slopes.append(
            reports.Slope(name=name, value=int(shown.stdout) / 1000, unit='MB')
        )
    return slopes


def main() -> int:
    """Measure everything, print the table and the JSON line."""
    logging.disable(logging.CRITICAL)
    slopes: list[reports.Slope] = []
    for measure in (
        capacity_lookup.measure,
        capacity_limits.measure,
        capacity_control.measure,
        _footprints,
    ):
        for slope in measure():
            print(slope.row(), flush=True)
            slopes.append(slope)
    used = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
    print(f'the run itself took {used / 1000:.0f} MB at most')
    print(json.dumps({slope.name: slope.report() for slope in slopes}))
    return 0


if __name__ == '__main__':
    sys.exit(main())
