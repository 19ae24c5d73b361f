"""Fleet state machine: versions, incarnations, addresses, drains."""

import asyncio
import dataclasses

import msgspec
import pytest

from skylarkpitch.config import parts
from skylarkpitch import errors
from skylarkpitch.fleet import checks
from skylarkpitch.fleet import commands
from skylarkpitch.fleet import model
from skylarkpitch.fleet import state as fleet_state
from skylarkpitch.fleet import upstream_table
from skylarkpitch.fleet import view as views
from skylarkpitch.fleet import watches
from skylarkpitch.messages import fleet as messages
from tests.stand_ins import control_fleet


def upstream(name='u1', *, born_ms=100, sequence=1, **fields):
    values = {
        'upstream_id': name,
        'born_ms': born_ms,
        'sequence': sequence,
        'service': 'desk',
        'address': '10.0.0.1:80',
        'failure_domain': 'east-a',
        'slots': 4,
        **fields,
    }
    return model.Upstream(**values)


def route(**fields):
    values = {
        'name': 'r1',
        'host': 'pans.example',
        'path_prefix': '/pans/',
        'repeatable': True,
        'timeout_ms': 800.0,
        'objective_ms': 300.0,
        'max_upstreams': 2,
        'rank': 1,
        'services': (model.WeightedService(service='desk', weight=1),),
        **fields,
    }
    return model.Route(**values)


def configuration(version, **fields):
    values = {
        'routes': (route(),),
        'services': (model.Service(name='desk', health_path='/'),),
        **fields,
    }
    return model.Configuration(version=version, **values)


def put(version, document=b'{}', **fields):
    return commands.PutConfiguration(
        configuration=configuration(version, **fields), document=document
    )


def record(*args, **fields):
    return commands.RecordUpstream(upstream=upstream(*args, **fields))


def leave(name='u1', *, born_ms=100, left=True):
    return commands.RemoveUpstream(
        upstream_id=name, born_ms=born_ms, left=left
    )


def applied(*items):
    state = fleet_state.FleetState()
    for index, item in enumerate(items, start=1):
        state.apply(index, commands.encode(item))
    return state


@pytest.mark.parametrize(
    ('puts', 'version', 'document'),
    [
        ([(7, b'a')], 7, b'a'),
        ([(7, b'a'), (9, b'b')], 9, b'b'),
        ([(9, b'a'), (7, b'b')], 9, b'a'),
        ([(7, b'a'), (7, b'other')], 7, b'a'),
    ],
    ids=['first', 'higher', 'lower', 'same-version-other-content'],
)
def test_highest_version_is_stored(puts, version, document):
    state = applied(*(put(number, text) for number, text in puts))
    assert state.configuration_version == version
    assert state.document == document


@pytest.mark.parametrize(
    ('items', 'expected'),
    [
        ([record(), record(sequence=3, slots=9)], {'u1': 9}),
        ([record(sequence=3, slots=9), record(sequence=2)], {'u1': 9}),
        ([record(), leave()], {}),
        ([record(), leave(), record(sequence=9)], {}),
        ([leave(), record()], {}),
        ([record(), leave(), record(born_ms=200)], {'u1': 4}),
        ([record(), leave(left=False), record(sequence=9)], {'u1': 4}),
        ([record(born_ms=200), leave(born_ms=100)], {'u1': 4}),
        ([record(), record('u2', born_ms=200)], {'u2': 4}),
        ([record('u2', born_ms=200), record('u1')], {'u2': 4}),
    ],
    ids=[
        'later-sequence',
        'late-heartbeat',
        'left',
        'late-heartbeat-after-leave',
        'leave-before-first-heartbeat',
        'same-id-started-again',
        'expired-and-returned',
        'late-leave-of-earlier-incarnation',
        'address-used-again',
        'late-heartbeat-at-reused-address',
    ],
)
def test_latest_report_of_an_upstream_is_recorded(items, expected):
    state = applied(*items)
    assert {n: u.slots for n, u in state.upstreams.items()} == expected


def test_snapshot_restores_everything():
    state = applied(
        put(3, b'doc'),
        record(),
        record('u2', address='10.0.0.2:80'),
        leave('u2'),
        commands.SetDomainDrain(failure_domain='east-a', draining=True),
        commands.RecordEntryHost(
            entry_host=model.EntryHost(
                name='e1',
                callers_address='10.0.1.1:80',
                region='east',
                failure_domain='east-a',
            )
        ),
    )
    restored = fleet_state.FleetState()
    restored.restore(state.snapshot())
    assert restored.snapshot() == state.snapshot()
    assert restored.upstreams == state.upstreams
    assert restored.upstream_table.departed == state.upstream_table.departed
    assert restored.entry_hosts == state.entry_hosts
    assert restored.is_draining('east-a')
    assert (restored.configuration_version, restored.document) == (3, b'doc')


def mark(before_ms, name='u1'):
    return commands.MarkDeparture(upstream_id=name, before_ms=before_ms)


def forget(before_ms):
    return commands.ForgetDeparture(upstream_id='u1', before_ms=before_ms)


@pytest.mark.parametrize(
    ('items', 'expected'),
    [
        ([mark(100), record(born_ms=100)], []),
        ([mark(100), record(born_ms=101)], ['u1']),
        ([record(born_ms=100), mark(100)], []),
        ([record(born_ms=101), mark(100)], ['u1']),
        ([mark(100), mark(90), record(born_ms=95)], []),
        ([mark(100), forget(100), record(born_ms=100)], ['u1']),
        ([mark(100), mark(120), forget(100), record(born_ms=110)], []),
        ([forget(100), record(born_ms=100)], ['u1']),
        ([mark(100, name='u2'), record(born_ms=100)], ['u1']),
    ],
)
def test_marked_departure_ignores_reports_of_earlier_starts(items, expected):
    state = applied(*items)
    assert list(state.upstreams) == expected
    restored = fleet_state.FleetState()
    restored.restore(state.snapshot())
    marks = state.upstream_table.departed_unrecorded
    assert restored.upstream_table.departed_unrecorded == marks
    assert restored.upstreams == state.upstreams


def test_number_of_marked_departures_is_bounded():
    count = upstream_table.MAX_DEPARTED + 5
    state = applied(*(mark(100, name=f'u{n}') for n in range(count)))
    marks = state.upstream_table.departed_unrecorded
    assert len(marks) == upstream_table.MAX_DEPARTED
    assert 'u0' not in marks


def watch_response(state, index):
    whole = index == 0
    rows = state.parts.rows() if whole else state.parts.rows_since(index, {})
    return messages.WatchResponse(
        cluster='c',
        index=state.index,
        whole=whole,
        heard_age_s=0.0,
        rows=fleet_state.shared_rows(
            tuple(row for row in rows if row[2] is not None or not whole)
        ),
    )


def test_view_applies_differences_and_ignores_older_responses():
    state = applied(put(1), record())
    view = views.FleetView()
    older = watch_response(state, 0)
    view.apply(older)
    state.apply(3, commands.encode(put(2, routes=())))
    state.apply(4, commands.encode(leave()))
    changed = view.apply(watch_response(state, view.index))
    assert changed.kinds == {'version', 'route', 'upstream'}
    assert changed.upstreams == {'u1'}
    assert (view.version, list(view.routes), list(view.upstreams)) == (
        2,
        [],
        [],
    )
    assert view.apply(older) == views.Changes()
    assert view.version == 2
    other = dataclasses.replace(
        watch_response(state, 0), cluster='d', index=99
    )
    assert view.apply(other) == views.Changes()


def test_control_only_parts_are_not_sent_to_views():
    view = views.FleetView()
    response = watch_response(applied(put(1, b'secret document')), 0)
    view.apply(response)
    assert b'secret document' not in [row[2] for row in response.rows]


SPLIT = tuple(
    model.WeightedService(service=name, weight=weight)
    for name, weight in (('desk', 1), ('other', -1))
)


@pytest.mark.parametrize(
    ('fields', 'expected'),
    [
        ({'services': ()}, 'which is no service'),
        ({'routes': (route(host=''),)}, 'has no host'),
        (
            {'routes': (route(path_prefix='pans/'),)},
            'does not begin with a slash',
        ),
        (
            {'routes': (route(path_prefix='/pans'),)},
            'does not end with a slash',
        ),
        ({'routes': (route(timeout_ms=0),)}, 'timeout that is not above 0'),
        ({'routes': (route(services=SPLIT),)}, 'weight below 0'),
        (
            {'routes': (route(services=()),)},
            'weights whose sum is not above 0',
        ),
        (
            {'routes': (route(), route(name='r2'))},
            'same host and path prefix',
        ),
        (
            {'routes': (route(), route(path_prefix='/other/'))},
            '2 routes have the name r1',
        ),
        (
            {
                'services': tuple(
                    model.Service(name='desk', health_path=path)
                    for path in ('/', '/h')
                )
            },
            '2 services have the name desk',
        ),
        (
            {
                'organisations': (
                    model.Organisation(name='a', api_keys=('k',)),
                    model.Organisation(name='b', api_keys=('k',)),
                )
            },
            'share an API key',
        ),
    ],
)
def test_invalid_configuration_is_refused(fields, expected):
    with pytest.raises(errors.ValidationError, match=expected):
        checks.check(configuration(1, **fields))


class EarlierRelease(fleet_state.FleetState):
    """State of the releases whose snapshots had no floor."""

    def snapshot(self):
        return msgspec.msgpack.encode((self.index, self.parts.rows()))

    def restore(self, data):
        decoder = msgspec.msgpack.Decoder(
            tuple[int, list[tuple[parts.PartKey, int, bytes | None]]]
        )
        index, rows = decoder.decode(data)
        self.parts = parts.PartStore()
        self.upstream_table = upstream_table.UpstreamTable(store=self.parts)
        for key, version, value in rows:
            self.parts.put(key, version, value)
            self._load_part(key, value)
        self.parts.advance(index)


def apply_all(state, items):
    for item in items:
        state.apply(state.index + 1, commands.encode(item))


def restored_by(state, releases):
    """Return the state after each release has restored it in turn."""
    for release in releases:
        restored = release()
        restored.restore(state.snapshot())
        state = restored
    return state


async def watched(state, view):
    """Apply to a view what a control host with this state responds."""
    control = watches.Watches(
        log=control_fleet.watched_log('c'),
        state=state,
        control_hosts=lambda: ('a',),
        clock=lambda: 0.0,
    )
    request = messages.WatchRequest(cluster='c', index=view.index, wait_s=0.0)
    response = await control.handle('e1', request)
    view.apply(response)
    return response


def entry_host(name):
    return model.EntryHost(
        name=name,
        callers_address='10.0.1.1:80',
        region='east',
        failure_domain='east-a',
    )


def numbered(count, make):
    return [make(f'n{number}', number) for number in range(count)]


def put_routes(version, count):
    return put(
        version,
        routes=tuple(
            numbered(
                count,
                lambda name, number: route(
                    name=name, path_prefix=f'/{number}/'
                ),
            )
        ),
    )


def put_keys(version, count):
    return put(
        version,
        organisations=tuple(
            numbered(
                count,
                lambda name, _number: model.Organisation(
                    name=name, api_keys=(f'key-{name}',)
                ),
            )
        ),
    )


DROPPED = 10
# Commands that change nothing; with each of them, old removals are deleted.
LATER = [leave('none', left=False)] * DROPPED
ADDED_AND_DROPPED = {
    'routes': ([put_routes(1, DROPPED)], [put_routes(2, 0)]),
    'organisations': ([put_keys(1, DROPPED)], [put_keys(2, 0)]),
    'upstreams': (
        numbered(
            DROPPED,
            lambda name, number: record(name, address=f'10.0.0.{number}:80'),
        ),
        numbered(DROPPED, lambda name, _number: leave(name, left=False)),
    ),
    'entry_hosts': (
        numbered(
            DROPPED,
            lambda name, _number: commands.RecordEntryHost(
                entry_host=entry_host(name)
            ),
        ),
        numbered(
            DROPPED, lambda name, _number: commands.RemoveEntryHost(name=name)
        ),
    ),
    'draining_domains': tuple(
        numbered(
            DROPPED,
            lambda name, _number, draining=draining: commands.SetDomainDrain(
                failure_domain=name, draining=draining
            ),
        )
        for draining in (True, False)
    ),
}
RELEASE = fleet_state.FleetState
# The release that stores what is dropped later, then those that restore its
# state before and after that.
RESTORES = {
    'never-restored': (RELEASE, [], []),
    'restored': (RELEASE, [], [RELEASE]),
    'restored-twice': (RELEASE, [], [RELEASE, RELEASE]),
    'of-an-earlier-release': (EarlierRelease, [], [RELEASE]),
    'by-an-earlier-release-and-back': (
        RELEASE,
        [],
        [EarlierRelease, RELEASE],
    ),
    'dropped-by-an-earlier-release': (RELEASE, [EarlierRelease], [RELEASE]),
}


# Guards against a dropped route, key or upstream that stays in force for good
# at an entry host: a control host that had started from a snapshot forgot
# which removals it no longer stores.
@pytest.mark.parametrize(
    ('first', 'before', 'after'), RESTORES.values(), ids=RESTORES
)
def test_restored_control_host_leaves_no_dropped_part_in_force(
    monkeypatch, first, before, after
):
    monkeypatch.setattr(parts, 'MAX_TOMBSTONES', DROPPED // 2)

    async def in_force(kind):
        added, dropped = ADDED_AND_DROPPED[kind]
        state, view = first(), views.FleetView()
        apply_all(state, added)
        await watched(state, view)
        assert len(list(getattr(view, kind))) == DROPPED
        state = restored_by(state, before)
        apply_all(state, dropped + LATER)
        assert state.parts.floor_version > view.index
        await watched(restored_by(state, after), view)
        return len(list(getattr(view, kind)))

    left = {kind: asyncio.run(in_force(kind)) for kind in ADDED_AND_DROPPED}
    assert left == dict.fromkeys(ADDED_AND_DROPPED, 0)
