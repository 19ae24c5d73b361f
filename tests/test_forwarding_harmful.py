"""Requests that crash each upstream which runs them, over many hosts."""

import asyncio

import pytest

from skylarkpitch.forwarding import refusals
from tests.stand_ins import handler_fleet
from tests.stand_ins import virtual_time

CONTACT_S = 3.0
MAX_RETRIES = 3
HARMFUL = handler_fleet.HARMFUL


async def repeat(fleet, target, *, gap_s, ends_s):
    """Send a request again and again, each time to any host."""
    sent = []
    while fleet.now_s() < ends_s:
        sent.append(fleet.run_in_background(fleet.request(target)))
        await asyncio.sleep(fleet.rng.uniform(*gap_s))
    return [response.status for response in await asyncio.gather(*sent)]


async def play(
    fleet, *, targets=(HARMFUL,), gap_s=(0.2, 0.5), duration_s=12.0, per_s=40.0
):
    """Repeat harmful requests beside others; return all the statuses."""
    await fleet.start()
    ends_s = fleet.now_s() + duration_s
    others = fleet.requests(per_s=per_s, duration_s=duration_s)
    harmful = [
        repeat(fleet, target, gap_s=gap_s, ends_s=ends_s) for target in targets
    ]
    responses, *statuses = await asyncio.gather(others, *harmful)
    await fleet.stop()
    return [response.status for response in responses], statuses


def late_retries(fleet, target=HARMFUL, *, after_s=CONTACT_S):
    """Count the harmful requests that came too long after three crashes."""
    crashes = sorted(
        at_s
        for upstream in fleet.upstreams.values()
        for at_s, crashed_by in upstream.crashes
        if crashed_by == target
    )
    if len(crashes) < 3:
        return 0
    return sum(
        arrival.target == target and arrival.at_s > crashes[2] + after_s
        for arrival in fleet.arrivals
    )


# Guards against a harmful request that goes on crashing upstreams since each
# entry host counts its crashes alone.
@pytest.mark.parametrize('hosts', [1, 8, 89, 182])
@pytest.mark.parametrize('repeatable', [True, False])
def test_harmful_request_is_stopped_on_all_hosts(hosts, repeatable):
    fleet = handler_fleet.HandlerFleet(
        hosts=hosts, upstreams=12, seed=1, repeatable=repeatable
    )
    virtual_time.run(play(fleet))
    assert late_retries(fleet) <= MAX_RETRIES


# Guards against a quarantine that is lost with the leader that granted it,
# and against an entry host that starts without it.
def test_new_leader_and_new_host_learn_of_a_quarantine():
    fleet = handler_fleet.HandlerFleet(hosts=8, upstreams=12, seed=7)

    async def check():
        await fleet.start()
        ends_s = fleet.now_s() + 3.0
        await repeat(fleet, HARMFUL, gap_s=(0.2, 0.5), ends_s=ends_s)
        fleet.new_leader()
        await asyncio.sleep(1.0)
        added = fleet.add_host()
        await asyncio.sleep(1.5)
        arrived = len(fleet.arrivals)
        response = await fleet.request(HARMFUL, host=added)
        await fleet.stop()
        assert response.status == 503
        assert len(fleet.arrivals) == arrived

    virtual_time.run(check())


# Guards against a harmful request that goes on crashing upstreams at a host
# which control does not reach.
def test_host_without_control_stops_a_harmful_request_itself():
    fleet = handler_fleet.HandlerFleet(hosts=8, upstreams=12, seed=8)

    async def check():
        await fleet.start()
        fleet.hosts[0].is_connected = False
        for _number in range(20):
            await fleet.request(HARMFUL, host=fleet.hosts[0])
            await asyncio.sleep(0.3)
        await fleet.stop()

    virtual_time.run(check())
    assert sum(a.target == HARMFUL for a in fleet.arrivals) <= 3


def quarantined(fleet):
    return sum(
        outcome.reason == 'quarantined'
        for host in fleet.hosts
        for outcome in host.outcomes
    )


# Guards against a quarantine of requests that many callers send, and that
# upstreams were running when these crashed for another reason.
@pytest.mark.parametrize('seed', [1, 2, 3, 4])
@pytest.mark.parametrize('hosts', [1, 8, 89])
def test_upstreams_that_crash_together_quarantine_no_request(hosts, seed):
    fleet = handler_fleet.HandlerFleet(
        hosts=hosts, upstreams=24, seed=seed, work_s=0.2
    )

    async def check():
        await fleet.start()
        played = fleet.run_in_background(
            fleet.requests(per_s=150.0, duration_s=8.0, target='/pans/popular')
        )
        await asyncio.sleep(3.0)
        for upstream in list(fleet.upstreams.values())[::2]:
            upstream.crash('')
        await played
        await fleet.stop()

    virtual_time.run(check())
    assert quarantined(fleet) == 0


# Guards against a quarantine of requests whose responses upstreams broke off
# now and then without crashing.
@pytest.mark.parametrize('seed', [1, 2])
@pytest.mark.parametrize('hosts', [1, 8, 89])
def test_responses_that_break_off_quarantine_no_request(hosts, seed):
    fleet = handler_fleet.HandlerFleet(hosts=hosts, upstreams=12, seed=seed)
    for number in range(0, 12, 2):
        fleet.upstreams[f'u{number}'].break_off_share = 0.05
    targets = ('/pans/popular', '/pans/{}')

    async def check():
        await fleet.start()
        await asyncio.gather(
            *(
                fleet.requests(per_s=60.0, duration_s=20.0, target=target)
                for target in targets
            )
        )
        await fleet.stop()

    virtual_time.run(check())
    assert quarantined(fleet) == 0


# Guards against a crash that is not counted because of what the connection
# showed of it, such as a part of a response.
@pytest.mark.parametrize(
    'reason',
    [
        refusals.Reason.UPSTREAM_BROKE_OFF,
        refusals.Reason.MALFORMED_RESPONSE,
    ],
)
def test_crash_counts_whatever_the_connection_showed(reason):
    fleet = handler_fleet.HandlerFleet(
        hosts=1, upstreams=12, seed=2, crash_reason=reason
    )
    virtual_time.run(play(fleet))
    assert late_retries(fleet) <= MAX_RETRIES


# Guards against an error of a degraded upstream, which has not run the
# request, that removes the crashes counted against it.
@pytest.mark.parametrize('status', [500, 504])
def test_error_status_removes_no_suspicion(status):
    fleet = handler_fleet.HandlerFleet(
        hosts=1, upstreams=12, seed=3, repeatable=False
    )
    for number in range(0, 12, 2):
        fleet.upstreams[f'u{number}'].status = status
    virtual_time.run(play(fleet))
    assert late_retries(fleet) <= MAX_RETRIES


# Guards against crashes that are not counted since the upstream has crashed
# under another harmful request before, and starts again with its id.
def test_each_of_several_harmful_requests_is_stopped():
    fleet = handler_fleet.HandlerFleet(hosts=1, upstreams=6, seed=4)
    for upstream in fleet.upstreams.values():
        upstream.is_same_id = True
    targets = [f'{HARMFUL}/{number}' for number in range(4)]
    virtual_time.run(
        play(fleet, targets=targets, gap_s=(1.0, 2.0), duration_s=40.0)
    )
    counts = {target: late_retries(fleet, target) for target in targets}
    assert all(count <= MAX_RETRIES for count in counts.values()), counts


# Guards against harmful requests that are sent from a queue, or again after
# a rejection, once the request is quarantined.
@pytest.mark.parametrize('seed', [3, 4, 5, 6])
def test_waiting_harmful_requests_are_not_sent(seed):
    fleet = handler_fleet.HandlerFleet(
        hosts=1,
        upstreams=12,
        seed=seed,
        slots=1,
        work_s=1.0,
        repeatable=False,
        timeout_s=20.0,
        objective_s=15.0,
    )

    async def check():
        await fleet.start()
        background = fleet.run_in_background(
            fleet.requests(per_s=12.0, duration_s=12.0)
        )
        await asyncio.sleep(3.0)
        sent = [
            fleet.run_in_background(fleet.request(HARMFUL))
            for _number in range(30)
        ]
        await asyncio.gather(background, *sent)
        await fleet.stop()

    virtual_time.run(check())
    assert late_retries(fleet, after_s=0.01) == 0


# Guards against a harmful request that crashes three more upstreams each
# time that its quarantine ends.
@pytest.mark.parametrize('hosts', [1, 8, 30])
def test_harmful_request_is_stopped_when_its_quarantine_ends(hosts):
    fleet = handler_fleet.HandlerFleet(hosts=hosts, upstreams=12, seed=6)
    virtual_time.run(
        play(fleet, gap_s=(1.0, 2.0), duration_s=900.0, per_s=0.1)
    )
    assert late_retries(fleet) <= MAX_RETRIES


def play_at_full_load(*, targets, requests_at_once=1, leader_s=None, **fleet):
    """Repeat harmful requests where all upstreams are full.

    Each crash then leaves many other requests under suspicion. A new leader,
    which has seen no report, begins every ``leader_s``.
    """
    played = handler_fleet.HandlerFleet(
        hosts=8,
        upstreams=14,
        slots=6,
        work_s=0.24,
        crash_after_s=0.03,
        **fleet,
    )

    async def replace_leaders():
        while leader_s is not None:
            await asyncio.sleep(leader_s)
            played.new_leader()

    async def check():
        played.run_in_background(replace_leaders())
        await play(
            played,
            targets=targets * requests_at_once,
            gap_s=(0.15, 0.5),
            per_s=450.0,
        )

    virtual_time.run(check())
    return played


# Guards against a harmful request that goes on crashing upstreams which are
# full, so that each crash makes many other requests suspects as well.
@pytest.mark.parametrize(
    ('targets', 'options'),
    [
        ((HARMFUL,), {}),
        ((HARMFUL,), {'leader_s': 0.4}),
        ((HARMFUL,), {'leader_s': 1.5}),
        ((HARMFUL,), {'requests_at_once': 6}),
        (tuple(f'{HARMFUL}/{number}' for number in range(4)), {}),
    ],
    ids=['one', 'no-leader-for-long', 'new-leaders', 'six-at-once', 'four'],
)
def test_harmful_request_is_stopped_at_full_load(targets, options):
    fleet = play_at_full_load(targets=targets, seed=1, **options)
    counts = {target: late_retries(fleet, target) for target in targets}
    assert all(count <= MAX_RETRIES for count in counts.values()), counts
