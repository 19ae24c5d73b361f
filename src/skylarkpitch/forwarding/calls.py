"""State of one request of a caller while it is handled."""

import dataclasses

from aiohttp import web

from skylarkpitch.fleet import model
from skylarkpitch.forwarding import candidates

__all__ = ['Call']


@dataclasses.dataclass(slots=True, kw_only=True)
class Call:
    """Request of a caller with its route, limits and progress.

    ``deadline_s`` and ``started_s`` are times of the monotonic clock.
    ``tried`` lists the upstreams that the request was sent to.
    ``connect_failures`` counts connections that could not be made,
    ``exchanges`` the times that the request was sent. ``may_have_run`` is
    set once an upstream may have run it. ``queued_s`` is the total time in
    queues, and ``sent_s`` when it was sent last. ``body`` is a list of
    blocks, for which ``held_bytes`` are taken from the budget of the host.
    ``fingerprint`` is the same
    for repetitions of a request. Of queued requests, the lowest ``rank`` is
    served first. ``candidate`` is what the last upstream in ``tried`` was
    selected by.
    """

    request: web.BaseRequest
    started_s: float
    deadline_s: float
    request_id: str | None
    route: model.Route | None = None
    organisation: model.Organisation | None = None
    service: str = ''
    body: list[bytearray] = dataclasses.field(default_factory=list)
    held_bytes: int = 0
    fingerprint: bytes = b''
    rank: int = 0
    tried: list[str] = dataclasses.field(default_factory=list)
    connect_failures: int = 0
    exchanges: int = 0
    may_have_run: bool = False
    queued_s: float = 0.0
    sent_s: float = 0.0
    candidate: candidates.Candidate | None = None

    @property
    def target(self) -> str:
        """Return the path and query exactly as the caller sent them."""
        return self.request.raw_path
