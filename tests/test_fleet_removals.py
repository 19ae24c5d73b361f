"""Upstreams that were removed for their silence, and their late heartbeats."""

import asyncio

import pytest

from skylarkpitch.consensus import engine
from skylarkpitch.fleet import commands
from skylarkpitch.fleet import control_requests
from skylarkpitch.fleet import control_service as control_services
from skylarkpitch.fleet import departures
from skylarkpitch.fleet import model
from skylarkpitch.fleet import state as fleet_state
from skylarkpitch.fleet import upstream_table
from tests.stand_ins import fleet_cluster
from tests.stand_ins import virtual_time
from tests import test_fleet_departures as departure_fixtures
from tests import test_fleet_state as fixtures

HEARTBEAT_S = 1.5
BORN_S = -10.0
# From the last heartbeat to the commit of the removal.
REMOVED_AFTER_S = (
    control_services.UPSTREAM_TIMEOUT_INTERVALS * HEARTBEAT_S + 0.9
)
DRAINING = {'state': model.UpstreamState.DRAINING}
# So few that the hosts soon start from snapshots.
LIMITS = engine.Limits(snapshot_entries=4, retained_entries=1)


class Play(departure_fixtures.Play):
    """Reports of one upstream, and long silences of it."""

    async def report(self, sequence, *, host=None, born_s=BORN_S, **fields):
        reported = fixtures.upstream(
            born_ms=self.born_ms(born_s), sequence=sequence, **fields
        )
        await self.cluster.submit_until_accepted(
            host or self.follower,
            control_requests.Heartbeat(upstream=reported),
        )

    async def be_silent(self, *, for_s=REMOVED_AFTER_S):
        """Send nothing until the upstream is removed."""
        await asyncio.sleep(for_s)
        assert self.recorded() == []

    async def drain_and_be_silent(self, sequence=5):
        await self.report(sequence, **DRAINING)
        await self.be_silent()

    async def restart_all_hosts(self):
        await self.cluster.stop()
        await self.cluster.start('abcdef', is_first_start=False)
        await self.cluster.wait_until(
            lambda: any(log.is_leader for log in self.cluster.logs.values())
        )
        self.leader = self._leader()
        self.follower = next(n for n in 'abcdef' if n != self.leader)

    def usable(self):
        """Return whether an upstream is recorded that entry hosts would use.

        None stands for no upstream at all.
        """
        states = [
            item.state
            for item in self.cluster.states[self.leader].upstreams.values()
            if item.upstream_id == 'u1'
        ]
        return states[0] is model.UpstreamState.READY if states else None


def run(play, *, limits=None):
    async def scenario():
        cluster = fleet_cluster.FleetCluster(
            disk_delay_s=0.002, message_delay_s=0.01, limits=limits
        )
        await cluster.start('abcdef')
        await cluster.wait_for_voters(6)
        current = Play(cluster)
        try:
            await play(current)
            return current.usable()
        finally:
            await cluster.stop()

    return virtual_time.run(scenario())


async def late_heartbeat(play):
    await play.report(4)
    await play.drain_and_be_silent()
    await play.report(4)


async def late_heartbeat_at_the_leader(play):
    await play.report(4)
    await play.drain_and_be_silent()
    await play.report(4, host=play.leader)


async def repeated_heartbeat(play):
    """Deliver the heartbeat of before the drain twice, and the drain too."""
    await play.report(4)
    await play.drain_and_be_silent()
    await play.report(4)
    await play.report(5, **DRAINING)
    await play.report(4)


async def two_silences(play):
    await play.report(4)
    await play.drain_and_be_silent(5)
    await play.report(4)
    await play.report(6, **DRAINING)
    await play.be_silent()
    await play.report(5)


async def late_heartbeat_at_a_new_leader(play):
    await play.report(4)
    await play.drain_and_be_silent()
    await play.kill_leader()
    await play.report(4)


async def new_leader_before_the_removal(play):
    await play.report(4)
    await play.report(5, **DRAINING)
    await play.kill_leader()
    await play.be_silent()
    await play.report(4)


async def late_heartbeat_after_a_restart(play):
    await play.report(4)
    await play.drain_and_be_silent()
    await play.restart_all_hosts()
    await play.report(4)


async def address_used_by_another(play):
    """Let another upstream come to the address, and leave it."""
    await play.report(4)
    await play.report(5, **DRAINING)
    await play.report(1, name='u2', born_s=0.0)
    await play.leave_of('u2')
    # The leader drops what it last heard of the first one.
    await asyncio.sleep(HEARTBEAT_S)
    await play.report(4)


async def last_heartbeat_is_repeated_by_a_new_leader(play):
    """Keep the last of many heartbeats, none of which changed anything."""
    await play.report(1, **DRAINING)
    for sequence in range(2, 6):
        await asyncio.sleep(HEARTBEAT_S)
        await play.report(sequence, **DRAINING)
    await play.be_silent()
    await play.kill_leader()
    await play.report(3)


async def earlier_incarnation(play):
    """Deliver a heartbeat of the incarnation that had crashed before."""
    await play.report(9)
    await play.report(1, born_s=-2.0)
    await play.be_silent()
    await play.report(8)


async def departure_of_an_earlier_incarnation(play):
    """Let an order about an earlier incarnation arrive beside it."""
    await play.report(4)
    await play.drain_and_be_silent()
    await play.leave_of('u1', born_s=BORN_S - 5.0)
    await play.report(4)


# Guards against DRAIN: an upstream that drained and was then silent was
# forgotten, and a heartbeat of before the drain brought it back into use.
@pytest.mark.parametrize('limits', [None, LIMITS], ids=['journal', 'snapshot'])
@pytest.mark.parametrize(
    'play',
    [
        late_heartbeat,
        late_heartbeat_at_the_leader,
        repeated_heartbeat,
        two_silences,
        late_heartbeat_at_a_new_leader,
        new_leader_before_the_removal,
        late_heartbeat_after_a_restart,
        address_used_by_another,
        last_heartbeat_is_repeated_by_a_new_leader,
        earlier_incarnation,
        departure_of_an_earlier_incarnation,
    ],
)
def test_late_heartbeat_does_not_bring_back_an_earlier_state(play, limits):
    assert run(play, limits=limits) is None


async def started_again(play):
    """Start again under the id of one that drained and was forgotten."""
    await play.drain_and_be_silent()
    await play.report(1, born_s=0.5)


async def heartbeat_after_the_silence(play):
    await play.report(1)
    await play.be_silent()
    await play.report(2)


async def older_heartbeat_first(play):
    """Deliver a heartbeat of before the silence, and then the next one."""
    await play.report(3)
    await play.be_silent()
    await play.report(2)
    await play.report(4)


async def ready_again(play):
    await play.drain_and_be_silent()
    await play.report(6)


async def started_again_with_a_clock_behind(play):
    """Start again, with a start time before that of the silent one."""
    await play.drain_and_be_silent()
    await asyncio.sleep(departures.TRACE_LIFETIME_S + 1.0)
    await play.report(1, born_s=BORN_S - 2.0)


async def other_upstream_leaves_the_address(play):
    """Be taken for gone because of another, which claims the address."""
    await play.report(1)
    await play.report(1, name='u2', born_s=0.0)
    await play.leave_of('u2')
    await play.report(2)


async def heartbeat_beside_the_removal(play):
    """Be heard from at the moment at which the leader decides to remove."""
    await play.report(1)
    for step in range(8):
        await asyncio.sleep(REMOVED_AFTER_S - 0.9 + 0.05 * step)
        await play.report(2 + step)
    await asyncio.sleep(HEARTBEAT_S)
    await play.report(20)


# Guards against a memory of removed upstreams that keeps a live one out.
@pytest.mark.parametrize('limits', [None, LIMITS], ids=['journal', 'snapshot'])
@pytest.mark.parametrize(
    'play',
    [
        started_again,
        heartbeat_after_the_silence,
        older_heartbeat_first,
        ready_again,
        started_again_with_a_clock_behind,
        other_upstream_leaves_the_address,
        heartbeat_beside_the_removal,
    ],
)
def test_upstream_that_is_heard_from_again_is_used(play, limits):
    assert run(play, limits=limits) is True


async def silent_for_long(play):
    await play.report(1)
    await play.report(2, **DRAINING)
    await play.be_silent()
    assert play.cluster.states[play.leader].upstream_table.removed
    await asyncio.sleep(departures.TRACE_LIFETIME_S + 1.0)
    tables = [state.upstream_table for state in play.cluster.states.values()]
    assert [table.removed for table in tables] == [{}] * len(tables)


def test_traces_of_silent_upstreams_are_forgotten():
    assert run(silent_for_long) is None


def silent(*, sequence=None, born_ms=100):
    return commands.RemoveUpstream(
        upstream_id='u1', born_ms=born_ms, left=False, sequence=sequence
    )


def forget(sequence, *, born_ms=100):
    return commands.ForgetRemoved(
        upstream_id='u1', born_ms=born_ms, sequence=sequence
    )


RECORDED = fixtures.record(sequence=3)


@pytest.mark.parametrize(
    ('items', 'recorded', 'removed'),
    [
        ([RECORDED, silent(sequence=5)], None, (100, 5)),
        ([RECORDED, silent(sequence=2)], 3, None),
        ([RECORDED, silent()], None, (100, 3)),
        ([silent(sequence=5)], None, None),
        (
            [RECORDED, silent(sequence=5), fixtures.record(sequence=5)],
            None,
            (100, 5),
        ),
        (
            [RECORDED, silent(sequence=5), fixtures.record(sequence=6)],
            6,
            None,
        ),
        (
            [
                RECORDED,
                silent(sequence=5),
                fixtures.record(sequence=1, born_ms=200),
            ],
            1,
            None,
        ),
        (
            [
                RECORDED,
                silent(sequence=5),
                fixtures.record(sequence=9, born_ms=99),
            ],
            None,
            (100, 5),
        ),
        ([RECORDED, silent(sequence=5), forget(5)], None, None),
        ([RECORDED, silent(sequence=5), forget(4)], None, (100, 5)),
        (
            [RECORDED, silent(sequence=5), forget(5, born_ms=99)],
            None,
            (100, 5),
        ),
        ([RECORDED, silent(sequence=5), fixtures.leave()], None, None),
        (
            [RECORDED, silent(sequence=5), fixtures.leave(born_ms=99)],
            None,
            (100, 5),
        ),
        ([RECORDED, fixtures.leave()], None, None),
        ([RECORDED, fixtures.mark(100)], None, (100, 3)),
        ([RECORDED, fixtures.record('u2', born_ms=200)], None, (100, 3)),
    ],
    ids=[
        'silent',
        'heard-from-since',
        'of-an-earlier-release',
        'not-recorded',
        'same-report-again',
        'later-report',
        'started-again',
        'earlier-incarnation',
        'forgotten',
        'forget-of-an-earlier-report',
        'forget-of-another-incarnation',
        'leaves-after-all',
        'earlier-incarnation-leaves',
        'left',
        'left-by-a-mark',
        'address-used-again',
    ],
)
def test_removed_upstream_leaves_its_last_revision(items, recorded, removed):
    state = fixtures.applied(*items)
    restored = fleet_state.FleetState()
    restored.restore(state.snapshot())
    for item in (state, restored):
        upstream = item.upstreams.get('u1')
        assert (upstream and upstream.sequence) == recorded
        assert item.upstream_table.removed.get('u1') == removed


def test_number_of_removed_upstreams_is_bounded(monkeypatch):
    monkeypatch.setattr(upstream_table, 'MAX_REMOVED', 3)
    reports = [
        fixtures.record(f'u{number}', address=f'10.0.0.{number}:80')
        for number in range(5)
    ]
    silences = [
        commands.RemoveUpstream(
            upstream_id=f'u{number}', born_ms=100, left=False, sequence=1
        )
        for number in range(5)
    ]
    state = fixtures.applied(*reports, *silences)
    assert list(state.upstream_table.removed) == ['u2', 'u3', 'u4']


# Entry hosts of any release are sent what they use, and nothing else.
def test_traces_are_not_sent_to_entry_hosts():
    state = fixtures.applied(RECORDED, silent(sequence=5))
    rows = fleet_state.shared_rows(state.parts.rows())
    assert {key[0] for key, _version, _value in rows} == {fleet_state.UPSTREAM}
