"""Name the headers by which callers, entry hosts and upstreams speak."""

import dataclasses

__all__ = ['HeaderNames']


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class HeaderNames:
    """Header of each matter; a deployment may have names of its own.

    ``seal`` marks an answer that an upstream itself made. ``not_run`` is
    an upstream's word that it did not run the request. ``load`` holds the
    numbers of running requests, waiting requests and slots. None of them
    may begin with ``Skylark-``: such headers stay between our hosts.
    """

    request_id: str = 'Request-Id'
    deadline_ms: str = 'Request-Deadline-Ms'
    affinity: str = 'Request-Object'
    api_key: str = 'Request-Key'
    organisation: str = 'Request-Organisation'
    expected_upstream: str = 'Expect-Upstream'
    seal: str = 'Answer-Seal'
    not_run: str = 'Answer-Not-Run'
    load: str = 'Upstream-Load'
    cold_ms: str = 'Upstream-Cold-Ms'
    retry_after: str = 'Retry-After'
