"""Names of the headers between callers, entry hosts and upstreams."""

import dataclasses

__all__ = ['HeaderNames']


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class HeaderNames:
    """Header names, which a deployment may replace.

    ``affinity`` carries the affinity key. ``expected_upstream`` names the
    upstream that a request is meant for. ``seal`` marks a response as made
    by the upstream itself rather than by an intermediary. ``not_run``
    states that the upstream did not run the request. ``load`` holds the
    numbers of running requests, waiting requests and slots.

    No name may begin with ``Skylark-``: such headers are removed from the
    messages of callers and upstreams.
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
