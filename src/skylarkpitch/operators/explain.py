"""Explain what became of one request, from the logs of several hosts."""

from collections.abc import Iterable
import dataclasses
import datetime
import shlex

__all__ = ['Explanation', 'LogLine', 'explain', 'parse_line']

# What a host believed changes rarely, so that one looks back a little.
LOOKBACK_S = 10.0
LOOKAHEAD_S = 2.0

_BELIEFS = frozenset(
    (
        'started',
        'stopping',
        'stopped',
        'reloaded',
        'control_lost',
        'control_regained',
        'configuration_in_force',
        'requests_broken_off',
        'lines_dropped',
    )
)
_ABOUT_UPSTREAMS = frozenset(('upstream_recorded', 'upstream_removed'))
_ABOUT_ALL = frozenset(
    ('configuration_accepted', 'domain_drain_set', 'leading')
)
_CAUSES = {
    'answered': 'It was answered with {status} after {took_ms} ms.',
    'upstream_failed': (
        'The upstream {upstreams} answered {status} itself; look there.'
    ),
    'no_configuration': (
        'The entry host had no configuration yet; it has not run.'
    ),
    'route_unknown': (
        'No route of version {version} matched; it has not run.'
    ),
    'key_unknown': (
        'No organisation of version {version} holds its key; it has not run.'
    ),
    'over_rate': (
        '{organisation} was over its rate at this host; it has not run.'
    ),
    'no_upstream': (
        'The service had no upstream that may be used; it has not run.'
    ),
    'no_room': (
        'Every upstream that may run it was full for {held_ms} ms; it has '
        'not run.'
    ),
    'rejected': (
        'The upstreams {upstreams} took no more requests; it has not run.'
    ),
    'quarantined': (
        'Upstreams broke off when they ran it before; it has not run again.'
    ),
    'not_reached': (
        'No connection to {upstreams} could be made; it has not run.'
    ),
    'upstream_broke_off': (
        'The upstream {upstreams} had it and broke off; it may have run.'
    ),
    'answer_malformed': (
        'What {upstreams} answered was no whole answer to it; it may have run.'
    ),
    'too_late': (
        'The upstream {upstreams} had it until its time was over; it may '
        'have run.'
    ),
    'caller_gone': (
        'The caller closed the connection after {took_ms} ms; it was sent '
        'to {upstreams}.'
    ),
    'body_late': 'Its body did not arrive in time; it has not run.',
    'body_too_large': 'Its body is over the limit; it has not run.',
    'request_malformed': 'It was no proper request; it has not run.',
}


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LogLine:
    """One line of a log."""

    at: datetime.datetime
    host: str
    event: str
    fields: dict[str, str]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Explanation:
    """The lines that bear on a request, in order of time, and the cause."""

    lines: tuple[LogLine, ...]
    causes: tuple[str, ...]


def parse_line(text: str) -> LogLine | None:
    """Return the line in ``text``, or None when it is none of ours.

    What stands before its time, as a collector of logs puts it, is ignored.
    """
    begin = text.find('at=')
    if begin < 0:
        return None
    try:
        words = shlex.split(text[begin:])
    except ValueError:
        return None
    fields = dict(word.partition('=')[::2] for word in words)
    try:
        at = datetime.datetime.fromisoformat(fields.pop('at'))
    except ValueError:
        return None
    event, host = fields.pop('event', ''), fields.pop('host', '')
    if not event:
        return None
    return LogLine(at=at, host=host, event=event, fields=fields)


def explain(request_id: str, lines: Iterable[LogLine]) -> Explanation:
    """Return what the lines say of a request.

    Beside its own lines those count that tell, shortly before or after,
    what its entry host believed, and what became of its upstreams.
    """
    known = sorted(lines, key=lambda line: line.at)
    own = [
        line for line in known if line.fields.get('request_id') == request_id
    ]
    if not own:
        return Explanation(lines=(), causes=())
    first = own[0].at - datetime.timedelta(seconds=LOOKBACK_S)
    last = own[-1].at + datetime.timedelta(seconds=LOOKAHEAD_S)
    hosts = {line.host for line in own}
    upstreams = {
        name
        for line in own
        for field in ('upstream', 'upstreams')
        for name in line.fields.get(field, '').split(',')
        if name
    }
    bearing = [
        line
        for line in known
        if line in own
        or (first <= line.at <= last and _bears(line, hosts, upstreams))
    ]
    causes = [_cause(line) for line in own if 'reason' in line.fields]
    return Explanation(
        lines=tuple(bearing),
        causes=tuple(cause for cause in dict.fromkeys(causes) if cause),
    )


def _bears(line: LogLine, hosts: set[str], upstreams: set[str]) -> bool:
    if line.event in _ABOUT_ALL:
        return True
    if line.event in _ABOUT_UPSTREAMS:
        return line.fields.get('upstream') in upstreams
    return line.event in _BELIEFS and line.host in hosts


def _cause(line: LogLine) -> str:
    if not line.event.startswith('request_'):
        return ''
    said = {
        **{name: '?' for name in ('status', 'took_ms', 'held_ms', 'version')},
        'organisation': 'the organisation',
        **{name: value for name, value in line.fields.items() if value},
        'upstreams': line.fields.get('upstreams') or 'no upstream',
    }
    reason = line.fields['reason']
    template = _CAUSES.get(reason, 'It ended with the reason {reason}.')
    return f'{line.host}: {template.format_map(said)}'
