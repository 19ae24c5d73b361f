"""Test the replicated log as a service, with fake peers and real files."""

import asyncio
import errno
import time

import pytest

from skylarkpitch.consensus import engine as engines
from skylarkpitch.consensus import folder as folders
from skylarkpitch.consensus import members
from skylarkpitch import errors
from skylarkpitch import sentinels
from tests.stand_ins import log_cluster
from tests.stand_ins import virtual_time


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
        await cluster.wait_until(
            lambda: all(
                machine.commands == expected
                for machine in cluster.machines.values()
            )
        )
        await cluster.stop()

    asyncio.run(run())


def test_isolated_leader_steps_down_and_confirms_no_read(tmp_path):
    async def run():
        cluster = log_cluster.LogCluster(folder=tmp_path, voters='abc')
        await cluster.start()
        await cluster.submit('one')
        old = await cluster.wait_for_leader()
        isolated_s = time.monotonic()
        cluster.isolate(old)
        confirmation = await cluster.logs[old].confirm(timeout_s=2)
        assert isinstance(confirmation, sentinels.Absent)
        await cluster.wait_until(lambda: cluster.leader(among=[old]) is None)
        others = [name for name in 'abc' if name != old]
        new = await cluster.wait_for_leader(among=others)
        assert await cluster.logs[new].confirm(timeout_s=1) > isolated_s
        await cluster.submit('two', among=others)
        term = cluster.logs[new].status().term
        cluster.network.heal()
        await cluster.wait_until(
            lambda: cluster.machines[old].commands == ['one', 'two']
        )
        assert cluster.logs[new].status().term == term
        await cluster.stop()

    asyncio.run(run())


@pytest.mark.parametrize(
    ('number', 'reason'),
    [(errno.ENOSPC, 'disk_full'), (errno.EROFS, 'disk_read_only')],
)
def test_member_whose_disk_fails_becomes_inactive(
    tmp_path, monkeypatch, number, reason
):
    async def run():
        cluster = log_cluster.LogCluster(folder=tmp_path, voters='abc')
        await cluster.start()
        await cluster.submit('one')
        old = await cluster.wait_for_leader()
        failing = cluster.logs[old]._engine._folder

        def append(name, data):
            raise folders.to_journal_error(OSError(number, 'x'), failing.path)

        monkeypatch.setattr(failing, 'append', append)
        with pytest.raises(errors.UncertainError):
            await cluster.logs[old].submit(b'two', timeout_s=1)
        assert cluster.logs[old].status().role == 'failed'
        assert cluster.logs[old].counters()['failed'] == 1
        with pytest.raises(errors.NotLeaderError, match='restart this host'):
            await cluster.logs[old].submit(b'two', timeout_s=1)
        confirmation = await cluster.logs[old].confirm(timeout_s=1)
        assert (confirmation.reason, confirmation.detail) == (
            'journal_failed',
            reason,
        )
        others = [name for name in 'abc' if name != old]
        await cluster.submit('two', among=others)
        await cluster.stop()

    asyncio.run(run())


async def cluster_with_a_lost_disk(folder, commands):
    """Return a cluster in virtual time, its leader, and the wiped host."""
    cluster = log_cluster.LogCluster(
        folder=folder,
        voters='abc',
        limits=engines.Limits(snapshot_entries=20, retained_entries=5),
        virtual_time=True,
    )
    await cluster.start()
    await cluster.submit(*commands)
    leader = await cluster.wait_for_leader()
    lost = next(name for name in 'abc' if name != leader)
    before = cluster.logs[lost].status().member
    await cluster.stop(lost)
    cluster.wipe(lost)
    await cluster.start(lost)
    assert cluster.logs[lost].status().role == 'unjoined'
    return cluster, leader, lost, before


# In real time this failed when a sync of the other voter took longer than
# the election timeout of 60 ms: the leader then had no quorum (see
# test_leader_without_a_responding_quorum_adds_no_member).
def test_host_with_a_lost_disk_is_added_again(tmp_path):
    async def run():
        commands = [f'c{number}' for number in range(60)]
        cluster, leader, lost, before = await cluster_with_a_lost_disk(
            tmp_path, commands
        )
        added = await cluster.logs[leader].add_member(lost)
        assert added != before
        await cluster.wait_until(
            lambda: added in cluster.logs[leader].status().voters
        )
        status = cluster.logs[leader].status()
        assert before not in status.voters
        assert status.learners == ()
        await cluster.wait_until(
            lambda: cluster.machines[lost].commands == commands
        )
        await cluster.stop()

    virtual_time.run(run())


@pytest.mark.parametrize('delay_s', [0.1, 0.2, 0.5])
def test_leader_without_a_responding_quorum_adds_no_member(tmp_path, delay_s):
    async def run():
        commands = [f'c{number}' for number in range(60)]
        cluster, leader, lost, _before = await cluster_with_a_lost_disk(
            tmp_path, commands
        )
        (other,) = set('abc') - {leader, lost}
        cluster.disk_delays_s[other] = delay_s
        with pytest.raises(errors.UncertainError, match='leader changed'):
            await cluster.logs[leader].add_member(lost)
        cluster.disk_delays_s.clear()
        added = await cluster.add_member(lost)
        leader = await cluster.wait_for_leader()
        await cluster.wait_until(
            lambda: added in cluster.logs[leader].status().voters
        )
        assert len(cluster.logs[leader].status().voters) == 3
        assert cluster.machines[leader].commands == commands
        await cluster.stop()

    virtual_time.run(run())


def test_leader_stays_leader_when_the_process_stalls(tmp_path):
    async def run():
        cluster = log_cluster.LogCluster(folder=tmp_path, voters='abc')
        await cluster.start()
        await cluster.submit('one')
        leader = await cluster.wait_for_leader()
        term = cluster.logs[leader].status().term
        for _number in range(3):
            await asyncio.sleep(0.4)
            time.sleep(0.3)
            assert await cluster.wait_for_leader() == leader
        assert cluster.logs[leader].status().term == term
        await cluster.stop()

    asyncio.run(run())


def test_errors_of_the_state_machine_reach_the_caller(tmp_path):
    async def run():
        cluster = log_cluster.LogCluster(folder=tmp_path, voters='a')
        await cluster.start()
        await cluster.wait_for_leader()

        def refuse(index, command):
            raise errors.ConflictError('race lost', current_version=7)

        cluster.machines['a'].apply = refuse
        with pytest.raises(errors.ConflictError, match='race lost'):
            await cluster.logs['a'].submit(b'one', timeout_s=1)
        await cluster.stop()

    asyncio.run(run())


@pytest.mark.parametrize(
    ('host', 'remedy'),
    [('d', 'start it with the control role'), ('b', 'a member already')],
)
def test_member_that_cannot_be_added_is_refused(tmp_path, host, remedy):
    async def run():
        cluster = log_cluster.LogCluster(folder=tmp_path, voters='abc')
        await cluster.start()
        await cluster.submit('one')
        leader = await cluster.wait_for_leader()
        refused_host = 'a' if leader == 'b' and host == 'b' else host
        with pytest.raises(members.MemberChangeError, match=remedy):
            await cluster.logs[leader].add_member(refused_host)
        await cluster.stop()

    asyncio.run(run())


def test_leader_that_resigns_is_replaced(tmp_path):
    async def run():
        cluster = log_cluster.LogCluster(folder=tmp_path, voters='abc')
        await cluster.start()
        await cluster.submit('one')
        old = await cluster.wait_for_leader()
        assert await cluster.logs[old].resign()
        assert await cluster.wait_for_leader() != old
        await cluster.stop()

    asyncio.run(run())
