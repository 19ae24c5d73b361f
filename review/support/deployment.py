"""Start a small deployment of the project on loopback addresses."""

import asyncio
import dataclasses
import os
import pathlib
import random
import signal
import socket
import subprocess  # nosec
import sys
import tomllib

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
ZONES = {'north-a': 'north', 'south-a': 'south', 'west-a': 'west'}
BEAT_S = 1.5
MEMORY_MB = 300
SETTINGS = """\
Role={role}
Node={name}
Class={kind}
Serves={serves}
Ip={ip}
Zone={zone}
Region={region}
{zones}
{listen}
PortRange={port},{last_port}
Seeds={seeds}
Bootstrap={bootstrap}
InTolerance={voter}
Limits.CpuShare=0.86
Limits.Cores=1
Limits.MemoryMb={memory}
Limits.MaxFds=4100
Limits.LinkMbps=1000.0
Limits.DiskMb=256
DataDir={folder}
Discovery=self_register
Entry=directory
Beat=1500ms
Contracts=base,drain,config,cost,retry,recover,places,tenants,quota
Tolerate.Machines=1
Tolerate.Zones=1
Tolerate.Regions=1
Bounds.SeedLag=3s
Bounds.ReuseAfter=2s
Bounds.Contact=3000ms
Bounds.Ack=4000ms
Bounds.CatchUp=4s
Bounds.Drain=2500ms
Bounds.Grace=6s
Bounds.LossSlack=200ms
Bounds.ConfigApply=2500ms
Bounds.Downgrade=250ms
Bounds.StretchMax=5000ms
Bounds.StrictRevoke=false
Bounds.Revoke=5000ms
Bounds.BudgetRatio=0.2
Bounds.BudgetWindow=10s
Bounds.BudgetExtra=60
Bounds.QuotaWindow=5s
Bounds.QuotaOver=0.1
Bounds.QuotaSlack=20
Bounds.ColdOver=1.5
Bounds.ColdSlack=5
Bounds.Evac=5000ms
Bounds.Recover=15s
Bounds.ttl_max=5s
Bounds.ShiftMax=0.15
ConfigMode=highest
"""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Ports:
    """Ports of a deployment, the same at all of its addresses."""

    front: int
    ready: int
    control: int
    directory: int
    peers: int


@dataclasses.dataclass(slots=True, kw_only=True)
class Node:
    """One machine with one process."""

    name: str
    kind: str
    ip: str
    zone: str
    process: subprocess.Popen | None = None

    @property
    def pid(self) -> int:
        """Return the id of the running process."""
        return self.process.pid

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        self.process.send_signal(number)


class Deployment:
    """Control hosts and entry hosts, one of each in each zone."""

    def __init__(self, *, folder: pathlib.Path, entries: int = 2) -> None:
        self._folder = folder
        self._roles = tomllib.loads(
            (ROOT / 'deploy' / 'system.toml').read_text()
        )['roles']
        net = f'127.{random.randint(2, 250)}.{random.randint(2, 250)}'
        zones = list(ZONES)
        self.controls = [
            Node(name=f'core-{i}', kind='core', ip=f'{net}.{i}', zone=zone)
            for i, zone in enumerate(zones, start=11)
        ]
        self.fronts = [
            Node(name=f'front-{i}', kind='front', ip=f'{net}.{i}', zone=zone)
            for i, zone in enumerate(zones[:entries], start=21)
        ]
        self._replaced = 0
        self.server_ip = f'{net}.31'
        self.ports = _free_ports([n.ip for n in self.nodes])

    @property
    def nodes(self) -> list[Node]:
        """Return all machines."""
        return [*self.controls, *self.fronts]

    def front_address(self, node: Node) -> str:
        """Return where a machine takes the requests of clients."""
        return f'{node.ip}:{self.ports.front}'

    def control_address(self, node: Node) -> str:
        """Return where a machine takes the calls of the operator."""
        return f'{node.ip}:{self.ports.control}'

    def control_addresses(self) -> list[str]:
        """Return where the operator's calls can be sent."""
        return [self.control_address(node) for node in self.controls]

    def start(self) -> None:
        """Start all processes for the first time."""
        for node in self.nodes:
            self.start_node(node, first=True)

    def replace_control(self, old: Node) -> Node:
        """Return the successor of a control host, at another address.

        It takes the place of the old one, which must have ended. The caller
        starts it.
        """
        number = 14 + self._replaced
        self._replaced += 1
        net = old.ip.rpartition('.')[0]
        new = Node(
            name=f'core-{number}',
            kind=old.kind,
            ip=f'{net}.{number}',
            zone=old.zone,
        )
        self.controls[self.controls.index(old)] = new
        return new

    def start_node(self, node: Node, *, first: bool = False) -> None:
        """Start the process of a machine with its settings file."""
        role = 'control' if node.kind == 'core' else 'entry'
        path = self._folder / f'{node.name}.conf'
        path.write_text(self._settings(node, first=first))
        env = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        env |= self._roles[role].get('env', {})
        env['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        env['SKYLARKPITCH_BOOT'] = str(path)
        log = (self._folder / f'{node.name}.log').open('ab')
        words = self._roles[role]['run'].split()
        if words[0] == 'python3':
            words[0] = sys.executable
        node.process = subprocess.Popen(  # nosec
            words, cwd=ROOT, env=env, stdout=log, stderr=log
        )
        log.close()

    def data_folder(self, node: Node) -> pathlib.Path:
        """Return the disk of a control host."""
        return self._folder / node.name

    def log_of(self, node: Node) -> str:
        """Return what the process of a machine has printed."""
        return (self._folder / f'{node.name}.log').read_text()

    async def wait_ready(self, *, timeout_s: float = 20.0) -> None:
        """Wait until every entry host says that it is ready."""
        from review.support import http

        request = http.encode('GET /readyz HTTP/1.1', {'Host': 'ready'})
        async with asyncio.timeout(timeout_s):
            for node in self.fronts:
                while not await self._is_ready(node, request):
                    await asyncio.sleep(0.2)

    async def _is_ready(self, node: Node, request: bytes) -> bool:
        from review.support import http

        address = f'{node.ip}:{self.ports.ready}'
        try:
            response = await http.exchange(address, request, timeout_s=1)
        except (OSError, EOFError):
            return False
        return response.status == 200

    def stop(self) -> None:
        """Kill all processes that were started here."""
        for node in self.nodes:
            if node.process is not None and node.process.poll() is None:
                node.process.send_signal(signal.SIGCONT)
                node.process.kill()
                node.process.wait()

    def _settings(self, node: Node, *, first: bool) -> str:
        ports = self.ports
        is_core = node.kind == 'core'
        if is_core:
            serves = 'control,directory'
            listen = (
                f'Listen.Control={node.ip}:{ports.control}\n'
                f'Listen.Directory={node.ip}:{ports.directory}'
            )
        else:
            serves = 'front'
            listen = (
                f'Listen.Front={node.ip}:{ports.front}\n'
                f'Listen.Ready={node.ip}:{ports.ready}'
            )
        return SETTINGS.format(
            role='control' if is_core else 'entry',
            name=node.name,
            kind=node.kind,
            serves=serves,
            ip=node.ip,
            zone=node.zone,
            region=ZONES[node.zone],
            zones='\n'.join(f'Zones.{z}={r}' for z, r in ZONES.items()),
            listen=listen,
            port=ports.peers,
            last_port=ports.peers + 15,
            seeds=','.join(self.control_addresses()),
            bootstrap=str(first).lower(),
            voter=str(is_core).lower(),
            memory=MEMORY_MB,
            folder=self._folder / node.name if is_core else '',
        )


def _free_ports(ips: list[str]) -> Ports:
    """Return ports that are free at all addresses."""
    for _attempt in range(100):
        first = random.randint(20000, 29000)
        numbers = range(first, first + 20)
        if all(_is_free(ip, port) for ip in ips for port in numbers):
            return Ports(
                front=first,
                ready=first + 1,
                control=first + 2,
                directory=first + 3,
                peers=first + 4,
            )
    raise OSError('no free ports')


def _is_free(ip: str, port: int) -> bool:
    with socket.socket() as probe:
        try:
            probe.bind((ip, port))
        except OSError:
            return False
    return True
