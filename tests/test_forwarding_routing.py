"""Routes of requests, and services of routes."""

import asyncio
import collections
import types

import multidict
import pytest

from skylarkpitch.fleet import commands
from skylarkpitch.fleet import model
from skylarkpitch.fleet import state as fleet_state
from skylarkpitch.fleet import view as views
from skylarkpitch.forwarding import admission
from skylarkpitch.forwarding import callers
from skylarkpitch.forwarding import calls
from skylarkpitch.forwarding import header_names
from skylarkpitch.forwarding import refusals
from skylarkpitch.forwarding import routing
from tests.stand_ins import connection_guards
from tests.stand_ins import virtual_time
from tests import test_fleet_state as fleet_fixtures


def route(name='r', prefix='/', **fields):
    values = {
        'name': name,
        'host': 'pans.example',
        'path_prefix': prefix,
        'repeatable': True,
        'timeout_ms': 800.0,
        'objective_ms': 300.0,
        'max_upstreams': 2,
        'rank': 1,
        'services': (model.WeightedService(service='desk', weight=1),),
        **fields,
    }
    return model.Route(**values)


ROUTES = [
    route('root', '/'),
    route('pans', '/pans/'),
    route('lids', '/pans/lids/'),
    route('other', '/pans/', host='other.example'),
]


@pytest.mark.parametrize(
    ('host', 'path', 'expected'),
    [
        ('pans.example', '/pans/lids/7', 'lids'),
        ('PANS.example', '/pans/7', 'pans'),
        ('pans.example', '/pans', 'root'),
        ('pans.example', '/pans/lidsx', 'pans'),
        ('other.example', '/pans/lids/7', 'other'),
        ('other.example', '/', None),
        ('else.example', '/pans/', None),
        ('pans.example', '', None),
    ],
)
def test_longest_prefix_wins(host, path, expected):
    found = routing.RoutingTable(ROUTES).find(host, path)
    assert (found.name if found else None) == expected


def test_split_follows_its_weights_at_every_step():
    parts = (('a', 70), ('b', 30), ('c', 0))
    split = route(
        services=tuple(
            model.WeightedService(service=name, weight=weight)
            for name, weight in parts
        )
    )
    splitter = routing.Splitter()
    counts = {'a': 0, 'b': 0, 'c': 0}
    for number in range(1, 201):
        counts[splitter.next_service(split)] += 1
        assert abs(counts['a'] - 0.7 * number) <= 1
    assert counts['c'] == 0


# Guards against internal errors by weights that an earlier release took.
@pytest.mark.parametrize(
    ('weights', 'expected'),
    [
        ((float('nan'), float('nan')), {'a': 20}),
        ((float('nan'), 1.0), {'b': 20}),
        ((float('inf'), 1.0), {'b': 20}),
        ((1e308, 1e308), {'a': 10, 'b': 10}),
        ((5e-324, 5e-324), {'a': 10, 'b': 10}),
    ],
    ids=['none', 'one-is-no-number', 'infinite', 'very-large', 'very-small'],
)
def test_split_with_odd_weights_has_a_service_for_each_request(
    weights, expected
):
    split = route(
        services=tuple(
            model.WeightedService(service=name, weight=weight)
            for name, weight in zip('ab', weights, strict=True)
        )
    )
    splitter = routing.Splitter()
    counts = collections.Counter(
        splitter.next_service(split) for _number in range(20)
    )
    assert counts == expected


class HeldBody:
    """Body of a request that ends when the test lets it."""

    def __init__(self):
        self.is_read = asyncio.Event()
        self._chunks = [b'order', b'']

    async def readany(self):
        await self.is_read.wait()
        return self._chunks.pop(0)


class EntryHost:
    """Admission of an entry host that follows a control group."""

    def __init__(self):
        self.view = views.FleetView()
        self.state = fleet_state.FleetState()
        self.admission = admission.Admission(
            view=self.view,
            names=header_names.HeaderNames(),
            rate_tolerance=callers.RateTolerance(),
            is_serving=lambda: True,
            clock=asyncio.get_running_loop().time,
            bodies=connection_guards.bodies(),
        )

    def configure(
        self, version, *, services, keys=('key',), timeout_ms=6000.0
    ):
        """Apply a configuration with a route, unless it has no services."""
        parts = tuple(
            model.WeightedService(service=name, weight=weight)
            for name, weight in services.items()
        )
        moved = route('r', '/pans/', services=parts, timeout_ms=timeout_ms)
        item = fleet_fixtures.put(
            version,
            routes=(moved,) if parts else (),
            services=tuple(
                model.Service(name=name, health_path='/') for name in 'abc'
            ),
            organisations=(model.Organisation(name='o', api_keys=keys),),
        )
        self.state.apply(version, commands.encode(item))
        changes = self.view.apply(
            fleet_fixtures.watch_response(self.state, self.view.index)
        )
        self.admission.apply_view_changes(changes.kinds)

    def call(self, body=None):
        headers = {'Host': 'pans.example', 'Request-Key': 'key'}
        request = types.SimpleNamespace(
            headers=multidict.CIMultiDict(headers),
            raw_path='/pans/1',
            method='POST',
            content=body,
            content_length=None,
            body_exists=body is not None,
        )
        now_s = asyncio.get_running_loop().time()
        return calls.Call(
            request=request,
            started_s=now_s,
            deadline_s=now_s + 30.0,
            request_id='1',
        )

    async def service_of_next(self):
        call = self.call()
        refusal = await self.admission.admit(call)
        return refusal.reason if refusal else call.service


def run_while_a_body_is_read(change, *, before=None):
    """Return what becomes of a long request, and of 20 that follow it."""

    async def scenario():
        host = EntryHost()
        host.configure(1, services=before or {'a': 1.0})
        body = HeldBody()
        call = host.call(body)
        reading = asyncio.create_task(host.admission.admit(call))
        await asyncio.sleep(1.0)
        change(host)
        body.is_read.set()
        refusal = await reading
        services = [await host.service_of_next() for _number in range(20)]
        return refusal.reason if refusal else call, services

    return virtual_time.run(scenario())


# Guards against CONFIG: a route that moved while a body was read stayed at its
# old service on that host, for all requests that followed.
@pytest.mark.parametrize(
    ('before', 'after'),
    [
        ({'a': 1.0}, {'b': 1.0}),
        ({'a': 1.0}, {'a': 1.0, 'b': 1.0}),
        ({'a': 1.0, 'b': 1.0}, {'b': 1.0}),
        ({'a': 9.0, 'b': 1.0}, {'a': 1.0, 'b': 3.0, 'c': 1.0}),
    ],
    ids=['moved', 'split', 'joined', 'weights'],
)
def test_route_that_changes_while_a_body_is_read(before, after):
    call, services = run_while_a_body_is_read(
        lambda host: host.configure(2, services=after), before=before
    )
    assert call.service in after
    total = sum(after.values())
    for name, weight in after.items():
        expected = 20 * weight / total
        assert abs(services.count(name) - expected) <= 1.0
    assert set(services) == set(after)


# Guards against decisions that are older than the body of a request.
@pytest.mark.parametrize(
    ('change', 'expected'),
    [
        (
            lambda host: host.configure(2, services={'a': 1}, keys=('k2',)),
            refusals.Reason.KEY_UNKNOWN,
        ),
        (
            lambda host: host.configure(2, services={}),
            refusals.Reason.ROUTE_UNKNOWN,
        ),
    ],
    ids=['key-withdrawn', 'route-removed'],
)
def test_request_is_judged_once_it_has_been_read(change, expected):
    result, _services = run_while_a_body_is_read(change)
    assert result is expected


# The route had a timeout of 6 s when the request came.
@pytest.mark.parametrize(
    ('timeout_ms', 'expected_s'), [(3000.0, 3.0), (60000.0, 6.0)]
)
def test_deadline_of_a_long_request_is_never_extended(timeout_ms, expected_s):
    call, _services = run_while_a_body_is_read(
        lambda host: host.configure(
            2, services={'a': 1.0}, timeout_ms=timeout_ms
        )
    )
    assert call.deadline_s - call.started_s == pytest.approx(expected_s)
