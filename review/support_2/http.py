"""Speak HTTP/1.1 on a stream, byte for byte and without a library.

The stand-ins need to send a body in two parts, or to leave in the middle, so
that nothing may stand between them and the socket.
"""

import asyncio
import dataclasses

__all__ = ['Message', 'read_message', 'request', 'request_bytes']

MAX_HEAD_BYTES = 64 * 1024


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Message:
    """First line, headers by lower-case name, and body."""

    first_line: str
    headers: dict[str, str]
    body: bytes

    @property
    def status(self) -> int:
        """Return the status of a response."""
        return int(self.first_line.split(' ')[1])

    @property
    def method(self) -> str:
        """Return the method of a request."""
        return self.first_line.split(' ')[0]

    @property
    def target(self) -> str:
        """Return the path and query of a request."""
        return self.first_line.split(' ')[1]


async def read_message(reader: asyncio.StreamReader) -> Message:
    """Return the next message; it has a length or is sent in chunks.

    Raises ``IncompleteReadError`` if the connection ends before it does.
    """
    head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
    first_line, *lines = head.strip('\r\n').split('\r\n')
    headers = {}
    for line in lines:
        name, _colon, value = line.partition(':')
        headers[name.strip().lower()] = value.strip()
    if headers.get('transfer-encoding', '').lower() == 'chunked':
        body = await _read_chunks(reader)
    else:
        body = await reader.readexactly(int(headers.get('content-length', 0)))
    return Message(first_line=first_line, headers=headers, body=body)


async def _read_chunks(reader: asyncio.StreamReader) -> bytes:
    parts = []
    while True:
        size = int((await reader.readline()).split(b';')[0], 16)
        if size == 0:
            while (await reader.readline()).strip():
                pass
            return b''.join(parts)
        parts.append(await reader.readexactly(size))
        await reader.readline()


def request_bytes(
    method: str, target: str, headers: dict[str, str], body: bytes = b''
) -> bytes:
    """Return a request with a length, as it is sent."""
    lines = [f'{method} {target} HTTP/1.1']
    lines += [f'{name}: {value}' for name, value in headers.items()]
    if body or method != 'GET':
        lines.append(f'Content-Length: {len(body)}')
    return '\r\n'.join([*lines, '', '']).encode('latin-1') + body


async def request(
    address: str,
    data: bytes,
    *,
    timeout_s: float,
    rest: bytes = b'',
    pause_s: float = 0.0,
) -> Message | None:
    """Send a request on a new connection; return its response, or None.

    ``rest`` is sent ``pause_s`` after ``data``. The connection is closed
    in every case.
    """
    host, _colon, port = address.rpartition(':')
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(
                host, int(port), limit=MAX_HEAD_BYTES
            )
            writer.write(data)
            if rest:
                await asyncio.sleep(pause_s)
                writer.write(rest)
            return await read_message(reader)
    except (OSError, TimeoutError, EOFError, ValueError):
        return None
    finally:
        if writer is not None:
            writer.close()
