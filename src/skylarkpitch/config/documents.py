"""Strict parser for the JSON documents of operators.

Duplicate names and NaN are rejected, since they are mistakes that a lenient
parser would hide.
"""

import json
import math
from typing import Any

from skylarkpitch import errors

__all__ = ['MAX_DOCUMENT_BYTES', 'canonical', 'parse_object']

MAX_DOCUMENT_BYTES = 4 * 1024 * 1024
MAX_NESTING_LEVELS = 32


def _reject_duplicate_names(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    document = dict(pairs)
    if len(document) < len(pairs):
        names = [name for name, _ in pairs]
        duplicate = next(name for name in names if names.count(name) > 1)
        raise ValueError(f'name {duplicate!r} stands twice in one object')
    return document


def _reject_constant(name: str) -> Any:
    raise ValueError(f'{name} is not a JSON number')


def _parse_finite_float(text: str) -> float:
    number = float(text)
    if not math.isfinite(number):
        raise ValueError(f'{text[:40]} is too large for a number')
    return number


def _check_depth(document: dict[str, Any]) -> None:
    """Limit the nesting, so that later recursion cannot overflow the stack.

    Raises ``ValueError``.
    """
    level: list[Any] = [document]
    for _ in range(MAX_NESTING_LEVELS):
        level = [
            item
            for container in level
            for item in _items(container)
            if isinstance(item, dict | list)
        ]
        if not level:
            return
    raise ValueError(f'it is nested deeper than {MAX_NESTING_LEVELS} levels')


def _items(container: dict[str, Any] | list[Any]) -> list[Any]:
    return (
        list(container.values()) if isinstance(container, dict) else container
    )


def parse_object(
    text: str, *, source: str, max_bytes: int = MAX_DOCUMENT_BYTES
) -> dict[str, Any]:
    """Parse a JSON object; ``source`` is its name in error messages.

    Raises ``ValidationError`` if ``text`` is too long, malformed or nested
    too deeply, or if it is not an object.
    """
    if len(text) > max_bytes:
        raise errors.ValidationError(
            f'{source} has {len(text)} characters, over the limit of '
            f'{max_bytes}; make it shorter'
        )
    try:
        document = json.loads(
            text,
            object_pairs_hook=_reject_duplicate_names,
            parse_constant=_reject_constant,
            parse_float=_parse_finite_float,
        )
        json.dumps(document, ensure_ascii=False).encode()
    except (ValueError, RecursionError) as error:
        raise errors.ValidationError(
            f'{source} is not valid JSON ({error}); correct it at that place'
        ) from error
    if not isinstance(document, dict):
        raise errors.ValidationError(
            f'{source} is not a JSON object; write one'
        )
    try:
        _check_depth(document)
    except ValueError as error:
        raise errors.ValidationError(
            f'{source} is not valid ({error}); make it flatter'
        ) from error
    return document


def canonical(value: Any) -> bytes:
    """Return the canonical JSON text, which is the same for equal values."""
    return json.dumps(
        value, sort_keys=True, separators=(',', ':'), ensure_ascii=True
    ).encode()
