"""Print the results of the command-line tool as text or JSON."""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Sequence
import json
from typing import Any

import click

__all__ = ['option', 'show', 'table']

option = click.option(
    '--output',
    type=click.Choice(['text', 'json']),
    default='text',
    show_default=True,
    help='Output format.',
)


def table(headings: Sequence[str], rows: Iterable[Sequence[Any]]) -> str:
    """Return rows below headings, in columns as wide as their content."""
    lines = [list(headings)]
    lines.extend([_cell(value) for value in row] for row in rows)
    widths = [
        max(len(line[i]) for line in lines) for i in range(len(headings))
    ]
    return '\n'.join(
        '  '.join(
            cell.ljust(width) for cell, width in zip(line, widths, strict=True)
        ).rstrip()
        for line in lines
    )


def _cell(value: Any) -> str:
    if value is None:
        return '-'
    if isinstance(value, float):
        return f'{value:.1f}'
    return str(value)


def show(result: Any, output: str, format_text: Callable[[Any], str]) -> None:
    """Print a result as JSON, or as text made by ``format_text``."""
    if output == 'json':
        click.echo(json.dumps(result, indent=2))
    else:
        click.echo(format_text(result))
