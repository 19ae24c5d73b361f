"""Upstreams that name the rate that they take from all entry hosts."""

import asyncio

import pytest

from tests.stand_ins import handler_fleet
from tests.stand_ins import virtual_time

CONTACT_S = 3.0
# A host that has relayed a response with a limit obeys it after this time.
TOLD_S = 0.5
WINDOW_S = 4.0


def allowed(rate_per_s):
    return 1.5 * rate_per_s * WINDOW_S + 5


def most_in_window(fleet, name, *, named_s, until_s=float('inf')):
    """Return the most requests in a window of hosts that know the limit."""
    told_s = {}
    counted = []
    for arrival in fleet.arrivals:
        if arrival.upstream.partition('.')[0] != name:
            continue
        if arrival.at_s < named_s or arrival.at_s > until_s:
            continue
        told_s.setdefault(arrival.host, arrival.at_s + fleet.work_s)
        is_told = arrival.at_s > told_s[arrival.host] + TOLD_S
        if is_told and arrival.at_s > named_s + CONTACT_S:
            counted.append(arrival.at_s)
    return max(
        (
            sum(at_s <= later_s < at_s + WINDOW_S for later_s in counted)
            for at_s in counted
        ),
        default=0,
    )


def name_limit(fleet, name, rate_per_s):
    fleet.upstreams[name].rows = {
        handler_fleet.NAMES.max_rate: str(rate_per_s)
    }


async def play(fleet, limits, *, per_s=220.0, duration_s=16.0):
    """Let upstreams name limits from 2 s on; return when that was."""
    await fleet.start()
    played = fleet.run_in_background(
        fleet.requests(per_s=per_s, duration_s=duration_s)
    )
    await asyncio.sleep(2.0)
    named_s = fleet.now_s()
    for name, rate_per_s in limits.items():
        name_limit(fleet, name, rate_per_s)
    responses = await played
    await fleet.stop()
    return named_s, [response.status for response in responses]


LIMITS = {'u1': 3.9, 'u4': 4.7, 'u8': 0.5}


# Guards against an upstream that gets more than the rate which it names: each
# host has a small part of that rate, on many hosts far below one request a
# second.
@pytest.mark.parametrize('hosts', [1, 8, 89, 182])
@pytest.mark.parametrize('seed', [1, 2])
def test_upstreams_get_no_more_than_the_rate_they_name(hosts, seed):
    fleet = handler_fleet.HandlerFleet(hosts=hosts, upstreams=12, seed=seed)
    named_s, statuses = virtual_time.run(play(fleet, LIMITS))
    most = {
        name: most_in_window(fleet, name, named_s=named_s) for name in LIMITS
    }
    assert all(
        count <= allowed(LIMITS[name]) for name, count in most.items()
    ), most
    assert statuses.count(200) > 0.99 * len(statuses)


# Guards against a host that no longer reaches control and takes the whole
# rate for itself, and against hosts that start again without having been
# told.
def test_rate_holds_for_hosts_that_are_cut_off_or_new():
    fleet = handler_fleet.HandlerFleet(hosts=8, upstreams=12, seed=3)

    async def disturb():
        await asyncio.sleep(6.0)
        for host in fleet.hosts[:4]:
            host.is_connected = False
        await asyncio.sleep(3.0)
        fleet.add_host()

    async def check():
        disturbed = asyncio.ensure_future(disturb())
        named_s, _statuses = await play(fleet, LIMITS)
        await disturbed
        return named_s

    named_s = virtual_time.run(check())
    for name, rate_per_s in LIMITS.items():
        most = most_in_window(fleet, name, named_s=named_s)
        assert most <= allowed(rate_per_s)


# Guards against upstreams that get little of the rate which they name, since
# most of their requests come from hosts nearby. The bound is half of the
# rate.
@pytest.mark.parametrize('per_s', [90.0, 220.0])
@pytest.mark.parametrize('hosts', [8, 89, 182])
def test_upstreams_with_a_limit_still_get_requests(hosts, per_s):
    fleet = handler_fleet.HandlerFleet(hosts=hosts, upstreams=12, seed=4)
    limits = dict.fromkeys(fleet.upstreams, 6.0)
    named_s, _statuses = virtual_time.run(play(fleet, limits, per_s=per_s))
    later = [a.at_s for a in fleet.arrivals if a.at_s > named_s + CONTACT_S]
    got_per_s = len(later) / (later[-1] - named_s - CONTACT_S)
    named_per_s = sum(limits.values())
    assert 0.5 * named_per_s <= got_per_s <= 1.5 * named_per_s
