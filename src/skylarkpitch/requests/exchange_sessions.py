"""Client sessions towards upstreams and relays.

The HTTP library would send some requests again by itself and would hand out
connections with bytes left over from an earlier exchange; both are kept from
happening here.
"""

import asyncio
from collections.abc import Callable
import contextvars
import dataclasses
import functools
import socket
from typing import Any

import aiohttp
from aiohttp import client_proto

__all__ = [
    'BrokenError',
    'Progress',
    'UnsentError',
    'enable_dead_peer_detection',
    'new_session',
    'progress',
]

CONNECT_TIMEOUT_S = 1.0
KEEPALIVE_S = 15.0
PROBE_AFTER_S = 1
PROBES = 3
UNACKNOWLEDGED_MS = 3000


@dataclasses.dataclass(slots=True)
class Progress:
    """Whether a byte of the request of this task may have left."""

    connected: bool = False


progress: contextvars.ContextVar[Progress] = contextvars.ContextVar(
    'skylarkpitch_exchange_progress'
)


class UnsentError(Exception):
    """The connection could not be made."""


class BrokenError(Exception):
    """The connection broke after the request began to leave."""


class _Connector(aiohttp.TCPConnector):
    """Hand out connections that hold nothing of an earlier exchange."""

    async def connect(self, req, traces, timeout):
        """Return a connection and note that bytes may leave from now on."""
        while True:
            connection = await super().connect(req, traces, timeout)
            if not connection.protocol.should_close:
                break
            connection.close()
        progress.get().connected = True
        return connection


async def _translate_errors(
    request: aiohttp.ClientRequest, handler: Callable[..., Any]
) -> aiohttp.ClientResponse:
    """Keep the client from sending a request again by itself."""
    try:
        return await handler(request)
    except aiohttp.ClientConnectorError as error:
        raise UnsentError(str(error)) from error
    except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as error:
        raise BrokenError(str(error)) from error


class _Protocol(client_proto.ResponseHandler):
    """Tell a reset from the end of an answer that has no length."""

    def connection_lost(self, exc: BaseException | None) -> None:
        """Fail the answer that is being read when the other end resets."""
        payload = self._payload
        if exc is not None and payload is not None and not payload.is_eof():
            payload.set_exception(
                aiohttp.ClientPayloadError(f'connection reset ({exc})')
            )
        super().connection_lost(exc)


def _new_socket(
    address: tuple[int, int, int, str, tuple[str, int]],
) -> socket.socket:
    """Return a socket that finds a silent connection out by itself."""
    made = socket.socket(*address[:3])
    made.setblocking(False)
    enable_dead_peer_detection(made)
    return made


def enable_dead_peer_detection(made: socket.socket) -> None:
    """Have the kernel end a connection whose other end says nothing."""
    made.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    made.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, PROBE_AFTER_S)
    made.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1)
    made.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, PROBES)
    made.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MS
    )


def new_session(
    *,
    repeatable: bool,
    keepalive_s: float = KEEPALIVE_S,
    connect_s: float = CONNECT_TIMEOUT_S,
) -> aiohttp.ClientSession:
    """Return a session that reuses connections only if ``repeatable``.

    A connection is kept for ``keepalive_s`` after its last answer.
    """
    options: dict[str, Any] = {'keepalive_timeout': keepalive_s}
    if not repeatable:
        options = {'force_close': True}
    connector = _Connector(limit=0, socket_factory=_new_socket, **options)
    loop = asyncio.get_running_loop()
    connector._factory = functools.partial(_Protocol, loop=loop)
    return aiohttp.ClientSession(
        connector=connector,
        cookie_jar=aiohttp.DummyCookieJar(),
        timeout=aiohttp.ClientTimeout(total=None, connect=connect_s),
        auto_decompress=False,
        middlewares=(_translate_errors,),
    )
