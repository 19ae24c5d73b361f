"""Copy of the control state on an entry host.

The host requests the state from a source, and answers the requests of the
hosts that use it as their source. With the state it receives a proof: a time
at which the state was certainly current.
"""

import asyncio
from collections.abc import Callable
import random
import time
from typing import Any

import mode
import structlog

from skylarkpitch.config import keys as caller_keys
from skylarkpitch.dissemination import freshness
from skylarkpitch.dissemination import leases
from skylarkpitch.dissemination import neighbours
from skylarkpitch.dissemination import replica as replicas
from skylarkpitch.dissemination import reports
from skylarkpitch.dissemination import serving
from skylarkpitch.dissemination import source_selector
from skylarkpitch.dissemination import timing as timings
from skylarkpitch.dissemination import waiters
from skylarkpitch import errors
from skylarkpitch.messages import dissemination as messages
from skylarkpitch.peers import network
from skylarkpitch import ports
from skylarkpitch import sentinels
from skylarkpitch.settings import deployment

__all__ = ['StateFollower']

MIN_RETRY_S = 0.25
MAX_RETRY_S = 2.0
REPORT_INTERVAL_S = 0.5
REPORT_BATCH_DELAY_S = 0.1
# Without a proof for this long after its start, a host counts as cut off from
# control.
CUT_OFF_AFTER_S = 10.0
NEIGHBOUR_TIMEOUT_S = 1.0
MAX_HELD_REQUESTS = 4

_log = structlog.get_logger(__name__)


class StateFollower(mode.Service):
    """Replicate the state to this host and to the hosts that request it.

    A source holds a request until it has something new. A change therefore
    arrives at once, and each new proof answers a request of this host.
    ``sources()`` returns the names of the sources, best first; ``report()``
    returns the host's own status; ``on_change()`` is called when the state or
    its confirmation changed.
    """

    def __init__(
        self,
        *,
        peers: network.Peers,
        sources: Callable[[], tuple[str, ...]],
        site: str,
        report: Callable[[], dict],
        rng: random.Random,
        clock: Callable[[], float] = time.monotonic,
        on_change: Callable[[], None] = lambda: None,
        **options: Any,
    ) -> None:
        self._peers = peers
        self._report = report
        self._clock = clock
        self._rng = rng
        self._on_change = on_change
        self._started_at_s = clock()
        self._local_host = peers.directory.local_host
        self._selector = source_selector.SourceSelector(
            sources=sources, rng=rng
        )
        self._replica = replicas.Replica(site=site)
        self._saw_empty_state = False
        self._serving = serving.ServingState(
            replica=self._replica, site=site, started_at_s=self._started_at_s
        )
        self._waiters = waiters.Waiters()
        self._report_waiters = waiters.Waiters()
        self._reporter = reports.Reporter(
            host=self._local_host.name, first_sequence=int(time.time() * 1000)
        )
        self._source: str | None = None
        self._responding: list[str] = []
        self._last_was_useful = False
        self._unsuccessful_rounds = 0
        self._counters = {
            'state_answers': 0.0,
            'state_source_failures': 0.0,
            'state_rows_taken': 0.0,
            'state_questions_below': 0.0,
            'invariant_violations': 0.0,
        }
        super().__init__(**options)
        if 'control' not in self._local_host.roles:
            peers.handle(messages.StateRequest, self._on_request)
            peers.handle(messages.StateReports, self._on_reports)

    @property
    def version(self) -> int:
        """Return the version in force on this host."""
        return self._serving.applied_version

    @property
    def keys(self) -> caller_keys.KeyRing:
        """Return the valid keys."""
        return self._serving.keys

    @property
    def drains(self) -> frozenset[str]:
        """Return the upstreams that operators drain."""
        return frozenset(self._replica.view.drains)

    @property
    def is_leaving(self) -> bool:
        """Return whether operators have set this host to leave."""
        return self._local_host.name in self._replica.view.leaving_hosts

    @property
    def saw_empty_state(self) -> bool:
        """Return whether this process proved that no change was accepted yet.

        No host can have served a call before that proof.
        """
        return self._saw_empty_state

    @property
    def is_stale(self) -> bool:
        """Return whether a state that was loaded while cut off is served."""
        return self._serving.is_stale

    def age_s(self, now_s: float) -> float:
        """Return the age of the newest proof; inf before the first."""
        return now_s - self._replica.proven_at_s

    def site_config(self) -> deployment.SiteConfig | sentinels.Absent:
        """Return the site's configuration, or ``Absent('state_stale')``."""
        return self._serving.site_config()

    def authenticate(
        self, key: str | None, *, now_s: float
    ) -> ports.Caller | sentinels.Absent:
        """Return the caller of a key, or ``Absent`` with a reason."""
        return self._serving.authenticate(key, now_s=now_s)

    def counters(self) -> dict[str, float]:
        """Return counts and levels for metrics."""
        age_s = self.age_s(self._clock())
        return self._counters | {
            'state_version': float(self.version),
            'state_age_s': age_s if age_s < float('inf') else -1.0,
            'state_is_stale': float(self.is_stale),
            'state_questions_held': float(self._waiters.waiting),
            'state_digest_mismatches': float(self._replica.digest_mismatches),
            'state_whole_answers_taken': float(self._replica.whole_responses),
            'state_config_errors': float(self._serving.config_errors),
        }

    @mode.Service.task
    async def _follow(self) -> None:
        while not self.should_stop:
            source = self._selector.current(now_s=self._clock())
            if source is not None and await self._request_from_source(source):
                continue
            self._counters['state_source_failures'] += 1
            if self._selector.record_failure(now_s=self._clock()):
                await self._load_newest_if_cut_off()
                await self._wait_for_update()

    async def _request_from_source(self, source: str) -> bool:
        """Send a request to a source; return whether the response was useful.

        After a failure, requests are sent without a hold until one of them
        is useful, so that neither an unresponsive nor a stale source costs
        much of the lease.
        """
        timing = self._timing()
        if not self._last_was_useful:
            timing = timing.without_hold()
        self._last_was_useful = await self._send_request(source, timing=timing)
        if self._last_was_useful:
            self._selector.record_success()
            self._source = source
            self._responding = []
            self._unsuccessful_rounds = 0
        return self._last_was_useful

    async def _wait_for_update(self) -> None:
        """Send held requests to the sources that responded, if any."""
        responding = list(dict.fromkeys(self._responding))
        if not responding:
            await self.sleep(self._retry_s())
            return
        timing = self._timing()
        tasks = {
            asyncio.create_task(self._send_request(name, timing=timing)): name
            for name in responding[:MAX_HELD_REQUESTS]
        }
        try:
            useful = await waiters.first_true(set(tasks))
        finally:
            self._responding = []
            for task in tasks:
                task.cancel()
        if useful is None:
            await self.sleep(self._retry_s())
            return
        self._last_was_useful = True
        self._unsuccessful_rounds = 0
        self._selector.select(tasks[useful], now_s=self._clock())

    def _retry_s(self) -> float:
        """Return a random delay that grows with each unsuccessful round."""
        longest_s = min(
            MAX_RETRY_S, MIN_RETRY_S * 2 ** min(self._unsuccessful_rounds, 8)
        )
        self._unsuccessful_rounds += 1
        return longest_s * self._rng.uniform(0.5, 1.0)

    @mode.Service.task
    async def _report_regularly(self) -> None:
        while not self.should_stop:
            await self._report_waiters.wait_for(
                lambda: self._reporter.is_due(self.version),
                timeout_s=REPORT_INTERVAL_S,
            )
            await self.sleep(REPORT_BATCH_DELAY_S)
            self._send_reports()

    def _send_reports(self) -> None:
        target = self._source
        if target is None:
            return
        now_s = self._clock()
        age_s = self.age_s(now_s)
        rows = self._reporter.flush(
            applied_version=self.version,
            age_s=age_s if age_s < float('inf') else messages.UNPROVEN_S,
            report=self._report,
            now_s=now_s,
        )
        message = messages.StateReports(rows=rows)
        if rows and not self._peers.send(target, message):
            self._reporter.requeue(rows)

    def _timing(self) -> timings.RequestTiming:
        current = leases.leases_from(self._replica.view.base)
        return timings.timing_for(current.shortest_s)

    async def _send_request(
        self, source: str, *, timing: timings.RequestTiming
    ) -> bool:
        sent_at_s = self._clock()
        request = self._replica.build_request(
            now_s=sent_at_s, hold_s=timing.hold_s
        )
        response = await self._peers.request(
            source, request, timeout_s=timing.timeout_s
        )
        if isinstance(response, sentinels.Absent):
            return False
        self._responding.append(source)
        self._counters['state_answers'] += 1
        self._counters['state_rows_taken'] += len(response.rows)
        return self._apply_response(request, response, sent_at_s)

    def _apply_response(
        self,
        request: messages.StateRequest,
        response: messages.StateResponse,
        sent_at_s: float,
    ) -> bool:
        was_confirmed = self._serving.is_confirmed
        try:
            effect = self._replica.apply_response(
                request,
                response,
                sent_at_s=sent_at_s,
                drift=self._serving.drift,
            )
            self._serving.update(effect.kinds)
        except errors.InvariantError as error:
            self._replica.invalidate()
            self._counters['invariant_violations'] += 1
            _log.error('state_refused', error=str(error))
            return False
        self._serving.confirm()
        is_proven = self._replica.proven_at_s > freshness.NEVER_S
        if is_proven and self._replica.version == 0:
            self._saw_empty_state = True
        if effect.is_useful:
            self._waiters.wake()
            self._report_waiters.wake()
        if effect.kinds or self._serving.is_confirmed != was_confirmed:
            self._on_change()
        return effect.is_useful

    async def _on_request(
        self, sender: str, request: messages.StateRequest
    ) -> messages.StateResponse | None:
        self._counters['state_questions_below'] += 1
        if request.wants_parts:
            self._replica.add_sites(request.sites)
        received_at_s = self._clock()
        await self._waiters.wait_for(
            lambda: self._replica.has_updates(
                request, received_at_s=received_at_s
            ),
            timeout_s=min(request.hold_s, self._waiters.max_wait_s),
        )
        return self._replica.build_response(
            request, received_at_s=received_at_s, now_s=self._clock()
        )

    async def _on_reports(
        self, sender: str, message: messages.StateReports
    ) -> None:
        self._reporter.add(message.rows)
        self._report_waiters.wake()

    async def _load_newest_if_cut_off(self) -> None:
        """Load the newest state of the failure domain if all hosts respond."""
        waited_s = self._clock() - self._started_at_s
        if self._serving.is_confirmed or self._serving.is_stale:
            return
        if waited_s < CUT_OFF_AFTER_S:
            return
        newest = await neighbours.newest_neighbour(
            peers=self._peers,
            request=self._replica.build_request(
                now_s=self._clock(), hold_s=0.0, wants_parts=False
            ),
            timeout_s=NEIGHBOUR_TIMEOUT_S,
        )
        if newest is None:
            return
        timing = timings.RequestTiming(
            period_s=0.0, hold_s=0.0, timeout_s=NEIGHBOUR_TIMEOUT_S
        )
        name, version = newest
        await self._send_request(name, timing=timing)
        if self.version >= version and self._serving.allow_cut_off():
            _log.warning('state_stale_served', version=self.version)
            self._on_change()
