"""Stand in for the network between places: latency, cuts and freezes.

Each route listens on its own port and forwards TCP bytes after a delay. A
route that is cut keeps its connections open and drops nothing aloud: bytes
stay unsent, as in a silent partition.
"""

import asyncio
import contextlib
import json
import sys

CHUNK_BYTES = 65536


class Forwarder:
    """Carry the connections of any number of routes."""

    def __init__(self):
        self._servers = []
        self._tasks = set()
        self._open = {}

    async def route(self, target_port, *, delay_s, name=None):
        """Return the port of a new route to a loopback port."""
        gate = self._open.setdefault(name, asyncio.Event())
        gate.set()

        async def accept(reader, writer):
            task = asyncio.current_task()
            self._tasks.add(task)
            try:
                await self._join(reader, writer, target_port, delay_s, gate)
            finally:
                self._tasks.discard(task)

        server = await asyncio.start_server(accept, '127.0.0.1', 0)
        self._servers.append(server)
        return server.sockets[0].getsockname()[1]

    def cut(self, name):
        """Hold back every byte of the routes called ``name``."""
        self._open[name].clear()

    def heal(self, name):
        """Let the routes called ``name`` carry bytes again."""
        self._open[name].set()

    async def close(self):
        for server in self._servers:
            server.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _join(self, reader, writer, target_port, delay_s, gate):
        try:
            far_reader, far_writer = await asyncio.open_connection(
                '127.0.0.1', target_port
            )
        except OSError:
            writer.close()
            return
        try:
            await asyncio.gather(
                _pump(reader, far_writer, delay_s, gate),
                _pump(far_reader, writer, delay_s, gate),
            )
        finally:
            writer.close()
            far_writer.close()


async def _pump(reader, writer, delay_s, gate):
    loop = asyncio.get_running_loop()
    queue = asyncio.Queue(maxsize=1000)

    async def read():
        while chunk := await reader.read(CHUNK_BYTES):
            await queue.put((loop.time() + delay_s, chunk))
        await queue.put((loop.time() + delay_s, b''))

    async def write():
        while True:
            due_s, chunk = await queue.get()
            await asyncio.sleep(max(0.0, due_s - loop.time()))
            await gate.wait()
            if not chunk:
                writer.write_eof()
                return
            writer.write(chunk)
            await writer.drain()

    with contextlib.suppress(OSError, RuntimeError):
        await asyncio.gather(read(), write())


async def _lines():
    loop = asyncio.get_running_loop()
    reader = asyncio.StreamReader()
    await loop.connect_read_pipe(
        lambda: asyncio.StreamReaderProtocol(reader), sys.stdin
    )
    while line := await reader.readline():
        yield line.decode().strip()


async def _obey(forwarder, line):
    if line.startswith('['):
        ports = [
            await forwarder.route(
                route['port'], delay_s=route['delay_s'], name=route['name']
            )
            for route in json.loads(line)
        ]
        print(json.dumps(ports), flush=True)
        return
    action, name = line.split(' ', 1)
    {'cut': forwarder.cut, 'heal': forwarder.heal}[action](name)


async def _serve():
    """Take routes as one line of JSON, then cuts and heals, one a line."""
    forwarder = Forwarder()
    async for line in _lines():
        await _obey(forwarder, line)
    await forwarder.close()


if __name__ == '__main__':
    asyncio.run(_serve())
