"""Print the answers of the command-line tool as text or JSON."""

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
    help='Form of the answer.',
)


def table(headings: Sequence[str], rows: Iterable[Sequence[Any]]) -> str:
    """Return rows under headings, in columns as wide as their content."""
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


def show(answer: Any, output: str, text: Callable[[Any], str]) -> None:
    """Print an answer as JSON, or as ``text`` makes it."""
    if output == 'json':
        click.echo(json.dumps(answer, indent=2))
    else:
        click.echo(text(answer))
