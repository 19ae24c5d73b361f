"""Connections of single clients to a server within limits, on loopback."""

import asyncio
import contextlib
import re
import time

from aiohttp import web
import pytest
import uvloop

from skylarkpitch.forwarding import callers_listener
from skylarkpitch.listening import serving
from tests.stand_ins import connection_guards

HEADER_BYTES = 2000
HEADER_TIMEOUT_S = 0.2
STALL_S = 1.0
ANSWERED_WITHIN_S = 20.0
STATUS = re.compile(rb'HTTP/1.[01] ([0-9]+) ')
GET = b'GET / HTTP/1.1\r\nHost: h\r\n'
REQUEST = GET + b'\r\n'
POST = b'POST / HTTP/1.1\r\nHost: h\r\n'
CHUNKED = POST + b'Transfer-Encoding: chunked\r\n\r\n'
LARGE = GET + b'X: ' + b'x' * 1500 + b'\r\nY: ' + b'y' * 1500 + b'\r\n\r\n'
LONG_LINE = b'GET /' + b'x' * 3000 + b' HTTP/1.1\r\nHost: h\r\n\r\n'


@contextlib.asynccontextmanager
async def serving_clients(*, handled=None, **limits):
    """Serve on loopback; yield the address and the guard."""

    async def handle(request):
        if handled is not None:
            handled.append(request.path)
        try:
            await request.read()
        except web.RequestPayloadError:
            return web.Response(status=400)
        return web.Response(text='done')

    server = web.Server(handle)
    guard = connection_guards.guard(
        **{'header_bytes': HEADER_BYTES, 'idle_timeout_s': 30.0, **limits}
    )
    listening = await serving.serve(
        server,
        guard=guard,
        listening_socket=callers_listener.bind('127.0.0.1:0'),
    )
    yield listening.sockets[0].getsockname(), guard
    listening.close()
    await server.shutdown(0.1)


async def statuses_after(address, *parts):
    """Send parts, and return the statuses until the host closes."""
    reader, writer = await asyncio.open_connection(*address)
    for part in parts:
        writer.write(part)
        await writer.drain()
        await asyncio.sleep(0.02)
    async with asyncio.timeout(ANSWERED_WITHIN_S):
        content = await reader.read()
    writer.close()
    return [int(status) for status in STATUS.findall(content)]


@pytest.mark.parametrize(
    ('parts', 'expected'),
    [
        ([LARGE], [431]),
        ([LARGE[:1600], LARGE[1600:]], [431]),
        ([GET + b'X: ' + b'x' * 9000], [400]),
        ([LONG_LINE], [400]),
        ([b'\r\n' * 5000], [431]),
        ([b'\r\n' * 2500, b'\r\n' * 2500], [431]),
        ([b'no request at all\r\n\r\n'], [400]),
        # What came before is answered first.
        ([REQUEST, LARGE], [200, 431]),
        ([REQUEST + LARGE], [200, 431]),
        ([REQUEST, b'no request\r\n\r\n' + REQUEST], [200, 400]),
        # The parser drops what it has read with it; it has not run.
        ([REQUEST + b'no request\r\n\r\n' + REQUEST], [400]),
        # A body that cannot be read ends its request at once.
        ([CHUNKED + b'no size\r\n'], [400]),
        ([CHUNKED, b'3\r\nabc\r\nno size\r\n'], [400]),
    ],
)
def test_request_that_cannot_be_read_is_refused(parts, expected):
    async def check():
        async with serving_clients() as (address, _guard):
            assert await statuses_after(address, *parts) == expected

    asyncio.run(check())


# Guards against a request that is handled though its head was too large.
def test_large_head_is_not_handled():
    async def check():
        handled = []
        async with serving_clients(handled=handled) as (address, _guard):
            found = await statuses_after(address, REQUEST + LARGE + REQUEST)
        assert (found, handled) == ([200, 431], ['/'])

    asyncio.run(check())


# Guards against heads that arrived in time, but are refused since the host
# has stood still before it read them.
def test_head_that_has_arrived_is_read_after_a_stall():
    async def check():
        async with serving_clients(header_timeout_s=HEADER_TIMEOUT_S) as (
            address,
            _guard,
        ):
            reader, writer = await asyncio.open_connection(*address)
            writer.write(GET)
            await asyncio.sleep(HEADER_TIMEOUT_S / 2)
            writer.write(b'\r\n')
            time.sleep(STALL_S)
            head = await reader.readuntil(b'\r\n\r\n')
            assert head.startswith(b'HTTP/1.1 200 ')
            writer.close()

    uvloop.run(check())


def test_head_in_pieces_is_refused_as_late():
    async def check():
        async with serving_clients(header_timeout_s=HEADER_TIMEOUT_S) as (
            address,
            guard,
        ):
            assert await statuses_after(address, GET) == [408]
            assert guard.counters()['closed_head_too_long'] == 1

    asyncio.run(check())


# Guards against a connection between two requests that is closed as if it had
# sent a part of a head.
def test_empty_lines_do_not_begin_a_head():
    async def check():
        async with serving_clients(header_timeout_s=HEADER_TIMEOUT_S) as (
            address,
            _guard,
        ):
            reader, writer = await asyncio.open_connection(*address)
            for _ in range(3):
                writer.write(b'\r\n')
                await asyncio.sleep(2 * HEADER_TIMEOUT_S)
                writer.write(REQUEST)
                head = await reader.readuntil(b'\r\n\r\n')
                assert head.startswith(b'HTTP/1.1 200 ')
                await reader.readexactly(len('done'))
            writer.close()

    asyncio.run(check())


@pytest.mark.parametrize('max_connections', [1, 3])
def test_oldest_silent_connection_makes_room(max_connections):
    async def check():
        async with serving_clients(max_connections=max_connections) as (
            address,
            guard,
        ):
            opened = []
            for _ in range(max_connections + 2):
                opened.append(await asyncio.open_connection(*address))
                await asyncio.sleep(0.05)
            for reader, _writer in opened[:2]:
                assert await reader.read() == b''
            for reader, writer in opened[2:]:
                writer.write(REQUEST)
                head = await reader.readuntil(b'\r\n\r\n')
                assert head.startswith(b'HTTP/1.1 200 ')
            assert guard.counters()['closed_too_many'] == 2
            for _reader, writer in opened:
                writer.close()

    asyncio.run(check())


def test_closed_connections_hold_nothing():
    async def check():
        async with serving_clients() as (address, guard):
            await statuses_after(address, REQUEST + LARGE)
            await statuses_after(address, CHUNKED + b'no size\r\n')
            await asyncio.sleep(0.1)
            assert guard._table.pool.held_bytes == 0
            assert len(guard._table) == 0

    asyncio.run(check())
