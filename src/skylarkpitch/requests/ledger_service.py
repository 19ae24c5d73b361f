"""Claim operations at a majority of their home region's ledger members.

The service is claimer for the calls of its own host and a member of the
ledgers that name its host. See :mod:`skylarkpitch.requests.ledger`.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
import dataclasses
import itertools
import math
import random
import time
from typing import Any

import mode

from skylarkpitch import errors
from skylarkpitch.messages import requests as messages
from skylarkpitch.peers import network
from skylarkpitch import ports
from skylarkpitch.requests import claims
from skylarkpitch.requests import ledger
from skylarkpitch.requests import ledger_members
from skylarkpitch.requests import ledger_notifier
from skylarkpitch.requests import operation_ids
from skylarkpitch.requests import operation_life
from skylarkpitch import sentinels

__all__ = ['OperationLedger']

ASK_TIMEOUT_S = 1.0
UNREACHABLE_RETRY_S = 1.0
LEASE_MARGIN_S = 5.0
FIRST_PAUSE_S = 0.02
LONGEST_PAUSE_S = 0.25

# A claim is settled after its end, so the chart's events come at once.
_EVENTS = {
    ledger.State.RECORDED: ('send', 'answer'),
    ledger.State.UNKNOWN: ('send', 'lose'),
    ledger.State.RELEASED: ('release',),
}
_REASONS = {
    claims.Verdict.REUSED: 'id_reused',
    claims.Verdict.UNKNOWN: 'outcome_unknown',
    claims.Verdict.EXPIRED: 'id_expired',
    claims.Verdict.FULL: 'ledger_unreachable',
}


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _Won(ports.OperationClaim):
    """A claim that was won, with what its end has to name."""

    region: str
    register: messages.Register
    life: operation_life.OperationLife


class OperationLedger(mode.Service):
    """Claim operations, and keep the registers of this host's ledgers."""

    def __init__(
        self,
        *,
        peers: network.Peers,
        region: str,
        members: Callable[[str], tuple[str, ...]],
        epoch: Callable[[], int],
        retention_s: Callable[[], float],
        opened_s: Callable[[], float] = lambda: 0.0,
        saw_beginning: Callable[[], bool] = lambda: False,
        clock: Callable[[], float] = time.monotonic,
        wall_clock: Callable[[], float] = time.time,
        rng: random.Random | None = None,
        **options: Any,
    ) -> None:
        self._peers = peers
        self._own = peers.directory.local_host.name
        self._region = region
        self._list_of = members
        self._epoch = epoch
        self._retention_s = retention_s
        self._clock = clock
        self._wall_clock = wall_clock
        self._rng = rng or random.Random()
        self._started_s = wall_clock()
        self._start_id = f'{self._own}.{int(self._started_s * 1e6)}'
        self._numbers = itertools.count(1)
        self._tasks: set[asyncio.Task[Any]] = set()
        self._counts = {'won': 0, 'replayed': 0, 'refused': 0, 'rounds': 0}
        self._members = ledger_members.LedgerMembers(
            peers=peers,
            members=members,
            epoch=epoch,
            retention_s=retention_s,
            opened_s=opened_s,
            saw_beginning=saw_beginning,
            clock=clock,
            wall_clock=wall_clock,
        )
        self._notifier = ledger_notifier.LedgerNotifier(
            peers=peers, own=self._members
        )
        super().__init__(**options)

    async def on_start(self) -> None:
        """Open the registers of this host's ledgers."""
        await self.add_runtime_dependency(self._members)

    async def on_stop(self) -> None:
        """Stop what is still being told to members."""
        for task in self._tasks:
            task.cancel()

    def id_prefix(self) -> str:
        """Return the prefix that a caller completes with a unique part."""
        wall_s = self._wall_clock()
        votes_from_s = self._members.votes_from_s(self._region)
        if votes_from_s is None:
            # Members that started no later than now vote on such an id.
            votes_from_s = min(wall_s, self._started_s)
            votes_from_s += operation_ids.CLOCK_SKEW_S
        return operation_ids.issue_prefix(
            region=self._region, wall_s=max(math.ceil(votes_from_s), wall_s)
        )

    async def wait_for_peers(self, *, timeout_s: float) -> bool:
        """Wait until this host may stop without a loss of registers.

        Returns False when that was not so within ``timeout_s``.
        """
        end_s = self._clock() + timeout_s
        while not await self._members.are_peers_synced():
            if self._clock() >= end_s:
                return False
            await asyncio.sleep(LONGEST_PAUSE_S)
        return True

    def counters(self) -> dict[str, float]:
        """Return ends of claims, and what this host's registers hold."""
        return {**self._counts, **self._members.counters()}

    async def claim(
        self,
        *,
        organisation: str,
        operation_id: str,
        fingerprint: bytes,
        deadline_s: float,
    ) -> ports.OperationClaim | ports.RecordedResponse | sentinels.Absent:
        """Claim before the first byte leaves; see ``ports.Ledger``."""
        parsed = operation_ids.parse(
            operation_id, organisation=organisation, regions=self._regions()
        )
        if parsed.issued_s is not None and ledger.is_expired(
            parsed.issued_s,
            wall_s=self._wall_clock(),
            retention_s=self._retention_s(),
        ):
            return self._refuse('id_expired')
        started_s = self._clock()
        pause_s = FIRST_PAUSE_S
        while True:
            asked = self._question(parsed, organisation, fingerprint)
            asked = dataclasses.replace(
                asked, lease_s=self._lease_s(deadline_s)
            )
            tally, verdict = await self._round(asked, deadline_s)
            if verdict is claims.Verdict.WON:
                return self._win(asked)
            end = self._end(verdict, tally)
            if end is not None:
                return end
            now_s = self._clock()
            if now_s + pause_s >= deadline_s:
                return self._give_up(verdict, parsed)
            if (
                verdict in (claims.Verdict.UNREACHABLE, claims.Verdict.LOST)
                and now_s - started_s >= UNREACHABLE_RETRY_S
            ):
                return self._give_up(verdict, parsed)
            await asyncio.sleep(pause_s * (0.5 + self._rng.random()))
            pause_s = min(2 * pause_s, LONGEST_PAUSE_S)

    async def record(
        self, claimed: ports.OperationClaim, answer: ports.RecordedResponse
    ) -> None:
        """Keep the answer for resends."""
        kept = (
            answer.is_complete and len(answer.body) <= ledger.MAX_ANSWER_BYTES
        )
        await self._settle(
            claimed,
            ledger.State.RECORDED,
            status=answer.status,
            headers=answer.headers,
            body=answer.body if kept else b'',
            whole=kept,
        )

    async def release(self, claimed: ports.OperationClaim) -> None:
        """Give the claim back; only when no byte of the request left."""
        await self._settle(claimed, ledger.State.RELEASED)

    async def mark_unknown(self, claimed: ports.OperationClaim) -> None:
        """Mark the outcome as unknown; the operation never runs again."""
        await self._settle(claimed, ledger.State.UNKNOWN)

    def _regions(self) -> set[str]:
        return {host.region for host in self._peers.directory.all()}

    def _lease_s(self, deadline_s: float) -> float:
        return max(0.0, deadline_s - self._clock()) + LEASE_MARGIN_S

    def _question(
        self,
        parsed: operation_ids.OperationId,
        organisation: str,
        fingerprint: bytes,
    ) -> messages.Claim:
        return messages.Claim(
            region=parsed.region,
            epoch=self._epoch(),
            members=self._list_of(parsed.region),
            organisation=organisation,
            operation_id=parsed.text,
            token=f'{self._start_id}.{next(self._numbers)}',
            fingerprint=fingerprint,
            lease_s=0.0,
        )

    async def _round(
        self, asked: messages.Claim, deadline_s: float
    ) -> tuple[claims.Tally, claims.Verdict]:
        """Ask all members at once; give back the grants of a lost round."""
        self._counts['rounds'] += 1
        tally = claims.Tally(
            members=asked.members, fingerprint=asked.fingerprint
        )
        timeout_s = min(ASK_TIMEOUT_S, deadline_s - self._clock())
        verdict = claims.Verdict.UNREACHABLE
        if not asked.members or timeout_s <= 0:
            return tally, verdict
        pending = [
            self._spawn(self._ask(name, asked, timeout_s))
            for name in asked.members
        ]
        try:
            for next_vote in asyncio.as_completed(pending):
                tally.add(*await next_vote)
                verdict = tally.verdict()
                if verdict is not None:
                    break
        finally:
            if verdict is not claims.Verdict.WON:
                self._spawn(self._give_back(asked, pending))
        return tally, verdict

    async def _ask(
        self, name: str, asked: messages.Claim, timeout_s: float
    ) -> tuple[str, messages.Vote | None]:
        if name == self._own:
            return name, self._members.vote(asked)
        vote = await self._peers.request(name, asked, timeout_s=timeout_s)
        return name, None if sentinels.is_absent(vote) else vote

    async def _give_back(
        self, asked: messages.Claim, pending: list[asyncio.Task[Any]]
    ) -> None:
        votes = await asyncio.gather(*pending)
        written = tuple(
            name
            for name, vote in votes
            if vote is None or vote.outcome == ledger.Outcome.GRANTED
        )
        register = _register(asked, ledger.State.RELEASED.value)
        await self._notifier.tell(asked.region, written, register)

    def _spawn(self, work: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def _win(self, asked: messages.Claim) -> ports.OperationClaim:
        self._counts['won'] += 1
        life = operation_life.OperationLife()
        life.take('claim')
        return _Won(
            operation_id=asked.operation_id,
            region=asked.region,
            register=_register(asked, ledger.State.CLAIMED.value),
            life=life,
        )

    def _end(
        self,
        verdict: claims.Verdict,
        tally: claims.Tally,
    ) -> ports.RecordedResponse | sentinels.Absent | None:
        """Return the end of a claim, or None when it may be tried again."""
        if verdict is claims.Verdict.RECORDED:
            self._counts['replayed'] += 1
            register = tally.register()
            return ports.RecordedResponse(
                status=register.status,
                headers=register.headers,
                body=register.body,
                is_complete=register.whole,
            )
        if verdict in _REASONS:
            return self._refuse(_REASONS[verdict])
        return None

    def _give_up(
        self, verdict: claims.Verdict, parsed: operation_ids.OperationId
    ) -> sentinels.Absent:
        if verdict is claims.Verdict.HELD:
            return self._refuse('still_running')
        if verdict is claims.Verdict.LOST and parsed.issued_s is not None:
            return self._refuse(
                'id_expired', 'the record from before a restart was lost'
            )
        return self._refuse('ledger_unreachable')

    def _refuse(self, reason: str, detail: str = '') -> sentinels.Absent:
        self._counts['refused'] += 1
        return sentinels.Absent(reason, detail)

    async def _settle(
        self,
        claimed: ports.OperationClaim,
        state: ledger.State,
        **changes: Any,
    ) -> None:
        if not isinstance(claimed, _Won):
            raise errors.InvariantError(
                f'operation {claimed.operation_id!r} was not claimed here; '
                'settle the claim that claim() returned'
            )
        claimed.life.take(*_EVENTS[state])
        register = dataclasses.replace(
            claimed.register, state=state.value, **changes
        )
        members = self._list_of(claimed.region)
        await self._notifier.tell(claimed.region, members, register)


def _register(asked: messages.Claim, state: str) -> messages.Register:
    return messages.Register(
        organisation=asked.organisation,
        operation_id=asked.operation_id,
        token=asked.token,
        fingerprint=asked.fingerprint,
        state=state,
        lease_s=asked.lease_s,
    )
