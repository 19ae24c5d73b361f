"""Start a small deployment with the commands of the deploy file.

Every machine has a loopback address of its own, so that all of them use the
same ports, as on the platform.
"""

import contextlib
import dataclasses
import os
import pathlib
import random
import signal
import socket
import subprocess
import tomllib

__all__ = ['ROOT', 'Deployment', 'Machine', 'Problem']

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
ZONES = {
    'seoul-a': 'sudogwon',
    'busan-a': 'yeongnam',
    'gwangju-a': 'honam',
}
# Where the clients and the entry hosts are.
CLIENT_ZONE = 'busan-a'
FRONT, READY, CONTROL, DIRECTORY = 0, 1, 2, 3
PORTS = 4
PEER_PORTS = 16
METRICS_PORTS = (9464, 9465)
STOP_TIMEOUT_S = 8.0


class Problem(Exception):
    """The case cannot run here."""


@dataclasses.dataclass(kw_only=True)
class Machine:
    """One machine of the system, and its process while it runs."""

    name: str
    role: str
    ip: str
    zone: str
    folder: pathlib.Path
    process: subprocess.Popen | None = None
    started: list[subprocess.Popen] = dataclasses.field(default_factory=list)

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        self.process.send_signal(number)

    def end(self) -> None:
        """End every process that was started, by its id."""
        for process in self.started:
            if process.poll() is None:
                with contextlib.suppress(ProcessLookupError):
                    process.send_signal(signal.SIGCONT)
                    process.kill()
            process.wait()


def _is_free(ip: str, ports: list[int]) -> bool:
    for port in ports:
        with socket.socket() as probe:
            try:
                probe.bind((ip, port))
            except OSError:
                return False
    return True


class Deployment:
    """Control hosts and entry hosts of one small deployment.

    ``tolerated`` is how many disks may be lost at once. ``bounds`` are
    those of the site file that the case names.
    """

    def __init__(
        self,
        *,
        folder: pathlib.Path,
        controls: int = 3,
        entries: int = 2,
        tolerated: int = 1,
        bounds: dict[str, str],
    ) -> None:
        self._folder = folder
        self._tolerated = tolerated
        self._bounds = bounds
        self._net = self._free_net(controls + entries)
        with open(ROOT / 'deploy' / 'system.toml', 'rb') as file:
            self._roles = tomllib.load(file)['roles']
        self.controls = [
            self._machine('control', number) for number in range(controls)
        ]
        # In one zone, so that its clients may use all of them.
        self.entries = [
            self._machine('entry', number + controls, zone=CLIENT_ZONE)
            for number in range(entries)
        ]

    def _free_net(self, machines: int) -> str:
        """Choose loopback addresses and ports that nothing uses."""
        rng = random.SystemRandom()
        for _attempt in range(50):
            net = f'127.{rng.randrange(16, 250)}.{rng.randrange(250)}'
            first = rng.randrange(20_000, 29_000)
            ports = [*range(first, first + PORTS + PEER_PORTS)]
            ports += METRICS_PORTS
            hosts = [f'{net}.{n + 10}' for n in range(machines)]
            if all(_is_free(ip, ports) for ip in hosts):
                self._first_port = first
                return net
        raise Problem('no free loopback addresses and ports')

    def _machine(
        self, role: str, number: int, *, zone: str | None = None
    ) -> Machine:
        zones = list(ZONES)
        folder = self._folder / f'{role}-{number}'
        folder.mkdir()
        return Machine(
            name=f'{role}-{number}',
            role=role,
            ip=f'{self._net}.{number + 10}',
            zone=zone or zones[number % len(zones)],
            folder=folder,
        )

    def server_ip(self, number: int) -> str:
        """Return a loopback address for a server that is no machine."""
        return f'{self._net}.{number + 100}'

    def address(self, machine: Machine, port: int) -> tuple[str, int]:
        """Return one of the addresses that a machine serves."""
        return machine.ip, self._first_port + port

    def start(self, machine: Machine, *, bootstrap: bool = True) -> None:
        """Start the process of a machine with its command and settings."""
        path = machine.folder / 'boot.conf'
        lines = self._settings(machine, bootstrap=bootstrap)
        path.write_text(''.join(f'{k}={v}\n' for k, v in lines.items()))
        role = self._roles[machine.role]
        inherited = ('PATH', 'HOME', 'LANG')
        environment = {k: os.environ[k] for k in inherited if k in os.environ}
        environment |= role['env']
        environment['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        environment['SKYLARKPITCH_BOOT'] = str(path)
        with open(machine.folder / 'log', 'ab') as output:
            machine.process = subprocess.Popen(
                role['run'].split(),
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=output,
            )
        machine.started.append(machine.process)

    def start_all(self) -> None:
        """Start every machine for the first time."""
        for machine in self.controls + self.entries:
            self.start(machine)

    def end_all(self) -> None:
        """End every process that was started."""
        for machine in self.controls + self.entries:
            machine.end()

    def _settings(self, machine: Machine, *, bootstrap: bool) -> dict:
        ip, first = machine.ip, self._first_port
        is_control = machine.role == 'control'
        seeds = ','.join(
            f'{item.ip}:{first + CONTROL}' for item in self.controls[:3]
        )
        lines = {
            'Node': machine.name,
            'Role': machine.role,
            'Class': 'core' if is_control else 'front',
            'Serves': 'control,directory' if is_control else 'front',
            'Ip': ip,
            'Zone': machine.zone,
            'Region': ZONES[machine.zone],
            **{f'Zones.{zone}': region for zone, region in ZONES.items()},
            'PortRange': f'{first + PORTS},{first + PORTS + PEER_PORTS - 1}',
            'Seeds': seeds,
            'Bootstrap': str(bootstrap).lower(),
            'InTolerance': str(is_control).lower(),
            'Limits.CpuShare': '0.86',
            'Limits.Cores': '1',
            'Limits.MemoryMb': '296' if is_control else '300',
            'Limits.MaxFds': '4096',
            'Limits.LinkMbps': '1000.0',
            'Limits.DiskMb': '256' if is_control else '0',
            'Discovery': 'self_register',
            'Entry': 'directory',
            'Beat': '1500ms',
            'Contracts': 'base,drain,config,cost,retry,recover,health,pool,'
            'places,tenants,quota',
            'Tolerate.Machines': str(self._tolerated),
            'Tolerate.Zones': '1',
            'Tolerate.Regions': '1',
            'ConfigMode': 'highest',
            **{f'Bounds.{k}': v for k, v in self._bounds.items()},
        }
        if is_control:
            data = machine.folder / 'data'
            data.mkdir(exist_ok=True)
            lines['DataDir'] = str(data)
            lines['Listen.Control'] = f'{ip}:{first + CONTROL}'
            lines['Listen.Directory'] = f'{ip}:{first + DIRECTORY}'
        else:
            lines['Listen.Front'] = f'{ip}:{first + FRONT}'
            lines['Listen.Ready'] = f'{ip}:{first + READY}'
        return lines
