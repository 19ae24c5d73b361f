"""A server is reborn and leaves; a late heartbeat brings it back."""

import asyncio
import pathlib
import random
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
from support_2 import case  # noqa: E402
from support_2 import client as clients  # noqa: E402
from support_2 import fleet as fleets  # noqa: E402
from support_2 import operator  # noqa: E402
from support_2 import record as records  # noqa: E402
from support_2 import server as servers  # noqa: E402

HOST = 'shop.example'
DRAIN_S = 2.5
# The server is down for so long after its crash.
DOWN_S = 2.0
# It leaves so long after its start, and serves on for some seconds.
LEAVES_AFTER_S = 0.5
SERVES_ON_S = 8.0
# Its first heartbeat arrives so long after it was sent.
LATE_S = 3.0
WORK_S = 0.2
CONFIGURATION = {
    'Version': '00000001',
    'Routes': {
        'r-orders': {
            'Host': HOST,
            'PathPrefix': '/orders/',
            'Kind': 'unsafe',
            'Timeout': '2000ms',
            'Goal': '600ms',
            'Priority': 1,
            'Service': 'pesanan',
            'Attempts': 2,
            'Public': False,
            'Sticky': False,
            'HomeRegions': [],
        }
    },
    'Services': {
        'pesanan': {
            'HealthPath': '/healthz',
            'MaxConns': 330,
            'Proto': 'h1',
            'Tls': False,
            'Cold': '0ms',
            'ColdPerS': 1000.0,
        }
    },
    'Limits': {
        'MaxHeaderBytes': 16384,
        'MaxBodyBytes': 67108864,
        'HeaderTimeout': '3000ms',
        'IdleTimeout': '15000ms',
    },
}


async def traffic(client: clients.Client) -> None:
    """Send requests without an end, several at a time."""
    tasks = set()
    while True:
        task = asyncio.create_task(client.send('POST', '/orders/1', b'o'))
        tasks.add(task)
        task.add_done_callback(tasks.discard)
        await asyncio.sleep(0.02)


async def play(record: records.Record, with_trouble: bool) -> list[str]:
    """Return the requests that reach the server after its departure."""
    with fleets.Fleet() as fleet:
        steering = operator.Operator(
            addresses=fleet.control_addresses,
            record=record,
            rng=random.Random(10),
        )
        await case.wait_ready(fleet, steering, CONFIGURATION)
        started = [new_server(fleet, record, number) for number in range(3)]
        for server in started:
            await server.start()
        await asyncio.sleep(3.0)
        client = clients.Client(
            address=fleet.front_address(fleet.fronts[0]),
            host=HOST,
            record=record,
        )
        background = asyncio.create_task(traffic(client))
        try:
            await asyncio.sleep(2.0)
            return await leave(fleet, record, started, with_trouble)
        finally:
            background.cancel()
            for server in started:
                await server.stop()


def new_server(
    fleet: fleets.Fleet, record: records.Record, number: int, port: int = 0
) -> servers.Server:
    """Return a new incarnation of a server."""
    return servers.Server(
        name=f'i-{number}',
        service='pesanan',
        zone=fleet.fronts[0].zone,
        ip=fleet.server_ip(number),
        controls=fleet.control_addresses,
        record=record,
        work_s=WORK_S,
        port=port,
    )


async def leave(
    fleet: fleets.Fleet,
    record: records.Record,
    started: list[servers.Server],
    with_trouble: bool,
) -> list[str]:
    """Let one server leave, after a crash unless that is left out."""
    leaving, late = started[0], None
    if with_trouble:
        await leaving.stop()
        record.add('crashed', server=leaving.name)
        await asyncio.sleep(DOWN_S)
        leaving = new_server(fleet, record, 0, port=leaving.port)
        started[0] = leaving
        await leaving.listen()
        record.add('reborn', server=leaving.name)
        late = asyncio.create_task(leaving.beat(late_s=LATE_S))
        await asyncio.sleep(LEAVES_AFTER_S)
    else:
        leaving.silence()
    if not await leaving.leave():
        raise case.NotRunError('the departure was not acknowledged')
    acknowledged_s = record.now_s()
    record.add('departure_acknowledged', server=leaving.name)
    if late is not None:
        record.add('late_heartbeat', acknowledged=await late)
    await asyncio.sleep(acknowledged_s + SERVES_ON_S - record.now_s())
    await leaving.stop()
    record.add('exited', server=leaving.name)
    await asyncio.sleep(3.0)
    return check(record, leaving.name, acknowledged_s + DRAIN_S)


def check(record: records.Record, name: str, from_s: float) -> list[str]:
    """Return the runs at the server from a time on."""
    runs = [run for run in record.of('run') if run['at_s'] > from_s]
    if len(runs) < 20:
        raise case.NotRunError(f'only {len(runs)} requests ran')
    late = [run for run in runs if run['server'] == name]
    answers = {
        item['attempt']: item['status'] for item in record.of('answered')
    }
    lost = [run for run in late if answers.get(run['attempt']) != 200]
    record.add('measured', late=len(late), without_success=len(lost))
    return [
        f'{run["attempt"]} reached {name} at {run["at_s"]} s, allowed until '
        f'{from_s:.1f} s'
        for run in late
    ]


if __name__ == '__main__':
    case.main(play, pathlib.Path(__file__).resolve().parent)
