"""Tests of histograms, metrics and heartbeats' reading."""

import pytest

from skylarkpitch.membership import heartbeats
from skylarkpitch.observability import histograms
from skylarkpitch.observability import metrics
from skylarkpitch.operators import report


class FakeBatch:
    """Stand in for a statsd client and its pipeline."""

    def __init__(self):
        self.sent = []

    def pipeline(self):
        return self

    def __enter__(self):
        return self

    def __exit__(self, *error):
        return None

    def incr(self, name, count):
        self.sent.append(('incr', name, count))

    def gauge(self, name, value):
        self.sent.append(('gauge', name, value))

    def timing(self, name, latency_ms):
        self.sent.append(('timing', name, latency_ms))


def test_flush_sends_changes_once():
    values = {'calls.answered': 3.0}
    sender = metrics.Metrics(
        settings=None, host='h', read=lambda: dict(values)
    )
    sender.timing('call.reads', 0.25)
    first, second = FakeBatch(), FakeBatch()
    sender.flush(first)
    values['calls.answered'] = 5.0
    sender.flush(second)
    assert ('incr', 'calls.answered', 3.0) in first.sent
    assert ('timing', 'call.reads', 250.0) in first.sent
    assert ('incr', 'calls.answered', 2.0) in second.sent
    assert not [item for item in second.sent if item[0] == 'timing']


def test_latency_board_keeps_series_apart():
    board = histograms.LatencyHistograms()
    for _ in range(100):
        board.record('a', 'reads', 0.010)
        board.record(None, 'open', 0.5)
    summaries = board.summaries()
    assert [item.organisation for item in summaries] == ['a', 'open-routes']
    assert summaries[0].p50_ms == pytest.approx(10, rel=0.02)
    assert summaries[1].p99_ms == pytest.approx(500, rel=0.02)


def test_latency_board_is_bounded(monkeypatch):
    monkeypatch.setattr(histograms, 'MAX_SERIES', 2)
    board = histograms.LatencyHistograms()
    for number in range(5):
        board.record(f'o{number}', 'reads', 0.1)
    assert len(board.summaries()) == 2


def test_report_merges_hosts_and_draws():
    boards = {}
    for host in ('h1', 'h2'):
        board = histograms.LatencyHistograms()
        board.record('<b>', 'reads', 0.02)
        boards[host] = board.encoded()
    assert report.merge(boards)['<b>/reads'].get_total_count() == 2
    page = report.page(
        status={'version': 1, 'config_version': 1, 'hosts': []},
        histograms=boards,
    )
    assert '<svg' in page
    assert '<b>/' not in page


@pytest.mark.parametrize(
    'view, expected, absent',
    [
        (None, {'a'}, True),
        (None, set(), False),
        (('serving', 10.0), {'a'}, False),
        (
            ('serving', 10.0 - heartbeats.HEARTBEAT_TIMEOUT_S - 0.1),
            {'a'},
            True,
        ),
        (
            ('serving', 10.0 - heartbeats.HEARTBEAT_TIMEOUT_S - 0.1),
            set(),
            True,
        ),
        (('leaving', 10.0), set(), True),
        (('waiting_for_state', 10.0), {'a'}, True),
    ],
)
def test_hosts_that_do_not_serve_are_left_out(view, expected, absent):
    views = {}
    if view is not None:
        views['a'] = heartbeats.HostState(
            life_cycle=view[0], free_slots=1.0, last_contact_s=view[1]
        )
    found = heartbeats.not_serving(
        views, ('a',), expected=frozenset(expected), now_s=10.0
    )
    assert (found == {'a'}) is absent
