"""Generate docs/EVENTS.md, which lists every log event with its fields.

Run ``make events`` after a log call changes; a test compares the page with
the source.
"""

import ast
from collections.abc import Iterator
import dataclasses
import pathlib

__all__ = ['LogEvent', 'collect', 'page']

ROOT = pathlib.Path(__file__).resolve().parent.parent
PAGE = ROOT / 'docs' / 'EVENTS.md'
FOLDERS = ('src/skylarkpitch', 'platform/skylark_platform')
LEVELS = frozenset(('debug', 'info', 'warning', 'error', 'exception'))
PAGE_HEADER = """\
# Log events

Written by `make events` from the source. Every line also has `at`, `level`,
`host` and `logger`, and `left_out` when lines before it were left out. A
field that ends with `**` stands for those that its caller adds.

| event | level | fields | written in |
|---|---|---|---|
"""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True, order=True)
class LogEvent:
    """One log call in the source.

    ``fields`` are the keyword arguments; those that the call unpacks from a
    dictionary are one field, its expression followed by ``**``.
    """

    name: str
    level: str
    fields: tuple[str, ...]
    module: str


def collect(root: pathlib.Path = ROOT) -> list[LogEvent]:
    """Return the log events of the source, sorted by name."""
    found = set()
    for folder in FOLDERS:
        for path in sorted((root / folder).rglob('*.py')):
            module = path.relative_to(root / folder).as_posix()
            tree = ast.parse(path.read_text())
            found |= set(_events(tree, module))
    return sorted(found)


def _events(tree: ast.AST, module: str) -> Iterator[LogEvent]:
    for node in ast.walk(tree):
        if not isinstance(node, ast.Call):
            continue
        function = node.func
        if not isinstance(function, ast.Attribute):
            continue
        is_log_call = isinstance(function.value, ast.Name) and (
            function.value.id == '_log'
        )
        if not is_log_call or function.attr not in LEVELS:
            continue
        for name in _names(node.args[0]):
            yield LogEvent(
                name=name,
                level=function.attr,
                fields=tuple(
                    keyword.arg or f'{ast.unparse(keyword.value)}**'
                    for keyword in node.keywords
                ),
                module=module,
            )


def _names(argument: ast.expr) -> list[str]:
    """Return the event names to which a first argument may evaluate."""
    if isinstance(argument, ast.Constant):
        return [str(argument.value)]
    if isinstance(argument, ast.IfExp):
        return _names(argument.body) + _names(argument.orelse)
    return [ast.unparse(argument)]


def page(events: list[LogEvent]) -> str:
    """Return the text of the page."""
    rows = (
        f'| `{item.name}` | {item.level} | '
        f'{", ".join(f"`{name}`" for name in item.fields)} | '
        f'`{item.module}` |\n'
        for item in events
    )
    return PAGE_HEADER + ''.join(rows)


if __name__ == '__main__':
    PAGE.write_text(page(collect()))
