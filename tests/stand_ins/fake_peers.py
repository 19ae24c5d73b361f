"""In-process transport between the services of one test."""

import asyncio

from skylarkpitch.messages import codec
from skylarkpitch.peers import directory as directories
from skylarkpitch import sentinels


class FakeNetwork:
    """Network of the fake peers of one test.

    ``cut_pairs`` are the pairs of sender and receiver without connection, and
    ``sent`` lists sender, receiver and message of all requests. Each message
    takes ``delay_s``.
    """

    def __init__(self, *, hosts, delay_s=0.0):
        self.hosts = tuple(hosts)
        self.delay_s = delay_s
        self.cut_pairs = set()
        self._held = {}
        self.sent = []
        self._peers = {}

    def join(self, name):
        """Return a new transport for host ``name``."""
        self._peers[name] = FakePeers(
            network=self,
            directory=directories.Directory(local_host=name, hosts=self.hosts),
        )
        return self._peers[name]

    def leave(self, name):
        """Answer nothing for a host any more, as after its end."""
        self._peers.pop(name, None)

    def cut(self, first, second):
        """Drop all messages between two hosts, in both directions."""
        self.cut_pairs |= {(first, second), (second, first)}

    def heal(self):
        """Deliver all messages again."""
        self.cut_pairs.clear()

    def hold(self, sender, receiver):
        """Deliver messages in one direction only once they are released."""
        self._held[sender, receiver] = asyncio.Event()

    def release(self, sender, receiver):
        """Deliver the messages that are held, and later ones at once."""
        self._held.pop((sender, receiver)).set()

    async def pass_on(self, sender, receiver):
        """Return once a message that was sent now arrives."""
        await asyncio.sleep(self.delay_s)
        if (sender, receiver) in self._held:
            await self._held[sender, receiver].wait()

    def peer(self, sender, receiver):
        """Return the receiver's transport, or None without a connection."""
        if (sender, receiver) in self.cut_pairs:
            return None
        return self._peers.get(receiver)


class FakePeers:
    """Implement the interface of ``PeerNetwork`` within one process."""

    def __init__(self, *, network, directory):
        self.directory = directory
        self._network = network
        self._handlers = {}
        self._tasks = set()
        self.connected = set()

    def connect(self, host):
        self.connected.add(host)

    def handle(self, message_type, handler):
        self._handlers[message_type] = handler

    def send(self, host, message):
        task = asyncio.ensure_future(self.request(host, message, timeout_s=1))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return True

    async def request(self, host, message, *, timeout_s):
        own_name = self.directory.local_host.name
        self._network.sent.append((own_name, host, message))
        await self._network.pass_on(own_name, host)
        peer = self._network.peer(own_name, host)
        if peer is None:
            return sentinels.Absent('peer_timeout')
        handler = peer._handlers.get(type(message))
        if handler is None:
            return sentinels.Absent('peer_refused')
        response = await handler(
            own_name, codec.decode(*codec.encode(message))
        )
        if response is None:
            return sentinels.Absent('peer_refused')
        await self._network.pass_on(host, own_name)
        if self._network.peer(host, own_name) is None:
            return sentinels.Absent('peer_timeout')
        return codec.decode(*codec.encode(response))


def host(name, region='r1', failure_domain='d1', roles=('entry',)):
    """Return a directory entry with addresses on which nothing listens."""
    return directories.Host(
        name=name,
        region=region,
        failure_domain=failure_domain,
        roles=roles,
        peers_address='127.0.0.1:1',
        callers_address='127.0.0.1:2',
        relay_address='127.0.0.1:3',
        public_key=name.ljust(40, 'x'),
    )
