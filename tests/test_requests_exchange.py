"""Tests of exchanges with upstreams that send invalid responses."""

import asyncio
import contextlib

import aiohttp
from aiohttp import web
import pytest

from tests.stand_ins import request_ports
from tests import test_requests_path

KEY = test_requests_path.KEY
OK = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n'


def run(coroutine):
    return asyncio.run(asyncio.wait_for(coroutine, 20))


async def read_request(reader):
    """Read one request and return its head and body."""
    head = await reader.readuntil(b'\r\n\r\n')
    length = 0
    for line in head.lower().split(b'\r\n'):
        if line.startswith(b'content-length:'):
            length = int(line.split(b':')[1])
    return head, await reader.readexactly(length)


def respond_with(*responses, then_close=False, seen=None):
    """Return a script that sends the responses in order.

    The last one repeats. Requests are appended to ``seen``.
    """
    remaining = list(responses)

    async def script(reader, writer):
        while True:
            request = await read_request(reader)
            if seen is not None:
                seen.append(request)
            writer.write(
                remaining.pop(0) if len(remaining) > 1 else remaining[0]
            )
            await writer.drain()
            if then_close:
                return

    return script


@contextlib.asynccontextmanager
async def raw_bench(script, **limits):
    async with (
        request_ports.raw_serving(script) as url,
        test_requests_path.serve_bench(url, **limits) as bench,
    ):
        yield bench


async def get(bench, target='/svc/a', method='GET', **options):
    headers = {**KEY, **options.pop('headers', {})}
    async with bench.caller.request(
        method, target, headers=headers, **options
    ) as response:
        return response, await response.read()


@pytest.mark.parametrize(
    'raw_response, reason',
    [
        (b'HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc', 'failed'),
        (b'HTTP/1.1 200 OK\r\n\r\nabc', 'malformed'),
        (b'HTTP/1.1 200 OK\r\nContent-', 'failed'),
        (b'', 'failed'),
        (b'rubbish\r\n\r\n', 'malformed'),
        (
            b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc',
            'failed',
        ),
        (
            b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nabc',
            'malformed',
        ),
        (
            b'HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 4\r\n'
            b'\r\nabcd',
            'malformed',
        ),
        (
            b'HTTP/1.1 200 OK\r\nContent-Length: 3\r\n'
            b'Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n',
            'malformed',
        ),
        (
            b'HTTP/1.1 200 OK\r\nContent-Length: 99999\r\n\r\nabc',
            'malformed',
        ),
        (
            b'HTTP/1.1 101 Switching\r\nUpgrade: x\r\nConnection: upgrade'
            b'\r\n\r\n',
            'malformed',
        ),
    ],
)
def test_unusable_response_is_an_unknown_outcome(raw_response, reason):
    script = respond_with(raw_response, then_close=True)

    async def go():
        async with raw_bench(script, max_answer_bytes=2000) as bench:
            return await get(bench), bench

    (response, _), bench = run(go())
    assert response.status == 502
    assert response.headers['Skylark-Reason'] == f'upstream_{reason}'
    assert response.headers['Skylark-Outcome'] == 'unknown'
    assert [slot.results for slot in bench.slot_allocator.slots] == [
        ['failed']
    ]


@pytest.mark.parametrize(
    'head', [b'Content-Length: 300000', b'Transfer-Encoding: chunked']
)
def test_incomplete_long_response_is_never_taken_for_complete(head):
    async def script(reader, writer):
        await read_request(reader)
        writer.write(b'HTTP/1.1 200 OK\r\n' + head + b'\r\n\r\n')
        writer.write(b'%x\r\n' % 200000 if b'chunked' in head else b'')
        writer.write(b'x' * 200000)
        await writer.drain()

    async def go():
        async with raw_bench(script) as bench:
            with pytest.raises(aiohttp.ClientError):
                await get(bench)
            await asyncio.sleep(0)
        assert [slot.results for slot in bench.slot_allocator.slots] == [
            ['failed']
        ]
        assert bench.outcomes[0].reason == 'broken_off'

    run(go())


def test_late_extra_bytes_never_reach_the_next_caller():
    async def script(reader, writer):
        await read_request(reader)
        writer.write(OK + b'ok')
        await writer.drain()
        await asyncio.sleep(0.02)
        writer.write(OK + b'no')
        await writer.drain()
        await read_request(reader)
        writer.write(OK + b'xx')
        await writer.drain()

    async def go():
        async with raw_bench(script) as bench:
            bodies = []
            for _ in range(3):
                bodies.append((await get(bench))[1])
                await asyncio.sleep(0.06)
        assert bodies == [b'ok', b'ok', b'ok']

    run(go())


def test_pipelined_extra_bytes_never_reach_the_next_caller():
    script = respond_with(OK + b'ok' + OK + b'no')

    async def go():
        async with raw_bench(script) as bench:
            bodies = [(await get(bench))[1] for _ in range(4)]
        assert bodies == [b'ok'] * 4

    run(go())


def test_response_after_the_deadline_is_discarded():
    connections = []

    async def script(reader, writer):
        connections.append(writer)
        await read_request(reader)
        if len(connections) == 1:
            await asyncio.sleep(0.15)
            writer.write(OK + b'no')
            await writer.drain()
            connections.append(await reader.read())
            return
        writer.write(OK + b'ok')
        await reader.read()

    async def go():
        async with raw_bench(script) as bench:
            late, _ = await get(bench, headers={'Skylark-Deadline-Ms': '50'})
            assert late.status == 504
            assert late.headers['Skylark-Outcome'] == 'unknown'
            assert (await get(bench))[1] == b'ok'
            assert bench.slot_allocator.slots[0].results == ['timed_out']

    run(go())


def test_client_library_never_resends_a_request():
    seen = []

    async def script(reader, writer):
        seen.append(await read_request(reader))

    async def go():
        async with raw_bench(script) as bench:
            for method in ('GET', 'DELETE', 'POST'):
                response, _ = await get(bench, '/svc/book', method)
                assert response.headers['Skylark-Outcome'] == 'unknown'
        assert len(seen) == 3

    run(go())


def test_idempotent_request_is_retried_on_another_upstream():
    async def go():
        async with (
            request_ports.raw_serving(
                respond_with(b'', then_close=True)
            ) as bad,
            request_ports.raw_serving(respond_with(OK + b'ok')) as good,
            test_requests_path.serve_bench(bad, good) as bench,
        ):
            assert (await get(bench))[1] == b'ok'
            assert bench.handler.counters()['retries'] == 1
            response, _ = await get(bench, '/svc/book', 'POST')
            assert response.status == 502

    run(go())


def test_retry_budget_limits_retries():
    script = respond_with(b'', then_close=True)

    async def go():
        async with (
            request_ports.raw_serving(script) as one,
            request_ports.raw_serving(script) as two,
            test_requests_path.serve_bench(one, two) as bench,
        ):
            for _ in range(50):
                await get(bench)
            assert bench.handler.counters()['retries'] <= 10 + 0.1 * 50

    run(go())


def test_disconnected_caller_releases_slot_and_closes_connection():
    closed = asyncio.Event()

    async def script(reader, writer):
        await read_request(reader)
        await reader.read()
        closed.set()

    async def go():
        async with raw_bench(script) as bench:
            with pytest.raises(TimeoutError):
                await asyncio.wait_for(get(bench), 0.1)
            await asyncio.wait_for(closed.wait(), 5)
            while not bench.outcomes:
                await asyncio.sleep(0.01)
        assert [slot.results for slot in bench.slot_allocator.slots] == [
            ['cancelled']
        ]
        assert bench.handler.running == 0

    run(go())


def test_claimed_request_continues_when_its_caller_disconnects():
    async def slow(request):
        await asyncio.sleep(0.15)
        return web.Response(body=b'booked')

    async def go():
        headers = {'Idempotency-Key': 'i1'}
        async with (
            request_ports.serving(slow) as url,
            test_requests_path.serve_bench(url) as bench,
        ):
            with pytest.raises(TimeoutError):
                await asyncio.wait_for(
                    get(bench, '/svc/book', 'POST', headers=headers), 0.1
                )
            while 'record' not in bench.ledger.calls:
                await asyncio.sleep(0.01)
            resent = await get(bench, '/svc/book', 'POST', headers=headers)
        assert resent[1] == b'booked'
        assert bench.slot_allocator.slots[0].results == ['answered']

    run(go())


def test_upstream_cannot_send_skylark_headers():
    script = respond_with(
        b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\nSkylark-Outcome: not-run'
        b'\r\nConnection: X-Hop\r\nX-Hop: 1\r\nX-Kept: 2\r\n'
        b'Set-Cookie: a=1\r\nSet-Cookie: b=2\r\n\r\nok'
    )

    async def go():
        async with raw_bench(script) as bench:
            return await get(bench)

    response, _ = run(go())
    assert 'Skylark-Outcome' not in response.headers
    assert 'X-Hop' not in response.headers
    assert response.headers['X-Kept'] == '2'
    assert response.headers.getall('Set-Cookie') == ['a=1', 'b=2']


@pytest.mark.parametrize('method', ['GET', 'HEAD'])
@pytest.mark.parametrize('status', [200, 204, 304, 404])
def test_responses_without_body_retain_their_headers(method, status):
    body = b'' if method == 'HEAD' or status in (204, 304) else b'ok'
    length = b'' if status == 204 else b'Content-Length: 2\r\n'
    script = respond_with(
        b'HTTP/1.1 %d X\r\nETag: "e"\r\n%s\r\n%s' % (status, length, body)
    )

    async def go():
        async with raw_bench(script) as bench:
            first = await get(bench, method=method)
            return first, await get(bench, method=method)

    for response, received in run(go()):
        assert response.status == status
        assert received == body
        assert response.headers['ETag'] == '"e"'
        if status not in (204, 304):
            assert response.headers['Content-Length'] == '2'


def test_large_bodies_are_streamed_in_both_directions():
    size = 8 * 1024 * 1024

    async def echo(request):
        response = web.StreamResponse()
        await response.prepare(request)
        async for chunk in request.content.iter_any():
            await response.write(chunk)
        return response

    async def go():
        async with (
            request_ports.serving(echo) as url,
            test_requests_path.serve_bench(url) as bench,
        ):
            _, body = await get(
                bench, method='PUT', data=b'0123456789abcdef' * (size // 16)
            )
            assert len(body) == size
            assert bench.handler.counters()['held_body_bytes'] == 0
            assert bench.slot_allocator.slots[0].results == ['answered']

    run(go())
