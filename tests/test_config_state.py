"""Tests of the control state and its commands."""

import json
import pathlib

import pytest

from skylarkpitch.config import commands
from skylarkpitch.config import keys as caller_keys
from skylarkpitch.config import parts
from skylarkpitch.config import results
from skylarkpitch.config import state as states
from skylarkpitch import errors
from skylarkpitch.settings import deployment

ROOT = pathlib.Path(__file__).parent.parent / 'deployments' / 'mueso'
BASE = (ROOT / 'base.json').read_text()
OVERLAYS = {p.stem: p.read_text() for p in (ROOT / 'overlays').glob('*.json')}
COMMON = {'operator': 'ana', 'at_s': 1000.0}


def push(operation_id, against=0, base=BASE, overlays=OVERLAYS, **fields):
    return commands.PushConfig(
        operation_id=operation_id,
        against_version=against,
        base_json=base,
        overlays_json=overlays,
        **(COMMON | fields),
    )


def push_overlay(operation_id, against, text, site='seoul-a'):
    return commands.PushOverlay(
        operation_id=operation_id,
        against_version=against,
        site=site,
        overlay_json=text,
        **COMMON,
    )


def issue(operation_id, key_id='k1', organisation='daegu-pans', **fields):
    return commands.IssueKey(
        operation_id=operation_id,
        key_id=key_id,
        organisation=organisation,
        salt='aa',
        secret_hash='bb',
        **(COMMON | fields),
    )


def withdraw(operation_id, key_id='k1', **fields):
    return commands.WithdrawKey(
        operation_id=operation_id, key_id=key_id, **(COMMON | fields)
    )


def changed_base(**sections):
    return json.dumps(json.loads(BASE) | sections)


def apply(state, *items):
    return [state.apply(0, commands.encode(item)) for item in items][-1]


@pytest.fixture
def state():
    new_state = states.ControlState()
    apply(new_state, push('first'))
    return new_state


@pytest.mark.parametrize(
    'item',
    [
        push('a'),
        push_overlay('a', 1, '{}'),
        issue('a'),
        withdraw('a'),
        commands.SetDrain(
            operation_id='a', upstream='u', draining=True, **COMMON
        ),
        commands.SetHostLeaving(
            operation_id='a', host='h', leaving=True, **COMMON
        ),
    ],
    ids=lambda item: type(item).__name__,
)
def test_commands_round_trip_through_the_codec(item):
    assert commands.decode(commands.encode(item)) == item
    later = type(item)(**{**_fields(item), 'at_s': 9.0})
    assert commands.fingerprint(later) == commands.fingerprint(item)


def _fields(item):
    return {name: getattr(item, name) for name in item.__slots__}


@pytest.mark.parametrize(
    'data',
    [
        b'',
        b'\xc1',
        b'\x92\xa1x\xc0',
        b'\x92\xa9issue_key\x80',
        b'\x92\xabpush_config\xc0',
        b'\x91' * 100_000,
        commands.encode_result(commands.Conflict(current_version=1)),
    ],
)
def test_malformed_bytes_change_nothing(state, data):
    before = state.snapshot()
    result = state.apply(7, data)
    assert result.reason == 'command_malformed'
    assert state.snapshot() == before


@pytest.mark.parametrize(
    'item, reason, text',
    [
        (push('x', 1, base='{'), 'invalid', 'not valid JSON'),
        (push('x', 1, base='[]'), 'invalid', 'not a JSON object'),
        (push('x', 1, base='{"a":1,"a":2}'), 'invalid', 'twice'),
        (push('x', 1, base='{"a":NaN}'), 'invalid', 'not a JSON number'),
        (push('x', 1, base='[' * 50_000), 'invalid', 'not valid JSON'),
        (push('x', 1, base='{"a":1e999}'), 'invalid', 'too large'),
        (push('x', 1, base='{"a":"\\ud800"}'), 'invalid', 'not valid JSON'),
        (push('x', 1, base='{"a":' * 40 + '1' + '}' * 40), 'invalid', '32'),
        (push_overlay('x', 1, '{"a":' * 800 + '1' + '}' * 800), 'invalid', ''),
        (push('x', 1, base=changed_base(servces={})), 'invalid', 'servces'),
        (push('x', 1, overlays={'A b': '{}'}), 'invalid', 'not a name'),
        (
            push('x', 1, overlays={'ok': '{}', 'bad': '{"policy": {}}'}),
            'invalid',
            "'bad'",
        ),
        (push_overlay('x', 1, '{"services": 5}'), 'invalid', 'services'),
        (issue('x', organisation='nobody'), 'organisation_unknown', 'base'),
        (issue('x', key_id='a_b'), 'key_malformed', 'hyphens'),
        (withdraw('x'), 'key_unknown', "'k1'"),
        (
            commands.SetDrain(
                operation_id='x', upstream='', draining=True, **COMMON
            ),
            'name_malformed',
            'upstream',
        ),
    ],
)
def test_rejections_state_the_remedy(state, item, reason, text):
    before = state.version
    result = apply(state, item)
    assert result.reason == reason
    assert text in result.message
    assert state.version == before
    assert apply(state, item) == result


def test_unchanged_sites_are_not_checked_again(state, monkeypatch):
    checked = []
    original = deployment.validate_site
    monkeypatch.setattr(
        deployment,
        'validate_site',
        lambda base, overlay, *, site: (
            checked.append(site) or original(base, overlay, site=site)
        ),
    )
    overlays = OVERLAYS | {'busan-a': '{"services": {}}'}
    assert apply(state, push('a', 1, overlays=overlays)).version == 2
    assert checked == ['busan-a']
    apply(state, push('b', 2, base=changed_base(links=[])))
    assert len(checked) > 1


def test_concurrent_pushes_accept_only_one(state):
    outcomes = [
        apply(state, push(f'race{n}', 1, base=changed_base(links=[])))
        for n in range(5)
    ]
    assert outcomes[0] == commands.Accepted(version=2, config_version=2)
    assert set(outcomes[1:]) == {commands.Conflict(current_version=2)}
    assert apply(state, push_overlay('o', 1, '{}')) == commands.Conflict(
        current_version=2
    )


def test_keys_do_not_conflict_with_pushes(state):
    assert apply(state, issue('k')).version == 2
    assert apply(state, push('next', 1)).config_version == 3


@pytest.mark.parametrize(
    'first, repeated, expected',
    [
        (issue('op'), issue('op', at_s=1300.0), 'first'),
        (push('op', 5), push('op', 5, at_s=1300.0), 'first'),
        (issue('op'), issue('op', key_id='k2'), 'operation_id_reused'),
        (issue('op'), withdraw('op'), 'operation_id_reused'),
    ],
)
def test_resends(state, first, repeated, expected):
    first_result = apply(state, first)
    apply(state, withdraw('between'))
    result = apply(state, repeated)
    if expected == 'first':
        assert result == first_result
    else:
        assert result.reason == expected


def test_resend_after_retention_is_processed_again(state):
    apply(state, issue('op'), push('p', 1))
    late = 1001.0 + results.RESULT_AGE_S
    assert apply(state, issue('op', at_s=late)).reason == 'key_exists'
    assert apply(state, push('p', 1, at_s=late)) == commands.Conflict(
        current_version=3
    )


def test_number_of_results_is_limited(state, monkeypatch):
    monkeypatch.setattr(results, 'MAX_RESULTS', 10)
    for n in range(30):
        apply(state, withdraw(f'w{n}'))
    assert len(state._first_results) == 10


def test_withdrawn_key_cannot_be_issued_again(state):
    apply(state, issue('a'))
    assert set(state.keys) == {'k1'}
    apply(state, withdraw('b'))
    assert state.keys == {}
    assert apply(state, issue('c')).reason == 'key_exists'


def test_organisation_with_keys_cannot_be_removed(state):
    apply(state, issue('a'))
    document = json.loads(BASE)
    del document['organisations']['daegu-pans']
    result = apply(state, push('b', 1, base=json.dumps(document)))
    assert 'still has valid keys' in result.message


@pytest.mark.parametrize(
    'texts',
    [
        ['{}', 'null', '{"services":{"status-desk":{"queue_s":9}}}'],
        ['{"services":{"status-desk":{"queue_s":null}}}', '{"services":{}}'],
        ['{"services":{"kiln-planner":null}}', '{"services":{}}', 'null'],
    ],
)
def test_documents_follow_pushed_overlays(state, texts):
    for text in texts:
        version = state.config_version
        apply(state, push_overlay(f'op{version}', version, text))
        assert state.config_version == version + 1
        expected = json.loads(text)
        assert state.overlays.get('seoul-a') == expected
        repeated = states.ControlState()
        repeated.restore(state.snapshot())
        assert (repeated.base, repeated.overlays) == (
            state.base,
            state.overlays,
        )


def test_snapshot_contains_the_whole_state(state):
    apply(state, issue('a'), issue('b', key_id='k2'), withdraw('c'))
    drain = commands.SetDrain(
        operation_id='d', upstream='u1', draining=True, **COMMON
    )
    leave = commands.SetHostLeaving(
        operation_id='e', host='h1', leaving=True, **COMMON
    )
    apply(state, drain, leave)
    copy = states.ControlState()
    copy.restore(state.snapshot())
    assert copy.snapshot() == state.snapshot()
    assert copy.drains == {'u1'} and copy.leaving_hosts == {'h1'}
    assert copy.keys == state.keys and list(copy.keys) == ['k2']
    assert [change.version for change in copy.history] == [1, 2, 3, 4, 5, 6]
    assert apply(copy, issue('a')) == apply(state, issue('a'))
    assert copy.site_config('seoul-a') == state.site_config('seoul-a')


@pytest.mark.parametrize('data', [b'', b'\x80', b'\xc1', b'{}'])
def test_malformed_snapshot_is_rejected(state, data):
    before = state.snapshot()
    with pytest.raises(errors.JournalError, match='new identity'):
        state.restore(data)
    assert state.snapshot() == before


def test_rows_have_last_values_and_tombstones_are_limited(monkeypatch):
    monkeypatch.setattr(parts, 'MAX_TOMBSTONES', 10)
    store = parts.PartStore()
    for version in range(1, 41):
        store.put(('key', str(version % 20)), version, b'1')
        store.put(('drain', str(version)), version, None)
        store.advance(version)
    assert 0 < store.floor_version < 40
    rows = store.rows_since(35, {})
    assert [row[1] for row in rows] == sorted(row[1] for row in rows)
    assert {row[0] for row in rows if row[2]} == {
        ('key', str(n % 20)) for n in range(36, 41)
    }
    with pytest.raises(errors.InvariantError):
        store.advance(39)
    with pytest.raises(errors.InvariantError):
        store.put(('key', '1'), 2, b'old')


def test_new_key_round_trip():
    key = caller_keys.new_key(lambda n: bytes(range(n)))
    assert key == caller_keys.new_key(lambda n: bytes(range(n)))
    assert key.text.split('_')[1] == key.key_id
    assert key.secret_hash not in key.text
