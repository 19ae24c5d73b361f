"""Transport between simulated hosts with delay, loss and duplication.

All random choices come from one seeded generator and all delays from the
running loop, so that with a virtual clock a run repeats exactly from its seed.
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
    """Network of the peers of one run.

    ``delay_s(sender, receiver)`` is the one-way delay in seconds, to which up
    to ``jitter_s`` is added at random. ``is_cut(sender, receiver)`` returns
    whether messages between the two are dropped.
    """

    hosts: tuple
    rng: object
    delay_s: object = lambda sender, receiver: 0.01
    loss_probability: float = 0.0
    duplication_probability: float = 0.0
    jitter_s: float = 0.0

    def __post_init__(self):
        self.is_cut = lambda sender, receiver: False
        self.bytes_sent = collections.Counter()
        self.bytes_received = collections.Counter()
        self.messages_sent = collections.Counter()
        self._peers = {}
        self._tasks = set()

    def join(self, name):
        """Return a new transport for host ``name``.

        The host's previous transport receives nothing any more.
        """
        peers = SlowPeers(network=self, name=name)
        self._peers[name] = peers
        return peers

    def leave(self, name):
        """Drop all messages from and to a host, as after its crash."""
        self._peers.pop(name, None)

    def spawn(self, coroutine):
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def close(self):
        """Cancel the delivery of messages in transit."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def transmit(self, sender, receiver, frames, deliver):
        """Schedule the delivery of frames once, twice or not at all.

        ``deliver(peers)`` is awaited with the receiver's transport.
        """
        if sender not in self._peers:
            return
        size = sum(len(frame) for frame in frames)
        self.bytes_sent[sender] += size
        self.messages_sent[sender] += 1
        copies = 1 + (self.rng.random() < self.duplication_probability)
        for _ in range(copies):
            if self.rng.random() < self.loss_probability:
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
    """Implement the interface of ``PeerNetwork`` on a :class:`SlowNetwork`."""

    def __init__(self, *, network, name):
        self.directory = directories.Directory(own=name, hosts=network.hosts)
        self._name = name
        self._network = network
        self._handlers = {}

    def handle(self, message_type, handler):
        self._handlers[message_type] = handler

    def send(self, host, message):
        frames = codec.encode(message)

        async def deliver(peers):
            await peers.handle_request(self._name, frames)

        self._network.spawn(
            self._network.transmit(self._name, host, frames, deliver)
        )
        return True

    async def ask(self, host, message, *, timeout_s):
        frames = codec.encode(message)
        future = asyncio.get_running_loop().create_future()

        async def complete(peers):
            if not future.done():
                future.set_result(codec.decode(*complete.frames))

        async def deliver(peers):
            complete.frames = await peers.handle_request(self._name, frames)
            if complete.frames is not None:
                await self._network.transmit(
                    host, self._name, complete.frames, complete
                )

        await self._network.transmit(self._name, host, frames, deliver)
        try:
            return await asyncio.wait_for(future, timeout_s)
        except TimeoutError:
            return sentinels.Absent('peer_timeout')

    async def handle_request(self, sender, frames):
        """Return the frames of the handler's response, or None."""
        message = codec.decode(*frames)
        handler = self._handlers.get(type(message))
        if handler is None:
            return None
        response = await handler(sender, message)
        return None if response is None else codec.encode(response)
