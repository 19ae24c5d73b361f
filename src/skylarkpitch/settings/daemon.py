"""Read and validate the settings file of a daemon.

The file is JSON. :func:`load` raises ``SettingsError`` with the field, the
value and the remedy of each violation; unknown fields are refused.
"""

import json
import pathlib
from typing import Literal

import pydantic

from skylarkpitch import errors

__all__ = [
    'ControlSettings',
    'DaemonSettings',
    'LimitSettings',
    'PeerSettings',
    'StatsdSettings',
    'TlsSettings',
    'load',
    'parse',
    'validation_lines',
]

Role = Literal['entry', 'control']
Port = pydantic.conint(ge=1, le=65535)
Z85_KEY_LENGTH = 40


class _Model(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra='forbid', frozen=True)


class Address(_Model):
    """Numeric IP address and TCP port."""

    ip: pydantic.IPvAnyAddress
    port: Port

    @property
    def host_port(self) -> str:
        """Return ``ip:port``, with brackets around an IPv6 address."""
        if self.ip.version == 6:
            return f'[{self.ip}]:{self.port}'
        return f'{self.ip}:{self.port}'


class PeerSettings(_Model):
    """Name, roles, addresses and public key of another host.

    The host receives messages of other hosts at ``peers``, requests of
    callers at ``callers`` and requests with a ticket at ``relay``.
    ``public_key`` is a CURVE key in Z85.
    """

    host: str = pydantic.Field(min_length=1, max_length=64)
    region: str
    failure_domain: str
    roles: tuple[Role, ...] = ('entry',)
    peers: Address
    callers: Address | None = None
    relay: Address | None = None
    public_key: str = pydantic.Field(
        min_length=Z85_KEY_LENGTH, max_length=Z85_KEY_LENGTH
    )


class StatsdSettings(_Model):
    """Address of the statsd server and the interval between batches."""

    address: Address
    prefix: str = 'skylarkpitch'
    flush_s: float = pydantic.Field(default=1.0, gt=0, le=60)


class TlsSettings(_Model):
    """Certificate and key for callers, reloaded when their files change."""

    certificate_file: pathlib.Path
    key_file: pathlib.Path
    reload_check_s: float = pydantic.Field(default=5.0, gt=0, le=3600)


class LimitSettings(_Model):
    """Limits on the memory and time that callers can use in this process.

    ``max_answer_bytes`` limits the body of a response, and ``body_timeout_s``
    the time to transfer a body. A head may take ``header_timeout_s``.
    ``memory_mb`` limits what the process holds for its clients. Without
    ``max_descriptors`` the limit of the operating system holds, as it does
    if it is lower.
    """

    max_header_bytes: int = pydantic.Field(default=16384, ge=1024)
    max_body_bytes: int = pydantic.Field(default=16 * 1024 * 1024, ge=1024)
    max_answer_bytes: int = pydantic.Field(default=64 * 1024 * 1024, ge=1024)
    max_running_calls: int = pydantic.Field(default=4000, ge=1)
    body_timeout_s: float = pydantic.Field(default=30.0, gt=0)
    header_timeout_s: float = pydantic.Field(default=10.0, gt=0)
    memory_mb: int = pydantic.Field(default=300, ge=128, le=1_000_000)
    max_descriptors: int | None = pydantic.Field(default=None, ge=128)


class ControlSettings(_Model):
    """Settings of the control role; ``operators`` is its HTTP address."""

    operators: Address
    operator_token_hashes: tuple[str, ...] = pydantic.Field(
        description='sha256 in hex of each operator token', min_length=1
    )


class DaemonSettings(_Model):
    """All settings of one daemon.

    ``site`` names the overlay of the configuration that applies.
    ``announce_token_hash`` is the sha256 in hex of the token with which
    upstreams announce themselves; without it every announcement is refused.
    ``client_blocks_file`` maps blocks of client addresses to failure domains.
    """

    host: str = pydantic.Field(min_length=1, max_length=64)
    region: str
    failure_domain: str
    site: str
    roles: tuple[Role, ...] = pydantic.Field(min_length=1)
    peers_address: Address
    callers_address: Address | None = None
    relay_address: Address | None = None
    data_folder: pathlib.Path | None = None
    secret_key_file: pathlib.Path
    announce_token_hash: str | None = None
    client_blocks_file: pathlib.Path | None = None
    peers: tuple[PeerSettings, ...] = ()
    control: ControlSettings | None = None
    statsd: StatsdSettings | None = None
    tls: TlsSettings | None = None
    limits: LimitSettings = LimitSettings()
    log_level: Literal['debug', 'info', 'warning', 'error'] = 'info'

    @pydantic.model_validator(mode='after')
    def _check_roles(self) -> 'DaemonSettings':
        if 'entry' in self.roles and self.callers_address is None:
            raise ValueError(
                'role "entry" needs callers_address; set its ip and port'
            )
        if 'entry' in self.roles and self.relay_address is None:
            raise ValueError(
                'role "entry" needs relay_address; set its ip and port'
            )
        if 'control' in self.roles and self.data_folder is None:
            raise ValueError(
                'role "control" needs data_folder; set the path of a folder'
            )
        if 'control' in self.roles and self.control is None:
            raise ValueError(
                'role "control" needs control; set operators and '
                'operator_token_hashes'
            )
        return self

    @pydantic.model_validator(mode='after')
    def _check_peers(self) -> 'DaemonSettings':
        names = [peer.host for peer in self.peers]
        duplicates = sorted({name for name in names if names.count(name) > 1})
        if duplicates:
            raise ValueError(
                f'peers lists {duplicates[0]!r} twice; keep one entry per host'
            )
        return self


def validation_lines(error: pydantic.ValidationError) -> list[str]:
    """Return a line per violation: field, expected value, actual value.

    The errors of a deployment, which the replicated state stores, contain
    these lines, so that their text must be the same in all releases.
    """
    lines = []
    for item in error.errors():
        field = '.'.join(str(part) for part in item['loc']) or 'file'
        value = repr(item.get('input'))
        if len(value) > 60:
            value = value[:57] + '...'
        lines.append(f'{field}: {item["msg"]}; found {value}')
    return lines


def parse(text: str | bytes, *, source: str) -> DaemonSettings:
    """Return the settings that a JSON text contains.

    Raises ``SettingsError`` if the text is not valid; its message starts with
    ``source``.
    """
    try:
        document = json.loads(text)
    except (ValueError, RecursionError) as error:
        raise errors.SettingsError(
            f'{source} is not valid JSON ({error}); correct it at that place'
        ) from error
    try:
        return DaemonSettings.model_validate(document)
    except pydantic.ValidationError as error:
        violations = '; '.join(validation_lines(error))
        raise errors.SettingsError(
            f'{source}: {violations}. Correct each field and check again '
            'with skylarkd --check'
        ) from error


def load(path: pathlib.Path) -> DaemonSettings:
    """Return the settings that a file contains.

    Raises ``SettingsError`` if the file cannot be read or is not valid.
    """
    try:
        text = path.read_bytes()
    except OSError as error:
        raise errors.SettingsError(
            f'{path} cannot be read ({error.strerror}); set the path of a '
            'settings file in JSON'
        ) from error
    return parse(text, source=str(path))
