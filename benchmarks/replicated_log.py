"""Measure the replicated log with real sockets and files.

Three members run in this process with the default intervals, connected by
the peer transport over loopback. The last line is one JSON object. Times
are in milliseconds unless their name has another unit.
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
WARM_UP_COMMITS = 50


class _InlineThreads(engines.Threads):
    """Sync on the thread of the event loop."""

    async def sync(self, function, argument):
        function(argument)


class _Cluster:
    """A cluster of three members, each of which can be stopped."""

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
        """Commit one command at the current leader, with retries."""
        while True:
            log = self.logs[await self.leader()]
            with contextlib.suppress(errors.SkylarkError):
                return await log.submit(COMMAND, timeout_s=1)


async def _times_ms(count, action):
    times_ms = []
    for _ in range(count):
        started_s = time.perf_counter()
        await action()
        times_ms.append((time.perf_counter() - started_s) * 1000)
    return times_ms


def _summary(times_ms):
    ordered = sorted(times_ms)
    return {
        'median': round(statistics.median(ordered), 3),
        'p99': round(ordered[int(len(ordered) * 0.99)], 3),
    }


async def _sync_times_ms(folder, count):
    fd = os.open(folder / 'bare', os.O_WRONLY | os.O_CREAT | os.O_APPEND)

    async def sync():
        os.write(fd, COMMAND)
        os.fdatasync(fd)

    times_ms = await _times_ms(count, sync)
    os.close(fd)
    return times_ms


async def _commit_latency(folder, threads, count):
    cluster = _Cluster(folder=folder, threads=threads)
    await cluster.start(*HOSTS)
    leader = await cluster.leader()
    log = cluster.logs[leader]
    other = next(name for name in HOSTS if name != leader)
    request = messages.IntroductionRequest(identity='x')

    async def round_trip():
        await cluster.networks[leader].request(other, request, timeout_s=1)

    async def commit():
        await log.submit(COMMAND, timeout_s=5)

    await _times_ms(WARM_UP_COMMITS, commit)
    round_trips = await _times_ms(count, round_trip)
    commits = await _times_ms(count, commit)
    syncs = await _sync_times_ms(folder, count)
    started_s = time.perf_counter()
    for _ in range(20):
        await asyncio.gather(*(commit() for _ in range(100)))
    per_s = 2000 / (time.perf_counter() - started_s)
    await cluster.stop(*HOSTS)
    floor_ms = statistics.median(round_trips) + statistics.median(syncs)
    return {
        'sync': _summary(syncs),
        'round_trip': _summary(round_trips),
        'commit': _summary(commits),
        'commit_over_floor': round(statistics.median(commits) / floor_ms, 2),
        'commits_per_s_of_100_at_once': round(per_s),
    }


async def _leader_loss(folder, repeats):
    """Stop the leader; measure the time to the next leader's first commit."""
    cluster = _Cluster(folder=folder, threads=engines.Threads)
    await cluster.start(*HOSTS)
    times_ms = []
    for _ in range(repeats):
        await cluster.submit()
        lost = await cluster.leader()
        await cluster.stop(lost)
        times_ms += await _times_ms(1, cluster.submit)
        await cluster.start(lost)
    await cluster.stop(*HOSTS)
    ordered = sorted(times_ms)
    return {
        'median': round(statistics.median(ordered)),
        'max': round(ordered[-1]),
    }


async def _catch_up(folder, missed):
    """Measure a follower's time from start to applying all it missed."""
    cluster = _Cluster(folder=folder, threads=engines.Threads)
    await cluster.start(*HOSTS)
    leader = await cluster.leader()
    follower = next(name for name in HOSTS if name != leader)
    await cluster.stop(follower)
    for _ in range(missed // 100):
        await asyncio.gather(*(cluster.submit() for _ in range(100)))
    started_s = time.perf_counter()
    await cluster.start(follower)
    target = len(cluster.machines[leader].commands)
    while len(cluster.machines[follower].commands) < target:
        await asyncio.sleep(0.001)
    elapsed_ms = (time.perf_counter() - started_s) * 1000
    snapshots = cluster.logs[follower].counters().get('snapshots_installed', 0)
    await cluster.stop(*HOSTS)
    return {'ms': round(elapsed_ms), 'by_snapshot': bool(snapshots)}


async def _measure(folder, count, repeats):
    def make_folder(name):
        path = folder / name
        path.mkdir()
        return path

    report = {
        'thread': await _commit_latency(
            make_folder('thread'), engines.Threads, count
        ),
        'in_line': await _commit_latency(
            make_folder('in_line'), _InlineThreads, count
        ),
        'leader_loss': await _leader_loss(make_folder('loss'), repeats),
        'catch_up': {},
    }
    for missed in (100, 400, 1600, 6400):
        report['catch_up'][missed] = await _catch_up(
            make_folder(f'missed{missed}'), missed
        )
    return report


@click.command()
@click.option('--count', default=500, show_default=True)
@click.option('--repeats', default=10, show_default=True)
def main(count: int, repeats: int) -> None:
    """Measure in a temporary folder within the working directory."""
    structlog.configure(
        wrapper_class=structlog.make_filtering_bound_logger(40)
    )
    with tempfile.TemporaryDirectory(dir='.') as name:
        report = asyncio.run(_measure(pathlib.Path(name), count, repeats))
    print(json.dumps(report))


if __name__ == '__main__':
    main()
