"""Which configurations of the platform are taken, and which are refused."""

import json

import pytest

from skylark_platform import documents
from skylarkpitch import errors
from skylarkpitch.fleet import checks

ROUTE = {
    'Host': 'pans.example',
    'PathPrefix': '/pans/',
    'Kind': 'safe',
    'Timeout': '800ms',
    'Goal': '300ms',
    'Service': 'desk',
    'Attempts': 2,
}
BOTH = [{'Service': 'desk', 'Weight': 90}, {'Service': 'spare', 'Weight': 10}]


def document(*, version='00000007', route=None, **fields):
    return {
        'Version': version,
        'Routes': {'r1': {**ROUTE, **(route or {})}},
        'Services': {'desk': {}, 'spare': {}},
        **fields,
    }


def split(*weights):
    return [
        {**part, 'Weight': weight}
        for part, weight in zip(BOTH, weights, strict=True)
    ]


def decoded(body):
    configuration = documents.decode_configuration(body)
    checks.check(configuration)
    return configuration


VALID = {
    'one-service': {},
    'split': {'Service': None, 'Split': BOTH},
    'split-with-an-empty-service': {'Service': '', 'Split': BOTH},
    'service-with-an-empty-split': {'Split': []},
    'part-without-weight': {'Service': None, 'Split': split(0, 10)},
    'split-beside-a-service': {'Service': 'desk', 'Split': BOTH},
}


@pytest.mark.parametrize('route', VALID.values(), ids=VALID)
def test_valid_route_is_taken(route):
    body = json.dumps(document(route=route)).encode()
    assert decoded(body).routes[0].services


# Guards against a configuration in force that is invalid: PROTOCOL.md, "a
# route names an unknown service". Only the parts of a split were checked.
@pytest.mark.parametrize(
    'route',
    [
        {'Service': 'none'},
        {'Service': 'none', 'Split': BOTH},
        {'Service': None, 'Split': [BOTH[0], {'Service': 'n', 'Weight': 0}]},
    ],
    ids=['service', 'service-beside-a-split', 'part-without-weight'],
)
def test_route_that_names_an_unknown_service_is_refused(route):
    body = json.dumps(document(route=route)).encode()
    with pytest.raises(errors.ValidationError, match='which is no service'):
        decoded(body)


NOT_FINITE = {
    'weights': ('"Weight": 90', '"Weight": {}'),
    'rate': ('"RatePerS": 3', '"RatePerS": {}'),
    'burst': ('"Burst": 4', '"Burst": {}'),
    'cold-rate': ('"ColdPerS": 19', '"ColdPerS": {}'),
    'field-that-is-ignored': ('"Other": 1', '"Other": {}'),
}


# Guards against a configuration in force that is no JSON and has no order:
# NaN as weights passed every comparison, and each request of the route ended
# as an internal error.
@pytest.mark.parametrize(
    'number', ['NaN', 'Infinity', '-Infinity', '1e400', '-1e400']
)
@pytest.mark.parametrize('where', NOT_FINITE)
def test_number_that_is_not_finite_is_refused(where, number):
    valid = json.dumps(
        document(
            route={'Service': None, 'Split': BOTH},
            Services={'desk': {'ColdPerS': 19}, 'spare': {}},
            Tenants={'t': {'ApiKeys': ['k'], 'RatePerS': 3, 'Burst': 4}},
            Other=1,
        )
    )
    assert decoded(valid.encode())
    before, after = NOT_FINITE[where]
    assert before in valid
    body = valid.replace(before, after.format(number)).encode()
    with pytest.raises(errors.ValidationError):
        decoded(body)


# Guards against a configuration in force that was never checked as a whole:
# the last of two equal names was taken, whatever the first one said.
@pytest.mark.parametrize(
    ('before', 'after'),
    [
        ('"Routes": {', '"Routes": {}, "Routes": {'),
        ('"Services": {', '"Services": {}, "Services": {'),
        ('"desk": {', '"desk": {}, "desk": {'),
        ('"Timeout":', '"Timeout": "900ms", "Timeout":'),
        ('"Version":', '"Version": "00000009", "Version":'),
        ('"Other": {', '"Other": {"a": 1, "a": 2'),
    ],
    ids=['table', 'services', 'service', 'field', 'version', 'ignored'],
)
def test_name_that_stands_twice_is_refused(before, after):
    valid = json.dumps(document(Other={}))
    assert decoded(valid.encode())
    assert before in valid
    body = valid.replace(before, after, 1).encode()
    with pytest.raises(errors.ValidationError, match='stands twice'):
        decoded(body)


# Guards against answers 500, after which an operator sends the same for ever,
# and against limits below 0, by which every request is refused.
@pytest.mark.parametrize(
    'fields',
    [
        {'version': 'f' * 17},
        {'version': '0x10'},
        {'route': {'Attempts': 10**30}},
        {'route': {'Priority': -(10**30)}},
        {'Limits': {'MaxBodyBytes': 10**30}},
        {'Limits': {'MaxBodyBytes': -1}},
        {'Limits': {'MaxHeaderBytes': -1}},
        {'Limits': {'IdleTimeout': '-1ms'}},
        {'Limits': {'HeaderTimeout': '-1ms'}},
        {'Services': {'desk': {'MaxConns': -1}}},
        {'Services': {'desk': {'MaxConns': 10**30}}},
        {'Services': {'desk': {'Cold': '-1s'}}},
        {'Tenants': {'t': {'Priority': 10**30}}},
    ],
    ids=lambda fields: json.dumps(fields)[:50],
)
def test_value_out_of_its_bounds_is_refused(fields):
    body = json.dumps(document(**fields)).encode()
    with pytest.raises(errors.ValidationError):
        decoded(body)
