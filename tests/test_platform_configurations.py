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
