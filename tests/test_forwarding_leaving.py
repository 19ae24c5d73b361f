"""Upstreams that say that they leave, or ask a host for a pause."""

import asyncio

import pytest

from tests.stand_ins import handler_fleet
from tests.stand_ins import virtual_time

NAMES = handler_fleet.NAMES
DRAIN_S = 2.5
# Requests that are on their way when the upstream answers.
ON_THE_WAY_S = 0.1


async def play(fleet, rows, *, status=200, names=('u1', 'u4', 'u8')):
    """Let upstreams send rows from 1 s on, for 4 s; return when that was."""
    await fleet.start()
    played = fleet.run_in_background(
        fleet.requests(per_s=150.0, duration_s=8.0)
    )
    await asyncio.sleep(1.0)
    began_s = fleet.now_s()
    for name in names:
        fleet.upstreams[name].rows = rows
        fleet.upstreams[name].status = status
    await asyncio.sleep(4.0)
    for name in names:
        fleet.upstreams[name].rows = {}
        fleet.upstreams[name].status = 200
    responses = await played
    await fleet.stop()
    return began_s, [response.status for response in responses]


def told(fleet, name, began_s):
    """Return the arrivals at an upstream of each host, from the first one."""
    by_host = {}
    for arrival in fleet.arrivals:
        is_of = arrival.upstream.partition('.')[0] == name
        if is_of and arrival.at_s >= began_s:
            by_host.setdefault(arrival.host, []).append(arrival.at_s)
    return by_host


# Guards against requests to an upstream that has said that it leaves, also
# after a new view of control that does not say so.
@pytest.mark.parametrize('hosts', [1, 8, 89])
def test_leaving_upstream_gets_nothing_more_from_a_host(hosts):
    fleet = handler_fleet.HandlerFleet(hosts=hosts, upstreams=12, seed=1)
    began_s, statuses = virtual_time.run(play(fleet, {NAMES.leaving: '1'}))
    for name in ('u1', 'u4', 'u8'):
        for times_s in told(fleet, name, began_s).values():
            first_s = times_s[0] + fleet.work_s
            assert times_s[-1] <= first_s + ON_THE_WAY_S
    assert statuses.count(200) > 0.99 * len(statuses)


async def send_together(fleet):
    await asyncio.gather(*(fleet.request('/pans/1') for _ in range(8)))


def test_leaving_holds_over_a_gap_in_the_list_of_upstreams():
    fleet = handler_fleet.HandlerFleet(hosts=1, upstreams=2, seed=2)

    async def check():
        await fleet.start()
        (host,) = fleet.hosts
        upstream = fleet.upstreams['u1']
        upstream.rows = {NAMES.leaving: '1'}
        await send_together(fleet)
        count = len(fleet.arrivals)
        recorded = fleet.state.upstreams[upstream.upstream_id]
        selector = host.handler.selector
        for item in (None, recorded):
            selector.update_upstream(
                recorded.upstream_id, item, now_s=fleet.now_s()
            )
        await send_together(fleet)
        assert all(
            arrival.upstream != upstream.upstream_id
            for arrival in fleet.arrivals[count:]
        )
        upstream.crash('')
        await asyncio.sleep(4.0)
        upstream.rows = {}
        await send_together(fleet)
        await fleet.stop()
        assert any(a.upstream == 'u1.2' for a in fleet.arrivals)

    virtual_time.run(check())


# Guards against requests to an upstream that wants a pause, and against one
# that gets nothing once the pause is over. One host alone sends little to
# other regions.
@pytest.mark.parametrize('hosts', [1, 8])
def test_upstream_that_wants_a_pause_gets_nothing_meanwhile(hosts):
    fleet = handler_fleet.HandlerFleet(hosts=hosts, upstreams=12, seed=3)
    rows = {NAMES.retry_after: '1.5', NAMES.not_run: '1'}
    began_s, _statuses = virtual_time.run(play(fleet, rows, status=503))
    for name in ('u1', 'u4', 'u8'):
        for times_s in told(fleet, name, began_s).values():
            told_s = times_s[0] + 2 * handler_fleet.ONE_WAY_S
            early = [t for t in times_s if told_s + 0.5 < t < told_s + 1.5]
            assert len(early) == 0
        if hosts > 1 or name == 'u1':
            assert len(told(fleet, name, began_s + 5.0)) > 0
