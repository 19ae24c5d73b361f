"""Read requests from one client, and write the answers, within limits.

The HTTP server of aiohttp bounds each line of a head. It does not bound a
head, its time, what follows a request that cannot be read, or how long an
answer waits for its reader. This module does, by names of aiohttp that are
not public, so that its version is fixed in the requirements.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import itertools
from typing import Any

from aiohttp import http
from aiohttp import http_exceptions
from aiohttp import streams
from aiohttp import web
from aiohttp import web_protocol

from skylarkpitch.listening import connection_table
from skylarkpitch.listening import guard as guards

__all__ = ['ClientConnection', 'ClientReader']

READ_BYTES = 64 * 1024
# Requests that are parsed while one before them is handled.
MAX_QUEUED_REQUESTS = 4
# The shortest header field, so that the number of fields is limited by their
# bytes alone.
SHORTEST_FIELD_BYTES = len(b'a:\r\n')
# Method, version and empty lines, beside the target and the fields.
HEAD_SLACK_BYTES = 4096
# How long more of a body is read after its request was refused, so that the
# client can read the refusal.
LINGERING_S = 5.0
# Longer than any connection lasts without a request: the guard closes it.
UNUSED_KEEPALIVE_S = 7 * 24 * 3600.0
# What an open connection takes, with its parser, task and buffers.
CONNECTION_BYTES = 24 * 1024
# What a byte of a head takes while it is parsed, and what a field takes.
BYTES_PER_HEAD_BYTE = 3
BYTES_PER_FIELD = 600
# What an answer takes per byte that waits for its reader.
BYTES_PER_WAITING_BYTE = 2
MAX_REASON_CHARACTERS = 100
HEAD_LATE = (
    b'HTTP/1.1 408 Request Timeout\r\n'
    b'Content-Length: 0\r\nConnection: close\r\n\r\n'
)
STATUS_HEAD_TOO_LARGE = 431

_State = connection_table.State


class ClientConnection(web_protocol.RequestHandler):
    """Connection of one client to a server.

    ``peer`` is its address, for logs. Sizes are limited as the guard's
    limits are when the connection is made.
    """

    def __init__(
        self,
        server: web.Server,
        *,
        loop: asyncio.AbstractEventLoop,
        guard: guards.ConnectionGuard,
    ) -> None:
        self._guard = guard
        self._header_bytes = guard.limits.header_bytes
        sizes = {
            'max_line_size': self._header_bytes,
            'max_field_size': self._header_bytes,
            'max_headers': max(1, self._header_bytes // SHORTEST_FIELD_BYTES),
        }
        super().__init__(
            server,
            loop=loop,
            keepalive_timeout=UNUSED_KEEPALIVE_S,
            lingering_time=LINGERING_S,
            read_bufsize=READ_BYTES,
            access_log=None,
            # The body reaches the upstream under the caller's headers.
            auto_decompress=False,
            **sizes,
        )
        self._max_msg_queue_size = MAX_QUEUED_REQUESTS
        self._msg_queue_resume_size = MAX_QUEUED_REQUESTS // 2
        self._parser = http.HttpRequestParser(
            self,
            loop,
            READ_BYTES,
            payload_exception=web.RequestPayloadError,
            auto_decompress=False,
            max_msg_queue_size=MAX_QUEUED_REQUESTS,
            **sizes,
        )
        self.peer = ''
        self._own_transport: asyncio.Transport | None = None
        self._is_refused = False
        # Body of the last request that was parsed.
        self._last_body: Any = None
        # Bytes since the last request, of a head that is not complete.
        self._head_bytes = 0
        # What is held for heads, of that the last part read, and what is held
        # for an answer that waits.
        self._head_cost_bytes = 0
        self._last_part_cost_bytes = 0
        self._waiting_bytes = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Count the connection."""
        super().connection_made(transport)
        self._own_transport = transport
        peer = transport.get_extra_info('peername')
        self.peer = f'{peer[0]}:{peer[1]}' if peer else ''
        self._guard.opened(self)
        self._update_held()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Count the connection no more."""
        self._guard.closed(self)
        self._own_transport = None
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Parse bytes, within the limits of a head."""
        if self._is_refused:
            return
        if self._force_close or self._close:
            self._read_rest_of_body(data)
            return
        was_in_head = self._last_body is None or self._last_body.is_eof()
        seen = self._request_count
        super().data_received(data)
        if self._request_count > seen:
            self._check_requests(self._request_count - seen, data)
        elif was_in_head and data:
            self._check_head(data)

    def _read_rest_of_body(self, data: bytes) -> None:
        """Read on in the body of a request that is still handled.

        A connection that is told to close answers it first. No further
        request is taken from it.
        """
        body = self._last_body
        if not data or body is None or body.is_eof() or self._messages:
            return
        try:
            self._parser.feed_data(data)
        except http_exceptions.HttpProcessingError as error:
            # What cannot be read may be behind the body.
            if not body.is_eof():
                body.set_exception(web.RequestPayloadError(error.message))

    def pause_writing(self) -> None:
        """Record that the client does not take its answer."""
        super().pause_writing()
        if self._own_transport is None:
            return
        waiting = self._own_transport.get_write_buffer_size()
        self._waiting_bytes = BYTES_PER_WAITING_BYTE * waiting
        self._guard.move(self, _State.BLOCKED)
        self._update_held()

    def resume_writing(self) -> None:
        """Record that the client has taken enough of its answer."""
        super().resume_writing()
        self._waiting_bytes = 0
        if self._guard.state_of(self) is _State.BLOCKED:
            self._guard.move(self, _State.RUNNING)
            self._update_held()

    def force_close(self) -> None:
        """Close the connection once what was written has been taken."""
        super().force_close()
        self._guard.move(self, _State.CLOSING)

    def give_up(self, state: connection_table.State) -> None:
        """Close the connection, which has been in a state for too long.

        An answer that waits is cut by a reset, so that the client cannot
        take it for whole.
        """
        transport = self._own_transport
        if transport is None:
            self._guard.closed(self)
            return
        is_waiting = transport.get_write_buffer_size() > 0
        if state in (_State.BLOCKED, _State.CLOSING) or is_waiting:
            self._force_close = True
            transport.abort()
            self._guard.closed(self)
            return
        if state is _State.HEAD:
            transport.write(HEAD_LATE)
        self.force_close()

    def log_exception(self, *args: Any, **options: Any) -> None:
        """Log an error, but none that a client has caused."""
        if not self._is_refused and self.transport is not None:
            super().log_exception(*args, **options)

    def _process_keepalive(self) -> None:
        """Do nothing: the guard closes connections without a request."""
        self._keepalive_handle = None

    async def finish_response(
        self, request: web.BaseRequest, resp: Any, start_time: float | None
    ) -> tuple[web.StreamResponse, bool]:
        """Write the answer, then wait for the next request."""
        finished = await super().finish_response(request, resp, start_time)
        response, _is_reset = finished
        self._head_cost_bytes = self._last_part_cost_bytes + sum(
            _head_cost_bytes(message) for message, _body in self._messages
        )
        self._update_held()
        if not response.keep_alive or self._close:
            self._guard.move(self, _State.CLOSING)
        elif not self._messages:
            self._guard.move(self, _State.IDLE)
        return finished

    def _make_error_handler(
        self, err_info: Any
    ) -> Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]:
        """Return the handler of a request that could not be read."""
        self._is_refused = True

        async def handle(_request: web.BaseRequest) -> web.StreamResponse:
            text = err_info.message[:MAX_REASON_CHARACTERS]
            response = web.Response(status=err_info.status, text=text)
            response.force_close()
            return response

        return handle

    def _check_requests(self, count: int, data: bytes) -> None:
        """Check requests that have just been parsed, the last ones."""
        if self._head_bytes + len(data) > self._header_bytes:
            self._drop_large_heads(count)
            if self._is_refused:
                return
        self._head_bytes = 0
        message, body = self._messages[-1]
        if isinstance(message, web_protocol._ErrInfo):
            self._messages.pop()
            self._refuse(message.exc)
            return
        self._last_body = body
        if body.is_eof():
            self._add_head_cost(_part_cost_bytes(data))
        else:
            # The rest of the data is of the body.
            new = itertools.islice(reversed(self._messages), count)
            self._add_head_cost(sum(_head_cost_bytes(m) for m, _body in new))
        if self._guard.state_of(self) in (
            _State.NEW,
            _State.HEAD,
            _State.IDLE,
        ):
            self._guard.move(self, _State.RUNNING)
        self._update_held()

    def _drop_large_heads(self, count: int) -> None:
        """Refuse the first of the last requests whose head is too large."""
        for number in range(len(self._messages) - count, len(self._messages)):
            message, body = self._messages[number]
            if _fields_bytes(message) > self._header_bytes:
                while len(self._messages) > number:
                    self._messages.pop()
                body.set_exception(web.RequestPayloadError('not read'))
                self._refuse_large_head()
                return

    def _check_head(self, data: bytes) -> None:
        """Check a part of a head."""
        self._head_bytes += len(data)
        if self._head_bytes > 2 * self._header_bytes + HEAD_SLACK_BYTES:
            self._refuse_large_head()
            return
        self._add_head_cost(_part_cost_bytes(data))
        # Empty lines before a request are no part of it.
        is_started = bool(data.strip(b'\r\n'))
        state = self._guard.state_of(self)
        if is_started and state in (_State.NEW, _State.IDLE):
            self._guard.move(self, _State.HEAD)
        self._update_held()

    def _add_head_cost(self, part_bytes: int) -> None:
        if self._guard.state_of(self) in (_State.NEW, _State.IDLE):
            self._head_cost_bytes = 0
        self._last_part_cost_bytes = part_bytes
        self._head_cost_bytes += part_bytes

    def _update_held(self) -> None:
        held = CONNECTION_BYTES + self._head_cost_bytes + self._waiting_bytes
        self._guard.hold(self, held)

    def _refuse_large_head(self) -> None:
        self._refuse(
            http_exceptions.HttpProcessingError(
                code=STATUS_HEAD_TOO_LARGE,
                message=f'a head may have {self._header_bytes} bytes of '
                'fields; send less of them',
            )
        )

    def _refuse(self, error: http_exceptions.HttpProcessingError) -> None:
        """Refuse the request that is being read, and read no more.

        Requests before it are answered first. What the error refers to is
        not kept.
        """
        self._is_refused = True
        self._pause_transport_reading()
        reason, _end, _rest = error.message.partition('\n')
        reason = reason[:MAX_REASON_CHARACTERS]
        plain = http_exceptions.HttpProcessingError(
            code=error.code, message=reason
        )
        info = web_protocol._ErrInfo(
            status=error.code, exc=plain, message=reason
        )
        body = self._last_body
        self._messages.append((info, streams.EMPTY_PAYLOAD))
        if body is not None and not body.is_eof():
            body.set_exception(web.RequestPayloadError(reason))
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)
        self._guard.refused(self, status=error.code, reason=reason)

    def _resume_transport_reading(self) -> None:
        """Read on, unless a request could not be read."""
        if not self._is_refused:
            super()._resume_transport_reading()


class ClientReader(asyncio.BufferedProtocol):
    """Read small parts of what a client has sent, for its connection.

    The event loop would read up to 256 KiB at once, of each client.
    """

    # Used for a single read at a time, so all connections share it.
    _buffer = bytearray(READ_BYTES)
    _view = memoryview(_buffer)

    def __init__(self, connection: ClientConnection) -> None:
        self._connection = connection
        self.connection_made = connection.connection_made
        self.connection_lost = connection.connection_lost
        self.pause_writing = connection.pause_writing
        self.resume_writing = connection.resume_writing
        self.eof_received = connection.eof_received

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return where to read to."""
        return self._view

    def buffer_updated(self, nbytes: int) -> None:
        """Handle what has been read."""
        self._connection.data_received(bytes(self._view[:nbytes]))


def _part_cost_bytes(data: bytes) -> int:
    """Return what a part of heads takes at most: each field ends a line."""
    return _cost_bytes(len(data), fields=data.count(b'\n'))


def _cost_bytes(size_bytes: int, *, fields: int) -> int:
    return BYTES_PER_HEAD_BYTE * size_bytes + BYTES_PER_FIELD * fields


def _head_cost_bytes(message: Any) -> int:
    """Return what the head of a request takes in memory."""
    if isinstance(message, web_protocol._ErrInfo):
        return 0
    size_bytes = len(message.path) + _fields_bytes(message)
    return _cost_bytes(size_bytes, fields=len(message.raw_headers))


def _fields_bytes(message: Any) -> int:
    """Return the bytes of the header fields of a request."""
    if isinstance(message, web_protocol._ErrInfo):
        return 0
    return sum(
        len(name) + len(value) + 4 for name, value in message.raw_headers
    )
