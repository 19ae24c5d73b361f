"""Test the allocation of local slots and of other hosts' slots."""

import asyncio

import pytest

from skylarkpitch import ports
from tests.stand_ins import fake_peers
from tests.stand_ins import steering_hosts
from tests.stand_ins import virtual_fleet
from tests.stand_ins import virtual_time


def fleet(**sections):
    return steering_hosts.Hosts(
        hosts=[
            fake_peers.host('h1', 'r1', 'd1'),
            fake_peers.host('h2', 'r1', 'd2'),
            fake_peers.host('h3', 'r2', 'd3'),
        ],
        site=steering_hosts.config(**sections),
    )


async def survey(hosts):
    for allocator in hosts.allocators.values():
        for _ in range(20):
            await allocator._ticket_client.survey()


async def reserve(hosts, host='h1', *, wait_s=0.05, body_bytes=10, **options):
    return await hosts.allocators[host].reserve(
        service='desk',
        caller=ports.Caller(
            organisation=options.pop('organisation', 'o'),
            weight=options.pop('weight', 1.0),
        ),
        request_class='reads',
        body_bytes=body_bytes,
        deadline_s=hosts.clock.now_s + wait_s,
        exclude=options.pop('exclude', frozenset()),
    )


def finish(slot, exchange=ports.Exchange.ANSWERED):
    slot.finish(exchange, latency_s=0.01)


def test_local_slots_first_then_the_nearest_domain():
    async def run():
        hosts = fleet()
        for number, host in enumerate(('h1', 'h2', 'h3'), 1):
            await hosts.own(host, name=f'u{number}', slots=2)
        await survey(hosts)
        slots = [(await reserve(hosts)).upstream for _ in range(3)]
        assert slots == ['u1', 'u1', 'relay:h2']

    asyncio.run(run())


def test_ticket_is_redeemed_once_and_its_slot_counts():
    async def run():
        hosts = fleet()
        await hosts.own('h2', name='u2', slots=3)
        await survey(hosts)
        slot = await reserve(hosts)
        assert slot.url == 'http://127.0.0.1:3/skylark/v1/relay'
        ticket = slot.headers['Skylark-Ticket']
        now_s = hosts.clock.now_s
        owner = hosts.allocators['h2']
        assert owner.counters()['tickets_out'] == 1
        redeemed = owner.redeem(ticket, now_s=now_s)
        assert redeemed.upstream == 'u2'
        assert owner.redeem(ticket, now_s=now_s).reason == 'ticket_unknown'
        assert owner.counters()['running'] == 1
        finish(redeemed)
        finish(slot)
        assert owner.counters()['running'] == 0

    asyncio.run(run())


def test_expired_ticket_is_refused_and_its_slot_released():
    async def run():
        hosts = fleet()
        await hosts.own('h2', name='u2', slots=3)
        await survey(hosts)
        slot = await reserve(hosts)
        hosts.clock.now_s += 2.5
        await hosts.own('h2', name='u2', slots=3)
        owner = hosts.allocators['h2']
        refused = owner.redeem(
            slot.headers['Skylark-Ticket'], now_s=hosts.clock.now_s
        )
        assert refused.reason == 'ticket_unknown'
        owner.ticket_issuer.expire(now_s=hosts.clock.now_s)
        assert owner.counters()['tickets_out'] == 0

    asyncio.run(run())


def test_stopping_host_issues_no_tickets_and_redeems_outstanding():
    async def run():
        hosts = fleet()
        await hosts.own('h2', name='u2', slots=4)
        await survey(hosts)
        slot = await reserve(hosts)
        hosts.allocators['h2'].stop_issuing_tickets()
        assert (await reserve(hosts)).reason == 'no_room'
        assert hosts.allocators['h2'].redeem(
            slot.headers['Skylark-Ticket'], now_s=hosts.clock.now_s
        )

    asyncio.run(run())


def test_queued_call_gets_the_slot_that_becomes_free():
    async def run():
        hosts = fleet()
        await hosts.own('h1', slots=1)
        first = await reserve(hosts)
        waiting = asyncio.ensure_future(reserve(hosts, wait_s=5))
        await asyncio.sleep(0)
        assert hosts.allocators['h1'].counters()['waiting'] == 1
        finish(first)
        slot = await waiting
        assert slot.upstream == 'u1'
        assert hosts.allocators['h1'].counters()['waiting'] == 0

    asyncio.run(run())


def test_cancelled_call_leaves_no_slot_reserved():
    async def run():
        hosts = fleet()
        await hosts.own('h1', slots=1)
        first = await reserve(hosts)
        waiting = asyncio.ensure_future(reserve(hosts, wait_s=5))
        await asyncio.sleep(0)
        finish(first)
        waiting.cancel()
        with pytest.raises(asyncio.CancelledError):
            await waiting
        assert hosts.allocators['h1'].counters()['running'] == 0

    asyncio.run(run())


def test_refused_early_when_the_expected_wait_is_too_long():
    async def run():
        hosts = fleet()
        await hosts.own('h1', slots=1)
        slot = await reserve(hosts)
        hosts.clock.now_s += 0.9
        finish(slot)
        first = await reserve(hosts)
        refused = await reserve(hosts, wait_s=0.5)
        assert refused.reason == 'no_room'
        assert hosts.allocators['h1'].counters()['refused_early'] == 1
        finish(first)

    asyncio.run(run())


def test_share_of_the_domain_limits_local_calls_and_tickets():
    async def run():
        hosts = fleet(
            regions={
                'r1': {
                    'max_share_percent': 50,
                    'failure_domains': {
                        'd1': {'max_share_percent': 25},
                        'd2': {'max_share_percent': 25},
                    },
                }
            }
        )
        for number, host in enumerate(('h1', 'h2', 'h3'), 1):
            await hosts.own(host, name=f'u{number}', slots=10)
        await survey(hosts)
        local = [await reserve(hosts) for _ in range(8)]
        names = [slot.upstream for slot in local]
        assert names == ['u1'] * 7 + ['relay:h2']
        assert (await reserve(hosts, 'h2')).upstream == 'u2'
        counters = [
            allocator.counters() for allocator in hosts.allocators.values()
        ]
        assert not any(item['cap_breaches'] for item in counters)

    asyncio.run(run())


def test_calls_to_a_remote_region_grow_within_the_cap():
    async def run():
        hosts = fleet(policy={'shift_percent_per_s': 10})
        await hosts.own('h3', name='u3', slots=40)
        await survey(hosts)
        slots = [await reserve(hosts) for _ in range(8)]
        redeemed = sum(bool(slot) for slot in slots)
        assert redeemed == 3
        hosts.clock.now_s += 1.1
        slots = [await reserve(hosts) for _ in range(8)]
        assert sum(bool(slot) for slot in slots) == 3

    asyncio.run(run())


def test_bytes_over_a_link_are_bounded():
    async def run():
        hosts = fleet(policy={'shift_percent_per_s': 100})
        await hosts.own('h3', name='u3', slots=40)
        await survey(hosts)
        assert (await reserve(hosts, body_bytes=2_000_000)).reason == 'no_room'
        assert hosts.allocators['h1'].counters()['link_refused'] > 0
        assert await reserve(hosts, body_bytes=100_000)

    asyncio.run(run())


def one_domain(upstreams=2):
    world = virtual_fleet.World(
        seed=1,
        directory_hosts=virtual_fleet.entry_hosts({'r1': ['d1']}),
        site=steering_hosts.config(),
        latency_s=lambda one, other: 0.0003,
    )
    for number in range(upstreams):
        world.add_upstream(
            name=f'u{number}',
            service='desk',
            domain='d1',
            slots=4,
            work_s=0.02,
        )
    return world


async def answered_share(world, organisation, rate_per_s, seconds):
    outcomes = []
    hosts = sorted(world.hosts)
    for number in range(int(rate_per_s * seconds)):
        await asyncio.sleep(1 / rate_per_s)
        call = world.call(
            hosts[number % 2],
            'desk',
            organisation=organisation,
            deadline_s=2.0,
        )
        outcomes.append(world.spawn(call))
    answers = await asyncio.gather(*outcomes)
    return answers.count('answered') / len(answers)


def test_other_domains_get_slots_only_when_the_local_queue_is_empty():
    async def run():
        hosts = fleet()
        await hosts.own('h2', name='u2', slots=1)
        await survey(hosts)
        first = await reserve(hosts, 'h2')
        waiting = asyncio.ensure_future(reserve(hosts, 'h1', wait_s=5))
        await asyncio.sleep(0.03)
        local_call = asyncio.ensure_future(reserve(hosts, 'h2', wait_s=5))
        await asyncio.sleep(0)
        finish(first)
        local_slot = await local_call
        assert local_slot.upstream == 'u2'
        assert not waiting.done()
        await hosts.own('h2', name='u3', slots=4)
        hosts.allocators['h2']._dispatch('desk')
        assert (await waiting).upstream == 'relay:h2'

    asyncio.run(run())


def test_overload_by_one_organisation_does_not_affect_the_others():
    async def run():
        world = one_domain()
        await asyncio.sleep(3)
        served = await asyncio.gather(
            answered_share(world, 'large', 500, 3),
            answered_share(world, 'small', 50, 3),
            answered_share(world, 'tiny', 10, 3),
        )
        assert served[0] < 0.9
        assert min(served[1:]) > 0.98
        assert not world.violations

    virtual_time.run(run())


def test_planned_stop_interrupts_no_call_and_moves_the_upstreams():
    async def run():
        world = one_domain(upstreams=4)
        await asyncio.sleep(3)
        stopping, staying = (world.hosts[n] for n in sorted(world.hosts))
        calls = world.spawn(answered_share(world, 'small', 100, 4))
        await asyncio.sleep(0.5)
        stopping.allocator.stop_issuing_tickets()
        assert await stopping.membership.transfer_upstreams(timeout_s=5)
        assert await calls == 1.0
        assert stopping.membership.upstreams() == []
        names = [item.name for item in staying.membership.upstreams()]
        assert names == ['u0', 'u1', 'u2', 'u3']
        assert not world.violations

    virtual_time.run(run())


def test_dead_owner_is_replaced_without_double_use_of_a_slot():
    async def run():
        world = one_domain()
        await asyncio.sleep(3)
        names = sorted(world.hosts)
        calls = world.spawn(answered_share(world, 'small', 150, 15))
        await asyncio.sleep(1)
        world.kill(names[0])
        await asyncio.sleep(12)
        owned = world.hosts[names[1]].membership.upstreams()
        assert [item.name for item in owned] == ['u0', 'u1']
        await calls
        assert not world.violations

    virtual_time.run(run())
