"""Run a member of the replicated log as a service.

One task owns the core, the journal and the state machine. Messages and
calls are queued in its inbox. Each step processes the whole inbox, so one
sync covers all entries that arrived during the previous sync. Syncs run on
a separate thread.
"""

import asyncio
from collections.abc import Callable
import functools
import pathlib
import random
import time
from typing import Any

import mode
import structlog

from skylarkpitch.consensus import engine as engines
from skylarkpitch.consensus import folder as folders
from skylarkpitch.consensus import introductions
from skylarkpitch.consensus import members as member_sets
from skylarkpitch.consensus import membership
from skylarkpitch.consensus import ports
from skylarkpitch.consensus import replication
from skylarkpitch.consensus import silent_voter as silent_voters
from skylarkpitch.consensus import state as states
from skylarkpitch import errors
from skylarkpitch.messages import consensus as messages
from skylarkpitch.peers import network
from skylarkpitch import sentinels

__all__ = ['ReplicatedLog']

MAX_COMMAND_BYTES = 16 * 1024 * 1024
MAX_INBOX_ITEMS = 20_000
BOOTSTRAP_INTERVAL_S = 0.2

MEMBER_MESSAGES = (
    messages.VoteRequest,
    messages.VoteResponse,
    messages.AppendRequest,
    messages.AppendResponse,
    messages.SnapshotChunk,
    messages.SnapshotResponse,
    messages.LeadershipTransfer,
)

_log = structlog.get_logger(__name__)


class ReplicatedLog(mode.Service):
    """One member of the replicated log; a :class:`ports.ControlLog`.

    ``voters`` are the hosts that bootstrap the cluster at its first start;
    later the log defines the member set. A host without ``may_bootstrap``
    still joins a cluster whose founders include it. With
    ``may_give_up_voter``, a voter that does not respond, or has lost its
    disk, is left out of the founders; hosts that have lost their disks must
    then start without ``may_bootstrap``. ``is_control`` returns
    whether a host may be a member; by default that is a host with the
    control role in the directory, or one of ``voters``. ``may_promote``
    decides when a new host becomes a voter. After an error of the data
    folder the member is inactive until the process restarts.
    """

    def __init__(
        self,
        *,
        peers: network.Peers,
        state_machine: ports.StateMachine,
        data_folder: pathlib.Path,
        voters: tuple[str, ...],
        may_bootstrap: bool = True,
        may_give_up_voter: bool = False,
        is_control: Callable[[str], bool] | None = None,
        clock: Callable[[], float] = time.monotonic,
        rng: random.Random | None = None,
        on_applied: Callable[[], None] = lambda: None,
        timing: states.Timing | None = None,
        limits: engines.Limits | None = None,
        folder: folders.Folder | None = None,
        threads: engines.Threads | None = None,
        may_promote: membership.PromotionPolicy = membership.always_promote,
        **options: Any,
    ) -> None:
        self._peers = peers
        self._voters = voters
        self._may_bootstrap = may_bootstrap
        self._may_give_up_voter = may_give_up_voter
        self._given_up = ''
        self._is_control = is_control or self._is_listed_control_host
        self._clock = clock
        self._rng = rng or random.Random()
        self._timing = timing or states.Timing()
        self._inbox: list[Callable[[float], None]] = []
        self._inbox_drops = 0
        self._failure: errors.SkylarkError | None = None
        self._engine = engines.Engine(
            folder=folder or folders.DataFolder(path=data_folder),
            state_machine=state_machine,
            send=peers.send,
            clock=clock,
            on_applied=on_applied,
            limits=limits or engines.Limits(),
            threads=threads,
            may_promote=may_promote,
        )
        super().__init__(**options)

    async def on_start(self) -> None:
        """Open the data folder and register the message handlers.

        Raises ``JournalError``.
        """
        self._wake = asyncio.Event()
        self._engine.open(
            host=self._peers.directory.local_host.name,
            rng=self._rng,
            timing=self._timing,
        )
        self._core = self._engine.core
        for kind in MEMBER_MESSAGES:
            self._peers.handle(kind, self._on_message)
        self._peers.handle(messages.IntroductionRequest, self._on_introduction)
        self._update_introduction()
        self._wake.set()

    async def on_stop(self) -> None:
        """Fail the calls that are still pending."""
        self._engine.pending.fail_all()

    async def on_shutdown(self) -> None:
        """Close the data folder; no task uses it at this point."""
        self._engine.close()

    async def submit(self, command: bytes, *, timeout_s: float) -> object:
        """Commit a command and return the state machine's result.

        Raises ``NotLeaderError`` when the command was not and will not be
        committed, ``UncertainError`` when it may be committed,
        ``ValidationError`` for a command over ``MAX_COMMAND_BYTES``, and
        the errors of the state machine.
        """
        if len(command) > MAX_COMMAND_BYTES:
            raise errors.ValidationError(
                f'a change of {len(command)} bytes is over the limit of '
                f'{MAX_COMMAND_BYTES}; split it into smaller ones'
            )
        self._check_operational()

        def propose(now_s: float) -> int:
            return self._core.propose(command)

        return await self._append(propose, timeout_s=timeout_s)

    async def confirm(self, *, timeout_s: float) -> float | sentinels.Absent:
        """Confirm with a quorum that the applied state is current.

        Returns the monotonic time, in seconds, at which the request to the
        quorum was sent. ``Absent`` reasons: ``not_leader``, ``no_quorum``
        and ``journal_failed``.
        """
        if self._failure is not None:
            return sentinels.Absent('journal_failed', self._failure.reason)
        future = asyncio.get_running_loop().create_future()
        self._enqueue(functools.partial(self._request_read, future))
        try:
            async with asyncio.timeout(timeout_s):
                return await future
        except TimeoutError:
            return sentinels.Absent('no_quorum')

    def status(self) -> ports.LogStatus:
        """Return the state of the log as this member knows it.

        Members are identities; the leader is a host name. The role is
        ``failed`` after an error of the data folder.
        """
        state = self._core.state
        role = state.role.value if self._failure is None else 'failed'
        return ports.LogStatus(
            member=state.identity,
            role=role,
            term=state.term,
            leader=self._leader_host(),
            commit_index=state.commit_index,
            leader_commit_index=max(
                state.leader_commit_index, state.commit_index
            ),
            applied_index=self._engine.applied_index,
            voters=state.members.voters,
            learners=state.members.learners,
        )

    @property
    def identity(self) -> str:
        """Return the identity of this member."""
        return self._core.state.identity

    @property
    def cluster(self) -> str:
        """Return the identifier of the cluster, empty before joining one."""
        return self._core.state.cluster

    @property
    def is_leader(self) -> bool:
        """Return whether this member is the leader and has not failed."""
        return self._is_active_leader()

    def quorum_contact_age_s(self, *, now_s: float) -> float:
        """Return the time in seconds since the last contact with a quorum.

        For a leader, that is its quorum's last response; for any other
        member, the last message from the leader, which steps down when it
        loses its quorum. Returns infinity if there was no contact yet.
        """
        state = self._core.state
        if self._is_active_leader():
            contact_s = replication.quorum_contact_s(state, now_s=now_s)
            return now_s - contact_s
        return now_s - state.leader_contact_s

    def state_age_s(self, *, now_s: float) -> float:
        """Return the maximum age of the applied state, in seconds.

        At that time, the state machine had every command that was committed.
        A member in contact with the leader has an old state while entries
        or a snapshot do not reach it.
        """
        return now_s - self._engine.complete_s

    def contacts_s(self) -> dict[str, float]:
        """Return, for a leader, the time of each member's last response.

        That is the monotonic time, in seconds, at which the last request
        that the member responded to was sent.
        """
        return {
            identity: item.contact_s
            for identity, item in self._core.state.progress.items()
        }

    def holders(self, index: int) -> tuple[str, ...]:
        """Return, for a leader, the members that store an index, sorted."""
        state = self._core.state
        stored = {
            identity
            for identity, item in state.progress.items()
            if item.match_index >= index
        }
        if state.stable_index >= index:
            stored.add(state.identity)
        return tuple(sorted(stored))

    def ready_learners(self, *, now_s: float) -> list[str]:
        """Return, for a leader, the learners that have caught up."""
        return self._core.ready_learners(now_s=now_s)

    def counters(self) -> dict[str, float]:
        """Return the counters since start and the current indexes."""
        state = self._core.state
        return {
            **state.counts,
            'term': state.term,
            'commit_index': state.commit_index,
            'leader_commit_index': self.status().leader_commit_index,
            'applied_index': self._engine.applied_index,
            'journal_bytes': self._engine.journal.size_bytes,
            'journal_syncs': self._engine.journal.syncs,
            'inbox_drops': self._inbox_drops,
            'failed': float(self._failure is not None),
            'leads': float(self._is_active_leader()),
        }

    async def add_member(self, host: str, *, timeout_s: float = 5.0) -> str:
        """Add a host as a learner and return its identity.

        Once the learner has caught up, the leader promotes it to voter; it
        replaces any other incarnation of the host. Raises
        ``MemberChangeError``, ``NotLeaderError`` or ``UncertainError``.
        """
        self._check_operational()
        response = await introductions.request_introduction(
            self._peers, host, identity=self._engine.journal.identity
        )
        if sentinels.is_absent(response):
            raise member_sets.MemberChangeError(
                f'{host} does not respond ({response}); start it with the '
                'control role first'
            )
        cluster = self._core.state.cluster
        if response.cluster not in ('', cluster):
            raise member_sets.MemberChangeError(
                f'{host} belongs to another cluster; empty its data folder '
                'and restart it first'
            )

        def add(now_s: float) -> int:
            return self._core.add_learner(response.identity, now_s=now_s)

        await self._append(add, timeout_s=timeout_s)
        return response.identity

    async def remove_member(self, host: str, *, timeout_s: float = 5.0) -> str:
        """Remove a host, or one of its identities; return the identity.

        Raises ``MemberChangeError``, ``NotLeaderError`` or
        ``UncertainError``.
        """
        self._check_operational()
        members = self._core.state.members
        identity = member_sets.find_identity(members, host)

        def remove(now_s: float) -> int:
            return self._core.remove(identity, now_s=now_s)

        await self._append(remove, timeout_s=timeout_s)
        return identity

    async def resign(self, *, timeout_s: float = 1.0) -> bool:
        """Transfer leadership to another voter before a planned stop.

        Returns whether this member is not the leader when the call ends,
        at most about ``timeout_s`` later.
        """
        deadline_s = self._clock() + timeout_s
        while self._is_active_leader() and self._clock() < deadline_s:
            self._enqueue(lambda now_s: self._core.transfer_leadership())
            await asyncio.sleep(self._timing.heartbeat_s)
        return not self._is_active_leader()

    async def _append(
        self, propose: Callable[[float], int], *, timeout_s: float
    ) -> object:
        future = asyncio.get_running_loop().create_future()
        self._enqueue(functools.partial(self._propose, propose, future))
        try:
            async with asyncio.timeout(timeout_s):
                return await future
        except TimeoutError as error:
            raise errors.UncertainError(
                f'no quorum responded within {timeout_s} s; retry with '
                'the same operation id'
            ) from error

    def _propose(
        self,
        propose: Callable[[float], int],
        future: asyncio.Future,
        now_s: float,
    ) -> None:
        if future.done():
            return
        try:
            index = propose(now_s)
        except errors.SkylarkError as error:
            future.set_exception(error)
            return
        term = self._core.state.term
        self._engine.pending.add_proposal(index, term=term, future=future)

    def _request_read(self, future: asyncio.Future, now_s: float) -> None:
        if future.done():
            return
        self._engine.pending.add_read(future)
        try:
            self._core.request_read(future)
        except errors.NotLeaderError as error:
            future.set_result(
                sentinels.Absent('not_leader', error.leader or '')
            )

    def _enqueue(self, item: Callable[[float], None]) -> None:
        if self._failure is None:
            self._inbox.append(item)
            self._wake.set()

    async def _on_message(self, sender: str, message: Any) -> None:
        is_from_sender = member_sets.host_of(message.sender) == sender
        if not is_from_sender or not self._is_control(sender):
            self._core.state.count('messages_of_wrong_sender')
            return
        if len(self._inbox) >= MAX_INBOX_ITEMS:
            self._inbox_drops += 1
            return
        self._enqueue(lambda now_s: self._core.receive(message, now_s=now_s))

    def _is_listed_control_host(self, name: str) -> bool:
        host = self._peers.directory.get(name)
        is_control = host is not None and 'control' in host.roles
        return is_control or name in self._voters

    async def _on_introduction(
        self, sender: str, request: messages.IntroductionRequest
    ) -> messages.IntroductionResponse:
        return self._introduction

    def _update_introduction(self) -> None:
        state = self._core.state
        self._introduction = messages.IntroductionResponse(
            identity=state.identity,
            cluster=state.cluster,
            founders=state.founders,
            voters=self._voters,
            may_bootstrap=self._may_bootstrap,
            given_up=self._given_up,
        )

    @mode.Service.task
    async def _bootstrap(self) -> None:
        """Join or bootstrap a cluster while this member belongs to none."""
        last_reported = None
        silent = silent_voters.SilentVoter(
            voters=set(self._voters) - {self._peers.directory.local_host.name},
            now_s=self._clock(),
        )
        while not self.should_stop and not self._core.state.cluster:
            discovery = await introductions.discover_founders(
                self._peers,
                identity=self._engine.journal.identity,
                voters=self._voters,
                may_bootstrap=self._may_bootstrap,
                given_up=self._given_up,
            )
            founders = discovery.founders
            if not sentinels.is_absent(founders):
                self._enqueue(
                    functools.partial(self._bootstrap_with, founders)
                )
                return
            silent.record_round(
                discovery.responded,
                emptied=discovery.emptied,
                now_s=self._clock(),
            )
            self._record_given_up(silent.given_up)
            self._update_introduction()
            if founders != last_reported:
                last_reported = founders
                _log.info('waiting_to_join', reason=str(founders))
            await self.sleep(BOOTSTRAP_INTERVAL_S)

    def _record_given_up(self, voter: str) -> None:
        if not self._may_give_up_voter or voter == self._given_up:
            return
        _log.warning('voter_given_up', voter=voter, before=self._given_up)
        self._given_up = voter

    def _bootstrap_with(self, founders: tuple[str, ...], now_s: float) -> None:
        if not self._core.state.cluster:
            self._core.bootstrap(founders, now_s=now_s)

    @mode.Service.task
    async def _run(self) -> None:
        while not self.should_stop:
            await self._sleep_until_due()
            inbox, self._inbox = self._inbox, []
            try:
                await self._engine.step(inbox)
            except (errors.JournalError, errors.InvariantError) as error:
                self._fail(error)
                return
            except Exception as error:
                _log.exception('log_step_failed')
                self._fail(
                    errors.InvariantError(
                        f'a step failed ({error!r}); restart this host and '
                        'report this as a bug'
                    )
                )
                return
            self._update_introduction()

    async def _sleep_until_due(self) -> None:
        loop = asyncio.get_running_loop()
        delay_s = max(0.0, self._core.next_due_s() - self._clock())
        timer = loop.call_later(delay_s, self._wake.set)
        await self._wake.wait()
        timer.cancel()
        self._wake.clear()

    def _fail(self, error: errors.SkylarkError) -> None:
        """Stop taking part in the log; the disk may have lost writes."""
        self._failure = error
        self._engine.pending.fail_all()
        _log.error('log_failed', reason=error.reason, error=str(error))

    def _check_operational(self) -> None:
        if self._failure is not None:
            raise errors.NotLeaderError(
                f'this control host has failed and is inactive: '
                f'{self._failure}',
                leader=None,
            )

    def _is_active_leader(self) -> bool:
        return self._failure is None and self._core.is_leader

    def _leader_host(self) -> str | None:
        leader = self._core.state.leader
        if leader is None or self._failure is not None:
            return None
        return member_sets.host_of(leader)
