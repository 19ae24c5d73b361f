"""Commands that check, push and show the configuration.

The configuration is a base file for all sites and one overlay file per site,
which replaces parts of the base there.
"""

import json
import pathlib
import time
from typing import Any

import click

from skylarkpitch import errors
from skylarkpitch.operators import client as clients
from skylarkpitch.operators import context as contexts
from skylarkpitch.operators import output as outputs
from skylarkpitch.settings import deployment

__all__ = ['config', 'is_in_force', 'read_documents', 'wait_in_force']

POLL_INTERVAL_S = 0.2

_file_options = (
    click.option(
        '--base',
        'base_path',
        required=True,
        type=click.Path(path_type=pathlib.Path),
        help='Base file, in JSON.',
    ),
    click.option(
        '--overlays',
        'overlay_folder',
        required=True,
        type=click.Path(path_type=pathlib.Path),
        help='Folder with one SITE.json per site.',
    ),
)


def _add_file_options(command: Any) -> Any:
    for option in reversed(_file_options):
        command = option(command)
    return command


def _read_json(path: pathlib.Path) -> Any:
    try:
        return json.loads(path.read_text())
    except OSError as error:
        raise errors.ValidationError(
            f'{path} cannot be read ({error.strerror}); pass a readable file'
        ) from error
    except ValueError as error:
        raise errors.ValidationError(
            f'{path} is not valid JSON ({error}); correct the syntax there'
        ) from error


def read_documents(
    base_path: pathlib.Path, overlay_folder: pathlib.Path
) -> tuple[Any, dict[str, Any]]:
    """Return the base and the overlays by site, all of them validated.

    Raises ``ValidationError`` for the first site that is not valid.
    """
    base = _read_json(base_path)
    paths = sorted(overlay_folder.glob('*.json'))
    if not paths:
        raise errors.ValidationError(
            f'{overlay_folder} contains no SITE.json; write one file per '
            'site, with {} for a site without changes to the base'
        )
    overlays = {path.stem: _read_json(path) for path in paths}
    for site, overlay in overlays.items():
        deployment.validate_site(base, overlay, site=site)
    return base, overlays


def _domain_rows(result: dict[str, Any]) -> list[tuple[Any, ...]]:
    return [
        (
            domain['failure_domain'],
            len(domain['hosts']) + len(domain['unheard']),
            domain['applied_version'],
            'yes' if is_applied(domain, result['version']) else 'no',
            domain['oldest_report_s'],
        )
        for domain in result['failure_domains']
    ]


def stale_text(result: dict[str, Any]) -> str:
    """Return a note for a result that no quorum confirmed recently.

    The note is empty for a current result.
    """
    if result['current']:
        return ''
    age_s = result['proof_age_s']
    if age_s is None:
        return ' (never confirmed by a quorum since this host started)'
    return f' (last confirmed by a quorum {age_s:.0f} s ago)'


def _status_text(result: dict[str, Any]) -> str:
    summary = (
        f'version {result["version"]}, configuration '
        f'{result["config_version"]}'
        f'{stale_text(result)}'
    )
    domains = outputs.table(
        ('FAILURE DOMAIN', 'HOSTS', 'APPLIED', 'IN FORCE', 'REPORT AGE S'),
        _domain_rows(result),
    )
    return f'{summary}\n{domains}'


def is_applied(domain: dict[str, Any], version: int) -> bool:
    """Return whether every host of a failure domain applies a version."""
    return not domain['unheard'] and domain['applied_version'] >= version


def is_in_force(result: dict[str, Any], version: int) -> bool:
    """Return whether every host of every failure domain applies a version."""
    return all(
        is_applied(domain, version) for domain in result['failure_domains']
    )


def wait_in_force(
    client: clients.Client, *, version: int, timeout_s: float
) -> bool:
    """Wait until every failure domain applies ``version``.

    Returns False if that takes more than ``timeout_s`` seconds.
    """
    deadline_s = time.monotonic() + timeout_s
    while time.monotonic() < deadline_s:
        result = client.get('/operators/v1/config/status')
        if is_in_force(result, version):
            return True
        time.sleep(POLL_INTERVAL_S)
    return False


@click.group()
def config() -> None:
    """Check, push and show the base file and the overlays."""


@config.command()
@_add_file_options
@outputs.option
def check(
    base_path: pathlib.Path, overlay_folder: pathlib.Path, output: str
) -> None:
    """Validate the files locally, without a control host."""
    _, overlays = read_documents(base_path, overlay_folder)
    outputs.show(
        {'valid': True, 'sites': sorted(overlays)},
        output,
        lambda result: f'valid for {len(result["sites"])} sites',
    )


@config.command()
@_add_file_options
@click.option(
    '--against',
    type=int,
    default=None,
    help='Version that the change is based on; default: the current one.',
)
@click.option('--dry-run', is_flag=True, help='Only show the changes.')
@click.option(
    '--wait',
    is_flag=True,
    help='Wait until every host has applied the change.',
)
@contexts.operation_option
@outputs.option
@contexts.pass_context
def push(
    context: contexts.Context,
    base_path: pathlib.Path,
    overlay_folder: pathlib.Path,
    against: int | None,
    dry_run: bool,
    wait: bool,
    operation_id: str | None,
    output: str,
) -> None:
    """Replace the base and every overlay."""
    base, overlays = read_documents(base_path, overlay_folder)
    client = context.client()
    if against is None:
        against = client.get('/operators/v1/config')['config_version']
    body = context.change_body(
        operation_id, against_version=against, base=base, overlays=overlays
    )
    if dry_run:
        result = client.post('/operators/v1/config/check', body)
        outputs.show(result, output, _changes_text)
        return
    result = client.post('/operators/v1/config', body)
    if wait:
        result['in_force'] = wait_in_force(
            client, version=result['version'], timeout_s=context.timeout_s
        )
    outputs.show(result, output, _accepted_text)


@config.command('push-overlay')
@click.argument('site')
@click.option(
    '--file',
    'path',
    required=True,
    type=click.Path(path_type=pathlib.Path),
    help='Overlay of the site, in JSON.',
)
@click.option(
    '--against',
    type=int,
    default=None,
    help='Version that the change is based on; default: the current one.',
)
@contexts.operation_option
@outputs.option
@contexts.pass_context
def push_overlay(
    context: contexts.Context,
    site: str,
    path: pathlib.Path,
    against: int | None,
    operation_id: str | None,
    output: str,
) -> None:
    """Replace the overlay of SITE; all others stay unchanged."""
    overlay = _read_json(path)
    client = context.client()
    current = client.get('/operators/v1/config')
    deployment.validate_site(current['base'], overlay, site=site)
    body = context.change_body(
        operation_id,
        against_version=(
            current['config_version'] if against is None else against
        ),
        site=site,
        overlay=overlay,
    )
    result = client.post('/operators/v1/config/overlay', body)
    outputs.show(result, output, _accepted_text)


def _changes_text(result: dict[str, Any]) -> str:
    if not result['changes']:
        return 'no changes'
    return '\n'.join(result['changes'])


def _accepted_text(result: dict[str, Any]) -> str:
    text = f'accepted as version {result["version"]}'
    if 'in_force' not in result:
        return text
    if result['in_force']:
        return f'{text}, in force everywhere'
    return f'{text}, not yet in force everywhere; see skylark config status'


@config.command()
@outputs.option
@contexts.pass_context
def show(context: contexts.Context, output: str) -> None:
    """Show the accepted base and overlays."""
    result = context.client().get('/operators/v1/config')
    outputs.show(result, output, lambda item: json.dumps(item, indent=2))


@config.command()
@outputs.option
@contexts.pass_context
def status(context: contexts.Context, output: str) -> None:
    """Show the version that each failure domain has applied."""
    result = context.client().get('/operators/v1/config/status')
    outputs.show(result, output, _status_text)


@config.command()
@outputs.option
@contexts.pass_context
def history(context: contexts.Context, output: str) -> None:
    """Show the last accepted changes, newest last."""
    result = context.client().get('/operators/v1/config/history')
    outputs.show(
        result,
        output,
        lambda item: outputs.table(
            ('VERSION', 'KIND', 'OPERATOR', 'OPERATION ID'),
            [
                (
                    change['version'],
                    change['kind'],
                    change['operator'],
                    change['operation_id'],
                )
                for change in item['history']
            ],
        ),
    )
