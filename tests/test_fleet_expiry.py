"""Removal of upstreams and entry hosts that have been silent."""

import asyncio
import functools
import types

import pytest

from skylarkpitch.fleet import commands
from skylarkpitch.fleet import control_requests
from skylarkpitch.fleet import control_service as control_services
from skylarkpitch.fleet import model
from skylarkpitch.fleet import state as fleet_state
from tests.stand_ins import virtual_time

# A commit takes a round trip between regions.
COMMIT_S = 0.12
HOSTS = 60


class Leader:
    """A leader whose replicated log commits each command after a delay."""

    def __init__(self):
        self.state = fleet_state.FleetState()
        self.removed = {}
        self._clock = asyncio.get_running_loop().time
        log = types.SimpleNamespace(
            is_leader=True, cluster='c', submit=self._submit
        )
        log.status = lambda: types.SimpleNamespace(leader='c1')
        self.control_service = control_services.ControlService(
            peers=types.SimpleNamespace(
                directory=types.SimpleNamespace(
                    local_host=types.SimpleNamespace(
                        name='c1', failure_domain='east-a'
                    )
                ),
                handle=lambda kind, handler: None,
            ),
            log=log,
            membership=types.SimpleNamespace(control_hosts=lambda: ('c1',)),
            state=self.state,
            heartbeat_s=1.0,
            region_of={}.get,
            clock=self._clock,
        )

    async def _submit(self, data, *, timeout_s):
        await asyncio.sleep(COMMIT_S)
        command = commands.decode(data)
        if isinstance(command, commands.RemoveEntryHost):
            self.removed[command.name] = self._clock()
        if isinstance(command, commands.RemoveUpstream):
            self.removed[command.upstream_id] = self._clock()
        return self.state.apply(self.state.index + 1, data)

    async def report(self, number):
        host = model.EntryHost(
            name=f'e{number}',
            callers_address=f'10.0.0.{number}:80',
            region='east',
            failure_domain='east-a',
        )
        await self.control_service.execute(
            control_requests.EntryReport(entry_host=host)
        )

    async def heartbeat(self, number, *, sequence):
        upstream = model.Upstream(
            upstream_id=f'u{number}',
            born_ms=1,
            sequence=sequence,
            service='desk',
            address=f'10.1.0.{number}:80',
            failure_domain='east-a',
            slots=4,
        )
        await self.control_service.execute(
            control_requests.Heartbeat(upstream=upstream)
        )


async def removals(*, kind, returning):
    """Return when silent ones are removed, and when their time-out passed.

    All are recorded at the same time. Those in ``returning`` are heard from
    again 0.5 s after the time-out.
    """
    leader = Leader()
    await leader.control_service.start()
    if kind == 'entry-hosts':
        timeout_s = control_services.ENTRY_HOST_TIMEOUT_S
        hear = again = leader.report
    else:
        timeout_s = control_services.UPSTREAM_TIMEOUT_INTERVALS
        hear = functools.partial(leader.heartbeat, sequence=1)
        again = functools.partial(leader.heartbeat, sequence=2)
    await asyncio.sleep(control_services.EXPIRY_INTERVAL_S * 2)
    await asyncio.gather(*(hear(number) for number in range(HOSTS)))
    due_s = asyncio.get_running_loop().time() - COMMIT_S + timeout_s
    await asyncio.sleep(due_s + 0.5 - asyncio.get_running_loop().time())
    await asyncio.gather(*(again(number) for number in returning))
    heard_s = asyncio.get_running_loop().time()
    await asyncio.sleep(1.0)
    await leader.control_service.stop()
    return leader.removed, due_s, heard_s


# Guards against removals one after the other: with hundreds of hosts the
# last of them took many seconds, and those that had come back were removed.
@pytest.mark.parametrize('kind', ['entry-hosts', 'upstreams'])
def test_silent_ones_are_removed_together(kind):
    removed, due_s, _heard_s = virtual_time.run(
        removals(kind=kind, returning=())
    )
    assert len(removed) == HOSTS
    assert max(removed.values()) - due_s < 1.0


@pytest.mark.parametrize('kind', ['entry-hosts', 'upstreams'])
def test_one_that_is_heard_from_again_is_not_removed_later(kind):
    removed, _due_s, heard_s = virtual_time.run(
        removals(kind=kind, returning=range(HOSTS))
    )
    assert not [at_s for at_s in removed.values() if at_s > heard_s]
