"""Make the settings files and keys of every host from one inventory.

The inventory names the hosts, their places, roles and addresses. Each host
gets a folder with ``settings.json`` and ``peer.key``, which only its owner
may read. Operator and announcement tokens are made once and written beside
the folders; the settings hold only their hashes.
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
    # Address of a peer as seen from a failure domain, where it differs.
    routes: dict[str, dict[str, daemon_settings.Address]] = {}


class Inventory(_Model):
    """Every host of a deployment, and what they share."""

    hosts: tuple[HostEntry, ...] = pydantic.Field(min_length=1)
    statsd: daemon_settings.StatsdSettings | None = None
    log_level: str = 'info'


def token_hash(token: str) -> str:
    """Return the hash of a token as settings hold it, in hex."""
    return hashlib.sha256(token.encode()).hexdigest()


def write_secret(path: pathlib.Path, text: str) -> None:
    """Write a file that only its owner may read."""
    descriptor = os.open(
        path, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, SECRET_MODE
    )
    with os.fdopen(descriptor, 'w') as file:
        file.write(text)


def provision(inventory: Inventory, folder: pathlib.Path) -> dict[str, Any]:
    """Write the folder of every host and return the paths by host name.

    Raises ``SettingsError`` when ``folder`` already holds settings, since
    new keys would cut running hosts off.
    """
    if folder.exists() and any(folder.iterdir()):
        raise errors.SettingsError(
            f'{folder} is not empty; name a new folder, so that no keys in '
            'use are overwritten'
        )
    folder.mkdir(parents=True, exist_ok=True, mode=FOLDER_MODE)
    operator_token = secrets.token_urlsafe(TOKEN_BYTES)
    announce_token = secrets.token_urlsafe(TOKEN_BYTES)
    write_secret(folder / 'operator.token', operator_token)
    write_secret(folder / 'announce.token', announce_token)
    pairs = {entry.host: zmq.curve_keypair() for entry in inventory.hosts}
    paths = {}
    for entry in inventory.hosts:
        own = folder / entry.host
        own.mkdir(mode=FOLDER_MODE)
        write_secret(own / 'peer.key', pairs[entry.host][1].decode())
        document = _settings(
            entry, inventory, pairs, own, operator_token, announce_token
        )
        path = own / 'settings.json'
        write_secret(path, json.dumps(document, indent=2) + '\n')
        daemon_settings.load(path)
        paths[entry.host] = path
    return paths


def _address(address: daemon_settings.Address | None) -> Any:
    return None if address is None else address.model_dump(mode='json')


def _peer(entry: HostEntry, public_key: bytes, seen_from: str) -> Any:
    route = entry.routes.get(seen_from, {})
    return {
        'host': entry.host,
        'region': entry.region,
        'failure_domain': entry.failure_domain,
        'roles': list(entry.roles),
        'peers': _address(route.get('peers', entry.peers)),
        'callers': _address(entry.callers),
        'relay': _address(route.get('relay', entry.relay)),
        'public_key': public_key.decode(),
    }


def _settings(
    entry: HostEntry,
    inventory: Inventory,
    pairs: dict[str, tuple[bytes, bytes]],
    own: pathlib.Path,
    operator_token: str,
    announce_token: str,
) -> dict[str, Any]:
    document: dict[str, Any] = {
        'host': entry.host,
        'region': entry.region,
        'failure_domain': entry.failure_domain,
        'site': entry.site or entry.failure_domain,
        'roles': list(entry.roles),
        'peers_address': _address(entry.peers),
        'callers_address': _address(entry.callers),
        'relay_address': _address(entry.relay),
        'secret_key_file': str(own / 'peer.key'),
        'announce_token_hash': token_hash(announce_token),
        'log_level': inventory.log_level,
        'peers': [
            _peer(other, pairs[other.host][0], entry.failure_domain)
            for other in inventory.hosts
            if other.host != entry.host
        ],
    }
    if inventory.statsd is not None:
        document['statsd'] = inventory.statsd.model_dump(mode='json')
    if 'control' in entry.roles:
        document['data_folder'] = str(own / 'data')
        document['control'] = {
            'operators': _address(entry.operators),
            'operator_token_hashes': [token_hash(operator_token)],
        }
    return document
