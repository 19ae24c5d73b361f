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
BACKLOG = 1024


class Listener(mode.Service):
    """Own one listening socket and the application behind it."""

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
        """Bind the address; raises ``SettingsError`` when it is taken."""
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
        )
        await self._runner.setup()
        site = web.TCPSite(
            self._runner,
            str(self._address.ip),
            self._address.port,
            ssl_context=self._tls,
            backlog=BACKLOG,
        )
        try:
            await site.start()
        except OSError as error:
            await self._runner.cleanup()
            raise errors.SettingsError(
                f'{self._name} address {self._address.host_port} cannot be '
                f'bound ({error.strerror}); give a free address of this host'
            ) from error

    async def on_stop(self) -> None:
        """Close the socket, letting running requests end first."""
        await self._runner.cleanup()
