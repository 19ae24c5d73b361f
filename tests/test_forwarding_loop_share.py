"""Test that one connection leaves the event loop to the others."""

import asyncio
import contextlib
import socket
import subprocess
import sys

import aiohttp
import pytest

from tests.stand_ins import raw_upstream as upstreams
from tests.test_forwarding_exchange import forwarding
from tests.test_forwarding_exchange import run

UPSTREAMS = 6
FLOODS = 3
CALLERS = 12
INTERVAL_S = 0.1
REQUESTS = 30
# Callers beside the floods get an answer in this time.
ANSWER_S = 0.5
# The whole test is bounded.
TIMEOUT_S = 20.0
CHUNKED = b'Transfer-Encoding: chunked\r\n\r\n'


# Sends tiny chunks on an open socket without end, in a process of its own.
FLOOD_PROGRAM = """
import socket, sys
flood_socket = socket.socket(fileno=int(sys.argv[1]))
flood_socket.settimeout(60)
try:
    while True:
        flood_socket.sendall(b'1\\r\\nx\\r\\n' * 10_000)
except OSError:
    pass
"""


@contextlib.contextmanager
def flooding(flood_socket):
    """Send tiny chunks on a socket until the end of the context."""
    number = flood_socket.fileno()
    process = subprocess.Popen(
        [sys.executable, '-c', FLOOD_PROGRAM, str(number)],
        pass_fds=[number],
    )
    flood_socket.close()
    try:
        yield
    finally:
        process.kill()
        process.wait()


def flood_or_respond(stack):
    """Return a behaviour that floods requests whose id begins so."""

    async def behave(request_id, reader, writer):
        if not request_id.startswith('flood'):
            await upstreams.respond()(request_id, reader, writer)
            return
        writer.write(
            b'HTTP/1.1 200 OK\r\nAnswer-Seal: s\r\nRequest-Id: '
            + request_id.encode()
            + b'\r\n'
            + CHUNKED
        )
        await writer.drain()
        flood_socket = writer.get_extra_info('socket').dup()
        stack.enter_context(flooding(flood_socket))
        await reader.read(1)

    return behave


async def read_flood(entry, request_id):
    """Read the response of an upstream that sends tiny chunks."""
    with contextlib.suppress(aiohttp.ClientError):
        async with entry.post(
            request_id, **{'Request-Deadline-Ms': '60000'}
        ) as response:
            async for _chunk in response.content.iter_any():
                pass


async def flood_from_upstreams(entry, stack):
    """Let upstreams flood some requests."""
    return [
        asyncio.ensure_future(read_flood(entry, f'flood{number}'))
        for number in range(FLOODS)
    ]


async def flood_from_callers(entry, stack):
    """Send some requests with bodies of tiny chunks."""
    for _number in range(FLOODS):
        flood_socket = socket.create_connection(('127.0.0.1', entry.port))
        flood_socket.sendall(
            b'POST /pans/a HTTP/1.1\r\nHost: pans.example\r\n'
            b'Request-Key: key\r\n' + CHUNKED
        )
        stack.enter_context(flooding(flood_socket))
    return []


async def request(entry, request_id, answers_s):
    """Send a request, and note how long its answer takes."""
    loop = asyncio.get_running_loop()
    began_s = loop.time()
    async with entry.post(request_id) as response:
        body = await response.read()
    if (response.status, body) == (200, b'done'):
        answers_s.append(loop.time() - began_s)


async def request_regularly(entry, name, answers_s):
    """Send requests at regular times, and wait for their answers."""
    loop = asyncio.get_running_loop()
    began_s = loop.time()
    running = []
    for number in range(REQUESTS):
        due_s = began_s + number * INTERVAL_S
        await asyncio.sleep(max(0.0, due_s - loop.time()))
        running.append(
            asyncio.ensure_future(
                request(entry, f'{name}-{number}', answers_s)
            )
        )
    await asyncio.gather(*running)


# Guards against one connection that takes the whole event loop by chunks of
# one byte without end: callers beside it get late answers, or none.
@pytest.mark.parametrize(
    'flood',
    [flood_from_upstreams, flood_from_callers],
    ids=['from-upstreams', 'from-callers'],
)
def test_callers_beside_tiny_chunks_without_end_are_answered(flood):
    answers_s = []

    async def check():
        with contextlib.ExitStack() as stack:
            behaviour = flood_or_respond(stack)
            async with forwarding(
                *([behaviour] for _number in range(UPSTREAMS)),
                repeatable=False,
                timeout_ms=60_000.0,
            ) as entry:
                reading = await flood(entry, stack)
                await asyncio.sleep(0.3)
                async with asyncio.timeout(TIMEOUT_S):
                    await asyncio.gather(
                        *(
                            request_regularly(entry, f'c{number}', answers_s)
                            for number in range(CALLERS)
                        )
                    )
                for item in reading:
                    item.cancel()
                await asyncio.gather(*reading, return_exceptions=True)

    run(check)
    offered = CALLERS * REQUESTS
    in_time = sum(took_s <= ANSWER_S for took_s in answers_s)
    assert in_time >= 0.9 * offered, (in_time, len(answers_s))
