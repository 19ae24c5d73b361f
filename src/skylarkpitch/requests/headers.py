"""Header rules for requests and responses that are forwarded.

Hop-by-hop headers (RFC 9110, 7.6.1), those that ``Connection`` names and all
``Skylark-`` headers are dropped in both directions. The ``Skylark-`` headers
that an upstream or a caller gets are added afterwards.
"""

from collections.abc import Iterable

import multidict

from skylarkpitch import sentinels

__all__ = [
    'CONTENT_LENGTH',
    'DEADLINE_HEADER',
    'ID_HEADER',
    'KEY_HEADER',
    'ORGANISATION_HEADER',
    'REPLAYED_HEADER',
    'TARGET_HEADER',
    'TICKET_HEADER',
    'check_framing',
    'end_to_end',
    'is_utf8',
]

KEY_HEADER = 'Skylark-Key'
ID_HEADER = 'Idempotency-Key'
DEADLINE_HEADER = 'Skylark-Deadline-Ms'
ORGANISATION_HEADER = 'Skylark-Organisation'
TICKET_HEADER = 'Skylark-Ticket'
TARGET_HEADER = 'Skylark-Relay-Target'
REPLAYED_HEADER = 'Skylark-Replayed'
CONTENT_LENGTH = 'Content-Length'

_SYSTEM_PREFIX = 'skylark-'
_HOP_BY_HOP = frozenset(
    {
        'connection',
        'expect',
        'host',
        'http2-settings',
        'keep-alive',
        'proxy-authenticate',
        'proxy-authorization',
        'proxy-connection',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
    }
)
_UNREPEATABLE_HEADERS = (
    'Host',
    CONTENT_LENGTH,
    'Transfer-Encoding',
    KEY_HEADER,
    ID_HEADER,
    DEADLINE_HEADER,
)

HeaderPairs = tuple[tuple[str, str], ...]


def end_to_end(headers: multidict.CIMultiDictProxy[str]) -> HeaderPairs:
    """Return the headers to forward, in order.

    Bytes of a value that are not UTF-8 become "?", since HTTP libraries
    cannot send them.
    """
    connection_names = _named_by_connection(headers.getall('Connection', ()))
    return tuple(
        (str(name), _as_utf8(value))
        for name, value in headers.items()
        if not _is_dropped(name.lower(), connection_names)
    )


def is_utf8(value: str) -> bool:
    """Return whether a value was UTF-8 on the wire."""
    return not any('\ud800' <= char <= '\udfff' for char in value)


def _as_utf8(value: str) -> str:
    if is_utf8(value):
        return value
    return value.encode('utf-8', 'replace').decode()


def _named_by_connection(values: Iterable[str]) -> frozenset[str]:
    names = (name for value in values for name in value.split(','))
    return frozenset(name.strip().lower() for name in names)


def _is_dropped(name: str, connection_names: frozenset[str]) -> bool:
    # Naming Content-Length in Connection must not remove the body length.
    if name == 'content-length':
        return False
    return (
        name in _HOP_BY_HOP
        or name in connection_names
        or name.startswith(_SYSTEM_PREFIX)
    )


def check_framing(
    headers: multidict.CIMultiDictProxy[str], *, version_minor: int = 1
) -> None | sentinels.Absent:
    """Check that the headers determine the end of the message.

    Returns None, or ``Absent`` with reason ``request_malformed`` for
    repeated headers, a length together with a transfer coding, any coding
    but ``chunked``, and a length that is not plain digits.
    """
    for name in _UNREPEATABLE_HEADERS:
        if len(headers.getall(name, ())) > 1:
            return _malformed(f'{name} is given more than once')
    coding = headers.get('Transfer-Encoding')
    length = headers.get(CONTENT_LENGTH)
    if coding is not None and length is not None:
        return _malformed('Content-Length stands beside Transfer-Encoding')
    if coding is not None and coding.strip().lower() != 'chunked':
        return _malformed('Transfer-Encoding is not chunked')
    if coding is not None and version_minor < 1:
        return _malformed('HTTP/1.0 has no Transfer-Encoding')
    if length is not None and not _is_digits(length):
        return _malformed('Content-Length is not a number')
    return None


def _is_digits(text: str) -> bool:
    return text.isascii() and text.isdigit() and len(text) < 19


def _malformed(what: str) -> sentinels.Absent:
    return sentinels.Absent('request_malformed', what)
