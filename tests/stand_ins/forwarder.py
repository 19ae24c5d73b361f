"""Emulate network links between hosts, with latency and partitions.

Each route listens on its own port and forwards TCP bytes after a delay. A
route that is cut keeps its connections open and reports no error: bytes stay
unsent, as in a network partition that drops packets.
"""

import asyncio
import contextlib
import json
import sys

CHUNK_BYTES = 65536


class Forwarder:
    """TCP forwarder for any number of routes."""

    def __init__(self):
        self._servers = []
        self._tasks = set()
        self._gates = {}

    async def route(self, target_port, *, delay_s, name=None):
        """Start a route to a loopback port; return the port of the route."""
        gate = self._gates.setdefault(name, asyncio.Event())
        gate.set()

        async def accept(reader, writer):
            task = asyncio.current_task()
            self._tasks.add(task)
            try:
                await self._connect(reader, writer, target_port, delay_s, gate)
            finally:
                self._tasks.discard(task)

        server = await asyncio.start_server(accept, '127.0.0.1', 0)
        self._servers.append(server)
        return server.sockets[0].getsockname()[1]

    def cut(self, name):
        """Stop forwarding bytes on the routes called ``name``."""
        self._gates[name].clear()

    def heal(self, name):
        """Resume forwarding on the routes called ``name``."""
        self._gates[name].set()

    async def close(self):
        for server in self._servers:
            server.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _connect(self, reader, writer, target_port, delay_s, gate):
        try:
            target_reader, target_writer = await asyncio.open_connection(
                '127.0.0.1', target_port
            )
        except OSError:
            writer.close()
            return
        try:
            await asyncio.gather(
                _forward(reader, target_writer, delay_s, gate),
                _forward(target_reader, writer, delay_s, gate),
            )
        finally:
            writer.close()
            target_writer.close()


async def _forward(reader, writer, delay_s, gate):
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


async def _read_commands():
    loop = asyncio.get_running_loop()
    reader = asyncio.StreamReader()
    await loop.connect_read_pipe(
        lambda: asyncio.StreamReaderProtocol(reader), sys.stdin
    )
    while command := await reader.readline():
        yield command.decode().strip()


async def _execute(forwarder, command):
    if command.startswith('['):
        ports = [
            await forwarder.route(
                route['port'], delay_s=route['delay_s'], name=route['name']
            )
            for route in json.loads(command)
        ]
        print(json.dumps(ports), flush=True)
        return
    action, name = command.split(' ', 1)
    {'cut': forwarder.cut, 'heal': forwarder.heal}[action](name)


async def _serve():
    """Read commands from standard input until it ends.

    A line of JSON lists routes and is answered by the list of their ports.
    ``cut NAME`` and ``heal NAME`` act on the routes of a name.
    """
    forwarder = Forwarder()
    async for command in _read_commands():
        await _execute(forwarder, command)
    await forwarder.close()


if __name__ == '__main__':
    asyncio.run(_serve())
