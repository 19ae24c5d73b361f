"""Calls of the platform over HTTP, to one host of a control group."""

import asyncio
import contextlib
import json
import threading

import aiohttp
from aiohttp import web
import pytest
from skylark_platform import calls
from skylark_platform import documents as platform_documents

from tests.stand_ins import connection_guards
from tests.stand_ins import fleet_cluster
from tests import test_platform_configurations as documents

# Routes of a configuration that takes long to decode.
LARGE_ROUTES = 2500
# Longest time for which a test decodes.
DECODE_S = 3.0


@contextlib.asynccontextmanager
async def called_group(folder):
    """Run a control group; yield a function that calls one of its hosts."""
    cluster = fleet_cluster.FleetCluster(folder=folder)
    await cluster.start('abcdef')
    await cluster.wait_for_voters(6)
    handler = calls.handler(
        calls.Context(
            control_service=cluster.control_services['b'],
            bodies=connection_guards.bodies(),
            own_ip='b',
            control_port='1',
            region_of=lambda domain: domain[:4],
        )
    )
    server = web.Server(handler)
    listening = await asyncio.get_running_loop().create_server(
        server, '127.0.0.1', 0
    )
    port = listening.sockets[0].getsockname()[1]
    async with aiohttp.ClientSession() as session:

        async def call(name, body=b''):
            url = f'http://127.0.0.1:{port}/rpc?call={name}&of=x'
            async with session.post(url, data=body) as response:
                return response.status, await response.read()

        yield call
    listening.close()
    await server.shutdown(0.1)
    await cluster.stop()


def large_document(route_count):
    routes = {
        f'r{number}': {**documents.ROUTE, 'PathPrefix': f'/pans/{number}/'}
        for number in range(route_count)
    }
    return json.dumps({**documents.document(), 'Routes': routes}).encode()


# Guards against a valid configuration that is refused for good: from 1 MB on
# each host answered 413, the default of the library.
def test_large_configuration_is_taken_and_read_back(tmp_path):
    async def scenario():
        body = large_document(10_000)
        assert len(body) > 1024 * 1024
        async with called_group(tmp_path) as call:
            status, _content = await call('config.put', body)
            assert status == 200
            assert await call('config.get') == (200, body)

    asyncio.run(scenario())


# Guards against a control host that sends no heartbeat and answers no call
# while it decodes a large configuration.
def test_host_answers_calls_while_it_decodes_a_large_configuration(
    tmp_path, monkeypatch
):
    decode = platform_documents.decode_configuration
    is_decoding, is_answered = threading.Event(), threading.Event()
    seen = []

    def decode_until_answered(body):
        is_decoding.set()
        seen.append(is_answered.wait(DECODE_S))
        return decode(body)

    monkeypatch.setattr(
        platform_documents, 'decode_configuration', decode_until_answered
    )

    async def scenario():
        async with called_group(tmp_path) as call:
            put = asyncio.create_task(
                call('config.put', large_document(LARGE_ROUTES))
            )
            while not is_decoding.is_set():
                await asyncio.sleep(0.01)
            await call('config.unknown')
            is_answered.set()
            await put

    asyncio.run(scenario())
    assert seen == [True]


@pytest.mark.parametrize(
    ('name', 'size_bytes'),
    [
        ('config.put', 9 * 1024 * 1024),
        ('instances.heartbeat', 100 * 1024),
        ('instances.leave', 100 * 1024),
        ('drain.start', 100 * 1024),
    ],
)
@pytest.mark.parametrize('in_chunks', [False, True])
def test_body_above_its_limit_is_refused(
    tmp_path, name, size_bytes, in_chunks
):
    async def send():
        for _number in range(size_bytes // 4096):
            yield b' ' * 4096

    async def scenario():
        async with called_group(tmp_path) as call:
            body = send() if in_chunks else b' ' * size_bytes
            status, content = await call(name, body)
            assert status == 413
            assert b'at most' in content

    asyncio.run(scenario())
