"""Departures of upstreams: which incarnation has left, and which has not."""

import asyncio

import pytest

from skylarkpitch.fleet import control_requests
from skylarkpitch.fleet import departures
from skylarkpitch.fleet import model
from skylarkpitch.fleet import time_of_day
from skylarkpitch.fleet import waiting_callers
from tests.stand_ins import fleet_cluster
from tests.stand_ins import virtual_time
from tests import test_fleet_state as fleet_fixtures

LEAVE = control_requests.Leave(upstream_id='u1')


class Play:
    """Reports of one upstream to a control group, in virtual time.

    Times are seconds from the start of the play. ``leader`` and ``follower``
    are hosts of the group.
    """

    def __init__(self, cluster):
        self.cluster = cluster
        self._begin_s = asyncio.get_running_loop().time()
        self.leader = self._leader()
        self.follower = next(n for n in 'abcdef' if n != self.leader)

    def _leader(self):
        logs = self.cluster.logs.items()
        return next(name for name, log in logs if log.is_leader)

    def born_ms(self, at_s):
        return round((self._begin_s + at_s) * 1000)

    async def wait_until(self, at_s):
        now_s = asyncio.get_running_loop().time()
        await asyncio.sleep(self._begin_s + at_s - now_s)

    async def beat(self, *, born_s, sequence=1, **fields):
        reported = fleet_fixtures.upstream(
            born_ms=self.born_ms(born_s), sequence=sequence, **fields
        )
        await self.cluster.submit_until_accepted(
            self.follower, control_requests.Heartbeat(upstream=reported)
        )

    async def leave(self, host=None, **options):
        service = self.cluster.control_services[host or self.follower]
        return await service.execute(LEAVE, **options)

    async def leave_of(self, upstream_id, *, born_s=0.0):
        await self.cluster.submit_until_accepted(
            self.follower,
            control_requests.Leave(
                upstream_id=upstream_id, born_ms=self.born_ms(born_s)
            ),
        )

    async def kill_leader(self):
        await self.cluster.kill(self.leader)
        await self.cluster.wait_until(
            lambda: any(log.is_leader for log in self.cluster.logs.values())
        )
        self.leader = self._leader()
        self.follower = next(
            name for name in self.cluster.logs if name != self.leader
        )

    def recorded(self):
        """Return the recorded start times, in seconds of the play."""
        upstreams = self.cluster.states[self.leader].upstreams.values()
        return [item.born_ms / 1000 - self._begin_s for item in upstreams]


def run(play, *, clock_steps_s=0.0):
    async def scenario():
        cluster = fleet_cluster.FleetCluster(
            disk_delay_s=0.002, message_delay_s=0.01
        )
        await cluster.start('abcdef')
        await cluster.wait_for_voters(6)
        current = Play(cluster)
        for name in 'abcdef':
            cluster.clock_steps_s[name] = clock_steps_s
        try:
            await play(current)
            return [round(born_s, 1) for born_s in current.recorded()]
        finally:
            await cluster.stop()

    return virtual_time.run(scenario())


async def reborn_and_left(play, *, hosts=None):
    """Crash one incarnation; the next leaves before its first heartbeat."""
    await play.beat(born_s=-10.0)
    await play.wait_until(2.5)
    for host in hosts or [play.follower]:
        outcome = await play.leave(host)
        assert outcome.outcome == 'accepted'


async def late_heartbeat(play):
    await reborn_and_left(play)
    await play.wait_until(5.0)
    await play.beat(born_s=2.0)


async def late_heartbeat_at_a_new_leader(play):
    await reborn_and_left(play)
    await play.kill_leader()
    await play.beat(born_s=2.0)


async def late_heartbeat_after_a_resend(play):
    await reborn_and_left(play, hosts='abcdef')
    await play.wait_until(5.0)
    await play.beat(born_s=2.0)


async def first_heartbeat_before_the_departure(play):
    await play.beat(born_s=-10.0)
    await play.beat(born_s=2.0)
    await play.leave()
    await play.beat(born_s=2.0, sequence=2)


async def late_heartbeat_of_the_crashed_one(play):
    await reborn_and_left(play)
    await play.beat(born_s=-10.0, sequence=2)


# Guards against DRAIN: a departure without a start time was stored for the
# incarnation that had crashed, and a late heartbeat of the one that had left
# brought it back into use.
@pytest.mark.parametrize(
    'play',
    [
        late_heartbeat,
        late_heartbeat_at_a_new_leader,
        late_heartbeat_after_a_resend,
        first_heartbeat_before_the_departure,
        late_heartbeat_of_the_crashed_one,
    ],
)
def test_upstream_that_left_is_not_used_again(play):
    assert run(play) == []


async def expired_while_it_drained(play):
    """Lose all heartbeats after the one that says that it drains."""
    draining = model.UpstreamState.DRAINING
    await play.beat(born_s=-10.0, sequence=5, state=draining)
    await play.wait_until(8.0)
    assert play.recorded() == []
    await play.beat(born_s=-10.0, sequence=4)


# Guards against DRAIN: an upstream that drains and whose heartbeats are lost
# is forgotten, so that a late heartbeat of before it drained brings it back.
def test_late_heartbeat_does_not_undo_a_drain_that_expired():
    assert run(expired_while_it_drained) == []


async def started_again_after_it_left(play):
    await reborn_and_left(play, hosts='abcdef')
    await play.wait_until(3.0)
    await play.beat(born_s=2.9)


async def started_again_while_the_departure_waited(play):
    """Let a departure wait for 1.3 s; its caller gave up after a second."""
    await play.beat(born_s=-10.0)
    await play.wait_until(1.2)
    await play.beat(born_s=1.1)
    outcome = await play.leave(has_caller_left=lambda: True)
    assert outcome.reason == 'caller_left'
    await play.beat(born_s=1.1, sequence=2)


async def started_again_before_the_leader_decides(play):
    """Let the caller give up while its departure is passed on."""
    await play.beat(born_s=-10.0)
    answers = [False]
    pending = asyncio.create_task(
        play.leave(has_caller_left=lambda: answers.pop() if answers else True)
    )
    await play.beat(born_s=1.1)
    await pending
    await play.beat(born_s=1.1, sequence=2)


async def cut_off_before_its_caller_is_asked_about(play):
    await play.beat(born_s=-10.0)
    network = play.cluster.network
    pending = asyncio.create_task(play.leave())
    await asyncio.sleep(0.005)
    network.cut_pairs.add((play.leader, play.follower))
    await pending
    network.heal()
    await play.wait_until(1.2)
    await play.beat(born_s=1.1)


# Guards against a departure that takes a live upstream out of use for good:
# it was executed late, for whichever incarnation was recorded by then.
@pytest.mark.parametrize(
    ('play', 'born_s'),
    [
        (started_again_after_it_left, 2.9),
        (started_again_while_the_departure_waited, 1.1),
        (started_again_before_the_leader_decides, 1.1),
        (cut_off_before_its_caller_is_asked_about, 1.1),
    ],
)
def test_upstream_that_started_again_is_used(play, born_s):
    assert run(play) == [born_s]


async def departure_of_the_recorded_one(play):
    await play.beat(born_s=-1.0)
    await play.leave()
    await play.beat(born_s=-1.0, sequence=2)


async def started_again_within_the_difference(play):
    """Start again within the time by which the clock of control is ahead."""
    await play.beat(born_s=-10.0)
    await play.leave()
    await play.wait_until(1.2)
    await play.beat(born_s=1.1)
    await play.wait_until(departures.TRACE_LIFETIME_S + 2.0)
    await play.beat(born_s=1.1, sequence=2)


# Guards against a time of day that decides for good: the clocks of control
# hosts and upstreams differ, and control hosts were started with that.
@pytest.mark.parametrize(
    ('play', 'clock_steps_s', 'expected'),
    [
        (departure_of_the_recorded_one, -5.0, []),
        (departure_of_the_recorded_one, 5.0, []),
        (late_heartbeat, 5.0, []),
        (started_again_within_the_difference, 5.0, [1.1]),
    ],
)
def test_clocks_that_differ(play, clock_steps_s, expected, monkeypatch):
    monkeypatch.setattr(time_of_day, 'MAX_SLEW_MS', float('inf'))
    assert run(play, clock_steps_s=clock_steps_s) == expected


@pytest.mark.parametrize(
    ('play', 'expected'),
    [
        (late_heartbeat, []),
        (started_again_after_it_left, [2.9]),
    ],
)
@pytest.mark.parametrize('clock_steps_s', [-5.0, 5.0])
def test_clocks_of_control_hosts_that_step(play, clock_steps_s, expected):
    assert run(play, clock_steps_s=clock_steps_s) == expected


# Pairs of a time of day and a steady time, in seconds, and what is read.
@pytest.mark.parametrize(
    ('readings', 'expected_s'),
    [
        ([(1000.0, 0.0), (1001.0, 1.0)], 1001.0),
        ([(1000.0, 0.0), (1001.05, 1.0), (1002.1, 2.0)], 1002.1),
        ([(1000.0, 0.0), (1006.0, 1.0)], 1001.0),
        ([(1000.0, 0.0), (996.0, 1.0)], 1001.0),
        ([(1000.0, 0.0), (1006.0, 1.0), (1010.0, 10.0)], 1010.0),
        ([(1000.0, 0.0), (1006.0, 1.0), (1065.9, 60.9)], 1060.9),
        ([(1000.0, 0.0), (1006.0, 1.0), (1066.0, 61.0)], 1066.0),
        ([(1000.0, 0.0), (1031.0, 31.0)], 1031.0),
    ],
    ids=[
        'steady',
        'slewed',
        'step-forward',
        'step-backward',
        'step-and-back',
        'step-not-yet-followed',
        'step-that-lasts',
        'suspended',
    ],
)
def test_time_of_day_follows_a_step_only_if_it_lasts(readings, expected_s):
    first, *rest = readings
    clock = time_of_day.TimeOfDay(
        unix_ms=round(first[0] * 1000), running_s=first[1]
    )
    for unix_s, running_s in rest:
        read_ms = clock.read(unix_ms=round(unix_s * 1000), running_s=running_s)
    assert read_ms == round(expected_s * 1000)


@pytest.mark.parametrize(
    ('has_left', 'after_s', 'expected'),
    [
        (False, 0.0, True),
        (False, waiting_callers.CALLER_PATIENCE_S - 0.1, True),
        (False, waiting_callers.CALLER_PATIENCE_S + 0.1, False),
        (True, 0.0, False),
    ],
    ids=['waits', 'patient', 'cut-off', 'left'],
)
def test_caller_waits_until_it_leaves_or_has_lost_patience(
    has_left, after_s, expected
):
    callers = waiting_callers.WaitingCallers()
    with callers.waiting(lambda: has_left, now_s=100.0) as call_id:
        waits = callers.is_waiting(call_id, now_s=100.0 + after_s)
    assert waits is expected
    assert not callers.is_waiting(call_id, now_s=100.0)
    assert not callers.is_waiting('of-an-earlier-process', now_s=100.0)
