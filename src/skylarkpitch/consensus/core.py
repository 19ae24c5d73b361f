"""Implement one member of the replicated log as a state machine without I/O.

The algorithm is Raft with pre-vote, check-quorum and single-member changes.
The inputs of :class:`Core` are messages, timers and the current time; the
outputs are messages to send and data to write. After each event, the caller
calls :meth:`Core.pop_output` and performs the returned actions, until it
returns an empty output.
"""

from collections.abc import Callable
import dataclasses
import random

from skylarkpitch.consensus import election
from skylarkpitch.consensus import entries as entry_logs
from skylarkpitch.consensus import members as member_sets
from skylarkpitch.consensus import membership
from skylarkpitch.consensus import reads
from skylarkpitch.consensus import replication
from skylarkpitch.consensus import state as states
from skylarkpitch import errors
from skylarkpitch.messages import consensus as messages

__all__ = ['Core', 'Recovered']

PROCESS_BITS = 63


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Recovered:
    """State that a member reads from its data folder at start.

    ``cluster`` is empty if the member belongs to none. ``base_index`` and
    ``base_term`` are those of the entry before the first of ``entries``.
    """

    cluster: str = ''
    founders: tuple[str, ...] = ()
    hard_state: states.HardState = states.HardState()
    snapshot: messages.SnapshotInfo | None = None
    base_index: int = 0
    base_term: int = 0
    entries: tuple[messages.Entry, ...] = ()


class Core:
    """Raft state machine of one member of the replicated log."""

    def __init__(
        self,
        *,
        identity: str,
        recovered: Recovered,
        rng: random.Random,
        now_s: float,
        timing: states.Timing | None = None,
        may_promote: membership.PromotionPolicy = membership.always_promote,
    ) -> None:
        self._state = states.State(
            identity=identity,
            rng=rng,
            timing=timing or states.Timing(),
            process=rng.getrandbits(PROCESS_BITS),
        )
        self._may_promote = may_promote
        self._load(recovered, now_s)
        self._handlers: dict[type, Callable[..., None]] = {
            messages.VoteRequest: election.on_vote_request,
            messages.VoteResponse: election.on_vote_response,
            messages.AppendRequest: self._on_append,
            messages.SnapshotChunk: self._on_snapshot_chunk,
            messages.AppendResponse: self._leader_only(
                replication.on_append_response
            ),
            messages.SnapshotResponse: self._leader_only(
                replication.on_snapshot_response
            ),
            messages.LeadershipTransfer: self._on_transfer,
        }

    def _load(self, recovered: Recovered, now_s: float) -> None:
        state = self._state
        state.cluster = recovered.cluster
        state.founders = recovered.founders
        state.term = recovered.hard_state.term
        state.vote = recovered.hard_state.vote
        state.log = entry_logs.EntryLog(
            base_index=recovered.base_index, base_term=recovered.base_term
        )
        state.snapshot = recovered.snapshot
        if recovered.snapshot is not None:
            info = recovered.snapshot
            state.member_history = [(info.members_index, info.members)]
        for entry in recovered.entries:
            self._load_entry(entry)
        snapshot_index = recovered.snapshot.index if recovered.snapshot else 0
        state.commit_index = max(
            snapshot_index,
            min(recovered.hard_state.commit_index, state.log.last_index),
        )
        state.stable_index = state.log.last_index
        state.first_changed_index = None
        if state.cluster:
            state.role = states.Role.FOLLOWER
        state.restart_election_timer(now_s)

    def _load_entry(self, entry: messages.Entry) -> None:
        state = self._state
        state.log.append(entry)
        is_members = entry.kind is messages.EntryKind.MEMBERS
        if is_members and entry.index > state.members_index:
            decoded = member_sets.decode(entry.data)
            state.member_history.append((entry.index, decoded))

    @property
    def state(self) -> states.State:
        """Return the state; the caller must not change it."""
        return self._state

    @property
    def is_leader(self) -> bool:
        """Return whether this member is the leader of its term."""
        return self._state.role is states.Role.LEADER

    def bootstrap(self, founders: tuple[str, ...], *, now_s: float) -> None:
        """Create the log of a new cluster whose voters are ``founders``.

        Each founder writes an identical first entry, which therefore counts
        as committed at once. Raises ``InvariantError`` when this member
        already belongs to a cluster.
        """
        state = self._state
        if state.cluster:
            raise errors.InvariantError(
                f'{state.identity} already belongs to a cluster and cannot '
                'bootstrap another; report this as a bug'
            )
        self._join(member_sets.cluster_id_of(founders), now_s)
        state.founders = founders
        state.enter_term(1)
        data = member_sets.encode(messages.Members(voters=founders))
        state.append(messages.EntryKind.MEMBERS, data)
        state.commit_index = 1

    def _join(self, cluster: str, now_s: float) -> None:
        state = self._state
        state.cluster = cluster
        state.cluster_changed = True
        state.role = states.Role.FOLLOWER
        state.restart_election_timer(now_s)

    def receive(self, message: object, *, now_s: float) -> None:
        """Process a message from another member.

        A member without a cluster joins that of the first leader that sends
        it an append request or a snapshot. Messages of other clusters or for
        another identity are counted and dropped.
        """
        state = self._state
        if message.to != state.identity:
            state.count('messages_to_other_identity')
            return
        if not state.cluster and self._may_join(message):
            self._join(message.cluster, now_s)
        if message.cluster != state.cluster or not state.cluster:
            state.count('messages_of_other_cluster')
            return
        self._handlers[type(message)](state, message, now_s=now_s)
        self._advance(now_s)

    @staticmethod
    def _may_join(message: object) -> bool:
        join_messages = (messages.AppendRequest, messages.SnapshotChunk)
        return isinstance(message, join_messages) and bool(message.cluster)

    def _on_append(
        self,
        state: states.State,
        request: messages.AppendRequest,
        *,
        now_s: float,
    ) -> None:
        if self._accept_leader(request, now_s):
            replication.on_append_request(state, request)

    def _on_snapshot_chunk(
        self,
        state: states.State,
        chunk: messages.SnapshotChunk,
        *,
        now_s: float,
    ) -> None:
        if self._accept_leader(chunk, now_s):
            replication.on_snapshot_chunk(state, chunk)

    def _accept_leader(
        self,
        request: messages.AppendRequest | messages.SnapshotChunk,
        now_s: float,
    ) -> bool:
        state = self._state
        if request.term < state.term:
            replication.send_append_response(
                state, request, accepted=False, index=0
            )
            return False
        if request.term == state.term and state.role is states.Role.LEADER:
            raise errors.InvariantError(
                f'{request.sender} and {state.identity} are both leader of '
                f'term {state.term}; stop both and save their data folders'
            )
        if (request.term, request.sender) != (state.term, state.leader):
            election.become_follower(
                state, term=request.term, leader=request.sender, now_s=now_s
            )
        state.leader_contact_s = now_s
        state.restart_election_timer(now_s)
        return True

    def _leader_only(
        self, handler: Callable[..., None]
    ) -> Callable[..., None]:
        def checked(
            state: states.State, message: object, *, now_s: float
        ) -> None:
            if message.term > state.term:
                election.become_follower(
                    state, term=message.term, leader=None, now_s=now_s
                )
            elif message.term == state.term and self.is_leader:
                handler(state, message, now_s=now_s)

        return checked

    def _on_transfer(
        self,
        state: states.State,
        message: messages.LeadershipTransfer,
        *,
        now_s: float,
    ) -> None:
        from_leader = message.sender == state.leader
        if message.term == state.term and from_leader and state.is_voter:
            election.start_election(state, now_s=now_s, transfer=True)

    def tick(self, *, now_s: float) -> None:
        """Run the actions whose timers have expired."""
        state = self._state
        state.tick_due_s = now_s + state.timing.heartbeat_s
        election.on_tick(state, now_s=now_s)
        if self.is_leader:
            membership.on_tick(
                state, may_promote=self._may_promote, now_s=now_s
            )
        if self.is_leader and now_s >= state.heartbeat_due_s:
            replication.broadcast(state, now_s=now_s)
        self._advance(now_s)

    def on_process_stall(self, *, now_s: float) -> None:
        """Adjust the timers after this process was stalled until now."""
        election.on_process_stall(self._state, now_s=now_s)

    def next_due_s(self) -> float:
        """Return the time, in seconds, of the next call of :meth:`tick`."""
        if self.is_leader:
            return min(self._state.heartbeat_due_s, self._state.tick_due_s)
        return self._state.election_due_s

    def on_persisted(self, *, now_s: float) -> None:
        """Record that the write of the last output is durable."""
        state = self._state
        state.stable_index = state.log.last_index
        election.on_persisted(state, now_s=now_s)
        if self.is_leader:
            replication.advance_commit_index(state)
        self._advance(now_s)

    def _advance(self, now_s: float) -> None:
        if self.is_leader:
            membership.step_down_if_removed(self._state, now_s=now_s)
        if self.is_leader:
            reads.start_round(self._state, now_s=now_s)
            reads.confirm_acknowledged(self._state)

    def propose(self, command: bytes) -> int:
        """Append a command to the log and return its index.

        The caller calls :meth:`flush` after one or several proposals.
        Raises ``NotLeaderError``.
        """
        self._check_is_leader()
        return self._state.append(messages.EntryKind.COMMAND, command)

    def flush(self, *, now_s: float) -> None:
        """Send the entries and reads that were added since the last call."""
        replication.send_entries(self._state, now_s=now_s)
        self._advance(now_s)

    def add_learner(self, identity: str, *, now_s: float) -> int:
        """Add a member; see :func:`membership.add_learner`."""
        self._check_is_leader()
        return membership.add_learner(self._state, identity, now_s=now_s)

    def ready_learners(self, *, now_s: float) -> list[str]:
        """Return the learners that could become voters now."""
        return membership.ready_learners(self._state, now_s=now_s)

    def remove(self, identity: str, *, now_s: float) -> int:
        """Remove a member; see :func:`membership.remove`."""
        self._check_is_leader()
        return membership.remove(self._state, identity, now_s=now_s)

    def request_read(self, token: object) -> None:
        """Request a quorum's confirmation that the state is current.

        :meth:`pop_confirmed_reads` returns the token once a quorum has
        confirmed. The caller calls :meth:`flush` after one or several
        reads. Raises ``NotLeaderError``.
        """
        self._check_is_leader()
        reads.add(self._state, token)

    def pop_confirmed_reads(self) -> list[states.Read]:
        """Remove and return the reads that a quorum has confirmed."""
        confirmed = list(self._state.confirmed_reads)
        self._state.confirmed_reads.clear()
        return confirmed

    def transfer_leadership(self) -> bool:
        """Transfer leadership to an up-to-date voter.

        Returns whether a request was sent to one.
        """
        return self.is_leader and membership.transfer_leadership(self._state)

    def _check_is_leader(self) -> None:
        state = self._state
        if self.is_leader:
            return
        leader = member_sets.host_of(state.leader) if state.leader else None
        raise errors.NotLeaderError(
            f'{state.identity} is not the leader of the replicated log; ask '
            f'{leader or "another control host, or wait for an election"}',
            leader=leader,
        )

    def complete_s(self, *, now_s: float) -> float:
        """Return when this member last had all committed entries.

        The result is a monotonic time in seconds, ``NEVER_S`` if it never
        knew. For a leader, it is the last contact with a quorum.
        """
        state = self._state
        if not self.is_leader:
            return state.complete_s
        if state.log.term_at(state.commit_index) != state.term:
            return states.NEVER_S
        return replication.quorum_contact_s(state, now_s=now_s)

    def committed_after(self, index: int) -> tuple[messages.Entry, ...]:
        """Return the committed entries after ``index``."""
        state = self._state
        return state.log.after(index, up_to=state.commit_index)

    def members_at(self, index: int) -> tuple[int, messages.Members]:
        """Return the latest member set at or before an index.

        The first item is the index of the entry that set the members.
        """
        history = self._state.member_history
        return [item for item in history if item[0] <= index][-1]

    def is_sending_snapshot(self, *, now_s: float) -> bool:
        """Return whether a member that responds needs the last snapshot."""
        return self.is_leader and replication.is_sending_snapshot(
            self._state, now_s=now_s
        )

    def compact(
        self, info: messages.SnapshotInfo, *, retained_entries: int
    ) -> None:
        """Discard the entries that a snapshot covers.

        The last ``retained_entries`` of them stay in the log, so that
        members slightly behind need no snapshot.
        """
        state = self._state
        state.snapshot = info
        state.log.compact(
            max(state.log.base_index, info.index - retained_entries)
        )
        later = [i for i in state.member_history if i[0] > info.index]
        state.member_history = [(info.members_index, info.members), *later]

    def pop_output(self) -> states.Output:
        """Remove and return the actions that the caller must perform now."""
        return self._state.pop_output()
