"""Read the responses of upstreams and other hosts, within limits.

A peer in trouble may send bytes that are no response, without end. What it
sends is bounded here, where it arrives: nothing else reads a connection that
no exchange uses.
"""

import asyncio
from typing import Any

import aiohttp
from aiohttp import client_proto
from aiohttp import http
import structlog

__all__ = [
    'ExchangeProtocol',
    'MalformedBodyError',
    'MalformedHeadError',
    'MalformedResponseError',
]

# Bytes that are parsed at once. Even of the shortest responses, that makes
# only some hundreds.
PIECE_BYTES = 32 * 1024
# Limit of the head of a response, with the interim responses before it.
MAX_HEAD_BYTES = 64 * 1024
HEAD_END = b'\r\n\r\n'
# A connection is closed after so many requests, which bounds the ids that it
# remembers.
MAX_REQUESTS = 256

# Statuses that a response may have (RFC 9110, section 15); those below 200 are
# interim.
VALID_STATUSES = range(100, 600)
# Ends HTTP on a connection that a request asks that for, which none does.
STATUS_SWITCHING_PROTOCOLS = 101

_log = structlog.get_logger(__name__)


class MalformedResponseError(aiohttp.ClientPayloadError):
    """The bytes that a peer has sent are no response."""


class MalformedBodyError(MalformedResponseError):
    """The body of a response cannot be parsed."""


class MalformedHeadError(MalformedResponseError):
    """The head of a response has no status that a response may have."""


class ExchangeProtocol(client_proto.ResponseHandler):
    """Protocol that reads one response for each request.

    It distinguishes a reset from the end of a response, since a response
    without length ends when its connection is closed. Bytes that follow a
    complete response belong to no request: the connection is reset when they
    arrive. A response that is complete by then can still be read. The same
    happens after ``MAX_HEAD_BYTES`` without the head of a response.

    ``local_port`` identifies the connection in logs. ``request_ids`` are
    those of the requests that were sent on it.
    """

    local_port = 0

    _responses = 0
    _head_bytes = 0
    # End of the bytes read so far of a head, which may be a part of HEAD_END.
    _head_rest = b''
    # Bytes that are left of a body whose length is known, otherwise None.
    _body_left: int | None = None

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(loop)
        self.request_ids: set[str] = set()

    def record_request(self, request_id: str | None) -> None:
        """Record that a request is sent; the last one closes afterwards."""
        if request_id is None:
            return
        self.request_ids.add(request_id)
        if len(self.request_ids) >= MAX_REQUESTS:
            self.force_close()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Record the port of this host."""
        super().connection_made(transport)
        address = transport.get_extra_info('sockname')
        if address is not None:
            self.local_port = address[1]

    def set_response_params(self, **options: Any) -> None:
        """Expect the response to a new request."""
        self._responses = 0
        self._head_bytes = 0
        self._head_rest = b''
        self._body_left = None
        super().set_response_params(**options)

    def feed_data(
        self, item: tuple[http.RawResponseMessage, Any], size: int = 0
    ) -> None:
        """Queue the head of a response, and count it unless it is interim.

        A head without a valid status is not queued: what else it says would
        be read before the status, by each reader.
        """
        message = item[0]
        if not _is_valid(message.code):
            self._reset('status_invalid')
            self.set_exception(
                MalformedHeadError(f'the status is {message.code:03}')
            )
            return
        if message.code >= 200:
            self._responses += 1
            self._body_left = _body_length(message)
        super().feed_data(item, size)

    def data_received(self, data: bytes) -> None:
        """Parse bytes of the expected response; reset the connection at more.

        Heads and bodies are parsed one by one, as far as their ends are
        known, since the parser drops a response if it gets bytes with it
        that are none. Empty ``data`` makes it go on with what it holds.
        """
        if not data:
            super().data_received(data)
        start = 0
        while start < len(data):
            if self._is_complete():
                self._reset('bytes_after_response')
                return
            piece = data[start : start + PIECE_BYTES]
            piece = piece[: self._size_of_part(piece)]
            start += len(piece)
            super().data_received(piece)
            if self.exception() is not None:
                self._fail_body(MalformedBodyError(str(self.exception())))
                return
            if self._responses == 0:
                self._head_bytes += len(piece)
            if self._head_bytes > MAX_HEAD_BYTES:
                self._reset('head_too_long')
                return
        if self._responses > 1:
            self._reset('bytes_after_response')

    def connection_lost(self, exc: BaseException | None) -> None:
        """Fail the response that is being read if the connection is reset."""
        if exc is not None:
            self._fail_body(
                aiohttp.ClientPayloadError(f'connection reset ({exc})')
            )
        super().connection_lost(exc)

    def _fail_body(self, error: aiohttp.ClientPayloadError) -> None:
        """Fail the body that is being read, if there is one."""
        payload = self._payload
        if payload is not None and not payload.is_eof():
            payload.set_exception(error)

    def _size_of_part(self, data: bytes) -> int:
        """Return how many bytes belong to the head or body being read."""
        if self._responses > 0:
            if self._body_left is None:
                return len(data)
            size = min(len(data), self._body_left)
            self._body_left -= size
            return size
        seen = self._head_rest + data
        end = seen.find(HEAD_END)
        if end < 0:
            self._head_rest = seen[1 - len(HEAD_END) :]
            return len(data)
        size = end + len(HEAD_END) - len(self._head_rest)
        self._head_rest = b''
        return size

    def _is_complete(self) -> bool:
        payload = self._payload
        return self._responses > 0 and (payload is None or payload.is_eof())

    def _reset(self, reason: str) -> None:
        """Close the connection at once, without reading any more of it."""
        self.force_close()
        if self.transport is None:
            return
        _log.info(
            'connection_reset',
            reason=reason,
            peer=self.transport.get_extra_info('peername'),
        )
        self.transport.abort()


def _is_valid(status: int) -> bool:
    return status in VALID_STATUSES and status != STATUS_SWITCHING_PROTOCOLS


def _body_length(message: http.RawResponseMessage) -> int | None:
    """Return the length of a body, None if only its parser can tell."""
    length = message.headers.get('Content-Length', '')
    if message.chunked or not length.isascii() or not length.isdigit():
        return None
    return int(length)
