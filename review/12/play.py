"""A server that drains is cut off from control, and an old report arrives.

The departure of a server has been acknowledged. The group forgets it while
nothing is heard of it, and a report of before, which arrives late, brings it
back as a server that is ready.
"""

import asyncio
import contextlib
import pathlib
import time

from support_3 import case
from support_3 import fleet as fleets
from support_3 import http
from support_3 import operator

# Bounds of the site that claim.txt names.
TIMEOUT_MS = 6000
DEADLINE_MS = 15000
GOAL_MS = 2000
CONTACT_S = 4.0
DRAIN_S = 2.5
BEAT_S = 1.5
BOUNDS = {
    'Contact': '4000ms',
    'CatchUp': '6s',
    'Drain': '2500ms',
    'Grace': '6s',
    'LossSlack': '200ms',
    'ConfigApply': '2500ms',
}
WORK_S = 0.15
CLIENTS = 12
PAUSE_S = 0.1
# All from the acknowledgement on: the cut lasts as long as a cut of servers
# does by default, and the old report arrives while it lasts.
CUT_AT_S = 1.4
CUT_S = 5.0
LATE_AT_S = 5.7
LEAVE_AT_S = 9.0
# The server that drains: the one in the zone of the clients.
SERVER = 1
# Five, so that one of them is the share that a cut of servers takes.
ZONES = (*fleets.SERVER_ZONES, 'seoul-a')


class Client:
    """A client with a kept connection; ``sent_s`` is by attempt."""

    def __init__(self, *, number: int, fleet: fleets.Fleet) -> None:
        self.sent_s: dict[str, float] = {}
        self.unanswered = 0
        self._number = number
        self._fleet = fleet

    async def run(self, has_ended: asyncio.Event) -> None:
        """Send one request after the other."""
        while not has_ended.is_set():
            addresses = await self._fleet.look_up()
            with contextlib.suppress(OSError, EOFError, TimeoutError):
                address = addresses[self._number % len(addresses)]
                connection = await asyncio.open_connection(*address)
                await self._use(*connection, has_ended)

    async def _use(self, reader, writer, has_ended: asyncio.Event) -> None:
        try:
            while not has_ended.is_set():
                self.unanswered += 1
                self._send(writer)
                async with asyncio.timeout(DEADLINE_MS / 1000):
                    await http.read_answer(reader)
                self.unanswered -= 1
                await asyncio.sleep(PAUSE_S)
        finally:
            writer.close()

    def _send(self, writer) -> None:
        attempt_id = f'{self._number:08x}{len(self.sent_s):08x}'
        self.sent_s[attempt_id] = time.monotonic()
        writer.write(
            (
                f'POST /kiln/book HTTP/1.1\r\nHost: {operator.HOST}\r\n'
                f'Attempt-Id: {attempt_id}\r\nApi-Key: {operator.KEY}\r\n'
                f'Deadline-Ms: {DEADLINE_MS}\r\nContent-Length: 2\r\n\r\nok'
            ).encode()
        )


async def _work(_request) -> bytes:
    await asyncio.sleep(WORK_S)
    return b'booked'


async def _leave_as_planned(fleet: fleets.Fleet) -> float:
    """Let a server drain and leave; return when it was heard."""
    server, log = fleet.servers[SERVER], fleet.log
    old_report = server.next_report()
    log.write(f'{server.server_id} sends {old_report}')
    server.state = 'draining'
    server.heard.clear()
    await server.heard.wait()
    heard_s = time.monotonic()
    log.write(f'{server.server_id}: draining is acknowledged')
    if fleet.has_trouble:
        await asyncio.sleep(CUT_AT_S)
        server.is_cut_off = True
        log.write(f'{server.server_id} is cut off from control')
        await asyncio.sleep(heard_s + LATE_AT_S - time.monotonic())
        is_heard = await server.deliver('heartbeat', old_report)
        log.write(f'the old report arrives: acknowledged={is_heard}')
        await asyncio.sleep(heard_s + CUT_AT_S + CUT_S - time.monotonic())
        server.is_cut_off = False
        log.write(f'{server.server_id} is cut off no longer')
        await server.report()
    await asyncio.sleep(heard_s + LEAVE_AT_S - time.monotonic())
    log.write(f'{server.server_id} leaves: {await server.leave()}')
    await server.stop()
    return heard_s


async def _play(fleet: fleets.Fleet) -> bool:
    has_ended = asyncio.Event()
    clients = [Client(number=n, fleet=fleet) for n in range(CLIENTS)]
    tasks = [asyncio.create_task(item.run(has_ended)) for item in clients]
    await asyncio.sleep(3 * BEAT_S)
    heard_s = await _leave_as_planned(fleet)
    await asyncio.sleep(1.0)
    has_ended.set()
    await asyncio.gather(*tasks)
    sent_s = {}
    for client in clients:
        sent_s |= client.sent_s
    return _judge(fleet, sent_s, heard_s)


def _judge(fleet, sent_s: dict[str, float], heard_s: float) -> bool:
    """Return whether nothing reached the server later than the bound."""
    server = fleet.servers[SERVER]
    late = 0
    for attempt_id, ran_s in zip(server.ran, server.ran_s, strict=True):
        after_s = sent_s.get(attempt_id, 0.0) - heard_s
        if after_s > DRAIN_S:
            late += 1
            fleet.log.write(
                f'LATE {attempt_id}: sent {after_s:.2f} s after the '
                f'acknowledgement, run {ran_s - heard_s:.2f} s after it'
            )
    fleet.log.write(
        f'requests={len(sent_s)} runs of {server.server_id}='
        f'{len(server.ran)} late={late}'
    )
    return not late


async def play(context) -> bool:
    """Return whether the rule was kept."""
    configuration = operator.configuration(
        version=7, timeout_ms=TIMEOUT_MS, goal_ms=GOAL_MS
    )
    async with fleets.running(
        context,
        configuration=configuration,
        bounds=BOUNDS,
        contact_s=CONTACT_S,
        work=_work,
        zones=ZONES,
    ) as fleet:
        return await _play(fleet)


if __name__ == '__main__':
    case.run(pathlib.Path(__file__).parent, play)
