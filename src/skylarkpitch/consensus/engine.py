"""Run a member's core, journal and state machine, one step at a time."""

import asyncio
from collections.abc import Callable
import concurrent.futures
import dataclasses
import random
from typing import Any

import structlog

from skylarkpitch.consensus import core as cores
from skylarkpitch.consensus import folder as folders
from skylarkpitch.consensus import journal as journals
from skylarkpitch.consensus import members as member_sets
from skylarkpitch.consensus import membership
from skylarkpitch.consensus import pending as pending_calls
from skylarkpitch.consensus import ports
from skylarkpitch.consensus import snapshots as snapshot_files
from skylarkpitch.consensus import state as states
from skylarkpitch import errors
from skylarkpitch.messages import consensus as messages

__all__ = ['Engine', 'Limits', 'Threads']

# Entries that are applied before other tasks of the event loop run.
APPLY_BATCH_ENTRIES = 500

_log = structlog.get_logger(__name__)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Limits:
    """Limits on the growth of the log.

    A snapshot is taken after ``snapshot_entries`` applied entries or
    ``snapshot_bytes`` of journal since the last one. The log retains the
    last ``retained_entries`` entries that the snapshot covers. While the
    last snapshot is being sent to a member, the next one waits until the log
    has grown by ``sending_entries`` or ``sending_bytes``.
    """

    snapshot_entries: int = 1000
    snapshot_bytes: int = 32 * 1024 * 1024
    retained_entries: int = 500
    sending_entries: int = 16_000
    sending_bytes: int = 64 * 1024 * 1024


class Threads:
    """Threads for blocking disk operations.

    Journal syncs and snapshots have a thread each, so that neither blocks
    the event loop and saving a snapshot does not delay syncs.
    """

    def __init__(self) -> None:
        self._sync_executor = concurrent.futures.ThreadPoolExecutor(1)
        self._save_executor = concurrent.futures.ThreadPoolExecutor(1)

    async def sync(
        self, function: Callable[[Any], None], argument: Any
    ) -> None:
        """Call a function on the sync thread and await its end."""
        loop = asyncio.get_running_loop()
        await loop.run_in_executor(self._sync_executor, function, argument)

    def save(
        self, function: Callable[..., None], *arguments: Any
    ) -> concurrent.futures.Future[None]:
        """Call a function on the snapshot thread and return its future."""
        return self._save_executor.submit(function, *arguments)

    def close(self) -> None:
        """Wait for the running calls and stop the threads."""
        self._sync_executor.shutdown(wait=True)
        self._save_executor.shutdown(wait=True)


class Engine:
    """One member: its core, and the components that its output goes to.

    Those are the journal, the network, the state machine and the callers
    that wait. Calls of :meth:`step` must not overlap. ``complete_s`` is the
    last time at which the state machine had every committed command.
    """

    def __init__(
        self,
        *,
        folder: folders.Folder,
        state_machine: ports.StateMachine,
        send: Callable[[str, object], object],
        clock: Callable[[], float],
        on_applied: Callable[[], None],
        limits: Limits,
        threads: Threads | None = None,
        new_incarnation: Callable[[], str] = journals.new_incarnation,
        may_promote: membership.PromotionPolicy = membership.always_promote,
    ) -> None:
        self._folder = folder
        self._state_machine = state_machine
        self._send = send
        self._clock = clock
        self._on_applied = on_applied
        self._limits = limits
        self._new_incarnation = new_incarnation
        self._may_promote = may_promote
        self._threads = threads or Threads()
        self._snapshot_save: concurrent.futures.Future[None] | None = None
        self._snapshot_save_info: messages.SnapshotInfo | None = None
        self.pending = pending_calls.PendingRequests()
        self.applied_index = 0
        self.complete_s = states.NEVER_S
        self.snapshot_index = 0

    def open(
        self, *, host: str, rng: random.Random, timing: states.Timing
    ) -> None:
        """Open the data folder and restore the member from it.

        Raises ``JournalError``.
        """
        self._stall_threshold_s = timing.heartbeat_s
        self._folder.open()
        self.journal, recovered, data = journals.open_journal(
            folder=self._folder,
            host=host,
            new_incarnation=self._new_incarnation,
        )
        self.core = cores.Core(
            identity=self.journal.identity,
            recovered=recovered,
            rng=rng,
            now_s=self._clock(),
            timing=timing,
            may_promote=self._may_promote,
        )
        if recovered.snapshot is not None:
            self._restore(recovered.snapshot, data)
        _log.info(
            'journal_opened',
            identity=self.journal.identity,
            cluster=recovered.cluster,
            term=recovered.hard_state.term,
            entries=len(recovered.entries),
            snapshot_index=self.snapshot_index,
        )

    def close(self) -> None:
        """Wait for the threads and close the data folder."""
        self._threads.close()
        self._folder.close()

    async def step(self, inbox: list[Callable[[float], None]]) -> None:
        """Process the inbox, the due timers and all output of the core.

        Raises ``JournalError`` and ``InvariantError``; after either, the
        caller must not run another step.
        """
        now_s = self._clock()
        if now_s - self.core.next_due_s() > self._stall_threshold_s:
            self.core.on_process_stall(now_s=now_s)
        for item in inbox:
            item(now_s)
        if now_s >= self.core.next_due_s():
            self.core.tick(now_s=now_s)
        self.core.flush(now_s=now_s)
        while output := self.core.pop_output():
            await self._process_output(output)
        await self._apply_committed()
        self.complete_s = max(
            self.complete_s, self.core.complete_s(now_s=now_s)
        )
        self._complete_pending()
        await self._compact()

    async def _process_output(self, output: states.Output) -> None:
        self._send_all(output.before_write)
        if output.write is not None:
            await self._threads.sync(self.journal.write, output.write)
            if output.write.snapshot is not None:
                self._restore(
                    output.write.snapshot, output.write.snapshot_data
                )
            self.core.on_persisted(now_s=self._clock())
        self._send_all(output.after_write)

    def _send_all(self, items: tuple[object, ...]) -> None:
        for item in items:
            if isinstance(item, messages.SnapshotChunk):
                item = self._with_snapshot_data(item)
            elif isinstance(item, messages.AppendResponse):
                item = self._with_stamp(item)
            self._send(member_sets.host_of(item.to), item)

    def _with_stamp(
        self, response: messages.AppendResponse
    ) -> messages.AppendResponse:
        stamp = messages.Stamp(
            process=self.core.state.process, sent_s=self._clock()
        )
        return dataclasses.replace(response, stamp=stamp)

    def _with_snapshot_data(
        self, chunk: messages.SnapshotChunk
    ) -> messages.SnapshotChunk:
        data = self.journal.snapshots.read_part(
            chunk.info.index,
            chunk.offset_bytes,
            snapshot_files.CHUNK_BYTES,
        )
        return dataclasses.replace(chunk, data=data)

    def _restore(self, info: messages.SnapshotInfo, data: bytes) -> None:
        self._state_machine.restore(data)
        self.applied_index = info.index
        self.snapshot_index = info.index

    async def _apply_committed(self) -> None:
        entries = self.core.committed_after(self.applied_index)
        for number, entry in enumerate(entries, start=1):
            result = self._apply_entry(entry)
            self.applied_index = entry.index
            self.pending.complete_proposal(
                entry.index, term=entry.term, result=result
            )
            if number % APPLY_BATCH_ENTRIES == 0:
                await asyncio.sleep(0)
        if entries:
            self._on_applied()

    def _apply_entry(self, entry: messages.Entry) -> object | Exception:
        if entry.kind is not messages.EntryKind.COMMAND:
            return None
        try:
            return self._state_machine.apply(entry.index, entry.data)
        except errors.SkylarkError as error:
            return error
        except Exception as error:
            # The command fails on every member; stopping for it would stop
            # the whole cluster.
            _log.exception('apply_failed', index=entry.index)
            return errors.InvariantError(
                f'the command at index {entry.index} failed ({error!r}); '
                'report this as a bug'
            )

    def _complete_pending(self) -> None:
        state = self.core.state
        self.pending.fail_other_terms(
            state.term if self.core.is_leader else None
        )
        for read in self.core.pop_confirmed_reads():
            if not read.token.done():
                read.token.set_result(read.sent_s)
        unconfirmed = {read.token for read in state.reads}
        leader = member_sets.host_of(state.leader) if state.leader else None
        self.pending.fail_other_reads(unconfirmed, leader=leader)

    async def _compact(self) -> None:
        if self._snapshot_save is not None:
            if self._snapshot_save.done():
                await self._finish_snapshot()
            return
        if self._is_snapshot_due():
            self._start_snapshot()

    def _is_snapshot_due(self) -> bool:
        limits = self._limits
        max_entries = limits.snapshot_entries
        max_bytes = limits.snapshot_bytes
        if self.core.is_sending_snapshot(now_s=self._clock()):
            # The next snapshot would be sent from its beginning.
            max_entries = max(max_entries, limits.sending_entries)
            max_bytes = max(max_bytes, limits.sending_bytes)
        entries = self.applied_index - self.snapshot_index
        grown_bytes = self.journal.size_bytes - self.journal.base_bytes
        return entries >= max_entries or (
            entries > 0 and grown_bytes >= max_bytes
        )

    def _start_snapshot(self) -> None:
        members_index, members = self.core.members_at(self.applied_index)
        data = self._state_machine.snapshot()
        self._snapshot_save_info = snapshot_files.describe(
            index=self.applied_index,
            term=self.core.state.log.term_at(self.applied_index),
            members=members,
            members_index=members_index,
            data=data,
        )
        self._snapshot_save = self._threads.save(
            self.journal.snapshots.save, self._snapshot_save_info, data
        )

    async def _finish_snapshot(self) -> None:
        saved, info = self._snapshot_save, self._snapshot_save_info
        self._snapshot_save = None
        saved.result()
        if info.index <= self.snapshot_index:
            return
        self.core.compact(info, retained_entries=self._limits.retained_entries)
        self.snapshot_index = info.index
        state = self.core.state
        await self._threads.sync(
            self.journal.rebase,
            states.Rebase(
                base_index=state.log.base_index,
                base_term=state.log.base_term,
                snapshot_index=info.index,
                hard_state=state.hard_state(),
                entries=state.log.after(state.log.base_index),
            ),
        )
        _log.info(
            'log_compacted',
            snapshot_index=info.index,
            base_index=state.log.base_index,
            snapshot_bytes=info.size_bytes,
        )
