"""Properties of all configurations that are taken."""

import json

import hypothesis
from hypothesis import strategies

from skylark_platform import documents
from skylarkpitch import errors
from skylarkpitch.fleet import checks
from skylarkpitch.fleet import commands
from skylarkpitch.fleet import state as fleet_state
from skylarkpitch.fleet import view as views
from skylarkpitch.forwarding import routing
from tests import test_fleet_state as fleet_fixtures

VERSION = 7
# One value of so many is one of the others.
ODDS = 20
# Enough requests of a split route for each part to get some.
REQUESTS = 50
fuzzed = hypothesis.settings(derandomize=True, deadline=None, max_examples=400)


def mostly(valid, *others):
    """Return a strategy for a valid value that is at times another one."""
    invalid = strategies.sampled_from(others)
    return strategies.integers(0, ODDS).flatmap(
        lambda number: invalid if number == ODDS else valid
    )


NAMES = strategies.sampled_from(['desk', 'spare', 'third'])
DURATIONS = mostly(
    strategies.sampled_from(['800ms', '2.5s', '1ms', '60s']),
    *('0ms', '-1ms', '1e3ms', '800', '', 'nans', 'infs', '1e400s', 800, None),
)
NUMBERS = mostly(
    strategies.one_of(
        strategies.integers(0, 1000), strategies.floats(0.001, 1e6)
    ),
    *(0, -1, 1e300, 10**30, '5', None, True, [], -0.0),
)
INTEGERS = mostly(
    strategies.integers(0, 10), -1, 2**53, 2**70, 1.5, '2', None, True
)
TEXTS = strategies.one_of(
    strategies.sampled_from(['pans.example', 'pots.example']),
    strategies.text(max_size=12),
)
PREFIXES = mostly(
    strategies.sampled_from(['/', '/pans/', '/pans/a/', '/pots/%41/']),
    *('', 'pans/', '/pans', '//', '/pans/?/', '/päns/', None),
)


def table(values, *, names=NAMES):
    return strategies.dictionaries(names, values, max_size=3)


ROUTES = strategies.fixed_dictionaries(
    {
        'Host': mostly(strategies.just('pans.example'), '', ' ', 'A.b', None),
        'PathPrefix': PREFIXES,
        'Kind': mostly(strategies.sampled_from(['safe', 'unsafe']), 'x', None),
        'Timeout': DURATIONS,
        'Goal': DURATIONS,
        'Attempts': INTEGERS,
        'Service': mostly(NAMES, '', 'none', None, 5),
    },
    optional={
        'Split': strategies.lists(
            strategies.fixed_dictionaries(
                {'Service': mostly(NAMES, 'none', ''), 'Weight': NUMBERS}
            ),
            max_size=3,
        ),
        'Priority': INTEGERS,
        'Public': mostly(strategies.booleans(), None, 'yes'),
        'Sticky': strategies.booleans(),
        'HomeRegions': strategies.lists(TEXTS, max_size=2),
    },
)
SERVICES = strategies.fixed_dictionaries(
    {},
    optional={
        'HealthPath': TEXTS,
        'MaxConns': INTEGERS,
        'Cold': DURATIONS,
        'ColdPerS': NUMBERS,
    },
)
TENANTS = strategies.fixed_dictionaries(
    {'ApiKeys': strategies.lists(TEXTS, max_size=2)},
    optional={'RatePerS': NUMBERS, 'Burst': NUMBERS, 'Priority': INTEGERS},
)
LIMITS = strategies.fixed_dictionaries(
    {},
    optional={
        'MaxHeaderBytes': INTEGERS,
        'MaxBodyBytes': INTEGERS,
        'HeaderTimeout': DURATIONS,
        'IdleTimeout': DURATIONS,
    },
)
DOCUMENTS = strategies.fixed_dictionaries(
    {
        'Version': strategies.just(f'{VERSION:08x}'),
        'Routes': table(ROUTES),
        'Services': mostly(
            strategies.fixed_dictionaries(
                {name: SERVICES for name in ('desk', 'spare', 'third')}
            ),
            *({}, {'desk': {}}, None),
        ),
    },
    optional={'Limits': LIMITS, 'Tenants': table(TENANTS, names=TEXTS)},
)


def taken(body):
    """Return the configuration in a body, None if it is refused."""
    try:
        configuration = documents.decode_configuration(body)
        checks.check(configuration)
    except errors.ValidationError:
        return None
    return configuration


def view_of(configuration, body):
    """Return the view of an entry host of a stored configuration."""
    command = commands.PutConfiguration(
        configuration=configuration, document=body
    )
    state = fleet_state.FleetState()
    state.apply(1, commands.encode(command))
    assert state.document == body
    view = views.FleetView()
    view.apply(fleet_fixtures.watch_response(state, 0))
    return view


# Guards against an internal error while a configuration is read or used, and
# against one that is stored otherwise than it was sent.
@fuzzed
@hypothesis.given(DOCUMENTS)
def test_taken_configuration_is_stored_and_routed_as_it_was_sent(document):
    body = json.dumps(document).encode()
    configuration = taken(body)
    if configuration is None:
        return
    view = view_of(configuration, body)
    assert view.version == VERSION
    by_name = {route.name: route for route in view.routes}
    assert by_name == {route.name: route for route in configuration.routes}
    assert set(view.organisations) == set(configuration.organisations)
    services = {service.name for service in configuration.services}
    routes = routing.RoutingTable(view.routes)
    splitter = routing.Splitter()
    for route in configuration.routes:
        found = routes.find(route.host, route.path_prefix + 'a')
        assert found is not None
        weights = {
            part.service: part.weight
            for part in found.services
            if part.weight > 0
        }
        for _number in range(REQUESTS):
            assert splitter.next_service(found) in services & set(weights)


# Guards against the same for bytes that are no configuration at all.
@fuzzed
@hypothesis.given(
    strategies.one_of(
        strategies.binary(max_size=80),
        strategies.recursive(
            strategies.none() | strategies.text(max_size=5) | NUMBERS,
            lambda inner: (
                strategies.lists(inner, max_size=3)
                | strategies.dictionaries(
                    strategies.sampled_from(
                        ['Version', 'Routes', 'Services', 'Tenants', 'x']
                    ),
                    inner,
                    max_size=4,
                )
            ),
            max_leaves=8,
        ).map(lambda value: json.dumps(value).encode()),
    )
)
def test_other_bodies_are_refused(body):
    assert taken(body) is None


def test_most_generated_documents_are_of_use():
    """Check that the properties above are about something."""
    counts = {'taken': 0, 'with routes': 0}

    @hypothesis.settings(fuzzed, max_examples=300)
    @hypothesis.given(DOCUMENTS)
    def count(document):
        configuration = taken(json.dumps(document).encode())
        counts['taken'] += configuration is not None
        counts['with routes'] += bool(configuration and configuration.routes)

    count()
    assert counts['with routes'] >= 20, counts
