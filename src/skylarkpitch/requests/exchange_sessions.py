"""HTTP client sessions for upstreams and relays.

By default, aiohttp resends some requests by itself and reuses connections
that have unread bytes of an earlier exchange. Sessions of this module do
neither.
"""

import asyncio
from collections.abc import Callable
import contextvars
import dataclasses
import functools
import socket
from typing import Any

import aiohttp
import yarl

from skylarkpitch.requests import exchange_protocol

__all__ = [
    'BrokenError',
    'Progress',
    'UnsentError',
    'enable_dead_peer_detection',
    'new_session',
    'progress',
    'url_of',
]

CONNECT_TIMEOUT_S = 1.0
IDLE_CONNECTION_S = 15.0
# Of a body that arrives faster than it is read.
READ_BUFFER_BYTES = 64 * 1024
TCP_KEEPALIVE_IDLE_S = 1
TCP_KEEPALIVE_PROBES = 3
TCP_USER_TIMEOUT_MS = 3000


def _stays() -> bool:
    """Return that a caller is still there."""
    return False


@dataclasses.dataclass(slots=True)
class Progress:
    """Progress of the exchange of the current task.

    ``connected`` is True once a byte of the request may have been sent.
    ``has_caller_left`` is asked when a connection is ready for it.
    ``local_port`` is that of the connection. ``request_id`` is the id that
    the response repeats, None if it repeats none.
    """

    request_id: str | None = None
    connected: bool = False
    local_port: int = 0
    has_caller_left: Callable[[], bool] = _stays


progress: contextvars.ContextVar[Progress] = contextvars.ContextVar(
    'skylarkpitch_exchange_progress'
)


class UnsentError(Exception):
    """No connection could be made, so nothing was sent."""


class BrokenError(Exception):
    """The connection failed after a byte may have been sent."""


class _Connector(aiohttp.TCPConnector):
    """Connector that never reuses a connection with unread bytes.

    Nor does it reuse one for a request id that was sent on it before: a
    second copy of the earlier response could not be told from the new one.
    """

    async def connect(self, req, traces, timeout):
        """Return a connection and record that bytes may be sent on it.

        Raises ``CancelledError`` if the caller has left in the meantime.
        """
        current = progress.get()
        used: list[aiohttp.connector.Connection] = []
        try:
            while True:
                connection = await super().connect(req, traces, timeout)
                if connection.protocol.should_close:
                    connection.close()
                elif current.request_id in connection.protocol.request_ids:
                    used.append(connection)
                else:
                    break
        finally:
            for other in used:
                other.release()
        if current.has_caller_left():
            connection.release()
            raise asyncio.CancelledError
        connection.protocol.record_request(current.request_id)
        current.connected = True
        current.local_port = connection.protocol.local_port
        return connection


async def _translate_errors(
    request: aiohttp.ClientRequest, handler: Callable[..., Any]
) -> aiohttp.ClientResponse:
    """Translate connection errors, on which aiohttp would resend a request.

    Raises ``UnsentError`` or ``BrokenError``.
    """
    try:
        return await handler(request)
    except aiohttp.ClientConnectorError as error:
        raise UnsentError(str(error)) from error
    except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as error:
        raise BrokenError(str(error)) from error


def _new_socket(
    address: tuple[int, int, int, str, tuple[str, int]],
) -> socket.socket:
    """Return a non-blocking socket that detects a dead peer."""
    new_socket = socket.socket(*address[:3])
    new_socket.setblocking(False)
    enable_dead_peer_detection(new_socket)
    return new_socket


def enable_dead_peer_detection(tcp_socket: socket.socket) -> None:
    """Make the kernel close a connection whose peer stops responding."""
    tcp_socket.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    tcp_socket.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, TCP_KEEPALIVE_IDLE_S
    )
    tcp_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1)
    tcp_socket.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_KEEPCNT, TCP_KEEPALIVE_PROBES
    )
    tcp_socket.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS
    )


def new_session(
    *,
    repeatable: bool,
    keepalive_s: float = IDLE_CONNECTION_S,
    connect_s: float = CONNECT_TIMEOUT_S,
) -> aiohttp.ClientSession:
    """Return a session that reuses connections only if ``repeatable``.

    A connection is closed when it has been idle for ``keepalive_s``.
    ``connect_s`` is the timeout for a new connection.
    """
    options: dict[str, Any] = {'keepalive_timeout': keepalive_s}
    if not repeatable:
        options = {'force_close': True}
    connector = _Connector(limit=0, socket_factory=_new_socket, **options)
    loop = asyncio.get_running_loop()
    connector._factory = functools.partial(
        exchange_protocol.ExchangeProtocol, loop=loop
    )
    return aiohttp.ClientSession(
        connector=connector,
        cookie_jar=aiohttp.DummyCookieJar(),
        timeout=aiohttp.ClientTimeout(total=None, connect=connect_s),
        auto_decompress=False,
        read_bufsize=READ_BUFFER_BYTES,
        middlewares=(_translate_errors,),
    )


def url_of(base_url: str, target: str) -> yarl.URL:
    """Return the URL by which a target is sent byte for byte."""
    base = yarl.URL(base_url, encoded=True)
    # All of the target is the path: as a query, an empty one is dropped.
    return yarl.URL.build(
        scheme=base.scheme,
        host=base.host,
        port=base.port,
        path=base.raw_path.rstrip('/') + target,
        encoded=True,
    )
