"""An upstream on loopback whose answers are scripted, byte by byte."""

import asyncio
import socket
import struct

SEAL = 'Answer-Seal'
ID = 'Request-Id'
NOT_RUN = 'Answer-Not-Run'


class RawUpstream:
    """Answer each request with the next behaviour of a list.

    The last behaviour repeats. ``seen`` holds method, target, headers and
    body of each request that came in whole.
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
            # The loop of the test ends; there is nothing left to answer.
            writer.close()
        finally:
            self.closed.set()


def _head(status, request_id, *rows):
    return '\r\n'.join(
        [f'HTTP/1.1 {status} X', f'{ID}: {request_id}', *rows, '', '']
    ).encode()


def answer(status=200, body=b'done', rows=(f'{SEAL}: s',), tail=b''):
    """Answer whole, with ``tail`` behind the end."""

    async def behave(request_id, reader, writer):
        rows_sent = (*rows, f'Content-Length: {len(body)}')
        writer.write(_head(status, request_id, *rows_sent) + body + tail)

    return behave


def rejected(status=503):
    """Say that the request was not run."""
    return answer(status, b'', rows=(f'{NOT_RUN}: 1',))


async def of_another(request_id, reader, writer):
    """Answer as if to another request."""
    await answer()('another', reader, writer)


async def dies(request_id, reader, writer):
    """Close the connection without an answer."""
    writer.close()


async def cut_short(request_id, reader, writer):
    """Send half of an answer and close."""
    writer.write(_head(200, request_id, f'{SEAL}: s', 'Content-Length: 8'))
    writer.write(b'half')
    await writer.drain()
    writer.close()


def without_length(*, is_reset):
    """Send an answer that ends with its connection, or is reset."""

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


async def silent(request_id, reader, writer):
    """Never answer; end when the caller closes."""
    await reader.read(1)
    writer.close()
