"""In-process transport that loses some messages and waits for time-outs."""

import asyncio

from skylarkpitch.messages import codec
from skylarkpitch.peers import directory as directories
from skylarkpitch import sentinels
from tests.stand_ins import fake_peers


class LossyNetwork(fake_peers.FakeNetwork):
    """Network that loses a message if one of its ``losses`` says so.

    A loss is called with the sender, the receiver and the message, which
    may be a response. What was ``sent`` is not recorded.
    """

    def __init__(self, *, hosts, delay_s):
        super().__init__(hosts=hosts, delay_s=delay_s)
        self.losses = set()

    def join(self, name):
        """Return a new transport for host ``name``."""
        self._peers[name] = LossyPeers(
            network=self,
            directory=directories.Directory(local_host=name, hosts=self.hosts),
        )
        return self._peers[name]

    async def carry(self, sender, receiver, message):
        """Return the receiver after the delay, None if it gets nothing."""
        await asyncio.sleep(self.delay_s)
        if any(loss(sender, receiver, message) for loss in self.losses):
            return None
        return self.peer(sender, receiver)


class LossyPeers(fake_peers.FakePeers):
    """Peers whose requests end at their time-out without a response."""

    async def request(self, host, message, *, timeout_s):
        try:
            async with asyncio.timeout(timeout_s):
                return await self._exchange(host, message)
        except TimeoutError:
            return sentinels.Absent('peer_timeout')

    async def _exchange(self, host, message):
        own_name = self.directory.local_host.name
        peer = await self._network.carry(own_name, host, message)
        if peer is None:
            await asyncio.Future()
        handler = peer._handlers.get(type(message))
        if handler is None:
            return sentinels.Absent('peer_refused')
        received = codec.decode(*codec.encode(message))
        response = await handler(own_name, received)
        if response is None:
            return sentinels.Absent('peer_refused')
        if await self._network.carry(host, own_name, response) is not self:
            await asyncio.Future()
        return codec.decode(*codec.encode(response))
