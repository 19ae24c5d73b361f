"""Measure dissemination over simulated peers and print the slopes as JSON.

Fleets of real sources and followers run in virtual time. The seconds until a
version is in force, and the bytes, come from virtual time and from the encoded
messages; CURVE, TCP and IP headers are not included. Processor time is that of
the whole process, the simulated network included, divided by the hosts and the
virtual seconds. It is therefore an upper bound that excludes the transport.
"""

import asyncio
import json
import sys
import time
import tracemalloc

from skylarkpitch.config import commands
from skylarkpitch.dissemination import tree
from skylarkpitch.peers import directory as directories
from tests.stand_ins import control_fleet
from tests.stand_ins import fake_peers
from tests.stand_ins import virtual_time

CHANGES_PER_DAY = 12_000
CHANGE_PERIOD_S = 86_400 / CHANGES_PER_DAY
HOSTS_PER_DOMAIN = 70
REGIONS = 14
SETTLE_S = 5.0
MEASURE_S = 60.0
WITHIN_DOMAIN_S = 0.0015
WITHIN_REGION_S = 0.005
BETWEEN_REGIONS_S = 0.055
ROUTE_BYTES = 43
SITES = 490


def fleet_hosts(count: int) -> tuple:
    """Return five control hosts and ``count`` entry hosts."""
    control = [
        fake_peers.host(f'c{n}', f'r{n}', f'c-domain-{n}', ('control',))
        for n in range(5)
    ]
    entry = []
    for number in range(count):
        domain = number // HOSTS_PER_DOMAIN
        entry.append(
            fake_peers.host(
                f'e{number}', f'r{domain % REGIONS}', f'domain-{domain}'
            )
        )
    return (*control, *entry)


class _Meter:
    """Push changes to a fleet and record when each host applied them."""

    def __init__(self, *, hosts: int) -> None:
        directory_hosts = fleet_hosts(hosts)
        self._hosts = {host.name: host for host in directory_hosts}
        self.fleet = control_fleet.Fleet(
            hosts=directory_hosts,
            delay_of=self._delay_s,
            site_of=lambda host: 'seoul-a',
        )
        self.fleet.on_change = self._record_in_force
        self._in_force_s: dict[int, dict[str, float]] = {}
        self._committed_s: dict[int, float] = {}
        self._changes = 0

    def _delay_s(self, sender: str, receiver: str) -> float:
        source, target = self._hosts[sender], self._hosts[receiver]
        if source.failure_domain == target.failure_domain:
            return WITHIN_DOMAIN_S
        if source.region == target.region:
            return WITHIN_REGION_S
        return BETWEEN_REGIONS_S

    def _record_in_force(self, name: str) -> None:
        version = self.fleet.followers[name].version
        now_s = asyncio.get_running_loop().time()
        self._in_force_s.setdefault(version, {}).setdefault(name, now_s)

    async def change(self, *, value_bytes: int) -> int:
        """Push one changed value of the base and return its version."""
        base = json.loads(control_fleet.BASE)
        self._changes += 1
        base['services']['padding'] = {
            'routes': [
                {'prefix': f'/padding/{number:020d}'}
                for number in range(1 + value_bytes // ROUTE_BYTES)
            ],
            'deadline_s': 1 + self._changes / 100,
        }
        result = await self.fleet.push(base=json.dumps(base))
        now_s = asyncio.get_running_loop().time()
        self._committed_s[result.version] = now_s
        return result.version

    def in_force_s(self, version: int) -> float:
        """Return the time until the last host applied a version."""
        in_force_at_s = {}
        for later_version, hosts in self._in_force_s.items():
            if later_version >= version:
                for name, at_s in hosts.items():
                    in_force_at_s[name] = min(
                        at_s, in_force_at_s.get(name, at_s)
                    )
        missing = set(self.fleet.followers) - set(in_force_at_s)
        if missing:
            return float('inf')
        return max(in_force_at_s.values()) - self._committed_s[version]


def _levels(meter: _Meter) -> dict[str, str]:
    """Return 'control', 'relay', 'middle' or 'leaf' for each host."""
    fleet = meter.fleet
    directory = directories.Directory(
        own='c0', hosts=tuple(fleet.hosts.values())
    )
    parents = {n: tree.sources_of(directory, n)[0] for n in fleet.entry}
    levels = dict.fromkeys(fleet.control, 'control')
    for name, parent in parents.items():
        if parent in fleet.control:
            levels[name] = 'relay'
        else:
            has_children = name in parents.values()
            levels[name] = 'middle' if has_children else 'leaf'
    return levels


async def measure(
    *, hosts: int, value_bytes: int, period_s: float
) -> dict[str, float]:
    """Return seconds until in force, bytes per second and processor share."""
    meter = _Meter(hosts=hosts)
    fleet = meter.fleet
    await fleet.start()
    await fleet.push()
    await asyncio.sleep(SETTLE_S)
    fleet.network.bytes_sent.clear()
    fleet.network.bytes_received.clear()
    fleet.network.messages_sent.clear()
    versions = []
    started_s = time.process_time()
    loop = asyncio.get_running_loop()
    ends_at_s = loop.time() + MEASURE_S
    while loop.time() < ends_at_s:
        versions.append(await meter.change(value_bytes=value_bytes))
        await asyncio.sleep(period_s)
    processor_s = time.process_time() - started_s
    by_level = _bytes_by_level(meter)
    await asyncio.sleep(SETTLE_S)
    versions.append(await meter.change(value_bytes=value_bytes))
    known_s = await _known_in_force_s(fleet, versions[-1])
    times = sorted(meter.in_force_s(version) for version in versions)
    report = {
        'hosts': hosts,
        'value_bytes': value_bytes,
        'changes_per_s': round(1 / period_s, 3),
        'in_force_median_s': round(times[len(times) // 2], 3),
        'in_force_longest_s': round(times[-1], 3),
        'cpu_percent_a_host': round(
            100 * processor_s / MEASURE_S / len(fleet.hosts), 3
        ),
    }
    report['known_in_force_s'] = round(known_s, 2)
    report.update(by_level)
    await fleet.stop()
    return report


async def _known_in_force_s(fleet, version: int) -> float:
    """Return the time until a control host has all confirmations."""
    loop = asyncio.get_running_loop()
    started_s = loop.time()
    while fleet.sources['c0'].withdrawal_status(version):
        await asyncio.sleep(0.02)
    return loop.time() - started_s


def _bytes_by_level(meter: _Meter) -> dict[str, float]:
    network = meter.fleet.network
    measured = {}
    levels = _levels(meter)
    for level in sorted(set(levels.values())):
        names = [name for name in levels if levels[name] == level]
        total = [
            network.bytes_sent[name] + network.bytes_received[name]
            for name in names
        ]
        sent = [network.messages_sent[name] for name in names]
        measured[f'{level}_bytes_per_s'] = round(max(total) / MEASURE_S)
        measured[f'{level}_messages_sent_per_s'] = round(
            max(sent) / MEASURE_S, 1
        )
    return measured


async def catch_up(*, missed: int) -> dict[str, float]:
    """Return the time and bytes that a host needs after missed changes."""
    meter = _Meter(hosts=4)
    fleet = meter.fleet
    await fleet.start()
    await fleet.push()
    await asyncio.sleep(SETTLE_S)
    fleet.split(['e3'])
    for _ in range(missed):
        await fleet.issue()
    await asyncio.sleep(SETTLE_S)
    fleet.network.bytes_received.clear()
    version = fleet.states['c0'].version
    loop = asyncio.get_running_loop()
    fleet.heal()
    started_s = loop.time()
    while fleet.followers['e3'].version < version:
        await asyncio.sleep(0.01)
    report = {
        'missed': missed,
        'seconds': round(loop.time() - started_s, 2),
        'bytes': fleet.network.bytes_received['e3'],
    }
    await fleet.stop()
    return report


async def memory(*, sites: int, keys: int) -> dict[str, float]:
    """Return the memory of the control state and of the followers' copies."""
    meter = _Meter(hosts=2)
    fleet = meter.fleet
    await fleet.start()
    overlays = {
        f'site-{n}': control_fleet.OVERLAYS['seoul-a'] for n in range(sites)
    }
    tracemalloc.start()
    initial_bytes = tracemalloc.get_traced_memory()[0]
    await fleet.push(overlays=overlays)
    for _ in range(keys):
        await fleet.issue()
    await asyncio.sleep(SETTLE_S)
    added_bytes = tracemalloc.get_traced_memory()[0] - initial_bytes
    tracemalloc.stop()
    holders = len(fleet.control) + len(fleet.followers)
    snapshot_bytes = len(fleet.states['c0'].snapshot())
    await fleet.stop()
    return {
        'sites': sites,
        'keys': keys,
        'holders': holders,
        'bytes_a_holder': round(added_bytes / holders),
        'snapshot_bytes': snapshot_bytes,
    }


def apply_cost() -> dict[str, float]:
    """Return the time to apply pushes and to check a key."""
    state = control_fleet.states.ControlState()
    overlays = {f'site-{n}': f'{{"n{n}": null}}' for n in range(SITES)}
    new_key = control_fleet.caller_keys.new_key()
    key_ring = control_fleet.caller_keys.KeyRing()
    key_ring.put(
        new_key.key_id,
        control_fleet.caller_keys.KeyRecord(
            organisation='a',
            salt=new_key.salt,
            secret_hash=new_key.secret_hash,
            issued_at_s=0.0,
        ),
    )
    common = {'operator': 'ana', 'at_s': 0.0}
    whole = commands.PushConfig(
        operation_id='whole',
        against_version=0,
        base_json=control_fleet.BASE,
        overlays_json=overlays,
        **common,
    )
    one = commands.PushOverlay(
        operation_id='one',
        against_version=1,
        site='site-1',
        overlay_json='{}',
        **common,
    )
    return {
        'push_490_sites_ms': _cost_ms(
            lambda: state.apply(1, commands.encode(whole))
        ),
        'push_one_overlay_ms': _cost_ms(
            lambda: state.apply(2, commands.encode(one))
        ),
        'key_check_us': _cost_ms(
            lambda: [
                key_ring.organisation_of(new_key.text) for _ in range(1000)
            ]
        ),
    }


def _cost_ms(function) -> float:
    started_s = time.perf_counter()
    function()
    return round((time.perf_counter() - started_s) * 1000, 3)


def main() -> int:
    """Run all measurements and print the report as JSON."""
    report: dict[str, object] = {'apply': apply_cost(), 'fleet': []}
    for hosts, value_bytes, period_s in (
        (10, 60, CHANGE_PERIOD_S),
        (70, 60, CHANGE_PERIOD_S),
        (140, 60, CHANGE_PERIOD_S),
        (280, 60, CHANGE_PERIOD_S),
        (70, 1_000, CHANGE_PERIOD_S),
        (70, 10_000, CHANGE_PERIOD_S),
        (70, 60, 1.0),
        (70, 60, 0.2),
    ):
        measured = virtual_time.run(
            measure(hosts=hosts, value_bytes=value_bytes, period_s=period_s)
        )
        report['fleet'].append(measured)
        print(measured, flush=True)
    report['catch_up'] = [
        virtual_time.run(catch_up(missed=missed))
        for missed in (1, 10, 100, 1000, 3000)
    ]
    print(report['catch_up'], flush=True)
    report['memory'] = [
        virtual_time.run(memory(sites=sites, keys=keys))
        for sites, keys in ((6, 0), (SITES, 0), (6, 1000))
    ]
    print(json.dumps(report))
    return 0


if __name__ == '__main__':
    sys.exit(main())
