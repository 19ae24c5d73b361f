"""How long a group takes from its first start until it acknowledges.

Operators send a configuration as soon as the machines start. Members are
added one at a time, so the time could grow with their number.
"""

import asyncio
import string

import pytest

from skylarkpitch.consensus import state as consensus_state
from tests.stand_ins import fleet_cluster
from tests.stand_ins import virtual_time
from tests import test_fleet_state as fleet_fixtures

TIMING = consensus_state.Timing(
    heartbeat_s=0.12, election_min_s=0.5, election_max_s=1.7
)
ONE_WAY_S = 0.02
SYNC_S = 0.002
# Hosts that start together all listen within this time.
START_S = 0.3
# What operators are promised for a change of the configuration.
ACKNOWLEDGED_S = 4.0


def seconds_until_acknowledged(folder, count):
    names = string.ascii_lowercase[:count]

    async def run():
        cluster = fleet_cluster.FleetCluster(
            folder=folder,
            names=names,
            timing=TIMING,
            message_delay_s=ONE_WAY_S,
            disk_delay_s=SYNC_S,
        )
        started_s = asyncio.get_running_loop().time()
        for name in reversed(names):
            await cluster.start(name)
            await asyncio.sleep(START_S / count)
        await cluster.submit_until_accepted(names[-1], fleet_fixtures.put(1))
        took_s = asyncio.get_running_loop().time() - started_s
        await cluster.stop()
        return took_s

    return virtual_time.run(run())


@pytest.mark.parametrize('count', [5, 6, 9, 18])
def test_a_new_group_acknowledges_in_time(tmp_path, count):
    assert seconds_until_acknowledged(tmp_path, count) < ACKNOWLEDGED_S


# Guards against a group that is never founded since the seed whose address
# sorts first loses its disk while all hosts start for the first time.
@pytest.mark.parametrize('lost', ['a', 'b', 'c'])
@pytest.mark.parametrize('after_s', [0.02, 0.1, 0.2, 0.35, 0.5, 0.8, 1.3, 2.0])
def test_group_is_founded_though_a_seed_loses_its_disk(
    tmp_path, lost, after_s
):
    names = 'abcdef'

    async def run():
        cluster = fleet_cluster.FleetCluster(
            folder=tmp_path,
            names=names,
            timing=TIMING,
            message_delay_s=ONE_WAY_S,
            disk_delay_s=SYNC_S,
        )
        for name in reversed(names):
            await cluster.start(name)
        await asyncio.sleep(after_s)
        await cluster.kill(lost)
        cluster.wipe(lost)
        await asyncio.sleep(0.3)
        await cluster.start(lost, is_first_start=False)
        await cluster.submit_until_accepted(lost, fleet_fixtures.put(1))
        clusters = {log.cluster for log in cluster.logs.values()}
        await cluster.stop()
        return clusters

    assert len(virtual_time.run(run()) - {''}) == 1
