"""A server sends bytes without end after its answer: what happens to others?

Clients with kept connections ask a sound server at the same entry host. The
platform kills a process that uses more than ``MemoryMb``, and restarts it.
"""

import asyncio
import contextlib
import time

from review.support import case
from review.support import deployment as deployments
from review.support import http
from review.support import kept_clients
from review.support import memory
from review.support import outside
from review.support import record as records

SERVICES = ('faulty', 'sound')
CLIENTS = 12
SOUND_WORK_S = 0.6
WATCHED_S = 12.0
FLOOD_MB_PER_S = 10
FLOOD_STEP_S = 0.01
FLOOD_MAX_S = 30.0
EXTRA = b'HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na'
# RULES.md, LOST: "more than three times".
MAX_LOST = 3


def _faulty(record: records.Record, *, trouble: bool) -> outside.Behaviour:
    """Return a server that answers, then sends bytes until it is closed."""
    answer = outside.answer_after(0.02)
    piece = EXTRA * int(FLOOD_MB_PER_S * 1e6 * FLOOD_STEP_S / len(EXTRA))

    async def behave(server, request, reader, writer) -> bool:
        await answer(server, request, reader, writer)
        if not trouble:
            return True
        await asyncio.sleep(0.1)
        started_s = time.monotonic()
        sent_bytes = 0
        record.write('flood_started', server=server.id)
        with contextlib.suppress(OSError):
            while time.monotonic() - started_s < FLOOD_MAX_S:
                writer.write(piece)
                await writer.drain()
                sent_bytes += len(piece)
                await asyncio.sleep(FLOOD_STEP_S)
        record.write(
            'flood_ended',
            sent_mb=round(sent_bytes / 1e6, 1),
            took_s=round(time.monotonic() - started_s, 1),
        )
        return False

    return behave


async def play(
    deployment: deployments.Deployment,
    record: records.Record,
    trouble: bool,
) -> bool:
    """Return whether LOST was broken at the entry host."""
    controls = deployment.control_addresses()
    operator = outside.Operator(addresses=controls, record=record)
    await operator.order(
        '/rpc?call=config.put',
        outside.configuration(
            1,
            routes={
                name: outside.route(name, f'/{name}/') for name in SERVICES
            },
            services={name: outside.service() for name in SERVICES},
            tenants=None,
        ),
    )
    behaviours = {
        'faulty': _faulty(record, trouble=trouble),
        'sound': outside.answer_after(SOUND_WORK_S),
    }
    servers = {
        name: outside.Server(
            service=name,
            ip=deployment.server_ip,
            zone='north-a',
            controls=controls,
            record=record,
            behaviour=behaviours[name],
            slots=2 * CLIENTS,
        )
        for name in SERVICES
    }
    for server in servers.values():
        await server.start()
    await deployment.wait_ready()
    await asyncio.sleep(2)
    node = deployment.fronts[0]
    address = deployment.front_address(node)
    watch = asyncio.create_task(memory.enforce(deployment, node, record))
    running = kept_clients.start(
        address=address, record=record, count=CLIENTS, for_s=WATCHED_S
    )
    await asyncio.sleep(2)
    name, data = outside.request(host='pans.example', path='/faulty/1')
    response = await http.exchange(address, data, timeout_s=4)
    record.write('faulty_answered', request=name, status=response.status)
    result = await running.result(passed_on=servers['sound'])
    watch.cancel()
    for server in servers.values():
        await server.stop()
    if result.answered < CLIENTS:
        raise case.NotRunError('too few requests were answered')
    return result.lost > MAX_LOST


if __name__ == '__main__':
    case.main(play, file=__file__, entries=1)
