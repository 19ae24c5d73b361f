"""Claims of operations at the ledger of their home region.

An operation is claimed by a majority of the members of the ledger before it
is sent to an upstream, so that it runs at most once. The service claims the
operations of the requests that its host received, and it runs the ledger
members of its host (:mod:`skylarkpitch.requests.ledger`).
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
from skylarkpitch.requests import operation_lifecycle
from skylarkpitch import sentinels

__all__ = ['OperationLedger']

CLAIM_TIMEOUT_S = 1.0
MAX_UNREACHABLE_S = 1.0
# Time after the deadline in which the claimer can still report the outcome.
LEASE_MARGIN_S = 5.0
INITIAL_BACKOFF_S = 0.02
MAX_BACKOFF_S = 0.25

# A claim is settled only after its end, so its events are applied together.
_EVENTS_BY_STATE = {
    ledger.State.RECORDED: ('send', 'answer'),
    ledger.State.UNKNOWN: ('send', 'lose'),
    ledger.State.RELEASED: ('release',),
}
# Refusal reasons of the verdicts after which a claim is not retried.
_REASON_BY_VERDICT = {
    claims.Verdict.ID_REUSED: 'id_reused',
    claims.Verdict.UNKNOWN: 'outcome_unknown',
    claims.Verdict.EXPIRED: 'id_expired',
    claims.Verdict.FULL: 'ledger_unreachable',
}


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _WonClaim(ports.OperationClaim):
    """Granted claim, with the data to settle it."""

    region: str
    register: messages.Register
    lifecycle: operation_lifecycle.OperationLifecycle


class OperationLedger(mode.Service):
    """Service that claims operations and runs the members of this host.

    ``region`` is that of the host, ``members`` returns the members of a
    region's ledger and ``epoch`` the number of their list. The record of an
    operation is stored for ``retention_s``. ``opened_s`` returns the Unix
    time up to which operators guarantee that no id chosen by a caller is
    sent again, and ``predates_all_operations`` returns True if this process
    has been running since before any host accepted an operation.
    """

    def __init__(
        self,
        *,
        peers: network.Peers,
        region: str,
        members: Callable[[str], tuple[str, ...]],
        epoch: Callable[[], int],
        retention_s: Callable[[], float],
        opened_s: Callable[[], float] = lambda: 0.0,
        predates_all_operations: Callable[[], bool] = lambda: False,
        clock: Callable[[], float] = time.monotonic,
        wall_clock: Callable[[], float] = time.time,
        rng: random.Random | None = None,
        **options: Any,
    ) -> None:
        self._peers = peers
        self._own_name = peers.directory.local_host.name
        self._region = region
        self._members_of = members
        self._epoch = epoch
        self._retention_s = retention_s
        self._clock = clock
        self._wall_clock = wall_clock
        self._rng = rng or random.Random()
        self._started_s = wall_clock()
        self._start_id = f'{self._own_name}.{int(self._started_s * 1e6)}'
        self._claim_numbers = itertools.count(1)
        self._tasks: set[asyncio.Task[Any]] = set()
        self._counts = {'won': 0, 'replayed': 0, 'refused': 0, 'rounds': 0}
        self._members = ledger_members.LedgerMembers(
            peers=peers,
            members=members,
            epoch=epoch,
            retention_s=retention_s,
            opened_s=opened_s,
            predates_all_operations=predates_all_operations,
            clock=clock,
            wall_clock=wall_clock,
        )
        self._notifier = ledger_notifier.LedgerNotifier(
            peers=peers, local_members=self._members
        )
        super().__init__(**options)

    async def on_start(self) -> None:
        """Start the ledger members of this host."""
        await self.add_runtime_dependency(self._members)

    async def on_stop(self) -> None:
        """Cancel the messages to members that are in progress."""
        for task in self._tasks:
            task.cancel()

    def id_prefix(self) -> str:
        """Return the prefix of an id, to which a caller adds a unique part."""
        wall_s = self._wall_clock()
        votes_from_s = self._members.votes_from_s(self._region)
        if votes_from_s is None:
            # Members that have started by now grant claims of such an id.
            votes_from_s = min(wall_s, self._started_s)
            votes_from_s += operation_ids.CLOCK_SKEW_S
        return operation_ids.issue_prefix(
            region=self._region, wall_s=max(math.ceil(votes_from_s), wall_s)
        )

    async def wait_for_peers(self, *, timeout_s: float) -> bool:
        """Wait until this host can stop without loss of registers.

        Returns False if that is not the case within ``timeout_s``.
        """
        end_s = self._clock() + timeout_s
        while not await self._members.are_peers_synced():
            if self._clock() >= end_s:
                return False
            await asyncio.sleep(MAX_BACKOFF_S)
        return True

    def counters(self) -> dict[str, float]:
        """Return counts of claims and the sizes of the registers."""
        return {**self._counts, **self._members.counters()}

    async def claim(
        self,
        *,
        organisation: str,
        operation_id: str,
        fingerprint: bytes,
        deadline_s: float,
    ) -> ports.OperationClaim | ports.RecordedResponse | sentinels.Absent:
        """Claim an operation before any byte is sent; see ``ports.Ledger``."""
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
        backoff_s = INITIAL_BACKOFF_S
        while True:
            request = self._claim_request(parsed, organisation, fingerprint)
            request = dataclasses.replace(
                request, lease_s=self._lease_s(deadline_s)
            )
            tally, verdict = await self._run_round(request, deadline_s)
            if verdict is claims.Verdict.WON:
                return self._accept_win(request)
            result = self._final_result(verdict, tally)
            if result is not None:
                return result
            now_s = self._clock()
            if now_s + backoff_s >= deadline_s:
                return self._refuse_after_retries(verdict, parsed)
            if (
                verdict
                in (claims.Verdict.UNREACHABLE, claims.Verdict.HISTORY_LOST)
                and now_s - started_s >= MAX_UNREACHABLE_S
            ):
                return self._refuse_after_retries(verdict, parsed)
            await asyncio.sleep(backoff_s * (0.5 + self._rng.random()))
            backoff_s = min(2 * backoff_s, MAX_BACKOFF_S)

    async def record(
        self, claimed: ports.OperationClaim, response: ports.RecordedResponse
    ) -> None:
        """Record the response, which is returned to resends of the request.

        A body that is incomplete or larger than ``MAX_RECORDED_BODY_BYTES``
        is not stored.
        """
        is_stored = (
            response.is_complete
            and len(response.body) <= ledger.MAX_RECORDED_BODY_BYTES
        )
        await self._settle(
            claimed,
            ledger.State.RECORDED,
            status=response.status,
            headers=response.headers,
            body=response.body if is_stored else b'',
            whole=is_stored,
        )

    async def release(self, claimed: ports.OperationClaim) -> None:
        """Release the claim; only if no byte of the request was sent."""
        await self._settle(claimed, ledger.State.RELEASED)

    async def mark_unknown(self, claimed: ports.OperationClaim) -> None:
        """Record an unknown outcome; the operation never runs again."""
        await self._settle(claimed, ledger.State.UNKNOWN)

    def _regions(self) -> set[str]:
        return {host.region for host in self._peers.directory.all()}

    def _lease_s(self, deadline_s: float) -> float:
        return max(0.0, deadline_s - self._clock()) + LEASE_MARGIN_S

    def _claim_request(
        self,
        parsed: operation_ids.OperationId,
        organisation: str,
        fingerprint: bytes,
    ) -> messages.ClaimRequest:
        return messages.ClaimRequest(
            region=parsed.region,
            epoch=self._epoch(),
            members=self._members_of(parsed.region),
            organisation=organisation,
            operation_id=parsed.text,
            token=f'{self._start_id}.{next(self._claim_numbers)}',
            fingerprint=fingerprint,
            lease_s=0.0,
        )

    async def _run_round(
        self, request: messages.ClaimRequest, deadline_s: float
    ) -> tuple[claims.Tally, claims.Verdict]:
        """Send the claim to all members; release the grants if it is lost."""
        self._counts['rounds'] += 1
        tally = claims.Tally(
            members=request.members, fingerprint=request.fingerprint
        )
        timeout_s = min(CLAIM_TIMEOUT_S, deadline_s - self._clock())
        verdict = claims.Verdict.UNREACHABLE
        if not request.members or timeout_s <= 0:
            return tally, verdict
        pending = [
            self._spawn(self._request_vote(name, request, timeout_s))
            for name in request.members
        ]
        try:
            for next_vote in asyncio.as_completed(pending):
                tally.add(*await next_vote)
                verdict = tally.verdict()
                if verdict is not None:
                    break
        finally:
            if verdict is not claims.Verdict.WON:
                self._spawn(self._release_grants(request, pending))
        return tally, verdict

    async def _request_vote(
        self, name: str, request: messages.ClaimRequest, timeout_s: float
    ) -> tuple[str, messages.ClaimResponse | None]:
        if name == self._own_name:
            return name, self._members.vote(request)
        vote = await self._peers.request(name, request, timeout_s=timeout_s)
        return name, None if sentinels.is_absent(vote) else vote

    async def _release_grants(
        self, request: messages.ClaimRequest, pending: list[asyncio.Task[Any]]
    ) -> None:
        votes = await asyncio.gather(*pending)
        members = tuple(
            name
            for name, vote in votes
            if vote is None or vote.outcome == ledger.Outcome.GRANTED
        )
        register = _register(request, ledger.State.RELEASED.value)
        await self._notifier.notify(request.region, members, register)

    def _spawn(self, work: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def _accept_win(
        self, request: messages.ClaimRequest
    ) -> ports.OperationClaim:
        self._counts['won'] += 1
        lifecycle = operation_lifecycle.OperationLifecycle()
        lifecycle.apply('claim')
        return _WonClaim(
            operation_id=request.operation_id,
            region=request.region,
            register=_register(request, ledger.State.CLAIMED.value),
            lifecycle=lifecycle,
        )

    def _final_result(
        self,
        verdict: claims.Verdict,
        tally: claims.Tally,
    ) -> ports.RecordedResponse | sentinels.Absent | None:
        """Return the result of a claim, or None if it may be retried."""
        if verdict is claims.Verdict.RECORDED:
            self._counts['replayed'] += 1
            register = tally.decisive_register()
            return ports.RecordedResponse(
                status=register.status,
                headers=register.headers,
                body=register.body,
                is_complete=register.whole,
            )
        if verdict in _REASON_BY_VERDICT:
            return self._refuse(_REASON_BY_VERDICT[verdict])
        return None

    def _refuse_after_retries(
        self, verdict: claims.Verdict, parsed: operation_ids.OperationId
    ) -> sentinels.Absent:
        if verdict is claims.Verdict.STILL_RUNNING:
            return self._refuse('still_running')
        if (
            verdict is claims.Verdict.HISTORY_LOST
            and parsed.issued_s is not None
        ):
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
        if not isinstance(claimed, _WonClaim):
            raise errors.InvariantError(
                f'operation {claimed.operation_id!r} was not claimed by this '
                'host; settle the claim that claim() returned'
            )
        claimed.lifecycle.apply(*_EVENTS_BY_STATE[state])
        register = dataclasses.replace(
            claimed.register, state=state.value, **changes
        )
        members = self._members_of(claimed.region)
        await self._notifier.notify(claimed.region, members, register)


def _register(request: messages.ClaimRequest, state: str) -> messages.Register:
    return messages.Register(
        organisation=request.organisation,
        operation_id=request.operation_id,
        token=request.token,
        fingerprint=request.fingerprint,
        state=state,
        lease_s=request.lease_s,
    )
