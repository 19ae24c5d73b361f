"""Tests of dissemination and of the key lease during partitions."""

import asyncio
import functools
import json

import pytest

from skylarkpitch.config import commands
from skylarkpitch.config import parts
from skylarkpitch.peers import rendezvous
from tests.stand_ins import control_fleet
from tests.stand_ins import fake_peers
from tests.stand_ins import virtual_time

LEASE_S = 5.0
SETTLE_S = 4.0
STEP_S = 0.1


started_fleets = []


def in_virtual_time(test):
    """Run a test in virtual time and stop the fleets that it started."""

    async def run_and_stop(*args, **kwargs):
        try:
            await test(*args, **kwargs)
        finally:
            while started_fleets:
                await started_fleets.pop().stop()

    @functools.wraps(test)
    def wrapped(*args, **kwargs):
        virtual_time.run(run_and_stop(*args, **kwargs))

    return wrapped


async def start_fleet(*, base=control_fleet.BASE, **options):
    """Return a started fleet with a configuration in force."""
    hosts = options.pop('hosts', control_fleet.mueso_hosts())
    fleet = control_fleet.Fleet(hosts=hosts, **options)
    started_fleets.append(fleet)
    await fleet.start()
    await fleet.push(base=base)
    await asyncio.sleep(SETTLE_S)
    return fleet


def with_policy(**policy):
    return json.dumps(json.loads(control_fleet.BASE) | {'policy': policy})


PARTITIONS = {
    'host': lambda f: [['incheon-b-1']],
    'failure domain': lambda f: [f.names(failure_domain='incheon-b')],
    'region': lambda f: [f.names(region='yeongnam')],
    'leader': lambda f: [[f.log.leader]],
    'region of the leader': lambda f: [f.names(region='sudogwon')],
    'two regions and the leader': lambda f: [
        f.names(region='sudogwon'),
        ['daegu-b-3'],
    ],
}


@pytest.mark.parametrize('partition', PARTITIONS)
@in_virtual_time
async def test_withdrawn_key_is_refused_in_every_partition(partition):
    rates = {'incheon-b-1': 0.99, 'seoul-a-0': 0.991, 'daegu-b-3': 1.01}
    fleet = await start_fleet(rates=rates)
    withdrawn, valid = await fleet.issue(), await fleet.issue()
    await asyncio.sleep(2)
    assert set(fleet.authenticate(withdrawn).values()) == {'daegu-pans'}
    groups = PARTITIONS[partition](fleet)
    cut_off = {name for group in groups for name in group}
    fleet.split(*groups)
    if fleet.log.leader in cut_off:
        fleet.elect(next(n for n in fleet.control if n not in cut_off))
    result = await fleet.withdraw(withdrawn)
    await asyncio.sleep(LEASE_S)
    for _ in range(100):
        await asyncio.sleep(STEP_S)
        for name, outcome in fleet.authenticate(withdrawn).items():
            expected = (
                'key_lease_expired' if name in cut_off else 'key_unknown'
            )
            assert outcome == expected, name
        assert all(f.site_config() for f in fleet.followers.values())
    for name, outcome in fleet.authenticate(valid).items():
        assert outcome == (
            'key_lease_expired' if name in cut_off else 'daegu-pans'
        ), name
    source = fleet.sources[fleet.log.leader]
    status = source.withdrawal_status(result.version)
    behind = {name for item in status for name in item.hosts}
    assert behind == cut_off
    assert {item.lease_left_s for item in status} == {0.0}
    fleet.heal()
    await asyncio.sleep(SETTLE_S)
    assert set(fleet.authenticate(withdrawn).values()) == {'key_unknown'}
    assert set(fleet.authenticate(valid).values()) == {'daegu-pans'}
    assert source.withdrawal_status(result.version) == []


@pytest.mark.parametrize('election_s', [0.5, 1.5, 3.0])
@in_virtual_time
async def test_loss_of_the_leader_refuses_no_key(election_s):
    fleet = await start_fleet(delay_s=0.055)
    key = await fleet.issue()
    await asyncio.sleep(2)
    leader, other = fleet.control[:2]
    await fleet.stop_host(leader)
    loop = asyncio.get_running_loop()
    loop.call_later(election_s, fleet.elect, other)
    for _ in range(100):
        await asyncio.sleep(STEP_S)
        assert set(fleet.authenticate(key).values()) == {'daegu-pans'}


@in_virtual_time
async def test_isolated_regions_refuse_keys_and_serve_open_routes():
    fleet = await start_fleet()
    key = await fleet.issue()
    await asyncio.sleep(2)
    regions = ('sudogwon', 'yeongnam', 'honam')
    fleet.split(*(fleet.names(region=region) for region in regions))
    await asyncio.sleep(LEASE_S + 1)
    assert set(fleet.authenticate(key).values()) == {'key_lease_expired'}
    assert all(f.site_config() for f in fleet.followers.values())
    fleet.heal()
    await asyncio.sleep(SETTLE_S)
    assert set(fleet.authenticate(key).values()) == {'daegu-pans'}


@in_virtual_time
async def test_organisation_may_have_its_own_lease():
    document = json.loads(control_fleet.BASE)
    document['organisations']['daegu-pans']['key_lease_s'] = 60
    fleet = await start_fleet(base=json.dumps(document))
    long_lease = await fleet.issue()
    short_lease = await fleet.issue('honam-donors')
    await asyncio.sleep(2)
    fleet.split(['incheon-b-1'])
    result = await fleet.withdraw(long_lease)
    await asyncio.sleep(30)
    assert fleet.authenticate(long_lease)['incheon-b-1'] == 'daegu-pans'
    assert (
        fleet.authenticate(short_lease)['incheon-b-1'] == 'key_lease_expired'
    )
    source = fleet.sources[fleet.log.leader]
    (status,) = source.withdrawal_status(
        result.version, organisation='daegu-pans'
    )
    assert status.hosts == ('incheon-b-1',)
    assert 29 < status.lease_left_s < 30.1
    await asyncio.sleep(status.lease_left_s)
    assert fleet.authenticate(long_lease)['incheon-b-1'] == 'key_lease_expired'


@in_virtual_time
async def test_lowered_lease_counts_from_the_change():
    fleet = await start_fleet(base=with_policy(key_lease_s=60))
    key = await fleet.issue()
    await asyncio.sleep(3)
    fleet.split(['incheon-b-1'])
    await fleet.push(base=with_policy(key_lease_s=5))
    result = await fleet.withdraw(key)
    await asyncio.sleep(10)
    assert fleet.authenticate(key)['incheon-b-1'] == 'daegu-pans'
    source = fleet.sources[fleet.log.leader]
    (status,) = source.withdrawal_status(result.version)
    assert 45 < status.lease_left_s < 55
    await asyncio.sleep(status.lease_left_s)
    assert fleet.authenticate(key)['incheon-b-1'] == 'key_lease_expired'


@in_virtual_time
async def test_restarted_host_serves_nothing_before_a_proof():
    fleet = await start_fleet()
    key = await fleet.issue()
    await asyncio.sleep(2)
    await fleet.stop_host('incheon-b-1')
    await fleet.start_host('incheon-b-1')
    follower = fleet.followers['incheon-b-1']
    assert follower.site_config().reason == 'state_stale'
    assert follower.authenticate(key.text, now_s=0.0).reason == 'state_stale'
    assert follower.authenticate(None, now_s=0.0).reason == 'key_missing'
    assert follower.age_s(1e6) == float('inf')
    await asyncio.sleep(2)
    assert fleet.authenticate(key)['incheon-b-1'] == 'daegu-pans'


@pytest.mark.parametrize(
    'policy, neighbours_respond, serves',
    [
        ({'cut_off_serving': True}, True, True),
        ({'cut_off_serving': False}, True, False),
        ({'cut_off_serving': True}, False, False),
    ],
)
@in_virtual_time
async def test_restart_while_cut_off(policy, neighbours_respond, serves):
    fleet = await start_fleet(base=with_policy(**policy))
    key = await fleet.issue()
    await asyncio.sleep(2)
    version = fleet.followers['incheon-b-7'].version
    domain = fleet.names(failure_domain='incheon-b')
    fleet.split(domain if neighbours_respond else ['incheon-b-1'])
    await fleet.stop_host('incheon-b-1')
    await fleet.start_host('incheon-b-1')
    await asyncio.sleep(60)
    follower = fleet.followers['incheon-b-1']
    assert bool(follower.site_config()) is serves
    assert follower.is_stale is serves
    assert fleet.authenticate(key)['incheon-b-1'] != 'daegu-pans'
    assert follower.version == (version if neighbours_respond else 0)
    fleet.heal()
    await asyncio.sleep(SETTLE_S)
    assert not follower.is_stale
    assert fleet.authenticate(key)['incheon-b-1'] == 'daegu-pans'


@in_virtual_time
async def test_hundreds_of_missed_changes_arrive_as_one_delta():
    fleet = await start_fleet()
    follower = fleet.followers['incheon-b-1']
    whole_responses = follower.counters()['state_whole_answers_taken']
    rows = follower.counters()['state_rows_taken']
    fleet.split(['incheon-b-1'])
    for number in range(300):
        text = json.dumps(
            {'services': {'status-desk': {'queue_s': number / 100}}}
        )
        version = fleet.states[fleet.log.leader].config_version
        site = 'incheon-b' if number % 2 else 'busan-a'
        await fleet.commit(
            commands.PushOverlay,
            against_version=version,
            site=site,
            overlay_json=text,
        )
    fleet.heal()
    await asyncio.sleep(SETTLE_S)
    assert follower.version == 301
    service = follower.site_config().services['status-desk']
    assert service.queue_s == 2.99
    counters = follower.counters()
    assert counters['state_whole_answers_taken'] == whole_responses
    assert counters['state_rows_taken'] <= rows + 4


@in_virtual_time
async def test_host_older_than_the_tombstones_receives_the_whole_state(
    monkeypatch,
):
    monkeypatch.setattr(parts, 'MAX_TOMBSTONES', 6)
    fleet = await start_fleet()
    withdrawn = await fleet.issue()
    await asyncio.sleep(2)
    fleet.split(['incheon-b-1'])
    await fleet.withdraw(withdrawn)
    for _ in range(10):
        await fleet.withdraw(await fleet.issue())
    fleet.heal()
    await asyncio.sleep(SETTLE_S)
    follower = fleet.followers['incheon-b-1']
    assert follower.version == fleet.states[fleet.log.leader].version
    assert len(follower.keys) == 0
    assert follower.counters()['state_whole_answers_taken'] >= 3


@in_virtual_time
async def test_differing_copy_is_replaced():
    fleet = await start_fleet()
    key = await fleet.issue()
    await asyncio.sleep(2)
    follower = fleet.followers['incheon-b-1']
    follower._replica.store.put(('key', key.key_id), 1_000, None)
    follower._replica.view.put(('key', key.key_id), None)
    await asyncio.sleep(4)
    assert follower.counters()['state_digest_mismatches'] == 1
    assert fleet.authenticate(key)['incheon-b-1'] == 'daegu-pans'


@in_virtual_time
async def test_control_host_that_differs_from_the_leader_proves_nothing():
    fleet = await start_fleet()
    key = await fleet.issue()
    name = fleet.control[1]
    fleet.states[name].parts.put(('key', key.key_id), 1_000, None)
    source = fleet.sources[name]
    await asyncio.sleep(LEASE_S)
    assert source.counters()['state_differs_from_leader'] > 1
    assert source.age_s(fleet.now_s(name)) > LEASE_S - 0.5


@in_virtual_time
async def test_drains_leaving_hosts_and_reports_arrive():
    fleet = await start_fleet()
    await fleet.stop_host('daegu-b-3')
    await fleet.commit(commands.SetDrain, upstream='u1', draining=True)
    await fleet.commit(commands.SetHostLeaving, host='busan-a-2', leaving=True)
    await asyncio.sleep(2)
    assert all(f.drains == {'u1'} for f in fleet.followers.values())
    leaving = [n for n, f in fleet.followers.items() if f.is_leaving]
    assert leaving == ['busan-a-2']
    version = fleet.states[fleet.log.leader].version
    for name in fleet.control:
        found = {d.failure_domain: d for d in fleet.sources[name].in_force()}
        assert len(found) == 6
        assert found['busan-a'].applied_version == version
        assert found['daegu-b'].applied_version < version
        assert found['seoul-a'].hosts[0].status == {'calls': 1.0}


@pytest.mark.parametrize('rank', [0, 1, 2, 5])
@in_virtual_time
async def test_undetected_loss_of_a_parent_refuses_no_key(rank):
    hosts = tuple(
        fake_peers.host(f'e{n}', 'honam', 'gwangju-a') for n in range(30)
    ) + tuple(
        fake_peers.host(f'c{n}', 'honam', f'd{n}', ('control',))
        for n in range(3)
    )
    fleet = await start_fleet(hosts=hosts)
    key = await fleet.issue()
    await asyncio.sleep(2)
    lost_host = rendezvous.rank('gwangju-a', [f'e{n}' for n in range(30)])[
        rank
    ]
    fleet.split([lost_host])
    for _ in range(60):
        await asyncio.sleep(STEP_S)
        results = fleet.authenticate(key)
        del results[lost_host]
        assert set(results.values()) == {'daegu-pans'}
