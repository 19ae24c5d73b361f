"""Test the explanation of a request from the logs of several hosts."""

from click import testing
import pytest

from skylarkpitch.operators import cli
from skylarkpitch.operators import explain

ENTRY = """\
at=2026-03-08T12:45:40.000000Z level=info event=started host=e1 seeds=a,b
at=2026-03-08T12:45:50.100000Z level=warning event=control_lost source=c1 \
why=peer_timeout view_age_s=2.1 host=e1
   4.8 e1 at=2026-03-08T12:45:51.584090Z level=info event=exchange_failed \
request_id=74f8 upstream=i-d6 reason=upstream_broke_off sent \
detail="[Errno 104] Connection reset by peer" left_ms=998 host=e1
at=2026-03-08T12:45:51.584900Z level=info event=request_not_answered \
request_id=74f8 route=r-2e organisation=pans status=502 \
reason=upstream_broke_off upstreams=i-d6 held_ms=43 took_ms=46 host=e1
at=2026-03-08T12:45:51.600000Z level=info event=request_not_answered \
request_id=0001 status=503 reason=no_room upstreams= held_ms=105 host=e1
at=2026-03-08T12:45:52.600000Z level=info event=control_lost host=e2
a line of another program
at=yesterday event=nothing
at=2026-03-08T12:45:52 event="no end
"""
CONTROL = """\
at=2026-03-08T12:45:51.100000Z level=info event=upstream_recorded \
upstream=i-d6 state=draining host=c1
at=2026-03-08T12:45:51.200000Z level=info event=upstream_removed \
upstream=i-other left=True host=c1
at=2026-03-08T12:45:52.000000Z level=info event=upstream_removed \
upstream=i-d6 left=False host=c1
at=2026-03-08T12:46:52.000000Z level=info event=upstream_removed \
upstream=i-d6 left=False host=c1
"""


@pytest.fixture
def logs(tmp_path):
    """Return the paths of the logs, the control host's first."""
    texts = {'c1.log': CONTROL, 'e1.log': ENTRY}
    for name, text in texts.items():
        (tmp_path / name).write_text(text)
    return [str(tmp_path / name) for name in texts]


def run(request_id, logs):
    return testing.CliRunner().invoke(
        cli.skylark, ['explain', request_id, *logs]
    )


def test_relevant_lines_are_printed_in_order(logs):
    result = run('74f8', logs)
    assert result.exit_code == 0
    events = [
        line.split()[2]
        for line in result.output.splitlines()
        if line.startswith('2026')
    ]
    assert events == [
        'control_lost',
        'upstream_recorded',
        'exchange_failed',
        'request_not_answered',
        'upstream_removed',
    ]
    assert result.output.splitlines()[-1] == (
        'e1: The upstream i-d6 broke off the connection after the request '
        'was sent; the request may have run.'
    )


def test_unknown_request_is_reported_with_a_remedy(logs):
    result = run('ffff', logs)
    assert result.exit_code == 1
    assert 'pass the logs of more hosts' in result.output


@pytest.mark.parametrize(
    ('fields', 'expected'),
    [
        (
            'reason=no_room held_ms=105',
            'All candidate upstreams were full for 105 ms; the request has '
            'not run.',
        ),
        (
            'reason=route_unknown version=106',
            'No route of configuration version 106 matched; the request has '
            'not run.',
        ),
        (
            'reason=over_rate organisation=pans',
            'pans exceeded its rate at this host; the request has not run.',
        ),
        (
            'reason=caller_gone took_ms=7 upstreams=',
            'The caller closed the connection after 7 ms; the request was '
            'sent to no upstream.',
        ),
        ('reason=new_one', 'It ended with the reason new_one.'),
        (
            'reason=answered status=200',
            'The request got status 200 after ? ms.',
        ),
    ],
)
def test_cause_is_stated_in_a_sentence(fields, expected):
    line = explain.parse_line(
        'at=2026-03-08T12:45:51Z event=request_not_answered host=e1 '
        f'request_id=r {fields}'
    )
    assert explain.explain('r', [line]).causes == (f'e1: {expected}',)
