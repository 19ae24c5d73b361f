"""Define the messages between members of the replicated log.

``sender`` and ``to`` are identities, ``host/incarnation``; ``cluster`` is
an identifier derived from the founders. A member drops messages that are
addressed to another identity or come from another cluster.
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
    """Kind of an entry of the log."""

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
    """Identities of the members; only voters count in a quorum."""

    voters: tuple[str, ...] = ()
    learners: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SnapshotInfo:
    """Description of a snapshot.

    ``index`` and ``term`` are those of the last entry that it covers, and
    ``members`` the member set at that index, set by the entry
    ``members_index``. ``checksum`` is the CRC-32 of the data.
    """

    index: int
    term: int
    members: Members
    members_index: int
    size_bytes: int
    checksum: int


@codec.message('consensus.introduction_ask')
class IntroductionRequest:
    """Request the identity of a host."""

    identity: str


@codec.message('consensus.introduction')
class IntroductionResponse:
    """Identity and cluster of a member, and the voters in its settings.

    ``cluster`` is empty while the member belongs to none. ``founders`` are
    the identities that bootstrapped the cluster, empty for a member that
    joined later. ``voters`` are host names. ``may_bootstrap`` is False for a
    host that has lost its disk. ``given_up`` is the voter without which it
    would bootstrap a cluster, empty if there is none.
    """

    identity: str
    cluster: str
    founders: tuple[str, ...]
    voters: tuple[str, ...]
    may_bootstrap: bool = True
    given_up: str = ''


@codec.message('consensus.vote_ask')
class VoteRequest:
    """Request a vote, or with ``pre`` a pre-vote.

    With ``transfer``, the leader itself requested the election, so a recent
    contact with that leader is no reason to deny the vote.
    """

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
    """Grant or deny a vote or a pre-vote."""

    cluster: str
    sender: str
    to: str
    term: int
    granted: bool
    pre: bool


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Stamp:
    """Time at which a process sent a message, by its own monotonic clock.

    ``process`` is a random number of the process.
    """

    process: int
    sent_s: float


@codec.message('consensus.append_ask')
class AppendRequest:
    """Send entries to a member; without entries, a heartbeat.

    ``round`` is the number of the leader's broadcast within its term, and
    ``echo`` the stamp of the member's last response, by which the member
    knows how old this message is at most. A leader that ``echoes`` sends
    none without recent contact to a quorum.
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
    echo: Stamp | None = None
    echoes: bool = False


@codec.message('consensus.append_answer')
class AppendResponse:
    """Acknowledge entries up to ``index``, or refuse them.

    In a refusal, ``index`` is the highest index that may still match.
    """

    cluster: str
    sender: str
    to: str
    term: int
    accepted: bool
    index: int
    round: int
    stamp: Stamp | None = None


@codec.message('consensus.snapshot_chunk')
class SnapshotChunk:
    """Send a chunk of a snapshot to a member."""

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
    """Request the chunk of a snapshot that starts at an offset."""

    cluster: str
    sender: str
    to: str
    term: int
    round: int
    index: int
    next_offset_bytes: int


@codec.message('consensus.transfer')
class LeadershipTransfer:
    """Request an immediate election at a voter; the leader is stopping."""

    cluster: str
    sender: str
    to: str
    term: int
