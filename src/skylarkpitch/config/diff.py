"""List the configuration values that a push would change, by site."""

from collections.abc import Iterator
from collections.abc import Mapping
import json
from typing import Any

from skylarkpitch.settings import deployment

__all__ = ['diff_documents', 'diff_sites']

ABSENT = '(absent)'


def diff_sites(
    *,
    old_base: dict[str, Any],
    old_overlays: Mapping[str, dict[str, Any]],
    new_base: dict[str, Any],
    new_overlays: Mapping[str, dict[str, Any]],
) -> list[str]:
    """Return one line ``site path: old -> new`` for each changed value.

    The merged documents are compared, so that a change of the base is listed
    for each site that it affects. Sites and paths are sorted; a missing value
    is written as ``(absent)``.
    """
    lines = []
    for site in sorted({*old_overlays, *new_overlays}):
        old = deployment.merge_site(old_base, old_overlays.get(site, {}))
        new = deployment.merge_site(new_base, new_overlays.get(site, {}))
        lines.extend(f'{site} {line}' for line in diff_documents(old, new))
    return lines


def diff_documents(old: Any, new: Any) -> list[str]:
    """Return one line ``path: old -> new`` for each value that differs."""
    return [
        f'{path}: {_canonical(old_value)} -> {_canonical(new_value)}'
        for path, old_value, new_value in _changes('', old, new)
    ]


class _Missing:
    """Placeholder for a value that one of the documents lacks."""


def _changes(path: str, old: Any, new: Any) -> Iterator[tuple[str, Any, Any]]:
    if isinstance(old, dict) and isinstance(new, dict):
        for name in sorted({*old, *new}):
            yield from _changes(
                f'{path}.{name}' if path else name,
                old.get(name, _Missing),
                new.get(name, _Missing),
            )
    elif _canonical(old) != _canonical(new):
        yield path, old, new


def _canonical(value: Any) -> str:
    if value is _Missing:
        return ABSENT
    return json.dumps(value, sort_keys=True)
