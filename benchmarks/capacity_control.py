"""Measure control, heartbeats, the ledger and the log."""

import asyncio
import random
import time

from benchmarks import capacity_report as reports
from benchmarks import dissemination
from skylarkpitch.membership import heartbeats
from skylarkpitch.messages import codec
from skylarkpitch.messages import hosts as host_messages
from skylarkpitch import ports
from skylarkpitch.requests import ledger_service
from tests.stand_ins import control_fleet
from tests.stand_ins import fake_peers
from tests.stand_ins import virtual_time

__all__ = ['measure']

HOSTS = (10, 70, 140)
CHANGE_BYTES = 60
MISSED = (10, 100, 1000)
MAX_BYTES_PER_S = 3_000
MAX_CORE_PERCENT = 2.4
MAX_IN_FORCE_S = 7.0
MAX_MEMORY_MB = 32.0
FULL_HOSTS = 3_500
CHANGES_A_DAY = 12_000
CLAIMS = 50


def _dissemination() -> list[reports.Slope]:
    slopes = []
    for hosts in HOSTS:
        found = virtual_time.run(
            dissemination.measure(
                hosts=hosts,
                value_bytes=CHANGE_BYTES,
                period_s=dissemination.CHANGE_PERIOD_S,
            )
        )
        worst = max(
            value
            for name, value in found.items()
            if name in ('leaf_bytes_per_s', 'middle_bytes_per_s')
        )
        slopes += [
            reports.Slope(
                name=f'control_bytes_{hosts}_hosts',
                value=worst,
                unit='B/s/host',
                full_size=worst,
                full_size_unit='B/s/host',
                budget=MAX_BYTES_PER_S,
            ),
            reports.Slope(
                name=f'control_cpu_{hosts}_hosts',
                value=found['cpu_percent_a_host'],
                unit='% of a core',
                full_size=found['cpu_percent_a_host'],
                full_size_unit='% of a core',
                budget=MAX_CORE_PERCENT,
            ),
            reports.Slope(
                name=f'in_force_{hosts}_hosts',
                value=found['in_force_longest_s'],
                unit='s',
                full_size=found['in_force_longest_s'],
                full_size_unit='s',
                budget=MAX_IN_FORCE_S,
            ),
        ]
    return slopes


def _recovery() -> list[reports.Slope]:
    slopes = []
    for missed in MISSED:
        found = virtual_time.run(dissemination.catch_up(missed=missed))
        slopes += [
            reports.Slope(
                name=f'catch_up_{missed}_changes',
                value=found['seconds'],
                unit='s',
            ),
            reports.Slope(
                name=f'catch_up_bytes_{missed}_changes',
                value=found['bytes'] / 1000,
                unit='KB',
            ),
        ]
    return slopes


def _memory() -> list[reports.Slope]:
    """Return the memory of the control state in one process."""
    sites = virtual_time.run(dissemination.memory(sites=490, keys=0))
    keys = virtual_time.run(dissemination.memory(sites=6, keys=500))
    none = virtual_time.run(dissemination.memory(sites=6, keys=0))
    grown = (keys['bytes_a_holder'] - none['bytes_a_holder']) / 500
    size = sites['bytes_a_holder'] / 1e6
    return [
        reports.Slope(
            name='control_state_490_sites',
            value=size,
            unit='MB a process',
            full_size=size,
            full_size_unit='MB',
            budget=MAX_MEMORY_MB,
        ),
        reports.Slope(
            name='control_state_key', value=grown, unit='B a process'
        ),
    ]


async def _log() -> list[reports.Slope]:
    """Return bytes a command in the log and a key in the snapshot."""
    fleet = control_fleet.Fleet(hosts=control_fleet.mueso_hosts(entry_hosts=6))
    await fleet.push()
    empty = len(fleet.states[fleet.control[0]].snapshot())
    for _ in range(500):
        await fleet.issue()
    command = len(fleet.log.commands[-1])
    grown = len(fleet.states[fleet.control[0]].snapshot()) - empty
    return [
        reports.Slope(
            name='log_entry_key',
            value=command,
            unit='B',
            full_size=command * CHANGES_A_DAY / 1e6,
            full_size_unit='MB/day',
        ),
        reports.Slope(name='snapshot_key', value=grown / 500, unit='B each'),
        reports.Slope(name='snapshot_mueso', value=empty / 1000, unit='KB'),
    ]


async def _ledger() -> list[reports.Slope]:
    """Return messages and time of a claim and its record."""
    names = ('h1', 'h2', 'h3')
    network = fake_peers.FakeNetwork(
        hosts=[fake_peers.host(name) for name in names]
    )
    services = {
        name: ledger_service.OperationLedger(
            peers=network.join(name),
            region='r1',
            members=lambda region: names,
            epoch=lambda: 1,
            retention_s=lambda: 600.0,
            opened_s=lambda: 10**12,
            wall_clock=time.time,
            rng=random.Random(name),
        )
        for name in names
    }
    for service in services.values():
        await service.start()
    for _ in range(3):
        for service in services.values():
            await service._members.sync()
    network.sent.clear()
    began_s = time.process_time()
    won = 0
    for number in range(CLAIMS):
        won += await _claim_and_record(services['h1'], f'i{number}')
    await asyncio.sleep(0.1)
    used_ms = (time.process_time() - began_s) * 1000
    for service in services.values():
        await service.stop()
    return [
        reports.Slope(
            name='ledger_messages',
            value=len(network.sent) / max(1, won),
            unit='questions a call',
        ),
        reports.Slope(
            name='ledger_cpu', value=used_ms / max(1, won), unit='ms a call'
        ),
    ]


async def _claim_and_record(
    service: ledger_service.OperationLedger, operation_id: str
) -> int:
    claimed = await service.claim(
        organisation='org',
        operation_id=operation_id,
        fingerprint=b'f',
        deadline_s=time.monotonic() + 1,
    )
    if not isinstance(claimed, ports.OperationClaim):
        return 0
    answer = ports.RecordedResponse(status=200, headers=(), body=b'ok')
    await service.record(claimed, answer)
    return 1


def _heartbeats() -> list[reports.Slope]:
    """Return heartbeats a second that one host sends, by fleet size."""
    slopes = []
    for count in (9, 30, 70, 700):
        hosts = [
            fake_peers.host(f'h{n}', failure_domain=f'd{n // 70}')
            for n in range(count)
        ]
        network = fake_peers.FakeNetwork(hosts=hosts)
        table = heartbeats.HeartbeatTable(
            peers=network.join('h0'),
            life_cycle=lambda: 'serving',
            free_slots=lambda: 1.0,
        )
        slopes.append(
            reports.Slope(
                name=f'heartbeats_{count}_hosts',
                value=len(table._targets()) / heartbeats.HEARTBEAT_INTERVAL_S,
                unit='1/s/host',
            )
        )
    beat = codec.encode(
        host_messages.HostHeartbeat(life_cycle='serving', room=100.0)
    )
    sent = slopes[-1].value * sum(len(frame) for frame in beat)
    slopes.append(
        reports.Slope(
            name='heartbeat_bytes',
            value=sum(len(frame) for frame in beat),
            unit='B each',
            full_size=sent,
            full_size_unit='B/s/host',
            budget=MAX_BYTES_PER_S,
        )
    )
    return slopes


async def _made_heartbeats() -> list[reports.Slope]:
    return _heartbeats()


def measure() -> list[reports.Slope]:
    """Return the slopes of control, heartbeats, the ledger and the log."""
    return [
        *_dissemination(),
        *_recovery(),
        *_memory(),
        *virtual_time.run(_log()),
        *asyncio.run(_ledger()),
        *asyncio.run(_made_heartbeats()),
    ]
