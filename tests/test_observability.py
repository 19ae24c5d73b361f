"""Tests of histograms, metrics, the report page and missing heartbeats."""

import pytest
import structlog

from skylarkpitch.membership import heartbeats
from skylarkpitch.observability import histograms
from skylarkpitch.observability import loop_delay
from skylarkpitch.observability import metrics
from skylarkpitch.operators import report


class FakeStatsdClient:
    """Record what is sent to a statsd client or its pipeline."""

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
    metrics_service = metrics.Metrics(
        settings=None, host='h', read=lambda: dict(values)
    )
    metrics_service.timing('call.reads', 0.25)
    first, second = FakeStatsdClient(), FakeStatsdClient()
    metrics_service.flush(first)
    values['calls.answered'] = 5.0
    metrics_service.flush(second)
    assert ('incr', 'calls.answered', 3.0) in first.sent
    assert ('timing', 'call.reads', 250.0) in first.sent
    assert ('incr', 'calls.answered', 2.0) in second.sent
    assert not [entry for entry in second.sent if entry[0] == 'timing']


def test_latencies_are_recorded_by_organisation_and_class():
    latencies = histograms.LatencyHistograms()
    for _ in range(100):
        latencies.record('a', 'reads', 0.010)
        latencies.record(None, 'open', 0.5)
    summaries = latencies.summaries()
    assert [summary.organisation for summary in summaries] == [
        'a',
        'open-routes',
    ]
    assert summaries[0].p50_ms == pytest.approx(10, rel=0.02)
    assert summaries[1].p99_ms == pytest.approx(500, rel=0.02)


def test_number_of_histograms_is_bounded(monkeypatch):
    monkeypatch.setattr(histograms, 'MAX_SERIES', 2)
    latencies = histograms.LatencyHistograms()
    for number in range(5):
        latencies.record(f'o{number}', 'reads', 0.1)
    assert len(latencies.summaries()) == 2


def test_report_merges_hosts_and_contains_a_chart():
    encoded_by_host = {}
    for host in ('h1', 'h2'):
        latencies = histograms.LatencyHistograms()
        latencies.record('<b>', 'reads', 0.02)
        encoded_by_host[host] = latencies.encoded()
    assert report.merge(encoded_by_host)['<b>/reads'].get_total_count() == 2
    page = report.page(
        status={'version': 1, 'config_version': 1, 'hosts': []},
        histograms=encoded_by_host,
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
def test_hosts_that_do_not_serve_are_excluded(view, expected, absent):
    views = {}
    if view is not None:
        views['a'] = heartbeats.HostState(
            life_cycle=view[0], free_slots=1.0, last_contact_s=view[1]
        )
    not_serving = heartbeats.not_serving(
        views, ('a',), expected=frozenset(expected), now_s=10.0
    )
    assert (not_serving == {'a'}) is absent


def test_late_event_loop_is_counted_and_logged():
    delay = loop_delay.LoopDelay()
    with structlog.testing.capture_logs() as lines:
        for delay_s in (0.01, 0.4, -0.001):
            delay.record(delay_s)
    assert [line['delay_ms'] for line in lines] == [400]
    assert delay.counters() == pytest.approx(
        {
            'loop_delay_samples': 3,
            'loop_delay_total_ms': 410.0,
            'loop_delay_max_ms': 400.0,
        }
    )
    assert delay.take_recent_max_s() == 0.4
    assert delay.take_recent_max_s() == 0.0
