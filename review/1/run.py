"""A server sends bytes without end after its answer: what happens to others?

Clients with kept connections ask a sound server at the same entry host. The
platform kills a process that uses more than ``MemoryMb``, and restarts it.
"""

import asyncio
import contextlib
import pathlib
import time

from review.support import case
from review.support import deployment as deployments
from review.support import http
from review.support import outside
from review.support import record as records

SERVICES = ('faulty', 'sound')
CLIENTS = 12
SOUND_WORK_S = 0.6
SOUND_DEADLINE_MS = 4000
RETRY_AFTER_S = 0.3
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


def _resident_mb(pid: int) -> float:
    pages = int(pathlib.Path(f'/proc/{pid}/statm').read_text().split()[1])
    return pages * 4096 / 2**20


async def _enforce_memory(
    deployment: deployments.Deployment,
    node: deployments.Node,
    record: records.Record,
) -> None:
    """Do what the platform does: kill above ``MemoryMb``, start again."""
    peak_mb = 0.0
    while True:
        await asyncio.sleep(0.05)
        used_mb = _resident_mb(node.pid)
        if used_mb > peak_mb + 20:
            peak_mb = used_mb
            record.write('memory', node=node.name, mb=round(used_mb))
        if used_mb > deployments.MEMORY_MB:
            record.write('memory_over_limit', node=node.name)
            node.process.kill()
            node.process.wait()
            await asyncio.sleep(0.5)
            deployment.start_node(node)
            peak_mb = 0.0


class _Client:
    """Client that sends request after request on a kept connection.

    ``lost`` has the ids of requests whose connection was closed without an
    answer; ``late`` those without one half a second after their deadline.
    """

    def __init__(self, *, address: str, record: records.Record) -> None:
        self._address = address
        self._record = record
        self.answered = 0
        self.lost: list[str] = []
        self.late: list[str] = []

    async def run(self, until_s: float) -> None:
        while time.monotonic() < until_s:
            try:
                async with asyncio.timeout(1):
                    streams = await http.connect(self._address)
            except OSError:
                await asyncio.sleep(0.2)
                continue
            await self._use(*streams, until_s=until_s)
            streams[1].close()

    async def _use(self, reader, writer, *, until_s: float) -> None:
        while time.monotonic() < until_s:
            name, data = outside.request(
                host='pans.example',
                path='/sound/1',
                deadline_ms=SOUND_DEADLINE_MS,
            )
            writer.write(data)
            try:
                async with asyncio.timeout(SOUND_DEADLINE_MS / 1000 + 0.5):
                    response = await http.read(reader)
            except TimeoutError:
                self.late.append(name)
                self._record.write('no_answer_in_time', request=name)
                return
            except (OSError, EOFError) as error:
                self.lost.append(name)
                self._record.write(
                    'closed_without_answer', request=name, why=repr(error)
                )
                return
            self._record.write(
                'answered', request=name, status=response.status
            )
            self.answered += 1
            if response.status != 200:
                await asyncio.sleep(RETRY_AFTER_S)
            if response.headers.get('connection') == 'close':
                return


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
    watch = asyncio.create_task(_enforce_memory(deployment, node, record))
    until_s = time.monotonic() + WATCHED_S
    clients = [
        _Client(address=address, record=record) for _number in range(CLIENTS)
    ]
    running = [asyncio.create_task(item.run(until_s)) for item in clients]
    await asyncio.sleep(2)
    name, data = outside.request(host='pans.example', path='/faulty/1')
    response = await http.exchange(address, data, timeout_s=4)
    record.write('faulty_answered', request=name, status=response.status)
    await asyncio.gather(*running)
    watch.cancel()
    passed_on = {request for _at_s, request in servers['sound'].ran}
    lost = [r for item in clients for r in item.lost if r in passed_on]
    late = [r for item in clients for r in item.late if r in passed_on]
    answered = sum(item.answered for item in clients)
    record.write('counted', answered=answered, lost=len(lost), late=len(late))
    if answered < CLIENTS:
        raise case.NotRunError('too few requests were answered')
    for server in servers.values():
        await server.stop()
    return len(lost) > MAX_LOST


if __name__ == '__main__':
    case.main(play, file=__file__, entries=1)
