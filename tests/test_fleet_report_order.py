"""Reports of entry hosts that arrive after their host left or restarted."""

import asyncio

import pytest

from skylarkpitch.fleet import control_requests
from skylarkpitch.fleet import model
from skylarkpitch.fleet import rate_shares
from tests.stand_ins import fleet_cluster
from tests.stand_ins import virtual_time

HOST = model.EntryHost(
    name='e1',
    callers_address='10.0.1.1:80',
    region='east',
    failure_domain='east-a',
)
LIMITS = {'o': rate_shares.Limit(rate_per_s=10.0, burst=10.0)}


def report(incarnation, *, leaving=False):
    return control_requests.EntryReport(
        entry_host=HOST, incarnation=incarnation, leaving=leaving
    )


def leader_of(cluster):
    leaders = [name for name, log in cluster.logs.items() if log.is_leader]
    return leaders[0] if leaders else None


async def execute(cluster, reports):
    """Execute reports one after the other; return the hosts in look-ups."""
    leader = await cluster.wait_until(lambda: leader_of(cluster))
    host = next(name for name in 'abc' if name != leader)
    for item in reports:
        await cluster.submit_until_accepted(host, item)
    return list(cluster.states[leader].entry_hosts)


def recorded_after(reports):
    async def scenario():
        cluster = fleet_cluster.FleetCluster(
            disk_delay_s=0.002, message_delay_s=0.01
        )
        await cluster.start('abc')
        await cluster.wait_for_voters(3)
        try:
            return await execute(cluster, reports)
        finally:
            await cluster.stop()

    return virtual_time.run(scenario())


# Guards against look-ups that name an entry host which has left: a report of
# before, which had waited at a control host, recorded it again.
@pytest.mark.parametrize(
    ('reports', 'expected'),
    [
        ([report('s1')], ['e1']),
        ([report('s1'), report('s1', leaving=True)], []),
        (
            [report('s1'), report('s1', leaving=True), report('s1')],
            [],
        ),
        (
            [
                report('s1'),
                report('s1', leaving=True),
                report('s1'),
                report('s1', leaving=True),
            ],
            [],
        ),
        (
            [report('s1'), report('s1', leaving=True), report('s2')],
            ['e1'],
        ),
        (
            [
                report('s1'),
                report('s1', leaving=True),
                report('s2'),
                report('s1', leaving=True),
            ],
            ['e1'],
        ),
        ([report('s1'), report('s2'), report('s1', leaving=True)], ['e1']),
        (
            [
                report('s1'),
                report('s2'),
                report('s2', leaving=True),
                report('s1'),
            ],
            [],
        ),
        ([report(''), report('', leaving=True), report('')], ['e1']),
    ],
    ids=[
        'running',
        'left',
        'late-report-of-one-that-left',
        'leaves-twice',
        'started-again',
        'late-leave-after-a-restart',
        'late-leave-of-a-killed-one',
        'late-report-of-a-killed-one',
        'of-an-earlier-release',
    ],
)
def test_late_report_does_not_undo_a_later_one(reports, expected):
    assert recorded_after(reports) == expected


async def resent_leave(cluster):
    """Let the first leave fail, as no control host reaches another."""
    await execute(cluster, [report('s1')])
    for name in 'abc':
        others = {other for other in 'abc' if other != name}
        cluster.network.cut_pairs.update((name, other) for other in others)
    leader = leader_of(cluster)
    leave = report('s1', leaving=True)
    outcome = await cluster.control_services[leader].execute(leave)
    assert outcome.outcome == 'unavailable'
    cluster.network.heal()
    await asyncio.sleep(2.0)
    return await execute(cluster, [leave])


def test_leave_that_was_not_committed_may_be_sent_again():
    async def scenario():
        cluster = fleet_cluster.FleetCluster(
            disk_delay_s=0.002, message_delay_s=0.01
        )
        await cluster.start('abc')
        await cluster.wait_for_voters(3)
        try:
            return await resent_leave(cluster)
        finally:
            await cluster.stop()

    assert virtual_time.run(scenario()) == []


# Guards against requests beyond a rate, and refusals below it: a late report
# counts fewer requests than one before it.
@pytest.mark.parametrize(
    'counts', [[5, 40, 60], [5, 40, 5, 60], [5, 40, 39, 40, 60]]
)
def test_late_report_does_not_change_what_the_fleet_has_passed(counts):
    shares = rate_shares.RateShares()

    def admitted(passed):
        usage = rate_shares.Usage(
            demand_per_s={'o': 20.0},
            passed={'o': passed},
            incarnation='s1',
        )
        grant = shares.grant(
            'e1', usage=usage, limits=LIMITS, host_count=1, now_s=0.0
        )
        return grant.admitted_shares.get('o', 1.0)

    by_count = {}
    for passed in counts:
        share = admitted(passed)
        highest = max(by_count, default=0)
        if passed <= highest:
            assert share == by_count[highest]
        else:
            by_count[passed] = share
    assert by_count[60] == 0.0
