"""Run members of the replicated log over fake peers and real files."""

import asyncio
import time

import pytest

from skylarkpitch import sentinels
from tests.stand_ins import log_cluster


@pytest.mark.parametrize('voters', [('a',), ('a', 'b', 'c')])
def test_commands_are_applied_everywhere_and_survive_a_restart(
    tmp_path, voters
):
    async def run():
        cluster = log_cluster.LogCluster(folder=tmp_path, voters=voters)
        await cluster.start()
        await cluster.submit('one', 'two')
        await cluster.stop()
        await cluster.start()
        await cluster.submit('three')
        expected = ['one', 'two', 'three']
        await cluster.until(
            lambda: all(
                machine.commands == expected
                for machine in cluster.machines.values()
            )
        )
        await cluster.stop()

    asyncio.run(run())


def test_isolated_leader_steps_down_and_answers_nothing(tmp_path):
    async def run():
        cluster = log_cluster.LogCluster(folder=tmp_path, voters='abc')
        await cluster.start()
        await cluster.submit('one')
        old = await cluster.elected()
        asked_s = time.monotonic()
        cluster.isolate(old)
        answer = await cluster.logs[old].confirm(timeout_s=2)
        assert isinstance(answer, sentinels.Absent)
        await cluster.until(lambda: cluster.leader(among=[old]) is None)
        rest = [name for name in 'abc' if name != old]
        new = await cluster.elected(among=rest)
        assert await cluster.logs[new].confirm(timeout_s=1) > asked_s
        await cluster.submit('two', among=rest)
        term = cluster.logs[new].status().term
        cluster.network.heal()
        await cluster.until(
            lambda: cluster.machines[old].commands == ['one', 'two']
        )
        assert cluster.logs[new].status().term == term
        await cluster.stop()

    asyncio.run(run())
