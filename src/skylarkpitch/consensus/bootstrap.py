"""Decide when the voters of the settings found a cluster.

A cluster is founded once. The host whose name sorts first among the voters
fixes the set, and only after every voter and every other control host that
it knows has answered that it belongs to no cluster. A host with a wiped
disk therefore hears of the cluster from the others and founds nothing.
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
    answers: Mapping[str, messages.IntroductionResponse],
    may_bootstrap: bool = True,
) -> tuple[str, ...] | sentinels.Absent:
    """Return the founders, or why there are none yet.

    ``voters`` are the host names of the settings, ``control_hosts`` every
    other control host that is known, and ``answers`` the introductions by
    host, each asked for by this identity. ``Absent`` reasons:
    ``cluster_exists``, ``settings_differ``, ``hosts_missing``,
    ``waiting_for_founder`` and, for a host that ``may_bootstrap`` none,
    ``not_first_start``.
    """
    voters = tuple(sorted(voters))
    own = members.host_of(identity)
    for answer in answers.values():
        if identity in answer.founders:
            return answer.founders
    joined = sorted(host for host, item in answers.items() if item.cluster)
    if joined:
        return sentinels.Absent('cluster_exists', ', '.join(joined))
    if not may_bootstrap:
        return sentinels.Absent('not_first_start')
    if own not in voters or own != voters[0]:
        return sentinels.Absent('waiting_for_founder', voters[0])
    missing = (set(voters) | set(control_hosts)) - set(answers) - {own}
    if missing:
        return sentinels.Absent('hosts_missing', ', '.join(sorted(missing)))
    for host, answer in sorted(answers.items()):
        if host in voters and tuple(sorted(answer.voters)) != voters:
            return sentinels.Absent('settings_differ', host)
    others = [answers[host].identity for host in voters if host != own]
    return tuple(sorted([identity, *others]))
