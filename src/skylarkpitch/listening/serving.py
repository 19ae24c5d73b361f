"""Serve HTTP at an address, each connection within the limits of a guard."""

import asyncio
import socket
import ssl

from aiohttp import web

from skylarkpitch.listening import client_connection
from skylarkpitch.listening import guard as guards

__all__ = ['ACCEPT_BACKLOG_CONNECTIONS', 'serve']

ACCEPT_BACKLOG_CONNECTIONS = 2048


async def serve(
    server: web.Server,
    *,
    guard: guards.ConnectionGuard,
    listening_socket: socket.socket,
    tls: ssl.SSLContext | None = None,
) -> asyncio.Server:
    """Serve HTTP connections that a listening socket accepts."""
    loop = asyncio.get_running_loop()

    def connect() -> client_connection.ClientReader:
        return client_connection.ClientReader(
            client_connection.ClientConnection(server, loop=loop, guard=guard)
        )

    return await loop.create_server(
        connect,
        sock=listening_socket,
        ssl=tls,
        backlog=ACCEPT_BACKLOG_CONNECTIONS,
    )
