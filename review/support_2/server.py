"""Stand-in of a server: it runs requests and reports itself to control."""

import asyncio
import contextlib
import itertools
import json
import time

from support_2 import http
from support_2 import operator
from support_2 import record as records

__all__ = ['Server']

BEAT_S = 1.5
SLOTS = 8


class Server:
    """A sound server of one service, with one incarnation.

    ``told_address`` is where control last asked it to report to.

    It echoes ``Attempt-Id``, bears a ``Reply-Seal``, and answers 421 where
    ``Expect-Instance`` names another server.
    """

    def __init__(
        self,
        *,
        name: str,
        service: str,
        zone: str,
        ip: str,
        controls: list[str],
        record: records.Record,
        work_s: float = 0.02,
        port: int = 0,
    ) -> None:
        self.name = name
        self.service = service
        self.zone = zone
        self.state = 'ready'
        self._ip = ip
        self._controls = controls
        self._record = record
        self._work_s = work_s
        self.port = port
        self._born_ms = time.time_ns() // 1_000_000
        self._sequence = itertools.count(1)
        self._running = 0
        self._server: asyncio.Server | None = None
        self._beating: asyncio.Task[None] | None = None
        self._connections: set[asyncio.StreamWriter] = set()
        self._address = ''
        self.told_address = ''

    async def start(self) -> None:
        """Listen and begin to send heartbeats."""
        await self.listen()
        self._beating = asyncio.create_task(self._beat_regularly())

    async def listen(self) -> None:
        """Listen, at the port given or at a free one."""
        self._server = await asyncio.start_server(
            self._serve, self._ip, self.port
        )
        self.port = self._server.sockets[0].getsockname()[1]
        self._address = f'{self._ip}:{self.port}'

    def silence(self) -> None:
        """Send no further heartbeats."""
        if self._beating is not None:
            self._beating.cancel()

    async def stop(self) -> None:
        """End at once, without a word."""
        self.silence()
        self._server.close()
        for writer in self._connections:
            writer.close()

    async def beat(self, *, late_s: float = 0.0) -> bool:
        """Send one heartbeat; return whether it was acknowledged.

        It arrives ``late_s`` after it was made.
        """
        body = self._heartbeat()
        await asyncio.sleep(late_s)
        return await self._call('instances.heartbeat', body)

    async def leave(self) -> bool:
        """Say that it leaves; return whether that was acknowledged."""
        return await self._call('instances.leave', b'')

    def _heartbeat(self) -> bytes:
        return json.dumps(
            {
                'Service': self.service,
                'Addr': self._address,
                'Zone': self.zone,
                'Version': 'v1',
                'Slots': SLOTS,
                'State': self.state,
                'ColdLeft': '0ms',
                'Seq': next(self._sequence),
                'born': self._born_ms,
            }
        ).encode()

    async def _call(self, call: str, body: bytes) -> bool:
        for node in list(self._controls):
            response = await operator.post(node, call, self.name, body)
            if response is not None and response.status == 200:
                told = json.loads(response.body).get('HeartbeatAddr', '')
                self.told_address = told or self.told_address
                return True
            # The next node is called from now on.
            self._controls = [*self._controls[1:], self._controls[0]]
        return False

    async def _beat_regularly(self) -> None:
        while True:
            await self.beat()
            await asyncio.sleep(BEAT_S)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._connections.add(writer)
        try:
            with contextlib.suppress(OSError, EOFError, ValueError):
                while True:
                    message = await http.read_message(reader)
                    writer.write(await self._answer(message))
                    await writer.drain()
        finally:
            self._connections.discard(writer)
            writer.close()

    async def _answer(self, message: http.Message) -> bytes:
        attempt = message.headers.get('attempt-id', '')
        if message.target == '/healthz':
            return self._response(200, {'Instance-Id': self.name}, b'')
        if message.headers.get('expect-instance', self.name) != self.name:
            return self._response(421, {'Attempt-Id': attempt}, b'')
        if self._running >= SLOTS:
            headers = {'Attempt-Id': attempt, 'Not-Run': '1'}
            return self._response(503, headers, b'')
        self._running += 1
        self._record.add(
            'run',
            attempt=attempt,
            server=self.name,
            service=self.service,
            zone=self.zone,
            target=message.target,
            bytes=len(message.body),
        )
        await asyncio.sleep(self._work_s)
        self._running -= 1
        headers = {'Attempt-Id': attempt, 'Reply-Seal': f'seal.{attempt}'}
        return self._response(200, headers, f'{self.service} ran'.encode())

    def _response(
        self, status: int, headers: dict[str, str], body: bytes
    ) -> bytes:
        load = f'{self._running},0,{SLOTS}'
        lines = [f'HTTP/1.1 {status} Said', f'Server-Load: {load}']
        lines += [f'{name}: {value}' for name, value in headers.items()]
        lines += [f'Content-Length: {len(body)}', '', '']
        return '\r\n'.join(lines).encode() + body
