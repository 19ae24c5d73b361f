"""Run a whole deployment on loopback and check its guarantees.

The last line of the output is a JSON object. Exits with status 1 when a
guarantee was violated.
"""

import asyncio
import json
import pathlib
import random
import signal
import statistics
import sys
import tempfile
import time

import aiohttp
import click

from benchmarks import fleet as fleets
from benchmarks import shapes
from skylarkpitch.config import keys as key_texts
from skylarkpitch.operators import config_commands
from tests.stand_ins import caller as callers

__all__ = ['main']

LOAD_DURATION_S = 16.0
CALLS_PER_S = 120.0
CALL_TIMEOUT_S = 15.0
WRITE_FRACTION = 0.2
POLL_INTERVAL_S = 0.02
HOST_STOP_TIMEOUT_S = 30.0
KEY_WITHDRAWAL_TARGET_S = 7.0
IN_FORCE_TARGET_S = 7.0
DRAIN_TARGET_S = 5.0


def print_step(text: str) -> None:
    """Print a step of the demonstration with the time, unbuffered."""
    print(f'{time.strftime("%H:%M:%S")} {text}', flush=True)


class Demo:
    """Drive one deployment and collect its figures."""

    def __init__(self, *, fleet: fleets.Fleet, seed: int) -> None:
        self.fleet = fleet
        self.rng = random.Random(seed)
        self.figures: dict = {}
        self.keys: dict[str, str] = {}
        self.callers: list[callers.Caller] = []

    def bring_up(self, **plan_fields: object) -> None:
        """Start all processes and push the first configuration.

        ``plan_fields`` are properties of the stand-in upstreams.
        """
        shape = self.fleet.shape
        print_step(f'starting {len(self.fleet.hosts)} daemons of {shape.name}')
        self.fleet.provision()
        started_s = time.monotonic()
        self.fleet.start()
        folder = shapes.ROOT / shape.name
        accepted = self.fleet.tool(
            '--timeout-s',
            '30',
            'config',
            'push',
            '--base',
            str(folder / 'base.json'),
            '--overlays',
            str(folder / 'overlays'),
            '--against',
            '0',
            '--wait',
        )
        print_step(f'first configuration is version {accepted["version"]}')
        self.fleet.start_upstreams(**plan_fields)
        self._issue_keys()
        self.fleet.wait('announcement of all upstreams', self._all_announced)
        self.figures['bring_up_s'] = round(time.monotonic() - started_s, 2)
        print_step(f'{sum(shape.upstreams.values())} upstreams are announced')

    def _issue_keys(self) -> None:
        client = self.fleet.client()
        for organisation in self.fleet.base['organisations']:
            new_key = key_texts.new_key(self.rng.randbytes)
            client.post(
                '/operators/v1/keys',
                {
                    'operation_id': f'issue-{new_key.key_id}',
                    'key_id': new_key.key_id,
                    'organisation': organisation,
                    'salt': new_key.salt,
                    'secret_hash': new_key.secret_hash,
                },
            )
            self.keys[organisation] = new_key.text
        print_step(f'issued {len(self.keys)} keys')

    def _all_announced(self) -> bool:
        hosts = self.fleet.client_hosts()
        names = {
            upstream['name']
            for host in hosts
            for upstream in host['status'].get('upstreams', ())
        }
        return len(names) == sum(self.fleet.shape.upstreams.values())

    async def send_call(self, caller, session) -> None:
        """Make one call, drawn from a mix of reads and writes."""
        shape = self.fleet.shape
        if self.rng.random() < WRITE_FRACTION:
            service, path = self.rng.choice(sorted(shape.writes.items()))
            body = self.rng.randbytes(200)
            await caller.call(session, service, 'POST', path, body=body)
            return
        service, path = self.rng.choice(sorted(shape.reads.items()))
        await caller.call(session, service, 'GET', path)

    def make_callers(self) -> None:
        """Create one caller per organisation, spread over all domains."""
        failure_domains = sorted(self.fleet.shape.entry_hosts)
        for number, (organisation, key) in enumerate(self.keys.items()):
            failure_domain = failure_domains[number % len(failure_domains)]
            all_urls = self.fleet.caller_urls()
            self.callers.append(
                callers.Caller(
                    key=key,
                    organisation=organisation,
                    first_entries=[
                        *self.fleet.caller_urls(failure_domain),
                        *all_urls,
                    ],
                    seed=self.rng.random(),
                )
            )

    async def run_load(self) -> None:
        """Call on behalf of all organisations while operators make changes."""
        self.make_callers()
        timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_S)
        load_end_s = time.monotonic() + LOAD_DURATION_S
        print_step(f'{CALLS_PER_S:g} calls/s for {LOAD_DURATION_S:g} s begin')
        async with aiohttp.ClientSession(
            timeout=timeout, connector=aiohttp.TCPConnector(limit=0)
        ) as session:
            load_tasks = [
                asyncio.create_task(
                    callers.call_regularly(
                        caller,
                        session,
                        calls_per_s=CALLS_PER_S / len(self.callers),
                        until=lambda: load_end_s,
                        send_call=self.send_call,
                    )
                )
                for caller in self.callers
            ]
            await asyncio.sleep(1.0)
            await self._change_configuration()
            await self._withdraw_a_key(session)
            await self._drain_an_upstream()
            await self._stop_a_host()
            await asyncio.gather(*load_tasks)

    async def _tool(self, *arguments: str) -> dict:
        return await asyncio.to_thread(self.fleet.tool, *arguments)

    async def _change_configuration(self) -> None:
        client = self.fleet.client()
        current = await asyncio.to_thread(client.get, '/operators/v1/config')
        service = sorted(current['base']['services'])[0]
        current['base']['services'][service]['queue_s'] = 1.25
        started_s = time.monotonic()
        accepted = await asyncio.to_thread(
            client.post,
            '/operators/v1/config',
            {
                'operation_id': 'demo-change',
                'against_version': current['config_version'],
                'base': current['base'],
                'overlays': current['overlays'],
            },
        )
        while not await self._is_in_force(client, accepted['version']):
            await asyncio.sleep(POLL_INTERVAL_S)
        self.figures['config_in_force_s'] = time.monotonic() - started_s
        print_step(
            f'version {accepted["version"]} in force everywhere after '
            f'{self.figures["config_in_force_s"]:.2f} s'
        )

    async def _is_in_force(self, client, version: int) -> bool:
        response = await asyncio.to_thread(
            client.get, '/operators/v1/config/status'
        )
        return config_commands.is_in_force(response, version)

    async def _withdraw_a_key(self, session) -> None:
        organisation = sorted(self.keys)[-1]
        caller = callers.Caller(
            key=self.keys[organisation],
            organisation=organisation,
            first_entries=self.fleet.caller_urls(),
            seed=1,
        )
        service, path = sorted(self.fleet.shape.reads.items())[0]
        if await caller.call(session, service, 'GET', path) != 200:
            raise RuntimeError(
                'a call with the key failed before the key was withdrawn'
            )
        key_id = self.keys[organisation].split('_')[1]
        started_s = time.monotonic()
        await self._tool('keys', 'withdraw', key_id)
        await self._wait_until_refused_everywhere(session, caller, path)
        self.figures['key_withdrawn_s'] = time.monotonic() - started_s
        self.callers = [
            item for item in self.callers if item.organisation != organisation
        ] + [caller]
        print_step(
            f'key of {organisation} refused everywhere after '
            f'{self.figures["key_withdrawn_s"]:.2f} s'
        )

    async def _wait_until_refused_everywhere(
        self, session, caller, path
    ) -> None:
        headers = {'Skylark-Key': caller.key}
        for url in self.fleet.caller_urls():
            status = 200
            while status != 401:
                async with session.get(
                    url + path, headers=headers
                ) as response:
                    status = response.status
                await asyncio.sleep(POLL_INTERVAL_S)

    async def _drain_an_upstream(self) -> None:
        service = sorted(self.fleet.shape.reads)[0]
        failure_domain = sorted(self.fleet.shape.entry_hosts)[0]
        hosts = await asyncio.to_thread(self.fleet.client_hosts)
        name = next(
            upstream['name']
            for host in hosts
            for upstream in host['status'].get('upstreams', ())
            if upstream['service'] == service
            and host['failure_domain'] == failure_domain
        )
        await self._tool('upstreams', 'drain', name)
        self.figures['drained'] = (name, time.monotonic())
        print_step(f'drain of {name} accepted')

    async def _stop_a_host(self) -> None:
        name = self.fleet.hosts[1]['host']
        started_s = time.monotonic()
        await self._tool('hosts', 'stop', name)
        process = self.fleet.processes[name]
        while process.poll() is None:
            await asyncio.sleep(POLL_INTERVAL_S)
            if time.monotonic() - started_s > HOST_STOP_TIMEOUT_S:
                raise RuntimeError(f'{name} did not stop')
        self.figures['host_stop_s'] = time.monotonic() - started_s
        print_step(
            f'{name} stopped as planned after '
            f'{self.figures["host_stop_s"]:.2f} s'
        )

    def end(self) -> None:
        """Stop the daemons, then the upstreams, and store their counts."""
        for process in self.fleet.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGTERM)
        for process in self.fleet.processes.values():
            process.wait(timeout=fleets.STOP_TIMEOUT_S)
        self.counts = self.fleet.stop_upstreams()
        print_step('all daemons and upstreams have exited')

    def report(self) -> dict:
        """Return the figures of the run."""
        tallies = [caller.tally for caller in self.callers]
        latencies_s = sorted(
            value for tally in tallies for value in tally.latencies_s
        )
        runs = runs_by_operation(self.counts)
        reasons: dict[str, int] = {}
        for tally in tallies:
            for reason, count in tally.reasons.items():
                reasons[reason] = reasons.get(reason, 0) + count
        return {
            'deployment': self.fleet.shape.name,
            'entry_hosts': len(self.fleet.hosts),
            'upstreams': len(self.counts),
            'sent': sum(tally.sent for tally in tallies),
            'answered': sum(tally.answered for tally in tallies),
            'refused_not_run': sum(t.refused_not_run for t in tallies),
            'unknown': sum(tally.unknown for tally in tallies),
            'reasons': reasons,
            'operations_run': len(runs),
            'run_twice': sum(count > 1 for count in runs.values()),
            'wrong_answers': sum(tally.wrong_answers for tally in tallies),
            'key_leaks': sum(item['key_leaks'] for item in self.counts),
            'cut_by_stop': sum(tally.aborted for tally in tallies),
            'overload': sum(item['overload'] for item in self.counts),
            'p50_ms': _percentile_ms(latencies_s, 50),
            'p99_ms': _percentile_ms(latencies_s, 99),
            'bring_up_s': self.figures['bring_up_s'],
            'config_in_force_s': round(self.figures['config_in_force_s'], 3),
            'key_withdrawn_s': round(self.figures['key_withdrawn_s'], 3),
            'drain_s': round(self._drain_s(), 3),
            'host_stop_s': round(self.figures['host_stop_s'], 3),
        }

    def _drain_s(self) -> float:
        name, accepted_s = self.figures['drained']
        for item in self.counts:
            if item['name'] == name:
                return max(0.0, item['last_run_s'] - accepted_s)
        raise RuntimeError(f'{name} reported no counts')


def runs_by_operation(counts: list[dict]) -> dict[str, int]:
    """Return how often each operation ran over all upstreams."""
    runs: dict[str, int] = {}
    for item in counts:
        for operation, count in item['runs'].items():
            runs[operation] = runs.get(operation, 0) + count
    return runs


def _percentile_ms(sorted_s: list[float], percent: int) -> float | None:
    if len(sorted_s) < 2:
        return None
    return round(statistics.quantiles(sorted_s, n=100)[percent - 1] * 1000, 2)


def violated_guarantees(report: dict) -> list[str]:
    """Return the keys of a report that violate a guarantee."""
    violations = [
        name
        for name in (
            'run_twice',
            'wrong_answers',
            'key_leaks',
            'cut_by_stop',
            'overload',
        )
        if report[name]
    ]
    targets = {
        'config_in_force_s': IN_FORCE_TARGET_S,
        'key_withdrawn_s': KEY_WITHDRAWAL_TARGET_S,
        'drain_s': DRAIN_TARGET_S,
    }
    violations.extend(
        name for name, target_s in targets.items() if report[name] > target_s
    )
    if not report['answered'] or not report['operations_run']:
        violations.append('answered')
    return violations


@click.command()
@click.option(
    '--deployment',
    type=click.Choice(sorted(shapes.SHAPES)),
    default='mueso',
    show_default=True,
)
@click.option('--seed', default=1, show_default=True)
@click.option('--keep-logs', type=click.Path(path_type=pathlib.Path))
def main(deployment: str, seed: int, keep_logs: pathlib.Path | None) -> None:
    """Run the demonstration of one deployment."""
    with tempfile.TemporaryDirectory() as temporary:
        folder = keep_logs or pathlib.Path(temporary)
        folder.mkdir(parents=True, exist_ok=True)
        fleet = fleets.Fleet(shape=shapes.SHAPES[deployment], folder=folder)
        demo = Demo(fleet=fleet, seed=seed)
        try:
            demo.bring_up()
            asyncio.run(demo.run_load())
            demo.end()
        finally:
            fleet.close()
    report = demo.report()
    violations = violated_guarantees(report)
    for name in violations:
        print_step(f'guarantee violated: {name} is {report[name]}')
    print(json.dumps(report))
    sys.exit(int(bool(violations)))


if __name__ == '__main__':
    main()
