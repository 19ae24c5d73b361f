"""Who is admitted after a change of the organisations and their keys."""

import asyncio
import json
import types

import multidict
import pytest

from skylark_platform import documents
from skylarkpitch.fleet import commands
from skylarkpitch.fleet import model
from skylarkpitch.fleet import state as fleet_state
from skylarkpitch.fleet import view as views
from skylarkpitch.forwarding import admission as admissions
from skylarkpitch.forwarding import callers
from skylarkpitch.forwarding import calls
from skylarkpitch.forwarding import header_names
from tests.stand_ins import connection_guards
from tests import test_fleet_state as fleet_fixtures

HELD, UNKNOWN = 'key', 'never-held'
REQUIRED = {HELD: 401, UNKNOWN: 401, None: 401}
OPEN = {HELD: None, UNKNOWN: None, None: None}
ROUTES = {
    name: {
        'Host': 'pans.example',
        'PathPrefix': f'/{name}/',
        'Kind': 'safe',
        'Timeout': '800ms',
        'Goal': '300ms',
        'Service': 'desk',
        'Public': name == 'public',
    }
    for name in ('pans', 'public')
}


def put(version, **fields):
    body = json.dumps(
        {
            'Version': f'{version:08x}',
            'Routes': ROUTES,
            'Services': {'desk': {}},
            **fields,
        }
    ).encode()
    return commands.PutConfiguration(
        configuration=documents.decode_configuration(body), document=body
    )


def tenants(**keys):
    return {'Tenants': {name: {'ApiKeys': keys[name]} for name in keys}}


def admission_of(view):
    admission = admissions.Admission(
        view=view,
        names=header_names.HeaderNames(),
        rate_tolerance=callers.RateTolerance(),
        bodies=connection_guards.bodies(),
        is_serving=lambda: True,
        clock=lambda: 0.0,
    )
    admission.apply_view_changes(frozenset(fleet_state.KINDS))
    return admission


def status_of(admission, key, *, path='/pans/a'):
    headers = multidict.CIMultiDict(Host='pans.example')
    if key is not None:
        headers[header_names.HeaderNames().api_key] = key
    request = types.SimpleNamespace(
        headers=headers,
        method='GET',
        raw_path=path,
        content_length=None,
        body_exists=False,
    )
    call = calls.Call(
        request=request, started_s=0.0, deadline_s=9.0, request_id='r1'
    )
    refusal = asyncio.run(admission.admit(call))
    return None if refusal is None else refusal.status


BEFORE = tenants(crew=[HELD], other=['other'])
CHANGES = {
    'last-key-of-one': (tenants(crew=[], other=['other']), REQUIRED),
    'last-key-of-all': (tenants(crew=[], other=[]), REQUIRED),
    'all-organisations': ({'Tenants': {}}, REQUIRED),
    'no-organisations-named': ({}, OPEN),
    'none': (BEFORE, {**REQUIRED, HELD: None}),
}


# Guards against a fleet that admits everybody: once the last API key was
# taken away, any key and none was admitted, also after a restart.
@pytest.mark.parametrize('restarted', ['none', 'entry-host', 'control-host'])
@pytest.mark.parametrize('change', CHANGES)
def test_keys_that_are_admitted_after_a_change(change, restarted):
    fields, expected = CHANGES[change]
    view = views.FleetView()
    state = fleet_fixtures.applied(put(1, **BEFORE))
    view.apply(fleet_fixtures.watch_response(state, 0))
    admission = admission_of(view)
    assert status_of(admission, HELD) is None
    state.apply(2, commands.encode(put(2, **fields)))
    if restarted == 'control-host':
        data = state.snapshot()
        state = fleet_state.FleetState()
        state.restore(data)
    if restarted == 'none':
        changes = view.apply(fleet_fixtures.watch_response(state, view.index))
        admission.apply_view_changes(changes.kinds)
    else:
        view = views.FleetView()
        view.apply(fleet_fixtures.watch_response(state, 0))
        admission = admission_of(view)
    assert {key: status_of(admission, key) for key in REQUIRED} == expected
    for key in REQUIRED:
        assert status_of(admission, key, path='/public/a') is None


# What was stored before a configuration said whether it requires a key.
@pytest.mark.parametrize(
    ('keys', 'expected'),
    [((HELD,), {**REQUIRED, HELD: None}), ((), OPEN)],
    ids=['a-key', 'no-key'],
)
def test_configuration_of_an_earlier_release_is_read_as_before(keys, expected):
    organisation = model.Organisation(name='crew', api_keys=keys)
    stored = fleet_fixtures.put(1, organisations=(organisation,))
    assert stored.configuration.requires_api_key is None
    view = views.FleetView()
    view.apply(
        fleet_fixtures.watch_response(fleet_fixtures.applied(stored), 0)
    )
    admission = admission_of(view)
    assert {key: status_of(admission, key) for key in REQUIRED} == expected
