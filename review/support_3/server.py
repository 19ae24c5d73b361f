"""A server as the pages describe it: it reports itself, and runs requests."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import time

from support_3 import http
from support_3 import record as records

__all__ = ['Request', 'Server']

BEAT_S = 1.5
ACK_S = 1.0
MAX_ACK_BYTES = 4096


class Request:
    """One request as a server has read it."""

    def __init__(self, *, line: str, headers: dict, body: bytes) -> None:
        self.method, self.target, _version = line.split()
        self.headers = headers
        self.body = body

    @property
    def attempt_id(self) -> str:
        """Return the id of the client's attempt."""
        return self.headers.get('attempt-id', '')


# Works on a request and returns the body of the answer.
Work = Callable[[Request], Awaitable[bytes]]


class Server:
    """One server of a service.

    ``ran`` has the ids of the requests that it began to work on.
    """

    def __init__(
        self,
        *,
        server_id: str,
        service: str,
        address: tuple[str, int],
        zone: str,
        controls: list[tuple[str, int]],
        work: Work,
        log: records.Record,
        slots: int = 9,
    ) -> None:
        self.server_id = server_id
        self.ran: list[str] = []
        self.state = 'ready'
        self._service = service
        self._address = address
        self._zone = zone
        self._controls = controls
        self._work = work
        self._log = log
        self._slots = slots
        self._sequence = 0
        self._born_ms = int(time.time() * 1000)
        self._listener: asyncio.Server | None = None
        self._beating: asyncio.Task | None = None

    async def start(self) -> None:
        """Listen, and report regularly."""
        self._listener = await asyncio.start_server(
            self._serve, *self._address, limit=256 * 1024
        )
        if not self._address[1]:
            self._address = self._listener.sockets[0].getsockname()[:2]
        self._beating = asyncio.create_task(self._beat())

    async def stop(self) -> None:
        """Stop listening and reporting."""
        if self._beating is not None:
            self._beating.cancel()
        if self._listener is not None:
            self._listener.close()

    async def report(self) -> bool:
        """Report once; return whether it was acknowledged."""
        self._sequence += 1
        body = {
            'Service': self._service,
            'Addr': f'{self._address[0]}:{self._address[1]}',
            'Zone': self._zone,
            'Version': 'v1',
            'Slots': self._slots,
            'State': self.state,
            'ColdLeft': '0ms',
            'Seq': self._sequence,
            'born': self._born_ms,
        }
        target = f'/rpc?call=instances.heartbeat&of={self.server_id}'
        for address in self._controls:
            answer = await http.call(
                address, 'POST', target, body, timeout_s=ACK_S
            )
            if answer is not None and answer.status < 300:
                return len(answer.body) <= MAX_ACK_BYTES
        return False

    async def _beat(self) -> None:
        while True:
            started_s = time.monotonic()
            await self.report()
            took_s = time.monotonic() - started_s
            await asyncio.sleep(max(0.1, BEAT_S - took_s))

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(OSError, EOFError, asyncio.CancelledError):
            while True:
                line, headers = await http.read_head(reader)
                body = await http.read_body(reader, headers)
                request = Request(line=line, headers=headers, body=body)
                writer.write(await self._answer(request))
                await writer.drain()
        writer.close()

    async def _answer(self, request: Request) -> bytes:
        if request.target == '/healthz':
            return (
                'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n'
                f'Instance-Id: {self.server_id}\r\n\r\n'
            ).encode()
        expected = request.headers.get('expect-instance', self.server_id)
        if expected != self.server_id:
            return b'HTTP/1.1 421 Other\r\nContent-Length: 0\r\n\r\n'
        self.ran.append(request.attempt_id)
        self._log.write(
            f'{self.server_id} runs {request.attempt_id} {request.method} '
            f'{request.target} body={len(request.body)}'
        )
        body = await self._work(request)
        head = (
            f'HTTP/1.1 200 OK\r\nAttempt-Id: {request.attempt_id}\r\n'
            f'Reply-Seal: seal-{request.attempt_id}\r\n'
            f'Content-Length: {len(body)}\r\n\r\n'
        )
        return head.encode() + body
