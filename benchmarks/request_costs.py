"""Benchmark of the costs of the request handler, in one process on loopback.

Requests are sent in turn directly to an upstream, through the handler, and
through the handler with a claim at three ledger members over the real peer
transport. Prints one JSON object with the medians in ms, their ratios, the
requests per second of processor time and the memory of slow callers.
"""

import asyncio
import contextlib
import json
import pathlib
import random
import resource
import statistics
import time

import aiohttp
from aiohttp import web
import uvloop

from skylarkpitch.peers import directory
from skylarkpitch.peers import network
from skylarkpitch.requests import ledger_service
from skylarkpitch.requests import request_handler
from skylarkpitch.settings import daemon
from tests.stand_ins import request_ports
from tests import test_network

ROUNDS = 400
WARM_UP_ROUNDS = 50
SLOW_CALLERS = 1000
SLOW_BYTES = 1000
HOSTS = ('h1', 'h2', 'h3')
KEY = {'Skylark-Key': 'key-a'}


async def _upstream(request: web.Request) -> web.Response:
    await request.read()
    return web.Response(body=b'ok')


@contextlib.asynccontextmanager
async def _ledgers():
    hosts, secrets = test_network.make_hosts(HOSTS)
    async with contextlib.AsyncExitStack() as stack:
        ledgers = []
        for name in HOSTS:
            peers = network.PeerNetwork(
                directory=directory.Directory(own=name, hosts=hosts),
                secret_key=secrets[name].decode(),
            )
            await stack.enter_async_context(peers)
            ledger = ledger_service.OperationLedger(
                peers=peers,
                region='r1',
                members=lambda region: HOSTS,
                epoch=lambda: 1,
                retention_s=lambda: 600.0,
                opened_s=lambda: 10**12,
                rng=random.Random(name),
            )
            ledgers.append(await stack.enter_async_context(ledger))
        while ledgers[0].counters()['members_not_synced']:
            await asyncio.sleep(0.1)
        yield ledgers


def _handler(ledger, upstream_url: str) -> request_handler.RequestHandler:
    config = request_ports.site_config()
    return request_handler.RequestHandler(
        site_config=lambda: config,
        authenticator=request_ports.FakeAuthenticator(),
        limiter=request_ports.FakeLimiter(),
        slot_allocator=request_ports.FakeSlotAllocator(upstream_url),
        ledger=ledger,
        settings=daemon.LimitSettings(),
        is_stopping=lambda: False,
    )


async def _measure_call(caller, method, url, headers) -> tuple[float, float]:
    started_s, started_cpu_s = time.perf_counter(), time.process_time()
    async with caller.request(method, url, headers=headers) as response:
        await response.read()
        if response.status != 200:
            raise RuntimeError(f'{url} returned status {response.status}')
    return (
        time.perf_counter() - started_s,
        time.process_time() - started_cpu_s,
    )


async def _measure_latencies(direct_url: str, handler_url: str) -> dict:
    samples = {'direct': [], 'proxied': [], 'unclaimed': [], 'claimed': []}
    async with aiohttp.ClientSession() as caller:
        for number in range(WARM_UP_ROUNDS + ROUNDS):
            claimed = {**KEY, 'Idempotency-Key': f'id-{number}'}
            calls = {
                'direct': ('GET', f'{direct_url}/svc/a', KEY),
                'proxied': ('GET', f'{handler_url}/svc/a', KEY),
                'unclaimed': ('POST', f'{handler_url}/svc/book', KEY),
                'claimed': ('POST', f'{handler_url}/svc/book', claimed),
            }
            for kind, call in calls.items():
                samples[kind].append(await _measure_call(caller, *call))
    return {kind: pairs[WARM_UP_ROUNDS:] for kind, pairs in samples.items()}


async def _measure_slow_callers(handler, url: str) -> dict:
    before_kb = _resident_kb()
    host, port = url.removeprefix('http://').split(':')
    head = (
        b'PUT /svc/a HTTP/1.1\r\nHost: x\r\nSkylark-Key: key-a\r\n'
        b'Content-Length: 60000\r\n\r\n'
    )
    writers = []
    for _ in range(SLOW_CALLERS):
        _, writer = await asyncio.open_connection(host, int(port))
        writer.write(head + b'x' * SLOW_BYTES)
        writers.append(writer)
    while handler.running < SLOW_CALLERS:
        await asyncio.sleep(0.05)
    result = {
        'callers': SLOW_CALLERS,
        'resident_mb_both_ends': (_resident_kb() - before_kb) / 1024,
        'held_body_bytes': handler.counters()['held_body_bytes'],
    }
    for writer in writers:
        writer.close()
    return result


def _resident_kb() -> int:
    pages = pathlib.Path('/proc/self/statm').read_text().split()[1]
    return int(pages) * resource.getpagesize() // 1024


async def measure() -> dict:
    """Return all results."""
    async with _ledgers() as ledgers, request_ports.serving(_upstream) as up:
        handler = _handler(ledgers[0], up)
        async with request_ports.serving(handler.handle) as url:
            samples = await _measure_latencies(up, url)
            slow = await _measure_slow_callers(handler, url)
        await handler.close()
    median = {
        kind: statistics.median(wall for wall, _ in pairs)
        for kind, pairs in samples.items()
    }
    cpu = {
        kind: statistics.mean(cpu for _, cpu in pairs)
        for kind, pairs in samples.items()
    }
    return {
        'median_ms': {k: round(v * 1000, 3) for k, v in median.items()},
        'proxied_over_direct': round(median['proxied'] / median['direct'], 2),
        'claimed_over_unclaimed': round(
            median['claimed'] / median['unclaimed'], 2
        ),
        'path_calls_a_core_s': round(1 / (cpu['proxied'] - cpu['direct'])),
        'slow_callers': slow,
    }


def main() -> None:
    """Run the benchmark on the event loop of the daemon and print."""
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        print(json.dumps(runner.run(measure())))


if __name__ == '__main__':
    main()
