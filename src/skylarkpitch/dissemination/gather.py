"""Find the newest state within a cut-off failure domain."""

import asyncio

from skylarkpitch.messages import dissemination as messages
from skylarkpitch.peers import network
from skylarkpitch import sentinels

__all__ = ['newest_neighbour']


async def newest_neighbour(
    *,
    peers: network.Peers,
    question: messages.StateQuestion,
    timeout_s: float,
) -> tuple[str, int] | None:
    """Return the neighbour that holds the newest state, and its version.

    Every other entry host of the failure domain is asked. Returns None
    unless all of them answer, since the silent one may hold a newer state,
    and when none holds any.
    """
    own = peers.directory.local_host
    neighbours = [
        host.name
        for host in peers.directory.in_failure_domain(own.failure_domain)
        if host.name != own.name
    ]
    answers = await asyncio.gather(
        *(
            peers.request(name, question, timeout_s=timeout_s)
            for name in neighbours
        )
    )
    if any(isinstance(answer, sentinels.Absent) for answer in answers):
        return None
    found = [
        (answer.version, name)
        for answer, name in zip(answers, neighbours, strict=True)
        if answer.version > 0
    ]
    if not found:
        return None
    version, name = max(found)
    return name, version
