"""Run ``skylarkd-fleet``: one process of a fleet with seed discovery."""

import pathlib
import sys

import click

from skylarkpitch.daemon import fleet
from skylarkpitch import errors
from skylarkpitch.fleet import model
from skylarkpitch.forwarding import callers
from skylarkpitch.forwarding import header_names
from skylarkpitch.forwarding import retry_budget
from skylarkpitch.settings import fleet as files

__all__ = ['main', 'settings_of']

EXIT_FAILED = 1
EXIT_BAD_SETTINGS = 2
MIN_SECRET_CHARACTERS = 16
BYTES_PER_MB = 1024 * 1024


def _read_secret(path: pathlib.Path, *, description: str) -> str:
    try:
        secret = path.read_text().strip()
    except (OSError, ValueError) as error:
        raise errors.SettingsError(
            f'{path} cannot be read ({error}); set the path of a file with '
            f'{description}'
        ) from error
    if len(secret) < MIN_SECRET_CHARACTERS:
        raise errors.SettingsError(
            f'{path} holds {len(secret)} characters; {description} needs '
            f'{MIN_SECRET_CHARACTERS} or more'
        )
    return secret


def _control_role(
    file: files.FleetFile, section: files.ControlFile
) -> fleet.RoleFactory:
    from skylarkpitch.daemon import fleet_control
    from skylarkpitch.operators import fleet_calls

    token = _read_secret(
        section.operator_token_file, description='the operator token'
    )
    settings = fleet_control.ControlSettings(
        data_folder=section.data_folder,
        is_first_start=section.is_first_start,
        is_voter=section.is_voter,
        tolerated_disks=section.tolerated_disks,
        catch_up_s=section.catch_up_s,
        heartbeat_s=section.heartbeat_s,
        region_of=file.regions.get,
        addresses=(section.calls.host_port,),
        create_handler=lambda control_service, bodies: fleet_calls.handler(
            control_service=control_service,
            bodies=bodies,
            region_of=file.regions.get,
            operator_token=token,
        ),
    )
    return fleet_control.factory(settings)


def _entry_role(
    file: files.FleetFile, section: files.EntryFile
) -> fleet.RoleFactory:
    from skylarkpitch.daemon import fleet_entry
    from skylarkpitch.forwarding import service

    settings = service.ForwardingSettings(
        entry_host=model.EntryHost(
            name=file.host,
            callers_address=section.callers.host_port,
            region=file.regions[file.failure_domain],
            failure_domain=file.failure_domain,
        ),
        ready_address=section.ready.host_port,
        ready_path=section.ready_path,
        names=header_names.HeaderNames(),
        retry_limits=retry_budget.RetryLimits(
            ratio=section.retry_ratio,
            extra=section.retry_extra,
            window_s=section.retry_window_s,
        ),
        rate_tolerance=callers.RateTolerance(
            excess_ratio=section.rate_over,
            slack=section.rate_slack,
            window_s=section.rate_window_s,
        ),
        region_of=file.regions.get,
        drain_s=section.goodbye_s,
        grace_s=section.grace_s,
    )
    return fleet_entry.factory(settings)


def settings_of(file: files.FleetFile) -> fleet.FleetSettings:
    """Return the settings of the process that a settings file describes.

    Raises ``SettingsError`` if a file with a secret cannot be read or is too
    short.
    """
    seeds = tuple(str(seed) for seed in file.seeds)
    is_control = file.control is not None
    section = file.control or file.entry
    roles = []
    if file.control is not None:
        roles.append(_control_role(file, file.control))
    if file.entry is not None:
        roles.append(_entry_role(file, file.entry))
    return fleet.FleetSettings(
        name=file.host,
        peer_name=str(file.ip) if is_control else file.host,
        ip=str(file.ip),
        region=file.regions[file.failure_domain],
        failure_domain=file.failure_domain,
        peers_port=file.peers_port,
        own_peers_port=file.peers_port + (not is_control),
        secret=_read_secret(
            file.secret_file, description='the secret of the fleet'
        ),
        seeds=lambda: seeds,
        roles=tuple(roles),
        metrics_address=file.metrics.host_port if file.metrics else None,
        memory_bytes=section.memory_mb * BYTES_PER_MB,
        max_descriptors=section.max_descriptors,
    )


@click.command()
@click.option(
    '--settings',
    'path',
    required=True,
    type=click.Path(path_type=pathlib.Path),
    help='Settings file of this process, in JSON.',
)
@click.option(
    '--check', is_flag=True, help='Validate the settings file, then exit.'
)
def main(path: pathlib.Path, check: bool) -> None:
    """Run one process of a fleet whose hosts discover each other by seeds.

    SIGTERM starts a planned stop: callers move to other hosts first. Exit
    status: 0 after a planned stop, 1 if a service failed, 2 if the settings
    are invalid.
    """
    try:
        file = files.load(path)
        settings = settings_of(file)
        if check:
            role = 'control' if file.control else 'entry'
            click.echo(f'{path}: valid, {role} host {settings.name}')
            return
        fleet.run(settings, on_reload=lambda: None)
    except errors.SkylarkError as error:
        click.echo(f'skylarkd-fleet: {error}', err=True)
        is_settings_error = isinstance(error, errors.SettingsError)
        sys.exit(EXIT_BAD_SETTINGS if is_settings_error else EXIT_FAILED)
