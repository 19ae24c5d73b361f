"""Bodies of requests that arrive while a process stops as planned."""

import asyncio
import contextlib

from aiohttp import web
import pytest

from skylarkpitch.fleet import model
from skylarkpitch.forwarding import callers_listener
from skylarkpitch.listening import serving
from tests.stand_ins import connection_guards

LONG_S = 30.0
PARTS = 8
PAUSE_S = 0.05
SMALL_BYTES = 7_200
LARGE_BYTES = 1_000_000
HEAD = 'POST / HTTP/1.1\r\nHost: pans.example\r\n'


class Port:
    """A port that answers how many bytes of a body have arrived.

    ``paths`` are those of the requests that were handled.
    """

    def __init__(self):
        self.paths = []
        self.has_started = asyncio.Event()
        self.address = None

    async def handle(self, request):
        self.paths.append(request.path)
        self.has_started.set()
        if request.headers.get('Expect'):
            request.transport.write(b'HTTP/1.1 100 Continue\r\n\r\n')
        size = 0
        while chunk := await request.content.readany():
            size += len(chunk)
        response = web.Response(text=f'{size} bytes')
        response.force_close()
        return response

    async def connect(self):
        return await asyncio.open_connection(*self.address)


class CallersPort(Port):
    """The port for callers, which accepts connections for a moment more."""

    async def open(self):
        free_socket = callers_listener.bind('127.0.0.1:0')
        self.address = free_socket.getsockname()
        free_socket.close()
        host, port = self.address
        self._listener = callers_listener.CallersListener(
            address=f'{host}:{port}',
            handler=self.handle,
            guard=connection_guards.guard(),
        )
        await self._listener.open(model.CallerLimits())

    async def close(self, *, timeout_s=LONG_S):
        await self._listener.close(timeout_s=timeout_s)


class OtherPort(Port):
    """Any other port, as those of control hosts."""

    async def open(self):
        listening_socket = callers_listener.bind('127.0.0.1:0')
        self.address = listening_socket.getsockname()
        self._server = web.Server(self.handle)
        self._tcp_server = await serving.serve(
            self._server,
            guard=connection_guards.guard(),
            listening_socket=listening_socket,
        )

    async def close(self, *, timeout_s=LONG_S):
        self._tcp_server.close()
        await self._server.shutdown(timeout_s)


def split(body, parts):
    size = -(-len(body) // parts)
    return [body[at : at + size] for at in range(0, len(body), size)]


def with_length(body, parts=PARTS):
    """Return the head of a request and the parts of its body."""
    head = f'{HEAD}Content-Length: {len(body)}\r\n\r\n'
    return head.encode(), split(body, parts)


def chunked(body, parts=PARTS):
    head = f'{HEAD}Transfer-Encoding: chunked\r\n\r\n'
    chunks = [b'%x\r\n%b\r\n' % (len(p), p) for p in split(body, parts)]
    return head.encode(), [*chunks, b'0\r\n\r\n']


def chunks_in_pieces(body, parts=PARTS):
    """Split the chunks anywhere, also inside their sizes."""
    head, chunks = chunked(body, parts)
    return head, split(b''.join(chunks), 2 * parts + 1)


def expecting(body, parts=PARTS):
    head, chunks = with_length(body, parts)
    return head.replace(
        b'\r\n\r\n', b'\r\nExpect: 100-continue\r\n\r\n'
    ), chunks


def byte_by_byte(body, parts=PARTS):
    return with_length(body[: 2 * parts], 2 * parts)


async def send_parts(writer, parts):
    for part in parts:
        writer.write(part)
        await writer.drain()
        await asyncio.sleep(PAUSE_S)


async def answer_during_a_stop(port, request, *, behind=b''):
    """Send the rest of a body once its port closes; return the answer."""
    await port.open()
    reader, writer = await port.connect()
    head, parts = request
    writer.write(head)
    await port.has_started.wait()
    await send_parts(writer, parts[:1])
    closing = asyncio.create_task(port.close())
    # Longer than a port that stops still accepts connections.
    await asyncio.sleep(0.3)
    await send_parts(writer, parts[1:-1])
    writer.write(parts[-1] + behind)
    answer = await asyncio.wait_for(reader.read(), 10.0)
    await asyncio.wait_for(closing, 10.0)
    writer.close()
    return answer


# Guards against LOST: a body that arrived while its host stopped was read and
# dropped, so that its request was never run and never answered.
@pytest.mark.parametrize('port_class', [CallersPort, OtherPort])
@pytest.mark.parametrize('size', [SMALL_BYTES, LARGE_BYTES])
@pytest.mark.parametrize(
    'framing',
    [with_length, chunked, chunks_in_pieces, expecting, byte_by_byte],
)
def test_body_that_arrives_during_a_stop_is_read(framing, size, port_class):
    async def check():
        body = bytes(number % 251 for number in range(size))
        head, parts = framing(body)
        answer = await answer_during_a_stop(port_class(), (head, parts))
        length = 2 * PARTS if framing is byte_by_byte else size
        if framing is expecting:
            interim, _end, answer = answer.partition(b'\r\n\r\n')
            assert interim == b'HTTP/1.1 100 Continue'
        assert answer.startswith(b'HTTP/1.1 200 OK\r\n')
        assert answer.endswith(b'\r\n\r\n%d bytes' % length)

    asyncio.run(check())


# What follows a request on a connection that is told to close is not read.
@pytest.mark.parametrize(
    'behind',
    [
        b'POST /next HTTP/1.1\r\nHost: pans.example\r\n\r\n',
        b'no request at all\r\n\r\n',
        b'\r\n\r\n\r\n',
        b'POST /next HTTP/1.1\r\nContent-Length: 9999\r\n\r\nabc',
    ],
    ids=['request', 'no-request', 'empty-lines', 'body'],
)
@pytest.mark.parametrize('framing', [with_length, chunked])
def test_bytes_behind_the_body_are_no_request(framing, behind):
    async def check():
        port = CallersPort()
        answer = await answer_during_a_stop(
            port, framing(b'a' * SMALL_BYTES), behind=behind
        )
        assert answer.endswith(b'\r\n\r\n%d bytes' % SMALL_BYTES)
        assert answer.count(b'HTTP/1.1') == 1
        assert port.paths == ['/']

    asyncio.run(check())


# A body that is broken or breaks off is reported to the handler at once, and
# a stop does not wait for it.
@pytest.mark.parametrize('ending', ['malformed', 'closed', 'reset'])
def test_body_that_breaks_off_does_not_delay_a_stop(ending):
    async def check():
        port = CallersPort()
        await port.open()
        reader, writer = await port.connect()
        head, parts = chunked(b'a' * SMALL_BYTES)
        writer.write(head)
        await port.has_started.wait()
        await send_parts(writer, parts[:1])
        closing = asyncio.create_task(port.close())
        await asyncio.sleep(0.3)
        if ending == 'malformed':
            writer.write(b'no size of a chunk\r\n\r\n')
            with contextlib.suppress(OSError):
                assert b'200 OK' not in await reader.read()
        elif ending == 'closed':
            writer.close()
        else:
            writer.transport.abort()
        await asyncio.wait_for(closing, 10.0)
        writer.close()

    asyncio.run(check())


def test_body_without_end_does_not_outlast_the_timeout_of_a_stop():
    async def check():
        port = CallersPort()
        await port.open()
        reader, writer = await port.connect()
        head, parts = with_length(b'a' * SMALL_BYTES)
        writer.write(head)
        await port.has_started.wait()
        await send_parts(writer, parts[:1])
        await asyncio.wait_for(port.close(timeout_s=0.5), 10.0)
        with contextlib.suppress(OSError):
            assert await asyncio.wait_for(reader.read(), 10.0) == b''
        writer.close()

    asyncio.run(check())
