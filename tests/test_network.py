"""Tests of the peer transport over real loopback sockets."""

import asyncio
import dataclasses
import threading
import time

import pytest
import zmq

from benchmarks import fleet
from skylarkpitch.messages import codec
from skylarkpitch.peers import directory
from skylarkpitch.peers import network
from skylarkpitch import sentinels
from tests.stand_ins import fake_peers


@codec.message('test.question')
class EchoRequest:
    """Request to return a text."""

    text: str


@codec.message('test.answer')
class EchoResponse:
    """Response with the sender and the text of a request."""

    text: str


@codec.message('test.stop')
class Stop:
    """Message that stops the server thread."""


@codec.message('test.unhandled')
class Unhandled:
    """Message without a handler."""


def make_hosts(names):
    """Return hosts with real keys and free ports, and their secret keys."""
    ports = fleet.free_ports(len(names))
    secrets = {}
    hosts = []
    for name, port in zip(names, ports, strict=True):
        public, secrets[name] = zmq.curve_keypair()
        hosts.append(
            dataclasses.replace(
                fake_peers.host(name),
                peers_address=f'127.0.0.1:{port}',
                public_key=public.decode(),
            )
        )
    return hosts, secrets


def make_network(local_host, hosts, secrets, on_malformed=lambda: None):
    return network.PeerNetwork(
        directory=directory.Directory(local_host=local_host, hosts=hosts),
        secret_key=secrets[local_host].decode(),
        on_malformed=on_malformed,
    )


async def echo(sender, message):
    return EchoResponse(text=f'{sender}:{message.text}')


async def request_until_connected(peers, name, message):
    for _ in range(100):
        response = await peers.request(name, message, timeout_s=1.0)
        if response != sentinels.Absent('peer_not_connected'):
            return response
        await asyncio.sleep(0.02)
    return response


def test_handler_gets_the_name_of_the_authenticated_sender():
    async def scenario():
        hosts, secrets = make_hosts(['a', 'b'])
        async with make_network('a', hosts, secrets) as client:
            async with make_network('b', hosts, secrets) as server:
                server.handle(EchoRequest, echo)
                return await request_until_connected(
                    client, 'b', EchoRequest(text='hello')
                )

    assert asyncio.run(scenario()) == EchoResponse(text='a:hello')


def test_unknown_key_is_refused():
    async def scenario():
        hosts, secrets = make_hosts(['a', 'b'])
        unknown_hosts, unknown_secrets = make_hosts(['a'])
        async with make_network('b', hosts, secrets) as server:
            server.handle(EchoRequest, echo)
            async with make_network(
                'a', [*unknown_hosts, hosts[1]], unknown_secrets
            ) as client:
                await asyncio.sleep(0.1)
                return await client.request(
                    'b', EchoRequest(text='x'), timeout_s=0.1
                )

    assert not asyncio.run(scenario())


def test_malformed_and_unhandled_messages_are_counted_and_dropped():
    async def scenario():
        malformed = []
        hosts, secrets = make_hosts(['a', 'b'])
        async with make_network('a', hosts, secrets) as client:
            async with make_network(
                'b', hosts, secrets, lambda: malformed.append(1)
            ) as server:
                server.handle(EchoRequest, echo)
                await request_until_connected(
                    client, 'b', EchoRequest(text='up')
                )
                socket = client._connections['b']._socket
                await socket.send_multipart([b'', b'no-such-kind', b'\xc1'])
                await socket.send_multipart([b'alone'])
                client.send('b', Unhandled())
                response = await client.request(
                    'b', EchoRequest(text='still here'), timeout_s=1.0
                )
                return len(malformed), response

    assert asyncio.run(scenario()) == (3, EchoResponse(text='a:still here'))


@pytest.mark.parametrize(
    'name, reason',
    [('nobody', 'peer_unknown'), ('b', 'peer_not_connected')],
)
def test_absent_peer_gives_its_reason(name, reason):
    async def scenario():
        hosts, secrets = make_hosts(['a', 'b'])
        async with make_network('a', hosts, secrets) as client:
            return await client.request(
                name, EchoRequest(text='x'), timeout_s=0.1
            )

    assert asyncio.run(scenario()).reason == reason


def test_send_does_not_consume_the_wake_up_of_the_response_reader():
    async def scenario():
        hosts, secrets = make_hosts(['a', 'b'])
        responses = []
        async with make_network('a', hosts, secrets) as client:
            thread = threading.Thread(target=serve_echo, args=(hosts, secrets))
            thread.start()
            await request_until_connected(client, 'b', EchoRequest(text='up'))
            for number in range(10):
                pending = asyncio.ensure_future(
                    client.request(
                        'b', EchoRequest(text=str(number)), timeout_s=2.0
                    )
                )
                await asyncio.sleep(0)
                # The response arrives while the event loop is blocked, so
                # that the send below finds it readable on the socket.
                time.sleep(0.02)
                client.send('b', EchoRequest(text='more'))
                responses.append(await pending)
            client.send('b', Stop())
            await asyncio.to_thread(thread.join)
        return responses

    responses = asyncio.run(scenario())
    assert responses == [EchoResponse(text=f'a:{n}') for n in range(10)]


def serve_echo(hosts, secrets):
    """Respond as host ``b`` on another event loop until ``Stop`` arrives."""

    async def serve():
        stopped = asyncio.Event()

        async def stop(sender, message):
            stopped.set()

        async with make_network('b', hosts, secrets) as server:
            server.handle(EchoRequest, echo)
            server.handle(Stop, stop)
            await stopped.wait()

    asyncio.run(serve())


# Guards against messages that are dropped without a trace, and against
# traffic that nobody can attribute to a kind of message.
def test_messages_are_counted_by_kind_and_dropped_ones_too(monkeypatch):
    async def check():
        hosts, secrets = make_hosts(['a', 'b'])
        may_end = asyncio.Event()

        async def wait(sender, message):
            await may_end.wait()
            return EchoResponse(text='late')

        async with (
            make_network('a', hosts, secrets) as asking,
            make_network('b', hosts, secrets) as answering,
        ):
            answering.handle(EchoRequest, echo)
            await request_until_connected(asking, 'b', EchoRequest(text='x'))
            before = asking.counters()['messages_sent/test.question']
            assert before >= 1
            assert asking.counters()['bytes_sent/test.question'] > 0
            assert answering.counters()['messages_sent/test.answer'] == 1
            answering.handle(EchoRequest, wait)
            monkeypatch.setattr(network, 'MAX_CONCURRENT_HANDLERS', 2)
            responses = asyncio.gather(
                *(
                    asking.request('b', EchoRequest(text='y'), timeout_s=3.0)
                    for _number in range(5)
                )
            )
            await asyncio.sleep(1.0)
            may_end.set()
            found = [str(item) for item in await responses]
            assert found.count('peer_timeout') == 3
            assert answering.counters()['messages_dropped'] == 3

    asyncio.run(check())


def make_sharing_network(local_host, ports, keys):
    """Return the network of a host whose fleet shares one key."""
    public, secret = keys
    hosts = {
        name: dataclasses.replace(
            fake_peers.host(name),
            peers_address=f'127.0.0.1:{port}',
            public_key=public.decode(),
        )
        for name, port in ports.items()
    }
    return network.PeerNetwork(
        directory=directory.Directory(
            local_host=local_host,
            hosts=[hosts[local_host]],
            derive_host=hosts.get,
        ),
        secret_key=secret.decode(),
    )


# Guards against a response to a request of before a restart that is taken for
# the response to another request: both requests had the same number.
def test_restarted_host_gets_no_response_of_before():
    async def scenario():
        ports = dict(zip('ab', fleet.free_ports(2), strict=True))
        keys = zmq.curve_keypair()
        released = asyncio.Event()

        async def respond(sender, message):
            if message.text == 'earlier':
                await released.wait()
            elif message.text == 'later':
                # The responses to the earlier requests go first.
                released.set()
                await asyncio.sleep(0.2)
            return EchoResponse(text=message.text)

        async with make_sharing_network('b', ports, keys) as server:
            server.handle(EchoRequest, respond)
            async with make_sharing_network('a', ports, keys) as client:
                await request_until_connected(
                    client, 'b', EchoRequest(text='hello')
                )
                # So many that the later host uses the same numbers.
                earlier = EchoRequest(text='earlier')
                requests = [
                    client.request('b', earlier, timeout_s=0.2)
                    for _number in range(100)
                ]
                assert not any(await asyncio.gather(*requests))
            async with make_sharing_network('a', ports, keys) as client:
                for _number in range(50):
                    await request_until_connected(
                        client, 'b', EchoRequest(text='hello')
                    )
                return await client.request(
                    'b', EchoRequest(text='later'), timeout_s=1.0
                )

    assert asyncio.run(scenario()) == EchoResponse(text='later')
