"""Measure how look-ups scale with the number of client blocks."""

import asyncio
from collections.abc import Callable
import functools
import random
import socket
import time
import tracemalloc

from aiohttp import web

from benchmarks import capacity_report as reports
from skylarkpitch.peers import directory as directories
from skylarkpitch.settings import deployment
from skylarkpitch.steering import lookup
from skylarkpitch.steering import lookup_blocks

__all__ = ['measure']

BLOCKS = (1_300, 13_000, 130_000)
SITES = 490
HOSTS_PER_SITE = 7
REGIONS = 14
LOOKUPS_PER_HOST_PER_S = 3_200_000 / 3_500
LOOKUPS = 20_000
HTTP_S = 2.0
HTTP_CONNECTIONS = 16


def _hosts() -> list[directories.Host]:
    return [
        directories.Host(
            name=f's{site}-{number}',
            region=f'r{site % REGIONS}',
            failure_domain=f's{site}',
            roles=('entry',),
            peers_address='127.0.0.1:1',
            callers_address=f'10.{site // 250}.{site % 250}.{number}:80',
            relay_address=None,
            public_key=f's{site}-{number}',
        )
        for site in range(SITES)
        for number in range(HOSTS_PER_SITE)
    ]


def _config() -> deployment.SiteConfig:
    route = {'routes': [{'prefix': '/'}]}
    base = {
        'services': {'desk': route},
        'organisations': {},
        'regions': {'r0': {'failure_domains': {'d0': {}}}},
    }
    return deployment.validate_site(base, {}, site='s')


def _blocks(count: int) -> list[tuple[str, str]]:
    rng = random.Random(count)
    prefixes = rng.sample(range(1 << 23), count)
    return [
        (f'{p >> 15}.{p >> 7 & 255}.{p << 1 & 255}.0/24', f's{p % SITES}')
        for p in prefixes
    ]


class DictionaryTable:
    """Baseline: a dictionary of failure domains by network and length."""

    def __init__(self, blocks: list[tuple[str, str]]) -> None:
        self._domains = {}
        for cidr, domain in blocks:
            address, length = cidr.split('/')
            packed = int.from_bytes(socket.inet_aton(address), 'big')
            self._domains[packed, int(length)] = domain

    def find(self, client_ip: str) -> str | None:
        """Return the failure domain of the longest prefix that matches."""
        address = int.from_bytes(socket.inet_aton(client_ip), 'big')
        for length in range(32, -1, -1):
            start = address >> (32 - length) << (32 - length)
            domain = self._domains.get((start, length))
            if domain is not None:
                return domain
        return None


def _memory_of(make: Callable[[], object]) -> tuple[object, int]:
    tracemalloc.start()
    result = make()
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return result, size


def _per_s(look_up: Callable[[str], object], clients: list[str]) -> float:
    started_s = time.process_time()
    for client in clients:
        look_up(client)
    return len(clients) / (time.process_time() - started_s)


def _make_table(blocks: list[tuple[str, str]]) -> lookup_blocks.BlockTable:
    table = lookup_blocks.BlockTable()
    table.fill(blocks)
    return table


def _clients(blocks: list[tuple[str, str]]) -> list[str]:
    rng = random.Random(1)
    return [
        rng.choice(blocks)[0].replace('0/24', str(rng.randrange(256)))
        for _ in range(LOOKUPS)
    ]


async def _http_per_s(service: lookup.LookupService) -> float:
    """Return responses per second and core, with the work of the client."""
    app = web.Application()
    app.add_routes(service.routes())
    runner = web.AppRunner(app, access_log=None)
    await runner.setup()
    site = web.TCPSite(runner, '127.0.0.1', 0)
    await site.start()
    port = site._server.sockets[0].getsockname()[1]
    started_s = time.process_time()
    counts = await asyncio.gather(
        *(_look_up_over_http(port) for _ in range(HTTP_CONNECTIONS))
    )
    used_s = time.process_time() - started_s
    await runner.cleanup()
    return sum(counts) / used_s


async def _look_up_over_http(port: int) -> int:
    reader, writer = await asyncio.open_connection('127.0.0.1', port)
    request = (
        b'GET /skylark/v1/lookup?service=desk HTTP/1.1\r\nHost: h\r\n\r\n'
    )
    ends_s = time.monotonic() + HTTP_S
    count = 0
    while time.monotonic() < ends_s:
        writer.write(request)
        head = await reader.readuntil(b'\r\n\r\n')
        length = head.lower().split(b'content-length:')[1].split(b'\r\n')[0]
        await reader.readexactly(int(length))
        count += 1
    writer.close()
    return count


def _change_costs_ms(
    service: lookup.LookupService, hosts: list, blocks: list
) -> tuple[float, float, float]:
    """Return the times of three changes in ms.

    They are a refresh without changes, a refresh after one host left, and the
    assignment of one client block.
    """
    answers = service._answers
    inputs = {
        'services': ('desk',),
        'lifetime_s': 5.0,
        'length': 3,
        'capacity': {},
    }
    started_s = time.process_time()
    for _ in range(20):
        answers.update(leaving=frozenset(), **inputs)
    same_ms = (time.process_time() - started_s) * 50
    started_s = time.process_time()
    answers.update(leaving=frozenset((hosts[0].name,)), **inputs)
    host_ms = (time.process_time() - started_s) * 1000
    started_s = time.process_time()
    for cidr, _ in blocks[:100]:
        service._blocks.assign(cidr, 's1')
    block_ms = (time.process_time() - started_s) * 10
    return same_ms, host_ms, block_ms


def measure() -> list[reports.Measurement]:
    """Return the measurements of look-ups."""
    hosts = _hosts()
    measurements = []
    for count in BLOCKS:
        blocks = _blocks(count)
        table, size = _memory_of(functools.partial(_make_table, blocks))
        baseline, baseline_size = _memory_of(
            functools.partial(DictionaryTable, blocks)
        )
        clients = _clients(blocks)
        measurements += [
            _measurement(f'block_table_{count}', size / 1e6, 'MB'),
            _measurement(
                f'plain_dictionary_{count}', baseline_size / 1e6, 'MB'
            ),
            _measurement(
                f'block_finds_{count}',
                _per_s(table._find, clients) / 1000,
                'thousand/s/core',
            ),
            _measurement(
                f'plain_finds_{count}',
                _per_s(baseline.find, clients) / 1000,
                'thousand/s/core',
            ),
        ]
    return measurements + _answer_measurements(hosts, table, blocks, clients)


def _answer_measurements(
    hosts: list, table: lookup_blocks.BlockTable, blocks: list, clients: list
) -> list[reports.Measurement]:
    config = _config()
    service = lookup.LookupService(
        directory=directories.Directory(local_host='s0-0', hosts=hosts),
        site_config=lambda: config,
        is_leaving=frozenset,
        id_prefix=lambda: 'r0.abc.',
        blocks=table,
    )

    def fill() -> None:
        for client in clients:
            service.answer('desk', client)

    _, size = _memory_of(fill)
    per_s = _per_s(lambda client: service.answer('desk', client), clients)
    same_ms, host_ms, block_ms = _change_costs_ms(service, hosts, blocks)
    http_per_s = asyncio.run(_http_per_s(service))
    return [
        _measurement('answers_490_sites', size / 1e6, 'MB'),
        _measurement('answers', per_s / 1000, 'thousand/s/core'),
        _measurement('refresh_unchanged', same_ms, 'ms'),
        _measurement('recompute_host_change', host_ms, 'ms'),
        _measurement('change_block', block_ms, 'ms'),
        reports.Measurement(
            name='lookups_http',
            value=http_per_s,
            unit='1/s/core',
            full_size=100 * LOOKUPS_PER_HOST_PER_S / http_per_s,
            full_size_unit='% of a core',
            budget=100.0,
        ),
    ]


def _measurement(name: str, value: float, unit: str) -> reports.Measurement:
    return reports.Measurement(name=name, value=value, unit=unit)
