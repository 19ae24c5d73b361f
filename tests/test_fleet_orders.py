"""Orders that are executed late do not undo later ones."""

import asyncio
import contextlib
import socket
import types

from aiohttp import web
import pytest
from skylark_platform import calls

from skylarkpitch import errors
from skylarkpitch.fleet import commands
from skylarkpitch.fleet import order_guard
from skylarkpitch.fleet import waiting_callers
from skylarkpitch.messages import fleet as messages
from skylarkpitch.operators import fleet_calls
from skylarkpitch import sentinels
from tests.stand_ins import connection_guards
from tests.stand_ins import fleet_cluster
from tests.stand_ins import virtual_time

DOMAIN = 'east-a'
# Callers send an order to another host after so long without a response.
CALLER_TIMEOUT_S = 1.0


def order(draining):
    return commands.SetDomainDrain(failure_domain=DOMAIN, draining=draining)


class Caller:
    """Operator who sends an order to one host until it loses patience."""

    def __init__(self, play, host):
        self._service = play.cluster.control_services[host]
        self.has_left = False

    async def send(self, draining, *, timeout_s=CALLER_TIMEOUT_S):
        task = asyncio.create_task(
            self._service.execute(
                order(draining), has_caller_left=lambda: self.has_left
            )
        )
        await asyncio.wait([task], timeout=timeout_s)
        self.has_left = True
        return task


class Play:
    """Orders about one failure domain to a control group."""

    def __init__(self, cluster):
        self.cluster = cluster
        logs = cluster.logs.items()
        self.leader = next(name for name, log in logs if log.is_leader)
        self.slow, self.other, *_rest = (
            name for name in cluster.logs if name != self.leader
        )

    async def acknowledge(self, draining, *, host=None):
        """Send an order to other hosts until it is acknowledged."""
        async with asyncio.timeout(fleet_cluster.DEADLINE_S):
            while True:
                task = await Caller(self, host or self.other).send(draining)
                if task.done() and task.result().outcome == 'accepted':
                    return
                await asyncio.sleep(0.1)

    def is_draining(self):
        leading = [n for n, log in self.cluster.logs.items() if log.is_leader]
        states = {self.cluster.states[n].is_draining(DOMAIN) for n in leading}
        assert len(states) == 1
        return states.pop()


def run(play, draining):
    """Return whether the domain drains after the play of a late order.

    The late order is ``draining``, and the last one the opposite.
    """

    async def scenario():
        cluster = fleet_cluster.FleetCluster(
            disk_delay_s=0.002, message_delay_s=0.01
        )
        await cluster.start('abcdef')
        await cluster.wait_for_voters(6)
        current = Play(cluster)
        await current.acknowledge(not draining)
        try:
            await play(current, draining)
            await asyncio.sleep(3.0)
            return current.is_draining()
        finally:
            await cluster.stop()

    return virtual_time.run(scenario())


async def read_after_the_caller_left(play, draining):
    """Let a host stand still that reads the order when it wakes."""
    await play.acknowledge(draining)
    await play.acknowledge(not draining)
    late = Caller(play, play.slow)
    late.has_left = True
    await late.send(draining)


async def read_by_the_leader_after_the_caller_left(play, draining):
    play.slow = play.leader
    await read_after_the_caller_left(play, draining)


async def held_on_the_way_to_the_leader(play, draining):
    play.cluster.network.hold(play.slow, play.leader)
    await Caller(play, play.slow).send(draining)
    await play.acknowledge(draining)
    await play.acknowledge(not draining)
    play.cluster.network.release(play.slow, play.leader)


async def held_while_the_leader_asks(play, draining):
    """Hold the answer that the caller waits, which then loses its way."""
    send = asyncio.create_task(
        Caller(play, play.slow).send(draining, timeout_s=0.05)
    )
    await asyncio.sleep(0.015)
    play.cluster.network.hold(play.slow, play.leader)
    await send
    await play.acknowledge(draining)
    await play.acknowledge(not draining)
    play.cluster.network.release(play.slow, play.leader)


async def held_while_another_host_leads(play, draining):
    """Cut off the leader between its question and the commit."""
    send = asyncio.create_task(Caller(play, play.slow).send(draining))
    await asyncio.sleep(0.015)
    others = [n for n in 'abcdef' if n not in (play.leader, play.slow)]
    for name in others:
        play.cluster.network.cut(play.leader, name)
    play.cluster.network.hold(play.slow, play.leader)
    await play.acknowledge(draining)
    await play.acknowledge(not draining)
    play.cluster.network.heal()
    play.cluster.network.release(play.slow, play.leader)
    await send


# Guards against EVAC: an order that had waited, and whose caller had sent it
# again elsewhere, was executed after the opposite one that followed it.
@pytest.mark.parametrize('draining', [True, False], ids=['start', 'end'])
@pytest.mark.parametrize(
    'play',
    [
        read_after_the_caller_left,
        read_by_the_leader_after_the_caller_left,
        held_on_the_way_to_the_leader,
        held_while_the_leader_asks,
        held_while_another_host_leads,
    ],
)
def test_late_order_does_not_undo_a_later_one(play, draining):
    assert run(play, draining) is (not draining)


async def sent_once_more(play, draining):
    await play.acknowledge(draining)
    await play.acknowledge(draining, host=play.slow)
    await play.acknowledge(draining, host=play.leader)


async def sent_to_all_at_once(play, draining):
    await asyncio.gather(
        *(play.acknowledge(draining, host=host) for host in 'abcdef')
    )


async def follows_the_opposite_at_once(play, draining):
    for _time in range(5):
        await play.acknowledge(not draining)
        await play.acknowledge(draining)


# Guards against an order that is refused or lost since others are about the
# same failure domain.
@pytest.mark.parametrize('draining', [True, False], ids=['start', 'end'])
@pytest.mark.parametrize(
    'play',
    [sent_once_more, sent_to_all_at_once, follows_the_opposite_at_once],
)
def test_order_whose_caller_waits_is_executed(play, draining):
    assert run(play, draining) is draining


class SlowPeers:
    """Hosts whose answer arrives after the term of the log has changed."""

    def __init__(self, answers):
        self.directory = types.SimpleNamespace(
            local_host=types.SimpleNamespace(name='leader')
        )
        self.term = 1
        self._answers = list(answers)

    async def request(self, host, message, *, timeout_s):
        self.term += 1 if len(self._answers) > 1 else 0
        return self._answers.pop(0)


WAITS = messages.CallerState(is_waiting=True)
LEFT = messages.CallerState(is_waiting=False)
SILENT = sentinels.Absent('peer_timeout')


# Guards against an answer that is used after another host has led meanwhile.
@pytest.mark.parametrize(
    ('answers', 'is_admitted'),
    [
        ([WAITS], True),
        ([LEFT], False),
        ([SILENT], False),
        ([WAITS, WAITS], True),
        ([WAITS, LEFT], False),
        ([WAITS, SILENT], False),
        ([WAITS] * 4, False),
    ],
)
def test_answer_of_an_earlier_term_is_asked_for_again(answers, is_admitted):
    peers = SlowPeers(answers)
    guard = order_guard.OrderGuard(
        peers=peers, current_term=lambda: peers.term
    )
    call = waiting_callers.CallReference(host='follower', call_id='1')
    expected = contextlib.nullcontext()
    if not is_admitted:
        expected = pytest.raises(errors.CallerLeftError)
    with expected:
        asyncio.run(guard.admit(call, matter='failure domain east-a'))


OWN_HEAD = b'DELETE /v1/drains/east-a HTTP/1.1\r\nAuthorization: Bearer t\r\n'
PLATFORM_HEAD = b'POST /rpc?call=drain.end&of=east-a HTTP/1.1\r\n'


def own_handler(service):
    return fleet_calls.handler(
        control_service=service,
        region_of=lambda domain: domain[:4],
        operator_token='t',
        bodies=connection_guards.bodies(),
    )


def platform_handler(service):
    return calls.handler(
        calls.Context(
            control_service=service,
            bodies=connection_guards.bodies(),
            own_ip='b',
            control_port='1',
            region_of=lambda domain: domain[:4],
        )
    )


async def send_and_leave(port, head):
    """Leave before the host has read the call, as while it stands still."""
    caller = socket.create_connection(('127.0.0.1', port))
    caller.sendall(head + b'Host: h\r\nContent-Length: 0\r\n\r\n')
    caller.close()
    await asyncio.sleep(0.5)


async def send_and_wait(port, head):
    """Send again after 503, as while the group elects, but never for that."""
    async with asyncio.timeout(fleet_cluster.DEADLINE_S):
        response = b' 503 '
        while b' 503 ' in response:
            reader, writer = await asyncio.open_connection('127.0.0.1', port)
            writer.write(head + b'Host: h\r\nContent-Length: 0\r\n\r\n')
            response = await reader.readuntil(b'}')
            writer.close()
            assert b'given up' not in response
    assert b' 200 ' in response


@pytest.mark.parametrize(
    ('send', 'is_draining'), [(send_and_leave, True), (send_and_wait, False)]
)
@pytest.mark.parametrize(
    ('create_handler', 'head'),
    [(own_handler, OWN_HEAD), (platform_handler, PLATFORM_HEAD)],
    ids=['own', 'platform'],
)
def test_call_whose_caller_has_gone_changes_nothing(
    tmp_path, create_handler, head, send, is_draining
):
    async def scenario():
        cluster = fleet_cluster.FleetCluster(folder=tmp_path)
        await cluster.start('abcdef')
        await cluster.wait_for_voters(6)
        await cluster.submit_until_accepted('b', order(True))
        server = web.Server(create_handler(cluster.control_services['b']))
        listening = await asyncio.get_running_loop().create_server(
            server, '127.0.0.1', 0
        )
        await send(listening.sockets[0].getsockname()[1], head)
        leading = next(n for n, log in cluster.logs.items() if log.is_leader)
        seen = cluster.states[leading].is_draining(DOMAIN)
        listening.close()
        await server.shutdown(0.1)
        await cluster.stop()
        return seen

    assert asyncio.run(scenario()) is is_draining
