"""Upstream on loopback that sends scripted bytes."""

import asyncio
import socket
import struct

SEAL = 'Answer-Seal'
ID = 'Request-Id'
NOT_RUN = 'Answer-Not-Run'


class RawUpstream:
    """Upstream that runs the next behaviour of a list for each request.

    The last behaviour repeats. ``seen`` has method, target, headers and body
    of each request that was received completely.
    """

    def __init__(self, *behaviours):
        self._behaviours = list(behaviours)
        self.seen = []
        self.closed = asyncio.Event()

    async def start(self):
        self._server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        host, port = self._server.sockets[0].getsockname()
        self.address = f'{host}:{port}'

    async def stop(self):
        self._server.close()

    def replace(self, *behaviours):
        """Replace the behaviours."""
        self._behaviours = list(behaviours)

    def crash_with(self, behaviour):
        """Return a behaviour after whose part of a response nothing listens.

        The connection is open until the listening socket is closed.
        """

        async def behave(request_id, reader, writer):
            self._server.close()
            await behaviour(request_id, reader, writer)

        return behave

    async def _serve(self, reader, writer):
        try:
            while True:
                head = (await reader.readuntil(b'\r\n\r\n')).decode()
                line, *rows = head.split('\r\n')
                headers = dict(
                    row.split(': ', 1) for row in rows if ': ' in row
                )
                size = int(headers.get('Content-Length', 0))
                body = await reader.readexactly(size)
                method, target, _version = line.split(' ')
                self.seen.append((method, target, headers, body))
                behaviour = self._behaviours[0]
                if len(self._behaviours) > 1:
                    self._behaviours.pop(0)
                await behaviour(headers.get(ID, ''), reader, writer)
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()
        except asyncio.CancelledError:
            # The event loop of the test is stopping, so no response is sent.
            writer.close()
        finally:
            self.closed.set()


def _head(status, request_id, *rows):
    return '\r\n'.join(
        [f'HTTP/1.1 {status} X', f'{ID}: {request_id}', *rows, '', '']
    ).encode()


def respond(status=200, body=b'done', rows=(f'{SEAL}: s',), tail=b''):
    """Return a behaviour that sends a response, then ``tail``."""

    async def behave(request_id, reader, writer):
        rows_sent = (*rows, f'Content-Length: {len(body)}')
        writer.write(_head(status, request_id, *rows_sent) + body + tail)

    return behave


def reject(status=503):
    """Return a behaviour that reports that the request was not run."""
    return respond(status, b'', rows=(f'{NOT_RUN}: 1',))


async def respond_with_other_id(request_id, reader, writer):
    """Send a response with the id of another request."""
    await respond()('another', reader, writer)


async def close_connection(request_id, reader, writer):
    """Close the connection without a response."""
    writer.close()


async def close_after_half(request_id, reader, writer):
    """Send half of a response and close the connection."""
    writer.write(_head(200, request_id, f'{SEAL}: s', 'Content-Length: 8'))
    writer.write(b'half')
    await writer.drain()
    writer.close()


def respond_without_length(*, is_reset):
    """Return a behaviour that sends a response without length.

    The response ends when the connection is closed or reset.
    """

    async def behave(request_id, reader, writer):
        writer.write(_head(200, request_id, f'{SEAL}: s') + b'all')
        await writer.drain()
        if is_reset:
            await asyncio.sleep(0.05)
            sock = writer.get_extra_info('socket')
            sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0)
            )
        writer.close()

    return behave


async def never_respond(request_id, reader, writer):
    """Send nothing until the caller closes the connection."""
    await reader.read(1)
    writer.close()


def respond_again_later(first, *, delay_s=0.1):
    """Return a behaviour that sends a response, and once more later."""

    async def behave(request_id, reader, writer):
        await first(request_id, reader, writer)

        async def repeat():
            await asyncio.sleep(delay_s)
            await first(request_id, reader, writer)

        writer.repetition = asyncio.create_task(repeat())

    return behave


def close_inside_head(*lines):
    """Return a behaviour that breaks off after some lines of a head."""

    async def behave(request_id, reader, writer):
        rows = ('HTTP/1.1 200 OK', f'{ID}: {request_id}', *lines)
        writer.write(''.join(f'{row}\r\n' for row in rows).encode())
        await writer.drain()
        writer.close()

    return behave


async def close_inside_chunks(request_id, reader, writer):
    """Send a chunk of a response and close the connection."""
    head = _head(200, request_id, f'{SEAL}: s', 'Transfer-Encoding: chunked')
    writer.write(head + b'4\r\nhalf\r\n')
    await writer.drain()
    writer.close()


def send_without_end(start, piece):
    """Return a behaviour that sends a piece until the caller closes."""

    async def behave(request_id, reader, writer):
        writer.write(start.replace(b'%ID%', request_id.encode()))
        while not writer.is_closing():
            writer.write(piece)
            await writer.drain()
            await asyncio.sleep(0.0005)

    return behave


def send_after(first, piece, *, delay_s):
    """Return a behaviour that sends pieces without end after a response.

    They begin after a delay and end when the caller closes.
    """

    async def behave(request_id, reader, writer):
        await first(request_id, reader, writer)
        await writer.drain()
        await asyncio.sleep(delay_s)
        await send_without_end(b'', piece)(request_id, reader, writer)

    return behave


def close_after_bytes(count, *more_rows):
    """Return a behaviour that breaks off a longer body after ``count``."""

    async def behave(request_id, reader, writer):
        rows = (f'{SEAL}: s', f'Content-Length: {2 * count}', *more_rows)
        writer.write(_head(200, request_id, *rows) + b'x' * count)
        await writer.drain()
        writer.close()

    return behave
