"""Read the JSON documents of operators strictly.

A repeated name or a NaN is a mistake that a lenient reader would hide.
"""

import json
import math
from typing import Any

from skylarkpitch import errors

__all__ = ['MAX_DOCUMENT_BYTES', 'canonical', 'parse_object']

MAX_DOCUMENT_BYTES = 4 * 1024 * 1024
MAX_DEPTH = 32


def _unique(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    document = dict(pairs)
    if len(document) < len(pairs):
        names = [name for name, _ in pairs]
        double = next(name for name in names if names.count(name) > 1)
        raise ValueError(f'name {double!r} stands twice in one object')
    return document


def _no_constant(name: str) -> Any:
    raise ValueError(f'{name} is not a JSON number')


def _finite(text: str) -> float:
    number = float(text)
    if not math.isfinite(number):
        raise ValueError(f'{text[:40]} is too large for a number')
    return number


def _check_depth(document: dict[str, Any]) -> None:
    """Bound the depth, so that no later step depends on the stack."""
    level: list[Any] = [document]
    for _ in range(MAX_DEPTH):
        level = [
            item
            for holder in level
            for item in _items(holder)
            if isinstance(item, dict | list)
        ]
        if not level:
            return
    raise ValueError(f'it is nested deeper than {MAX_DEPTH} levels')


def _items(holder: dict[str, Any] | list[Any]) -> list[Any]:
    return list(holder.values()) if isinstance(holder, dict) else holder


def parse_object(text: str, *, source: str) -> dict[str, Any]:
    """Return the JSON object in ``text``; ``source`` names it in errors.

    Raises ``ValidationError``.
    """
    if len(text) > MAX_DOCUMENT_BYTES:
        raise errors.ValidationError(
            f'{source} has {len(text)} characters, over the limit of '
            f'{MAX_DOCUMENT_BYTES}; make it shorter'
        )
    try:
        document = json.loads(
            text,
            object_pairs_hook=_unique,
            parse_constant=_no_constant,
            parse_float=_finite,
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
    """Return the one JSON text that equal values share."""
    return json.dumps(
        value, sort_keys=True, separators=(',', ':'), ensure_ascii=True
    ).encode()
