"""Name the headers by which callers, entry hosts and upstreams speak."""

import dataclasses

__all__ = ['HeaderNames']


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class HeaderNames:
    """Header of each matter; a deployment may have names of its own.

    ``seal`` marks an answer that an upstream itself made. ``not_run`` is
    an upstream's word that it did not run the request. ``load`` holds the
    numbers of running requests, waiting requests and slots.
    """

    request_id: str = 'Skylark-Request-Id'
    deadline_ms: str = 'Skylark-Deadline-Ms'
    affinity: str = 'Skylark-Affinity'
    api_key: str = 'Skylark-Key'
    organisation: str = 'Skylark-Organisation'
    expected_upstream: str = 'Skylark-Expect-Upstream'
    seal: str = 'Skylark-Seal'
    not_run: str = 'Skylark-Not-Run'
    load: str = 'Skylark-Load'
    cold_ms: str = 'Skylark-Cold-Ms'
    retry_after: str = 'Retry-After'
