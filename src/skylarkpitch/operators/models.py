"""Request bodies of the operators' HTTP API.

The configuration is a base for all sites and one overlay per site, which
replaces parts of the base there.
"""

from typing import Any

import pydantic

__all__ = [
    'DrainBody',
    'IssueBody',
    'MemberBody',
    'OverlayBody',
    'PushBody',
    'StopHostBody',
    'WithdrawBody',
]


class _Change(pydantic.BaseModel):
    """Fields of every command for the replicated log.

    A command with an ``operation_id`` that was applied before is not applied
    again.
    """

    model_config = pydantic.ConfigDict(extra='forbid', frozen=True)

    operation_id: str = pydantic.Field(min_length=1, max_length=64)
    operator: str = pydantic.Field(default='unknown', max_length=64)


class PushBody(_Change):
    """Replace the base and every overlay.

    The push is rejected unless ``against_version`` is the current version of
    the configuration.
    """

    against_version: int = pydantic.Field(ge=0)
    base: dict[str, Any]
    overlays: dict[str, dict[str, Any]]


class OverlayBody(_Change):
    """Replace the overlay of one site.

    The push is rejected unless ``against_version`` is the current version of
    the configuration.
    """

    against_version: int = pydantic.Field(ge=0)
    site: str
    overlay: dict[str, Any]


class IssueBody(_Change):
    """Issue a key; its secret is not sent, only the salted hash."""

    key_id: str = pydantic.Field(min_length=1, max_length=64)
    organisation: str
    salt: str
    secret_hash: str


class WithdrawBody(_Change):
    """Withdraw a key."""

    key_id: str


class DrainBody(_Change):
    """Start or end the drain of an upstream."""

    upstream: str
    draining: bool = True


class StopHostBody(_Change):
    """Start the planned stop of an entry host, or undo it."""

    host: str
    leaving: bool = True


class MemberBody(pydantic.BaseModel):
    """Add or remove a member of the replicated log."""

    model_config = pydantic.ConfigDict(extra='forbid', frozen=True)

    host: str
    remove: bool = False
