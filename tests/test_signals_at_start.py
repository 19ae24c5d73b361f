"""Signals that arrive while a process of a fleet starts, on real processes."""

import contextlib
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import time

import pytest

ROOT = pathlib.Path(__file__).resolve().parent.parent
# The interpreter itself needs this long before it runs a line of ours.
FIRST_S = 0.1
MOMENTS_S = (FIRST_S, 0.2, 0.3, 0.45, 0.6, 0.8, 1.2)
# Time for a planned stop: the grace of the settings, and the exit.
STOP_S = 8.0
WATCHED_S = 1.0


def free_port():
    with socket.socket() as item:
        item.bind(('127.0.0.1', 0))
        return item.getsockname()[1]


def settings_of(role, folder):
    secret, token = folder / 'secret', folder / 'token'
    for path in (secret, token):
        path.write_text('a secret of over sixteen characters')
    sections = {
        'control': {
            'calls': {'ip': '127.0.0.1', 'port': free_port()},
            'data_folder': str(folder / 'data'),
            'operator_token_file': str(token),
            'is_first_start': True,
            'tolerated_disks': 0,
        },
        'entry': {
            'callers': {'ip': '127.0.0.1', 'port': free_port()},
            'ready': {'ip': '127.0.0.1', 'port': free_port()},
            'retry_ratio': 0.2,
            'retry_extra': 60,
        },
    }
    return {
        'host': f'{role}-east-a',
        'ip': '127.0.0.1',
        'failure_domain': 'east-a',
        'regions': {'east-a': 'east'},
        'peers_port': free_port(),
        'seeds': ['127.0.0.1'],
        'secret_file': str(secret),
        role: sections[role],
    }


def own_program(role, folder):
    """Return the command of our own program, and its variables."""
    path = folder / 'settings.json'
    path.write_text(json.dumps(settings_of(role, folder)))
    module = 'skylarkpitch.daemon.fleet_program'
    return ['-m', module, '--settings', str(path)], {}


def platform_program(role, folder):
    """Return the same of the program on the platform."""
    serves = {'control': 'control,directory', 'entry': 'front'}[role]
    lines = {
        'Node': f'{role}-a-1',
        'Serves': serves,
        'Ip': '127.0.0.1',
        'Zone': 'a',
        'Region': 'east',
        'Zones.a': 'east',
        'PortRange': f'{free_port()},{free_port()}',
        'Seeds': f'127.0.0.1:{free_port()}',
        'Bootstrap': 'true',
        'DataDir': folder / 'data',
        **{
            f'Listen.{name}': f'127.0.0.1:{free_port()}'
            for name in ('Front', 'Ready', 'Control', 'Directory')
        },
    }
    path = folder / 'boot.conf'
    path.write_text(''.join(f'{k}={v}\n' for k, v in lines.items()))
    variables = {
        'SKYLARKPITCH_BOOT': str(path),
        'SKYLARK_FLEET_SECRET': 'a secret of over sixteen characters',
    }
    return [str(ROOT / 'platform' / 'main.py')], variables


@contextlib.contextmanager
def starting(program, role, folder):
    """Start a process, and end it in any case."""
    arguments, variables = program(role, folder)
    process = subprocess.Popen(
        [sys.executable, *arguments],
        env={**os.environ, 'PYTHONPATH': str(ROOT / 'src'), **variables},
        stdout=subprocess.DEVNULL,
        stderr=subprocess.DEVNULL,
    )
    try:
        yield process
    finally:
        process.kill()
        process.wait()


# Guards against a SIGHUP that ends a process: its handler was installed last,
# half a second after the start.
@pytest.mark.parametrize('program', [own_program, platform_program])
@pytest.mark.parametrize('role', ['control', 'entry'])
def test_sighup_ends_no_process_that_starts(program, role, tmp_path):
    with starting(program, role, tmp_path) as process:
        started_s = time.monotonic()
        for moment_s in MOMENTS_S:
            time.sleep(max(0.0, started_s + moment_s - time.monotonic()))
            process.send_signal(signal.SIGHUP)
        with pytest.raises(subprocess.TimeoutExpired):
            process.wait(WATCHED_S)


# Guards against a process that is left behind by a SIGTERM while it starts.
@pytest.mark.parametrize('moment_s', MOMENTS_S)
@pytest.mark.parametrize('program', [own_program, platform_program])
@pytest.mark.parametrize('role', ['control', 'entry'])
def test_sigterm_ends_a_process_that_starts(program, role, moment_s, tmp_path):
    with starting(program, role, tmp_path) as process:
        time.sleep(moment_s)
        assert process.poll() is None
        process.send_signal(signal.SIGTERM)
        process.wait(STOP_S)
