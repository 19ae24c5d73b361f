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
class Question:
    """Question of these tests."""

    text: str


@codec.message('test.answer')
class Answer:
    """Answer of these tests."""

    text: str


@codec.message('test.stop')
class Stop:
    """Order of these tests to stop."""


@codec.message('test.unhandled')
class Unhandled:
    """Message that no host of these tests handles."""


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


def make_network(own, hosts, secrets, malformed=lambda: None):
    return network.PeerNetwork(
        directory=directory.Directory(local_host=own, hosts=hosts),
        secret_key=secrets[own].decode(),
        on_malformed=malformed,
    )


async def echo(sender, message):
    return Answer(text=f'{sender}:{message.text}')


async def ask_until_connected(peers, name, message):
    for _ in range(100):
        answer = await peers.request(name, message, timeout_s=1.0)
        if answer != sentinels.Absent('peer_not_connected'):
            return answer
        await asyncio.sleep(0.02)
    return answer


def test_answer_names_the_authenticated_sender():
    async def scenario():
        hosts, secrets = make_hosts(['a', 'b'])
        async with make_network('a', hosts, secrets) as one:
            async with make_network('b', hosts, secrets) as other:
                other.handle(Question, echo)
                return await ask_until_connected(
                    one, 'b', Question(text='hello')
                )

    assert asyncio.run(scenario()) == Answer(text='a:hello')


def test_unknown_key_is_refused():
    async def scenario():
        hosts, secrets = make_hosts(['a', 'b'])
        stranger_hosts, stranger = make_hosts(['a'])
        async with make_network('b', hosts, secrets) as other:
            other.handle(Question, echo)
            async with make_network(
                'a', [*stranger_hosts, hosts[1]], stranger
            ) as one:
                await asyncio.sleep(0.1)
                return await one.request(
                    'b', Question(text='x'), timeout_s=0.1
                )

    assert not asyncio.run(scenario())


def test_malformed_and_unhandled_messages_are_counted_and_survived():
    async def scenario():
        malformed = []
        hosts, secrets = make_hosts(['a', 'b'])
        async with make_network('a', hosts, secrets) as one:
            async with make_network(
                'b', hosts, secrets, lambda: malformed.append(1)
            ) as other:
                other.handle(Question, echo)
                await ask_until_connected(one, 'b', Question(text='up'))
                socket = one._connections['b']._socket
                await socket.send_multipart([b'', b'no-such-kind', b'\xc1'])
                await socket.send_multipart([b'alone'])
                one.send('b', Unhandled())
                answer = await one.request(
                    'b', Question(text='still here'), timeout_s=1.0
                )
                return len(malformed), answer

    assert asyncio.run(scenario()) == (3, Answer(text='a:still here'))


@pytest.mark.parametrize(
    'name, reason',
    [('nobody', 'peer_unknown'), ('b', 'peer_not_connected')],
)
def test_absent_peer_gives_its_reason(name, reason):
    async def scenario():
        hosts, secrets = make_hosts(['a', 'b'])
        async with make_network('a', hosts, secrets) as one:
            return await one.request(name, Question(text='x'), timeout_s=0.1)

    assert asyncio.run(scenario()).reason == reason


def test_sending_takes_no_wake_up_from_the_reader_of_answers():
    async def scenario():
        hosts, secrets = make_hosts(['a', 'b'])
        answers = []
        async with make_network('a', hosts, secrets) as one:
            thread = threading.Thread(target=serve_echo, args=(hosts, secrets))
            thread.start()
            await ask_until_connected(one, 'b', Question(text='up'))
            for number in range(10):
                asked = asyncio.ensure_future(
                    one.request('b', Question(text=str(number)), timeout_s=2.0)
                )
                await asyncio.sleep(0)
                # The answer arrives while this loop is not looking.
                time.sleep(0.02)
                one.send('b', Question(text='more'))
                answers.append(await asked)
            one.send('b', Stop())
            await asyncio.to_thread(thread.join)
        return answers

    answers = asyncio.run(scenario())
    assert answers == [Answer(text=f'a:{n}') for n in range(10)]


def serve_echo(hosts, secrets):
    """Answer as host ``b`` on a loop of its own until told to stop."""

    async def serve():
        stopped = asyncio.Event()

        async def stop(sender, message):
            stopped.set()

        async with make_network('b', hosts, secrets) as other:
            other.handle(Question, echo)
            other.handle(Stop, stop)
            await stopped.wait()

    asyncio.run(serve())
