"""Serve a set of HTTP routes on one address."""

from collections.abc import Iterable
import ssl
from typing import Any

from aiohttp import web
import mode

from skylarkpitch import errors
from skylarkpitch.settings import daemon as daemon_settings

__all__ = ['Listener']

KEEPALIVE_TIMEOUT_S = 30.0
ACCEPT_BACKLOG_CONNECTIONS = 1024


class Listener(mode.Service):
    """Serve an HTTP application on one listening socket."""

    def __init__(
        self,
        *,
        name: str,
        address: daemon_settings.Address,
        routes: Iterable[web.RouteDef],
        limits: daemon_settings.LimitSettings,
        tls: ssl.SSLContext | None = None,
        shutdown_timeout_s: float = 5.0,
        **options: Any,
    ) -> None:
        self._name = name
        self._address = address
        self._routes = tuple(routes)
        self._limits = limits
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
            access_log=None,
            handle_signals=False,
            keepalive_timeout=KEEPALIVE_TIMEOUT_S,
            max_line_size=self._limits.max_header_bytes,
            max_field_size=self._limits.max_header_bytes,
            shutdown_timeout=self._shutdown_timeout_s,
            handler_cancellation=True,
            auto_decompress=False,
        )
        await self._runner.setup()
        site = web.TCPSite(
            self._runner,
            str(self._address.ip),
            self._address.port,
            ssl_context=self._tls,
            backlog=ACCEPT_BACKLOG_CONNECTIONS,
        )
        try:
            await site.start()
        except OSError as error:
            await self._runner.cleanup()
            raise errors.SettingsError(
                f'{self._name} address {self._address.host_port} cannot be '
                f'bound ({error.strerror}); use a free address of this host'
            ) from error

    async def on_stop(self) -> None:
        """Close the socket, then wait for running requests.

        After ``shutdown_timeout_s`` the requests still running are cancelled.
        """
        await self._runner.cleanup()
