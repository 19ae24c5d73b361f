"""Find the newest state in a failure domain that is cut off from control."""

import asyncio

from skylarkpitch.messages import dissemination as messages
from skylarkpitch.peers import network
from skylarkpitch import sentinels

__all__ = ['newest_neighbour']


async def newest_neighbour(
    *,
    peers: network.Peers,
    request: messages.StateRequest,
    timeout_s: float,
) -> tuple[str, int] | None:
    """Return the neighbour with the newest state, and its version.

    Every other entry host of the failure domain receives ``request``. Returns
    None unless all of them respond, since one that doesn't may have a newer
    state, and when none has any.
    """
    local_host = peers.directory.local_host
    neighbours = [
        host.name
        for host in peers.directory.in_failure_domain(
            local_host.failure_domain
        )
        if host.name != local_host.name
    ]
    responses = await asyncio.gather(
        *(
            peers.request(name, request, timeout_s=timeout_s)
            for name in neighbours
        )
    )
    if any(isinstance(response, sentinels.Absent) for response in responses):
        return None
    with_state = [
        (response.version, name)
        for response, name in zip(responses, neighbours, strict=True)
        if response.version > 0
    ]
    if not with_state:
        return None
    version, name = max(with_state)
    return name, version
