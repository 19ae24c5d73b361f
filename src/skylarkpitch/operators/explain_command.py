"""The command that explains what became of a request."""

import itertools
from typing import TextIO

import click

from skylarkpitch.operators import explain as explaining

__all__ = ['explain']

EXIT_NOT_FOUND = 1


@click.command()
@click.argument('request_id')
@click.argument('files', nargs=-1, required=True, type=click.File('r'))
@click.pass_context
def explain(
    context: click.Context, request_id: str, files: tuple[TextIO, ...]
) -> None:
    """Tell what became of a request, from the logs in FILES.

    Give the logs of all entry hosts that may have had it, and those of the
    control hosts for what became of its upstreams; "-" reads standard
    input. Exit status 1 when no line names the request: then another host
    had it, or the line was left out (see ``left_out`` and
    ``lines_dropped``).
    """
    parsed = map(explaining.parse_line, itertools.chain(*files))
    found = explaining.explain(
        request_id, [line for line in parsed if line is not None]
    )
    if not found.lines:
        click.echo(
            f'no line names request {request_id}; give the logs of more '
            'hosts, or look for left_out and lines_dropped in these',
            err=True,
        )
        context.exit(EXIT_NOT_FOUND)
    for line in found.lines:
        told = ' '.join(
            f'{name}={value}' if ' ' not in value else f'{name}="{value}"'
            for name, value in line.fields.items()
            if value and name not in ('logger', 'request_id')
        )
        moment = line.at.isoformat(timespec='milliseconds')
        click.echo(f'{moment} {line.host} {line.event} {told}'.rstrip())
    for cause in found.causes:
        click.echo(cause)
