"""Serve a set of HTTP routes on one address."""

import asyncio
from collections.abc import Iterable
import socket
import ssl
from typing import Any

from aiohttp import web
import mode

from skylarkpitch import errors
from skylarkpitch.listening import guard as guards
from skylarkpitch.listening import limits as connection_limits
from skylarkpitch.listening import serving
from skylarkpitch.settings import daemon as daemon_settings

__all__ = ['Listener']

KEEPALIVE_TIMEOUT_S = 30.0


class Listener(mode.Service):
    """Serve an HTTP application on one listening socket."""

    def __init__(
        self,
        *,
        name: str,
        address: daemon_settings.Address,
        routes: Iterable[web.RouteDef],
        limits: daemon_settings.LimitSettings,
        resources: connection_limits.Resources,
        connections_share: float,
        tls: ssl.SSLContext | None = None,
        shutdown_timeout_s: float = 5.0,
        **options: Any,
    ) -> None:
        self._name = name
        self._address = address
        self._routes = tuple(routes)
        self._limits = limits
        max_connections = int(connections_share * resources.max_connections)
        self._guard = guards.ConnectionGuard(
            name=name,
            max_connections=max(1, max_connections),
            pool=resources.pool,
            limits=connection_limits.ConnectionLimits(
                header_bytes=limits.max_header_bytes,
                header_timeout_s=limits.header_timeout_s,
                idle_timeout_s=KEEPALIVE_TIMEOUT_S,
                delivery_timeout_s=limits.body_timeout_s,
            ),
        )
        self._tcp_server: asyncio.Server | None = None
        self._tls = tls
        self._shutdown_timeout_s = shutdown_timeout_s
        super().__init__(**options)

    async def on_start(self) -> None:
        """Bind the address; raise ``SettingsError`` if that fails."""
        application = web.Application(
            client_max_size=self._limits.max_body_bytes
        )
        application.add_routes(self._routes)
        self._runner = web.AppRunner(
            application,
            handle_signals=False,
            shutdown_timeout=self._shutdown_timeout_s,
            handler_cancellation=True,
        )
        await self._runner.setup()
        try:
            self._tcp_server = await serving.serve(
                self._runner.server,
                guard=self._guard,
                listening_socket=self._bind(),
                tls=self._tls,
            )
        except OSError as error:
            await self._runner.cleanup()
            raise errors.SettingsError(
                f'{self._name} address {self._address.host_port} cannot be '
                f'bound ({error.strerror}); use a free address of this host'
            ) from error

    def _bind(self) -> socket.socket:
        is_ipv6 = self._address.ip.version == 6
        family = socket.AF_INET6 if is_ipv6 else socket.AF_INET
        address = (str(self._address.ip), self._address.port)
        return socket.create_server(
            address,
            family=family,
            backlog=serving.ACCEPT_BACKLOG_CONNECTIONS,
        )

    async def on_stop(self) -> None:
        """Close the socket, then wait for running requests.

        After ``shutdown_timeout_s`` the requests still running are cancelled.
        """
        if self._tcp_server is not None:
            self._tcp_server.close()
        await self._runner.cleanup()
