"""Define the state of a member of the replicated log and its outputs.

The state has no I/O or clock; its random generator is passed in. The
modules ``election``, ``replication``, ``membership`` and ``reads`` change
it, and :mod:`core` is their common interface.
"""

import dataclasses
import enum
import random

from skylarkpitch.consensus import entries
from skylarkpitch.consensus import members as member_sets
from skylarkpitch.messages import consensus as messages

__all__ = [
    'HardState',
    'IncomingSnapshot',
    'Output',
    'Progress',
    'Read',
    'Rebase',
    'Role',
    'State',
    'Timing',
    'Write',
]

NEVER_S = float('-inf')
# Random share of an election turn. Members whose terms differ may compute the
# same turn; the jitter still separates their timeouts.
TURN_JITTER = 0.25


class Role(enum.StrEnum):
    """Role of a member in its current term."""

    UNJOINED = 'unjoined'
    FOLLOWER = 'follower'
    PRE_CANDIDATE = 'pre_candidate'
    CANDIDATE = 'candidate'
    LEADER = 'leader'


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Timing:
    """Intervals of the protocol, in seconds.

    An election timeout lies between ``election_min_s`` and
    ``election_max_s``. A leader without contact to a quorum for
    ``election_min_s`` steps down.
    """

    heartbeat_s: float = 0.1
    election_min_s: float = 0.5
    election_max_s: float = 1.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class HardState:
    """State that must be durable before a message of its term is sent.

    ``commit_index`` is only a lower bound of the committed index.
    """

    term: int = 0
    vote: str | None = None
    commit_index: int = 0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Write:
    """Data to make durable, in the order of the fields.

    ``entries`` replace every earlier entry from the index of the first on.
    """

    cluster: str | None = None
    founders: tuple[str, ...] = ()
    snapshot: messages.SnapshotInfo | None = None
    snapshot_data: bytes = b''
    hard_state: HardState | None = None
    entries: tuple[messages.Entry, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Rebase:
    """Content of a journal that requires a saved snapshot."""

    base_index: int
    base_term: int
    snapshot_index: int
    hard_state: HardState
    entries: tuple[messages.Entry, ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Output:
    """Actions that the caller of the core must perform.

    The order is: send ``before_write``, make ``write`` durable, call
    ``Core.on_persisted`` if there was a write, send ``after_write``. The
    messages are those of ``messages.consensus``; the caller fills in the
    data of a ``SnapshotChunk`` and the stamp of an ``AppendResponse``
    before it sends it.
    """

    before_write: tuple[object, ...] = ()
    write: Write | None = None
    after_write: tuple[object, ...] = ()

    def __bool__(self) -> bool:
        return bool(self.before_write or self.write or self.after_write)


@dataclasses.dataclass(slots=True, kw_only=True)
class Progress:
    """Replication progress of one other member, from the leader's view.

    While ``probing``, the leader looks for the last matching entry and
    sends small requests. ``contact_s`` is the time at which the last round
    that the member responded to was sent, and ``echo`` the stamp of its last
    response. Times are monotonic, in seconds.
    """

    next_index: int
    contact_s: float
    probing: bool = True
    match_index: int = 0
    acked_round: int = 0
    snapshot: messages.SnapshotInfo | None = None
    snapshot_offset_bytes: int = 0
    snapshot_sent_s: float = NEVER_S
    echo: messages.Stamp | None = None


@dataclasses.dataclass(slots=True, kw_only=True)
class IncomingSnapshot:
    """Data of a snapshot that was received so far."""

    info: messages.SnapshotInfo
    data: bytearray = dataclasses.field(default_factory=bytearray)


@dataclasses.dataclass(slots=True, kw_only=True)
class Read:
    """A request to confirm that the committed state is current.

    ``round`` is 0 until the read is assigned to a round of heartbeats.
    ``sent_s`` is the monotonic time in seconds at which that round was sent,
    and ``index`` the commit index at that time.
    """

    token: object
    round: int = 0
    sent_s: float = NEVER_S
    index: int = 0


@dataclasses.dataclass(slots=True, kw_only=True)
class State:
    """Complete state of one member, durable and volatile.

    A leader checks its quorum and its members at ``tick_due_s``, and sends
    heartbeats at ``heartbeat_due_s``, which every broadcast puts off.

    ``process`` is a random number of this process.
    ``leader_commit_index`` is the highest commit index that a leader sent,
    whether this member has the entries up to it or not. ``complete_s`` is the
    last time at which a follower knew that it had all committed entries.
    ``leader`` is an identity, None while unknown. ``member_history`` has the
    member sets with the indexes of the entries that set them.
    ``stable_index`` is the last index of the log that is durable, and
    ``first_changed_index`` the first one that is not yet written, None if
    all are. ``round`` is the number of the last broadcast in this term;
    ``round_sent_s`` has the send times of the recent ones. The quorum check
    counts a member as in contact at ``excused_s`` at least, as this process
    was stalled before. Times are monotonic, in seconds.
    """

    identity: str
    rng: random.Random
    timing: Timing
    process: int = 0
    cluster: str = ''
    term: int = 0
    vote: str | None = None
    log: entries.EntryLog = dataclasses.field(default_factory=entries.EntryLog)
    commit_index: int = 0
    leader_commit_index: int = 0
    role: Role = Role.UNJOINED
    leader: str | None = None
    member_history: list[tuple[int, messages.Members]] = dataclasses.field(
        default_factory=lambda: [(0, messages.Members())]
    )
    election_due_s: float = NEVER_S
    heartbeat_due_s: float = NEVER_S
    tick_due_s: float = NEVER_S
    leader_contact_s: float = NEVER_S
    complete_s: float = NEVER_S
    excused_s: float = NEVER_S
    granted_by: set[str] = dataclasses.field(default_factory=set)
    transferring: bool = False
    progress: dict[str, Progress] = dataclasses.field(default_factory=dict)
    stable_index: int = 0
    round: int = 0
    round_sent_s: dict[int, float] = dataclasses.field(default_factory=dict)
    reads: list[Read] = dataclasses.field(default_factory=list)
    confirmed_reads: list[Read] = dataclasses.field(default_factory=list)
    snapshot: messages.SnapshotInfo | None = None
    incoming_snapshot: IncomingSnapshot | None = None
    counts: dict[str, int] = dataclasses.field(default_factory=dict)
    before_write: list[object] = dataclasses.field(default_factory=list)
    after_write: list[object] = dataclasses.field(default_factory=list)
    hard_state_changed: bool = False
    cluster_changed: bool = False
    founders: tuple[str, ...] = ()
    first_changed_index: int | None = None
    installed_snapshot: IncomingSnapshot | None = None

    @property
    def members(self) -> messages.Members:
        """Return the latest member set of the log, committed or not."""
        return self.member_history[-1][1]

    @property
    def members_index(self) -> int:
        """Return the index of the entry that set the members."""
        return self.member_history[-1][0]

    @property
    def is_voter(self) -> bool:
        """Return whether this member is a voter."""
        return self.identity in self.members.voters

    def others(self) -> list[str]:
        """Return the other members, voters first."""
        identities = member_sets.all_identities(self.members)
        return [i for i in identities if i != self.identity]

    def other_voters(self) -> list[str]:
        """Return the other voters."""
        return [i for i in self.members.voters if i != self.identity]

    def count(self, name: str) -> None:
        """Add one to a counter."""
        self.counts[name] = self.counts.get(name, 0) + 1

    def header(self, to: str) -> dict[str, object]:
        """Return the common fields of a message to another member."""
        return {
            'cluster': self.cluster,
            'sender': self.identity,
            'to': to,
            'term': self.term,
        }

    def append(self, kind: messages.EntryKind, data: bytes) -> int:
        """Append a new entry of the current term; return its index."""
        entry = messages.Entry(
            index=self.log.last_index + 1,
            term=self.term,
            kind=kind,
            data=data,
        )
        self.append_entry(entry)
        return entry.index

    def append_entry(self, entry: messages.Entry) -> None:
        """Append an entry to the log and apply a member change in it."""
        self.log.append(entry)
        self.mark_changed(entry.index)
        if entry.kind is messages.EntryKind.MEMBERS:
            decoded = member_sets.decode(entry.data)
            self.member_history.append((entry.index, decoded))

    def truncate(self, index: int) -> None:
        """Remove the entries after ``index`` and their member changes."""
        self.log.truncate(index)
        self.stable_index = min(self.stable_index, index)
        self.mark_changed(index + 1)
        while self.members_index > index:
            self.member_history.pop()

    def mark_changed(self, index: int) -> None:
        """Record that the entries from ``index`` on are not written yet."""
        if (
            self.first_changed_index is None
            or index < self.first_changed_index
        ):
            self.first_changed_index = index

    def enter_term(self, term: int) -> None:
        """Advance to a later term, without a vote in it."""
        self.term = term
        self.vote = None
        self.hard_state_changed = True

    def restart_election_timer(self, now_s: float) -> None:
        """Set the election timeout to this member's turn.

        The range between the minimum and the maximum timeout is divided
        into one turn per voter, in an order that rotates with the term.
        The first voter is then elected before the second requests votes;
        two candidates at once could split the votes, and no candidate wins
        when every remaining vote is needed. Within its turn a voter's
        timeout has a random jitter, and a learner's timeout is random.
        """
        turn = self.rng.random()
        if self.identity in self.members.voters:
            voters = sorted(self.members.voters)
            position = (voters.index(self.identity) + self.term) % len(voters)
            turn = (position + TURN_JITTER * turn) / len(voters)
        span_s = self.timing.election_max_s - self.timing.election_min_s
        self.election_due_s = (
            now_s + self.timing.election_min_s + (turn * span_s)
        )

    def hard_state(self) -> HardState:
        """Return the durable term, vote and commit index."""
        return HardState(
            term=self.term, vote=self.vote, commit_index=self.commit_index
        )

    def pop_output(self) -> Output:
        """Remove and return the actions that the caller must perform."""
        output = Output(
            before_write=tuple(self.before_write),
            write=self._pop_write(),
            after_write=tuple(self.after_write),
        )
        self.before_write.clear()
        self.after_write.clear()
        return output

    def _pop_write(self) -> Write | None:
        log_changed = self.first_changed_index is not None
        snapshot = self.installed_snapshot
        if not (
            log_changed
            or self.hard_state_changed
            or self.cluster_changed
            or snapshot
        ):
            return None
        changed = ()
        if log_changed:
            start = max(self.first_changed_index - 1, self.log.base_index)
            changed = self.log.after(start)
        write = Write(
            cluster=self.cluster if self.cluster_changed else None,
            founders=self.founders if self.cluster_changed else (),
            snapshot=snapshot.info if snapshot else None,
            snapshot_data=bytes(snapshot.data) if snapshot else b'',
            hard_state=self.hard_state(),
            entries=changed,
        )
        self.hard_state_changed = False
        self.cluster_changed = False
        self.first_changed_index = None
        self.installed_snapshot = None
        return write
