"""Decide when the voters in the settings bootstrap a cluster.

A cluster is bootstrapped once. Only the voter whose host name sorts first
decides on the founders, and only after every other voter and every other
known control host has responded that it belongs to no cluster. A host that
lost its disk therefore learns of the existing cluster from the others and
does not bootstrap a second one.
"""

from collections.abc import Iterable
from collections.abc import Mapping

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
    without ``may_bootstrap``, ``not_first_start``.
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
    if local_host not in voters or local_host != voters[0]:
        return sentinels.Absent('waiting_for_founder', voters[0])
    missing = (
        (set(voters) | set(control_hosts)) - set(introductions) - {local_host}
    )
    if missing:
        return sentinels.Absent('hosts_missing', ', '.join(sorted(missing)))
    for host, item in sorted(introductions.items()):
        if host in voters and tuple(sorted(item.voters)) != voters:
            return sentinels.Absent('settings_differ', host)
    others = [
        introductions[host].identity for host in voters if host != local_host
    ]
    return tuple(sorted([identity, *others]))
