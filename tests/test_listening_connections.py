"""Which connections of clients stay open, without sockets or a clock."""

import pytest

from skylarkpitch.listening import connection_table as tables
from skylarkpitch.listening import limits

KIB = 1024
State = tables.State
LIMITS = limits.ConnectionLimits(
    header_timeout_s=3.0, idle_timeout_s=15.0, delivery_timeout_s=30.0
)


def table_of(states, *, max_connections=100, max_kib=1000):
    """Return a table of connections, each with a state and its start."""
    table = tables.ConnectionTable(
        max_connections=max_connections,
        pool=limits.MemoryPool(
            memory_bytes=limits.BASE_MEMORY_BYTES + max_kib * KIB
        ),
        limits=LIMITS,
    )
    for name, (state, since_s) in states.items():
        table.move(name, state, now_s=since_s)
    return table


@pytest.mark.parametrize(
    ('state', 'age_s', 'expected'),
    [
        (State.NEW, 14.9, None),
        (State.NEW, 15.0, 'new_too_long'),
        (State.IDLE, 14.9, None),
        (State.IDLE, 15.0, 'idle_too_long'),
        (State.HEAD, 2.9, None),
        (State.HEAD, 3.0, 'head_too_long'),
        (State.BLOCKED, 29.9, None),
        (State.BLOCKED, 30.0, 'blocked_too_long'),
        (State.CLOSING, 29.9, None),
        (State.CLOSING, 30.0, 'closing_too_long'),
        (State.RUNNING, 1e6, None),
    ],
)
def test_connections_expire_by_their_state(state, age_s, expected):
    table = table_of({'a': (state, 100.0), 'other': (State.RUNNING, 0.0)})
    found = [item.reason for item in table.expired(now_s=100.0 + age_s)]
    assert found == ([expected] if expected else [])


@pytest.mark.parametrize(
    ('states', 'expected'),
    [
        # One that never sent a request goes before one that did.
        ({'a': (State.IDLE, 1.0), 'b': (State.NEW, 9.0)}, 'b'),
        ({'a': (State.NEW, 2.0), 'b': (State.NEW, 1.0)}, 'a'),
        ({'a': (State.HEAD, 9.0), 'b': (State.IDLE, 1.0)}, 'a'),
        ({'a': (State.RUNNING, 0.0), 'b': (State.IDLE, 9.0)}, 'b'),
        ({'a': (State.BLOCKED, 9.0), 'b': (State.RUNNING, 0.0)}, 'a'),
        # An answer that has only begun to wait is left alone.
        ({'a': (State.BLOCKED, 9.8), 'b': (State.RUNNING, 0.0)}, 'newest'),
        ({'a': (State.RUNNING, 0.0), 'b': (State.RUNNING, 0.0)}, 'newest'),
        ({'a': (State.CLOSING, 9.8), 'b': (State.RUNNING, 0.0)}, 'newest'),
    ],
)
def test_a_connection_makes_room_for_a_new_one(states, expected):
    table = table_of(states, max_connections=2)
    table.move('newest', State.NEW, now_s=10.0)
    assert table.surplus('newest', now_s=10.0).connection == expected


def test_no_connection_makes_room_without_need():
    table = table_of({'a': (State.IDLE, 0.0)}, max_connections=2)
    table.move('newest', State.NEW, now_s=10.0)
    assert table.surplus('newest', now_s=10.0) is None


@pytest.mark.parametrize(
    ('states', 'expected'),
    [
        ({'a': (State.NEW, 1.0), 'b': (State.BLOCKED, 5.0)}, 'b'),
        ({'a': (State.HEAD, 5.0), 'b': (State.NEW, 1.0)}, 'a'),
        ({'a': (State.IDLE, 5.0), 'b': (State.RUNNING, 1.0)}, 'a'),
        ({'a': (State.BLOCKED, 9.9), 'b': (State.RUNNING, 1.0)}, None),
    ],
)
def test_a_connection_gives_memory_back(states, expected):
    table = table_of(states, max_kib=100)
    table.hold('a', 60 * KIB)
    table.hold('b', 60 * KIB)
    found = table.memory_hog(now_s=10.0)
    assert (found and found.connection) == expected


def test_memory_of_a_removed_connection_is_free_again():
    table = table_of({'a': (State.IDLE, 0.0)}, max_kib=100)
    table.hold('a', 150 * KIB)
    table.hold('a', 120 * KIB)
    assert table.pool.held_bytes == 120 * KIB
    table.remove('a')
    assert table.pool.held_bytes == 0
    assert len(table) == 0


@pytest.mark.parametrize(
    ('states', 'is_short', 'expected_s'),
    [
        ({}, False, None),
        ({'a': (State.RUNNING, 0.0)}, False, None),
        ({'a': (State.IDLE, 5.0), 'b': (State.HEAD, 8.0)}, False, 11.0),
        ({'a': (State.BLOCKED, 5.0)}, False, 35.0),
        ({'a': (State.BLOCKED, 5.0)}, True, 5.5),
    ],
)
def test_next_check_is_when_a_connection_may_expire(
    states, is_short, expected_s
):
    table = table_of(states)
    if is_short:
        table.pool.add(2000 * KIB)
    assert table.next_check_s() == expected_s


@pytest.mark.parametrize(
    ('max_descriptors', 'expected'),
    [(4100, 2730), (300, 105), (2, 1), (10**9, None)],
)
def test_connections_leave_descriptors_for_upstreams(
    monkeypatch, max_descriptors, expected
):
    set_to = []
    monkeypatch.setattr(
        limits.resource, 'getrlimit', lambda _kind: (10**6, 10**6)
    )
    monkeypatch.setattr(
        limits.resource, 'setrlimit', lambda _kind, pair: set_to.append(pair)
    )
    found = limits.resources_of(
        memory_bytes=limits.DEFAULT_MEMORY_BYTES,
        max_descriptors=max_descriptors,
    )
    assert found.max_connections == (expected or limits.MAX_CONNECTIONS)
    # Libraries that accept connections by themselves keep to it too.
    assert set_to == ([(max_descriptors, 10**6)] if expected else [])


def test_fewer_descriptors_of_the_operating_system_hold(monkeypatch):
    monkeypatch.setattr(limits.resource, 'getrlimit', lambda _kind: (300, 300))
    found = limits.resources_of(
        memory_bytes=limits.DEFAULT_MEMORY_BYTES, max_descriptors=4100
    )
    assert found.max_connections == 105
