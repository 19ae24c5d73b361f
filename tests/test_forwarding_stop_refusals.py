"""Requests that an entry host cannot end before it stops."""

import asyncio

import pytest

from tests.stand_ins import raw_upstream as upstreams
from tests import test_forwarding_exchange as exchanges

LONG_S = 30.0


async def slow_body(*, for_s):
    """Yield a body whose second half comes after a time."""
    yield b'pan'
    await asyncio.sleep(for_s)
    yield b'pan'


async def post(entry, *, body_s, number=1):
    """Send a slow body; return the status and the reason of a refusal."""
    request = entry.post(f'r{number}', body=slow_body(for_s=body_s))
    async with request as response:
        if response.status == 200:
            return 200, ''
        return response.status, (await response.json())['reason']


# Guards against silence: a body that could not arrive before the host stopped
# was waited for until its connection was aborted.
@pytest.mark.parametrize(
    ('stop_at_s', 'left_s', 'body_s', 'timeout_ms', 'expected'),
    [
        (0.2, 0.2, LONG_S, 60_000.0, (503, 'stopping')),
        (0.0, 0.2, LONG_S, 60_000.0, (503, 'stopping')),
        (0.2, LONG_S, 0.5, 60_000.0, (200, '')),
        (0.2, LONG_S, LONG_S, 600.0, (408, 'body_late')),
    ],
    ids=['before', 'after', 'in-time', 'time-out-of-the-route'],
)
def test_body_that_is_late_for_a_stop_is_refused(
    stop_at_s, left_s, body_s, timeout_ms, expected
):
    async def check():
        async with exchanges.forwarding(
            [upstreams.respond()], repeatable=False, timeout_ms=timeout_ms
        ) as entry:
            pending = None
            if stop_at_s:
                pending = asyncio.ensure_future(post(entry, body_s=body_s))
                await asyncio.sleep(stop_at_s)
            entry.stop_in(left_s)
            pending = pending or post(entry, body_s=body_s)
            answer = await asyncio.wait_for(pending, LONG_S / 2)
            assert answer == expected
            assert entry.runs == (expected[0] == 200)
            assert entry.counter('body_bytes_held') == 0

    exchanges.run(check)


# Guards against requests that are passed on and then aborted: their callers
# cannot know whether they have run.
@pytest.mark.parametrize(
    ('left_s', 'expected'),
    [(0.1, (503, 'stopping')), (LONG_S, (200, ''))],
    ids=['too-late', 'in-time'],
)
def test_request_that_cannot_end_before_a_stop_is_refused(left_s, expected):
    async def respond_slowly(request_id, reader, writer):
        await asyncio.sleep(0.3)
        await upstreams.respond()(request_id, reader, writer)

    async def check():
        async with exchanges.forwarding(
            [respond_slowly], repeatable=False, timeout_ms=5000.0
        ) as entry:
            for number in range(3):
                await post(entry, body_s=0.0, number=number)
            entry.stop_in(left_s)
            assert await post(entry, body_s=0.0, number=9) == expected
            assert entry.runs == 3 + (expected[0] == 200)

    exchanges.run(check)
