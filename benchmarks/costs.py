"""Measure what the system adds to a call, on a real deployment.

Look-ups, proxied calls and claimed calls run against the same stand-in
upstreams as direct calls do, in turn and in one run, so that their ratios
hold on a busy machine too. The processor time is that of the entry host's
process. The last line is one JSON object.
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
CALLS_A_ROUND = 300
CONCURRENT = 32
SETTLE_S = 3.0
IDLE_S = 6.0
CONCURRENT_CALLS = 3000

Call = Callable[[], Awaitable[None]]


def processor_s(process_id: int) -> float:
    """Return the processor time that a process has used, in seconds."""
    text = pathlib.Path(f'/proc/{process_id}/stat').read_text()
    fields = text.rsplit(')', 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf('SC_CLK_TCK')


def resident_mb(process_id: int) -> float:
    """Return the resident memory of a process in MB."""
    text = pathlib.Path(f'/proc/{process_id}/statm').read_text()
    return int(text.split()[1]) * os.sysconf('SC_PAGE_SIZE') / 1e6


class Target:
    """One kind of call and the latencies that it showed."""

    def __init__(self, *, call: Call) -> None:
        self.call = call
        self.latencies_s: list[float] = []

    async def one_round(self) -> None:
        """Call one after another and keep each latency."""
        for _ in range(CALLS_A_ROUND):
            started_s = time.perf_counter()
            await self.call()
            self.latencies_s.append(time.perf_counter() - started_s)

    async def per_core_s(self, process_id: int) -> float:
        """Return the calls that one processor second of a process serves."""
        before_s = processor_s(process_id)
        left = itertools.repeat(None, CONCURRENT_CALLS)

        async def work() -> None:
            for _ in left:
                await self.call()

        await asyncio.gather(*(work() for _ in range(CONCURRENT)))
        return CONCURRENT_CALLS / (processor_s(process_id) - before_s)

    def percentile_ms(self, percent: int) -> float:
        """Return a percentile of the latencies in milliseconds."""
        cuts = statistics.quantiles(self.latencies_s, n=100)
        return round(cuts[percent - 1] * 1000, 3)


def _getter(session, url: str, headers: dict | None = None) -> Call:
    async def call() -> None:
        async with session.get(url, headers=headers) as answer:
            await answer.read()
            if answer.status != 200:
                raise RuntimeError(f'{url} answered {answer.status}')

    return call


def _poster(session, url: str, headers: dict, prefix: str) -> Call:
    numbers = itertools.count()

    async def call() -> None:
        claimed = {'Idempotency-Key': f'{prefix}cost-{next(numbers)}'}
        async with session.post(url, headers=headers | claimed) as answer:
            await answer.read()
            if answer.status != 200:
                raise RuntimeError(f'{url} answered {answer.status}')

    return call


class Costs:
    """Measure one deployment from a caller beside one entry host."""

    def __init__(self, *, fleet: fleets.Fleet) -> None:
        self.fleet = fleet
        self.demo = demos.Demo(fleet=fleet, seed=1)

    def raise_rates(self) -> None:
        """Lift every rate, so that no limit bounds the measurement."""
        for organisation in self.fleet.base['organisations'].values():
            organisation.update(rate_per_s=100_000, burst=100_000)
        client = self.fleet.client()
        shown = client.get('/operators/v1/config')
        client.post(
            '/operators/v1/config',
            {
                'operation_id': 'costs-rates',
                'against_version': shown['config_version'],
                'base': self.fleet.base,
                'overlays': shown['overlays'],
            },
        )

    def idle(self) -> dict:
        """Return what the daemons use while nobody calls."""
        time.sleep(SETTLE_S)
        ids = {name: p.pid for name, p in self.fleet.processes.items()}
        before_s = {name: processor_s(pid) for name, pid in ids.items()}
        time.sleep(IDLE_S)
        used = {
            name: (processor_s(pid) - before_s[name]) / IDLE_S * 100
            for name, pid in ids.items()
        }
        roles = {item['host']: item['roles'] for item in self.fleet.hosts}
        control = [used[n] for n in used if 'control' in roles[n]]
        entry = [used[n] for n in used if 'control' not in roles[n]]
        return {
            'idle_entry_core_percent': round(statistics.mean(entry), 2),
            'idle_control_core_percent': round(statistics.mean(control), 2),
        }

    async def _upstream_url(self, service: str, host: str) -> str:
        listed = await asyncio.to_thread(self.fleet.client_hosts)
        return next(
            upstream['url']
            for item in listed
            if item['host'] == host
            for upstream in item['status']['upstreams']
            if upstream['service'] == service
        )

    async def measure(self) -> dict:
        """Return latencies, their ratios and calls per core."""
        entry = self.fleet.hosts[-1]
        url = f'http://127.0.0.1:{entry["callers"]["port"]}'
        service, path = sorted(self.fleet.shape.reads.items())[0]
        written = sorted(self.fleet.shape.writes.items())[0]
        headers = {'Skylark-Key': next(iter(self.demo.keys.values()))}
        lookup = f'{url}/skylark/v1/lookup?service={service}'
        direct = await self._upstream_url(service, entry['host'])
        async with aiohttp.ClientSession() as session:
            async with session.get(lookup) as answer:
                prefix = (await answer.json())['operation_id_prefix']
            targets = {
                'direct': Target(call=_getter(session, direct + path)),
                'lookup': Target(call=_getter(session, lookup)),
                'proxied': Target(call=_getter(session, url + path, headers)),
                'claimed': Target(
                    call=_poster(session, url + written[1], headers, prefix)
                ),
            }
            return await self._run(targets, entry['host'])

    async def _run(self, targets: dict[str, Target], host: str) -> dict:
        process_id = self.fleet.processes[host].pid
        for target in targets.values():
            for _ in range(WARM_UP_CALLS):
                await target.call()
        for _ in range(ROUNDS):
            for target in targets.values():
                await target.one_round()
        report: dict = {}
        direct = targets['direct']
        for name, target in targets.items():
            for percent in (50, 99):
                value = target.percentile_ms(percent)
                report[f'{name}_p{percent}_ms'] = value
                ratio = value / direct.percentile_ms(percent)
                report[f'{name}_p{percent}_ratio'] = round(ratio, 2)
        for name in ('lookup', 'proxied', 'claimed'):
            per_core = await targets[name].per_core_s(process_id)
            report[f'{name}_per_core_s'] = round(per_core)
        report['entry_resident_mb'] = round(resident_mb(process_id), 1)
        return report


@click.command()
@click.option('--deployment', default='mueso', show_default=True)
def main(deployment: str) -> None:
    """Measure a deployment without latency between places."""
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
