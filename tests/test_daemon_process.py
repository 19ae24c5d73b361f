"""Tests of the daemon as a process of its own, without a deployment."""

import json
import socket
import subprocess
import sys

import pytest

from benchmarks import fleet
from skylarkpitch.daemon import main
from skylarkpitch.operators import provision

ADDRESS_KINDS = ('peers', 'callers', 'relay', 'operators')


@pytest.fixture
def settings_path(tmp_path):
    """Return the path of the settings file of a deployment of one host."""
    ports = fleet.free_ports(len(ADDRESS_KINDS))
    host = {
        'host': 'h1',
        'region': 'r1',
        'failure_domain': 'd1',
        'roles': ['entry', 'control'],
    }
    for kind, port in zip(ADDRESS_KINDS, ports, strict=True):
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
    result = run(settings_path, '--check')
    assert result.returncode == 0
    assert 'entry, control' in result.stdout


def test_invalid_settings_exit_with_their_own_status(settings_path):
    document = json.loads(settings_path.read_text()) | {'site': 7}
    settings_path.write_text(json.dumps(document))
    result = run(settings_path, '--check')
    assert result.returncode == main.EXIT_BAD_SETTINGS
    assert 'site' in result.stderr


@pytest.mark.parametrize('field', ['callers_address', 'peers_address'])
def test_address_in_use_names_the_setting(settings_path, field):
    document = json.loads(settings_path.read_text())
    with socket.socket() as listener:
        listener.bind(('127.0.0.1', document[field]['port']))
        listener.listen()
        result = run(settings_path)
    assert result.returncode == main.EXIT_BAD_SETTINGS
    last_line = result.stderr.strip().splitlines()[-1]
    assert field.removesuffix('_address') in last_line
    assert 'free address' in last_line
    assert 'Traceback' not in result.stderr
