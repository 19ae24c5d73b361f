"""Kill, freeze, partition and restart daemons of a deployment under load.

Callers send reads and writes. A write without a successful response is sent
again under the same operation id, possibly to another host. Faults are drawn
from the seed. The last line of the output is a JSON object. Exits with status
1 when a guarantee was violated.
"""

import asyncio
import json
import math
import pathlib
import random
import signal
import sys
import tempfile
import time

import aiohttp
import click

from benchmarks import demo as demos
from benchmarks import fleet as fleets
from benchmarks import shapes
from tests.stand_ins import caller as callers

__all__ = ['FaultRun', 'main']

CALLS_PER_S = 60.0
CALL_TIMEOUT_S = 6.0
MAX_RESENDS = 4
RESEND_DELAY_S = 0.5
WRITE_FRACTION = 0.5
FAULT_INTERVAL_S = 3.0
FREEZE_S = 2.5
PARTITION_S = 8.0
POLL_INTERVAL_S = 0.2
MAX_POLLS = 150
HEALTH_PATH = '/skylark/v1/health'
FAULT_KINDS = ('kill', 'freeze', 'planned_stop', 'cut_off')


async def _is_healthy(url: str) -> bool:
    timeout = aiohttp.ClientTimeout(total=1.0)
    try:
        async with aiohttp.ClientSession(timeout=timeout) as session:
            async with session.get(url) as response:
                return response.status == 200
    except (aiohttp.ClientError, TimeoutError):
        return False


class FaultRun:
    """Inject faults into one deployment and count what callers see."""

    def __init__(self, *, fleet: fleets.Fleet, seed: int) -> None:
        self.fleet = fleet
        self.rng = random.Random(seed)
        self.demo = demos.Demo(fleet=fleet, seed=seed)
        self.faults: list[str] = []
        self._load_end_s = 0.0

    async def run(self, seconds: float, *, rolling: bool) -> None:
        """Send calls for some seconds while faults are injected.

        ``rolling`` restarts each host in turn instead of injecting drawn
        faults; ``seconds`` is then ignored.
        """
        self.demo.make_callers()
        self._load_end_s = time.monotonic() + (
            math.inf if rolling else seconds
        )
        fault_injection = (
            self._restart_each_host() if rolling else self._inject_faults()
        )
        timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_S)
        async with aiohttp.ClientSession(
            timeout=timeout, connector=aiohttp.TCPConnector(limit=0)
        ) as session:
            load = [
                callers.call_regularly(
                    caller,
                    session,
                    calls_per_s=CALLS_PER_S / len(self.demo.callers),
                    until=lambda: self._load_end_s,
                    send_call=self._send_call,
                )
                for caller in self.demo.callers
            ]
            await asyncio.gather(*load, fault_injection)

    async def _send_call(self, caller, session) -> None:
        shape = self.fleet.shape
        if self.rng.random() >= WRITE_FRACTION:
            service, path = self.rng.choice(sorted(shape.reads.items()))
            await caller.call(session, service, 'GET', path)
            return
        service, path = self.rng.choice(sorted(shape.writes.items()))
        body = self.rng.randbytes(64)
        _, prefix = await caller.entry(session, service)
        headers = {'Idempotency-Key': f'{prefix}{self.rng.getrandbits(64):x}'}
        for _ in range(1 + MAX_RESENDS):
            status = await caller.call(
                session, service, 'POST', path, body=body, headers=headers
            )
            if status == 200:
                return
            await asyncio.sleep(RESEND_DELAY_S)

    async def _restart_each_host(self) -> None:
        await asyncio.sleep(FAULT_INTERVAL_S)
        for name in sorted(self.fleet.processes):
            self.faults.append(f'planned_stop:{name}')
            demos.print_step(f'restarting {name}')
            await self._planned_stop(name)
            await self._until_serving(name)
        self._load_end_s = time.monotonic()

    async def _until_serving(self, name: str) -> None:
        url = self.fleet.caller_url(name) + HEALTH_PATH
        for _ in range(MAX_POLLS):
            await asyncio.sleep(POLL_INTERVAL_S)
            if await _is_healthy(url):
                return
        raise RuntimeError(f'{name} did not become healthy after its restart')

    async def _inject_faults(self) -> None:
        while time.monotonic() + FAULT_INTERVAL_S < self._load_end_s:
            await asyncio.sleep(FAULT_INTERVAL_S)
            name = self.rng.choice(sorted(self.fleet.processes))
            fault = self.rng.choice(FAULT_KINDS)
            self.faults.append(f'{fault}:{name}')
            demos.print_step(f'{fault} {name}')
            await getattr(self, f'_{fault}')(name)

    async def _kill(self, name: str) -> None:
        process = self.fleet.processes[name]
        process.kill()
        await asyncio.to_thread(process.wait)
        await asyncio.sleep(self.rng.uniform(0.0, 2.0))
        self.fleet.start_host(name)

    async def _freeze(self, name: str) -> None:
        process = self.fleet.processes[name]
        process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(FREEZE_S)
        process.send_signal(signal.SIGCONT)

    async def _cut_off(self, name: str) -> None:
        failure_domain = next(
            entry['failure_domain']
            for entry in self.fleet.hosts
            if entry['host'] == name
        )
        self.fleet.cut(failure_domain)
        await asyncio.sleep(PARTITION_S)
        self.fleet.heal(failure_domain)

    async def _planned_stop(self, name: str) -> None:
        process = self.fleet.processes[name]
        process.send_signal(signal.SIGTERM)
        await asyncio.to_thread(process.wait)
        self.fleet.start_host(name)

    def report(self) -> dict:
        """Return what callers saw and what upstreams executed."""
        tallies = [caller.tally for caller in self.demo.callers]
        runs = demos.runs_by_operation(self.demo.counts)
        reasons: dict[str, int] = {}
        for tally in tallies:
            for reason, count in tally.reasons.items():
                reasons[reason] = reasons.get(reason, 0) + count
        return {
            'steps': sum(tally.sent for tally in tallies),
            'faults': self.faults,
            'answered': sum(tally.answered for tally in tallies),
            'cut': sum(tally.aborted for tally in tallies),
            'reasons': reasons,
            'operations_run': len(runs),
            'run_twice': sum(count > 1 for count in runs.values()),
            'wrong_answers': sum(tally.wrong_answers for tally in tallies),
            'key_leaks': sum(item['key_leaks'] for item in self.demo.counts),
            'overload': sum(item['overload'] for item in self.demo.counts),
        }


def run_faults(
    *,
    deployment: str,
    seed: int,
    seconds: float,
    rolling: bool,
    folder: pathlib.Path,
) -> dict:
    """Inject faults into one deployment and return its report."""
    fleet = fleets.Fleet(shape=shapes.SHAPES[deployment], folder=folder)
    faults = FaultRun(fleet=fleet, seed=seed)
    try:
        faults.demo.bring_up()
        asyncio.run(faults.run(seconds, rolling=rolling))
        faults.demo.end()
    finally:
        fleet.close()
    report = faults.report()
    violation_keys = ['run_twice', 'wrong_answers', 'key_leaks', 'overload']
    if rolling:
        violation_keys.append('cut')
    report['violations'] = sum(report[name] for name in violation_keys)
    return report


@click.command()
@click.option('--deployment', default='mueso', show_default=True)
@click.option('--seed', default=1, show_default=True)
@click.option('--seconds', default=40.0, show_default=True)
@click.option('--rolling', is_flag=True, help='Restart each host in turn.')
@click.option('--keep-logs', type=click.Path(path_type=pathlib.Path))
def main(
    deployment: str,
    seed: int,
    seconds: float,
    rolling: bool,
    keep_logs: pathlib.Path | None,
) -> None:
    """Inject faults that are drawn from SEED into a deployment."""
    with tempfile.TemporaryDirectory() as temporary:
        folder = keep_logs or pathlib.Path(temporary)
        folder.mkdir(parents=True, exist_ok=True)
        report = run_faults(
            deployment=deployment,
            seed=seed,
            seconds=seconds,
            rolling=rolling,
            folder=folder,
        )
    print(json.dumps(report))
    sys.exit(int(report['violations'] > 0))


if __name__ == '__main__':
    main()
