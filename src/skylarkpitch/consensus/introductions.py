"""Request the identities of the other control hosts."""

import asyncio
from collections.abc import Iterable
import dataclasses

from skylarkpitch.consensus import bootstrap
from skylarkpitch.consensus import members as member_sets
from skylarkpitch.messages import consensus as messages
from skylarkpitch.peers import network
from skylarkpitch import sentinels

__all__ = ['Discovery', 'discover_founders', 'request_introduction']

INTRODUCTION_TIMEOUT_S = 1.0


async def request_introduction(
    peers: network.Peers, host: str, *, identity: str
) -> messages.IntroductionResponse | sentinels.Absent:
    """Request the introduction of a host.

    Returns ``Absent`` when the host does not respond, or with the reason
    ``identity_of_other_host`` when the response names another host.
    """
    request = messages.IntroductionRequest(identity=identity)
    response = await peers.request(
        host, request, timeout_s=INTRODUCTION_TIMEOUT_S
    )
    if sentinels.is_absent(response):
        return response
    if member_sets.host_of(response.identity) != host:
        return sentinels.Absent('identity_of_other_host', response.identity)
    return response


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Discovery:
    """Founders of a member's cluster, or why there are none yet.

    ``responded`` are the hosts that did, and ``emptied`` those of them that
    have lost their disks.
    """

    founders: tuple[str, ...] | sentinels.Absent
    responded: frozenset[str]
    emptied: frozenset[str]


async def discover_founders(
    peers: network.Peers,
    *,
    identity: str,
    voters: Iterable[str],
    may_bootstrap: bool = True,
    given_up: str = '',
) -> Discovery:
    """Discover the founders of this member's cluster.

    Requests the introductions of all known control hosts and voters at once
    and applies :func:`bootstrap.decide_founders`.
    """
    local_host = peers.directory.local_host.name
    control_hosts = {
        host.name for host in peers.directory.with_role('control')
    }
    hosts = sorted((control_hosts | set(voters)) - {local_host})
    responses = await asyncio.gather(
        *(
            request_introduction(peers, host, identity=identity)
            for host in hosts
        )
    )
    introductions = {
        host: response
        for host, response in zip(hosts, responses, strict=True)
        if not sentinels.is_absent(response)
    }
    founders = bootstrap.decide_founders(
        identity=identity,
        voters=voters,
        may_bootstrap=may_bootstrap,
        control_hosts=hosts,
        introductions=introductions,
        given_up=given_up,
    )
    return Discovery(
        founders=founders,
        responded=frozenset(introductions),
        emptied=frozenset(
            host
            for host, item in introductions.items()
            if not item.may_bootstrap
        ),
    )
