"""A control group that founds itself, grows, and replaces what is lost."""

import asyncio

from skylarkpitch.fleet import model
from skylarkpitch.fleet import orders
from tests.stand_ins import fleet_cluster
from tests import test_fleet_state as described


def run(check, tmp_path, **options):
    async def whole():
        cluster = fleet_cluster.FleetCluster(folder=tmp_path, **options)
        try:
            await check(cluster)
        finally:
            await cluster.stop()

    asyncio.run(whole())


def test_group_is_founded_with_a_late_seed_and_grows(tmp_path):
    async def check(cluster):
        await cluster.start('abdef')
        refused = await cluster.keepers['a'].order(described.put(1))
        assert refused.outcome == 'unavailable'
        await asyncio.sleep(0.3)
        assert not cluster.logs['a'].cluster
        await cluster.start('c')
        await cluster.grown(6)
        assert len({log.cluster for log in cluster.logs.values()}) == 1
        await cluster.accepted('f', described.put(7, b'doc'))
        read = await cluster.accepted('d', orders.ReadConfiguration())
        assert read.content == b'doc'

    run(check, tmp_path)


def test_nothing_is_acknowledged_by_a_group_that_is_too_small(tmp_path):
    async def check(cluster):
        await cluster.start('abc')
        await cluster.grown(3)
        for order in (
            described.put(7),
            described.commands.SetDomainDrain(
                failure_domain='east-a', draining=True
            ),
        ):
            outcome = await cluster.keepers['b'].order(order)
            assert outcome.outcome == 'unavailable'
        await cluster.start('de')
        await cluster.grown(5)
        await cluster.accepted('e', described.put(7))

    run(check, tmp_path)


def test_wiped_hosts_come_back_as_new_members(tmp_path):
    async def check(cluster):
        await cluster.start('abcdef')
        await cluster.grown(6)
        await cluster.accepted('a', described.put(7, b'kept'))
        before = set(cluster.logs['a'].status().voters)
        await cluster.stop('ab')
        for name in 'ab':
            cluster.wipe(name)
        await cluster.start('ab', is_first_start=False)
        await cluster.until(
            lambda: (
                len(set(cluster.logs['f'].status().voters) - before) == 2
                and len(cluster.logs['f'].status().voters) == 6
            )
        )
        read = await cluster.accepted('a', orders.ReadConfiguration())
        assert read.content == b'kept'

    run(check, tmp_path)


def test_host_whose_seeds_are_all_new_finds_the_group(tmp_path):
    async def check(cluster):
        await cluster.start('abcde', seeds='abc')
        await cluster.grown(5)
        await cluster.stop('abcde')
        await cluster.start('abcde', is_first_start=False, seeds='fgh')
        await cluster.start('fgh', is_first_start=False, seeds='fgh')
        await cluster.grown(8)

    run(check, tmp_path, names='abcdefgh')


def test_half_of_the_group_acknowledges_and_reads_nothing(tmp_path):
    async def check(cluster):
        await cluster.start('abcdef')
        await cluster.grown(6)
        await cluster.accepted('a', described.put(7))
        for one in 'abc':
            for other in 'def':
                cluster.network.cut(one, other)
        await cluster.until(
            lambda: not any(log.is_leader for log in cluster.logs.values())
        )
        for name in 'ad':
            for order in (described.put(8), orders.ReadConfiguration()):
                outcome = await cluster.keepers[name].order(order)
                assert outcome.outcome == 'unavailable'
        cluster.network.heal()
        await cluster.accepted('d', described.put(8))

    run(check, tmp_path)


def heartbeat(**fields):
    return orders.Heartbeat(upstream=described.upstream(**fields))


def test_upstreams_are_recorded_by_any_host_and_leave(tmp_path):
    async def check(cluster):
        await cluster.start('abcdef')
        await cluster.grown(6)
        await cluster.accepted('b', heartbeat())
        draining = heartbeat(sequence=2, state=model.UpstreamState.DRAINING)
        await cluster.accepted('c', draining)
        await cluster.accepted('d', heartbeat(sequence=1))
        leader = next(n for n, log in cluster.logs.items() if log.is_leader)
        (held,) = cluster.states[leader].upstreams.values()
        assert held.state is model.UpstreamState.DRAINING
        await cluster.accepted('e', orders.Leave(upstream_id='u1'))
        await cluster.accepted('e', orders.Leave(upstream_id='u1'))
        await cluster.accepted('a', heartbeat(sequence=9))
        assert cluster.states[leader].upstreams == {}

    run(check, tmp_path)


def test_invalid_configuration_is_refused_and_changes_nothing(tmp_path):
    async def check(cluster):
        await cluster.start('abcdef')
        await cluster.grown(6)
        await cluster.accepted('a', described.put(7, b'good'))
        outcome = await cluster.keepers['b'].order(
            described.put(8, b'bad', services=())
        )
        assert (outcome.outcome, outcome.reason) == ('refused', 'invalid')
        await cluster.accepted('c', described.put(7, b'other'))
        read = await cluster.accepted('d', orders.ReadConfiguration())
        assert read.content == b'good'

    run(check, tmp_path)


def test_members_are_connected_before_an_election_needs_it(tmp_path):
    """Also right after all of them were killed, before any is due."""

    async def check(cluster):
        await cluster.start('abcdef')
        await cluster.grown(6)
        await cluster.stop()
        await cluster.start('abcdef', is_first_start=False)
        for name in 'abcdef':
            transport = cluster.network.peer(name, name)
            assert transport.connected == set('abcdef') - {name}

    run(check, tmp_path)
