"""Check that calls get local slots first, then those of other hosts."""

import asyncio

import pytest

from skylarkpitch import ports
from tests.stand_ins import fake_peers
from tests.stand_ins import room_hosts


def fleet(**sections):
    return room_hosts.Hosts(
        hosts=[
            fake_peers.host('h1', 'r1', 'd1'),
            fake_peers.host('h2', 'r1', 'd2'),
            fake_peers.host('h3', 'r2', 'd3'),
        ],
        site=room_hosts.config(**sections),
    )


async def survey(hosts):
    for room in hosts.room.values():
        for _ in range(20):
            await room._borrower.survey()


async def take(hosts, host='h1', *, wait_s=0.05, body_bytes=10, **options):
    return await hosts.room[host].take(
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


def test_local_first_then_the_nearest_domain():
    async def run():
        hosts = fleet()
        for number, host in enumerate(('h1', 'h2', 'h3'), 1):
            await hosts.own(host, name=f'u{number}', slots=2)
        await survey(hosts)
        got = [(await take(hosts)).upstream for _ in range(3)]
        assert got == ['u1', 'u1', 'relay:h2']

    asyncio.run(run())


def test_ticket_is_redeemed_once_and_its_slot_counts():
    async def run():
        hosts = fleet()
        await hosts.own('h2', name='u2', slots=3)
        await survey(hosts)
        slot = await take(hosts)
        assert slot.url == 'http://127.0.0.1:3/skylark/v1/relay'
        ticket = slot.headers['Skylark-Ticket']
        now_s = hosts.clock.now_s
        owner = hosts.room['h2']
        assert owner.counters()['tickets_out'] == 1
        lent = owner.redeem(ticket, now_s=now_s)
        assert lent.upstream == 'u2'
        assert owner.redeem(ticket, now_s=now_s).reason == 'ticket_unknown'
        assert owner.counters()['running'] == 1
        finish(lent)
        finish(slot)
        assert owner.counters()['running'] == 0

    asyncio.run(run())


def test_expired_ticket_is_refused_and_its_slot_comes_back():
    async def run():
        hosts = fleet()
        await hosts.own('h2', name='u2', slots=3)
        await survey(hosts)
        slot = await take(hosts)
        hosts.clock.now_s += 2.5
        await hosts.own('h2', name='u2', slots=3)
        owner = hosts.room['h2']
        answer = owner.redeem(
            slot.headers['Skylark-Ticket'], now_s=hosts.clock.now_s
        )
        assert answer.reason == 'ticket_unknown'
        owner.lender.expire(now_s=hosts.clock.now_s)
        assert owner.counters()['tickets_out'] == 0

    asyncio.run(run())


def test_stopping_host_lends_nothing_and_honours_what_is_out():
    async def run():
        hosts = fleet()
        await hosts.own('h2', name='u2', slots=4)
        await survey(hosts)
        slot = await take(hosts)
        hosts.room['h2'].stop_granting()
        assert (await take(hosts)).reason == 'no_room'
        assert hosts.room['h2'].redeem(
            slot.headers['Skylark-Ticket'], now_s=hosts.clock.now_s
        )

    asyncio.run(run())


def test_waiting_call_gets_the_slot_that_comes_free():
    async def run():
        hosts = fleet()
        await hosts.own('h1', slots=1)
        first = await take(hosts)
        waiting = asyncio.ensure_future(take(hosts, wait_s=5))
        await asyncio.sleep(0)
        assert hosts.room['h1'].counters()['waiting'] == 1
        finish(first)
        slot = await waiting
        assert slot.upstream == 'u1'
        assert hosts.room['h1'].counters()['waiting'] == 0

    asyncio.run(run())


def test_cancelled_waiter_leaves_no_slot_behind():
    async def run():
        hosts = fleet()
        await hosts.own('h1', slots=1)
        first = await take(hosts)
        waiting = asyncio.ensure_future(take(hosts, wait_s=5))
        await asyncio.sleep(0)
        finish(first)
        waiting.cancel()
        with pytest.raises(asyncio.CancelledError):
            await waiting
        assert hosts.room['h1'].counters()['running'] == 0

    asyncio.run(run())


def test_refused_early_when_the_expected_wait_is_too_long():
    async def run():
        hosts = fleet()
        await hosts.own('h1', slots=1)
        slot = await take(hosts)
        hosts.clock.now_s += 0.9
        finish(slot)
        first = await take(hosts)
        refused = await take(hosts, wait_s=0.5)
        assert refused.reason == 'no_room'
        assert hosts.room['h1'].counters()['refused_early'] == 1
        finish(first)

    asyncio.run(run())
