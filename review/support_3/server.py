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

    ``ran`` has the ids of the requests that it began to work on, and
    ``ran_s`` when, by the monotonic clock. ``heard`` is set by each regular
    report that was acknowledged. While ``is_cut_off``, nothing that
    it reports arrives.
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
        self.ran_s: list[float] = []
        self.is_cut_off = False
        self.heard = asyncio.Event()
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

    def next_report(self) -> dict:
        """Return what it says of itself now, under the next number."""
        self._sequence += 1
        return {
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

    async def report(self) -> bool:
        """Report once; return whether it was acknowledged."""
        return await self.deliver('heartbeat', self.next_report())

    async def leave(self) -> bool:
        """Say that it leaves; return whether that was acknowledged."""
        return await self.deliver('leave', {'born': self._born_ms})

    async def deliver(self, call: str, document: dict) -> bool:
        """Send a call to one control host after the other."""
        target = f'/rpc?call=instances.{call}&of={self.server_id}'
        for address in self._controls:
            answer = await http.call(
                address, 'POST', target, document, timeout_s=ACK_S
            )
            if answer is not None and answer.status < 300:
                return len(answer.body) <= MAX_ACK_BYTES
        return False

    async def _beat(self) -> None:
        while True:
            started_s = time.monotonic()
            if not self.is_cut_off and await self.report():
                self.heard.set()
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
        self.ran_s.append(time.monotonic())
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
