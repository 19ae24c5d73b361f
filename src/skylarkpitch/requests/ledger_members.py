"""Run the ledger members that a host carries, one for each region."""

import asyncio
from collections.abc import Callable
import time
from typing import Any

import mode
import structlog

from skylarkpitch.messages import requests as messages
from skylarkpitch.peers import network
from skylarkpitch.requests import ledger
from skylarkpitch.requests import ledger_sync
from skylarkpitch.requests import operation_ids
from skylarkpitch.requests import quorums
from skylarkpitch import sentinels

__all__ = ['LedgerMembers']

SYNC_INTERVAL_S = 0.2
# A list of members that changed is also taken over with the first claim.
IDLE_INTERVAL_S = 2.0
FORGET_INTERVAL_S = 5.0
COPY_TIMEOUT_S = 2.0

_log = structlog.get_logger(__name__)


class LedgerMembers(mode.Service):
    """Answer claims, and copy from peers after a restart or a change."""

    def __init__(
        self,
        *,
        peers: network.Peers,
        members: Callable[[str], tuple[str, ...]],
        epoch: Callable[[], int],
        retention_s: Callable[[], float],
        opened_s: Callable[[], float],
        saw_beginning: Callable[[], bool],
        clock: Callable[[], float] = time.monotonic,
        wall_clock: Callable[[], float] = time.time,
        **options: Any,
    ) -> None:
        self._peers = peers
        self._own = peers.directory.local_host.name
        self._list_of = members
        self._epoch = epoch
        self._retention_s = retention_s
        self._opened_s = opened_s
        self._saw_beginning = saw_beginning
        self._clock = clock
        self._wall_clock = wall_clock
        self._started_wall_s = wall_clock()
        self._ledgers: dict[str, ledger.Member] = {}
        self._syncs: dict[str, ledger_sync.Sync] = {}
        super().__init__(**options)
        peers.handle(messages.Claim, self._on_claim)
        peers.handle(messages.Settle, self._on_settle)
        peers.handle(messages.Copy, self._on_copy)
        peers.handle(messages.LedgerStateQuestion, self._on_state_question)

    def counters(self) -> dict[str, float]:
        """Return what the registers hold and whether members may vote."""
        held = self._ledgers.values()
        return {
            'registers': sum(len(item) for item in held),
            'kept_answer_bytes': sum(item.kept_bytes for item in held),
            'members': len(self._ledgers),
            'members_not_synced': sum(
                not sync.done for sync in self._syncs.values()
            ),
        }

    def votes_from_s(self, region: str) -> float | None:
        """Return from which issue time on the members vote on an id.

        None while this host does not know, or is no member.
        """
        sync = self._syncs.get(region)
        return None if sync is None else sync.votes_from_s

    def vote(self, claim: messages.Claim) -> messages.Vote | None:
        """Return this host's vote; None when it is no member."""
        self._adopt(claim.region)
        member = self._ledgers.get(claim.region)
        if member is None:
            return None
        return member.vote(
            claim,
            now_s=self._clock(),
            wall_s=self._wall_clock(),
            retention_s=self._retention_s(),
            opened_s=self._opened_s(),
        )

    def settle(self, settle: messages.Settle) -> None:
        """Take a claimer's word on how its operation ended."""
        member = self._ledgers.get(settle.region)
        if member is not None:
            member.settle(settle.register, now_s=self._clock())

    async def sync(self) -> None:
        """Take over new lists and copy where that is needed."""
        regions = {host.region for host in self._peers.directory.all()}
        for region in sorted(regions):
            self._adopt(region)
        for region, sync in self._syncs.items():
            if not sync.done and self._own in self._list_of(region):
                await self._sync_one(region, sync)
        for member in self._ledgers.values():
            if self._saw_beginning() and member.settled:
                # Nothing can have been granted before this process started.
                member.blind_before_s = 0.0

    async def are_peers_synced(self) -> bool:
        """Tell whether this host's registers would outlive its stop.

        That is so when, for each of its ledgers, as many peers as a member
        without memory copies from have copied what they can.
        """
        for region, member in self._ledgers.items():
            question = messages.LedgerStateQuestion(region=region)
            others = [n for n in member.members if n != self._own]
            states = await asyncio.gather(
                *(
                    self._peers.request(
                        name, question, timeout_s=COPY_TIMEOUT_S
                    )
                    for name in others
                )
            )
            synced = sum(bool(state) and state.synced for state in states)
            if synced < quorums.copy_quorum(len(member.members)):
                return False
        return True

    @mode.Service.task
    async def _sync_members(self) -> None:
        while not self.should_stop:
            await self.sync()
            is_done = all(sync.done for sync in self._syncs.values())
            await self.sleep(IDLE_INTERVAL_S if is_done else SYNC_INTERVAL_S)

    @mode.Service.task
    async def _forget(self) -> None:
        while not self.should_stop:
            await self.sleep(FORGET_INTERVAL_S)
            for member in self._ledgers.values():
                member.forget(
                    now_s=self._clock(),
                    wall_s=self._wall_clock(),
                    retention_s=self._retention_s(),
                )

    def _adopt(self, region: str) -> None:
        listed = self._list_of(region)
        sync = self._syncs.get(region)
        if sync is not None:
            if listed:
                sync.adopt(self._epoch(), listed)
            return
        if self._own not in listed:
            return
        member = ledger.Member(
            name=self._own,
            region=region,
            incarnation=int(self._wall_clock() * 1e6),
            epoch=self._epoch(),
            members=listed,
            blind_before_s=self._started_wall_s + operation_ids.CLOCK_SKEW_S,
        )
        self._ledgers[region] = member
        self._syncs[region] = ledger_sync.Sync(member=member)

    async def _sync_one(self, region: str, sync: ledger_sync.Sync) -> None:
        answers = await asyncio.gather(
            *(self._copy_from(name, sync) for name in sync.peers())
        )
        sources = [answer for answer in answers if answer is not None]
        sync.finish(sources, now_s=self._clock())
        _log.info(
            'ledger_sync_round',
            region=region,
            answered=len(sources),
            done=sync.done,
        )

    async def _copy_from(
        self, name: str, sync: ledger_sync.Sync
    ) -> ledger_sync.Source | None:
        parts: list[messages.Copied] = []
        while not parts or not parts[-1].last:
            after = None
            if parts and parts[-1].registers:
                last = parts[-1].registers[-1]
                after = (last.organisation, last.operation_id)
            part = await self._peers.request(
                name, sync.question(after), timeout_s=COPY_TIMEOUT_S
            )
            if sentinels.is_absent(part):
                return None
            parts.append(part)
        return ledger_sync.Source(
            name=name, incarnation=parts[0].incarnation, parts=parts
        )

    async def _on_claim(
        self, sender: str, claim: messages.Claim
    ) -> messages.Vote | None:
        return self.vote(claim)

    async def _on_settle(
        self, sender: str, settle: messages.Settle
    ) -> messages.Settled | None:
        if settle.region not in self._ledgers:
            return None
        self.settle(settle)
        return messages.Settled(member=self._own)

    async def _on_state_question(
        self, sender: str, question: messages.LedgerStateQuestion
    ) -> messages.LedgerState:
        sync = self._syncs.get(question.region)
        return messages.LedgerState(synced=sync is not None and sync.done)

    async def _on_copy(
        self, sender: str, copy: messages.Copy
    ) -> messages.Copied | None:
        self._adopt(copy.region)
        sync = self._syncs.get(copy.region)
        if sync is None:
            return None
        return sync.answer(sender, copy, now_s=self._clock())
