"""Start and stop the processes of a whole deployment on loopback."""

import contextlib
import json
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import time

from benchmarks import shapes
from skylarkpitch.operators import client as clients
from skylarkpitch.operators import provision

__all__ = ['Fleet', 'free_ports']

LOOPBACK = '127.0.0.1'
LOWEST_PORT = 12_000
FALLBACK_FIRST_EPHEMERAL_PORT = 32_768
PORT_RANGE_FILE = pathlib.Path('/proc/sys/net/ipv4/ip_local_port_range')
STOP_TIMEOUT_S = 20.0
POLL_INTERVAL_S = 0.1


def _first_ephemeral_port() -> int:
    try:
        return int(PORT_RANGE_FILE.read_text().split()[0])
    except (OSError, ValueError):
        return FALLBACK_FIRST_EPHEMERAL_PORT


def free_ports(count: int) -> list[int]:
    """Return ports that are free at the moment.

    They are below the ephemeral range, from which the operating system could
    assign them to outgoing connections before the daemon listens on them.
    """
    candidates = list(range(LOWEST_PORT, _first_ephemeral_port()))
    random.SystemRandom().shuffle(candidates)
    with contextlib.ExitStack() as stack:
        free: list[int] = []
        for port in candidates:
            if len(free) == count:
                break
            probe = stack.enter_context(socket.socket())
            with contextlib.suppress(OSError):
                probe.bind((LOOPBACK, port))
                free.append(port)
    return free


def _address(port: int) -> dict:
    return {'ip': LOOPBACK, 'port': port}


def _link_name(one: str, other: str) -> str:
    return ' '.join(sorted((one, other)))


class Fleet:
    """The processes of one deployment.

    ``latency`` routes the connections between failure domains through a
    stand-in network that delays them.
    """

    def __init__(
        self,
        *,
        shape: shapes.Shape,
        folder: pathlib.Path,
        latency: bool = True,
        log_level: str = 'info',
    ) -> None:
        self.shape = shape
        self.folder = folder
        self.base = shapes.load_base(shape)
        self.region_of = {
            domain: region
            for region, item in self.base['regions'].items()
            for domain in item['failure_domains']
        }
        self.hosts = self._host_entries()
        self.processes: dict[str, subprocess.Popen] = {}
        self.upstreams: dict[str, subprocess.Popen] = {}
        self._has_latency = latency
        self._log_level = log_level
        self._forwarder: subprocess.Popen | None = None

    def _host_entries(self) -> list[dict]:
        entries = []
        control_domains = {
            next(iter(item['failure_domains']))
            for item in self.base['regions'].values()
        }
        for domain, count in self.shape.entry_hosts.items():
            for number in range(1, count + 1):
                roles = ['entry']
                if domain in control_domains and number == 1:
                    roles.append('control')
                entries.append(
                    {
                        'host': f'{domain}-{number}',
                        'region': self.region_of[domain],
                        'failure_domain': domain,
                        'roles': roles,
                    }
                )
        ports = free_ports(4 * len(entries))
        for entry in entries:
            entry['peers'] = _address(ports.pop())
            entry['callers'] = _address(ports.pop())
            entry['relay'] = _address(ports.pop())
            if 'control' in entry['roles']:
                entry['operators'] = _address(ports.pop())
        return entries

    def provision(self) -> None:
        """Write settings and keys, and start the stand-in network."""
        if self._has_latency:
            self._add_routes()
        inventory = provision.Inventory.model_validate(
            {'hosts': self.hosts, 'log_level': self._log_level}
        )
        self.settings = provision.provision(inventory, self.folder / 'hosts')

    def _add_routes(self) -> None:
        links = [
            (domain, entry, kind)
            for domain in self.shape.entry_hosts
            for entry in self.hosts
            for kind in ('peers', 'relay')
            if entry['failure_domain'] != domain
        ]
        routes = [
            {
                'name': _link_name(domain, entry['failure_domain']),
                'port': entry[kind]['port'],
                'delay_s': shapes.one_way_s(
                    self.shape,
                    self.region_of,
                    domain,
                    entry['failure_domain'],
                ),
            }
            for domain, entry, kind in links
        ]
        self._forwarder = subprocess.Popen(
            [sys.executable, '-m', 'tests.stand_ins.forwarder'],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )
        self._send_to_forwarder(json.dumps(routes))
        ports = json.loads(self._forwarder.stdout.readline())
        for (domain, entry, kind), port in zip(links, ports, strict=True):
            by_domain = entry.setdefault('routes', {}).setdefault(domain, {})
            by_domain[kind] = _address(port)

    def _send_to_forwarder(self, line: str) -> None:
        self._forwarder.stdin.write(f'{line}\n')
        self._forwarder.stdin.flush()

    def cut(self, failure_domain: str) -> None:
        """Cut the links between a failure domain and all others.

        Connections stay open; their bytes are delayed until ``heal``.
        """
        for other in self._other_domains(failure_domain):
            self._send_to_forwarder(f'cut {_link_name(failure_domain, other)}')

    def heal(self, failure_domain: str) -> None:
        """Restore the links between a failure domain and all others."""
        for other in self._other_domains(failure_domain):
            self._send_to_forwarder(
                f'heal {_link_name(failure_domain, other)}'
            )

    def _other_domains(self, failure_domain: str) -> list[str]:
        return [d for d in self.shape.entry_hosts if d != failure_domain]

    def start_host(self, name: str) -> None:
        """Start the daemon of one host; append its log to ``NAME.log``."""
        with open(self.folder / f'{name}.log', 'a') as log:
            self.processes[name] = subprocess.Popen(
                [
                    sys.executable,
                    '-m',
                    'skylarkpitch.daemon',
                    '--settings',
                    str(self.settings[name]),
                ],
                stdout=log,
                stderr=log,
            )

    def start(self) -> None:
        """Start every daemon."""
        for entry in self.hosts:
            self.start_host(entry['host'])

    def start_upstreams(self, **plan_fields: object) -> None:
        """Start the stand-in upstreams, one process per failure domain.

        ``plan_fields`` are properties of every upstream.
        """
        plans_by_domain: dict[str, list[dict]] = {
            d: [] for d in self.shape.entry_hosts
        }
        domains = list(plans_by_domain)
        for service, count in self.shape.upstreams.items():
            for number in range(count):
                domain = domains[number % len(domains)]
                plans_by_domain[domain].append(
                    {
                        'name': f'{service}-{domain}-{number}',
                        'service': service,
                        'slots': self.shape.slots,
                        'connections': self.shape.connections,
                        **plan_fields,
                    }
                )
        token = (self.folder / 'hosts' / 'announce.token').read_text()
        for domain, plans in plans_by_domain.items():
            path = self.folder / f'upstreams-{domain}.json'
            path.write_text(
                json.dumps(
                    {
                        'entries': self.caller_urls(domain),
                        'token': token,
                        'plans': plans,
                    }
                )
            )
            log = open(self.folder / f'upstreams-{domain}.log', 'a')
            self.upstreams[domain] = subprocess.Popen(
                [
                    sys.executable,
                    '-m',
                    'tests.stand_ins.upstream',
                    '--plan',
                    str(path),
                ],
                stdout=subprocess.PIPE,
                stderr=log,
                text=True,
            )
            log.close()

    def caller_urls(self, failure_domain: str | None = None) -> list[str]:
        """Return the callers' URLs of all hosts or of one failure domain."""
        return [
            f'http://{LOOPBACK}:{entry["callers"]["port"]}'
            for entry in self.hosts
            if failure_domain in (None, entry['failure_domain'])
        ]

    def caller_url(self, name: str) -> str:
        """Return the callers' URL of one host."""
        return next(
            f'http://{LOOPBACK}:{entry["callers"]["port"]}'
            for entry in self.hosts
            if entry['host'] == name
        )

    def control_urls(self) -> tuple[str, ...]:
        """Return the operators' URLs of the control hosts."""
        return tuple(
            f'http://{LOOPBACK}:{entry["operators"]["port"]}'
            for entry in self.hosts
            if 'operators' in entry
        )

    def client(self, *, timeout_s: float = 15.0) -> clients.Client:
        """Return a client for the operators' API."""
        token = (self.folder / 'hosts' / 'operator.token').read_text()
        return clients.Client(
            urls=self.control_urls(), token=token, timeout_s=timeout_s
        )

    def client_hosts(self) -> list[dict]:
        """Return the last status that each entry host reported."""
        return self.client().get('/operators/v1/hosts')['hosts']

    def tool(self, *arguments: str) -> dict:
        """Run the command-line tool and return its JSON output."""
        environment = {
            **os.environ,
            'SKYLARK_CONTROL': ' '.join(self.control_urls()),
            'SKYLARK_TOKEN_FILE': str(
                self.folder / 'hosts' / 'operator.token'
            ),
        }
        completed = subprocess.run(
            [
                sys.executable,
                '-m',
                'skylarkpitch.operators',
                *arguments,
                '--output',
                'json',
            ],
            env=environment,
            capture_output=True,
            text=True,
            timeout=60,
        )
        if completed.returncode != 0:
            raise RuntimeError(
                f'skylark {" ".join(arguments)} exited with status '
                f'{completed.returncode}: {completed.stderr.strip()}'
            )
        return json.loads(completed.stdout)

    def stop_upstreams(self) -> list[dict]:
        """Stop the stand-in upstreams and return their counts."""
        counts = []
        for process in self.upstreams.values():
            process.send_signal(signal.SIGTERM)
        for process in self.upstreams.values():
            output, _ = process.communicate(timeout=STOP_TIMEOUT_S)
            counts.extend(json.loads(output.strip().splitlines()[-1]))
        self.upstreams.clear()
        return counts

    def close(self) -> None:
        """Kill every remaining process that this object started."""
        processes = [*self.processes.values(), *self.upstreams.values()]
        if self._forwarder is not None:
            processes.append(self._forwarder)
        for process in processes:
            if process.poll() is None:
                process.kill()
        for process in processes:
            process.wait(timeout=STOP_TIMEOUT_S)
            for stream in (process.stdin, process.stdout):
                if stream is not None and not stream.closed:
                    stream.close()

    def wait(self, event: str, condition, *, timeout_s: float = 20.0) -> float:
        """Wait until ``condition()`` is true and return the seconds.

        Raise RuntimeError with ``event`` as its subject after ``timeout_s``.
        """
        started_s = time.monotonic()
        while time.monotonic() - started_s < timeout_s:
            if condition():
                return time.monotonic() - started_s
            time.sleep(POLL_INTERVAL_S)
        raise RuntimeError(f'{event} did not happen within {timeout_s:g} s')
