"""Run ``skylark``, the operators' command-line tool."""

import pathlib
import sys

import click

from skylarkpitch import errors
from skylarkpitch.operators import config_commands
from skylarkpitch.operators import context as contexts
from skylarkpitch.operators import explain_command
from skylarkpitch.operators import fleet_commands
from skylarkpitch.operators import key_commands
from skylarkpitch.operators import provision_command
from skylarkpitch.operators import status_commands

__all__ = ['main', 'skylark']

EXIT_FAILED = 1
EXIT_INVALID = 2
EXIT_CONFLICT = 3
EXIT_UNCERTAIN = 4
EXIT_UNREACHABLE = 5

EXIT_STATUS = {
    'invalid': EXIT_INVALID,
    'settings_invalid': EXIT_INVALID,
    'version_conflict': EXIT_CONFLICT,
    'uncertain': EXIT_UNCERTAIN,
    'unreachable': EXIT_UNREACHABLE,
}


@click.group()
@click.option(
    '--control',
    multiple=True,
    envvar='SKYLARK_CONTROL',
    help='URL of a control host; repeat the option for each one.',
)
@click.option(
    '--token-file',
    envvar='SKYLARK_TOKEN_FILE',
    type=click.Path(path_type=pathlib.Path),
    help='File with the operator token.',
)
@click.option(
    '--timeout-s',
    type=click.FloatRange(min=0.1, max=600),
    default=15.0,
    show_default=True,
    help='Maximum duration of a call with its retries, in seconds.',
)
@click.pass_context
def skylark(
    context: click.Context,
    control: tuple[str, ...],
    token_file: pathlib.Path | None,
    timeout_s: float,
) -> None:
    """Manage a skylarkpitch deployment.

    Exit status: 0 success, 1 refused, 2 invalid input, 3 version conflict,
    4 the change may or may not have been applied, 5 no control host was
    reached.
    Shell completion: eval "$(_SKYLARK_COMPLETE=bash_source skylark)".
    """
    context.obj = contexts.Context(
        urls=tuple(url.rstrip('/') for url in control),
        token_file=token_file,
        timeout_s=timeout_s,
    )


fleet_commands.hosts.add_command(provision_command.provision)
for command in (
    config_commands.config,
    key_commands.keys,
    fleet_commands.upstreams,
    fleet_commands.hosts,
    fleet_commands.members,
    fleet_commands.lookup,
    status_commands.status,
    status_commands.report,
    explain_command.explain,
):
    skylark.add_command(command)


def main() -> None:
    """Run the tool and exit with a status that its help lists."""
    try:
        skylark()
    except errors.SkylarkError as error:
        click.echo(f'skylark: {error}', err=True)
        sys.exit(EXIT_STATUS.get(error.reason, EXIT_FAILED))
