"""What an entry host asks of control hosts, and when."""

import asyncio
import types

import pytest

from skylarkpitch.fleet import commands
from skylarkpitch.fleet import control_requests
from skylarkpitch.fleet import model
from skylarkpitch.fleet import subscriber as subscribers
from skylarkpitch.fleet import view as views
from skylarkpitch.messages import fleet as messages
from skylarkpitch import sentinels
from tests.stand_ins import virtual_time
from tests import test_fleet_state as fleet_fixtures

ROUND_TRIP_S = 0.02
DOMAINS = {'c1': 'west-a', 'c2': 'east-b', 'c3': 'east-a'}
HOST = model.EntryHost(
    name='e1',
    callers_address='10.0.0.1:80',
    region='east',
    failure_domain='east-a',
)


class ControlHosts:
    """Three control hosts with the same state; some do not respond.

    The ``strangers`` belong to another cluster from the moment on at which
    an entry host has its first view, and name hosts of that one.
    """

    def __init__(self, *, silent=(), strangers=()):
        self.silent = frozenset(silent)
        self.strangers = frozenset(strangers)
        self.asked = []
        self.state = fleet_fixtures.applied(
            fleet_fixtures.put(1),
            *(
                commands.RecordControlHost(
                    control_host=model.ControlHost(
                        name=name, failure_domain=domain
                    )
                )
                for name, domain in DOMAINS.items()
            ),
        )
        self.directory = types.SimpleNamespace(
            local_host=types.SimpleNamespace(
                name='e1', region='east', failure_domain='east-a'
            )
        )

    async def request(self, host, message, *, timeout_s):
        now_s = asyncio.get_running_loop().time()
        self.asked.append((host, message, now_s))
        if host in self.silent:
            await asyncio.sleep(timeout_s)
            return sentinels.Absent('peer_timeout')
        await asyncio.sleep(ROUND_TRIP_S)
        if isinstance(message, messages.SubmitRequest):
            return control_requests.accepted()
        if message.index >= self.state.index:
            await asyncio.sleep(message.wait_s)
        response = fleet_fixtures.watch_response(self.state, message.index)
        if host in self.strangers and message.cluster:
            return messages.WatchResponse(
                cluster='other',
                index=message.index,
                whole=False,
                heard_age_s=0.0,
                rows=(),
                control_hosts=('x1', 'x2'),
            )
        return messages.WatchResponse(
            cluster=response.cluster,
            index=response.index,
            whole=response.whole,
            heard_age_s=0.0,
            rows=response.rows,
            control_hosts=tuple(DOMAINS),
        )


def asked_of(control_hosts, *, duration_s, seeds=lambda now_s: tuple(DOMAINS)):
    """Return the view of an entry host, and the time of its start."""

    async def run():
        loop = asyncio.get_running_loop()
        view = views.FleetView()
        started_s = loop.time()
        subscriber = subscribers.Subscriber(
            peers=control_hosts,
            view=view,
            seeds=lambda: seeds(loop.time() - started_s),
            on_changed=lambda changes: None,
            report=lambda: control_requests.EntryReport(entry_host=HOST),
            on_grant=lambda grant: None,
            region_of=lambda domain: domain[:4],
            clock=loop.time,
        )
        await subscriber.start()
        await asyncio.sleep(duration_s)
        await subscriber.stop()
        return view, started_s

    return virtual_time.run(run())


# Guards against a restarted host that look-ups do not return, and that has
# no grant for rates, until its next regular report.
def test_host_reports_as_soon_as_it_is_ready():
    control_hosts = ControlHosts()
    _view, started_s = asked_of(control_hosts, duration_s=2.0)
    reports = [
        at_s - started_s
        for _host, message, at_s in control_hosts.asked
        if isinstance(message, messages.SubmitRequest)
    ]
    assert reports[0] <= 2 * ROUND_TRIP_S + subscribers.READY_CHECK_INTERVAL_S


@pytest.mark.parametrize(
    ('silent', 'expected'),
    [((), 'c3'), (('c3',), 'c2'), (('c2', 'c3'), 'c1')],
    ids=['nearest', 'same-region', 'other-region'],
)
def test_nearest_control_host_that_responds_is_watched(silent, expected):
    control_hosts = ControlHosts(silent=silent)
    view, _started_s = asked_of(control_hosts, duration_s=12.0)
    assert view.index == control_hosts.state.index
    watched = [
        host
        for host, message, _at_s in control_hosts.asked
        if isinstance(message, messages.WatchRequest)
        and message.wait_s > 0
        and host not in silent
    ]
    assert watched[-1] == expected


# Guards against a state that is sent to each host more than once.
def test_whole_state_is_requested_once():
    control_hosts = ControlHosts()
    asked_of(control_hosts, duration_s=5.0)
    whole = [
        host
        for host, message, _at_s in control_hosts.asked
        if isinstance(message, messages.WatchRequest) and not message.index
    ]
    assert len(whole) == 1


# Guards against a change that waits for the time-out of a watch.
def test_change_arrives_by_a_poll_while_the_watched_host_is_silent():
    class Changing(ControlHosts):
        """The host that is watched stops responding, then a change comes."""

        async def request(self, host, message, *, timeout_s):
            if not self.silent and len(self.asked) == 10:
                self.silent = frozenset(('c3',))
                index = self.state.index + 1
                self.state.apply(index, commands.encode(fleet_fixtures.put(2)))
                self.changed_s = asyncio.get_running_loop().time()
            response = await super().request(
                host, message, timeout_s=timeout_s
            )
            if getattr(response, 'index', 0) == self.state.index:
                now_s = asyncio.get_running_loop().time()
                self.found_s.append(now_s)
            return response

    control_hosts = Changing()
    control_hosts.found_s = []
    view, _started_s = asked_of(control_hosts, duration_s=8.0)
    assert view.version == 2
    found_s = min(
        at_s
        for at_s in control_hosts.found_s
        if at_s > control_hosts.changed_s
    )
    delay_s = found_s - control_hosts.changed_s
    assert delay_s <= subscribers.POLL_INTERVAL_S + 2 * ROUND_TRIP_S


# Guards against a host that takes the control hosts of another cluster for
# its own, and its view for current, after an address was used again.
@pytest.mark.parametrize('strangers', [('c3',), ('c2', 'c3')])
def test_responses_of_another_cluster_change_nothing(strangers):
    control_hosts = ControlHosts(strangers=strangers)
    view, _started_s = asked_of(control_hosts, duration_s=12.0)
    assert view.index == control_hosts.state.index
    assert {host for host, _message, _at_s in control_hosts.asked} <= set(
        DOMAINS
    )
    watches = [
        host
        for host, message, _at_s in control_hosts.asked[-8:]
        if isinstance(message, messages.WatchRequest)
    ]
    assert set(watches) - set(strangers)


GONE = ('x1', 'x2', 'x3')
NEW = ('n1', 'n2')


# Guards against an entry host that never finds the control group, since it
# read its settings once, when all hosts in them had been replaced.
def test_seeds_that_were_replaced_are_read_again():
    control_hosts = ControlHosts(silent=GONE)
    view, _started_s = asked_of(
        control_hosts,
        duration_s=8.0,
        seeds=lambda now_s: GONE if now_s < 3.0 else tuple(DOMAINS),
    )
    assert view.index == control_hosts.state.index


# Guards against an entry host that never finds the control group again: all
# control hosts that it knew were replaced while it was cut off.
def test_seeds_are_asked_while_no_known_control_host_responds():
    class Replaced(ControlHosts):
        """Control hosts that are all replaced by others after a time."""

        async def request(self, host, message, *, timeout_s):
            if asyncio.get_running_loop().time() - self.started_s > 3.0:
                self.silent = frozenset(DOMAINS)
            is_new = host in NEW and self.state.configuration_version == 1
            if is_new:
                index = self.state.index + 1
                self.state.apply(index, commands.encode(fleet_fixtures.put(2)))
            return await super().request(host, message, timeout_s=timeout_s)

    async def create():
        return asyncio.get_running_loop().time()

    control_hosts = Replaced()
    control_hosts.started_s = virtual_time.run(create())
    view, _started_s = asked_of(
        control_hosts,
        duration_s=12.0,
        seeds=lambda now_s: tuple(DOMAINS) if now_s < 3.0 else NEW,
    )
    assert view.version == 2
