"""Tests of which hosts know that nothing ran before they started."""

import asyncio

from tests.stand_ins import control_fleet
from tests.stand_ins import virtual_time

SETTLE_S = 4.0


async def beginnings(*, cut_off):
    """Return what each host saw before a push, and one after its restart."""
    fleet = control_fleet.Fleet(hosts=control_fleet.mueso_hosts())
    await fleet.start()
    if cut_off:
        fleet.split([cut_off])
    await asyncio.sleep(SETTLE_S)
    before = {n: f.saw_empty_state for n, f in fleet.followers.items()}
    fleet.heal()
    await fleet.push(base=control_fleet.BASE)
    await asyncio.sleep(SETTLE_S)
    restarted = fleet.names(failure_domain='incheon-b')[0]
    await fleet.stop_host(restarted)
    await fleet.start_host(restarted)
    await asyncio.sleep(SETTLE_S)
    after = {n: f.saw_empty_state for n, f in fleet.followers.items()}
    await fleet.stop()
    return before, after, restarted


def test_hosts_that_run_before_the_first_push_saw_the_beginning():
    before, after, restarted = virtual_time.run(beginnings(cut_off=None))
    assert set(before.values()) == {True}
    assert not after[restarted]


def test_host_that_is_cut_off_did_not_see_the_beginning():
    before, after, _ = virtual_time.run(beginnings(cut_off='daegu-b-3'))
    assert [name for name, saw in before.items() if not saw] == ['daegu-b-3']
    assert not after['daegu-b-3']
