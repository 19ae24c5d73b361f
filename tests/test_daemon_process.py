"""Tests of the daemon as a process, without a deployment round it."""

import json
import socket
import subprocess
import sys

import pytest

from benchmarks import fleet
from skylarkpitch.daemon import main
from skylarkpitch.operators import provision

KINDS = ('peers', 'callers', 'relay', 'operators')


@pytest.fixture
def settings_path(tmp_path):
    """Return the settings of a deployment of one host."""
    ports = fleet.free_ports(len(KINDS))
    host = {
        'host': 'h1',
        'region': 'r1',
        'failure_domain': 'd1',
        'roles': ['entry', 'control'],
    }
    for kind, port in zip(KINDS, ports, strict=True):
        host[kind] = {'ip': '127.0.0.1', 'port': port}
    inventory = provision.Inventory.model_validate({'hosts': [host]})
    return provision.provision(inventory, tmp_path / 'out')['h1']


def run(path, *arguments):
    return subprocess.run(
        [
            sys.executable,
            '-m',
            'skylarkpitch.daemon',
            '--settings',
            str(path),
            *arguments,
        ],
        capture_output=True,
        text=True,
        timeout=60,
    )


def test_check_validates_and_exits(settings_path):
    done = run(settings_path, '--check')
    assert done.returncode == 0
    assert 'entry, control' in done.stdout


def test_bad_settings_end_with_their_own_status(settings_path):
    document = json.loads(settings_path.read_text()) | {'site': 7}
    settings_path.write_text(json.dumps(document))
    done = run(settings_path, '--check')
    assert done.returncode == main.EXIT_BAD_SETTINGS
    assert 'site' in done.stderr


@pytest.mark.parametrize('field', ['callers_address', 'peers_address'])
def test_address_in_use_names_the_setting(settings_path, field):
    document = json.loads(settings_path.read_text())
    with socket.socket() as taken:
        taken.bind(('127.0.0.1', document[field]['port']))
        taken.listen()
        done = run(settings_path)
    assert done.returncode == main.EXIT_BAD_SETTINGS
    last = done.stderr.strip().splitlines()[-1]
    assert field.removesuffix('_address') in last
    assert 'free address' in last
    assert 'Traceback' not in done.stderr
