"""Control group: bootstrap, growth, lost disks and partitions."""

import asyncio

from skylarkpitch.fleet import control_requests
from skylarkpitch.fleet import model
from tests.stand_ins import fleet_cluster
from tests.stand_ins import virtual_time
from tests import test_fleet_state as fleet_fixtures


def run(check, tmp_path, **options):
    async def scenario():
        cluster = fleet_cluster.FleetCluster(folder=tmp_path, **options)
        try:
            await check(cluster)
        finally:
            await cluster.stop()

    asyncio.run(scenario())


def run_virtual(check, tmp_path):
    async def scenario():
        cluster = fleet_cluster.FleetCluster(
            folder=tmp_path, disk_delay_s=0.002
        )
        try:
            await check(cluster)
        finally:
            await cluster.stop()

    virtual_time.run(scenario())


def test_group_bootstraps_with_a_late_seed_and_grows(tmp_path):
    async def check(cluster):
        await cluster.start('abdef')
        refused = await cluster.control_services['a'].execute(
            fleet_fixtures.put(1)
        )
        assert refused.outcome == 'unavailable'
        await asyncio.sleep(0.3)
        assert not cluster.logs['a'].cluster
        await cluster.start('c')
        await cluster.wait_for_voters(6)
        assert len({log.cluster for log in cluster.logs.values()}) == 1
        await cluster.submit_until_accepted('f', fleet_fixtures.put(7, b'doc'))
        read = await cluster.submit_until_accepted(
            'd', control_requests.ReadConfiguration()
        )
        assert read.content == b'doc'

    run(check, tmp_path)


def test_group_that_is_too_small_acknowledges_nothing(tmp_path):
    async def check(cluster):
        await cluster.start('abc')
        await cluster.wait_for_voters(3)
        for request in (
            fleet_fixtures.put(7),
            fleet_fixtures.commands.SetDomainDrain(
                failure_domain='east-a', draining=True
            ),
        ):
            outcome = await cluster.control_services['b'].execute(request)
            assert outcome.outcome == 'unavailable'
        await cluster.start('de')
        await cluster.wait_for_voters(5)
        await cluster.submit_until_accepted('e', fleet_fixtures.put(7))

    run(check, tmp_path)


def test_wiped_hosts_rejoin_as_new_members(tmp_path):
    async def check(cluster):
        await cluster.start('abcdef')
        await cluster.wait_for_voters(6)
        await cluster.submit_until_accepted(
            'a', fleet_fixtures.put(7, b'kept')
        )
        before = set(cluster.logs['a'].status().voters)
        await cluster.stop('ab')
        for name in 'ab':
            cluster.wipe(name)
        await cluster.start('ab', is_first_start=False)
        await cluster.wait_until(
            lambda: (
                len(set(cluster.logs['f'].status().voters) - before) == 2
                and len(cluster.logs['f'].status().voters) == 6
            )
        )
        read = await cluster.submit_until_accepted(
            'a', control_requests.ReadConfiguration()
        )
        assert read.content == b'kept'

    run(check, tmp_path)


def test_host_whose_seeds_are_all_new_finds_the_group(tmp_path):
    async def check(cluster):
        await cluster.start('abcde', seeds='abc')
        await cluster.wait_for_voters(5)
        await cluster.stop('abcde')
        await cluster.start('abcde', is_first_start=False, seeds='fgh')
        await cluster.start('fgh', is_first_start=False, seeds='fgh')
        await cluster.wait_for_voters(8)

    run(check, tmp_path, names='abcdefgh')


def test_half_of_the_group_neither_acknowledges_nor_reads(tmp_path):
    async def check(cluster):
        await cluster.start('abcdef')
        await cluster.wait_for_voters(6)
        await cluster.submit_until_accepted('a', fleet_fixtures.put(7))
        for one in 'abc':
            for other in 'def':
                cluster.network.cut(one, other)
        await cluster.wait_until(
            lambda: not any(log.is_leader for log in cluster.logs.values())
        )
        for name in 'ad':
            for request in (
                fleet_fixtures.put(8),
                control_requests.ReadConfiguration(),
            ):
                outcome = await cluster.control_services[name].execute(request)
                assert outcome.outcome == 'unavailable'
        cluster.network.heal()
        await cluster.submit_until_accepted('d', fleet_fixtures.put(8))

    run(check, tmp_path)


# Guards against a host that is lost to the group for good: its removal was
# committed while it was cut off, so its own log still has it as a voter.
def test_voter_that_was_removed_while_cut_off_joins_again(tmp_path):
    async def check(cluster):
        await cluster.start('abcdef')
        await cluster.wait_for_voters(6)
        for other in 'bcdef':
            cluster.network.cut('a', other)
        await cluster.wait_until(
            lambda: len(cluster.logs['f'].status().voters) == 5
        )
        cluster.network.heal()
        await cluster.wait_for_voters(6)

    run_virtual(check, tmp_path)


def heartbeat(**fields):
    return control_requests.Heartbeat(
        upstream=fleet_fixtures.upstream(**fields)
    )


def test_upstreams_are_recorded_by_any_host_and_leave(tmp_path):
    async def check(cluster):
        await cluster.start('abcdef')
        await cluster.wait_for_voters(6)
        await cluster.submit_until_accepted('b', heartbeat())
        draining = heartbeat(sequence=2, state=model.UpstreamState.DRAINING)
        await cluster.submit_until_accepted('c', draining)
        await cluster.submit_until_accepted('d', heartbeat(sequence=1))
        leader = next(n for n, log in cluster.logs.items() if log.is_leader)
        (recorded,) = cluster.states[leader].upstreams.values()
        assert recorded.state is model.UpstreamState.DRAINING
        await cluster.submit_until_accepted(
            'e', control_requests.Leave(upstream_id='u1')
        )
        await cluster.submit_until_accepted(
            'e', control_requests.Leave(upstream_id='u1')
        )
        await cluster.submit_until_accepted('a', heartbeat(sequence=9))
        assert cluster.states[leader].upstreams == {}

    run(check, tmp_path)


# Guards against requests for an upstream that has left: it left while it was
# not recorded, as after a time without a leader, and an earlier heartbeat of
# it arrived later.
def test_late_heartbeat_after_an_unrecorded_upstream_left(tmp_path):
    async def check(cluster):
        await cluster.start('abcdef')
        await cluster.wait_for_voters(6)
        await cluster.submit_until_accepted(
            'e', control_requests.Leave(upstream_id='u1')
        )
        await cluster.submit_until_accepted('a', heartbeat(sequence=5))
        leader = next(n for n, log in cluster.logs.items() if log.is_leader)
        assert cluster.states[leader].upstreams == {}

    run(check, tmp_path)


def test_invalid_configuration_is_refused_and_changes_nothing(tmp_path):
    async def check(cluster):
        await cluster.start('abcdef')
        await cluster.wait_for_voters(6)
        await cluster.submit_until_accepted(
            'a', fleet_fixtures.put(7, b'good')
        )
        outcome = await cluster.control_services['b'].execute(
            fleet_fixtures.put(8, b'bad', services=())
        )
        assert (outcome.outcome, outcome.reason) == ('refused', 'invalid')
        await cluster.submit_until_accepted(
            'c', fleet_fixtures.put(7, b'other')
        )
        read = await cluster.submit_until_accepted(
            'd', control_requests.ReadConfiguration()
        )
        assert read.content == b'good'

    run(check, tmp_path)


def test_members_are_connected_before_an_election(tmp_path):
    """Also right after all of them restarted, before an election is due.

    Otherwise its first vote requests would find no connection.
    """

    async def check(cluster):
        await cluster.start('abcdef')
        await cluster.wait_for_voters(6)
        await cluster.stop()
        await cluster.start('abcdef', is_first_start=False)
        for name in 'abcdef':
            transport = cluster.network.peer(name, name)
            assert transport.connected == set('abcdef') - {name}

    run(check, tmp_path)
