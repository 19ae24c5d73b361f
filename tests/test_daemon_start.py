"""Test what a process of a fleet imports, and a start that fails."""

import asyncio
import random
import subprocess
import sys
import types

import pytest

from skylarkpitch.daemon import fleet
from skylarkpitch.daemon import fleet_control
from tests.stand_ins import connection_guards

SETTINGS = """\
Node=front-a-1
Serves={serves}
Ip=127.0.9.1
Zone=a
Region=east
Zones.a=east
Listen.Front=127.0.9.1:8389
Listen.Ready=127.0.9.1:8384
Listen.Control=127.0.9.1:8383
PortRange=7460,7475
Seeds=127.0.9.1:8383
Bootstrap=false
DataDir=data
"""
PROGRAM = """\
import sys
from skylark_platform import boot
settings = boot.parse(sys.argv[1], source='settings')
boot.settings_of(settings, seeds=lambda: (), secret='secret')
print('\\n'.join(sys.modules))
"""


# Guards against late starts: each restart of an entry host is a time without
# it, and most of a start is spent on imports.
@pytest.mark.parametrize(
    ('serves', 'absent', 'present'),
    (
        pytest.param(
            'front',
            ('skylarkpitch.consensus', 'skylark_platform.documents'),
            'skylarkpitch.forwarding.request_handler',
            id='entry',
        ),
        pytest.param(
            'control,directory',
            ('skylarkpitch.forwarding.request_handler',),
            'skylarkpitch.consensus.service',
            id='control',
        ),
    ),
)
def test_process_imports_only_its_role(serves, absent, present):
    result = subprocess.run(
        [sys.executable, '-c', PROGRAM, SETTINGS.format(serves=serves)],
        capture_output=True,
        text=True,
        check=True,
        env={'PYTHONPATH': ':'.join(sys.path)},
    )
    modules = set(result.stdout.split())
    assert present in modules
    assert not modules & set(absent)
    assert 'skylarkpitch.settings.daemon' not in modules


# Guards against an AttributeError that hid why a start failed.
def test_control_role_stops_before_it_has_started(tmp_path):
    async def stop():
        role = fleet_control.ControlRole(
            settings=fleet_control.ControlSettings(
                data_folder=tmp_path,
                is_first_start=False,
                is_voter=False,
                tolerated_disks=0,
                catch_up_s=4.0,
                heartbeat_s=1.0,
                region_of={}.get,
                addresses=(),
                create_handler=lambda control_service, bodies: None,
            ),
            context=fleet.RoleContext(
                peers=types.SimpleNamespace(
                    directory=types.SimpleNamespace(
                        local_host=types.SimpleNamespace(name='c1')
                    ),
                    send=lambda host, message: False,
                ),
                seeds=lambda: (),
                resources=connection_guards.resources(),
                loop_delay=None,
                rng=random.Random(1),
            ),
        )
        await role.on_stop()

    asyncio.run(stop())
