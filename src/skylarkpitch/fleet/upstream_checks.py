"""Validate what upstreams report of themselves before it is recorded.

Anyone who reaches a control host can write a report. One with a value that
other hosts cannot store or use is refused as a whole, so that the reports of
all other upstreams hold.
"""

from collections.abc import Iterator
import ipaddress
import math

from skylarkpitch import errors
from skylarkpitch.fleet import model

__all__ = ['check_departure', 'check_upstream']

MAX_NAME_CHARACTERS = 128
MAX_SLOTS = 100_000
MAX_COLD_MS = 86_400_000.0
MAX_PORT = 65_535
# The largest integer that every JSON and MessagePack library reads exactly.
MAX_INTEGER = 2**53
MAX_LISTED_VIOLATIONS = 3


def check_upstream(upstream: model.Upstream) -> None:
    """Raise ``ValidationError`` if a report has a value out of bounds."""
    _raise_if_any(
        [
            *_name_violations('id', upstream.upstream_id),
            *_name_violations('service', upstream.service),
            *_name_violations('failure domain', upstream.failure_domain),
            *_text_violations('release', upstream.release),
            *_address_violations(upstream.address),
            *_integer_violations('start time', upstream.born_ms),
            *_integer_violations('sequence', upstream.sequence),
            *_integer_violations('number of slots', upstream.slots, MAX_SLOTS),
            *_cold_violations(upstream.cold_left_ms),
        ]
    )


def check_departure(upstream_id: str, born_ms: int | None) -> None:
    """Raise ``ValidationError`` if a departure has a value out of bounds."""
    _raise_if_any(
        [
            *_name_violations('id', upstream_id),
            *_integer_violations('start time', born_ms or 0),
        ]
    )


def _raise_if_any(violations: list[str]) -> None:
    if violations:
        listed = '; '.join(violations[:MAX_LISTED_VIOLATIONS])
        raise errors.ValidationError(
            f'report of an upstream: {listed}. Correct it and send it again'
        )


def _text_violations(label: str, text: str) -> Iterator[str]:
    if len(text) > MAX_NAME_CHARACTERS:
        yield f'the {label} has more than {MAX_NAME_CHARACTERS} characters'
    elif not text.isprintable():
        yield f'the {label} has a character that cannot be printed'


def _name_violations(label: str, text: str) -> Iterator[str]:
    yield from _text_violations(label, text)
    if not text.strip('./ '):
        yield f'the {label} has no letter or digit'


def _address_violations(address: str) -> Iterator[str]:
    host, _colon, port = address.rpartition(':')
    try:
        ipaddress.IPv4Address(host)
    except ValueError:
        yield 'the address has no IPv4 address'
    is_number = port.isascii() and port.isdigit() and len(port) <= 5
    if not is_number or not 0 < int(port) <= MAX_PORT:
        yield f'the address has no port from 1 to {MAX_PORT}'


def _integer_violations(
    label: str, value: int, maximum: int = MAX_INTEGER
) -> Iterator[str]:
    if not 0 <= value <= maximum:
        yield f'the {label} is not from 0 to {maximum}'


def _cold_violations(cold_left_ms: float) -> Iterator[str]:
    if not math.isfinite(cold_left_ms):
        yield 'the cold time is not finite'
    elif not 0 <= cold_left_ms <= MAX_COLD_MS:
        yield f'the cold time is not from 0 to {MAX_COLD_MS:.0f} ms'
