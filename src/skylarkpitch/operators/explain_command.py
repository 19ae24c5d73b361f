"""Command that explains the outcome of a request."""

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
    """Explain the outcome of a request from the logs in FILES.

    Pass the logs of all entry hosts that may have received it, and those of
    the control hosts, which show changes of its upstreams; "-" reads
    standard input. Exit status 1 if no line has its id: then another host
    received it, or its lines were omitted (see ``left_out`` and
    ``lines_dropped``).
    """
    parsed = map(explaining.parse_line, itertools.chain(*files))
    explanation = explaining.explain(
        request_id, [line for line in parsed if line is not None]
    )
    if not explanation.lines:
        click.echo(
            f'no log line has request id {request_id}; pass the logs of more '
            'hosts, or search the given ones for left_out and lines_dropped',
            err=True,
        )
        context.exit(EXIT_NOT_FOUND)
    for line in explanation.lines:
        fields = ' '.join(
            f'{name}={value}' if ' ' not in value else f'{name}="{value}"'
            for name, value in line.fields.items()
            if value and name not in ('logger', 'request_id')
        )
        time_text = line.logged_at.isoformat(timespec='milliseconds')
        click.echo(f'{time_text} {line.host} {line.event} {fields}'.rstrip())
    for cause in explanation.causes:
        click.echo(cause)
