"""Requests of callers that have closed their connection."""

import asyncio
import socket
import struct

import aiohttp
import pytest
import uvloop

from skylarkpitch.requests import caller_connection
from tests.stand_ins import handler_fleet
from tests.stand_ins import raw_upstream as upstreams
from tests.stand_ins import virtual_time
from tests import test_forwarding_exchange as exchange_tests

SETTLE_S = 0.3
# As many as the upstream has slots.
CONNECTIONS = 4
# Steps of the event loop from a free slot to the request that takes it.
MAX_STEPS = 5


def request_bytes(*, body=b'', request_id='r1'):
    """Return a request of a caller as it is sent."""
    return (
        b'POST /pans/1 HTTP/1.1\r\n'
        b'Host: pans.example\r\n'
        b'Request-Key: key\r\n'
        b'Request-Deadline-Ms: 2000\r\n'
        + f'Request-Id: {request_id}\r\n'.encode()
        + f'Content-Length: {len(body)}\r\n\r\n'.encode()
        + body
    )


def connect(port):
    """Return a blocking connection to an entry host."""
    return socket.create_connection(('127.0.0.1', port), timeout=5.0)


async def open_upstream_connections(entry, count):
    """Let an entry host open connections that the next requests reuse."""

    async def post():
        async with entry.post() as response:
            assert response.status == 200

    await asyncio.gather(*(post() for _number in range(count)))
    return entry.runs


def run(check, loop_factory):
    with asyncio.Runner(loop_factory=loop_factory) as runner:
        runner.run(check())


def leave(connection, *, by_reset):
    """Close a connection."""
    if by_reset:
        connection.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0)
        )
    connection.close()


# Guards against a request that is sent on although the caller's close has
# arrived with it: a host that stood still reads the request first.
@pytest.mark.parametrize('by_reset', [True, False], ids=['reset', 'close'])
@pytest.mark.parametrize(
    'loop_factory',
    [asyncio.new_event_loop, uvloop.new_event_loop],
    ids=['asyncio', 'uvloop'],
)
@pytest.mark.parametrize(
    'sent',
    [
        request_bytes(),
        request_bytes(body=b'p' * 30_000),
        request_bytes() + request_bytes(request_id='r2'),
        request_bytes() + request_bytes(request_id='r2')[:20],
    ],
    ids=['request', 'with-body', 'two-requests', 'part-of-a-second'],
)
def test_request_read_with_the_close_of_its_caller_is_not_sent(
    sent, loop_factory, by_reset
):
    async def check():
        async with exchange_tests.forwarding(
            [upstreams.respond()], repeatable=True
        ) as entry:
            opened = [connect(entry.port) for _ in range(CONNECTIONS)]
            runs = await open_upstream_connections(entry, CONNECTIONS)
            # The host accepts them, so that later it reads without accepting.
            await asyncio.sleep(SETTLE_S)
            # The event loop runs nothing until all callers have left.
            for connection in opened:
                connection.sendall(sent)
                leave(connection, by_reset=by_reset)
            await asyncio.sleep(SETTLE_S)
            assert entry.runs == runs

    run(check, loop_factory)


# Guards against the same where the host has not yet accepted the connection.
@pytest.mark.parametrize('by_reset', [True, False], ids=['reset', 'close'])
@pytest.mark.parametrize(
    'loop_factory',
    [asyncio.new_event_loop, uvloop.new_event_loop],
    ids=['asyncio', 'uvloop'],
)
def test_request_on_a_connection_accepted_after_its_close_is_not_sent(
    loop_factory, by_reset
):
    async def check():
        async with exchange_tests.forwarding(
            [upstreams.respond()], repeatable=True
        ) as entry:
            runs = await open_upstream_connections(entry, CONNECTIONS)
            for _number in range(CONNECTIONS):
                connection = connect(entry.port)
                connection.sendall(request_bytes())
                leave(connection, by_reset=by_reset)
            await asyncio.sleep(SETTLE_S)
            assert entry.runs == runs

    run(check, loop_factory)


# Guards against a request that is sent once more after its caller has left,
# where the host sees the failure and the close in the same step.
def test_request_is_not_sent_again_after_its_caller_has_left():
    async def check():
        opened = []

        async def fail(request_id, reader, writer):
            opened[0].close()
            writer.close()

        async with exchange_tests.forwarding(
            [fail], [fail], repeatable=True
        ) as entry:
            opened.append(connect(entry.port))
            opened[0].sendall(request_bytes())
            await asyncio.sleep(SETTLE_S)
            assert entry.runs == 1

    asyncio.run(check())


# Guards against a request that is sent although its caller has left while a
# connection to the upstream was opened.
@pytest.mark.parametrize('answers', [[True], [False, True]])
@pytest.mark.parametrize('opened', [0, CONNECTIONS], ids=['new', 'reused'])
def test_caller_is_asked_for_once_a_connection_is_ready(
    monkeypatch, opened, answers
):
    async def check():
        async with exchange_tests.forwarding(
            [upstreams.respond()], repeatable=False
        ) as entry:
            runs = await open_upstream_connections(entry, opened)
            remaining = iter(answers)
            monkeypatch.setattr(
                caller_connection, 'has_left', lambda request: next(remaining)
            )
            with pytest.raises(aiohttp.ServerDisconnectedError):
                async with entry.post():
                    pass
            assert entry.runs == runs
            assert list(remaining) == []

    asyncio.run(check())


# Guards against a check that takes callers for gone who are still there.
@pytest.mark.parametrize('stands_still_s', [0.0, 0.3])
def test_request_of_a_caller_that_waits_is_sent(stands_still_s):
    async def check():
        async with exchange_tests.forwarding(
            [upstreams.respond()], repeatable=False
        ) as entry:
            connection = connect(entry.port)
            connection.sendall(request_bytes() + request_bytes()[:20])
            await asyncio.sleep(stands_still_s)
            received = await asyncio.to_thread(connection.recv, 12)
            assert received == b'HTTP/1.1 200'
            connection.close()

    asyncio.run(check())


# Guards against a queued request that is sent since its caller left in the
# step in which it was woken.
@pytest.mark.parametrize('steps', range(MAX_STEPS))
def test_request_woken_as_its_caller_leaves_is_not_sent(steps):
    fleet = handler_fleet.HandlerFleet(
        hosts=1, upstreams=1, seed=1, slots=1, work_s=0.1, timeout_s=5.0
    )

    async def check():
        await fleet.start()
        sent = []
        while len(fleet.arrivals) == len(sent):
            sent.append(fleet.run_in_background(fleet.request('/pans/1')))
            await asyncio.sleep(0.01)
        first, *_others, queued = sent
        first.add_done_callback(lambda _done: cancel_after(queued, steps))
        await asyncio.wait([queued])
        await fleet.stop()
        assert queued.cancelled()
        assert len(fleet.arrivals) == len(sent) - 1

    def cancel_after(task, steps):
        if steps == 0:
            task.cancel()
            return
        loop = asyncio.get_running_loop()
        loop.call_soon(cancel_after, task, steps - 1)

    virtual_time.run(check())
