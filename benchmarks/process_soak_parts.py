"""Callers and upstreams of the process soak."""

import asyncio
from collections.abc import Callable
import contextlib
import hashlib
import itertools
import random
import time

from benchmarks import process_soak_checks as checks
from benchmarks import upgrade_fleet

__all__ = ['Caller', 'Upstream', 'configuration']

WORK_S = (0.005, 0.2)
RESTART_S = (0.2, 1.5)
# An upstream that is started again at once, as another instance.
REPLACEMENT_S = (0.002, 0.02)
REPLACEMENT_SHARE = 0.5
SECOND_COPY_S = (0.0005, 0.02)
SECOND_COPY_SHARE = 0.5
MISDIRECTED = 421
REJECTIONS = (429, 503)
FAULTS = ('reject', 'abort', 'half', 'error', 'unmarked', 'flood')
FLOOD_S = 1.0
FLOOD_PIECE = b'HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na' * 500
KEY = 'key-of-the-kitchens'
UNKNOWN_KEY = 'key-of-nobody'
UNKNOWN_KEY_SHARE = 0.03
# Statuses that would tell a caller that its request has not run.
UNMARKED_STATUSES = (408, 429, 503)
RESPONSE_TIMEOUT_S = 6.0
PAUSE_S = (0.0, 0.1)
LEAVES_AFTER_S = (0.0, 0.3)
LEAVES_SHARE = 0.3
LARGE_BODY_SHARE = 0.03
LARGE_BODY_BYTES = 3_000_000
SMALL_BODY_BYTES = 2_000
_numbers = itertools.count()


def configuration(version: int) -> dict:
    """Return a configuration with a repeatable and another route."""
    content = upgrade_fleet.configuration(version)
    route = content['routes'][0]
    orders = {
        **route,
        'name': 'orders',
        'path_prefix': '/orders/',
        'repeatable': False,
    }
    return {**content, 'routes': [route, orders]}


async def read_message(reader: asyncio.StreamReader):
    """Return the first line, the headers and the body of a message."""
    head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
    line, *rows = head.split('\r\n')
    pairs = (row.split(': ', 1) for row in rows if ': ' in row)
    headers = {name.lower(): value for name, value in pairs}
    body = await reader.readexactly(int(headers.get('content-length', 0)))
    return line, headers, body


def digest(request_id: str, body: bytes) -> bytes:
    """Return what an upstream responds to a request."""
    return hashlib.sha256(request_id.encode() + body).hexdigest().encode()


class Upstream:
    """Upstream that crashes, breaks off and rejects now and then.

    ``name`` is its id for as long as no other instance takes its address.
    ``announce`` is called when another one has, and ``on_run`` when it begins
    to run a request.
    """

    def __init__(
        self,
        *,
        name: str,
        rng: random.Random,
        seen: checks.Observations,
        announce: Callable[[], None] = lambda: None,
        on_run: Callable[[], None] = lambda: None,
    ) -> None:
        self._first_name = name
        self._replacements = 0
        self._announce = announce
        self._on_run = on_run
        self._rng = rng
        self._seen = seen
        self._faulty_share = 0.0
        self._writers: set[asyncio.StreamWriter] = set()
        self._restarting: asyncio.Task | None = None
        self.address = ''

    @property
    def name(self) -> str:
        """Return the id of the instance that listens."""
        if not self._replacements:
            return self._first_name
        return f'{self._first_name}-{self._replacements}'

    @property
    def born_ms(self) -> int:
        """Return when the instance started."""
        return 1000 + self._replacements

    async def start(self) -> None:
        """Listen, at the same address as before."""
        port = int(self.address.rpartition(':')[2] or 0)
        self._server = await asyncio.start_server(
            self._serve, '127.0.0.1', port, limit=2**22
        )
        self.address = '{}:{}'.format(
            *self._server.sockets[0].getsockname()[:2]
        )

    async def stop(self) -> None:
        """Stop listening and abort all connections."""
        self._server.close()
        for writer in self._writers:
            writer.transport.abort()

    def change(self) -> None:
        """Crash, or become more or less faulty."""
        self._faulty_share = self._rng.choice((0.0, 0.0, 0.05, 0.3))
        if self._rng.random() < 0.2 and not self._is_restarting():
            self._restarting = asyncio.create_task(self._crash())

    def calm(self) -> None:
        """Be sound from now on."""
        self._faulty_share = 0.0

    def _is_restarting(self) -> bool:
        return self._restarting is not None and not self._restarting.done()

    async def _crash(self) -> None:
        await self.stop()
        if self._rng.random() < REPLACEMENT_SHARE:
            await asyncio.sleep(self._rng.uniform(*REPLACEMENT_S))
            self._replacements += 1
            await self.start()
            self._announce()
            return
        await asyncio.sleep(self._rng.uniform(*RESTART_S))
        await self.start()

    async def _serve(self, reader, writer) -> None:
        self._writers.add(writer)
        try:
            while True:
                _line, headers, body = await read_message(reader)
                await self._respond(writer, headers, body)
        except (OSError, EOFError, asyncio.LimitOverrunError):
            writer.transport.abort()
        finally:
            self._writers.discard(writer)

    async def _respond(self, writer, headers, body) -> None:
        request_id = headers.get('request-id', '')
        if headers.get('expect-upstream') != self.name:
            await self._reject(writer, request_id, MISDIRECTED)
            return
        fault = ''
        if self._rng.random() < self._faulty_share:
            fault = self._rng.choice(FAULTS)
        if fault == 'reject':
            status = self._rng.choice(REJECTIONS)
            await self._reject(writer, request_id, status)
            return
        self._seen.arrived(request_id)
        self._on_run()
        await asyncio.sleep(self._rng.uniform(*WORK_S))
        status, content = 200, digest(request_id, body)
        if fault == 'error':
            status, content = 500, b''
        if fault == 'unmarked':
            status, content = self._rng.choice(UNMARKED_STATUSES), b''
        data = _message(status, request_id, content)
        if fault == 'abort':
            raise ConnectionError
        if fault == 'half':
            writer.write(data[: -(len(content) // 2)])
            raise ConnectionError
        writer.write(data)
        await writer.drain()
        if fault == 'flood':
            await _flood(writer)

    async def _reject(self, writer, request_id: str, status: int) -> None:
        """Reject a request, and perhaps say so once more a little later."""
        data = _message(status, request_id, b'', 'Answer-Not-Run: 1')
        writer.write(data)
        await writer.drain()
        if self._rng.random() > SECOND_COPY_SHARE:
            return
        delay_s = self._rng.uniform(*SECOND_COPY_S)
        asyncio.get_running_loop().call_later(delay_s, _write, writer, data)


async def _flood(writer: asyncio.StreamWriter) -> None:
    """Send bytes that nobody asked for, until the connection is closed."""
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(FLOOD_S):
            while not writer.is_closing():
                writer.write(FLOOD_PIECE)
                await writer.drain()


def _write(writer: asyncio.StreamWriter, data: bytes) -> None:
    if not writer.is_closing():
        writer.write(data)


def _message(
    status: int, request_id: str, content: bytes, *rows: str
) -> bytes:
    """Return a response of an upstream."""
    lines = [
        f'HTTP/1.1 {status} X',
        f'Request-Id: {request_id}',
        'Answer-Seal: s',
        f'Content-Length: {len(content)}',
        *rows,
        '',
        '',
    ]
    return '\r\n'.join(lines).encode() + content


class Caller:
    """Caller that keeps its connection until it ends, or leaves."""

    def __init__(
        self,
        *,
        rng: random.Random,
        seen: checks.Observations,
        addresses: list[str],
    ) -> None:
        self._rng = rng
        self._seen = seen
        self._addresses = addresses
        self._connection = None

    def close(self) -> None:
        """Close the connection."""
        if self._connection is not None:
            self._connection[1].transport.abort()
            self._connection = None

    async def call(self) -> None:
        """Send one request, and read its response or leave."""
        await asyncio.sleep(self._rng.uniform(*PAUSE_S))
        request_id = f's{next(_numbers)}'
        repeatable = self._rng.random() < 0.5
        item = checks.Request(
            repeatable=repeatable,
            sent_s=time.monotonic(),
            has_key=self._rng.random() > UNKNOWN_KEY_SHARE,
        )
        self._seen.requests[request_id] = item
        leaves = self._rng.random() < LEAVES_SHARE
        limit_s = RESPONSE_TIMEOUT_S
        if leaves:
            limit_s = self._rng.uniform(*LEAVES_AFTER_S)
        try:
            async with asyncio.timeout(limit_s):
                await self._exchange(request_id, item)
        except TimeoutError:
            self.close()
            item.left_s = time.monotonic()
        except (OSError, EOFError):
            self.close()

    async def _exchange(self, request_id: str, item) -> None:
        if self._connection is None:
            host, _colon, port = self._rng.choice(self._addresses).partition(
                ':'
            )
            self._connection = await asyncio.open_connection(
                host, port, limit=2**22
            )
        reader, writer = self._connection
        size = SMALL_BODY_BYTES
        if self._rng.random() < LARGE_BODY_SHARE:
            size = LARGE_BODY_BYTES
        body = self._rng.randbytes(self._rng.randrange(size))
        path = 'pans' if item.repeatable else 'orders'
        rows = [
            f'POST /{path}/{request_id} HTTP/1.1',
            'Host: pans.example',
            f'Request-Key: {KEY if item.has_key else UNKNOWN_KEY}',
            f'Request-Id: {request_id}',
            'Request-Deadline-Ms: 3000',
            f'Content-Length: {len(body)}',
        ]
        writer.write('\r\n'.join([*rows, '', '']).encode() + body)
        line, headers, content = await read_message(reader)
        item.status = int(line.split(' ')[1])
        if item.status == 200:
            item.is_wrong = content != digest(request_id, body)
        if headers.get('connection', '').lower() == 'close':
            with contextlib.suppress(OSError):
                self.close()
