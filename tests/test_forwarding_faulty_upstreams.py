"""Test what callers get from upstreams that break the protocol.

Each test brings about a fault that operators of similar systems reported.
"""

import asyncio

import aiohttp
import pytest

from tests.stand_ins import raw_upstream as upstreams
from tests.test_forwarding_exchange import forwarding
from tests.test_forwarding_exchange import run

DONE = upstreams.respond()
SEALED = f'{upstreams.SEAL}: s'
HEAD = b'HTTP/1.1 200 OK\r\nRequest-Id: %ID%\r\nAnswer-Seal: s\r\n'


def answered_by_id(request_id, reader, writer):
    """Send a response whose body is the id of the request."""
    return upstreams.respond(body=request_id.encode())(
        request_id, reader, writer
    )


# Guards against a late second copy of a response that reaches the next
# caller, and against "not run" said of a request that runs: the upstream
# writes the earlier response again before, or while, it runs the next one.
@pytest.mark.parametrize('delay_s', [0.0, 0.1])
@pytest.mark.parametrize(
    'first', [answered_by_id, upstreams.reject(503)], ids=['answer', 'refusal']
)
def test_second_copy_of_a_response_reaches_no_other_caller(first, delay_s):
    async def slow(request_id, reader, writer):
        await asyncio.sleep(0.3)
        await answered_by_id(request_id, reader, writer)

    async def check():
        twice = upstreams.respond_again_later(first, delay_s=delay_s)
        async with forwarding([twice, slow], repeatable=False) as entry:
            async with entry.post('r1') as response:
                await response.read()
            for name in ('r2', 'r3'):
                async with entry.post(name) as response:
                    body = await response.read()
                    ran = any(
                        row[2]['Request-Id'] == name
                        for row in entry.upstreams[0].seen
                    )
                    assert response.status != 200 or body == name.encode()
                    assert response.status not in (429, 503) or not ran

    run(check)


# Guards against the same for callers that send no id of their own.
def test_second_copy_is_recognised_without_an_id_of_the_caller():
    async def slow(request_id, reader, writer):
        await asyncio.sleep(0.3)
        await upstreams.respond(body=b'second')(request_id, reader, writer)

    async def check():
        first = upstreams.respond(body=b'first')
        twice = upstreams.respond_again_later(first)
        async with forwarding([twice, slow], repeatable=False) as entry:
            bodies = []
            for _number in range(2):
                url = f'http://127.0.0.1:{entry.port}/pans/a'
                headers = {'Host': 'pans.example', 'Request-Key': 'key'}
                async with entry.session.post(url, headers=headers) as got:
                    bodies.append((got.status, await got.read()))
        assert bodies[0] == (200, b'first')
        assert bodies[1][0] == 502 or bodies[1] == (200, b'second')

    run(check)


# Guards against a success with an empty or short body, framed as whole.
@pytest.mark.parametrize(
    'behaviour',
    [
        upstreams.close_inside_head(),
        upstreams.close_inside_head(SEALED),
        upstreams.close_inside_head(SEALED, 'Content-Length: 8'),
        upstreams.close_inside_head(SEALED, 'Content-Length: 0'),
        upstreams.close_inside_head(SEALED, 'Transfer-Encoding: chunked'),
        upstreams.close_inside_chunks,
        upstreams.close_after_half,
        upstreams.respond_without_length(is_reset=True),
    ],
    ids=[
        'head',
        'head-with-seal',
        'head-with-length',
        'head-with-no-body',
        'head-of-chunks',
        'chunks',
        'body-with-length',
        'body-without-length-reset',
    ],
)
def test_response_that_breaks_off_is_no_success(behaviour):
    async def check():
        async with forwarding([behaviour], repeatable=False) as entry:
            async with entry.post() as response:
                await response.read()
            assert response.status == 502
            assert entry.runs == 1

    run(check)


# Guards against bytes without end, which would fill the memory of the host
# or keep the request past its time.
@pytest.mark.parametrize(
    ('start', 'piece'),
    [
        (b'', b'x' * 1024),
        (b'HTTP/1.1 200 OK\r\n', b'x' * 1024),
        (b'HTTP/1.1 200 OK\r\n', b'Name: value\r\n' * 50),
        (b'', b'HTTP/1.1 100 Continue\r\n\r\n' * 20),
        (HEAD + b'\r\n', b'x' * 4096),
        (HEAD + b'\r\n', b'x' * 65536),
        (HEAD + b'Content-Length: 99999999999\r\n\r\n', b'x' * 4096),
        (HEAD + b'Transfer-Encoding: chunked\r\n\r\n', b'4\r\nhalf\r\n'),
        (HEAD + b'Transfer-Encoding: chunked\r\n\r\n', b'0' * 1024),
    ],
    ids=[
        'no-line',
        'no-end-of-a-header',
        'no-end-of-headers',
        'informational-heads',
        'body-without-length',
        'large-body-without-length',
        'body-of-a-large-length',
        'chunks',
        'size-of-a-chunk',
    ],
)
def test_bytes_without_end_end_with_the_request(start, piece):
    async def check():
        behaviour = upstreams.send_without_end(start, piece)
        async with forwarding(
            [behaviour], repeatable=False, timeout_ms=400.0
        ) as entry:
            async with asyncio.timeout(3.0):
                status, is_complete = await read(entry)
                await entry.upstreams[0].closed.wait()
            assert not is_complete or status in (502, 504)

    run(check)


# Guards against an entry host that runs out of memory, with the requests of
# all of its callers: an upstream sends bytes without end after a response, on
# a connection that is idle or was used for a response just before.
@pytest.mark.parametrize('delay_s', [0.0, 0.1], ids=['at-once', 'idle'])
@pytest.mark.parametrize(
    'piece',
    [
        b'HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na' * 500,
        b'HTTP/1.1 100 Continue\r\n\r\n' * 500,
        b'HTTP/1.1 200 OK\r\nContent-Length: 99999999\r\n\r\n' + b'a' * 20000,
        b'x' * 20000,
    ],
    ids=['responses', 'informational-heads', 'bodies', 'no-heads'],
)
def test_connection_with_bytes_after_a_response_is_closed(piece, delay_s):
    async def check():
        flood = upstreams.send_after(DONE, piece, delay_s=delay_s)
        async with forwarding([flood, DONE], repeatable=False) as entry:
            async with asyncio.timeout(1.5):
                assert await read(entry) == (200, True)
                await entry.upstreams[0].closed.wait()
                assert await read(entry) == (200, True)

    run(check)


# Guards against the same by interim responses without end, which the library
# skips one by one before the response: the caller waits for its deadline.
@pytest.mark.parametrize(
    'piece',
    [
        b'HTTP/1.1 100 Continue\r\n\r\n' * 500,
        b'HTTP/1.1 103 Early Hints\r\nLink: aaaaaaaaaaaa\r\n\r\n' * 500,
    ],
    ids=['informational-heads', 'informational-heads-with-headers'],
)
def test_interim_responses_without_end_end_the_exchange(piece):
    async def check():
        flood = upstreams.send_without_end(b'', piece)
        async with forwarding([flood], repeatable=False) as entry:
            async with asyncio.timeout(1.5):
                assert await read(entry) == (502, True)
                await entry.upstreams[0].closed.wait()

    run(check)


# Guards against a harmful request that is not stopped since the upstreams
# crash only after the head of their response, or a part of a long body.
@pytest.mark.parametrize(
    'behaviour',
    [
        upstreams.close_connection,
        upstreams.close_inside_head(SEALED),
        upstreams.close_after_half,
        upstreams.close_after_bytes(3 * 1024 * 1024),
    ],
    ids=['no-head', 'inside-head', 'inside-body', 'inside-streamed-body'],
)
def test_request_is_refused_after_three_upstreams_crashed(behaviour):
    async def check():
        lists = [[behaviour] for _number in range(5)]
        async with forwarding(*lists, repeatable=False) as entry:
            for item in entry.upstreams:
                item.replace(item.crash_with(behaviour))
            for number in range(3):
                await read(entry)
                while entry.crashes <= number:
                    await asyncio.sleep(0.01)
            assert entry.runs == 3
            assert await read(entry) == (503, True)
            assert entry.runs == 3
            assert entry.outcomes[-1].reason == 'quarantined'

    run(check)


# Guards against a quarantine of requests whose connections were reset, or
# whose responses were lost, while the upstreams went on.
def test_upstreams_that_still_listen_have_not_crashed():
    async def check():
        lists = [[upstreams.close_connection] for _number in range(5)]
        async with forwarding(*lists, repeatable=False) as entry:
            for _number in range(8):
                assert await read(entry) == (502, True)
            await asyncio.sleep(0.1)
            assert entry.crashes == 0

    run(check)


# Guards against a caller that waits for its deadline after a body that cannot
# be read, since its head came in an earlier read.
@pytest.mark.parametrize('delay_s', [0.0, 0.05])
def test_malformed_chunks_end_the_exchange(delay_s):
    async def malformed(request_id, reader, writer):
        head = HEAD.replace(b'%ID%', request_id.encode())
        writer.write(head + b'Transfer-Encoding: chunked\r\n\r\n')
        await asyncio.sleep(delay_s)
        writer.write(b'zz\r\nhalf\r\n')

    async def check():
        async with forwarding(
            [malformed], repeatable=False, timeout_ms=5000.0
        ) as entry:
            async with asyncio.timeout(1.0):
                assert await read(entry) == (502, True)
            assert entry.outcomes[0].reason == 'answer_malformed'

    run(check)


# Guards against a complete response that is dropped with the bytes behind it.
@pytest.mark.parametrize('parts', [1, 2, 40], ids=str)
@pytest.mark.parametrize(
    'tail', [b'x' * 100, b'HTTP/1.1 \0', b'HTTP/1.1 200 OK\r\n\r\n']
)
@pytest.mark.parametrize('body', [b'', b'done\r\n\r\n'])
def test_response_is_delivered_despite_the_bytes_behind_it(body, tail, parts):
    async def behave(request_id, reader, writer):
        length = f'Content-Length: {len(body)}\r\n\r\n'.encode()
        head = HEAD.replace(b'%ID%', request_id.encode()) + length
        data = head + body + tail
        size = len(data) // parts + 1
        for start in range(0, len(data), size):
            writer.write(data[start : start + size])
            await asyncio.sleep(0.001)

    async def check():
        async with forwarding([behave, DONE], repeatable=False) as entry:
            async with entry.post() as response:
                assert (response.status, await response.read()) == (200, body)
            assert await read(entry) == (200, True)

    run(check)


async def read(entry):
    """Return the status of a response, and whether it is complete."""
    status = None
    try:
        async with entry.post() as response:
            status = response.status
            await response.read()
    except aiohttp.ClientError:
        return status, False
    return status, True
