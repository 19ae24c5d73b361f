"""Carry messages with delays, losses, duplicates and cuts between hosts.

Everything is drawn from one seeded generator and timed by the running loop,
so that with a virtual clock a run is repeated exactly from its seed.
"""

import asyncio
import collections
import dataclasses

from skylarkpitch.messages import codec
from skylarkpitch.peers import directory as directories
from skylarkpitch import sentinels

__all__ = ['SlowNetwork', 'SlowPeers']


@dataclasses.dataclass(kw_only=True)
class SlowNetwork:
    """Join the peers of one run; delays are one way, in seconds."""

    hosts: tuple
    rng: object
    delay_s: object = lambda sender, receiver: 0.01
    loss: float = 0.0
    duplicates: float = 0.0
    jitter_s: float = 0.0

    def __post_init__(self):
        self.is_cut = lambda sender, receiver: False
        self.bytes_sent = collections.Counter()
        self.bytes_received = collections.Counter()
        self.messages_sent = collections.Counter()
        self._peers = {}
        self._tasks = set()

    def join(self, name):
        """Return a new transport of host ``name``; the former one is deaf."""
        peers = SlowPeers(network=self, name=name)
        self._peers[name] = peers
        return peers

    def leave(self, name):
        """Drop everything from and to a host, as its crash does."""
        self._peers.pop(name, None)

    def spawn(self, coroutine):
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def close(self):
        """Cancel what is still on its way."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def carry(self, sender, receiver, frames, deliver):
        """Deliver frames once, twice or never."""
        if sender not in self._peers:
            return
        size = sum(len(frame) for frame in frames)
        self.bytes_sent[sender] += size
        self.messages_sent[sender] += 1
        times = 1 + (self.rng.random() < self.duplicates)
        for _ in range(times):
            if self.rng.random() < self.loss:
                continue
            delay_s = self.delay_s(sender, receiver)
            delay_s += self.rng.random() * self.jitter_s
            self.spawn(self._deliver(sender, receiver, size, delay_s, deliver))

    async def _deliver(self, sender, receiver, size, delay_s, deliver):
        await asyncio.sleep(delay_s)
        peers = self._peers.get(receiver)
        if peers is None or self.is_cut(sender, receiver):
            return
        self.bytes_received[receiver] += size
        await deliver(peers)


class SlowPeers:
    """Stand in for ``PeerNetwork`` on a :class:`SlowNetwork`."""

    def __init__(self, *, network, name):
        self.directory = directories.Directory(
            local_host=name, hosts=network.hosts
        )
        self._name = name
        self._network = network
        self._handlers = {}

    def handle(self, message_type, handler):
        self._handlers[message_type] = handler

    def send(self, host, message):
        frames = codec.encode(message)

        async def deliver(peers):
            await peers.answer(self._name, frames)

        self._network.spawn(
            self._network.carry(self._name, host, frames, deliver)
        )
        return True

    async def request(self, host, message, *, timeout_s):
        frames = codec.encode(message)
        future = asyncio.get_running_loop().create_future()

        async def settle(peers):
            if not future.done():
                future.set_result(codec.decode(*settle.frames))

        async def deliver(peers):
            settle.frames = await peers.answer(self._name, frames)
            if settle.frames is not None:
                await self._network.carry(
                    host, self._name, settle.frames, settle
                )

        await self._network.carry(self._name, host, frames, deliver)
        try:
            return await asyncio.wait_for(future, timeout_s)
        except TimeoutError:
            return sentinels.Absent('peer_timeout')

    async def answer(self, sender, frames):
        """Return the frames of the handler's answer, if it gives one."""
        message = codec.decode(*frames)
        handler = self._handlers.get(type(message))
        if handler is None:
            return None
        answer = await handler(sender, message)
        return None if answer is None else codec.encode(answer)
