"""Generate the settings files and keys of all hosts from one inventory.

The inventory lists the hosts with their region, failure domain, roles and
addresses. Each host gets a folder with ``settings.json`` and ``peer.key``,
which only the owner of the files may read. One operator token and one
announcement token are generated and written next to the folders; the settings
contain only their hashes.
"""

import hashlib
import json
import os
import pathlib
import secrets
from typing import Any

import pydantic
import zmq

from skylarkpitch import errors
from skylarkpitch.settings import daemon as daemon_settings

__all__ = ['HostEntry', 'Inventory', 'provision', 'token_hash', 'write_secret']

TOKEN_BYTES = 32
SECRET_MODE = 0o600
FOLDER_MODE = 0o700


class _Model(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra='forbid', frozen=True)


class HostEntry(_Model):
    """One host of the inventory."""

    host: str
    region: str
    failure_domain: str
    site: str | None = None
    roles: tuple[daemon_settings.Role, ...]
    peers: daemon_settings.Address
    callers: daemon_settings.Address | None = None
    relay: daemon_settings.Address | None = None
    operators: daemon_settings.Address | None = None
    # Addresses that replace those above for peers in some failure domains, by
    # failure domain and field (peers or relay).
    routes: dict[str, dict[str, daemon_settings.Address]] = {}


class Inventory(_Model):
    """All hosts of a deployment and the settings that they share."""

    hosts: tuple[HostEntry, ...] = pydantic.Field(min_length=1)
    statsd: daemon_settings.StatsdSettings | None = None
    log_level: str = 'info'


def token_hash(token: str) -> str:
    """Return the SHA-256 hash of a token in hex, as settings contain it."""
    return hashlib.sha256(token.encode()).hexdigest()


def write_secret(path: pathlib.Path, text: str) -> None:
    """Write a file that only its owner may read or write."""
    descriptor = os.open(
        path, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, SECRET_MODE
    )
    with os.fdopen(descriptor, 'w') as file:
        file.write(text)


def provision(inventory: Inventory, folder: pathlib.Path) -> dict[str, Any]:
    """Write the folders of all hosts; return the settings paths by host.

    Raises ``SettingsError`` if ``folder`` is not empty, since new keys would
    disconnect running hosts.
    """
    if folder.exists() and any(folder.iterdir()):
        raise errors.SettingsError(
            f'{folder} is not empty; pass a new folder, so that no keys in '
            'use are overwritten'
        )
    folder.mkdir(parents=True, exist_ok=True, mode=FOLDER_MODE)
    operator_token = secrets.token_urlsafe(TOKEN_BYTES)
    announce_token = secrets.token_urlsafe(TOKEN_BYTES)
    write_secret(folder / 'operator.token', operator_token)
    write_secret(folder / 'announce.token', announce_token)
    key_pairs = {
        host_entry.host: zmq.curve_keypair() for host_entry in inventory.hosts
    }
    paths = {}
    for host_entry in inventory.hosts:
        host_folder = folder / host_entry.host
        host_folder.mkdir(mode=FOLDER_MODE)
        write_secret(
            host_folder / 'peer.key', key_pairs[host_entry.host][1].decode()
        )
        document = _settings_document(
            host_entry,
            inventory,
            key_pairs,
            host_folder,
            operator_token,
            announce_token,
        )
        path = host_folder / 'settings.json'
        write_secret(path, json.dumps(document, indent=2) + '\n')
        daemon_settings.load(path)
        paths[host_entry.host] = path
    return paths


def _address(address: daemon_settings.Address | None) -> Any:
    return None if address is None else address.model_dump(mode='json')


def _peer(host_entry: HostEntry, public_key: bytes, from_domain: str) -> Any:
    addresses = host_entry.routes.get(from_domain, {})
    return {
        'host': host_entry.host,
        'region': host_entry.region,
        'failure_domain': host_entry.failure_domain,
        'roles': list(host_entry.roles),
        'peers': _address(addresses.get('peers', host_entry.peers)),
        'callers': _address(host_entry.callers),
        'relay': _address(addresses.get('relay', host_entry.relay)),
        'public_key': public_key.decode(),
    }


def _settings_document(
    host_entry: HostEntry,
    inventory: Inventory,
    key_pairs: dict[str, tuple[bytes, bytes]],
    host_folder: pathlib.Path,
    operator_token: str,
    announce_token: str,
) -> dict[str, Any]:
    document: dict[str, Any] = {
        'host': host_entry.host,
        'region': host_entry.region,
        'failure_domain': host_entry.failure_domain,
        'site': host_entry.site or host_entry.failure_domain,
        'roles': list(host_entry.roles),
        'peers_address': _address(host_entry.peers),
        'callers_address': _address(host_entry.callers),
        'relay_address': _address(host_entry.relay),
        'secret_key_file': str(host_folder / 'peer.key'),
        'announce_token_hash': token_hash(announce_token),
        'log_level': inventory.log_level,
        'peers': [
            _peer(other, key_pairs[other.host][0], host_entry.failure_domain)
            for other in inventory.hosts
            if other.host != host_entry.host
        ],
    }
    if inventory.statsd is not None:
        document['statsd'] = inventory.statsd.model_dump(mode='json')
    if 'control' in host_entry.roles:
        document['data_folder'] = str(host_folder / 'data')
        document['control'] = {
            'operators': _address(host_entry.operators),
            'operator_token_hashes': [token_hash(operator_token)],
        }
    return document
