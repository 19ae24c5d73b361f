"""HTTP/1.1 as far as the clients and servers of the cases need it."""

import asyncio
import dataclasses
import json

__all__ = ['Answer', 'call', 'read_answer', 'read_head']

CALL_TIMEOUT_S = 1.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Answer:
    """A whole answer; ``headers`` have names in lower case."""

    status: int
    headers: dict[str, str]
    body: bytes


async def read_head(
    reader: asyncio.StreamReader,
) -> tuple[str, dict[str, str]]:
    """Return the first line of a message, and its headers."""
    head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
    line, *rows = head.split('\r\n')
    pairs = (row.partition(':') for row in rows if row)
    return line, {name.lower(): value.strip() for name, _, value in pairs}


async def read_body(
    reader: asyncio.StreamReader, headers: dict[str, str]
) -> bytes:
    """Return the body that follows a head, by its length or in chunks."""
    if headers.get('transfer-encoding', '') != 'chunked':
        return await reader.readexactly(int(headers.get('content-length', 0)))
    body = b''
    while size := int(await reader.readuntil(b'\r\n'), 16):
        body += await reader.readexactly(size)
        await reader.readexactly(2)
    await reader.readuntil(b'\r\n')
    return body


async def read_answer(reader: asyncio.StreamReader) -> Answer:
    """Return an answer; raise ``EOFError`` or ``OSError`` without one."""
    line, headers = await read_head(reader)
    status = int(line.split()[1])
    while status < 200:
        line, headers = await read_head(reader)
        status = int(line.split()[1])
    body = await read_body(reader, headers)
    return Answer(status=status, headers=headers, body=body)


async def call(
    address: tuple[str, int],
    method: str,
    target: str,
    document: object = None,
    *,
    timeout_s: float = CALL_TIMEOUT_S,
) -> Answer | None:
    """Call a control or ready address; return None without an answer."""
    body = b'' if document is None else json.dumps(document).encode()
    head = (
        f'{method} {target} HTTP/1.1\r\nHost: {address[0]}\r\n'
        'Content-Type: application/json\r\nConnection: close\r\n'
        f'Content-Length: {len(body)}\r\n\r\n'
    )
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(*address)
            writer.write(head.encode() + body)
            return await read_answer(reader)
    except (OSError, EOFError, TimeoutError, ValueError):
        return None
    finally:
        if writer is not None:
            writer.close()
