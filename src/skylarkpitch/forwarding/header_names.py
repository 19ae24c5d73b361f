"""Names of the headers between callers, entry hosts and upstreams."""

import dataclasses

__all__ = ['HeaderNames']


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class HeaderNames:
    """Header names, which a deployment may replace.

    Callers send ``request_id``, which a response must repeat, the time to
    their deadline in ``deadline_ms``, ``api_key``, and the ``affinity`` key
    of the data that upstreams cache for the request. Entry hosts replace
    the API key by ``organisation`` and add ``expected_upstream``, the id of
    the upstream that they send the request to.

    Upstreams send ``seal``, which marks a response as made by the upstream
    itself rather than by an intermediary, ``not_run`` if they did not run
    the request, and ``load``, the numbers of running requests, waiting
    requests and slots. ``cold_ms`` is not read. Upstreams may also send
    ``max_rate``, the requests a second that they take from all entry hosts
    together, ``leaving`` with the value 1 before they stop, and with status
    503 ``retry_after``, the seconds for which they want no request of this
    host. Refusals carry ``retry_after`` in seconds, too.

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
    max_rate: str = 'Upstream-Max-Rate'
    leaving: str = 'Upstream-Leaving'
