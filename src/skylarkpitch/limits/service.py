"""Enforce the limits of organisations over all entry hosts.

Implements the limiter port: a call spends a token of this host's share, and
the host borrows from others when its share is too small.
"""

import asyncio
import collections
from collections.abc import Callable
import dataclasses
import random
import time
from typing import Any

import mode
import structlog

from skylarkpitch import errors
from skylarkpitch.limits import accounts
from skylarkpitch.limits import holders as holder_tables
from skylarkpitch.limits import organisation as organisation_states
from skylarkpitch.limits import shares
from skylarkpitch.messages import limits as messages
from skylarkpitch.peers import network
from skylarkpitch import sentinels
from skylarkpitch.settings import deployment

__all__ = ['OrganisationLimits', 'OrganisationUsage']

RENEWALS_PER_LEASE = 3
MAX_WAIT_S = 0.25
URGENT_INTERVAL_S = 0.05
URGENT_TIMEOUT_S = 0.2
MAX_RETRY_AFTER_S = 60.0
DEFAULT_LEASE_S = 1.0

_log = structlog.get_logger(__name__)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class OrganisationUsage:
    """Usage of an organisation at one host since the host started.

    ``wrongly_refused`` counts refusals while a lender could still have had
    something to lend: it had not responded yet or had reported a spare
    share. ``rate_held_per_s`` is the current rate of this host's share,
    ``rate_per_s`` that of the whole limit.
    """

    spent: int
    refused: int
    wrongly_refused: int
    rate_held_per_s: float
    rate_per_s: float
    demand_per_s: float


@dataclasses.dataclass(slots=True, kw_only=True)
class _Queue:
    """Calls that wait for a token of one organisation.

    ``worker`` serves the waiters. Urgent requests are sent at least
    ``interval_s`` apart, the last one at ``requested_s``. The interval
    doubles with each of them, up to that of renewals, and is reset when a
    grant transfers tokens.
    """

    waiters: collections.deque[asyncio.Future[bool]]
    changed: asyncio.Event
    worker: asyncio.Task[None] | None = None
    requested_s: float = float('-inf')
    interval_s: float = URGENT_INTERVAL_S


class OrganisationLimits(mode.Service):
    """Limit organisations by rates and bursts that hosts share by escrow.

    ``config_version`` returns a number that changes with the result of
    ``site_config``. ``max_wait_s`` bounds the time that a call waits for a
    token.
    """

    def __init__(
        self,
        *,
        peers: network.Peers,
        site_config: Callable[[], deployment.SiteConfig | sentinels.Absent],
        config_version: Callable[[], int],
        clock: Callable[[], float] = time.monotonic,
        rng: random.Random,
        max_wait_s: float = MAX_WAIT_S,
        **options: Any,
    ) -> None:
        self._peers = peers
        self._site_config = site_config
        self._config_version = config_version
        self._clock = clock
        self._rng = rng
        self._max_wait_s = max_wait_s
        self._accounts = accounts.Accounts(
            holders=holder_tables.EntitlementHolders(
                directory=peers.directory
            ),
            incarnation=rng.getrandbits(62),
            now_s=clock(),
        )
        self._applied_version: int | None = None
        self._lease_s = DEFAULT_LEASE_S
        self._queues: dict[str, _Queue] = {}
        self._pending: set[tuple[str, str]] = set()
        self._request_tasks: set[asyncio.Task[None]] = set()
        self._counts: collections.Counter[str] = collections.Counter()
        super().__init__(**options)
        peers.handle(messages.LoanRequest, self._handle_request)

    async def spend(
        self, organisation: str, *, now_s: float, deadline_s: float
    ) -> float | sentinels.Absent:
        """Spend one token, waiting for a loan if there is none.

        Waits at most until ``deadline_s`` and at most ``max_wait_s``.
        Returns 0.0, or ``Absent`` with reason ``rate_exceeded`` and the
        seconds after which to retry in ``detail``. ``now_s`` is not used:
        the clock is read again, since a lease may have expired after
        ``now_s``.
        """
        now_s = self._clock()
        self._configure(now_s)
        state = self._accounts.organisations().get(organisation)
        if state is None:
            self._counts['unknown_organisation'] += 1
            return sentinels.Absent('rate_exceeded', '1.000')
        state.demand.record_call(now_s=now_s)
        queue = self._queue(organisation)
        if not queue.waiters and self._try_spend(organisation, now_s):
            return 0.0
        end_s = min(deadline_s, now_s + self._max_wait_s)
        if await self._wait_for_token(organisation, queue, end_s):
            return 0.0
        return self._refuse(organisation)

    def usage(self) -> dict[str, OrganisationUsage]:
        """Return the usage at this host, by organisation."""
        now_s = self._clock()
        return {
            name: OrganisationUsage(
                spent=item.account.spent,
                refused=item.refused,
                wrongly_refused=item.wrongly_refused,
                rate_held_per_s=item.account.available.rate
                / shares.MICROTOKENS_PER_TOKEN,
                rate_per_s=item.limit.rate / shares.MICROTOKENS_PER_TOKEN,
                demand_per_s=item.demand.rate_per_s(now_s=now_s),
            )
            for name, item in self._accounts.organisations().items()
        }

    def counters(self) -> dict[str, float]:
        """Return the counters for metrics and status."""
        items = self._accounts.organisations().values()
        return {
            'limits_spent': sum(item.account.spent for item in items),
            'limits_refused': sum(item.refused for item in items),
            'limits_wrongly_refused': sum(
                item.wrongly_refused for item in items
            ),
            'limits_waiting': sum(item.queued for item in items),
            'limits_requests_sent': self._counts['sent'],
            'limits_requests_answered': self._counts['answered'],
            'limits_requests_lost': self._counts['lost'],
            'limits_other_view': self._counts['other_view'],
            'limits_unknown_organisation': self._counts[
                'unknown_organisation'
            ],
            'limits_invariant_breaches': self._counts['breaches'],
        }

    async def on_stop(self) -> None:
        """Cancel the waiting calls and the requests under way."""
        for queue in self._queues.values():
            if queue.worker is not None:
                queue.worker.cancel()
            for waiter in queue.waiters:
                waiter.cancel()
        for task in tuple(self._request_tasks):
            task.cancel()

    @mode.Service.task
    async def _renew(self) -> None:
        while not self.should_stop:
            now_s = self._clock()
            self._configure(now_s)
            self._accounts.apply_due_entitlements(now_s=now_s)
            self._request_renewals(timeout_s=self._lease_s / 2)
            period_s = self._lease_s / RENEWALS_PER_LEASE
            await asyncio.sleep(period_s * self._rng.uniform(0.9, 1.0))

    def _configure(self, now_s: float) -> None:
        version = self._config_version()
        if version == self._applied_version:
            return
        config = self._site_config()
        if isinstance(config, sentinels.Absent):
            return
        self._applied_version = version
        self._lease_s = config.policy.limit_lease_s
        bounds = organisation_states.LeaseBounds(
            lease_s=config.policy.limit_lease_s,
            drift=config.policy.clock_drift_percent / 100,
            key_lease_s=config.policy.key_lease_s,
        )
        limits = {
            name: shares.from_tokens(
                rate_per_s=item.rate_per_s, burst=item.burst
            )
            for name, item in config.organisations.items()
        }
        self._accounts.configure(limits, bounds, now_s=now_s)
        self._accounts.apply_due_entitlements(now_s=now_s)

    def _queue(self, name: str) -> _Queue:
        if name not in self._queues:
            self._queues[name] = _Queue(
                waiters=collections.deque(), changed=asyncio.Event()
            )
        return self._queues[name]

    def _try_spend(self, name: str, now_s: float) -> bool:
        try:
            return self._accounts.spend(name, now_s=now_s)
        except errors.InvariantError as error:
            self._record_breach(error, organisation=name)
            return False

    def _record_breach(
        self, error: errors.InvariantError, **context: str
    ) -> None:
        self._counts['breaches'] += 1
        _log.error('invariant_broken', error=str(error), **context)

    async def _wait_for_token(
        self, name: str, queue: _Queue, end_s: float
    ) -> bool:
        organisation = self._accounts.organisations()[name]
        if len(queue.waiters) >= self._max_queue_length(organisation):
            return False
        waiter = asyncio.get_running_loop().create_future()
        queue.waiters.append(waiter)
        organisation.queued += 1
        if queue.worker is None or queue.worker.done():
            queue.worker = asyncio.create_task(self._serve_queue(name, queue))
        try:
            remaining_s = max(0.0, end_s - self._clock())
            async with asyncio.timeout(remaining_s):
                return await waiter
        except TimeoutError:
            return False
        finally:
            organisation.queued -= 1
            if waiter in queue.waiters:
                queue.waiters.remove(waiter)

    def _max_queue_length(
        self, organisation: organisation_states.OrganisationState
    ) -> int:
        """Return the number of calls that the whole limit allows in time."""
        limit = organisation.limit
        servable = limit.burst + limit.rate * self._max_wait_s
        return 1 + int(servable / shares.MICROTOKENS_PER_TOKEN)

    async def _serve_queue(self, name: str, queue: _Queue) -> None:
        while queue.waiters:
            now_s = self._clock()
            self._accounts.apply_due_entitlements(now_s=now_s)
            while queue.waiters and self._try_spend(name, now_s):
                waiter = queue.waiters.popleft()
                if not waiter.done():
                    waiter.set_result(True)
            if not queue.waiters:
                return
            self._request_urgently(name, queue, now_s)
            account = self._accounts.organisations()[name].account
            pause_s = min(account.seconds_until_tokens(), URGENT_INTERVAL_S)
            await self._pause(queue, max(0.001, pause_s))

    async def _pause(self, queue: _Queue, pause_s: float) -> None:
        queue.changed.clear()
        try:
            async with asyncio.timeout(pause_s):
                await queue.changed.wait()
        except TimeoutError:
            return

    def _refuse(self, name: str) -> sentinels.Absent:
        organisation = self._accounts.organisations()[name]
        organisation.refused += 1
        if self._lender_may_have_spare(name, organisation):
            organisation.wrongly_refused += 1
        wait_s = organisation.account.seconds_until_tokens(
            organisation.queued + 1
        )
        if wait_s > MAX_RETRY_AFTER_S:
            wait_s = self._lease_s
        return sentinels.Absent('rate_exceeded', f'{wait_s:.3f}')

    def _lender_may_have_spare(
        self, name: str, organisation: organisation_states.OrganisationState
    ) -> bool:
        return organisation.planner.may_have_spare(
            self._accounts.lenders(name)
        )

    def _request_urgently(
        self, name: str, queue: _Queue, now_s: float
    ) -> None:
        if now_s - queue.requested_s < queue.interval_s:
            return
        queue.requested_s = now_s
        max_interval_s = self._lease_s / RENEWALS_PER_LEASE
        queue.interval_s = min(2 * queue.interval_s, max_interval_s)
        requests = self._accounts.build_requests(
            now_s=now_s,
            names=(name,),
            urgent=True,
            pending=frozenset(self._pending),
        )
        self._send_requests(requests, timeout_s=URGENT_TIMEOUT_S)

    def _request_renewals(self, *, timeout_s: float) -> None:
        requests = self._accounts.build_requests(
            now_s=self._clock(), pending=frozenset(self._pending)
        )
        self._send_requests(requests, timeout_s=timeout_s)

    def _send_requests(
        self,
        requests: dict[str, messages.LoanRequest],
        *,
        timeout_s: float,
    ) -> list[asyncio.Task[None]]:
        tasks = []
        for lender, request in requests.items():
            pairs = {(loan.organisation, lender) for loan in request.wishes}
            self._pending |= pairs
            task = asyncio.create_task(
                self._request_loans(lender, request, pairs, timeout_s)
            )
            self._request_tasks.add(task)
            task.add_done_callback(self._request_tasks.discard)
            tasks.append(task)
        return tasks

    async def _request_loans(
        self,
        lender: str,
        request: messages.LoanRequest,
        pairs: set[tuple[str, str]],
        timeout_s: float,
    ) -> None:
        sent_s = self._clock()
        self._counts['sent'] += 1
        try:
            response = await self._peers.request(
                lender, request, timeout_s=timeout_s
            )
        finally:
            self._pending -= pairs
        if not isinstance(response, messages.LoanResponse):
            self._counts['lost'] += 1
            self._accounts.record_lost_request(lender, request)
            return
        now_s = self._clock()
        self._accounts.accept_response(
            lender, response, sent_s=sent_s, now_s=now_s
        )
        for grant in response.grants:
            queue = self._queue(grant.organisation)
            queue.changed.set()
            if grant.tokens:
                queue.interval_s = URGENT_INTERVAL_S

    async def _handle_request(
        self, sender: str, request: messages.LoanRequest
    ) -> messages.LoanResponse | None:
        now_s = self._clock()
        self._configure(now_s)
        self._accounts.apply_due_entitlements(now_s=now_s)
        if request.urgent:
            await self._borrow_for_request(sender, request)
        try:
            response = self._accounts.answer_request(
                sender, request, now_s=self._clock()
            )
        except errors.InvariantError as error:
            self._record_breach(error, borrower=sender)
            return None
        if response is None:
            self._counts['other_view'] += 1
            _log.warning('holders_differ', borrower=sender)
            return None
        self._counts['answered'] += 1
        return response

    async def _borrow_for_request(
        self, borrower: str, request: messages.LoanRequest
    ) -> None:
        """Borrow from other domains if a host of this domain needs more.

        Waits for the responses, so that the request can be granted from
        them.
        """
        holders = self._accounts.holders
        if holders.domain_of(borrower) != holders.failure_domain:
            return
        now_s = self._clock()
        names = self._accounts.find_shortages(borrower, request, now_s=now_s)
        if not names:
            return
        requests = self._accounts.build_requests(
            now_s=now_s,
            names=names,
            urgent=True,
            pending=frozenset(self._pending),
        )
        tasks = self._send_requests(
            requests, timeout_s=URGENT_TIMEOUT_S * 0.75
        )
        if tasks:
            await asyncio.wait(tasks)
