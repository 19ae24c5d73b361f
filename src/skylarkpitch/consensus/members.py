"""Define identities and sets of members of the replicated log.

An identity is ``host/incarnation``. The incarnation is random and created
with the data folder, so a host that lost its disk has a new identity.
"""

from collections.abc import Iterable
import hashlib

import msgspec

from skylarkpitch import errors
from skylarkpitch.messages import consensus as messages

__all__ = [
    'MemberChangeError',
    'all_identities',
    'cluster_id_of',
    'decode',
    'encode',
    'find_identity',
    'host_of',
    'identity_of',
    'other_incarnations',
    'with_learner',
    'with_voter',
    'without',
]

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(messages.Members)


class MemberChangeError(errors.SkylarkError):
    """A change of the member set was refused."""

    reason = 'member_change_refused'


def identity_of(host: str, incarnation: str) -> str:
    """Return the identity for a host and an incarnation."""
    return f'{host}/{incarnation}'


def host_of(identity: str) -> str:
    """Return the host name in an identity."""
    return identity.rpartition('/')[0]


def cluster_id_of(founders: Iterable[str]) -> str:
    """Return the identifier of the cluster with these founders."""
    joined = '\n'.join(sorted(founders)).encode()
    return hashlib.sha256(joined).hexdigest()[:32]


def encode(members: messages.Members) -> bytes:
    """Encode members as the data of a ``MEMBERS`` entry."""
    return _encoder.encode(members)


def decode(data: bytes) -> messages.Members:
    """Decode the members in the data of a ``MEMBERS`` entry."""
    return _decoder.decode(data)


def all_identities(members: messages.Members) -> tuple[str, ...]:
    """Return the identities of all members, voters first."""
    return members.voters + members.learners


def find_identity(members: messages.Members, name: str) -> str:
    """Return the identity of the member with a host name or identity.

    Raises ``MemberChangeError`` when there is none, or more than one.
    """
    matches = [i for i in all_identities(members) if name in (i, host_of(i))]
    if not matches:
        raise MemberChangeError(
            f'{name} is not a member; see skylark members show'
        )
    if len(matches) > 1:
        raise MemberChangeError(
            f'{name} is a member as {", ".join(matches)}; specify one identity'
        )
    return matches[0]


def other_incarnations(members: messages.Members, identity: str) -> list[str]:
    """Return the members that are other incarnations of the same host."""
    host = host_of(identity)
    return [
        other
        for other in all_identities(members)
        if host_of(other) == host and other != identity
    ]


def with_learner(members: messages.Members, identity: str) -> messages.Members:
    """Return the member set with a learner added.

    Raises ``MemberChangeError`` when the identity is a member already.
    """
    if identity in all_identities(members):
        raise MemberChangeError(
            f'{identity} is a member already; no change is needed'
        )
    return messages.Members(
        voters=members.voters,
        learners=tuple(sorted((*members.learners, identity))),
    )


def with_voter(members: messages.Members, identity: str) -> messages.Members:
    """Return the member set with a learner promoted to voter.

    Raises ``MemberChangeError`` when the identity is not a learner.
    """
    if identity not in members.learners:
        raise MemberChangeError(
            f'{identity} is not a learner; add its host first'
        )
    return messages.Members(
        voters=tuple(sorted((*members.voters, identity))),
        learners=tuple(i for i in members.learners if i != identity),
    )


def without(members: messages.Members, identity: str) -> messages.Members:
    """Return the member set with a member removed.

    Raises ``MemberChangeError`` for an identity that is not a member and
    for the only voter.
    """
    if identity not in all_identities(members):
        raise MemberChangeError(
            f'{identity} is not a member; see skylark members show'
        )
    if members.voters == (identity,):
        raise MemberChangeError(
            f'{identity} is the only voter; add another voter first'
        )
    return messages.Members(
        voters=tuple(i for i in members.voters if i != identity),
        learners=tuple(i for i in members.learners if i != identity),
    )
