"""Tests that no two hosts assign the slots of one upstream."""

import asyncio

import pytest

from skylarkpitch.membership import ownership
from skylarkpitch.membership import ownership_manager
from skylarkpitch.membership import terms
from tests.stand_ins import fake_peers
from tests.stand_ins import steering_hosts

LEASE_S = 3.0
WAIT_S = ownership.takeover_wait_s(lease_s=LEASE_S, drift=0.01)


def two_hosts():
    return steering_hosts.Hosts(
        hosts=[fake_peers.host('h1'), fake_peers.host('h2')]
    )


def owned_slots(hosts, host):
    return (
        hosts.membership[host]
        .pool.owned_slots(now_s=hosts.clock.now_s)
        .get('desk', 0)
    )


def name_preferred_by(hosts, host):
    live = hosts.membership['h1'].hosts
    for number in range(100):
        name = f'u{number}'
        if live.preferred_owner(name, now_s=hosts.clock.now_s) == host:
            return name
    raise AssertionError(host)


def test_lease_counts_from_the_issue_of_the_echo():
    leases = ownership.LeaseTable()
    leases.record_echo('u', instance='i', url='x', value='e', now_s=10.0)
    arguments = {'instance': 'i', 'url': 'x', 'lease_s': LEASE_S}
    lease = leases.renew('u', echo='e', now_s=12.0, **arguments)
    assert lease.until_s == 13.0
    expired = leases.renew('u', echo='e', now_s=13.0, **arguments)
    assert expired.reason == 'echo_expired'
    other = leases.renew('u', echo='x', now_s=12.0, **arguments)
    assert other.reason == 'echo_unknown'
    leases.release('u')
    released = leases.renew('u', echo='e', now_s=12.0, **arguments)
    assert released.reason == 'echo_unknown'


@pytest.mark.parametrize(
    (
        'previous',
        'age_s',
        'release_responses',
        'unresponsive',
        'has_history',
        'expected',
    ),
    [
        ('', 0.1, {'h2': (False, 9.0)}, [], False, (0, False)),
        ('', 0.1, {}, ['h2'], False, (2.9, False)),
        ('', 3.1, {}, ['h2'], False, (0, False)),
        ('h2', 0.1, {'h2': (True, 9.0)}, [], False, (0, False)),
        ('h2', 0.1, {'h2': (False, 1.0)}, [], False, (0, True)),
        ('h2', 0.1, {'h2': (False, 900.0)}, [], False, (0, False)),
        ('h2', 1.0, {}, ['h2'], False, (2.0, False)),
        ('h2', 3.0, {}, ['h2'], False, (0, True)),
        ('gone', 3.0, {'h2': (True, 9.0)}, [], False, (0, True)),
        ('h1', 0.1, {'h2': (True, 9.0)}, [], True, (0, False)),
        ('h1', 0.1, {'h2': (True, 9.0)}, [], False, (0, True)),
    ],
)
def test_evaluate_claim(
    previous, age_s, release_responses, unresponsive, has_history, expected
):
    decision = ownership.evaluate_claim(
        ownership.Claim(
            own_host='h1', previous_owner=previous, previous_owner_age_s=age_s
        ),
        release_responses=release_responses,
        unresponsive=unresponsive,
        has_history=has_history,
        takeover_wait_s=3.0,
        max_work_s=5.0,
    )
    assert decision.retry_after_s == pytest.approx(expected[0])
    assert decision.unknown_work is expected[1]


def test_owner_redirects_upstream_and_reports_running_work():
    async def run():
        hosts = two_hosts()
        await hosts.hello()
        name = name_preferred_by(hosts, 'h2')
        hosts.membership['h1'].hosts.stopping = False
        hosts.membership['h1'].hosts._contacts.clear()
        await hosts.own('h1', name=name)
        for _ in range(6):
            hosts.tick(0.5)
            await hosts.hello()
            assert (await hosts.own('h1', name=name)).owner == 'h1'
        slot = hosts.membership['h1'].reserve_slot(
            'desk', deadline_s=hosts.clock.now_s + 4
        )
        hosts.tick(0.5)
        await hosts.hello()
        response = await hosts.announce('h1', name=name)
        assert response.announce_to == 'http://127.0.0.1:2'
        assert owned_slots(hosts, 'h1') == 0
        await hosts.own(
            'h2', name=name, previous_owner='h1', previous_owner_age_s=0.1
        )
        now_s = hosts.clock.now_s
        assert hosts.membership['h2'].pool.free('desk', now_s=now_s) == 1
        slot.finish('answered', latency_s=0.1)

    asyncio.run(run())


def test_unresponsive_owner_delays_takeover_and_its_work_blocks_slots():
    async def run():
        hosts = two_hosts()
        await hosts.own('h1')
        hosts.network.cut('h1', 'h2')
        early = await hosts.announce(
            'h2', previous_owner='h1', previous_owner_age_s=1.0
        )
        assert early.reason == 'previous_owner_may_live'
        assert early.retry_after_s == pytest.approx(WAIT_S - 1.0)
        hosts.tick(WAIT_S)
        assert owned_slots(hosts, 'h1') == 0
        await hosts.own('h2', previous_owner='h1', previous_owner_age_s=WAIT_S)
        assert owned_slots(hosts, 'h2') == 2
        now_s = hosts.clock.now_s
        assert hosts.membership['h2'].pool.free('desk', now_s=now_s) == 0
        busy_s = 5.0 * 1.01 / 0.99 + ownership_manager.BLOCK_MARGIN_S
        assert (
            hosts.membership['h2']
            .pool.get('u1')
            .slots.blocked(now_s=now_s + busy_s - 0.01)
        )
        assert (
            not hosts.membership['h2']
            .pool.get('u1')
            .slots.blocked(now_s=now_s + busy_s + 0.01)
        )

    asyncio.run(run())


def test_restarted_owner_counts_earlier_work_as_busy():
    async def run():
        hosts = two_hosts()
        await hosts.own('h1')
        hosts.start('h1')
        await hosts.own('h1', previous_owner='h1', previous_owner_age_s=0.1)
        now_s = hosts.clock.now_s
        assert owned_slots(hosts, 'h1') == 2
        assert hosts.membership['h1'].pool.free('desk', now_s=now_s) == 0

    asyncio.run(run())


def test_delayed_announcement_after_a_release_gains_no_lease():
    async def run():
        hosts = two_hosts()
        response = await hosts.own('h1')
        await hosts.own('h2', previous_owner='h1', previous_owner_age_s=0.2)
        assert (owned_slots(hosts, 'h1'), owned_slots(hosts, 'h2')) == (0, 2)
        delayed = await hosts.announce(
            'h1', previous_owner='h1', echo=response.echo
        )
        assert owned_slots(hosts, 'h1') == 0
        assert isinstance(delayed, terms.Refusal) or not delayed.owner

    asyncio.run(run())


@pytest.mark.parametrize('second_host', ['h1', 'h2'])
@pytest.mark.parametrize(
    ('name', 'url'),
    [('u1', 'http://127.0.0.1:9'), ('u2', 'http://127.0.0.1:8')],
)
def test_name_or_address_announced_twice_is_refused(second_host, name, url):
    async def run():
        hosts = two_hosts()
        await hosts.own('h1', url='http://127.0.0.1:8')
        refusal = await hosts.announce(
            second_host,
            name=name,
            url=url,
            instance='i2',
            previous_owner_age_s=100.0,
        )
        assert refusal.reason == 'name_taken'
        assert owned_slots(hosts, 'h1') == 2

    asyncio.run(run())


def test_departed_process_gets_no_work_after_announcing_again():
    async def run():
        hosts = two_hosts()
        await hosts.own('h1')
        slot = hosts.membership['h1'].reserve_slot(
            'desk', deadline_s=hosts.clock.now_s + 4
        )
        assert hosts.membership['h1']._manager.handle_leave('u1', 'i1')
        response = await hosts.announce('h1')
        assert response.reason == 'left'
        second_slot = hosts.membership['h1'].reserve_slot(
            'desk', deadline_s=hosts.clock.now_s + 4
        )
        assert second_slot.reason == 'no_room'
        hosts.tick(0.7)
        slot.finish('answered', latency_s=0.7)
        counters = hosts.membership['h1'].counters()
        assert counters['drain_last_s'] == pytest.approx(0.7)

    asyncio.run(run())
