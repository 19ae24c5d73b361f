"""The operator, the servers and the clients, as the pages describe them."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import json
import secrets
import time

from review.support import deployment as deployments
from review.support import http
from review.support import record as records

CALL_TIMEOUT_S = 1.0

Behaviour = Callable[
    ['Server', http.Message, asyncio.StreamReader, asyncio.StreamWriter],
    Awaitable[bool],
]


class Operator:
    """Send orders to control hosts; move on after a second."""

    def __init__(
        self, *, addresses: list[str], record: records.Record
    ) -> None:
        self.addresses = addresses
        self._record = record

    async def order(
        self,
        path: str,
        body: bytes = b'',
        *,
        first: str | None = None,
        timeout_s: float = 15.0,
    ) -> http.Message:
        """Send an order until it has a clear response."""
        data = http.encode(
            f'POST {path} HTTP/1.1',
            {'Host': 'control', 'Content-Type': 'application/json'},
            body,
        )
        others = [a for a in self.addresses if a != first]
        turn = [first, *others] if first else others
        async with asyncio.timeout(timeout_s):
            for number in range(1000):
                address = turn[number % len(turn)]
                response = await self._attempt(path, address, data)
                if response is not None and response.status < 500:
                    return response
                await asyncio.sleep(0.05 * (number + 1))
        raise TimeoutError

    async def _attempt(
        self, path: str, address: str, data: bytes
    ) -> http.Message | None:
        try:
            response = await http.exchange(
                address, data, timeout_s=CALL_TIMEOUT_S
            )
        except (OSError, EOFError) as error:
            self._record.write(
                'order_unanswered', path=path, at=address, why=repr(error)
            )
            return None
        self._record.write(
            'order_answered', path=path, at=address, status=response.status
        )
        return response


class Server:
    """Server of a service, which reports itself and runs requests.

    ``ran`` has the time and the id of each request that began to run, by
    the monotonic clock.
    """

    def __init__(
        self,
        *,
        service: str,
        ip: str,
        zone: str,
        controls: list[str],
        record: records.Record,
        behaviour: Behaviour,
        slots: int = 9,
    ) -> None:
        self.id = f'i-{secrets.token_hex(4)}'
        self.service = service
        self.zone = zone
        self.state = 'ready'
        self.ran: list[tuple[float, str]] = []
        self._ip = ip
        self._slots = slots
        self._controls = controls
        self._record = record
        self._behaviour = behaviour
        self._born_ms = int(time.time() * 1000)
        self._sequence = 0

    async def start(self) -> None:
        """Listen, and begin to report."""
        self._server = await asyncio.start_server(
            self._serve, self._ip, 0, limit=2**20
        )
        port = self._server.sockets[0].getsockname()[1]
        self.address = f'{self._ip}:{port}'
        self._beats = asyncio.create_task(self._beat())

    async def stop(self) -> None:
        """Stop."""
        self._beats.cancel()
        self._server.close()

    async def _beat(self) -> None:
        number = 0
        while True:
            for _attempt in self._controls:
                address = self._controls[number % len(self._controls)]
                if await self._report(address):
                    break
                number += 1
            await asyncio.sleep(deployments.BEAT_S)

    async def _report(self, address: str) -> bool:
        self._sequence += 1
        body = {
            'Service': self.service,
            'Addr': self.address,
            'Zone': self.zone,
            'Version': 'v1',
            'Slots': self._slots,
            'State': self.state,
            'ColdLeft': '0ms',
            'Seq': self._sequence,
            'born': self._born_ms,
        }
        data = http.encode(
            f'POST /rpc?call=instances.heartbeat&of={self.id} HTTP/1.1',
            {'Host': 'control', 'Content-Type': 'application/json'},
            json.dumps(body).encode(),
        )
        try:
            response = await http.exchange(address, data, timeout_s=1)
        except (OSError, EOFError):
            return False
        return response.status == 200

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while True:
                request = await http.read(reader)
                if not await self._handle(request, reader, writer):
                    break
        except (OSError, EOFError):
            self._record.write('connection_ended', server=self.id)
        finally:
            writer.close()

    async def _handle(
        self,
        request: http.Message,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        expected = request.headers.get('expect-instance')
        if expected not in (None, self.id):
            writer.write(http.encode('HTTP/1.1 421 Other', {'Not-Run': '1'}))
            return True
        self.ran.append(
            (time.monotonic(), request.headers.get('attempt-id', ''))
        )
        self._record.write(
            'ran',
            server=self.id,
            service=self.service,
            zone=self.zone,
            request=request.headers.get('attempt-id'),
            start=request.start.replace(' ', '_'),
            tenant=request.headers.get('tenant'),
        )
        return await self._behaviour(self, request, reader, writer)


def answer_after(work_s: float, body: bytes = b'done') -> Behaviour:
    """Return the behaviour of a sound server that works so long."""

    async def behave(server, request, reader, writer) -> bool:
        await asyncio.sleep(work_s)
        writer.write(
            http.encode(
                'HTTP/1.1 200 OK',
                {
                    'Attempt-Id': request.headers.get('attempt-id', ''),
                    'Reply-Seal': f'{server.id}.{len(body)}',
                    'Content-Type': 'text/plain',
                },
                body,
            )
        )
        await writer.drain()
        return True

    return behave


def request(
    *,
    host: str,
    path: str,
    key: str | None = None,
    method: str = 'GET',
    body: bytes = b'',
    deadline_ms: int = 4000,
    affinity: str | None = None,
) -> tuple[str, bytes]:
    """Return the id and the bytes of a new attempt of a client."""
    attempt_id = secrets.token_hex(8)
    headers = {
        'Host': host,
        'Attempt-Id': attempt_id,
        'Deadline-Ms': str(deadline_ms),
    }
    if affinity is not None:
        headers['Affinity-Key'] = affinity
    if key is not None:
        headers['Api-Key'] = key
    return attempt_id, http.encode(f'{method} {path} HTTP/1.1', headers, body)


def route(service: str, path_prefix: str, **fields: object) -> dict:
    """Return a route of a configuration."""
    return {
        'Host': 'pans.example',
        'PathPrefix': path_prefix,
        'Kind': 'safe',
        'Timeout': '4000ms',
        'Goal': '600ms',
        'Priority': 1,
        'Service': service,
        'Attempts': 2,
        'Public': False,
        'Sticky': False,
        'HomeRegions': [],
        **fields,
    }


def service() -> dict:
    """Return a service of a configuration."""
    return {
        'HealthPath': '/healthz',
        'MaxConns': 360,
        'Proto': 'h1',
        'Tls': False,
        'Cold': '3s',
        'ColdPerS': 50.0,
    }


def configuration(
    version: int, *, routes: dict, services: dict, tenants: dict | None
) -> bytes:
    """Return the body of a configuration."""
    document = {
        'Version': f'{version:08x}',
        'Routes': routes,
        'Services': services,
        'Limits': {
            'MaxHeaderBytes': 16384,
            'MaxBodyBytes': 67108864,
            'HeaderTimeout': '3000ms',
            'IdleTimeout': '15000ms',
        },
    }
    if tenants is not None:
        document['Tenants'] = tenants
    return json.dumps(document).encode()


def tenant(*keys: str) -> dict:
    """Return a tenant of a configuration."""
    return {
        'ApiKeys': list(keys),
        'Priority': 0,
        'RatePerS': 0,
        'Burst': 0,
        'HomeRegions': [],
    }
