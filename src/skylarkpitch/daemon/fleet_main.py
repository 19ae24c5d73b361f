"""Run ``skylarkd-fleet``: one process of a fleet that finds itself."""

import pathlib
import sys

import click

from skylarkpitch.daemon import fleet
from skylarkpitch import errors
from skylarkpitch.fleet import model
from skylarkpitch.forwarding import callers
from skylarkpitch.forwarding import header_names
from skylarkpitch.forwarding import retry_budget
from skylarkpitch.forwarding import service as forwarding
from skylarkpitch.operators import fleet_calls
from skylarkpitch.settings import fleet as files

__all__ = ['main', 'settings_of']

EXIT_FAILED = 1
EXIT_BAD_SETTINGS = 2
LEAST_SECRET = 16


def _secret(path: pathlib.Path, *, what: str) -> str:
    try:
        secret = path.read_text().strip()
    except (OSError, ValueError) as error:
        raise errors.SettingsError(
            f'{path} cannot be read ({error}); give the path of a file with '
            f'{what}'
        ) from error
    if len(secret) < LEAST_SECRET:
        raise errors.SettingsError(
            f'{path} holds {len(secret)} characters; {what} has '
            f'{LEAST_SECRET} at least'
        )
    return secret


def _control(file: files.FleetFile) -> fleet.ControlSettings | None:
    told = file.control
    if told is None:
        return None
    token = _secret(told.operator_token_file, what='the operator token')
    return fleet.ControlSettings(
        data_folder=told.data_folder,
        is_first_start=told.is_first_start,
        is_voter=told.is_voter,
        tolerated_disks=told.tolerated_disks,
        heartbeat_s=told.heartbeat_s,
        region_of=file.regions.get,
        addresses=(told.calls.host_port,),
        create_handler=lambda control_service, state: fleet_calls.handler(
            control_service=control_service,
            state=state,
            region_of=file.regions.get,
            operator_token=token,
        ),
    )


def _forwarding(
    file: files.FleetFile,
) -> forwarding.ForwardingSettings | None:
    told = file.entry
    if told is None:
        return None
    return forwarding.ForwardingSettings(
        entry_host=model.EntryHost(
            name=file.host,
            callers_address=told.callers.host_port,
            region=file.regions[file.failure_domain],
            failure_domain=file.failure_domain,
        ),
        ready_address=told.ready.host_port,
        ready_path=told.ready_path,
        names=header_names.HeaderNames(),
        retry_limits=retry_budget.RetryLimits(
            ratio=told.retry_ratio,
            extra=told.retry_extra,
            window_s=told.retry_window_s,
        ),
        rate_tolerance=callers.RateTolerance(
            excess_ratio=told.rate_over,
            slack=told.rate_slack,
            window_s=told.rate_window_s,
        ),
        region_of=file.regions.get,
        drain_s=told.goodbye_s,
        grace_s=told.grace_s,
    )


def settings_of(file: files.FleetFile) -> fleet.FleetSettings:
    """Return what a process is told; raises ``SettingsError``."""
    seeds = tuple(str(seed) for seed in file.seeds)
    is_control = file.control is not None
    return fleet.FleetSettings(
        name=file.host,
        peer_name=str(file.ip) if is_control else file.host,
        ip=str(file.ip),
        region=file.regions[file.failure_domain],
        failure_domain=file.failure_domain,
        peers_port=file.peers_port,
        own_peers_port=file.peers_port + (not is_control),
        secret=_secret(file.secret_file, what='the secret of the fleet'),
        seeds=lambda: seeds,
        metrics_address=file.metrics.host_port if file.metrics else None,
        control=_control(file),
        forwarding=_forwarding(file),
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
    """Run one process of a fleet whose hosts find each other from seeds.

    SIGTERM is a planned stop: callers are led away first. Exit status: 0
    stopped as planned, 1 a part failed, 2 the settings are wrong.
    """
    try:
        settings = settings_of(files.load(path))
        if check:
            role = 'control' if settings.control else 'entry'
            click.echo(f'{path}: valid, {role} host {settings.name}')
            return
        fleet.run(settings, on_reload=lambda: None)
    except errors.SkylarkError as error:
        click.echo(f'skylarkd-fleet: {error}', err=True)
        is_setting = isinstance(error, errors.SettingsError)
        sys.exit(EXIT_BAD_SETTINGS if is_setting else EXIT_FAILED)
