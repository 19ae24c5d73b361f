"""Carry messages between services of one test, with cuts and losses."""

import asyncio

from skylarkpitch.messages import codec
from skylarkpitch.peers import directory as directories
from skylarkpitch import sentinels


class FakeNetwork:
    """Join the fake peers of one test."""

    def __init__(self, *, hosts):
        self.hosts = tuple(hosts)
        self.cut_pairs = set()
        self.sent = []
        self._peers = {}

    def join(self, name):
        """Return the transport of host ``name``."""
        self._peers[name] = FakePeers(
            network=self,
            directory=directories.Directory(local_host=name, hosts=self.hosts),
        )
        return self._peers[name]

    def cut(self, one, other):
        """Drop everything between two hosts, both ways."""
        self.cut_pairs |= {(one, other), (other, one)}

    def heal(self):
        """Let every message pass again."""
        self.cut_pairs.clear()

    def peer(self, sender, receiver):
        """Return the receiving transport, or None when it is cut off."""
        if (sender, receiver) in self.cut_pairs:
            return None
        return self._peers.get(receiver)


class FakePeers:
    """Stand in for ``PeerNetwork`` within one process."""

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
        own = self.directory.local_host.name
        self._network.sent.append((own, host, message))
        await asyncio.sleep(0)
        peer = self._network.peer(own, host)
        if peer is None:
            return sentinels.Absent('peer_timeout')
        handler = peer._handlers.get(type(message))
        if handler is None:
            return sentinels.Absent('peer_refused')
        answer = await handler(own, codec.decode(*codec.encode(message)))
        if answer is None:
            return sentinels.Absent('peer_refused')
        if self._network.peer(host, own) is None:
            return sentinels.Absent('peer_timeout')
        return codec.decode(*codec.encode(answer))


def host(name, region='r1', failure_domain='d1', roles=('entry',)):
    """Return a host of the directory with addresses that nobody uses."""
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
