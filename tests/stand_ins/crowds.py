"""Clients that do not behave, many at a time, on raw sockets.

Each kind of client is a coroutine over one open connection. Load is bounded:
a client sends ``MAX_SENT_BYTES`` at most, and stops when the host has closed
the connection or the patience of the crowd is over.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import itertools
import socket

__all__ = [
    'Crowd',
    'after_a_bad_request',
    'bad_requests',
    'body_unfinished',
    'endless',
    'half_head',
    'many_requests',
    'silent',
    'silent_again',
    'unread',
]

MAX_SENT_BYTES = 16 * 1024 * 1024
BLOCK_BYTES = 64 * 1024
SMALL_BUFFER_BYTES = 4096
CONNECT_TIMEOUT_S = 5.0
TRICKLE_S = 0.5

Client = Callable[[socket.socket], Awaitable[None]]


class Crowd:
    """Clients of one kind at one address, as an asynchronous context.

    ``small_buffers`` keeps the clients' receive buffers small, so that what
    they do not read stays at the host.
    """

    def __init__(
        self,
        client: Client,
        *,
        address: tuple[str, int],
        clients: int,
        small_buffers: bool = False,
    ) -> None:
        self._client = client
        self._address = address
        self._clients = clients
        self._small_buffers = small_buffers
        self._sockets: list[socket.socket] = []
        self._tasks: list[asyncio.Task[None]] = []

    async def __aenter__(self) -> 'Crowd':
        """Start all clients."""
        self._tasks = [
            asyncio.create_task(self._run()) for _ in range(self._clients)
        ]
        return self

    async def __aexit__(self, *_exception: object) -> None:
        """Close all connections."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for item in self._sockets:
            item.close()

    async def _run(self) -> None:
        connection = socket.socket()
        connection.setblocking(False)
        if self._small_buffers:
            connection.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES
            )
        self._sockets.append(connection)
        loop = asyncio.get_running_loop()
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                await loop.sock_connect(connection, self._address)
            await self._client(connection)

    async def finished(self, *, patience_s: float) -> int:
        """Wait for the clients to end; return how many have not."""
        _done, pending = await asyncio.wait(self._tasks, timeout=patience_s)
        return len(pending)


async def _until_closed(connection: socket.socket) -> None:
    """Read until the host has closed the connection."""
    loop = asyncio.get_running_loop()
    while await loop.sock_recv(connection, BLOCK_BYTES):
        pass


@contextlib.asynccontextmanager
async def _while_open(connection: socket.socket):
    """Run the block until the host has closed the connection."""
    closed = asyncio.ensure_future(_until_closed(connection))
    task = asyncio.current_task()
    closed.add_done_callback(lambda _future: task.cancel())
    try:
        yield
        await closed
    except asyncio.CancelledError:
        if not closed.done():
            raise
        task.uncancel()
    finally:
        closed.cancel()
        with contextlib.suppress(asyncio.CancelledError, OSError):
            await closed


def endless(start: bytes, piece: bytes) -> Client:
    """Return a client that sends a piece again and again after a start."""

    async def client(connection: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        block = piece * max(1, BLOCK_BYTES // len(piece))
        async with _while_open(connection):
            await loop.sock_sendall(connection, start)
            for _ in range(MAX_SENT_BYTES // len(block)):
                await loop.sock_sendall(connection, block)
                await asyncio.sleep(0)

    return client


def half_head(start: bytes) -> Client:
    """Return a client that sends a start, then a byte each half second."""

    async def client(connection: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        async with _while_open(connection):
            await loop.sock_sendall(connection, start)
            while True:
                await asyncio.sleep(TRICKLE_S)
                await loop.sock_sendall(connection, b'x')

    return client


async def silent(connection: socket.socket) -> None:
    """Keep a connection open until the host closes it."""
    with contextlib.suppress(OSError):
        await _until_closed(connection)


async def silent_again(connection: socket.socket) -> None:
    """Keep a connection open, and open another one when it is closed."""
    address = connection.getpeername()
    loop = asyncio.get_running_loop()
    await silent(connection)
    while True:
        with socket.socket() as other, contextlib.suppress(OSError):
            other.setblocking(False)
            await loop.sock_connect(other, address)
            await _until_closed(other)
        await asyncio.sleep(0.05)


def after_a_bad_request(start: bytes, piece: bytes) -> Client:
    """Return a client that reads nothing and sends on after a refusal."""

    async def client(connection: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        await loop.sock_sendall(connection, start)
        sent = 0
        while sent < MAX_SENT_BYTES:
            await loop.sock_sendall(connection, piece)
            sent += len(piece)

    return client


def unread(
    request: bytes, *, every_s: float | None, size_bytes: int = 1
) -> Client:
    """Return a client that does not read the answer to its request.

    With ``every_s`` it reads ``size_bytes`` each so many seconds.
    """

    async def client(connection: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        await loop.sock_sendall(connection, request)
        while True:
            await asyncio.sleep(every_s or TRICKLE_S)
            if every_s is not None:
                data = await loop.sock_recv(connection, size_bytes)
                if not data:
                    return

    return client


def many_requests(request: bytes, *, count: int) -> Client:
    """Return a client that sends requests and reads no answer."""

    async def client(connection: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        for _ in range(count):
            await loop.sock_sendall(connection, request)
        await asyncio.Event().wait()

    return client


def body_unfinished(head: bytes, *, size_bytes: int) -> Client:
    """Return a client that sends its body but for the last byte."""

    async def client(connection: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        async with _while_open(connection):
            await loop.sock_sendall(connection, head)
            await loop.sock_sendall(connection, b'x' * (size_bytes - 1))
            await asyncio.Event().wait()

    return client


def bad_requests(request: bytes, *, count: int, address) -> Client:
    """Return a client that sends a bad request on each new connection."""

    async def client(_connection: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        for _number in itertools.repeat(None, count):
            with socket.socket() as other, contextlib.suppress(OSError):
                other.setblocking(False)
                await loop.sock_connect(other, address)
                await loop.sock_sendall(other, request)
                await _until_closed(other)

    return client
