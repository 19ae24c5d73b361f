"""What upstreams say of themselves in the heads of their responses."""

import multidict
import pytest

from skylarkpitch.forwarding import header_names
from skylarkpitch.forwarding import upstream_notices
from tests.test_forwarding_deciding import upstream

NAMES = header_names.HeaderNames()
RATE, LEAVING, RETRY = NAMES.max_rate, NAMES.leaving, NAMES.retry_after


def read(rows, status=200):
    """Return the notice in the rows of a head, and how many are malformed."""
    reader = upstream_notices.NoticeReader(names=NAMES)
    headers = multidict.CIMultiDict(rows)
    notice = reader.read(
        lambda name: headers.getall(name, ()),
        status=status,
        upstream=upstream(),
    )
    return notice, reader.malformed


@pytest.mark.parametrize(
    ('rows', 'status', 'fields'),
    [
        ([], 200, {}),
        ([(RATE, '3.9')], 200, {'max_rate_per_s': 3.9}),
        ([(RATE, ' 4 ')], 500, {'max_rate_per_s': 4.0}),
        ([(RATE, '4'), (RATE.lower(), '4')], 200, {'max_rate_per_s': 4.0}),
        ([(RATE, '999999999')], 200, {'max_rate_per_s': 1e6}),
        ([(LEAVING, '1')], 503, {'is_leaving': True}),
        ([(RETRY, '1.5')], 503, {'back_off_s': 1.5}),
        ([(RETRY, '86400')], 503, {'back_off_s': 60.0}),
        ([(RETRY, '1.5')], 429, {}),
        ([(RETRY, '1.5')], 200, {}),
    ],
)
def test_notice_in_a_head(rows, status, fields):
    assert read(rows, status) == (upstream_notices.Notice(**fields), 0)


BAD_VALUES = [
    '',
    '-1',
    '0',
    '0.0',
    'nan',
    'inf',
    '1e309',
    '1e3',
    '+4',
    '4,4',
    '9' * 400,
    '0x10',
    '\u0664',
    'Wed, 21 Oct 2026 07:28:00 GMT',
    'soon',
]


# Guards against a value that cannot be read and is taken for a limit or a
# pause, or that ends a limit which holds.
@pytest.mark.parametrize('value', BAD_VALUES)
def test_malformed_value_changes_nothing(value):
    notice, malformed = read([(RATE, value), (RETRY, value)], status=503)
    assert malformed == 2
    assert notice == upstream_notices.Notice(is_rate_readable=False)


@pytest.mark.parametrize('value', [*BAD_VALUES, '2', '1.0', 'true'])
def test_malformed_leaving_is_ignored(value):
    assert read([(LEAVING, value)]) == (upstream_notices.Notice(), 1)


@pytest.mark.parametrize('name', [RATE, RETRY, LEAVING])
def test_different_values_of_a_header_are_ignored(name):
    notice, malformed = read([(name, '1'), (name, '2')], status=503)
    assert malformed == 1
    assert notice.max_rate_per_s is None
    assert notice.back_off_s is None
    assert not notice.is_leaving


def played(events):
    """Record (sent_s, now_s, rate or None); return the rate that holds."""
    notices = upstream_notices.UpstreamNotices()
    for sent_s, now_s, rate_per_s in events:
        notices.record(
            upstream(),
            upstream_notices.Notice(max_rate_per_s=rate_per_s),
            sent_s=sent_s,
            now_s=now_s,
        )
    return notices.state_of(upstream()).max_rate_per_s


@pytest.mark.parametrize(
    ('events', 'expected'),
    [
        ([(0, 1, 4.0)], 4.0),
        ([(0, 1, 4.0), (2, 3, 2.0)], 2.0),
        ([(0, 1, 4.0), (2, 3, None)], None),
        # A response that was sent before the limit arrives after it.
        ([(0, 1, 4.0), (0.5, 2, None)], 4.0),
        ([(0, 1, 4.0), (2, 3, None), (2.5, 4, 4.0)], 4.0),
    ],
)
def test_limit_holds_until_a_later_response_does_not_name_it(events, expected):
    assert played(events) == expected


def test_notices_belong_to_one_incarnation():
    notices = upstream_notices.UpstreamNotices()
    notices.record(
        upstream(),
        upstream_notices.Notice(max_rate_per_s=4.0),
        sent_s=0.0,
        now_s=1.0,
    )
    assert notices.state_of(upstream(born_ms=2)).max_rate_per_s is None
    assert notices.state_of(upstream()).max_rate_per_s == 4.0
