"""What upstreams say of themselves in the heads of their responses."""

import contextlib

import aiohttp
import multidict
import pytest

from skylarkpitch.forwarding import header_names
from skylarkpitch.forwarding import upstream_notices
from tests.stand_ins import raw_upstream
from tests.test_forwarding_deciding import upstream
from tests.test_forwarding_exchange import forwarding
from tests.test_forwarding_exchange import run

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


SEALED = f'{raw_upstream.SEAL}: s'
NOT_RUN = f'{raw_upstream.NOT_RUN}: 1'


def answers(*rows):
    """Return each kind of response of an upstream, with some more rows."""
    return {
        'success': raw_upstream.respond(rows=(SEALED, *rows)),
        'error': raw_upstream.respond(status=500, rows=(SEALED, *rows)),
        'not-run': raw_upstream.respond(503, b'', rows=(NOT_RUN, *rows)),
        'no-seal': raw_upstream.respond(rows=rows),
        'streamed': raw_upstream.respond(
            body=b'x' * 2_000_000, rows=(SEALED, *rows)
        ),
        'broken-off': raw_upstream.close_after_bytes(100, *rows),
        'broken-stream': raw_upstream.close_after_bytes(2_000_000, *rows),
    }


KINDS = tuple(answers())


# Guards against a notice that is read from successes only.
@pytest.mark.parametrize('kind', KINDS)
def test_notices_are_read_from_every_kind_of_response(kind):
    rows = (f'{RATE}: 3.9', f'{LEAVING}: 1')

    async def check():
        async with forwarding([answers(*rows)[kind]], repeatable=False) as e:
            with contextlib.suppress(aiohttp.ClientError):
                async with e.post() as response:
                    await response.read()
            assert e.counter('upstreams_with_max_rate') == 1
            assert e.counter('upstreams_leaving') == 1
            async with e.post('r2') as response:
                assert response.status == 503
            assert e.runs == 1

    run(check)


# Guards against a notice of another incarnation, or in a response to another
# request, that is taken for one of the upstream.
@pytest.mark.parametrize(
    'behaviour',
    [
        raw_upstream.respond(421, b'', rows=(NOT_RUN, f'{LEAVING}: 1')),
        raw_upstream.respond_with_other_id,
    ],
)
def test_notices_of_others_are_ignored(behaviour):
    async def check():
        async with forwarding([behaviour], repeatable=False) as entry:
            async with entry.post() as response:
                await response.read()
            assert entry.counter('upstreams_leaving') == 0

    run(check)


# Guards against a value that cannot be read and ends the exchange.
@pytest.mark.parametrize('value', ['', 'nan', '-1', '1e309', '9' * 400])
@pytest.mark.parametrize('kind', ['success', 'error'])
def test_malformed_notice_changes_no_response(kind, value):
    rows = (f'{RATE}: {value}', f'{LEAVING}: {value}')

    async def check():
        async with forwarding([answers(*rows)[kind]], repeatable=False) as e:
            async with e.post() as response:
                assert response.status == (200 if kind == 'success' else 500)
                assert await response.read() == b'done'
            assert e.counter('notices_malformed') == 2
            assert e.counter('upstreams_with_max_rate') == 0

    run(check)
