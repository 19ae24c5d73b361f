"""Random faults on the processes of a whole fleet, on loopback.

Callers keep using open connections until their host is gone, and some leave
early. Entry and control hosts are killed, frozen, stopped as planned and
emptied, upstreams crash, break off and reject, and the configuration changes;
the faults come in series and overlap. What the upstreams, the callers and the
operator saw is checked at the end. The last line is a JSON object.
"""

import asyncio
import collections
from collections.abc import Callable
import contextlib
import itertools
import json
import pathlib
import random
import shutil
import signal
import time

import aiohttp
import click

from benchmarks import process_soak_checks as checks
from benchmarks import process_soak_parts as parts
from benchmarks import process_soak_plays as plays
from benchmarks import upgrade_fleet

__all__ = ['ROOT', 'Soak', 'main']

ROOT = pathlib.Path(__file__).resolve().parent.parent
AUTHORISED = upgrade_fleet.AUTHORISED
CALLERS = 24
UPSTREAMS = 6
CALM_S = 4.0
# An emptied control host has to catch up before the next may be lost.
CATCH_UP_S = 8.0
OPERATOR_PAUSE_S = (0.3, 1.5)
FAULT_PAUSE_S = (0.1, 1.2)
FREEZE_S = (0.3, 2.0)
DOWN_S = (0.2, 1.0)


class Soak:
    """One fleet of processes and the random faults of one seed."""

    domains = upgrade_fleet.DOMAINS
    calm_s = CALM_S

    def __init__(self, *, seed: int, folder: pathlib.Path) -> None:
        self._rng = random.Random(seed)
        self._fleet = self._create_fleet(folder)
        self._folder = folder
        self._busy: set[str] = set()
        self._emptied_s = float('-inf')
        self._version = 0
        self._ends_s = float('inf')
        self._tasks: set[asyncio.Task] = set()
        self.seen = checks.Observations()
        self.counts: collections.Counter = collections.Counter()

    def _create_fleet(
        self, folder: pathlib.Path
    ) -> upgrade_fleet.FleetExchange:
        return upgrade_fleet.FleetExchange(old=ROOT, new=ROOT, folder=folder)

    async def run(self, *, seconds: float) -> list[str]:
        """Play the faults for some seconds; return what was violated."""
        async with contextlib.AsyncExitStack() as stack:
            session = aiohttp.ClientSession(timeout=upgrade_fleet.TIMEOUT)
            self._fleet.session = await stack.enter_async_context(session)
            stack.callback(self._fleet.close)
            upstreams = await self._bring_up(stack)
            ends_s = time.monotonic() + seconds
            callers = [self._start(self._call()) for _number in range(CALLERS)]
            self._start(self.seen.measure_lag())
            operator = self._start(self._change_until(ends_s))
            await self._disturb_until(ends_s, upstreams)
            await operator
            for upstream in upstreams:
                upstream.calm()
            for name in self._fleet.addresses:
                await self._fleet._until_ready(name)
            self.seen.calm_since_s = time.monotonic()
            self._ends_s = time.monotonic() + self.calm_s
            await asyncio.gather(*callers)
            await self._after_calm(upstreams)
            await self._read_back()
            ended = self._ended_by_themselves()
            for task in self._tasks:
                task.cancel()
            failed = await self._failed_tasks()
        found = [*checks.violations(self.seen), *self.found()]
        return [*ended, *failed, *found]

    async def _failed_tasks(self) -> list[str]:
        """Return which parts of the soak itself failed."""
        results = await asyncio.gather(*self._tasks, return_exceptions=True)
        return [
            f'the soak failed: {result!r}'
            for result in results
            if isinstance(result, Exception)
        ]

    def found(self) -> list[str]:
        """Return what the checks of a scenario of its own found."""
        return []

    def _on_run_in(self, domain: str) -> Callable[[], None]:
        """Return what to call when an upstream of a domain runs a request."""
        return lambda: None

    async def _after_calm(self, upstreams: list[parts.Upstream]) -> None:
        """Do what a scenario of its own checks once all has been calm."""

    def _entries(self) -> list[str]:
        return [
            name for name in self._fleet.addresses if name.startswith('entry')
        ]

    def _start(self, coroutine) -> asyncio.Task:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        return task

    async def _bring_up(self, stack) -> list[parts.Upstream]:
        for name in self._fleet.addresses:
            self._fleet.start(name, 'new')
        upstreams = []
        for number in range(UPSTREAMS):
            changed = asyncio.Event()
            upstream = parts.Upstream(
                name=f'u{number}',
                rng=random.Random(self._rng.random()),
                seen=self.seen,
                announce=changed.set,
                on_run=self._on_run_in(
                    self.domains[number % len(self.domains)]
                ),
            )
            await upstream.start()
            stack.push_async_callback(upstream.stop)
            upstreams.append(upstream)
            self._start(self._announce(number, upstream, changed))
        await self._change()
        for name in self._entries():
            await self._fleet._until_ready(name)
        return upstreams

    async def _announce(
        self, number: int, upstream: parts.Upstream, changed: asyncio.Event
    ) -> None:
        """Send heartbeats, and one at once when the instance has changed."""
        domains = self.domains
        for sequence in itertools.count(1):
            body = {
                'born_ms': upstream.born_ms,
                'sequence': sequence,
                'service': 'desk',
                'address': upstream.address,
                'failure_domain': domains[number % len(domains)],
                'slots': 8,
            }
            path = f'/v1/upstreams/{upstream.name}'
            for name in self._fleet.controls():
                if await self._fleet.answer('PUT', name, path, json=body):
                    break
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(upgrade_fleet.HEARTBEAT_S):
                    await changed.wait()
            changed.clear()

    async def _call(self) -> None:
        entries = [self._fleet.addresses[name] for name in self._entries()]
        caller = parts.Caller(
            rng=random.Random(self._rng.random()),
            seen=self.seen,
            addresses=entries,
        )
        while time.monotonic() < self._ends_s:
            await caller.call()
        caller.close()

    async def _change(self) -> None:
        """Send one change of the configuration until it is acknowledged."""
        self._version += 1
        version = self._version
        while not await self._put(version):
            await asyncio.sleep(0.1)
        self.seen.acknowledged(version)

    def _configuration(self, version: int) -> dict:
        return parts.configuration(version)

    async def _put(self, version: int) -> bool:
        """Send a configuration; return whether it was acknowledged."""
        body = await self._fleet.answer(
            'PUT',
            self._rng.choice(self._fleet.controls()),
            '/v1/configuration',
            headers=AUTHORISED,
            json=self._configuration(version),
        )
        return body is not None

    async def _change_until(self, ends_s: float) -> None:
        while time.monotonic() < ends_s:
            await self._change()
            for _number in range(3):
                await self._read(self._rng.choice(self._fleet.controls()))
            await asyncio.sleep(self._rng.uniform(*OPERATOR_PAUSE_S))

    async def _read(self, name: str) -> int | None:
        """Read the configuration at a host; check that it is not old."""
        expected = self.seen.newest_version
        body = await self._fleet.answer(
            'GET', name, '/v1/configuration', headers=AUTHORISED
        )
        if body is None:
            return None
        document = json.loads(body)
        version = document['version']
        self.seen.read(name, version, expected=expected)
        if document != self._configuration(version):
            self.seen.other_reads.append(f'{name} has another {version}')
        return version

    async def _read_back(self) -> None:
        async with asyncio.timeout(upgrade_fleet.READY_TIMEOUT_S):
            for name in self._fleet.controls():
                while await self._read(name) is None:
                    await asyncio.sleep(0.1)

    async def _disturb_until(self, ends_s: float, upstreams) -> None:
        running = []
        while time.monotonic() < ends_s:
            await asyncio.sleep(self._rng.uniform(*FAULT_PAUSE_S))
            self._rng.choice(upstreams).change()
            name = self._rng.choice(list(self._fleet.addresses))
            if name in self._busy or not self._may_disturb(name):
                continue
            fault = self._rng.choice(self._faults_of(name))
            self.counts[fault.__name__.strip('_')] += 1
            self._busy.add(name)
            running.append(self._start(self._play(fault, name)))
        await asyncio.gather(*running)

    async def _play(self, fault, name: str) -> None:
        try:
            await fault(name)
        finally:
            self._busy.discard(name)

    def _may_disturb(self, name: str) -> bool:
        """Return whether a majority of the control hosts is left."""
        if not name.startswith('control'):
            return True
        others = any(busy.startswith('control') for busy in self._busy)
        return not others

    def _faults_of(self, name: str) -> list:
        faults = [self._kill, self._freeze, self._stop]
        is_caught_up = time.monotonic() - self._emptied_s > CATCH_UP_S
        if name.startswith('control') and is_caught_up:
            faults.append(self._empty)
        return faults

    async def _kill(self, name: str) -> None:
        self._fleet.processes[name].kill()
        await self._restart(name)

    async def _stop(self, name: str) -> None:
        self._fleet.processes[name].terminate()
        await self._restart(name)

    async def _empty(self, name: str) -> None:
        self._emptied_s = time.monotonic()
        self._fleet.processes[name].kill()
        await asyncio.to_thread(self._fleet.processes[name].wait)
        shutil.rmtree(self._folder / name)
        path = self._folder / f'{name}.json'
        settings = json.loads(path.read_text())
        settings['control']['is_first_start'] = False
        path.write_text(json.dumps(settings))
        await self._restart(name)

    async def _freeze(self, name: str) -> None:
        process = self._fleet.processes[name]
        process.send_signal(signal.SIGSTOP)
        try:
            await asyncio.sleep(self._rng.uniform(*FREEZE_S))
        finally:
            process.send_signal(signal.SIGCONT)

    async def _restart(self, name: str) -> None:
        await asyncio.to_thread(self._fleet.processes[name].wait)
        await asyncio.sleep(self._rng.uniform(*DOWN_S))
        self._fleet.start(name, 'new')

    def _ended_by_themselves(self) -> list[str]:
        return [
            f'{name} ended by itself, with {process.returncode}'
            for name, process in self._fleet.processes.items()
            if process.poll() is not None
        ]


@click.command()
@click.option('--seed', default=1, show_default=True)
@click.option('--seeds', default=1, show_default=True, help='How many.')
@click.option('--seconds', default=12.0, show_default=True)
@click.option('--keep-logs', type=click.Path(path_type=pathlib.Path))
def main(
    seed: int, seeds: int, seconds: float, keep_logs: pathlib.Path | None
) -> None:
    """Play random faults, one fleet for each seed from SEED on."""
    plays.play_seeds(
        lambda number, folder: Soak(seed=number, folder=folder),
        numbers=range(seed, seed + seeds),
        seconds=seconds,
        keep_logs=keep_logs,
    )


if __name__ == '__main__':
    main()
