"""Measure costs that determine how far the design scales.

The last line of the output is a JSON object. It maps the name of each
measurement to its value and unit, and, where known, to the value at the full
fleet size and its budget.
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

FOOTPRINT_IMPORTS = {
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


def _measure_footprints() -> list[reports.Measurement]:
    """Return the resident memory of interpreters that only import modules."""
    measurements = []
    for name, imports in FOOTPRINT_IMPORTS.items():
        code = (
            f'{imports}\nimport re\n'
            "text = open('/proc/self/status').read()\n"
            "print(re.search(r'VmRSS:\\s+(\\d+)', text)[1])"
        )
        completed = subprocess.run(
            [sys.executable, '-c', code],
            capture_output=True,
            text=True,
            check=True,
        )
        measurements.append(
            reports.Measurement(
                name=name, value=int(completed.stdout) / 1000, unit='MB'
            )
        )
    return measurements


def main() -> int:
    """Run all measurements; print the table and the JSON object."""
    logging.disable(logging.CRITICAL)
    measurements: list[reports.Measurement] = []
    for measure in (
        capacity_lookup.measure,
        capacity_limits.measure,
        capacity_control.measure,
        _measure_footprints,
    ):
        for measurement in measure():
            print(measurement.row(), flush=True)
            measurements.append(measurement)
    peak_kb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
    print(f'peak memory of this run: {peak_kb / 1000:.0f} MB')
    print(
        json.dumps(
            {
                measurement.name: measurement.report()
                for measurement in measurements
            }
        )
    )
    return 0


if __name__ == '__main__':
    sys.exit(main())
