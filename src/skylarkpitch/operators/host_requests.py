"""Request the current status and histograms of the entry hosts.

The reports that hosts send with their requests for the configuration are
small and up to 30 s old; operators need current free slots and latencies.
"""

import asyncio
from typing import Any

from skylarkpitch.messages import codec
from skylarkpitch.peers import network
from skylarkpitch import sentinels

__all__ = [
    'HistogramRequest',
    'HistogramResponse',
    'StatusRequest',
    'StatusResponse',
    'query_entry_hosts',
]

REQUEST_TIMEOUT_S = 2.0
MAX_CONCURRENT_REQUESTS = 200


@codec.message('hosts.histogram_question')
class HistogramRequest:
    """Request the latency histograms of an entry host."""


@codec.message('hosts.histogram_answer')
class HistogramResponse:
    """Latency histograms of an entry host.

    ``encoded`` has each by ``organisation/class``, in the encoding of
    HdrHistogram.
    """

    encoded: dict[str, str]


@codec.message('hosts.status_question')
class StatusRequest:
    """Request the status of an entry host."""


@codec.message('hosts.status_answer')
class StatusResponse:
    """Counters, latencies, organisations and upstreams of an entry host."""

    status: dict[str, Any]


async def query_entry_hosts(
    peers: network.Peers, message: object
) -> dict[str, Any]:
    """Send a message to every entry host and return the responses by host.

    Hosts that do not respond within ``REQUEST_TIMEOUT_S`` are left out.
    """
    names = [host.name for host in peers.directory.with_role('entry')]
    concurrency = asyncio.Semaphore(MAX_CONCURRENT_REQUESTS)

    async def request(name: str) -> Any:
        async with concurrency:
            return await peers.ask(name, message, timeout_s=REQUEST_TIMEOUT_S)

    responses = await asyncio.gather(*map(request, names))
    return {
        name: response
        for name, response in zip(names, responses, strict=True)
        if not sentinels.is_absent(response)
    }
