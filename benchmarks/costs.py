"""Measure the latency and processor time that the system adds to a call.

Look-ups, proxied calls and claimed calls, whose operation id is claimed in the
ledger, alternate with direct calls to the same test upstreams in one run, so
that the ratios are comparable on a loaded machine too. Processor time is that
of the entry host's process. The last line is a JSON object.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import itertools
import json
import os
import pathlib
import statistics
import sys
import tempfile
import time

import aiohttp
import click

from benchmarks import demo as demos
from benchmarks import fleet as fleets
from benchmarks import shapes

__all__ = ['main']

WARM_UP_CALLS = 200
ROUNDS = 5
SEQUENTIAL_CALLS_PER_ROUND = 300
CONCURRENT_WORKERS = 32
SETTLE_TIME_S = 3.0
IDLE_MEASUREMENT_S = 6.0
CONCURRENT_PHASE_CALLS = 3000

Call = Callable[[], Awaitable[None]]


def processor_s(process_id: int) -> float:
    """Return the processor time that a process has consumed, in seconds."""
    text = pathlib.Path(f'/proc/{process_id}/stat').read_text()
    fields = text.rsplit(')', 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf('SC_CLK_TCK')


def resident_mb(process_id: int) -> float:
    """Return the resident memory of a process in MB."""
    text = pathlib.Path(f'/proc/{process_id}/statm').read_text()
    return int(text.split()[1]) * os.sysconf('SC_PAGE_SIZE') / 1e6


class CallType:
    """One type of call and its measured latencies."""

    def __init__(self, *, call: Call) -> None:
        self.call = call
        self.latencies_s: list[float] = []

    async def run_round(self) -> None:
        """Make calls one after another and record each latency."""
        for _ in range(SEQUENTIAL_CALLS_PER_ROUND):
            started_s = time.perf_counter()
            await self.call()
            self.latencies_s.append(time.perf_counter() - started_s)

    async def calls_per_core_second(self, process_id: int) -> float:
        """Return the calls per second of processor time of a process."""
        before_s = processor_s(process_id)
        remaining = itertools.repeat(None, CONCURRENT_PHASE_CALLS)

        async def work() -> None:
            for _ in remaining:
                await self.call()

        await asyncio.gather(*(work() for _ in range(CONCURRENT_WORKERS)))
        return CONCURRENT_PHASE_CALLS / (processor_s(process_id) - before_s)

    def percentile_ms(self, percent: int) -> float:
        """Return a percentile of the latencies in milliseconds."""
        cuts = statistics.quantiles(self.latencies_s, n=100)
        return round(cuts[percent - 1] * 1000, 3)


def _getter(session, url: str, headers: dict | None = None) -> Call:
    async def call() -> None:
        async with session.get(url, headers=headers) as response:
            await response.read()
            if response.status != 200:
                raise RuntimeError(f'{url} answered {response.status}')

    return call


def _poster(session, url: str, headers: dict, prefix: str) -> Call:
    sequence = itertools.count()

    async def call() -> None:
        claimed = {'Idempotency-Key': f'{prefix}cost-{next(sequence)}'}
        async with session.post(url, headers=headers | claimed) as response:
            await response.read()
            if response.status != 200:
                raise RuntimeError(f'{url} answered {response.status}')

    return call


class Costs:
    """Measure one deployment with a caller that uses one entry host."""

    def __init__(self, *, fleet: fleets.Fleet) -> None:
        self.fleet = fleet
        self.demo = demos.Demo(fleet=fleet, seed=1)

    def raise_rates(self) -> None:
        """Raise every rate limit, so that none affects the measurement."""
        for organisation in self.fleet.base['organisations'].values():
            organisation.update(rate_per_s=100_000, burst=100_000)
        client = self.fleet.client()
        configuration = client.get('/operators/v1/config')
        client.post(
            '/operators/v1/config',
            {
                'operation_id': 'costs-rates',
                'against_version': configuration['config_version'],
                'base': self.fleet.base,
                'overlays': configuration['overlays'],
            },
        )

    def idle(self) -> dict:
        """Return the processor share of the daemons without any calls."""
        time.sleep(SETTLE_TIME_S)
        process_ids = {name: p.pid for name, p in self.fleet.processes.items()}
        before_s = {
            name: processor_s(pid) for name, pid in process_ids.items()
        }
        time.sleep(IDLE_MEASUREMENT_S)
        core_percent = {
            name: (processor_s(pid) - before_s[name])
            / IDLE_MEASUREMENT_S
            * 100
            for name, pid in process_ids.items()
        }
        roles = {item['host']: item['roles'] for item in self.fleet.hosts}
        control = [
            core_percent[n] for n in core_percent if 'control' in roles[n]
        ]
        entry = [
            core_percent[n] for n in core_percent if 'control' not in roles[n]
        ]
        return {
            'idle_entry_core_percent': round(statistics.mean(entry), 2),
            'idle_control_core_percent': round(statistics.mean(control), 2),
        }

    async def _upstream_url(self, service: str, host: str) -> str:
        hosts = await asyncio.to_thread(self.fleet.client_hosts)
        return next(
            upstream['url']
            for item in hosts
            if item['host'] == host
            for upstream in item['status']['upstreams']
            if upstream['service'] == service
        )

    async def measure(self) -> dict:
        """Return latencies, their ratios and calls per core second."""
        entry = self.fleet.hosts[-1]
        url = f'http://127.0.0.1:{entry["callers"]["port"]}'
        service, path = sorted(self.fleet.shape.reads.items())[0]
        write = sorted(self.fleet.shape.writes.items())[0]
        headers = {'Skylark-Key': next(iter(self.demo.keys.values()))}
        lookup = f'{url}/skylark/v1/lookup?service={service}'
        direct = await self._upstream_url(service, entry['host'])
        async with aiohttp.ClientSession() as session:
            async with session.get(lookup) as response:
                prefix = (await response.json())['operation_id_prefix']
            call_types = {
                'direct': CallType(call=_getter(session, direct + path)),
                'lookup': CallType(call=_getter(session, lookup)),
                'proxied': CallType(
                    call=_getter(session, url + path, headers)
                ),
                'claimed': CallType(
                    call=_poster(session, url + write[1], headers, prefix)
                ),
            }
            return await self._run(call_types, entry['host'])

    async def _run(self, call_types: dict[str, CallType], host: str) -> dict:
        process_id = self.fleet.processes[host].pid
        for call_type in call_types.values():
            for _ in range(WARM_UP_CALLS):
                await call_type.call()
        for _ in range(ROUNDS):
            for call_type in call_types.values():
                await call_type.run_round()
        report: dict = {}
        direct = call_types['direct']
        for name, call_type in call_types.items():
            for percent in (50, 99):
                value = call_type.percentile_ms(percent)
                report[f'{name}_p{percent}_ms'] = value
                ratio = value / direct.percentile_ms(percent)
                report[f'{name}_p{percent}_ratio'] = round(ratio, 2)
        for name in ('lookup', 'proxied', 'claimed'):
            per_core = await call_types[name].calls_per_core_second(process_id)
            report[f'{name}_per_core_s'] = round(per_core)
        report['entry_resident_mb'] = round(resident_mb(process_id), 1)
        return report


@click.command()
@click.option('--deployment', default='mueso', show_default=True)
def main(deployment: str) -> None:
    """Measure a deployment without simulated network latency."""
    with tempfile.TemporaryDirectory() as folder:
        fleet = fleets.Fleet(
            shape=shapes.SHAPES[deployment],
            folder=pathlib.Path(folder),
            latency=False,
            log_level='warning',
        )
        costs = Costs(fleet=fleet)
        try:
            costs.demo.bring_up(work_s=0.0)
            costs.raise_rates()
            report = costs.idle()
            report |= asyncio.run(costs.measure())
        finally:
            fleet.close()
    for name, value in report.items():
        print(f'{name:24} {value}')
    print(json.dumps({'deployment': deployment, **report}))


if __name__ == '__main__':
    sys.exit(main())
