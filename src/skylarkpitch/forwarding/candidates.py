"""Define what a request requires of an upstream, and one that it could use."""

import dataclasses

from skylarkpitch.forwarding import upstream_load

__all__ = ['Candidate', 'SelectionCriteria']


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SelectionCriteria:
    """What a request requires of an upstream.

    ``affinity_key`` identifies the data that upstreams cache for the
    request, if any. ``homes`` are the regions that may run it; None allows
    all. ``excluded`` are the upstreams that it was sent to before.
    """

    service: str
    route: str
    affinity_key: str | None
    homes: frozenset[str] | None
    objective_s: float
    excluded: frozenset[str] = frozenset()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Candidate:
    """An upstream that a request could use.

    ``expected_s`` is how long the upstream should work on the request.
    ``is_preferred`` is set for the upstreams that rendezvous hashing assigns
    to the affinity key, ``is_warm`` for one that should have the data of the
    key cached now.
    """

    load: upstream_load.UpstreamLoad
    expected_s: float
    is_preferred: bool
    is_warm: bool
