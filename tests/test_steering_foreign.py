"""Test the limit on the growth of calls from remote regions."""

import asyncio

import pytest

from skylarkpitch import ports
from tests.stand_ins import fake_peers
from tests.stand_ins import steering_hosts

SLOTS = 40


def fleet(shift_percent_per_s):
    return steering_hosts.Hosts(
        hosts=[
            fake_peers.host('h1', 'r1', 'd1'),
            fake_peers.host('h3', 'r2', 'd3'),
        ],
        site=steering_hosts.config(
            policy={'shift_percent_per_s': shift_percent_per_s},
            regions={'r1': {'failure_domains': {'d2': None}}},
        ),
    )


async def reserve(hosts, region, *, wait_s=0.0):
    return await hosts.allocators['h1'].reserve(
        service='desk',
        caller=ports.Caller(organisation='o', region=region),
        request_class='reads',
        body_bytes=10,
        deadline_s=hosts.clock.now_s + 0.02 + wait_s,
        exclude=frozenset(),
    )


async def reserve_all(hosts, region, count):
    results = [await reserve(hosts, region) for _ in range(count)]
    return [slot for slot in results if slot]


@pytest.mark.parametrize(
    'region, percent, admitted',
    [
        (None, 5.0, 20),
        ('r1', 5.0, 20),
        ('r2', 5.0, 1),
        ('r2', 20.0, 7),
        ('r2', 100.0, 20),
    ],
)
def test_growth_of_cross_region_calls_is_bounded(region, percent, admitted):
    async def run():
        hosts = fleet(percent)
        await hosts.own('h1', name='u1', slots=SLOTS)
        return len(await reserve_all(hosts, region, 20))

    reserved = asyncio.run(run())
    assert reserved == pytest.approx(admitted, abs=1)


def test_cross_region_calls_may_grow_again_after_a_second():
    async def run():
        hosts = fleet(20.0)
        await hosts.own('h1', name='u1', slots=SLOTS)
        levels = []
        for _ in range(3):
            levels.append(len(await reserve_all(hosts, 'r2', 12)))
            hosts.clock.now_s += 1.1
            await hosts.own('h1', name='u1', slots=SLOTS)
        return levels

    levels = asyncio.run(run())
    assert max(levels) - min(levels) <= 1
    assert min(levels) > 0


def test_queued_cross_region_call_blocks_no_other_and_runs_later():
    async def run():
        hosts = fleet(5.0)
        await hosts.own('h1', name='u1', slots=SLOTS)
        first = await reserve_all(hosts, 'r2', 2)
        waiting = asyncio.ensure_future(reserve(hosts, 'r2', wait_s=5))
        await asyncio.sleep(0)
        local = await reserve(hosts, 'r1')
        assert local.upstream == 'u1'
        assert not waiting.done()
        for slot in first:
            slot.finish(ports.ExchangeOutcome.ANSWERED, latency_s=0.01)
        hosts.allocators['h1'].tick()
        return (await waiting).upstream

    assert asyncio.run(run()) == 'u1'
