"""Speak HTTP/1.1 as the pages describe it, without any library."""

import asyncio
import dataclasses


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Message:
    """Start line, headers in lower case, and body of one message."""

    start: str
    headers: dict[str, str]
    body: bytes

    @property
    def status(self) -> int:
        """Return the status of a response."""
        return int(self.start.split(' ')[1])


def encode(start: str, headers: dict[str, str], body: bytes = b'') -> bytes:
    """Return a message with a length."""
    rows = [start, *(f'{name}: {value}' for name, value in headers.items())]
    rows.append(f'Content-Length: {len(body)}')
    return '\r\n'.join([*rows, '', '']).encode() + body


async def read(reader: asyncio.StreamReader) -> Message:
    """Read one message; raise ``IncompleteReadError`` if it breaks off."""
    head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
    start, *rows = head[:-4].split('\r\n')
    headers = {}
    for row in rows:
        name, _colon, value = row.partition(':')
        headers[name.strip().lower()] = value.strip()
    if headers.get('transfer-encoding') == 'chunked':
        body = await _read_chunks(reader)
    else:
        length = int(headers.get('content-length', 0))
        body = await reader.readexactly(length)
    return Message(start=start, headers=headers, body=body)


async def _read_chunks(reader: asyncio.StreamReader) -> bytes:
    body = b''
    while True:
        size = int((await reader.readuntil(b'\r\n')).split(b';')[0], 16)
        body += (await reader.readexactly(size + 2))[:size]
        if size == 0:
            return body


async def connect(
    address: str,
) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """Open a connection to ``ip:port``."""
    host, _colon, port = address.rpartition(':')
    return await asyncio.open_connection(host, int(port), limit=2**20)


async def exchange(address: str, data: bytes, *, timeout_s: float) -> Message:
    """Send a request on a connection of its own; return the response.

    Raises ``OSError`` (``TimeoutError`` included) or ``EOFError``.
    """
    async with asyncio.timeout(timeout_s):
        reader, writer = await connect(address)
        try:
            writer.write(data)
            return await read(reader)
        finally:
            writer.close()
