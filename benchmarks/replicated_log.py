"""Measure the replicated log over real sockets and files.

Three members run in this process with the default intervals, joined by the
peer transport over loopback. The last line is one JSON object. Times are in
milliseconds but for those with another unit in their name.
"""

import asyncio
import contextlib
import json
import os
import pathlib
import random
import statistics
import tempfile
import time

import click
import structlog

from skylarkpitch.consensus import engine as engines
from skylarkpitch.consensus import service
from skylarkpitch import errors
from skylarkpitch.messages import consensus as messages
from tests.stand_ins import counting_machine
from tests import test_network

HOSTS = ('a', 'b', 'c')
COMMAND = b'x' * 300
WARM_UP = 50


class _InLine(engines.Threads):
    """Sync on the event loop's own thread."""

    async def sync(self, function, argument):
        function(argument)


class _Trio:
    """Three members, which can be started and stopped one by one."""

    def __init__(self, *, folder, threads):
        self._folder = folder
        self._threads = threads
        self._hosts, self._secrets = test_network.make_hosts(HOSTS)
        self.networks = {}
        self.logs = {}
        self.machines = {}

    async def start(self, *names):
        for name in names:
            peers = test_network.make_network(name, self._hosts, self._secrets)
            await peers.start()
            self.networks[name] = peers
            self.machines[name] = counting_machine.CountingMachine()
            log = service.ReplicatedLog(
                peers=peers,
                state_machine=self.machines[name],
                data_folder=self._folder / name,
                voters=HOSTS,
                rng=random.Random(name),
            )
            log._engine._threads = self._threads()
            self.logs[name] = log
            await log.start()

    async def stop(self, *names):
        for name in names:
            await self.logs.pop(name).stop()
            await self.networks.pop(name).stop()

    async def leader(self):
        while True:
            for name, log in self.logs.items():
                if log.status().role != 'leader':
                    continue
                if await log.confirm(timeout_s=0.5):
                    return name
            await asyncio.sleep(0.001)

    async def submit(self):
        """Commit one command by whichever member leads."""
        while True:
            log = self.logs[await self.leader()]
            with contextlib.suppress(errors.SkylarkError):
                return await log.submit(COMMAND, timeout_s=1)


async def _times_ms(count, action):
    taken = []
    for _ in range(count):
        began_s = time.perf_counter()
        await action()
        taken.append((time.perf_counter() - began_s) * 1000)
    return taken


def _summary(taken):
    ordered = sorted(taken)
    return {
        'median': round(statistics.median(ordered), 3),
        'p99': round(ordered[int(len(ordered) * 0.99)], 3),
    }


async def _bare_sync(folder, count):
    fd = os.open(folder / 'bare', os.O_WRONLY | os.O_CREAT | os.O_APPEND)

    async def sync():
        os.write(fd, COMMAND)
        os.fdatasync(fd)

    taken = await _times_ms(count, sync)
    os.close(fd)
    return taken


async def _commit_latency(folder, threads, count):
    trio = _Trio(folder=folder, threads=threads)
    await trio.start(*HOSTS)
    leader = await trio.leader()
    log = trio.logs[leader]
    other = next(name for name in HOSTS if name != leader)
    ask = messages.IntroductionRequest(identity='x')

    async def round_trip():
        await trio.networks[leader].ask(other, ask, timeout_s=1)

    async def commit():
        await log.submit(COMMAND, timeout_s=5)

    await _times_ms(WARM_UP, commit)
    trips = await _times_ms(count, round_trip)
    commits = await _times_ms(count, commit)
    syncs = await _bare_sync(folder, count)
    began_s = time.perf_counter()
    for _ in range(20):
        await asyncio.gather(*(commit() for _ in range(100)))
    per_s = 2000 / (time.perf_counter() - began_s)
    await trio.stop(*HOSTS)
    floor = statistics.median(trips) + statistics.median(syncs)
    return {
        'sync': _summary(syncs),
        'round_trip': _summary(trips),
        'commit': _summary(commits),
        'commit_over_floor': round(statistics.median(commits) / floor, 2),
        'commits_per_s_of_100_at_once': round(per_s),
    }


async def _leader_loss(folder, repeats):
    """Stop the leader and time the first commit of the next one."""
    trio = _Trio(folder=folder, threads=engines.Threads)
    await trio.start(*HOSTS)
    taken = []
    for _ in range(repeats):
        await trio.submit()
        lost = await trio.leader()
        await trio.stop(lost)
        taken += await _times_ms(1, trio.submit)
        await trio.start(lost)
    await trio.stop(*HOSTS)
    ordered = sorted(taken)
    return {
        'median': round(statistics.median(ordered)),
        'max': round(ordered[-1]),
    }


async def _catch_up(folder, missed):
    """Time from a follower's start until it has applied what it missed."""
    trio = _Trio(folder=folder, threads=engines.Threads)
    await trio.start(*HOSTS)
    leader = await trio.leader()
    follower = next(name for name in HOSTS if name != leader)
    await trio.stop(follower)
    for _ in range(missed // 100):
        await asyncio.gather(*(trio.submit() for _ in range(100)))
    began_s = time.perf_counter()
    await trio.start(follower)
    wanted = len(trio.machines[leader].commands)
    while len(trio.machines[follower].commands) < wanted:
        await asyncio.sleep(0.001)
    taken_ms = (time.perf_counter() - began_s) * 1000
    snapshots = trio.logs[follower].counters().get('snapshots_installed', 0)
    await trio.stop(*HOSTS)
    return {'ms': round(taken_ms), 'by_snapshot': bool(snapshots)}


async def _measure(folder, count, repeats):
    def fresh(name):
        path = folder / name
        path.mkdir()
        return path

    report = {
        'thread': await _commit_latency(
            fresh('thread'), engines.Threads, count
        ),
        'in_line': await _commit_latency(fresh('in_line'), _InLine, count),
        'leader_loss': await _leader_loss(fresh('loss'), repeats),
        'catch_up': {},
    }
    for missed in (100, 400, 1600, 6400):
        report['catch_up'][missed] = await _catch_up(
            fresh(f'missed{missed}'), missed
        )
    return report


@click.command()
@click.option('--count', default=500, show_default=True)
@click.option('--repeats', default=10, show_default=True)
def main(count: int, repeats: int) -> None:
    """Measure in a temporary folder beside the working directory."""
    structlog.configure(
        wrapper_class=structlog.make_filtering_bound_logger(40)
    )
    with tempfile.TemporaryDirectory(dir='.') as name:
        report = asyncio.run(_measure(pathlib.Path(name), count, repeats))
    print(json.dumps(report))


if __name__ == '__main__':
    main()
