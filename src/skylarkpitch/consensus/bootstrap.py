"""Decide when the voters in the settings bootstrap a cluster.

A cluster is bootstrapped once. The voter whose host name sorts first decides
on the founders, and only after every other voter and every other known
control host has responded that it belongs to no cluster. A host that lost its
disk therefore learns of the existing cluster from the others and does not
bootstrap a second one.

If the first voter itself has lost its disk, it may have decided before. The
next voter then decides in its place, once all others say that they have heard
its new identity and belong to no cluster: from then on none of them can join
a cluster that the old identity decided on. Its founders are therefore at most
one host, and it never had a quorum.
"""

from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence

from skylarkpitch.consensus import members
from skylarkpitch.messages import consensus as messages
from skylarkpitch import sentinels

__all__ = ['decide_founders']


def decide_founders(
    *,
    identity: str,
    voters: Iterable[str],
    control_hosts: Iterable[str],
    introductions: Mapping[str, messages.IntroductionResponse],
    may_bootstrap: bool = True,
) -> tuple[str, ...] | sentinels.Absent:
    """Return the identities of the founders, or why there are none yet.

    ``voters`` are the host names in the settings, ``control_hosts`` every
    other known control host, and ``introductions`` the responses to this
    identity by host. ``Absent`` reasons: ``cluster_exists``,
    ``settings_differ``, ``hosts_missing``, ``waiting_for_founder`` and,
    without ``may_bootstrap``, ``not_first_start``; and
    ``identity_not_heard`` while a voter may still join the cluster of a host
    that has lost its disk.
    """
    voters = tuple(sorted(voters))
    local_host = members.host_of(identity)
    for item in introductions.values():
        if identity in item.founders:
            return item.founders
    joined = sorted(
        host for host, item in introductions.items() if item.cluster
    )
    if joined:
        return sentinels.Absent('cluster_exists', ', '.join(joined))
    if not may_bootstrap:
        return sentinels.Absent('not_first_start')
    founder = _founder(voters, introductions)
    if local_host != founder:
        return sentinels.Absent('waiting_for_founder', founder)
    missing = (
        (set(voters) | set(control_hosts)) - set(introductions) - {local_host}
    )
    if missing:
        return sentinels.Absent('hosts_missing', ', '.join(sorted(missing)))
    for host, item in sorted(introductions.items()):
        if host in voters and tuple(sorted(item.voters)) != voters:
            return sentinels.Absent('settings_differ', host)
    unheard = _voter_that_has_not_heard(
        voters[: voters.index(local_host)], introductions
    )
    if unheard:
        return sentinels.Absent('identity_not_heard', unheard)
    others = [
        introductions[host].identity for host in voters if host != local_host
    ]
    return tuple(sorted([identity, *others]))


def _founder(
    voters: Sequence[str],
    introductions: Mapping[str, messages.IntroductionResponse],
) -> str:
    """Return the first voter that is not known to have lost its disk."""
    for host in voters:
        item = introductions.get(host)
        if item is None or item.may_bootstrap:
            return host
    return voters[0]


def _voter_that_has_not_heard(
    lost: Iterable[str],
    introductions: Mapping[str, messages.IntroductionResponse],
) -> str | None:
    """Return a voter that has not heard the identity of a lost host."""
    for lost_host in lost:
        identity = introductions[lost_host].identity
        for host, item in introductions.items():
            if host != lost_host and item.heard.get(lost_host) != identity:
                return host
    return None
