"""Define the messages between members of the replicated log.

``sender`` and ``to`` are identities, ``host/incarnation``; ``cluster`` is
the identifier of the founding voters. A member drops what is addressed to
another identity or comes from another cluster.
"""

import dataclasses
import enum

from skylarkpitch.messages import codec

__all__ = [
    'AppendRequest',
    'AppendResponse',
    'Entry',
    'EntryKind',
    'IntroductionRequest',
    'IntroductionResponse',
    'LeadershipTransfer',
    'Members',
    'SnapshotChunk',
    'SnapshotInfo',
    'SnapshotResponse',
    'VoteRequest',
    'VoteResponse',
]


class EntryKind(enum.IntEnum):
    """What an entry of the log holds."""

    NOOP = 0
    COMMAND = 1
    MEMBERS = 2


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Entry:
    """One entry of the log."""

    index: int
    term: int
    kind: EntryKind
    data: bytes = b''


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Members:
    """Identities that hold the log; only voters count in a quorum."""

    voters: tuple[str, ...] = ()
    learners: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SnapshotInfo:
    """Describe a snapshot: the last entry in it and the members then."""

    index: int
    term: int
    members: Members
    members_index: int
    size_bytes: int
    checksum: int


@codec.message('consensus.introduction_ask')
class IntroductionRequest:
    """Ask a host for its identity."""

    identity: str


@codec.message('consensus.introduction')
class IntroductionResponse:
    """Tell an identity, its cluster, and what would found one.

    ``cluster`` is empty while the member belongs to none. ``founders`` are
    the identities that founded the cluster, empty at a member that joined
    later. ``voters`` are the host names in the member's settings.
    """

    identity: str
    cluster: str
    founders: tuple[str, ...]
    voters: tuple[str, ...]


@codec.message('consensus.vote_ask')
class VoteRequest:
    """Ask for a vote, or with ``pre`` whether one would be granted."""

    cluster: str
    sender: str
    to: str
    term: int
    last_index: int
    last_term: int
    pre: bool
    transfer: bool = False


@codec.message('consensus.vote_answer')
class VoteResponse:
    """Grant or deny a vote."""

    cluster: str
    sender: str
    to: str
    term: int
    granted: bool
    pre: bool


@codec.message('consensus.append_ask')
class AppendRequest:
    """Hand over entries; without any it is a heartbeat.

    ``round`` numbers the leader's broadcasts within its term.
    """

    cluster: str
    sender: str
    to: str
    term: int
    previous_index: int
    previous_term: int
    commit_index: int
    round: int
    entries: tuple[Entry, ...] = ()


@codec.message('consensus.append_answer')
class AppendResponse:
    """Acknowledge entries up to ``index``, or refuse them.

    In a refusal ``index`` is the highest index that may still match.
    """

    cluster: str
    sender: str
    to: str
    term: int
    accepted: bool
    index: int
    round: int


@codec.message('consensus.snapshot_chunk')
class SnapshotChunk:
    """Hand over a part of a snapshot."""

    cluster: str
    sender: str
    to: str
    term: int
    round: int
    info: SnapshotInfo
    offset_bytes: int
    data: bytes = b''


@codec.message('consensus.snapshot_answer')
class SnapshotResponse:
    """Ask for the part of a snapshot that starts at an offset."""

    cluster: str
    sender: str
    to: str
    term: int
    round: int
    index: int
    next_offset_bytes: int


@codec.message('consensus.transfer')
class LeadershipTransfer:
    """Ask a voter to hold an election at once; its leader is stopping."""

    cluster: str
    sender: str
    to: str
    term: int
