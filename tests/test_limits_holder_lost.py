"""Check that hosts still serve calls within the limit without their holder.

The host that has the entitlement of the failure domain is unreachable, and
its neighbour must borrow from the holders in the other domains.
"""

import asyncio

from skylarkpitch.limits import holders as holder_tables
from skylarkpitch.peers import directory
from tests import test_limits


def holder_and_neighbour(fleet):
    host_directory = directory.Directory(
        local_host='d1-1', hosts=fleet.network.hosts
    )
    holder = holder_tables.EntitlementHolders(
        directory=host_directory
    ).local_holder('org')
    neighbour = next(n for n in ('d1-1', 'd1-2') if n != holder)
    return holder, neighbour


def test_host_borrows_elsewhere_while_its_holder_is_unreachable():
    async def run():
        async with test_limits.Fleet() as fleet:
            holder, neighbour = holder_and_neighbour(fleet)
            await asyncio.sleep(4)
            before = await fleet.load([neighbour], rate_per_s=30, seconds=2)
            for other in test_limits.ALL:
                if other != holder:
                    fleet.network.cut(holder, other)
            await asyncio.sleep(2)
            during = await fleet.load([neighbour], rate_per_s=30, seconds=5)
            overloaded = await fleet.load(
                [neighbour], rate_per_s=300, seconds=5
            )
            fleet.network.heal()
            await asyncio.sleep(2)
            after = await fleet.load([neighbour], rate_per_s=30, seconds=2)
            return before, during, overloaded, after

    before, during, overloaded, after = test_limits.virtual_time.run(run())
    assert (before, during, after) == (60, 150, 60)
    window_s = 5 + test_limits.limits.MAX_WAIT_S
    bound = test_limits.BURST + test_limits.RATE_PER_S * window_s
    assert overloaded <= bound * 2 / 3
