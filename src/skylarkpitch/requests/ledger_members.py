"""Ledger members that run on one host, at most one for each region."""

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
# This may be long, since a member also adopts a new list of members when it
# receives a claim.
IDLE_INTERVAL_S = 2.0
EXPIRY_INTERVAL_S = 5.0
COPY_TIMEOUT_S = 2.0

_log = structlog.get_logger(__name__)


class LedgerMembers(mode.Service):
    """Service that votes on claims and copies registers from peers.

    Copies after a start and after a change of members. ``members`` returns
    the members of a region's ledger and ``epoch`` the number of their list.
    The record of an operation is stored for ``retention_s``. ``opened_s``
    returns the Unix time up to which operators guarantee that no id chosen
    by a caller is sent again, and ``predates_all_operations`` returns True
    if this process has been running since before any host accepted an
    operation.
    """

    def __init__(
        self,
        *,
        peers: network.Peers,
        members: Callable[[str], tuple[str, ...]],
        epoch: Callable[[], int],
        retention_s: Callable[[], float],
        opened_s: Callable[[], float],
        predates_all_operations: Callable[[], bool],
        clock: Callable[[], float] = time.monotonic,
        wall_clock: Callable[[], float] = time.time,
        **options: Any,
    ) -> None:
        self._peers = peers
        self._own_name = peers.directory.local_host.name
        self._members_of = members
        self._epoch = epoch
        self._retention_s = retention_s
        self._opened_s = opened_s
        self._predates_all_operations = predates_all_operations
        self._clock = clock
        self._wall_clock = wall_clock
        self._started_wall_s = wall_clock()
        self._members: dict[str, ledger.Member] = {}
        self._syncs: dict[str, ledger_sync.Sync] = {}
        super().__init__(**options)
        peers.handle(messages.ClaimRequest, self._on_claim)
        peers.handle(messages.SettleRequest, self._on_settle)
        peers.handle(messages.CopyRequest, self._on_copy)
        peers.handle(
            messages.LedgerStateRequest, self._on_ledger_state_request
        )

    def counters(self) -> dict[str, float]:
        """Return the sizes of the registers and the state of copying."""
        members = self._members.values()
        return {
            'registers': sum(len(item) for item in members),
            'kept_answer_bytes': sum(
                item.stored_body_bytes for item in members
            ),
            'members': len(self._members),
            'members_not_synced': sum(
                not sync.is_done for sync in self._syncs.values()
            ),
        }

    def votes_from_s(self, region: str) -> float | None:
        """Return the issue time from which on members grant claims.

        Returns a Unix time, or None if this host is no member or has not
        copied from enough peers yet.
        """
        sync = self._syncs.get(region)
        return None if sync is None else sync.votes_from_s

    def vote(
        self, claim: messages.ClaimRequest
    ) -> messages.ClaimResponse | None:
        """Return the vote of this host, or None if it is no member."""
        self._adopt(claim.region)
        member = self._members.get(claim.region)
        if member is None:
            return None
        return member.vote(
            claim,
            now_s=self._clock(),
            wall_s=self._wall_clock(),
            retention_s=self._retention_s(),
            opened_s=self._opened_s(),
        )

    def settle(self, settle: messages.SettleRequest) -> None:
        """Store the final state of a claim, if this host is a member."""
        member = self._members.get(settle.region)
        if member is not None:
            member.settle(settle.register, now_s=self._clock())

    async def sync(self) -> None:
        """Adopt new lists of members, and copy where that is needed."""
        regions = {host.region for host in self._peers.directory.all()}
        for region in sorted(regions):
            self._adopt(region)
        for region, sync in self._syncs.items():
            if not sync.is_done and self._own_name in self._members_of(region):
                await self._sync_one(region, sync)
        for member in self._members.values():
            if self._predates_all_operations() and member.may_grant:
                # No claim was granted before this process started, so the
                # history of the member is complete.
                member.history_start_s = 0.0

    async def are_peers_synced(self) -> bool:
        """Return whether the registers would survive a stop of this host.

        That is the case if, for each ledger, as many peers have finished
        copying as a restarted member copies from.
        """
        for region, member in self._members.items():
            request = messages.LedgerStateRequest(region=region)
            peers = [n for n in member.members if n != self._own_name]
            states = await asyncio.gather(
                *(
                    self._peers.request(
                        name, request, timeout_s=COPY_TIMEOUT_S
                    )
                    for name in peers
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
            is_done = all(sync.is_done for sync in self._syncs.values())
            await self.sleep(IDLE_INTERVAL_S if is_done else SYNC_INTERVAL_S)

    @mode.Service.task
    async def _remove_expired(self) -> None:
        while not self.should_stop:
            await self.sleep(EXPIRY_INTERVAL_S)
            for member in self._members.values():
                member.remove_expired(
                    now_s=self._clock(),
                    wall_s=self._wall_clock(),
                    retention_s=self._retention_s(),
                )

    def _adopt(self, region: str) -> None:
        listed = self._members_of(region)
        sync = self._syncs.get(region)
        if sync is not None:
            if listed:
                sync.adopt(self._epoch(), listed)
            return
        if self._own_name not in listed:
            return
        member = ledger.Member(
            name=self._own_name,
            region=region,
            incarnation=int(self._wall_clock() * 1e6),
            epoch=self._epoch(),
            members=listed,
            history_start_s=self._started_wall_s + operation_ids.CLOCK_SKEW_S,
        )
        self._members[region] = member
        self._syncs[region] = ledger_sync.Sync(member=member)

    async def _sync_one(self, region: str, sync: ledger_sync.Sync) -> None:
        responses = await asyncio.gather(
            *(self._copy_from(name, sync) for name in sync.peers())
        )
        sources = [item for item in responses if item is not None]
        sync.finish_round(sources, now_s=self._clock())
        _log.info(
            'ledger_sync_round',
            region=region,
            answered=len(sources),
            done=sync.is_done,
        )

    async def _copy_from(
        self, name: str, sync: ledger_sync.Sync
    ) -> ledger_sync.Source | None:
        parts: list[messages.CopyResponse] = []
        while not parts or not parts[-1].last:
            after = None
            if parts and parts[-1].registers:
                last = parts[-1].registers[-1]
                after = (last.organisation, last.operation_id)
            part = await self._peers.request(
                name, sync.copy_request(after), timeout_s=COPY_TIMEOUT_S
            )
            if sentinels.is_absent(part):
                return None
            parts.append(part)
        return ledger_sync.Source(
            name=name, incarnation=parts[0].incarnation, parts=parts
        )

    async def _on_claim(
        self, sender: str, claim: messages.ClaimRequest
    ) -> messages.ClaimResponse | None:
        return self.vote(claim)

    async def _on_settle(
        self, sender: str, settle: messages.SettleRequest
    ) -> messages.SettleResponse | None:
        if settle.region not in self._members:
            return None
        self.settle(settle)
        return messages.SettleResponse(member=self._own_name)

    async def _on_ledger_state_request(
        self, sender: str, request: messages.LedgerStateRequest
    ) -> messages.LedgerStateResponse:
        sync = self._syncs.get(request.region)
        return messages.LedgerStateResponse(
            synced=sync is not None and sync.is_done
        )

    async def _on_copy(
        self, sender: str, request: messages.CopyRequest
    ) -> messages.CopyResponse | None:
        self._adopt(request.region)
        sync = self._syncs.get(request.region)
        if sync is None:
            return None
        return sync.copy_response(sender, request, now_s=self._clock())
