"""Decide when the voters in the settings bootstrap a cluster.

A cluster is bootstrapped once. The voter whose host name sorts first decides
on the founders, and only after every other voter and every other known
control host has responded that it belongs to no cluster. A host that lost its
disk therefore learns of the existing cluster from the others and does not
bootstrap a second one.

A voter may be gone for good, or have lost its disk, before the cluster exists.
The others found one without it once all of them have given it up. It may have
decided before, so that there can be several sets of founders. But all founders
are voters that still have the disk of their first start; a quorum of any
founders is a majority of all voters; and each voter joins one cluster at most.
So any two quorums have a voter in common, and only one cluster ever has a
quorum. That limits the voters that are left out to one, of an odd number.

Why an identity of after a lost disk is no founder: its host may have been in
the quorum of another cluster before, so that the quorums have none in common.
"""

from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence

from skylarkpitch.consensus import members
from skylarkpitch.consensus import rules
from skylarkpitch.messages import consensus as messages
from skylarkpitch import sentinels

__all__ = ['decide_founders', 'may_leave_out_one']


def decide_founders(
    *,
    identity: str,
    voters: Iterable[str],
    control_hosts: Iterable[str],
    introductions: Mapping[str, messages.IntroductionResponse],
    may_bootstrap: bool = True,
    given_up: str = '',
) -> tuple[str, ...] | sentinels.Absent:
    """Return the identities of the founders, or why there are none yet.

    ``voters`` are the host names in the settings, ``control_hosts`` every
    other known control host, and ``introductions`` the responses to this
    identity by host. ``given_up`` is a voter to found the cluster without,
    empty for none. ``Absent`` reasons: ``cluster_exists``,
    ``settings_differ``, ``hosts_missing``, ``waiting_for_founder`` and,
    without ``may_bootstrap``, ``not_first_start``; ``disk_lost`` of a voter
    that is not given up yet; and ``voter_not_given_up`` while the others do
    not agree, or the given-up one is back.
    """
    voters = tuple(sorted(voters))
    local_host = members.host_of(identity)
    for host, item in introductions.items():
        # The others may be about to found a cluster without that host.
        if identity in item.founders and host != given_up:
            return item.founders
    joined = sorted(
        host for host, item in introductions.items() if item.cluster
    )
    if joined:
        return sentinels.Absent('cluster_exists', ', '.join(joined))
    if not may_bootstrap:
        return sentinels.Absent('not_first_start')
    founding = tuple(host for host in voters if host != given_up)
    if local_host != founding[0]:
        return sentinels.Absent('waiting_for_founder', founding[0])
    missing = (
        (set(founding) | set(control_hosts))
        - set(introductions)
        - {local_host, given_up}
    )
    if missing:
        return sentinels.Absent('hosts_missing', ', '.join(sorted(missing)))
    objection = _objection(voters, introductions, given_up)
    if objection is not None:
        return objection
    others = (introductions[host].identity for host in founding[1:])
    return tuple(sorted([identity, *others]))


def may_leave_out_one(voter_count: int) -> bool:
    """Return whether one voter may be left out of the founders.

    A quorum of the founders has to be a majority of all voters.
    """
    majority = rules.majority(range(voter_count))
    return voter_count > 1 and (
        rules.majority(range(voter_count - 1)) >= majority
    )


def _objection(
    voters: Sequence[str],
    introductions: Mapping[str, messages.IntroductionResponse],
    given_up: str,
) -> sentinels.Absent | None:
    """Return why the voters that responded cannot be founders, or None."""
    if given_up and not may_leave_out_one(len(voters)):
        return sentinels.Absent('voter_not_given_up', given_up)
    for host in voters:
        item = introductions.get(host)
        if item is None:
            continue
        if tuple(sorted(item.voters)) != voters:
            return sentinels.Absent('settings_differ', host)
        if host != given_up and not item.may_bootstrap:
            return sentinels.Absent('disk_lost', host)
        if given_up and not _agrees(host, item, given_up):
            return sentinels.Absent('voter_not_given_up', host)
    return None


def _agrees(
    host: str, item: messages.IntroductionResponse, given_up: str
) -> bool:
    """Return whether a voter is given up as far as a host shows.

    It is not if it responds itself and still has its disk.
    """
    if host == given_up:
        return not item.may_bootstrap
    return item.given_up == given_up
