"""Decide when a request for the state is answered, and build the response.

Control hosts use the same rules as entry hosts that pass the state on.
``sites`` are the sites whose parts the responding host stores, or None when it
stores those of every site.
"""

from collections.abc import Collection

from skylarkpitch.config import parts
from skylarkpitch.dissemination import freshness
from skylarkpitch.messages import dissemination as messages

__all__ = [
    'MIN_PROOF_GAIN_S',
    'build_response',
    'covers_sites',
    'has_updates',
]

MIN_PROOF_GAIN_S = 0.2


def covers_sites(
    request: messages.StateRequest, sites: Collection[str] | None
) -> bool:
    """Return whether all sites of a request are stored."""
    if sites is None or not request.wants_parts:
        return True
    return all(site in sites for site in request.sites)


def has_updates(
    request: messages.StateRequest,
    *,
    store: parts.PartStore,
    sites: Collection[str] | None,
    proven_at_s: float,
    received_at_s: float,
) -> bool:
    """Return whether a response now would bring parts or a newer proof.

    A proof that is newer by less than ``MIN_PROOF_GAIN_S`` doesn't count.
    ``proven_at_s`` is the time at which the stored state was proven current,
    and ``received_at_s`` that at which the request arrived.
    """
    if not covers_sites(request, sites):
        return False
    if request.wants_parts and _is_missing_parts(request, store):
        return True
    requester_proven_at_s = freshness.NEVER_S
    if request.age_s >= 0:
        requester_proven_at_s = received_at_s - request.age_s
    return proven_at_s > requester_proven_at_s + MIN_PROOF_GAIN_S


def build_response(
    request: messages.StateRequest,
    *,
    store: parts.PartStore,
    proven_at_s: float,
    received_at_s: float,
    now_s: float,
) -> messages.StateResponse:
    """Return the response to a request received at ``received_at_s``."""
    is_missing = request.wants_parts and _is_missing_parts(request, store)
    whole = is_missing and _needs_full_state(request, store)
    rows: tuple[parts.Row, ...] = ()
    if whole:
        no_versions = dict.fromkeys(request.sites, messages.NO_VERSION)
        rows = store.rows_since(0, no_versions)
    elif is_missing:
        rows = store.rows_since(request.version, request.sites)
    is_proven = proven_at_s > freshness.NEVER_S
    return messages.StateResponse(
        version=store.version,
        age_s=now_s - proven_at_s if is_proven else messages.UNPROVEN_S,
        held_s=now_s - received_at_s,
        digest=store.digest(request.sites),
        whole=whole,
        rows=rows,
    )


def _is_missing_parts(
    request: messages.StateRequest, store: parts.PartStore
) -> bool:
    if request.version < store.version:
        return True
    versions = (request.version, *request.sites.values())
    return messages.NO_VERSION in versions


def _needs_full_state(
    request: messages.StateRequest, store: parts.PartStore
) -> bool:
    return request.version <= 0 or request.version < store.floor_version
