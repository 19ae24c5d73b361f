"""Ask entry hosts for what operators want to see right now.

The reports that travel with the configuration are small and up to half a
minute old; an operator who looks at room or latencies wants the present.
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
    """Ask an entry host for its latency histograms."""


@codec.message('hosts.histogram_answer')
class HistogramResponse:
    """Histograms by ``organisation/class``, as the library encodes them."""

    encoded: dict[str, str]


@codec.message('hosts.status_question')
class StatusRequest:
    """Ask an entry host for its status."""


@codec.message('hosts.status_answer')
class StatusResponse:
    """Counters, latencies, organisations and upstreams of a host."""

    status: dict[str, Any]


async def query_entry_hosts(
    peers: network.Peers, question: object
) -> dict[str, Any]:
    """Return the answers of the entry hosts that answered in time."""
    names = [host.name for host in peers.directory.with_role('entry')]
    gate = asyncio.Semaphore(MAX_CONCURRENT_REQUESTS)

    async def ask(name: str) -> Any:
        async with gate:
            return await peers.ask(name, question, timeout_s=REQUEST_TIMEOUT_S)

    answers = await asyncio.gather(*map(ask, names))
    return {
        name: answer
        for name, answer in zip(names, answers, strict=True)
        if not sentinels.is_absent(answer)
    }
