"""Ask other control hosts who they are."""

import asyncio
from collections.abc import Iterable

from skylarkpitch.consensus import bootstrap
from skylarkpitch.consensus import members as member_sets
from skylarkpitch.messages import consensus as messages
from skylarkpitch.peers import network
from skylarkpitch import sentinels

__all__ = ['discover_founders', 'request_introduction']

INTRODUCTION_TIMEOUT_S = 1.0


async def request_introduction(
    peers: network.Peers, host: str, *, identity: str
) -> messages.IntroductionResponse | sentinels.Absent:
    """Return a host's introduction, or why there is none."""
    question = messages.IntroductionRequest(identity=identity)
    answer = await peers.ask(host, question, timeout_s=INTRODUCTION_TIMEOUT_S)
    if sentinels.is_absent(answer):
        return answer
    if member_sets.host_of(answer.identity) != host:
        return sentinels.Absent('identity_of_other_host', answer.identity)
    return answer


async def discover_founders(
    peers: network.Peers,
    *,
    identity: str,
    voters: Iterable[str],
    may_bootstrap: bool = True,
) -> tuple[str, ...] | sentinels.Absent:
    """Return founders to join or to found with; see :mod:`bootstrap`."""
    own = peers.directory.own.name
    control = {host.name for host in peers.directory.with_role('control')}
    hosts = sorted((control | set(voters)) - {own})
    answers = await asyncio.gather(
        *(
            request_introduction(peers, host, identity=identity)
            for host in hosts
        )
    )
    return bootstrap.decide_founders(
        identity=identity,
        voters=voters,
        may_bootstrap=may_bootstrap,
        control_hosts=hosts,
        answers={
            host: answer
            for host, answer in zip(hosts, answers, strict=True)
            if not sentinels.is_absent(answer)
        },
    )
