"""A machine that stood still executes an order that was long replaced."""

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

HOST = 'menu.example'
EVACUATED = 'jabar-bks'
OTHER = 'jabar-bdg'
EVAC_S = 5.0
CONTACT_S = 4.0
# The machine stands still a little longer than the operator waits for it.
FREEZE_S = 1.45
FIRST_EVACUATION_S = 6.0
PAUSE_S = 0.1
SECOND_EVACUATION_S = 12.0
CONFIGURATION = {
    'Version': '00000001',
    'Routes': {
        'r-menu': {
            'Host': HOST,
            'PathPrefix': '/menu/',
            'Kind': 'safe',
            'Timeout': '2000ms',
            'Goal': '300ms',
            'Priority': 2,
            'Service': 'katalog',
            'Attempts': 2,
            'Public': False,
            'Sticky': False,
            'HomeRegions': [],
        }
    },
    'Services': {
        'katalog': {
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
    """Send requests without an end."""
    while True:
        await client.send('GET', '/menu/1')
        await asyncio.sleep(0.05)


def rotated(items: list[str], number: int) -> list[str]:
    """Return a list that begins with another item."""
    return items[number:] + items[:number]


async def start_servers(
    fleet: fleets.Fleet, record: records.Record
) -> list[servers.Server]:
    """Start two servers in each of two zones, until they are known."""
    started = []
    for number, zone in enumerate((EVACUATED, OTHER) * 2):
        server = servers.Server(
            name=f'i-{number}',
            service='katalog',
            zone=zone,
            ip=fleet.server_ip(number),
            # Others than the leader name it, so they call different nodes.
            controls=rotated(fleet.control_addresses, number),
            record=record,
        )
        await server.start()
        started.append(server)
    await asyncio.sleep(4.0)
    return started


async def acknowledged(
    steering: operator.Operator,
    record: records.Record,
    call: str,
    first: str | None = None,
) -> float:
    """Send an order until it is acknowledged; return when it was."""
    answer = await steering.order(call, EVACUATED, first=first)
    if answer is None or answer.status != 200:
        raise case.NotRunError(f'{call} was not acknowledged')
    record.add('order_acknowledged', call=call)
    return record.now_s()


async def play(record: records.Record, with_trouble: bool) -> list[str]:
    """Return the requests that reached servers of the evacuated zone."""
    with fleets.Fleet(fronts=1, front_zones=(EVACUATED,)) as fleet:
        steering = operator.Operator(
            addresses=fleet.control_addresses,
            record=record,
            rng=random.Random(7),
        )
        await case.wait_ready(fleet, steering, CONFIGURATION)
        started = await start_servers(fleet, record)
        client = clients.Client(
            address=fleet.front_address(fleet.fronts[0]),
            host=HOST,
            record=record,
        )
        background = asyncio.create_task(traffic(client))
        try:
            frozen = pick_follower(fleet, started)
            return await evacuate_twice(
                fleet, record, steering, frozen if with_trouble else None
            )
        finally:
            background.cancel()
            for server in started:
                await server.stop()


def pick_follower(
    fleet: fleets.Fleet, started: list[servers.Server]
) -> fleets.Machine:
    """Return a core machine that servers are not told to report to."""
    leaders = {server.told_address for server in started} - {''}
    if len(leaders) != 1:
        raise case.NotRunError(f'servers are told to report to {leaders}')
    addresses = fleet.control_addresses
    number = next(n for n, item in enumerate(addresses) if item not in leaders)
    return fleet.cores[number]


async def evacuate_twice(
    fleet: fleets.Fleet,
    record: records.Record,
    steering: operator.Operator,
    frozen: fleets.Machine | None,
) -> list[str]:
    """Play the orders, and the freeze unless it is left out."""
    await acknowledged(steering, record, 'drain.start')
    await asyncio.sleep(FIRST_EVACUATION_S)
    thawing = asyncio.create_task(freeze(fleet, record, frozen))
    await asyncio.sleep(0.01)
    first = frozen or fleet.cores[0]
    picked = fleet.control_addresses[fleet.cores.index(first)]
    await acknowledged(steering, record, 'drain.end', first=picked)
    await asyncio.sleep(PAUSE_S)
    other = next(a for a in fleet.control_addresses if a != picked)
    second_s = await acknowledged(steering, record, 'drain.start', first=other)
    thawed_s = await thawing
    await asyncio.sleep(second_s + SECOND_EVACUATION_S - record.now_s())
    judged_from_s = max(second_s + EVAC_S, thawed_s + CONTACT_S)
    ended_s = record.now_s()
    record.add('judged', from_s=judged_from_s, to_s=ended_s)
    return check(record, judged_from_s, ended_s)


async def freeze(
    fleet: fleets.Fleet, record: records.Record, frozen: fleets.Machine | None
) -> float:
    """Let a machine stand still for a time; return when it runs again."""
    if frozen is not None:
        record.add('frozen', machine=frozen.name)
        fleet.freeze(frozen)
    await asyncio.sleep(FREEZE_S)
    if frozen is not None:
        fleet.thaw(frozen)
        record.add('thawed', machine=frozen.name)
    return record.now_s()


def check(record: records.Record, from_s: float, to_s: float) -> list[str]:
    """Return the runs in the evacuated zone, and check that some ran."""
    runs = [run for run in record.of('run') if from_s <= run['at_s'] <= to_s]
    if len(runs) < 20:
        raise case.NotRunError(f'only {len(runs)} requests ran')
    return [
        f'{run["attempt"]} reached {run["server"]} in {run["zone"]}'
        for run in runs
        if run['zone'] == EVACUATED
    ]


if __name__ == '__main__':
    case.main(play, pathlib.Path(__file__).resolve().parent)
