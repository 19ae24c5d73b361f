"""Hold what a member of the replicated log knows, and what it has to do.

The state has no I/O, clock or randomness of its own. The modules
``election``, ``replication``, ``membership``, ``reads`` and ``transfer``
change it; :mod:`core` offers them as one object.
"""

import dataclasses
import enum
import random

from skylarkpitch.consensus import entries
from skylarkpitch.consensus import members as member_sets
from skylarkpitch.messages import consensus as messages

__all__ = [
    'HardState',
    'Output',
    'Progress',
    'Read',
    'Rebase',
    'Role',
    'SnapshotReceipt',
    'State',
    'Timing',
    'Write',
]

NEVER_S = float('-inf')
# Part of a turn by which members whose terms differ may still miss another.
TURN_JITTER = 0.25


class Role(enum.StrEnum):
    """What a member does in the present term."""

    UNJOINED = 'unjoined'
    FOLLOWER = 'follower'
    PRE_CANDIDATE = 'pre_candidate'
    CANDIDATE = 'candidate'
    LEADER = 'leader'


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Timing:
    """Intervals of the protocol, in seconds."""

    heartbeat_s: float = 0.1
    election_min_s: float = 0.5
    election_max_s: float = 1.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class HardState:
    """What must be durable before a message of the term is sent.

    ``commit_index`` is only a lower bound of what was committed.
    """

    term: int = 0
    vote: str | None = None
    commit_index: int = 0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Write:
    """What must be made durable, in the order of the fields.

    ``entries`` replace every entry from the first one's index on.
    """

    cluster: str | None = None
    founders: tuple[str, ...] = ()
    snapshot: messages.SnapshotInfo | None = None
    snapshot_data: bytes = b''
    hard_state: HardState | None = None
    entries: tuple[messages.Entry, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Rebase:
    """What a journal holds that builds on a saved snapshot."""

    base_index: int
    base_term: int
    snapshot_index: int
    hard_state: HardState
    entries: tuple[messages.Entry, ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Output:
    """What a caller of the core has to do, in this order.

    Send ``before``, make ``write`` durable, call ``persisted``, then send
    ``after``. A message is an ``AppendRequest``, a ``VoteResponse`` and so on; a
    ``SnapshotChunk`` is completed with its data on the way out.
    """

    before: tuple[object, ...] = ()
    write: Write | None = None
    after: tuple[object, ...] = ()

    def __bool__(self) -> bool:
        return bool(self.before or self.write or self.after)


@dataclasses.dataclass(slots=True, kw_only=True)
class Progress:
    """What a leader knows of one other member."""

    next_index: int
    contact_s: float
    probing: bool = True
    match_index: int = 0
    acked_round: int = 0
    snapshot: messages.SnapshotInfo | None = None
    snapshot_offset_bytes: int = 0
    snapshot_sent_s: float = NEVER_S


@dataclasses.dataclass(slots=True, kw_only=True)
class SnapshotReceipt:
    """Parts of a snapshot received so far."""

    info: messages.SnapshotInfo
    data: bytearray = dataclasses.field(default_factory=bytearray)


@dataclasses.dataclass(slots=True, kw_only=True)
class Read:
    """A question whether the committed state is current."""

    token: object
    round: int = 0
    sent_s: float = NEVER_S
    index: int = 0


@dataclasses.dataclass(slots=True, kw_only=True)
class State:
    """State of one member."""

    identity: str
    rng: random.Random
    timing: Timing
    cluster: str = ''
    term: int = 0
    vote: str | None = None
    log: entries.EntryLog = dataclasses.field(default_factory=entries.EntryLog)
    commit_index: int = 0
    role: Role = Role.UNJOINED
    leader: str | None = None
    member_history: list[tuple[int, messages.Members]] = dataclasses.field(
        default_factory=lambda: [(0, messages.Members())]
    )
    election_due_s: float = NEVER_S
    heartbeat_due_s: float = NEVER_S
    leader_heard_s: float = NEVER_S
    excused_s: float = NEVER_S
    granted: set[str] = dataclasses.field(default_factory=set)
    transferring: bool = False
    progress: dict[str, Progress] = dataclasses.field(default_factory=dict)
    stable_index: int = 0
    round: int = 0
    round_sent_s: dict[int, float] = dataclasses.field(default_factory=dict)
    reads: list[Read] = dataclasses.field(default_factory=list)
    confirmed: list[Read] = dataclasses.field(default_factory=list)
    snapshot: messages.SnapshotInfo | None = None
    receipt: SnapshotReceipt | None = None
    counts: dict[str, int] = dataclasses.field(default_factory=dict)
    before: list[object] = dataclasses.field(default_factory=list)
    after: list[object] = dataclasses.field(default_factory=list)
    hard_changed: bool = False
    cluster_changed: bool = False
    founders: tuple[str, ...] = ()
    changed_from: int | None = None
    installed: SnapshotReceipt | None = None

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
        """Tell whether this identity is a voter."""
        return self.identity in self.members.voters

    def others(self) -> list[str]:
        """Return the other members, voters first."""
        everyone = member_sets.everyone(self.members)
        return [i for i in everyone if i != self.identity]

    def other_voters(self) -> list[str]:
        """Return the other voters."""
        return [i for i in self.members.voters if i != self.identity]

    def count(self, name: str) -> None:
        """Add one to a counter."""
        self.counts[name] = self.counts.get(name, 0) + 1

    def header(self, to: str) -> dict[str, object]:
        """Return the fields that every message between members has."""
        return {
            'cluster': self.cluster,
            'sender': self.identity,
            'to': to,
            'term': self.term,
        }

    def append(self, kind: messages.EntryKind, data: bytes) -> int:
        """Add an entry of the present term to the own log."""
        entry = messages.Entry(
            index=self.log.last_index + 1,
            term=self.term,
            kind=kind,
            data=data,
        )
        self.take_entry(entry)
        return entry.index

    def take_entry(self, entry: messages.Entry) -> None:
        """Put an entry at the end of the log and heed it."""
        self.log.append(entry)
        self.mark_changed(entry.index)
        if entry.kind is messages.EntryKind.MEMBERS:
            decoded = member_sets.decode(entry.data)
            self.member_history.append((entry.index, decoded))

    def truncate(self, index: int) -> None:
        """Drop the entries behind ``index`` and the members they set."""
        self.log.truncate(index)
        self.stable_index = min(self.stable_index, index)
        self.mark_changed(index + 1)
        while self.members_index > index:
            self.member_history.pop()

    def mark_changed(self, index: int) -> None:
        """Note that entries from ``index`` on are not durable yet."""
        if self.changed_from is None or index < self.changed_from:
            self.changed_from = index

    def enter_term(self, term: int) -> None:
        """Move to a later term, in which no vote is given yet."""
        self.term = term
        self.vote = None
        self.hard_changed = True

    def restart_election_timer(self, now_s: float) -> None:
        """Wait for this member's turn within the election timeout.

        Voters take turns, in another order in each term, so that the first
        is elected before the second asks: two that ask at once may divide
        the votes, and all of them may be needed. The rest is random.
        """
        turn = self.rng.random()
        if self.identity in self.members.voters:
            voters = sorted(self.members.voters)
            place = (voters.index(self.identity) + self.term) % len(voters)
            turn = (place + TURN_JITTER * turn) / len(voters)
        span_s = self.timing.election_max_s - self.timing.election_min_s
        self.election_due_s = (
            now_s + self.timing.election_min_s + (turn * span_s)
        )

    def hard_state(self) -> HardState:
        """Return the part of the state that must be durable."""
        return HardState(
            term=self.term, vote=self.vote, commit_index=self.commit_index
        )

    def take_output(self) -> Output:
        """Return what is to be done and forget it."""
        output = Output(
            before=tuple(self.before),
            write=self._take_write(),
            after=tuple(self.after),
        )
        self.before.clear()
        self.after.clear()
        return output

    def _take_write(self) -> Write | None:
        log_changed = self.changed_from is not None
        snapshot = self.installed
        if not (
            log_changed
            or self.hard_changed
            or self.cluster_changed
            or snapshot
        ):
            return None
        changed = ()
        if log_changed:
            start = max(self.changed_from - 1, self.log.base_index)
            changed = self.log.after(start)
        write = Write(
            cluster=self.cluster if self.cluster_changed else None,
            founders=self.founders if self.cluster_changed else (),
            snapshot=snapshot.info if snapshot else None,
            snapshot_data=bytes(snapshot.data) if snapshot else b'',
            hard_state=self.hard_state(),
            entries=changed,
        )
        self.hard_changed = False
        self.cluster_changed = False
        self.changed_from = None
        self.installed = None
        return write
