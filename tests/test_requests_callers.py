"""Tests of callers whose requests are ambiguous, slow or too large."""

import asyncio
import contextlib

import pytest

from tests import test_requests_exchange as exchanges


async def raw_exchange(url, request):
    """Send raw bytes; return what is received within 1 s."""
    host, port = url.removeprefix('http://').split(':')
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(request)
    await writer.drain()
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(1):
            return await reader.read(65536)
    return b''


@pytest.mark.parametrize(
    'framing',
    [
        b'Content-Length: 5\r\nContent-Length: 6\r\n\r\nhello',
        b'Content-Length: 5\r\nContent-Length: 5\r\n\r\nhello',
        b'Content-Length: 5, 5\r\n\r\nhello',
        b'Content-Length: +5\r\n\r\nhello',
        b'Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n',
        b'Transfer-Encoding: chunked, identity\r\n\r\n0\r\n\r\n',
        b'Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n',
        b'Transfer-Encoding : chunked\r\n\r\n0\r\n\r\n',
        b'Transfer-Encoding: chunked\r\n\r\n-1\r\nhello\r\n0\r\n\r\n',
        b'Transfer-Encoding: chunked\r\n\r\n5;\nx\r\nhello\r\n0\r\n\r\n',
        b'X-A: 1\r\n X-B: 2\r\nContent-Length: 0\r\n\r\n',
        b'X-A: a\rSkylark-Organisation: org-b\r\nContent-Length: 0\r\n\r\n',
        b'Skylark-Key: key-b\r\nContent-Length: 0\r\n\r\n',
        b'X-A: \xff\r\nContent-Length: 0\r\n\r\n',
        b'Idempotency-Key: a\r\nIdempotency-Key: b\r\n'
        b'Content-Length: 0\r\n\r\n',
    ],
)
def test_ambiguous_framing_reaches_no_upstream(framing):
    seen = []

    async def go():
        script = exchanges.respond_with(exchanges.OK + b'ok', seen=seen)
        async with exchanges.raw_bench(script) as bench:
            return await raw_exchange(
                bench.url,
                b'PUT /svc/a HTTP/1.1\r\nHost: x\r\nSkylark-Key: key-a\r\n'
                + framing,
            )

    response = exchanges.run(go())
    assert b' 400 ' in response.split(b'\r\n')[0] + b' '
    assert all(body == b'' for _, body in seen) and len(seen) <= 1
    assert not any(b'org-b' in head for head, _ in seen)


@pytest.mark.parametrize(
    'target',
    [
        '/svc/open/../a',
        '/svc/open/%2e%2e/a',
        '/svc/open/..;x/a',
        '/svc/open//x',
        '/svc/open%2f..%2fa',
        '/svc/open\\..\\a',
        '/svc/open/%00',
        '/svc/open/%252e%252e/a',
        '/svc/open/x#y',
        'http://elsewhere/svc/open',
        '*',
    ],
)
def test_ambiguous_target_reaches_no_upstream(target):
    seen = []

    async def go():
        async with exchanges.raw_bench(
            exchanges.respond_with(exchanges.OK + b'ok', seen=seen)
        ) as bench:
            return await raw_exchange(
                bench.url, f'GET {target} HTTP/1.1\r\nHost: x\r\n\r\n'.encode()
            )

    response = exchanges.run(go())
    assert response.split(b' ')[1] in (b'400', b'404')
    assert seen == []


def test_body_of_a_slow_caller_times_out():
    async def go():
        script = exchanges.respond_with(exchanges.OK + b'ok')
        async with exchanges.raw_bench(script, body_timeout_s=0.1) as bench:
            response = await raw_exchange(
                bench.url,
                b'PUT /svc/a HTTP/1.1\r\nHost: x\r\nSkylark-Key: key-a\r\n'
                b'Content-Length: 100\r\n\r\nabc',
            )
            assert b' 408 ' in response.split(b'\r\n')[0]
            assert b'body_timeout' in response
            assert bench.handler.counters()['held_body_bytes'] == 0
            assert bench.slot_allocator.slots == []

    exchanges.run(go())


@pytest.mark.parametrize('chunked', [True, False])
def test_body_over_the_limit_is_refused(chunked):
    async def body():
        for _ in range(3):
            yield b'x' * 1000

    async def go():
        async with exchanges.raw_bench(
            exchanges.respond_with(exchanges.OK + b'ok'), max_body_bytes=2000
        ) as bench:
            return await exchanges.get(
                bench,
                '/svc/book',
                'POST',
                headers={'Idempotency-Key': 'i1'},
                data=body() if chunked else b'x' * 3000,
            )

    response, _ = exchanges.run(go())
    assert response.headers['Skylark-Reason'] == 'body_too_large'
    assert response.headers['Skylark-Outcome'] == 'not-run'


def test_response_header_that_is_not_utf8_is_forwarded():
    script = exchanges.respond_with(
        b'HTTP/1.1 200 OK\r\nX-Name: caf\xe9\r\nContent-Length: 2\r\n\r\nok'
    )

    async def go():
        async with exchanges.raw_bench(script) as bench:
            return await exchanges.get(bench)

    response, body = exchanges.run(go())
    assert body == b'ok'
    assert response.headers['X-Name'] == 'caf?'


@pytest.mark.parametrize(
    'chunks, pause_s, reason',
    [(40, 0, 'body_too_large'), (12, 0.2, 'body_timeout')],
)
def test_incomplete_body_is_not_attributed_to_the_upstream(
    chunks, pause_s, reason
):
    async def script(reader, writer):
        await reader.read()

    async def body():
        for number in range(chunks):
            if number == 10:
                await asyncio.sleep(pause_s)
            yield b'x' * 10000

    async def go():
        limits = {'max_body_bytes': 300000, 'body_timeout_s': 0.1}
        async with exchanges.raw_bench(script, **limits) as bench:
            response, _ = await exchanges.get(bench, method='PUT', data=body())
            assert response.headers['Skylark-Reason'] == reason
            assert response.headers['Skylark-Outcome'] == 'unknown'
            assert bench.slot_allocator.slots[0].results == ['cancelled']
            assert bench.handler.counters()['deaths'] == 0
            assert bench.handler.counters()['held_body_bytes'] == 0

    exchanges.run(go())
