"""Memory that request bodies take on an entry host."""

import asyncio

import pytest

from skylarkpitch.forwarding import body_budget
from skylarkpitch.listening import limits
from tests.stand_ins import raw_upstream as upstreams
from tests import test_forwarding_exchange as exchanges

KIB = 1024
# Memory of a host that may hold 1000 KiB of bodies.
MEMORY_BYTES = limits.BASE_MEMORY_BYTES + 1000 * KIB


def new_pool():
    return limits.MemoryPool(memory_bytes=MEMORY_BYTES)


@pytest.mark.parametrize(
    ('sizes_kib', 'expected'),
    [
        ([600], [True]),
        ([600, 600], [True, False]),
        ([400, 400], [True, True]),
        ([400, 400, 1], [True, True, True]),
        # Small bodies have a part of their own, but no more than that.
        ([790, 60, 60, 60, 60], [True, True, True, True, False]),
        # One that is allowed but exceeds the budget is taken alone.
        ([5000], [True]),
        ([1, 5000], [True, False]),
        ([5000, 1], [True, False]),
    ],
)
def test_bodies_fit_within_the_budget(sizes_kib, expected):
    budget = body_budget.BodyBudget(pool=new_pool())
    taken = [
        budget.take(size * KIB, body_bytes=size * KIB) for size in sizes_kib
    ]
    assert taken == expected
    assert budget.refused == expected.count(False)


def test_budget_is_free_again_after_a_release():
    budget = body_budget.BodyBudget(pool=new_pool())
    for _number in range(3):
        assert budget.take(700 * KIB, body_bytes=700 * KIB)
        assert not budget.take(700 * KIB, body_bytes=700 * KIB)
        budget.release(700 * KIB)
    assert budget.held_bytes == 0


def test_growing_bodies_do_not_exceed_the_budget_together():
    budget = body_budget.BodyBudget(pool=new_pool())
    sizes = {'a': 0, 'b': 0}
    for _round in range(100):
        for name, size in sizes.items():
            if budget.take(10 * KIB, body_bytes=size + 10 * KIB):
                sizes[name] += 10 * KIB
    assert budget.held_bytes == sum(sizes.values()) <= 800 * KIB


@pytest.mark.parametrize('chunk_bytes', [1, 1000, 300_000])
def test_blocks_are_few_whatever_the_chunks(chunk_bytes):
    body = bytes(range(256)) * 4000
    blocks = []
    for start in range(0, len(body), chunk_bytes):
        body_budget.append_chunk(blocks, body[start : start + chunk_bytes])
    assert b''.join(blocks) == body
    assert len(blocks) <= 1 + len(body) / body_budget.BLOCK_BYTES


async def post(entry, number, size_kib, *, is_chunked=False):
    """Send a body; return the status and the reason of a refusal."""
    body = bytes([number]) * (size_kib * KIB)

    async def chunks():
        for start in range(0, len(body), 50_000):
            yield body[start : start + 50_000]

    sent = chunks() if is_chunked else body
    async with entry.post(f'r{number}', body=sent) as response:
        if response.status == 200:
            return 200, ''
        return response.status, (await response.json())['reason']


# Guards against large bodies, each of them allowed, that exceed the memory
# of the host together, so that it is killed with the requests of others.
@pytest.mark.parametrize('is_chunked', [False, True])
def test_large_bodies_at_once_are_refused_and_small_ones_run(is_chunked):
    async def check():
        release = asyncio.Event()

        async def respond_late(request_id, reader, writer):
            await release.wait()
            await upstreams.respond()(request_id, reader, writer)

        async with exchanges.forwarding(
            [respond_late],
            repeatable=False,
            pool=new_pool(),
            timeout_ms=5000.0,
        ) as entry:
            first = asyncio.ensure_future(
                post(entry, 1, 600, is_chunked=is_chunked)
            )
            while not entry.runs:
                await asyncio.sleep(0.01)
            second = await post(entry, 2, 600, is_chunked=is_chunked)
            assert second == (503, 'no_memory')
            small = asyncio.ensure_future(post(entry, 3, 10))
            while entry.runs < 2:
                await asyncio.sleep(0.01)
            release.set()
            assert await first == (200, '')
            assert await small == (200, '')
            assert await post(entry, 4, 600) == (200, '')
            assert entry.counter('body_bytes_held') == 0
            assert entry.counter('bodies_refused') == 1
            bodies = [len(item[3]) for item in entry.upstreams[0].seen]
            assert bodies == [600 * KIB, 10 * KIB, 600 * KIB]

    exchanges.run(check)
