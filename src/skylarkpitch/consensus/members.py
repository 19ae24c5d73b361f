"""Name members of the replicated log and change their set.

An identity is ``host/incarnation``. The incarnation is drawn when a data
folder is first used, so a host that lost its disk has a new identity.
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
    """A change of the member set is refused."""

    reason = 'member_change_refused'


def identity_of(host: str, incarnation: str) -> str:
    """Return the identity of an incarnation of a host."""
    return f'{host}/{incarnation}'


def host_of(identity: str) -> str:
    """Return the host of an identity."""
    return identity.rpartition('/')[0]


def cluster_id_of(founders: Iterable[str]) -> str:
    """Return the identifier of the cluster that the identities found."""
    joined = '\n'.join(sorted(founders)).encode()
    return hashlib.sha256(joined).hexdigest()[:32]


def encode(members: messages.Members) -> bytes:
    """Return the data of an entry that sets the members."""
    return _encoder.encode(members)


def decode(data: bytes) -> messages.Members:
    """Return the members in the data of an entry."""
    return _decoder.decode(data)


def all_identities(members: messages.Members) -> tuple[str, ...]:
    """Return voters and learners."""
    return members.voters + members.learners


def find_identity(members: messages.Members, name: str) -> str:
    """Return the member that a host name or an identity names.

    Raises ``MemberChangeError`` when none or several do.
    """
    found = [i for i in all_identities(members) if name in (i, host_of(i))]
    if not found:
        raise MemberChangeError(
            f'{name} is no member; see skylark members show'
        )
    if len(found) > 1:
        raise MemberChangeError(
            f'{name} is a member as {", ".join(found)}; name one of them'
        )
    return found[0]


def other_incarnations(members: messages.Members, identity: str) -> list[str]:
    """Return the members that are other incarnations of a host."""
    host = host_of(identity)
    return [
        other
        for other in all_identities(members)
        if host_of(other) == host and other != identity
    ]


def with_learner(members: messages.Members, identity: str) -> messages.Members:
    """Return the members and one more learner."""
    if identity in all_identities(members):
        raise MemberChangeError(
            f'{identity} is a member already; nothing is left to do'
        )
    return messages.Members(
        voters=members.voters,
        learners=tuple(sorted((*members.learners, identity))),
    )


def with_voter(members: messages.Members, identity: str) -> messages.Members:
    """Return the members with a learner promoted to voter."""
    if identity not in members.learners:
        raise MemberChangeError(
            f'{identity} is not a learner; add its host first'
        )
    return messages.Members(
        voters=tuple(sorted((*members.voters, identity))),
        learners=tuple(i for i in members.learners if i != identity),
    )


def without(members: messages.Members, identity: str) -> messages.Members:
    """Return the members without one of them."""
    if identity not in all_identities(members):
        raise MemberChangeError(
            f'{identity} is no member; see skylark members show'
        )
    if members.voters == (identity,):
        raise MemberChangeError(
            f'{identity} is the only voter; add another voter first'
        )
    return messages.Members(
        voters=tuple(i for i in members.voters if i != identity),
        learners=tuple(i for i in members.learners if i != identity),
    )
