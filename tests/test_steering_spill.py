"""Test that a host without upstreams uses those of other hosts."""

import asyncio

from tests import test_steering_room


def test_call_waits_for_a_ticket_when_the_last_local_upstream_is_drained():
    async def run():
        hosts = test_steering_room.fleet()
        await hosts.own('h1', name='u1', slots=2)
        await hosts.own('h2', name='u2', slots=2)
        slot = await test_steering_room.reserve(hosts)
        hosts.clock.now_s += 0.02
        test_steering_room.finish(slot)
        hosts.drains = frozenset({'u1'})
        hosts.tick()
        await test_steering_room.survey(hosts)
        return await test_steering_room.reserve(hosts, wait_s=1.0)

    assert asyncio.run(run()).upstream == 'relay:h2'
