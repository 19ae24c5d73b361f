"""Processes of a fleet in three regions, whose control hosts are replaced.

A control host has a loopback address and a name of its own; its successor
has others. A link proxy stands before the peers port of each.
"""

import itertools
import json
import pathlib
import random
import re
import subprocess
import sys

from benchmarks import fleet as fleets
from benchmarks import upgrade_fleet

__all__ = ['CATCH_UP_S', 'DOMAINS', 'REGION_NAMES', 'TOLERATED', 'RegionFleet']

REGIONS = {
    'east-a': 'east',
    'east-b': 'east',
    'west-a': 'west',
    'west-b': 'west',
    'north-a': 'north',
    'north-b': 'north',
}
DOMAINS = tuple(REGIONS)
REGION_NAMES = tuple(sorted(set(REGIONS.values())))
TOLERATED = 2
CATCH_UP_S = 4.0
SEEDS = 3
LEADING = re.compile(r'at=(\S+) .*event=leading ')


class RegionFleet(upgrade_fleet.FleetExchange):
    """Six control hosts, and entry hosts in each failure domain."""

    def __init__(
        self,
        *,
        root: pathlib.Path,
        folder: pathlib.Path,
        entries_per_domain: int,
        rng: random.Random,
    ) -> None:
        self._root = root
        self._rng = rng
        self._entries_per_domain = entries_per_domain
        self._numbers = itertools.count(1)
        self._ips: dict[str, str] = {}
        self._domains: dict[str, str] = {}
        self._links: subprocess.Popen | None = None
        self.is_first_start = True
        super().__init__(old=root, new=root, folder=folder)

    def _write_settings(self) -> None:
        """Choose addresses; the settings are written at each start."""
        own = next(
            port for port in fleets.free_ports(9) if port not in self._ports
        )
        self._own_peers_port = own
        (self.folder / 'secret').write_text(upgrade_fleet.SECRET)
        self._start_links()
        self._first_controls = [
            self._add_control(domain) for domain in DOMAINS
        ]
        domains = DOMAINS * self._entries_per_domain
        for number, domain in enumerate(domains, start=1):
            name = f'entry-{domain}-{number}'
            self._ips[name] = f'127.0.2.{number}'
            self._domains[name] = domain
            self.addresses[name] = f'{self._ips[name]}:{self._ports[2]}'

    def _start_links(self) -> None:
        with open(self.folder / 'links.log', 'a') as log:
            self._links = subprocess.Popen(
                [sys.executable, '-m', 'benchmarks.link_proxy'],
                stdin=subprocess.PIPE,
                stdout=log,
                stderr=log,
                env=self.environments['new'],
            )

    def _tell_links(self, **command) -> None:
        self._links.stdin.write(json.dumps(command).encode() + b'\n')
        self._links.stdin.flush()

    def _add_control(self, domain: str) -> str:
        number = next(self._numbers)
        name, ip = f'control-{domain}-{number}', f'127.0.1.{number}'
        self._ips[name], self._domains[name] = ip, domain
        self.addresses[name] = f'{ip}:{self._ports[1]}'
        self._tell_links(
            ip=ip, listen=self._ports[0], target_port=self._own_peers_port
        )
        return name

    def harm_links(
        self, name: str, kind: str | None, *, delay_s: float = 0.0
    ) -> None:
        """Harm the links to a control host; a kind of None ends it."""
        self._tell_links(
            ip=self._ips[name],
            harm=kind,
            delay_s=delay_s,
            share=self._rng.choice((0.3, 0.6, 1.0)),
            seed=self._rng.randrange(2**32),
        )

    async def answer(self, method: str, name: str, path: str, **options):
        """Return the body of an answer with 200; None of a removed host."""
        if name not in self.addresses:
            return None
        return await super().answer(method, name, path, **options)

    def controls(self) -> list[str]:
        """Return the control hosts that were not replaced."""
        return [name for name in self.addresses if name.startswith('control')]

    def first_controls(self, region: str) -> list[str]:
        """Return the control hosts of the first start in a region."""
        return [
            name
            for name in self._first_controls
            if REGIONS[self._domains[name]] == region
        ]

    def remove(self, name: str) -> None:
        """Forget a control host that has ended for good."""
        del self.addresses[name]
        del self.processes[name]

    def add_successor(self, name: str) -> str:
        """Return the name of an empty host in place of a removed one."""
        return self._add_control(self._domains[name])

    def leader(self) -> str | None:
        """Return the running control host that began to lead last."""
        began = {}
        for name in self.controls():
            path = self.folder / f'{name}.log'
            found = LEADING.findall(path.read_text()) if path.exists() else []
            if found and self._is_running(name):
                began[name] = found[-1]
        return max(began, key=began.get, default=None)

    def _is_running(self, name: str) -> bool:
        process = self.processes.get(name)
        return process is not None and process.poll() is None

    def _seeds(self, name: str) -> list[str]:
        """Return control hosts that run now, at the first start the first."""
        if self.is_first_start:
            return [self._ips[host] for host in self.controls()[:SEEDS]]
        running = [
            host
            for host in self.controls()
            if host != name and self._is_running(host)
        ]
        chosen = self._rng.sample(running, min(SEEDS, len(running)))
        return [self._ips[host] for host in chosen]

    def _role_settings(self, name: str) -> dict:
        ip = self._ips[name]
        _peers, calls, callers, ready = self._ports
        if name.startswith('entry'):
            part = {
                'callers': {'ip': ip, 'port': callers},
                'ready': {'ip': ip, 'port': ready},
                'goodbye_s': 1.0,
            }
            return {'entry': part}
        part = {
            'calls': {'ip': ip, 'port': calls},
            'data_folder': str(self.folder / name),
            'operator_token_file': str(self.folder / 'secret'),
            'is_first_start': self.is_first_start,
            'tolerated_disks': TOLERATED,
            'catch_up_s': CATCH_UP_S,
        }
        return {'control': part}

    def start(self, name: str, build: str) -> None:
        """Start one process with settings as of now."""
        settings = {
            'host': name,
            'ip': self._ips[name],
            'failure_domain': self._domains[name],
            'regions': REGIONS,
            'peers_port': self._ports[0],
            'seeds': self._seeds(name),
            'secret_file': str(self.folder / 'secret'),
            **self._role_settings(name),
        }
        path = self.folder / f'{name}.json'
        path.write_text(json.dumps(settings))
        own_port = self._own_peers_port
        if name.startswith('entry'):
            own_port = self._ports[0] + 1
        command = [sys.executable, '-m', 'benchmarks.process_soak_host']
        with open(self.folder / f'{name}.log', 'a') as log:
            self.processes[name] = subprocess.Popen(
                [*command, str(path), str(own_port)],
                stdout=log,
                stderr=log,
                env=self.environments[build],
            )

    def close(self) -> None:
        """End what still runs, by its id."""
        super().close()
        self._links.kill()
        self._links.wait()
