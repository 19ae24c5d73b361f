"""Connections of callers during a planned stop of an entry host."""

import asyncio
import socket

import aiohttp
from aiohttp import web
import pytest

from skylarkpitch.fleet import model
from skylarkpitch.forwarding import callers_listener
from tests.stand_ins import connection_guards

LONG_S = 30.0


async def listen(handler):
    """Return a listener on a free port, and its address."""
    free_socket = callers_listener.bind('127.0.0.1:0')
    address = f'127.0.0.1:{free_socket.getsockname()[1]}'
    free_socket.close()
    listener = callers_listener.CallersListener(
        address=address,
        handler=handler,
        guard=connection_guards.guard(),
    )
    await listener.open(model.CallerLimits())
    return listener, address


async def text_of(session, address):
    """Return the body of a response from the listener."""
    async with session.get(f'http://{address}/') as response:
        assert response.status == 200
        return await response.text()


@pytest.mark.parametrize('idle_connections', [0, 1, 20])
def test_stop_does_not_wait_for_idle_connections(
    idle_connections,
):
    """Idle connections must not delay a stop until its time-out.

    Otherwise hosts that are stopped a second apart are all down at once.
    """

    async def handler(request):
        return web.Response(text='done')

    async def check():
        listener, address = await listen(handler)
        connector = aiohttp.TCPConnector(limit=0)
        async with aiohttp.ClientSession(connector=connector) as session:
            await asyncio.gather(
                *(text_of(session, address) for _ in range(idle_connections))
            )
            # Much shorter than LONG_S, but longer than any scheduling delay.
            await asyncio.wait_for(listener.close(timeout_s=LONG_S), 10.0)

    asyncio.run(check())


def test_stop_waits_for_running_requests():
    started, may_end = asyncio.Event(), asyncio.Event()

    async def handler(request):
        started.set()
        await may_end.wait()
        return web.Response(text='done')

    async def check():
        listener, address = await listen(handler)
        async with aiohttp.ClientSession() as session:
            response_task = asyncio.create_task(text_of(session, address))
            await started.wait()
            closing = asyncio.create_task(listener.close(timeout_s=LONG_S))
            await asyncio.sleep(0.05)
            assert not closing.done()
            may_end.set()
            assert await response_task == 'done'
            await asyncio.wait_for(closing, 10.0)

    asyncio.run(check())


def test_stop_aborts_requests_after_its_timeout():
    started = asyncio.Event()

    async def handler(request):
        started.set()
        await asyncio.sleep(LONG_S)
        return web.Response(text='done')

    async def check():
        listener, address = await listen(handler)
        async with aiohttp.ClientSession() as session:
            response_task = asyncio.create_task(text_of(session, address))
            await started.wait()
            await asyncio.wait_for(listener.close(timeout_s=0.1), 10.0)
            with pytest.raises(aiohttp.ClientError):
                await response_task

    asyncio.run(check())


REQUEST = b'GET / HTTP/1.1\r\nHost: pans.example\r\n\r\n'


async def open_connections(address, count):
    host, port = address.split(':')
    return await asyncio.gather(
        *(asyncio.open_connection(host, int(port)) for _ in range(count))
    )


# Guards against a stop under load that cuts requests which have arrived, but
# which the process has not read yet when it closes its idle connections.
@pytest.mark.parametrize('is_kept', [False, True], ids=['new', 'kept'])
def test_stop_answers_requests_that_have_just_arrived(is_kept):
    connections = 30

    async def handler(request):
        return web.Response(text='done')

    async def check():
        listener, address = await listen(handler)
        opened = await open_connections(address, connections)
        if is_kept:
            for reader, writer in opened:
                writer.write(REQUEST)
                await reader.readuntil(b'done')
        for _reader, writer in opened:
            writer.write(REQUEST)
        closing = asyncio.create_task(listener.close(timeout_s=LONG_S))
        answers = await asyncio.gather(
            *(reader.read() for reader, _writer in opened),
            return_exceptions=True,
        )
        await asyncio.wait_for(closing, 10.0)
        whole = [
            answer
            for answer in answers
            if isinstance(answer, bytes) and answer.endswith(b'done')
        ]
        assert len(whole) == connections

    asyncio.run(check())


# Guards against requests that come late in a planned stop, are taken and
# passed on, and are then cut at its end.
def test_stop_takes_no_request_late_in_its_grace_period():
    handled, may_end = [], asyncio.Event()

    async def handler(request):
        handled.append(request.path)
        if request.path == '/long':
            await may_end.wait()
        return web.Response(text='done')

    async def check():
        listener, address = await listen(handler)
        opened = await open_connections(address, 3)
        (long_reader, long_writer), *kept = opened
        for reader, writer in kept:
            writer.write(REQUEST)
            await reader.readuntil(b'done')
        long_writer.write(REQUEST.replace(b'/ ', b'/long ', 1))
        while '/long' not in handled:
            await asyncio.sleep(0.01)
        closing = asyncio.create_task(listener.close(timeout_s=LONG_S))
        await asyncio.sleep(0.5)
        count = len(handled)
        for reader, writer in kept:
            writer.write(REQUEST)
            assert await reader.read() == b''
        with pytest.raises(OSError):
            await open_connections(address, 1)
        # A pipelined request behind the one that still runs.
        long_writer.write(REQUEST)
        may_end.set()
        answer = await long_reader.read()
        assert answer.count(b'HTTP/1.1 200') == 1
        assert len(handled) == count
        await asyncio.wait_for(closing, 10.0)

    asyncio.run(check())


# Guards against answers that are cut by the end of the process: they were
# written, and waited for their readers.
def test_stop_waits_until_answers_are_taken():
    # Less than what a handler leaves to the event loop.
    size = 60_000
    handled = asyncio.Event()

    async def handler(request):
        handled.set()
        own_socket = request.transport.get_extra_info('socket')
        own_socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        return web.Response(body=b'a' * size)

    async def check():
        listener, address = await listen(handler)
        client = socket.socket()
        client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        client.setblocking(False)
        host, port = address.split(':')
        loop = asyncio.get_running_loop()
        await loop.sock_connect(client, (host, int(port)))
        await loop.sock_sendall(client, REQUEST)
        await handled.wait()
        closing = asyncio.create_task(listener.close(timeout_s=LONG_S))
        await asyncio.sleep(0.5)
        assert not closing.done()
        answer = b''
        while chunk := await loop.sock_recv(client, 4096):
            answer += chunk
        assert answer.endswith(b'\r\n\r\n' + b'a' * size)
        await asyncio.wait_for(closing, 10.0)
        client.close()

    asyncio.run(check())
