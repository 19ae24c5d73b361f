"""Tests of the daemon's settings and of provisioning."""

import json
import stat

import pytest

from skylarkpitch.daemon import keys
from skylarkpitch import errors
from skylarkpitch.operators import provision
from skylarkpitch.settings import daemon


def address(port):
    return {'ip': '127.0.0.1', 'port': port}


def inventory(count=2):
    return provision.Inventory.model_validate(
        {
            'hosts': [
                {
                    'host': f'h{number}',
                    'region': 'r',
                    'failure_domain': f'd{number}',
                    'roles': ['entry', 'control'],
                    'peers': address(5000 + number),
                    'callers': address(6000 + number),
                    'relay': address(7000 + number),
                    'operators': address(8000 + number),
                }
                for number in range(count)
            ]
        }
    )


def test_provision_writes_settings_that_load(tmp_path):
    paths = provision.provision(inventory(), tmp_path / 'out')
    for name, path in paths.items():
        settings = daemon.load(path)
        assert settings.host == name
        assert len(settings.peers) == 1
        assert keys.load_secret_key(settings.secret_key_file)


def test_provision_writes_files_that_only_the_owner_can_read(tmp_path):
    provision.provision(inventory(), tmp_path / 'out')
    files = [p for p in (tmp_path / 'out').rglob('*') if p.is_file()]
    assert len(files) == 6
    assert all(stat.S_IMODE(p.stat().st_mode) == 0o600 for p in files)


def test_provision_never_overwrites(tmp_path):
    provision.provision(inventory(), tmp_path / 'out')
    with pytest.raises(errors.SettingsError, match='not empty'):
        provision.provision(inventory(), tmp_path / 'out')


def test_secret_key_open_to_others_is_refused(tmp_path):
    paths = provision.provision(inventory(), tmp_path / 'out')
    key_file = daemon.load(paths['h0']).secret_key_file
    key_file.chmod(0o644)
    with pytest.raises(errors.SettingsError, match='chmod 600'):
        keys.load_secret_key(key_file)


@pytest.mark.parametrize(
    'change, expected',
    [
        ({'hostt': 'x'}, 'hostt'),
        ({'host': ''}, 'host'),
        ({'roles': ['entry', 'proxy']}, 'roles'),
        ({'roles': []}, 'roles'),
        ({'callers_address': None}, 'callers_address'),
        ({'relay_address': None}, 'relay_address'),
        ({'data_folder': None}, 'data_folder'),
        ({'control': None}, 'operator_token_hashes'),
        ({'peers_address': {'ip': 'localhost', 'port': 1}}, 'peers_address'),
        ({'peers_address': {'ip': '127.0.0.1', 'port': 0}}, 'port'),
        ({'limits': {'max_body_bytes': -1}}, 'max_body_bytes'),
        ({'log_level': 'loud'}, 'log_level'),
    ],
)
def test_violations_name_the_field(tmp_path, change, expected):
    paths = provision.provision(inventory(), tmp_path / 'out')
    document = json.loads(paths['h0'].read_text()) | change
    with pytest.raises(errors.SettingsError, match=expected):
        daemon.parse(json.dumps(document), source='settings.json')


@pytest.mark.parametrize('text', ['', '{', '[]', 'null', '"x"', '[' * 9999])
def test_malformed_text_is_a_settings_error(text):
    with pytest.raises(errors.SettingsError, match='settings.json'):
        daemon.parse(text, source='settings.json')


def test_peer_named_twice_is_refused(tmp_path):
    paths = provision.provision(inventory(), tmp_path / 'out')
    document = json.loads(paths['h0'].read_text())
    document['peers'] *= 2
    with pytest.raises(errors.SettingsError, match='twice'):
        daemon.parse(json.dumps(document), source='settings.json')


def test_missing_file_is_a_settings_error(tmp_path):
    with pytest.raises(errors.SettingsError, match='cannot be read'):
        daemon.load(tmp_path / 'none.json')
