"""TCP proxy between processes and the peers port of each control host.

It runs as a process of its own and reads one command in JSON a line:
``listen`` opens the proxy of a host, ``harm`` harms its links until the next
command for the same host. A cut direction holds what is sent, as a network
does that loses all packets of one direction. A cut and a silence affect a
share of the open connections; a cut affects that share of new ones as well.
Connections that were silenced are aborted at the end.
"""

import asyncio
import contextlib
import json
import random
import sys

__all__ = ['HARMS', 'Link']

HARMS = ('delay', 'squeeze', 'cut_in', 'cut_out', 'silence')
READ_BYTES = 65_536
SQUEEZED_BYTES_PER_S = 30_000
HELD = {'cut_in': ('in',), 'cut_out': ('out',), 'silence': ('in', 'out')}
DIRECTIONS = ('in', 'out')


class _Connection:
    """One connection through a proxy, and which directions are held."""

    def __init__(self, writers: dict[str, asyncio.StreamWriter]) -> None:
        self._writers = writers
        self._clear = {name: asyncio.Event() for name in DIRECTIONS}
        self.hold(())

    def hold(self, directions: tuple[str, ...]) -> None:
        """Hold what is sent in these directions, and in no other."""
        for name, event in self._clear.items():
            if name in directions:
                event.clear()
            else:
                event.set()

    def abort(self) -> None:
        """Reset the connection at both ends."""
        for writer in self._writers.values():
            writer.transport.abort()

    async def copy(self, reader, *, direction: str, link: 'Link') -> None:
        """Copy one direction until its end; then end it at the receiver."""
        writer = self._writers[direction]
        with contextlib.suppress(OSError):
            while data := await reader.read(READ_BYTES):
                await self._clear[direction].wait()
                await asyncio.sleep(link.wait_s(len(data)))
                writer.write(data)
                await writer.drain()
        await self._clear[direction].wait()
        writer.transport.abort()


class Link:
    """All links from other processes to one control host."""

    def __init__(self, *, ip: str, target_port: int) -> None:
        self._ip = ip
        self._target_port = target_port
        self._connections: set[_Connection] = set()
        self._silenced: set[_Connection] = set()
        self._kind: str | None = None
        self._delay_s = 0.0
        self._share = 0.0
        self._rng = random.Random()

    async def listen(self, port: int) -> asyncio.Server:
        """Accept connections for the host."""
        return await asyncio.start_server(self._serve, self._ip, port)

    def wait_s(self, size_bytes: int) -> float:
        """Return by how much to delay what is sent now."""
        if self._kind == 'squeeze':
            return size_bytes / SQUEEZED_BYTES_PER_S
        return self._delay_s if self._kind == 'delay' else 0.0

    def harm(
        self, kind: str | None, *, delay_s: float, share: float, seed: int
    ) -> None:
        """Replace the harm; None ends it."""
        self._kind, self._delay_s, self._share = kind, delay_s, share
        self._rng.seed(seed)
        for connection in self._silenced:
            connection.abort()
        self._silenced.clear()
        for connection in self._connections:
            is_held = self._hold_some(connection)
            if is_held and kind == 'silence':
                self._silenced.add(connection)

    def _hold_some(self, connection: _Connection) -> bool:
        """Hold the connection if it is of the share that is harmed."""
        is_held = self._rng.random() < self._share
        connection.hold(HELD.get(self._kind, ()) if is_held else ())
        return is_held

    async def _serve(self, reader, writer) -> None:
        try:
            target = await asyncio.open_connection(self._ip, self._target_port)
        except OSError:
            writer.transport.abort()
            return
        connection = _Connection({'in': target[1], 'out': writer})
        if self._kind != 'silence':
            self._hold_some(connection)
        self._connections.add(connection)
        try:
            await asyncio.gather(
                connection.copy(reader, direction='in', link=self),
                connection.copy(target[0], direction='out', link=self),
            )
        finally:
            self._connections.discard(connection)
            self._silenced.discard(connection)


async def _run() -> None:
    loop = asyncio.get_running_loop()
    commands = asyncio.StreamReader()
    await loop.connect_read_pipe(
        lambda: asyncio.StreamReaderProtocol(commands), sys.stdin
    )
    links: dict[str, Link] = {}
    servers = []
    while line := await commands.readline():
        command = json.loads(line)
        ip = command['ip']
        if 'listen' in command:
            links[ip] = Link(ip=ip, target_port=command['target_port'])
            servers.append(await links[ip].listen(command['listen']))
        else:
            links[ip].harm(
                command['harm'],
                delay_s=command['delay_s'],
                share=command['share'],
                seed=command['seed'],
            )
        print(json.dumps(command), flush=True)


if __name__ == '__main__':
    asyncio.run(_run())
