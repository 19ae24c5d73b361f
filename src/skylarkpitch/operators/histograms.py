"""Collect the latency histograms of all entry hosts."""

import asyncio

from skylarkpitch.messages import codec
from skylarkpitch.peers import network
from skylarkpitch import sentinels

__all__ = ['HistogramAnswer', 'HistogramQuestion', 'collect']

COLLECT_TIMEOUT_S = 2.0


@codec.message('hosts.histogram_question')
class HistogramQuestion:
    """Ask an entry host for its latency histograms."""


@codec.message('hosts.histogram_answer')
class HistogramAnswer:
    """Histograms by ``organisation/class``, as the library encodes them."""

    encoded: dict[str, str]


async def collect(peers: network.Peers) -> dict[str, dict[str, str]]:
    """Return the histograms of each entry host that answered in time."""
    names = [host.name for host in peers.directory.with_role('entry')]
    answers = await asyncio.gather(
        *(
            peers.ask(name, HistogramQuestion(), timeout_s=COLLECT_TIMEOUT_S)
            for name in names
        )
    )
    return {
        name: answer.encoded
        for name, answer in zip(names, answers, strict=True)
        if not sentinels.is_absent(answer)
    }
