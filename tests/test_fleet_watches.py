"""Test which changes a watch returns, when, and which host is watched."""

import asyncio

import pytest

from skylarkpitch.fleet import commands
from skylarkpitch.fleet import model
from skylarkpitch.fleet import sources
from skylarkpitch.fleet import state as fleet_state
from skylarkpitch.fleet import watches
from skylarkpitch.messages import fleet as messages
from tests.stand_ins import control_fleet
from tests.stand_ins import virtual_time

CLUSTER = 'cluster'
DISTANCES = {'a': 2, 'b': 0, 'c': 1, 'd': 1}


class Control:
    """A control host with a state and watches, without a network."""

    def __init__(self):
        self.state = fleet_state.FleetState()
        self.watches = watches.Watches(
            log=control_fleet.watched_log(CLUSTER),
            state=self.state,
            control_hosts=lambda: ('a',),
            clock=lambda: asyncio.get_running_loop().time(),
        )

    def change(self):
        index = self.state.index + 1
        host = model.EntryHost(
            name=f'e{index}',
            callers_address='10.0.0.1:80',
            region='east',
            failure_domain='east-a',
        )
        command = commands.RecordEntryHost(entry_host=host)
        self.state.apply(index, commands.encode(command))
        self.watches.notify_applied()

    async def watch(self, index, *, wait_s=0.8, cluster=CLUSTER):
        request = messages.WatchRequest(
            cluster=cluster, index=index, wait_s=wait_s
        )
        return await self.watches.handle('e1', request)


# Guards against a response for each change to each host: while hundreds of
# upstreams start or leave, that work grows with their product.
@pytest.mark.parametrize(
    ('interval_s', 'changes', 'most_responses'),
    [(0.0, 100, 1), (0.01, 100, 11), (0.5, 4, 4)],
    ids=['at-once', 'one-after-the-other', 'apart'],
)
def test_changes_that_follow_each_other_share_a_response(
    interval_s, changes, most_responses
):
    async def run():
        control = Control()
        control.change()
        index, responses = 1, 0

        async def change():
            for _number in range(changes):
                control.change()
                await asyncio.sleep(interval_s)

        task = asyncio.create_task(change())
        await asyncio.sleep(0)
        while index < changes + 1:
            response = await control.watch(index)
            responses += bool(response.rows)
            index = response.index
        await task
        return responses

    assert 1 <= virtual_time.run(run()) <= most_responses


@pytest.mark.parametrize(
    ('index', 'wait_s', 'cluster', 'whole', 'rows'),
    [
        (2, 0.0, CLUSTER, False, 0),
        (1, 0.0, CLUSTER, False, 1),
        (0, 0.8, CLUSTER, True, 2),
        (2, 0.8, 'other', True, 2),
    ],
    ids=['poll', 'poll-of-an-older-view', 'first', 'other-cluster'],
)
def test_polls_and_first_watches_do_not_wait(
    index, wait_s, cluster, whole, rows
):
    async def run():
        control = Control()
        control.change()
        control.change()
        started_s = asyncio.get_running_loop().time()
        response = await control.watch(index, wait_s=wait_s, cluster=cluster)
        return response, asyncio.get_running_loop().time() - started_s

    response, took_s = virtual_time.run(run())
    assert (response.whole, len(response.rows)) == (whole, rows)
    assert took_s == 0.0


def test_watch_without_a_change_returns_after_its_wait():
    async def run():
        control = Control()
        control.change()
        await asyncio.sleep(watches.GATHER_S)
        response = await control.watch(1)
        return response.index, control.watches.idle

    assert virtual_time.run(run()) == (1, 1)


# Guards against hosts that ask without a pause until there is a state: while
# a fleet starts, all entry hosts wait for the first part of it.
def test_watch_waits_while_there_is_no_state():
    async def run():
        control = Control()
        started_s = asyncio.get_running_loop().time()
        response = await control.watch(0)
        return response.index, asyncio.get_running_loop().time() - started_s

    index, took_s = virtual_time.run(run())
    assert (index, took_s) == (0, pytest.approx(0.8))


# Guards against the traffic between regions of watches that use a control
# host far away although there is one nearby.
@pytest.mark.parametrize(
    ('failed', 'in_use', 'expected'),
    [
        ((), (), {'b'}),
        ((), ('b',), {'c', 'd'}),
        (('b',), (), {'c', 'd'}),
        (('b', 'c', 'd'), (), {'a'}),
    ],
    ids=['nearest', 'second', 'nearest-failed', 'only-far-ones'],
)
def test_nearer_sources_are_used_first(failed, in_use, expected):
    found = set()
    for number in range(20):
        control_hosts = sources.Sources(
            host=f'e{number}', distance=DISTANCES.__getitem__
        )
        control_hosts.replace(DISTANCES)
        for name in failed:
            control_hosts.record_failure(name, now_s=0.0)
        found.add(control_hosts.best(now_s=0.5, in_use=in_use))
    assert found == expected


@pytest.mark.parametrize(
    ('removed', 'expected'), [(False, {'c1': 'east-b'}), (True, {})]
)
def test_last_record_of_a_control_host_is_kept(removed, expected):
    state = fleet_state.FleetState()
    items = [
        commands.RecordControlHost(
            control_host=model.ControlHost(name='c1', failure_domain=domain)
        )
        for domain in ('east-a', 'east-b')
    ]
    if removed:
        items.append(commands.RemoveControlHost(name='c1'))
    for index, item in enumerate(items, start=1):
        state.apply(index, commands.encode(item))
    restored = fleet_state.FleetState()
    restored.restore(state.snapshot())
    for current in (state, restored):
        domains = {
            n: h.failure_domain for n, h in current.control_hosts.items()
        }
        assert domains == expected
