"""Test the command-line tool without a control host."""

import json
import pathlib

from click import testing
import pytest

from benchmarks import fleet
from skylarkpitch import errors
from skylarkpitch.operators import cli
from skylarkpitch.operators import config_commands
from skylarkpitch.operators import status_commands

ROOT = pathlib.Path(__file__).parent.parent / 'deployments'


def run(*arguments):
    return testing.CliRunner().invoke(cli.skylark, arguments)


def check(folder):
    return run(
        'config',
        'check',
        '--base',
        str(folder / 'base.json'),
        '--overlays',
        str(folder / 'overlays'),
        '--output',
        'json',
    )


@pytest.mark.parametrize('name', ['mueso', 'berkah'])
def test_check_accepts_the_shipped_deployments(name):
    result = check(ROOT / name)
    assert result.exit_code == 0
    assert len(json.loads(result.output)['sites']) == 6


@pytest.mark.parametrize(
    'files, expected',
    [
        ({}, 'cannot be read'),
        ({'base.json': '{'}, 'not valid JSON'),
        ({'base.json': '{}'}, 'contains no SITE.json'),
        ({'base.json': '{}', 'overlays/a.json': '{}'}, 'services'),
        ({'base.json': '[]', 'overlays/a.json': '{}'}, 'JSON object'),
        ({'base.json': '{}', 'overlays/a.json': '[]'}, 'JSON object'),
    ],
)
def test_check_names_the_violation(tmp_path, files, expected):
    for name, text in files.items():
        path = tmp_path / name
        path.parent.mkdir(exist_ok=True)
        path.write_text(text)
    result = check(tmp_path)
    assert isinstance(result.exception, errors.ValidationError)
    assert expected in str(result.exception)


@pytest.mark.parametrize(
    'arguments, expected',
    [
        (('status',), 'SKYLARK_CONTROL'),
        (('--control', 'http://127.0.0.1:1', 'status'), 'TOKEN_FILE'),
        (
            ('--control', 'http://x', '--token-file', '/none', 'keys', 'list'),
            'cannot be read',
        ),
        (('lookup', 's', '--entry', 'http://127.0.0.1:1'), 'callers address'),
    ],
)
def test_missing_options_name_the_remedy(monkeypatch, arguments, expected):
    monkeypatch.delenv('SKYLARK_CONTROL', raising=False)
    monkeypatch.delenv('SKYLARK_TOKEN_FILE', raising=False)
    result = run(*arguments)
    assert isinstance(result.exception, errors.SkylarkError)
    assert expected in str(result.exception)


def test_unreachable_control_hosts_have_their_own_exit_status(
    monkeypatch, tmp_path, capsys
):
    token = tmp_path / 'token'
    token.write_text('t')
    port = fleet.free_ports(1)[0]
    arguments = [
        'skylark',
        '--control',
        f'http://127.0.0.1:{port}',
        '--token-file',
        str(token),
        '--timeout-s',
        '0.2',
        'config',
        'history',
    ]
    monkeypatch.setattr('sys.argv', arguments)
    with pytest.raises(SystemExit) as exit_info:
        cli.main()
    assert exit_info.value.code == cli.EXIT_UNREACHABLE
    assert 'nothing was changed' in capsys.readouterr().err


def test_provision_command_writes_each_host(tmp_path):
    inventory = tmp_path / 'hosts.json'
    hosts = [
        {
            'host': 'a',
            'region': 'r',
            'failure_domain': 'd',
            'roles': ['entry'],
            'peers': {'ip': '127.0.0.1', 'port': 1},
            'callers': {'ip': '127.0.0.1', 'port': 2},
            'relay': {'ip': '127.0.0.1', 'port': 3},
        }
    ]
    inventory.write_text(json.dumps({'hosts': hosts}))
    folder = tmp_path / 'out'
    arguments = ('--inventory', str(inventory), '--folder', str(folder))
    result = run('hosts', 'provision', *arguments, '--output', 'json')
    assert result.exit_code == 0
    assert list(json.loads(result.output)) == ['a']


@pytest.mark.parametrize(
    'group',
    [[], ['config'], ['keys'], ['upstreams'], ['hosts'], ['members']],
)
def test_every_command_has_help(group):
    result = run(*group, '--help')
    assert result.exit_code == 0
    commands = result.output.split('Commands:')[1].strip().splitlines()
    assert all(len(line.split()) > 1 for line in commands)


@pytest.mark.parametrize(
    'result, expected',
    [
        ({'current': True, 'proof_age_s': 0.0}, ''),
        ({'current': False, 'proof_age_s': 42.4}, '42 s ago'),
        ({'current': False, 'proof_age_s': None}, 'never confirmed'),
    ],
)
def test_stale_results_are_marked(result, expected):
    text = config_commands.stale_text(result)
    assert expected in text
    assert bool(text) is not result['current']


def test_status_sums_hosts_but_not_the_rate():
    usage = {
        'rate_per_s': 40.0,
        'demand_per_s': 1.5,
        'spent': 10,
        'refused': 1,
        'wrongly_refused': 0,
    }
    host = {'status': {'organisations': {'org': usage}}}
    result = {'hosts': [host, host]}
    row = status_commands.organisation_section(result).splitlines()[1]
    assert row.split() == ['org', '40.0', '3.0', '20', '2', '0']
