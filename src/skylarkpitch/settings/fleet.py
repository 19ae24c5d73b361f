"""Read and validate the settings file of one process of a fleet.

The hosts of a fleet discover each other by seeds, so that the file lists no
other hosts. It is JSON; :func:`load` raises ``SettingsError`` with the
field, the value and the remedy of each violation.
"""

import json
import pathlib

import pydantic

from skylarkpitch import errors
from skylarkpitch.settings import daemon

__all__ = ['ControlFile', 'EntryFile', 'FleetFile', 'load', 'parse']

MAX_SEEDS = 9


class _Model(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra='forbid', frozen=True)


class _ProcessFile(_Model):
    """What a process may use.

    ``memory_mb`` limits what it holds for its clients: bodies that do not
    fit are refused, and clients that do not behave are closed. Without
    ``max_descriptors`` the limit of the operating system holds, as it does
    if it is lower.
    """

    memory_mb: int = pydantic.Field(default=300, ge=128, le=1_000_000)
    max_descriptors: int | None = pydantic.Field(default=None, ge=128)


class ControlFile(_ProcessFile):
    """Settings of a control host.

    ``calls`` is the address of the HTTP API. Only hosts with
    ``is_first_start`` may bootstrap the cluster; remove it once the cluster
    exists. No acknowledged change is lost while at most ``tolerated_disks``
    disks of voters are lost at the same time. A host that is back, or that
    was replaced by another one, counts as lost for another ``catch_up_s``.
    """

    calls: daemon.Address
    data_folder: pathlib.Path
    operator_token_file: pathlib.Path
    is_first_start: bool = False
    is_voter: bool = True
    tolerated_disks: int = pydantic.Field(default=1, ge=0, le=4)
    catch_up_s: float = pydantic.Field(default=4.0, ge=2, le=600)
    heartbeat_s: float = pydantic.Field(default=1.5, gt=0, le=60)


class EntryFile(_ProcessFile):
    """Settings of an entry host.

    ``retry_ratio`` and ``retry_extra`` limit the retries within
    ``retry_window_s``; ``rate_over`` and ``rate_slack`` limit how far an
    organisation may exceed its rate within ``rate_window_s``. All of them
    apply to the whole fleet. ``ready`` and ``ready_path`` are the address and
    path of the readiness check. During a planned stop the host accepts
    requests for another ``goodbye_s``, since callers cache look-ups that
    long; the stop ends within ``grace_s``.
    """

    callers: daemon.Address
    ready: daemon.Address
    ready_path: str = pydantic.Field(default='/readyz', pattern='^/')
    retry_ratio: float = pydantic.Field(default=0.1, ge=0, le=1)
    retry_extra: float = pydantic.Field(default=10.0, ge=0)
    retry_window_s: float = pydantic.Field(default=10.0, gt=0, le=600)
    rate_over: float = pydantic.Field(default=0.0, ge=0, le=1)
    rate_slack: float = pydantic.Field(default=0.0, ge=0)
    rate_window_s: float = pydantic.Field(default=5.0, gt=0, le=600)
    goodbye_s: float = pydantic.Field(default=2.6, ge=0, le=60)
    grace_s: float = pydantic.Field(default=6.0, gt=0, le=600)


class FleetFile(_Model):
    """Settings of one process of a fleet.

    ``regions`` maps each failure domain to its region. Control hosts listen
    for peers on ``peers_port``, entry hosts on the port after it. ``seeds``
    are IP addresses of control hosts.
    """

    host: str = pydantic.Field(min_length=1, max_length=64)
    ip: pydantic.IPvAnyAddress
    failure_domain: str
    regions: dict[str, str]
    peers_port: daemon.Port
    seeds: tuple[pydantic.IPvAnyAddress, ...] = pydantic.Field(
        min_length=1, max_length=MAX_SEEDS
    )
    secret_file: pathlib.Path
    metrics: daemon.Address | None = None
    control: ControlFile | None = None
    entry: EntryFile | None = None

    @pydantic.model_validator(mode='after')
    def _check(self) -> 'FleetFile':
        if (self.control is None) == (self.entry is None):
            raise ValueError(
                'give either control or entry; a host with both roles runs '
                'two processes'
            )
        if self.failure_domain not in self.regions:
            raise ValueError(
                f'regions does not name failure_domain '
                f'{self.failure_domain!r}; add it with its region'
            )
        if self.entry and self.entry.goodbye_s >= self.entry.grace_s:
            raise ValueError(
                'goodbye_s must be less than grace_s, which includes the time '
                'to end requests; reduce it'
            )
        return self


def parse(text: str | bytes, *, source: str) -> FleetFile:
    """Return the settings that a JSON text contains.

    Raises ``SettingsError`` if the text is not valid; its message starts with
    ``source``.
    """
    try:
        return FleetFile.model_validate(json.loads(text))
    except pydantic.ValidationError as error:
        violations = '; '.join(daemon.validation_lines(error))
        raise errors.SettingsError(
            f'{source}: {violations}. Correct each field and check again '
            'with skylarkd-fleet --check'
        ) from error
    except (ValueError, RecursionError) as error:
        raise errors.SettingsError(
            f'{source} is not valid JSON ({error}); correct it at that place'
        ) from error


def load(path: pathlib.Path) -> FleetFile:
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
