"""Changes reach an entry host while control hosts of its region are behind.

A whole control group in virtual time, with the real log, and one entry host.
"""

import asyncio
import types

import pytest
from skylark_platform import calls

from skylarkpitch.consensus import engine as engines
from skylarkpitch.consensus import state as consensus_state
from skylarkpitch.fleet import control_requests
from skylarkpitch.fleet import model
from skylarkpitch.fleet import subscriber as subscribers
from skylarkpitch.fleet import view as views
from skylarkpitch.messages import consensus as messages
from tests.stand_ins import connection_guards
from tests.stand_ins import fake_peers
from tests.stand_ins import fleet_cluster
from tests.stand_ins import lossy_network
from tests.stand_ins import virtual_time
from tests import test_fleet_state as fleet_fixtures

TIMING = consensus_state.Timing(
    heartbeat_s=0.12, election_min_s=0.5, election_max_s=1.7
)
# Two control hosts in each of three regions; the first four letters of a
# failure domain are its region.
DOMAINS = {
    'a': 'west-a',
    'b': 'west-b',
    'c': 'north-a',
    'd': 'north-b',
    'e': 'east-a',
    'f': 'east-b',
    'x': 'east-a',
}
HOST = model.EntryHost(
    name='x',
    callers_address='10.0.0.1:80',
    region='east',
    failure_domain='east-a',
)
# From the acknowledgement of a change until it is in force.
CONFIG_APPLY_S = 2.5
CONTACT_S = 3.0
LIMITS = engines.Limits(snapshot_entries=20, retained_entries=2)
DOWN_S = 1.0


def loses_snapshots(behind):
    """Return a fault: snapshots do not arrive, everything else does."""

    def loses(_sender, receiver, message):
        is_snapshot = isinstance(message, messages.SnapshotChunk)
        return receiver in behind and is_snapshot

    return loses


def loses_entries(behind):
    """Return a fault: neither entries nor snapshots arrive."""
    loses_snapshot = loses_snapshots(behind)

    def loses(sender, receiver, message):
        has_entries = bool(getattr(message, 'entries', ()))
        if receiver in behind and has_entries:
            return True
        return loses_snapshot(sender, receiver, message)

    return loses


def loses_responses(behind):
    """Return a fault: what the hosts respond to the leader is lost."""

    def loses(sender, _receiver, message):
        kinds = (messages.AppendResponse, messages.SnapshotResponse)
        return sender in behind and isinstance(message, kinds)

    return loses


def heartbeat(number):
    """Return a heartbeat that changes what is recorded of an upstream."""
    return control_requests.Heartbeat(
        upstream=fleet_fixtures.upstream(
            sequence=number + 1, slots=1 + number % 2
        )
    )


class Play:
    """A control group, and the view of an entry host of the east."""

    def __init__(self, folder):
        self.cluster = fleet_cluster.FleetCluster(
            folder=folder,
            timing=TIMING,
            disk_delay_s=0.002,
            limits=LIMITS,
            network=lossy_network.LossyNetwork(
                hosts=[
                    fake_peers.host(
                        name,
                        roles=(),
                        region=domain[:4],
                        failure_domain=domain,
                    )
                    for name, domain in DOMAINS.items()
                ],
                delay_s=0.02,
            ),
        )
        self.view = views.FleetView()
        self.subscriber = subscribers.Subscriber(
            peers=self.cluster.network.join('x'),
            view=self.view,
            seeds=lambda: ('a', 'b', 'c'),
            on_changed=lambda changes: None,
            report=lambda: control_requests.EntryReport(entry_host=HOST),
            on_grant=lambda grant: False,
            region_of=lambda domain: domain[:4],
            clock=asyncio.get_running_loop().time,
        )

    async def start(self):
        await self.cluster.start('abcdef')
        await self.cluster.wait_for_voters(6)
        await self.put(1)
        await self.subscriber.start()
        await self.in_force(1)

    async def stop(self):
        await self.subscriber.stop()
        await self.cluster.stop()

    def leader(self):
        (leader,) = (
            n for n, log in self.cluster.logs.items() if log.is_leader
        )
        return leader

    async def put(self, version):
        await self.cluster.submit_until_accepted(
            'c', fleet_fixtures.put(version)
        )

    async def empty(self, names):
        """Let hosts lose their disks, and start again."""
        for number in range(2 * LIMITS.snapshot_entries):
            await self.cluster.submit_until_accepted('c', heartbeat(number))
        for name in names:
            await self.cluster.kill(name)
            self.cluster.wipe(name)
        await asyncio.sleep(DOWN_S)
        await self.cluster.start(names, is_first_start=False)

    def cut(self, names):
        """Cut hosts off from all others."""
        for name in names:
            for other in set(DOMAINS) - set(names):
                self.cluster.network.cut(name, other)

    async def in_force(self, version):
        """Wait until the entry host has a version; return how long."""
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        await self.cluster.wait_until(lambda: self.view.version >= version)
        return loop.time() - started_s


def delays_s(folder, *, fault, behind, versions, emptied=False):
    """Return the times from each acknowledgement until it is in force."""

    async def run():
        play = Play(folder)
        await play.start()
        assert play.leader() not in 'ef'
        play.cluster.network.losses.add(fault(behind))
        if emptied:
            await play.empty(behind)
        found = []
        for version in range(2, versions + 2):
            await asyncio.sleep(CONTACT_S)
            await play.put(version)
            found.append(await play.in_force(version))
        await play.stop()
        return found

    return virtual_time.run(run())


# Guards against entry hosts that keep an older configuration: both control
# hosts of their region hear the leader, and lack what it has committed.
@pytest.mark.parametrize('behind', ['e', 'f', 'ef', 'be'])
def test_change_is_in_force_while_emptied_hosts_lack_a_snapshot(
    tmp_path, behind
):
    found = delays_s(
        tmp_path,
        fault=loses_snapshots,
        behind=behind,
        versions=4,
        emptied=True,
    )
    assert max(found) <= CONFIG_APPLY_S


@pytest.mark.parametrize('fault', [loses_entries, loses_responses])
@pytest.mark.parametrize('behind', ['', 'e', 'f', 'ef', 'be'])
def test_change_is_in_force_while_messages_of_hosts_are_lost(
    tmp_path, fault, behind
):
    found = delays_s(tmp_path, fault=fault, behind=behind, versions=4)
    assert max(found) <= CONFIG_APPLY_S


def look_up(play, name):
    """Return the status of a look-up at a control host."""
    handle = calls.handler(
        calls.Context(
            control_service=play.cluster.control_services[name],
            bodies=connection_guards.bodies(),
            own_ip=name,
            control_port='1',
            region_of=lambda domain: domain[:4],
        )
    )
    request = types.SimpleNamespace(
        path='/resolve', method='GET', query={'Zone': 'east-a'}
    )
    return handle(request)


# Guards against look-ups that name an entry host which is gone: a control
# host that hears the leader and lacks what it has committed answered them.
@pytest.mark.parametrize(
    ('fault', 'cut', 'expected'),
    [
        (loses_snapshots, False, {'e': 503, 'f': 503}),
        (loses_entries, False, {'e': 503, 'f': 503}),
        (loses_entries, True, {'e': 200, 'f': 200}),
    ],
    ids=['all-current', 'behind', 'cut-off'],
)
def test_look_ups_are_answered_by_current_or_cut_off_hosts(
    tmp_path, fault, cut, expected
):
    async def run():
        play = Play(tmp_path)
        await play.start()
        await asyncio.sleep(CONTACT_S)
        play.cluster.network.losses.add(fault('ef'))
        if cut:
            play.cut('ef')
        await play.subscriber.stop()
        await asyncio.sleep(6 * CONTACT_S)
        found = {}
        for name in expected:
            response = await look_up(play, name)
            found[name] = response.status
        await play.cluster.stop()
        return found

    assert virtual_time.run(run()) == expected
