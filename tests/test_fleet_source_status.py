"""Test what an entry host records of the control hosts that it asks."""

import pytest
import structlog

from skylarkpitch.fleet import log_lag
from skylarkpitch.fleet import source_status
from skylarkpitch.messages import fleet as messages
from tests.stand_ins import control_fleet


def response(*, index, applied, committed):
    return messages.WatchResponse(
        cluster='c',
        index=index,
        whole=False,
        heard_age_s=0.1,
        applied_index=applied,
        leader_commit_index=committed,
    )


def events_of(rows):
    """Return the logged events of responses to one use, and the gauges."""
    statuses = source_status.SourceStatuses()
    with structlog.testing.capture_logs() as logs:
        for source, index, applied, committed, view_index in rows:
            statuses.record(
                'watch',
                source,
                response(index=index, applied=applied, committed=committed),
                view_index=view_index,
            )
    return [entry['event'] for entry in logs], statuses.counters()


# Each row: source, index, applied index, commit index, index of the view.
@pytest.mark.parametrize(
    ('rows', 'expected'),
    [
        ([('c1', 5, 5, 5, 0), ('c1', 6, 6, 6, 5)], ['control_source']),
        ([('c1', 5, 5, 5, 0), ('c2', 6, 6, 6, 5)], ['control_source'] * 2),
        (
            [('c1', 5, 5, 7, 0), ('c1', 7, 7, 9, 5), ('c1', 9, 9, 9, 7)],
            ['control_source'],
        ),
        (
            [('c1', 5, 5, 7, 0), ('c1', 5, 5, 8, 5), ('c1', 5, 5, 9, 5)],
            ['control_source', 'control_source_behind'],
        ),
        (
            [('c1', 5, 5, 7, 5), ('c1', 5, 5, 8, 5), ('c1', 8, 8, 8, 5)],
            [
                'control_source',
                'control_source_behind',
                'control_source_caught_up',
            ],
        ),
        (
            [('c1', 5, 5, 5, 7), ('c1', 5, 5, 5, 7)],
            ['control_source', 'control_source_behind'],
        ),
    ],
    ids=[
        'one-source',
        'another-source',
        'entries-on-their-way',
        'behind-its-log',
        'caught-up',
        'behind-the-view',
    ],
)
def test_changes_of_a_source_are_logged_once(rows, expected):
    assert events_of(rows)[0] == expected


def test_gauges_show_the_lag_of_the_source():
    gauges = events_of([('c1', 5, 5, 9, 0)])[1]
    assert gauges == {'watch_index': 5, 'watch_missing_entries': 4}


# Each row: time in seconds, applied index, commit index, age of the state.
@pytest.mark.parametrize(
    ('rows', 'expected'),
    [
        ([(0.0, 5, 7, 0.1), (0.25, 7, 9, 0.1), (0.5, 9, 9, 0.1)], []),
        ([(0.0, 5, 7, 0.1), (0.25, 5, 7, 0.3)], ['log_behind']),
        ([(0.0, 7, 7, 4.5), (0.25, 8, 8, 4.5)], ['log_behind']),
        (
            [(0.25 * i, 5, 7, 0.1) for i in range(10)] + [(2.5, 7, 7, 0.1)],
            ['log_behind'] * 3 + ['log_caught_up'],
        ),
    ],
    ids=['entries-on-their-way', 'behind', 'old-messages', 'once-a-second'],
)
def test_lag_of_a_control_host_is_logged_once_a_second(rows, expected):
    log = control_fleet.watched_log('c')
    lag = log_lag.LogLag(log=log)
    with structlog.testing.capture_logs() as logs:
        for now_s, applied, committed, state_age_s in rows:
            log.state_age_s = lambda now_s, age_s=state_age_s: age_s
            status = control_fleet.log_status(
                applied_index=applied, leader_commit_index=committed
            )
            lag._check(status, now_s=now_s)
    assert [entry['event'] for entry in logs] == expected
