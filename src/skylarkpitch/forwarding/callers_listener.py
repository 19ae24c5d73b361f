"""Listen for connections of callers, within the configured limits."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import socket

from aiohttp import web
import structlog

from skylarkpitch import errors
from skylarkpitch.fleet import model
from skylarkpitch.listening import guard as guards
from skylarkpitch.listening import limits as connection_limits
from skylarkpitch.listening import serving
from skylarkpitch.requests import exchange_sessions as sessions

__all__ = ['CallersListener', 'bind', 'limits_of']

# Time to accept the connections, and to read the requests, that have arrived.
ARRIVED_S = 0.05
# How long connections may take to close once their requests are aborted.
ABORT_TIMEOUT_S = 0.05
TAKEN_CHECK_INTERVAL_S = 0.02
MS_PER_S = 1000

_log = structlog.get_logger(__name__)

Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]


def bind(host_port: str) -> socket.socket:
    """Return a listening socket for ``host:port``.

    Raises ``SettingsError`` if the address cannot be bound.
    """
    host, _colon, port = host_port.rpartition(':')
    listening_socket = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    listening_socket.setblocking(False)
    listening_socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    # Accepted connections inherit these options from the listening socket.
    sessions.enable_dead_peer_detection(listening_socket)
    try:
        listening_socket.bind((host, int(port)))
    except OSError as error:
        listening_socket.close()
        raise errors.SettingsError(
            f'address {host_port} cannot be bound ({error.strerror}); '
            'configure a free address of this host'
        ) from error
    listening_socket.listen(serving.ACCEPT_BACKLOG_CONNECTIONS)
    return listening_socket


def limits_of(
    limits: model.CallerLimits,
) -> connection_limits.ConnectionLimits:
    """Return the limits of connections under the limits of callers.

    A limit of 0 stands for the default of connections.
    """
    default = connection_limits.ConnectionLimits()
    header_timeout_s = limits.header_timeout_ms / MS_PER_S
    idle_timeout_s = limits.idle_timeout_ms / MS_PER_S
    return connection_limits.ConnectionLimits(
        header_bytes=int(limits.max_header_bytes) or default.header_bytes,
        header_timeout_s=header_timeout_s or default.header_timeout_s,
        idle_timeout_s=idle_timeout_s or default.idle_timeout_s,
    )


class CallersListener:
    """Listener on one address, whose connections a guard limits.

    New time-outs apply to all connections, new sizes to new ones.
    """

    def __init__(
        self,
        *,
        address: str,
        handler: Handler,
        guard: guards.ConnectionGuard,
    ) -> None:
        self._address = address
        self._handler = handler
        self._guard = guard
        self._server: web.Server | None = None
        self._tcp_server: asyncio.Server | None = None

    async def open(self, limits: model.CallerLimits) -> None:
        """Start listening."""
        self.set_limits(limits)
        self._server = web.Server(self._handler, handler_cancellation=True)
        self._tcp_server = await serving.serve(
            self._server,
            guard=self._guard,
            listening_socket=bind(self._address),
        )

    def set_limits(self, limits: model.CallerLimits) -> None:
        """Set the limits of connections."""
        self._guard.set_limits(limits_of(limits))

    def stop_listening(self) -> None:
        """Stop accepting connections."""
        if self._tcp_server is not None:
            self._tcp_server.close()

    async def close(self, *, timeout_s: float) -> None:
        """Close the connections, each after its current request.

        Requests that have arrived before this call are answered. Then idle
        connections are closed at once. Requests that have not ended within
        ``timeout_s`` are aborted, as are answers that have not been taken.
        """
        loop = asyncio.get_running_loop()
        abort_s = loop.time() + 2 * ARRIVED_S + timeout_s
        await asyncio.sleep(ARRIVED_S)
        self.stop_listening()
        await asyncio.sleep(ARRIVED_S)
        self._server.pre_shutdown()
        if not await self._wait_closed(timeout_s):
            _log.warning('requests_broken_off', timeout_s=round(timeout_s, 2))
            await self._wait_closed(ABORT_TIMEOUT_S)
        while self._guard.connections and loop.time() < abort_s:
            await asyncio.sleep(TAKEN_CHECK_INTERVAL_S)

    async def _wait_closed(self, timeout_s: float) -> bool:
        """Return whether all connections closed within the time-out."""
        try:
            async with asyncio.timeout(2 * ABORT_TIMEOUT_S + timeout_s):
                await self._server.shutdown(timeout_s)
        except TimeoutError:
            return False
        return True
