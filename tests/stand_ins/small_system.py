"""Real processes on loopback: a control host, an entry host, an upstream.

Each program is started with settings of its own format. The limits of the
settings are those of the tests about clients that do not behave.
"""

import asyncio
from collections.abc import Callable
import contextlib
import dataclasses
import functools
import json
import os
import pathlib
import resource
import socket
import subprocess
import sys

import aiohttp

from benchmarks import fleet
from skylarkpitch.operators import provision

__all__ = [
    'HEADER_TIMEOUT_MS',
    'MAX_BODY_BYTES',
    'MAX_DESCRIPTORS',
    'MEMORY_MB',
    'PROGRAMS',
    'System',
    'fleet_system',
    'single_host',
]

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
SECRET = 'a secret of over sixteen characters'
MEMORY_MB = 128
MAX_DESCRIPTORS = 300
MAX_HEADER_BYTES = 16384
MAX_BODY_BYTES = 1024 * 1024
HEADER_TIMEOUT_MS = 3000
# Long, so that it does not hide a missing limit.
IDLE_TIMEOUT_MS = 600_000
START_TIMEOUT_S = 30.0
REQUEST_TIMEOUT_S = 3.0
ANSWERED_WITHIN_S = 40.0
HEARTBEAT_S = 0.5
ANSWER_BLOCK = b'x' * 65536


@dataclasses.dataclass(kw_only=True)
class System:
    """Running processes, and how an ordinary client uses them.

    ``addresses`` are those of the HTTP ports by name, ``owners`` the names
    of the processes that listen on them, ``peers`` the addresses for other
    hosts by process. ``ordinary`` has method, target and
    status of an ordinary request at each port, ``headers`` are its headers.
    """

    processes: dict[str, subprocess.Popen]
    addresses: dict[str, tuple[str, int]]
    owners: dict[str, str]
    peers: dict[str, tuple[str, int]]
    ordinary: dict[str, tuple[str, str, int]]
    headers: dict[str, str]
    folder: pathlib.Path

    def process(self, port: str) -> subprocess.Popen:
        """Return the process that listens on a port."""
        return self.processes[self.owners[port]]

    def peak_mb(self, port: str) -> float:
        """Return the peak memory of the process that listens on a port."""
        status = pathlib.Path(f'/proc/{self.process(port).pid}/status')
        rows = dict(
            row.split(':', 1) for row in status.read_text().splitlines()
        )
        return int(rows['VmHWM'].split()[0]) / 1024

    def descriptors(self, port: str) -> int:
        """Return the open descriptors of the process of a port."""
        return len(os.listdir(f'/proc/{self.process(port).pid}/fd'))

    def log_bytes(self, port: str) -> int:
        """Return the size of the log of the process of a port."""
        return (self.folder / f'{self.owners[port]}.log').stat().st_size

    async def is_answered(self, port: str) -> bool:
        """Return whether an ordinary request at a port is answered.

        As callers do, it is sent again on a new connection after a failure.
        """
        method, target, status = self.ordinary[port]
        host, number = self.addresses[port]
        url = f'http://{host}:{number}{target}'
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(ANSWERED_WITHIN_S):
                while await _status(method, url, self.headers) != status:
                    await asyncio.sleep(0.1)
                return True
        return False


async def _status(method: str, url: str, headers: dict[str, str]) -> int:
    """Return the status of an answer, 0 without one."""
    timeout = aiohttp.ClientTimeout(total=REQUEST_TIMEOUT_S)
    try:
        async with (
            aiohttp.ClientSession(timeout=timeout) as session,
            session.request(method, url, headers=headers) as response,
        ):
            await response.read()
            return response.status
    except (aiohttp.ClientError, TimeoutError, OSError):
        return 0


async def _serve_upstream(reader, writer, *, id_name: str, seal_name: str):
    """Answer requests: ``/.../SIZE`` with so many bytes, ``wait`` never."""
    try:
        while True:
            head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
            line, *rows = head.split('\r\n')
            headers = {
                name.lower(): value
                for name, _colon, value in (r.partition(': ') for r in rows)
            }
            await reader.readexactly(int(headers.get('content-length', 0)))
            last = line.split()[1].partition('?')[0].rpartition('/')[2]
            if last == 'wait':
                await reader.read()
                return
            size = int(last) if last.isdigit() else 4
            request_id = headers.get(id_name.lower(), '')
            writer.write(
                f'HTTP/1.1 200 OK\r\n{id_name}: {request_id}\r\n'
                f'{seal_name}: s\r\nContent-Length: {size}\r\n\r\n'.encode()
            )
            while size > 0:
                writer.write(ANSWER_BLOCK[:size])
                size -= len(ANSWER_BLOCK)
                await writer.drain()
    except (asyncio.IncompleteReadError, asyncio.LimitOverrunError, OSError):
        pass
    except asyncio.CancelledError:
        # The event loop of the test is stopping.
        pass
    finally:
        writer.close()


def _limit_descriptors() -> None:
    """Limit the open files of a process that is about to start."""
    resource.setrlimit(
        resource.RLIMIT_NOFILE, (MAX_DESCRIPTORS, MAX_DESCRIPTORS)
    )


def _start(
    arguments: list[str],
    variables: dict[str, str],
    log: pathlib.Path,
    *,
    limited: bool = False,
) -> subprocess.Popen:
    with open(log, 'ab') as output:
        return subprocess.Popen(
            [sys.executable, *arguments],
            env={**os.environ, 'PYTHONPATH': str(ROOT / 'src'), **variables},
            stdout=output,
            stderr=output,
            preexec_fn=_limit_descriptors if limited else None,
        )


def _platform_lines(role: str, folder: pathlib.Path, ports: dict) -> dict:
    serves = {'control': 'control,directory', 'entry': 'front'}[role]
    return {
        'Node': f'{role}-a-1',
        'Serves': serves,
        'Ip': '127.0.0.1',
        'Zone': 'a',
        'Region': 'east',
        'Zones.a': 'east',
        'PortRange': f'{ports["peers"]},{ports["peers"] + 1}',
        'Seeds': f'127.0.0.1:{ports["control"]}',
        'Bootstrap': 'true',
        'InTolerance': 'true' if role == 'control' else 'false',
        'DataDir': folder / 'data',
        'Tolerate.Machines': 0,
        'Limits.MemoryMb': MEMORY_MB,
        'Limits.MaxFds': MAX_DESCRIPTORS,
        'Listen.Front': f'127.0.0.1:{ports["callers"]}',
        'Listen.Ready': f'127.0.0.1:{ports["ready"]}',
        'Listen.Control': f'127.0.0.1:{ports["control"]}',
        'Listen.Directory': f'127.0.0.1:{ports["directory"]}',
    }


def _start_platform(role, folder, ports) -> subprocess.Popen:
    lines = _platform_lines(role, folder, ports)
    path = folder / f'{role}.conf'
    path.write_text(''.join(f'{k}={v}\n' for k, v in lines.items()))
    variables = {
        'SKYLARKPITCH_BOOT': str(path),
        'SKYLARK_FLEET_SECRET': SECRET,
    }
    program = str(ROOT / 'platform' / 'main.py')
    return _start([program], variables, folder / f'{role}.log')


def _platform_configuration(idle_timeout_ms: int) -> bytes:
    return json.dumps(
        {
            'Version': '00000001',
            'Routes': {
                'pans': {
                    'Host': 'pans.example',
                    'PathPrefix': '/pans/',
                    'Kind': 'safe',
                    'Timeout': '20s',
                    'Goal': '300ms',
                    'Priority': 1,
                    'Service': 'desk',
                    'Attempts': 2,
                    'Public': True,
                    'Sticky': False,
                    'HomeRegions': [],
                }
            },
            'Services': {
                'desk': {
                    'HealthPath': '/healthz',
                    'MaxConns': 300,
                    'Proto': 'h1',
                    'Tls': False,
                    'Cold': '0ms',
                    'ColdPerS': 0,
                }
            },
            'Limits': {
                'MaxHeaderBytes': MAX_HEADER_BYTES,
                'MaxBodyBytes': MAX_BODY_BYTES,
                'HeaderTimeout': f'{HEADER_TIMEOUT_MS}ms',
                'IdleTimeout': f'{idle_timeout_ms}ms',
            },
            'Tenants': {},
        }
    ).encode()


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Calls:
    """Calls of the operator and of an upstream, as method, path and body."""

    put: tuple[str, str]
    configuration: Callable[[int], bytes]
    heartbeat: tuple[str, str]
    headers: dict[str, str]
    sequence_name: str
    fields: dict[str, object]
    address_name: str


PLATFORM_CALLS = _Calls(
    put=('POST', '/rpc?call=config.put'),
    configuration=_platform_configuration,
    heartbeat=('POST', '/rpc?call=instances.heartbeat&of=u1'),
    headers={'Content-Type': 'application/json'},
    sequence_name='Seq',
    address_name='Addr',
    fields={
        'Service': 'desk',
        'Zone': 'a',
        'Version': 'v1',
        'Slots': 200,
        'State': 'ready',
        'ColdLeft': '0ms',
        'born': 1000,
    },
)


def _own_configuration(idle_timeout_ms: int) -> bytes:
    return json.dumps(
        {
            'version': 1,
            'routes': [
                {
                    'name': 'pans',
                    'host': 'pans.example',
                    'path_prefix': '/pans/',
                    'repeatable': True,
                    'timeout_ms': 20000.0,
                    'objective_ms': 300.0,
                    'max_upstreams': 2,
                    'rank': 1,
                    'is_public': True,
                    'services': [{'service': 'desk', 'weight': 1}],
                }
            ],
            'services': [{'name': 'desk', 'health_path': '/'}],
            'organisations': [],
            'limits': {
                'max_header_bytes': MAX_HEADER_BYTES,
                'max_body_bytes': MAX_BODY_BYTES,
                'header_timeout_ms': HEADER_TIMEOUT_MS,
                'idle_timeout_ms': idle_timeout_ms,
            },
        }
    ).encode()


OWN_CALLS = _Calls(
    put=('PUT', '/v1/configuration'),
    configuration=_own_configuration,
    heartbeat=('PUT', '/v1/upstreams/u1'),
    headers={'Authorization': f'Bearer {SECRET}'},
    sequence_name='sequence',
    address_name='address',
    fields={
        'born_ms': 1000,
        'service': 'desk',
        'failure_domain': 'a',
        'slots': 200,
    },
)


def _start_own(role, folder, ports) -> subprocess.Popen:
    secret = folder / 'secret'
    secret.write_text(SECRET)
    local = functools.partial(dict, ip='127.0.0.1')
    sections = {
        'control': {
            'calls': local(port=ports['control']),
            'data_folder': str(folder / 'data'),
            'operator_token_file': str(secret),
            'is_first_start': True,
            'tolerated_disks': 0,
        },
        'entry': {
            'callers': local(port=ports['callers']),
            'ready': local(port=ports['ready']),
            'memory_mb': MEMORY_MB,
        },
    }
    settings = {
        'host': f'{role}-a-1',
        'ip': '127.0.0.1',
        'failure_domain': 'a',
        'regions': {'a': 'east'},
        'peers_port': ports['peers'],
        'seeds': ['127.0.0.1'],
        'secret_file': str(secret),
        'metrics': local(port=ports[f'{role}-metrics']),
        role: sections[role],
    }
    path = folder / f'{role}.json'
    path.write_text(json.dumps(settings))
    module = 'skylarkpitch.daemon.fleet_program'
    arguments = ['-m', module, '--settings', str(path)]
    return _start(arguments, {}, folder / f'{role}.log', limited=True)


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Program:
    """How a program is started and spoken to."""

    start: object
    calls: _Calls
    id_name: str
    seal_name: str
    control_path: str


PROGRAMS = {
    'platform': _Program(
        start=_start_platform,
        calls=PLATFORM_CALLS,
        id_name='Attempt-Id',
        seal_name='Reply-Seal',
        control_path='/resolve?Name=pans.example&Region=east&Zone=a',
    ),
    'own': _Program(
        start=_start_own,
        calls=OWN_CALLS,
        id_name='Request-Id',
        seal_name='Answer-Seal',
        control_path='/v1/entry-hosts?failure_domain=a',
    ),
}


def _free_ports() -> dict[str, int]:
    """Return free ports by name; that after the peers' port is free too."""
    names = ('callers', 'ready', 'control', 'directory')
    names += ('control-metrics', 'entry-metrics')
    ports = dict(zip(names, fleet.free_ports(len(names)), strict=True))
    while True:
        number = _free_pair()
        if not {number, number + 1} & {0, 1, *ports.values()}:
            return {**ports, 'peers': number}


def _free_pair() -> int:
    """Return a free port whose successor is free too, 0 if it is not."""
    with socket.socket() as first, socket.socket() as second:
        first.bind(('127.0.0.1', 0))
        number = first.getsockname()[1]
        try:
            second.bind(('127.0.0.1', number + 1))
        except (OSError, OverflowError):
            return 0
        return number


async def _heartbeats(calls, address: str, control: str) -> None:
    method, path = calls.heartbeat
    timeout = aiohttp.ClientTimeout(total=REQUEST_TIMEOUT_S)
    sequence = 0
    while True:
        sequence += 1
        body = {
            **calls.fields,
            calls.sequence_name: sequence,
            calls.address_name: address,
        }
        with contextlib.suppress(aiohttp.ClientError, TimeoutError, OSError):
            async with aiohttp.ClientSession(timeout=timeout) as session:
                await session.request(method, control + path, json=body)
        await asyncio.sleep(HEARTBEAT_S)


async def _put_configuration(calls, control: str, body: bytes) -> None:
    method, path = calls.put
    timeout = aiohttp.ClientTimeout(total=REQUEST_TIMEOUT_S)
    async with (
        asyncio.timeout(START_TIMEOUT_S),
        aiohttp.ClientSession(timeout=timeout) as session,
    ):
        options = {'data': body, 'headers': calls.headers}
        while not await _is_put(session, method, control + path, options):
            await asyncio.sleep(0.1)


async def _is_put(session, method: str, url: str, options) -> bool:
    with contextlib.suppress(aiohttp.ClientError, TimeoutError):
        async with session.request(method, url, **options) as response:
            text = await response.text()
            assert response.status != 400, text
            return response.status == 200
    return False


def _fleet_ports(name: str, ports: dict[str, int]) -> dict[str, str]:
    """Map the ports of a fleet to the roles that listen on them."""
    if name == 'platform':
        ports['control-metrics'], ports['entry-metrics'] = 9464, 9465
    owners = {
        'callers': 'entry',
        'ready': 'entry',
        'control': 'control',
        'control-metrics': 'control',
        'entry-metrics': 'entry',
    }
    if name == 'platform':
        owners['directory'] = 'control'
    return owners


@contextlib.asynccontextmanager
async def fleet_system(
    name: str,
    folder: pathlib.Path,
    *,
    idle_timeout_ms: int = IDLE_TIMEOUT_MS,
):
    """Run a fleet of a program and yield its ``System`` once it serves."""
    program = PROGRAMS[name]
    ports = _free_ports()
    owners = _fleet_ports(name, ports)
    upstream = await asyncio.start_server(
        functools.partial(
            _serve_upstream,
            id_name=program.id_name,
            seal_name=program.seal_name,
        ),
        '127.0.0.1',
        0,
    )
    address = '{}:{}'.format(*upstream.sockets[0].getsockname())
    control = f'http://127.0.0.1:{ports["control"]}'
    metrics = ('GET', '/metrics', 200)
    system = System(
        processes={},
        addresses={port: ('127.0.0.1', ports[port]) for port in owners},
        owners=owners,
        peers={
            'control': ('127.0.0.1', ports['peers']),
            'entry': ('127.0.0.1', ports['peers'] + 1),
        },
        ordinary={
            'callers': ('GET', '/pans/4', 200),
            'ready': ('GET', '/readyz', 200),
            'control': ('GET', program.control_path, 200),
            'directory': ('GET', program.control_path, 200),
            'control-metrics': metrics,
            'entry-metrics': metrics,
        },
        headers={'Host': 'pans.example', program.id_name: 'ordinary'},
        folder=folder,
    )
    beating = None
    try:
        for role in ('control', 'entry'):
            system.processes[role] = program.start(role, folder, ports)
        await _put_configuration(
            program.calls,
            control,
            program.calls.configuration(idle_timeout_ms),
        )
        beating = asyncio.create_task(
            _heartbeats(program.calls, address, control)
        )
        for port in owners:
            assert await system.is_answered(port), port
        yield system
    finally:
        if beating is not None:
            beating.cancel()
        upstream.close()
        _end(system.processes)


def _end(processes: dict[str, subprocess.Popen]) -> None:
    for process in processes.values():
        process.kill()
        process.wait()


@contextlib.asynccontextmanager
async def single_host(folder: pathlib.Path):
    """Run ``skylarkd`` with both roles and yield its ``System``."""
    kinds = ('peers', 'callers', 'relay', 'operators')
    numbers = dict(zip(kinds, fleet.free_ports(len(kinds)), strict=True))
    host = {
        'host': 'h1',
        'region': 'r1',
        'failure_domain': 'd1',
        'roles': ['entry', 'control'],
        **{k: {'ip': '127.0.0.1', 'port': n} for k, n in numbers.items()},
    }
    inventory = provision.Inventory.model_validate({'hosts': [host]})
    path = provision.provision(inventory, folder / 'out')['h1']
    arguments = ['-m', 'skylarkpitch.daemon', '--settings', str(path)]
    process = _start(arguments, {}, folder / 'host.log', limited=True)
    ports = ('callers', 'relay', 'operators')
    system = System(
        processes={'host': process},
        addresses={port: ('127.0.0.1', numbers[port]) for port in ports},
        owners=dict.fromkeys(ports, 'host'),
        peers={'host': ('127.0.0.1', numbers['peers'])},
        ordinary={
            'callers': ('GET', '/skylark/v1/metrics', 200),
            'relay': ('GET', '/skylark/v1/metrics', 404),
            'operators': ('GET', '/operators/v1/hosts', 401),
        },
        headers={},
        folder=folder,
    )
    try:
        assert await system.is_answered('callers')
        yield system
    finally:
        _end(system.processes)
