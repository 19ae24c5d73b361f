"""Ids of operations, issued with a look-up or chosen by the caller.

A look-up is the call by which a caller finds its entry hosts.

An issued id is ``<home region>.<issue time in s, base 36>.<unique part>``.
Any other id was chosen by the caller and has no issue time. The ledger of
the home region records the operation.
"""

from collections.abc import Iterable
import dataclasses
import hashlib

from skylarkpitch import sentinels

__all__ = ['OperationId', 'check_id', 'issue_prefix', 'parse']

MAX_ID_CHARS = 200
# Tolerated difference between the wall clocks of two hosts.
CLOCK_SKEW_S = 5.0
_DIGITS = '0123456789abcdefghijklmnopqrstuvwxyz'
_MAX_TIME_DIGITS = 8


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class OperationId:
    """Operation id with its home region and issue time.

    ``issued_s`` is a Unix time, None for an id that the caller chose.
    """

    text: str
    region: str
    issued_s: float | None


def issue_prefix(*, region: str, wall_s: float) -> str:
    """Return the prefix of an id, to which a caller adds a unique part."""
    return f'{region}.{_base36(int(wall_s))}.'


def check_id(text: str) -> sentinels.Absent | None:
    """Return None for a valid id, else ``Absent`` ``request_malformed``."""
    if 0 < len(text) <= MAX_ID_CHARS and _is_visible(text):
        return None
    return sentinels.Absent(
        'request_malformed',
        f'Idempotency-Key needs 1 to {MAX_ID_CHARS} visible ASCII characters',
    )


def parse(
    text: str, *, organisation: str, regions: Iterable[str]
) -> OperationId:
    """Return the parts of a valid id.

    The home region of an id that the caller chose is the first in the
    rendezvous order (Thaler and Ravishankar, 1998) of (organisation, id).
    """
    sorted_regions = sorted(regions)
    region, _, rest = text.partition('.')
    digits, dot, unique = rest.partition('.')
    if region in sorted_regions and dot and unique and _is_time(digits):
        return OperationId(
            text=text, region=region, issued_s=float(int(digits, 36))
        )
    home = max(
        sorted_regions, key=lambda name: _rank(name, organisation, text)
    )
    return OperationId(text=text, region=home, issued_s=None)


def _is_visible(text: str) -> bool:
    return all('!' <= char <= '~' for char in text)


def _is_time(digits: str) -> bool:
    return 0 < len(digits) <= _MAX_TIME_DIGITS and all(
        digit in _DIGITS for digit in digits
    )


def _base36(number: int) -> str:
    digits = ''
    while number:
        number, digit = divmod(number, 36)
        digits = _DIGITS[digit] + digits
    return digits or '0'


def _rank(region: str, organisation: str, text: str) -> bytes:
    parts = '\0'.join((region, organisation, text)).encode()
    return hashlib.blake2b(parts, digest_size=16).digest()
