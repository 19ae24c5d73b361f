"""Translation from the users' platform: settings, formats, bodies."""

import json
import platform
import socket

import pytest
from skylark_platform import boot
from skylark_platform import documents
from skylark_platform import formats

from skylarkpitch import errors
from skylarkpitch.fleet import model

SETTINGS = """Node=core-a-1
Serves=control,directory
Ip=10.1.0.25
Zone=a
Region=east
Zones.a=east
Zones.b=west
Listen.Control=10.1.0.25:8383
Listen.Directory=10.1.0.25:8385
PortRange=7460,7475
Seeds=10.1.0.25:8383,10.2.0.42:8383
Bootstrap=true
InTolerance=true
DataDir=/data/control
Beat=1500ms
Tolerate.Machines=2
Bounds.Grace=6s
Bounds.BudgetRatio=0.2
A.Field.Unknown=7
Another=x
"""

HEARTBEAT = {
    'Service': 'desk',
    'Addr': '10.128.0.9:8080',
    'Zone': 'a',
    'Version': 'v1',
    'Slots': 6,
    'State': 'ready',
    'ColdLeft': '2.5s',
    'Seq': 4,
    'born': 1789065973387,
}

CONFIGURATION = {
    'Version': '0000000c',
    'Routes': {
        'r1': {
            'Host': 'pans.example',
            'PathPrefix': '/pans/',
            'Kind': 'safe',
            'Timeout': '800ms',
            'Goal': '300ms',
            'Priority': 2,
            'Split': [{'Service': 'desk', 'Weight': 90}],
            'Attempts': 2,
            'Public': False,
            'Sticky': True,
            'HomeRegions': ['east'],
        }
    },
    'Services': {'desk': {'HealthPath': '/h', 'Cold': '3s', 'ColdPerS': 19}},
    'Tenants': {'t': {'ApiKeys': ['k'], 'RatePerS': 3, 'Burst': 4}},
}


def test_package_does_not_hide_the_standard_library():
    assert platform.python_version()
    assert socket.gethostname()


def test_settings_are_read_and_unknown_fields_ignored():
    settings = boot.parse(SETTINGS, source='boot')
    assert settings.serves == ('control', 'directory')
    assert settings.zones == {'a': 'east', 'b': 'west'}
    assert (settings.tolerate.machines, settings.bounds.grace_ms) == (
        2,
        6000.0,
    )
    assert settings.is_first_start and settings.is_voter


@pytest.mark.parametrize(
    ('before', 'after', 'expected'),
    [
        ('Node=core-a-1\n', '', 'Node'),
        ('Bootstrap=true', 'Bootstrap=perhaps', 'Bootstrap'),
        ('Beat=1500ms', 'Beat=often', 'Beat'),
        ('Another=x', 'no sign', 'line 20'),
    ],
)
def test_bad_settings_name_the_field(before, after, expected):
    with pytest.raises(errors.SettingsError, match=expected):
        boot.parse(SETTINGS.replace(before, after), source='boot')


@pytest.mark.parametrize(
    ('text', 'expected'), [('1500ms', 1500.0), ('2.5s', 2500.0), ('0ms', 0.0)]
)
def test_durations(text, expected):
    assert formats.duration_ms(text) == expected


@pytest.mark.parametrize(
    'text', ['', '5', 'ms', '5 minutes', 5, None, 'nan', '9' * 400 + 'ms']
)
def test_bad_durations(text):
    with pytest.raises(ValueError):
        formats.duration_ms(text)


def test_versions():
    assert formats.version_number('0000000c') == 12
    assert formats.version_text(12) == '0000000c'
    with pytest.raises(ValueError):
        formats.version_number('x1')


def test_heartbeat_is_decoded():
    decoded = documents.decode_upstream('u1', json.dumps(HEARTBEAT).encode())
    assert decoded == model.Upstream(
        upstream_id='u1',
        born_ms=1789065973387,
        sequence=4,
        service='desk',
        address='10.128.0.9:8080',
        failure_domain='a',
        slots=6,
        release='v1',
        state=model.UpstreamState.READY,
        cold_left_ms=2500.0,
    )


@pytest.mark.parametrize(
    ('field', 'value'),
    [
        ('Service', None),
        ('Service', ''),
        ('Addr', 'nowhere'),
        ('Slots', 'six'),
        ('Slots', 0),
        ('State', 'sleepy'),
        ('ColdLeft', 5),
        ('Seq', '4'),
        ('born', 1.5),
        ('born', None),
    ],
)
def test_bad_heartbeat_is_rejected(field, value):
    body = json.dumps({**HEARTBEAT, field: value}).encode()
    with pytest.raises(errors.ValidationError, match=field):
        documents.decode_upstream('u1', body)


@pytest.mark.parametrize(
    ('body', 'expected'),
    [(b'', None), (b' ', None), (b'{}', None), (b'{"born": 7}', 7)],
)
def test_leave_may_come_without_a_body(body, expected):
    assert documents.decode_leave(body) == expected


@pytest.mark.parametrize('body', [b'\xff\xfe', b'[]', b'{"a":'])
def test_unreadable_bodies(body):
    for decode in (documents.decode_configuration, documents.decode_leave):
        with pytest.raises(errors.ValidationError):
            decode(body)


def test_configuration_is_decoded():
    decoded = documents.decode_configuration(
        json.dumps(CONFIGURATION).encode()
    )
    assert decoded.version == 12
    (route,) = decoded.routes
    assert (route.name, route.repeatable, route.homes) == (
        'r1',
        True,
        ('east',),
    )
    assert route.services == (
        model.WeightedService(service='desk', weight=90.0),
    )
    assert decoded.services[0].cold_ms == 3000.0
    assert decoded.organisations[0].api_keys == ('k',)
    assert decoded.limits == model.CallerLimits()


@pytest.mark.parametrize(
    ('field', 'value'),
    [
        ('Kind', 'maybe'),
        ('Timeout', '5'),
        ('Split', [{'Service': 'desk'}]),
        ('Host', 7),
    ],
)
def test_undecodable_configuration_is_refused(field, value):
    changed = json.loads(json.dumps(CONFIGURATION))
    changed['Routes']['r1'][field] = value
    with pytest.raises(errors.ValidationError, match=field):
        documents.decode_configuration(json.dumps(changed).encode())
