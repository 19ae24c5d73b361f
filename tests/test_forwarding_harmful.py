"""Requests that crash each upstream which runs them, over many hosts."""

import asyncio

import pytest

from tests.stand_ins import handler_fleet
from tests.stand_ins import virtual_time

CONTACT_S = 3.0
MAX_RETRIES = 3


async def play(fleet, *, gap_s=(0.2, 0.5), duration_s=30.0):
    """Send a harmful request again and again, each time to any host."""
    await fleet.start()
    background = fleet.run_in_background(
        fleet.requests(per_s=100.0, duration_s=duration_s)
    )
    ends_s = fleet.now_s() + duration_s
    harmful = []
    while fleet.now_s() < ends_s:
        request = fleet.request(handler_fleet.HARMFUL)
        harmful.append(fleet.run_in_background(request))
        await asyncio.sleep(fleet.rng.uniform(*gap_s))
    responses = await asyncio.gather(*harmful)
    others = await background
    await fleet.stop()
    return [item.status for item in responses], others


def late_retries(fleet):
    """Return the harmful requests that came too long after three crashes."""
    crashes = sorted(
        at_s
        for upstream in fleet.upstreams.values()
        for at_s in upstream.crashes
    )
    arrivals = [
        arrival
        for arrival in fleet.arrivals
        if arrival.target == handler_fleet.HARMFUL
        and arrival.at_s > crashes[2] + CONTACT_S
    ]
    return len(arrivals), len(crashes)


# Guards against a harmful request that goes on crashing upstreams since each
# entry host counts its crashes alone.
@pytest.mark.parametrize('hosts', [1, 2, 8, 89, 182])
@pytest.mark.parametrize('repeatable', [True, False])
def test_harmful_request_is_stopped_on_all_hosts(hosts, repeatable):
    fleet = handler_fleet.HandlerFleet(
        hosts=hosts, upstreams=12, seed=1, repeatable=repeatable
    )
    virtual_time.run(play(fleet))
    retries, crashes = late_retries(fleet)
    assert retries <= MAX_RETRIES, f'{crashes} upstreams crashed'
