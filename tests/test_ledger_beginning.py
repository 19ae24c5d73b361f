"""Tests of hosts that have been running since before the first push.

Only these know that no operation was accepted before they started.
"""

import asyncio

from tests.stand_ins import control_fleet
from tests.stand_ins import virtual_time

STABILISATION_S = 4.0


async def saw_empty_state_by_host(*, cut_off):
    """Return ``saw_empty_state`` of each host before a push and after it.

    Also returns the name of the host that was restarted after the push.
    """
    fleet = control_fleet.Fleet(hosts=control_fleet.mueso_hosts())
    await fleet.start()
    if cut_off:
        fleet.split([cut_off])
    await asyncio.sleep(STABILISATION_S)
    before = {n: f.saw_empty_state for n, f in fleet.followers.items()}
    fleet.heal()
    await fleet.push(base=control_fleet.BASE)
    await asyncio.sleep(STABILISATION_S)
    restarted = fleet.names(failure_domain='incheon-b')[0]
    await fleet.stop_host(restarted)
    await fleet.start_host(restarted)
    await asyncio.sleep(STABILISATION_S)
    after = {n: f.saw_empty_state for n, f in fleet.followers.items()}
    await fleet.stop()
    return before, after, restarted


def test_hosts_running_before_the_first_push_saw_the_beginning():
    before, after, restarted = virtual_time.run(
        saw_empty_state_by_host(cut_off=None)
    )
    assert set(before.values()) == {True}
    assert not after[restarted]


def test_disconnected_host_did_not_see_the_beginning():
    before, after, _ = virtual_time.run(
        saw_empty_state_by_host(cut_off='daegu-b-3')
    )
    assert [name for name, saw in before.items() if not saw] == ['daegu-b-3']
    assert not after['daegu-b-3']
