"""Measure dissemination, heartbeats, the claim ledger and the log."""

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

HOST_COUNTS = (10, 70, 140)
CHANGE_BYTES = 60
MISSED_CHANGES = (10, 100, 1000)
MAX_BYTES_PER_S = 3_000
MAX_CORE_PERCENT = 2.4
MAX_IN_FORCE_DELAY_S = 7.0
MAX_MEMORY_MB = 32.0
FULL_SIZE_HOSTS = 3_500
CHANGES_PER_DAY = 12_000
CLAIM_COUNT = 50


def _measure_dissemination() -> list[reports.Measurement]:
    """Return traffic, processor time and delay of changes by fleet size."""
    measurements = []
    for hosts in HOST_COUNTS:
        figures = virtual_time.run(
            dissemination.measure(
                hosts=hosts,
                value_bytes=CHANGE_BYTES,
                period_s=dissemination.CHANGE_PERIOD_S,
            )
        )
        worst = max(
            value
            for name, value in figures.items()
            if name in ('leaf_bytes_per_s', 'middle_bytes_per_s')
        )
        measurements += [
            reports.Measurement(
                name=f'control_bytes_{hosts}_hosts',
                value=worst,
                unit='B/s/host',
                full_size=worst,
                full_size_unit='B/s/host',
                budget=MAX_BYTES_PER_S,
            ),
            reports.Measurement(
                name=f'control_cpu_{hosts}_hosts',
                value=figures['cpu_percent_a_host'],
                unit='% of a core',
                full_size=figures['cpu_percent_a_host'],
                full_size_unit='% of a core',
                budget=MAX_CORE_PERCENT,
            ),
            reports.Measurement(
                name=f'in_force_{hosts}_hosts',
                value=figures['in_force_longest_s'],
                unit='s',
                full_size=figures['in_force_longest_s'],
                full_size_unit='s',
                budget=MAX_IN_FORCE_DELAY_S,
            ),
        ]
    return measurements


def _measure_recovery() -> list[reports.Measurement]:
    """Return the time and bytes that a host needs to catch up."""
    measurements = []
    for missed in MISSED_CHANGES:
        figures = virtual_time.run(dissemination.catch_up(missed=missed))
        measurements += [
            reports.Measurement(
                name=f'catch_up_{missed}_changes',
                value=figures['seconds'],
                unit='s',
            ),
            reports.Measurement(
                name=f'catch_up_bytes_{missed}_changes',
                value=figures['bytes'] / 1000,
                unit='KB',
            ),
        ]
    return measurements


def _measure_memory() -> list[reports.Measurement]:
    """Return the memory that the control state takes in one process."""
    many_sites = virtual_time.run(dissemination.memory(sites=490, keys=0))
    with_keys = virtual_time.run(dissemination.memory(sites=6, keys=500))
    without_keys = virtual_time.run(dissemination.memory(sites=6, keys=0))
    bytes_per_key = (
        with_keys['bytes_a_holder'] - without_keys['bytes_a_holder']
    ) / 500
    state_mb = many_sites['bytes_a_holder'] / 1e6
    return [
        reports.Measurement(
            name='control_state_490_sites',
            value=state_mb,
            unit='MB a process',
            full_size=state_mb,
            full_size_unit='MB',
            budget=MAX_MEMORY_MB,
        ),
        reports.Measurement(
            name='control_state_key', value=bytes_per_key, unit='B a process'
        ),
    ]


async def _measure_log() -> list[reports.Measurement]:
    """Return the bytes per command in the log and per key in the snapshot."""
    fleet = control_fleet.Fleet(hosts=control_fleet.mueso_hosts(entry_hosts=6))
    await fleet.push()
    empty_bytes = len(fleet.states[fleet.control[0]].snapshot())
    for _ in range(500):
        await fleet.issue()
    command_bytes = len(fleet.log.commands[-1])
    growth_bytes = len(fleet.states[fleet.control[0]].snapshot()) - empty_bytes
    return [
        reports.Measurement(
            name='log_entry_key',
            value=command_bytes,
            unit='B',
            full_size=command_bytes * CHANGES_PER_DAY / 1e6,
            full_size_unit='MB/day',
        ),
        reports.Measurement(
            name='snapshot_key', value=growth_bytes / 500, unit='B each'
        ),
        reports.Measurement(
            name='snapshot_mueso', value=empty_bytes / 1000, unit='KB'
        ),
    ]


async def _measure_ledger() -> list[reports.Measurement]:
    """Return the messages and processor time of one claim and its record."""
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
    started_s = time.process_time()
    claimed_count = 0
    for number in range(CLAIM_COUNT):
        claimed_count += await _claim_and_record(services['h1'], f'i{number}')
    await asyncio.sleep(0.1)
    cpu_ms = (time.process_time() - started_s) * 1000
    for service in services.values():
        await service.stop()
    return [
        reports.Measurement(
            name='ledger_messages',
            value=len(network.sent) / max(1, claimed_count),
            unit='requests a call',
        ),
        reports.Measurement(
            name='ledger_cpu',
            value=cpu_ms / max(1, claimed_count),
            unit='ms a call',
        ),
    ]


async def _claim_and_record(
    service: ledger_service.OperationLedger, operation_id: str
) -> int:
    claim = await service.claim(
        organisation='org',
        operation_id=operation_id,
        fingerprint=b'f',
        deadline_s=time.monotonic() + 1,
    )
    if not isinstance(claim, ports.OperationClaim):
        return 0
    response = ports.RecordedResponse(status=200, headers=(), body=b'ok')
    await service.record(claim, response)
    return 1


def _measure_heartbeats() -> list[reports.Measurement]:
    """Return the heartbeats per second of one host, by fleet size."""
    measurements = []
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
        measurements.append(
            reports.Measurement(
                name=f'heartbeats_{count}_hosts',
                value=len(table._targets()) / heartbeats.HEARTBEAT_INTERVAL_S,
                unit='1/s/host',
            )
        )
    heartbeat_frames = codec.encode(
        host_messages.HostHeartbeat(life_cycle='serving', room=100.0)
    )
    bytes_per_s = measurements[-1].value * sum(
        len(frame) for frame in heartbeat_frames
    )
    measurements.append(
        reports.Measurement(
            name='heartbeat_bytes',
            value=sum(len(frame) for frame in heartbeat_frames),
            unit='B each',
            full_size=bytes_per_s,
            full_size_unit='B/s/host',
            budget=MAX_BYTES_PER_S,
        )
    )
    return measurements


async def _measure_heartbeats_in_loop() -> list[reports.Measurement]:
    """Measure heartbeats while an event loop is running."""
    return _measure_heartbeats()


def measure() -> list[reports.Measurement]:
    """Return the measurements of all parts of control and the ledger."""
    return [
        *_measure_dissemination(),
        *_measure_recovery(),
        *_measure_memory(),
        *virtual_time.run(_measure_log()),
        *asyncio.run(_measure_ledger()),
        *asyncio.run(_measure_heartbeats_in_loop()),
    ]
