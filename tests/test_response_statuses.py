"""Responses whose status is none: what callers get, and what is read."""

import asyncio
import itertools

import pytest

from tests.stand_ins import raw_upstream as upstreams
from tests import test_forwarding_exchange as forwarding_tests
from tests import test_requests_exchange as own_path

# As they stand in the first line of a response.
INVALID = [
    '000',
    '001',
    '099',
    '0',
    '00',
    '600',
    '700',
    '999',
    '1000',
    '0200',
    '20',
    '2x0',
    '-01',
    '+20',
    '',
    '101',
]
DONE = upstreams.respond()
# What an upstream may say of itself beside a status.
NOTICES = ('Upstream-Leaving: 1', 'Upstream-Max-Rate: 0.1', 'Retry-After: 9')


def respond_with_status(status):
    """Return a behaviour that is sound but for its status."""
    rows = (f'{upstreams.SEAL}: s', *NOTICES)
    return upstreams.respond(status=status, rows=rows)


# Guards against MIXED: an answer without a valid status reached the caller as
# an answer. The request may have run, so it is sent again only if repeatable.
@pytest.mark.parametrize('repeatable', [True, False])
@pytest.mark.parametrize('status', INVALID)
def test_response_without_a_valid_status_reaches_no_caller(status, repeatable):
    async def check():
        script = iter([respond_with_status(status)])

        async def first_then_done(request_id, reader, writer):
            await next(script, DONE)(request_id, reader, writer)

        lists = ([first_then_done], [first_then_done])
        async with forwarding_tests.forwarding(
            *lists, repeatable=repeatable
        ) as entry:
            async with entry.post() as response:
                body = await response.read()
            expected = (200, 2) if repeatable else (502, 1)
            assert (response.status, entry.runs) == expected
            assert repeatable == (body == b'done')

    asyncio.run(check())


# Guards against notices that are read from such a head: an upstream in
# trouble would count as leaving, or get no requests at its full rate.
@pytest.mark.parametrize('status', ['000', '099', '600', '999'])
def test_head_without_a_valid_status_says_nothing(status):
    async def check():
        behaviours = [respond_with_status(status), DONE]
        async with forwarding_tests.forwarding(
            behaviours, repeatable=False
        ) as entry:
            async with entry.post() as response:
                assert response.status == 502
            # The upstream is left alone for a moment after its failure.
            await asyncio.sleep(1.0)
            async with entry.post('r2') as response:
                assert response.status == 200

    asyncio.run(check())


# Guards against a failure that does not count: the upstream would get every
# second request for as long as it is in trouble.
@pytest.mark.parametrize('status', ['000', '700'])
def test_response_without_a_valid_status_counts_as_a_failure(status):
    async def check():
        bad = [respond_with_status(status)]
        async with forwarding_tests.forwarding(
            bad, [DONE], repeatable=True
        ) as entry:
            for number in range(20):
                async with entry.post(f'r{number}') as response:
                    assert response.status == 200
            assert len(entry.upstreams[0].seen) < 5

    asyncio.run(check())


# Guards against the same in the path of our own interface.
@pytest.mark.parametrize('status', INVALID)
def test_own_interface_answers_502_to_an_invalid_status(status):
    head = f'HTTP/1.1 {status} X\r\nContent-Length: 2\r\n\r\n'.encode()
    script = own_path.respond_with(head + b'ok', then_close=True)

    async def go():
        async with own_path.raw_bench(script) as bench:
            response, _body = await own_path.get(bench)
            return response, bench

    response, bench = own_path.run(go())
    assert response.status == 502
    assert response.headers['Skylark-Outcome'] == 'unknown'
    slots = bench.slot_allocator.slots
    results = itertools.chain.from_iterable(slot.results for slot in slots)
    assert set(results) == {'failed'}


@pytest.mark.parametrize('status', [200, 201, 302, 404, 503, 599])
def test_valid_status_reaches_the_caller(status):
    async def check():
        behaviour = upstreams.respond(status=status)
        async with forwarding_tests.forwarding(
            [behaviour], repeatable=False
        ) as entry:
            async with entry.post() as response:
                return response.status

    # A 503 that may have run is replaced, see docs/decisions/answers.md.
    expected = 502 if status == 503 else status
    assert asyncio.run(check()) == expected
