"""Messages that carry the control state and reports between hosts."""

import msgspec

from typing import Any

from skylarkpitch.messages import codec

__all__ = [
    'NO_VERSION',
    'UNPROVEN_S',
    'ReportRow',
    'StateReports',
    'StateRequest',
    'StateResponse',
]

# Version of a scope of which a host has no parts.
NO_VERSION = -1
# Age of a proof that a host does not have.
UNPROVEN_S = -1.0

# Key, version and encoded value of a part; None for a part that was removed.
PartRow = tuple[tuple[str, ...], int, bytes | None]


class ReportRow(msgspec.Struct, array_like=True, frozen=True, kw_only=True):
    """Report of one host; ``status`` is included at longer intervals only.

    Sent as an array without field names, since a relay forwards one for each
    host below it.
    """

    host: str
    sequence: int
    applied_version: int
    age_s: float
    life_cycle: str
    status: dict[str, Any] | None = None


@codec.message('state.question')
class StateRequest:
    """Request for missing parts and for a proof of how current they are.

    ``version`` and ``sites`` are the versions that the sender has of the
    common parts and of each site, or ``NO_VERSION``. ``age_s`` is the age of
    its newest proof, or ``UNPROVEN_S``. The receiver may hold the request for
    up to ``hold_s`` seconds until it has something new.
    """

    version: int
    sites: dict[str, int]
    age_s: float
    hold_s: float
    wants_parts: bool = True


@codec.message('state.answer')
class StateResponse:
    """Response with parts and with the age of their state.

    ``age_s`` is the age of the sender's proof when it responded, or
    ``UNPROVEN_S``, and ``held_s`` how long it held the request, both in
    seconds of its own clock. ``rows`` are the parts above the request's
    versions or, if ``whole``, all parts. ``digest`` covers the requested scope
    at ``version``.
    """

    version: int
    age_s: float
    held_s: float
    digest: int
    whole: bool = False
    rows: tuple[PartRow, ...] = ()


@codec.message('state.reports')
class StateReports:
    """Reports that are forwarded to the control hosts.

    ``from_control`` marks a copy from one control host to another, which is
    not forwarded again.
    """

    rows: tuple[ReportRow, ...]
    from_control: bool = False
