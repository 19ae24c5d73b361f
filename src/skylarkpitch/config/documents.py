"""Read the JSON documents of operators strictly.

A repeated name or a NaN is a mistake that a lenient reader would hide.
"""

import json
from typing import Any

from skylarkpitch import errors

__all__ = ['MAX_DOCUMENT_BYTES', 'canonical', 'parse_object']

MAX_DOCUMENT_BYTES = 4 * 1024 * 1024


def _unique(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    document = dict(pairs)
    if len(document) < len(pairs):
        names = [name for name, _ in pairs]
        double = next(name for name in names if names.count(name) > 1)
        raise ValueError(f'name {double!r} stands twice in one object')
    return document


def _no_constant(name: str) -> Any:
    raise ValueError(f'{name} is not a JSON number')


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
            text, object_pairs_hook=_unique, parse_constant=_no_constant
        )
    except (ValueError, RecursionError) as error:
        raise errors.ValidationError(
            f'{source} is not valid JSON ({error}); correct it at that place'
        ) from error
    if not isinstance(document, dict):
        raise errors.ValidationError(
            f'{source} is not a JSON object; write one'
        )
    return document


def canonical(value: Any) -> bytes:
    """Return the one JSON text that equal values share."""
    return json.dumps(
        value, sort_keys=True, separators=(',', ':'), ensure_ascii=True
    ).encode()
