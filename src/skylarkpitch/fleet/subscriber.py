"""Subscribe an entry host to the fleet state of the control hosts.

One control host is watched: it responds when the state changes. Another one
is polled, so that a watched one that stops responding delays no update for
longer than the interval of the polls. While the watch works, polls find
nothing new and their responses are small. A response from a control host
whose state may be old is applied, since it is never older than the view, but
does not show that the view is current. Other control hosts are asked then.
"""

from collections.abc import Callable
import time
from typing import Any

import mode
import structlog

from skylarkpitch import errors
from skylarkpitch.fleet import control_requests
from skylarkpitch.fleet import currency
from skylarkpitch.fleet import model
from skylarkpitch.fleet import source_status
from skylarkpitch.fleet import sources as source_sets
from skylarkpitch.fleet import view as views
from skylarkpitch.messages import fleet as messages
from skylarkpitch.peers import network
from skylarkpitch import sentinels

__all__ = ['Subscriber']

POLL_INTERVAL_S = 0.5
REPORT_ATTEMPTS = 2
# A control host responds after this time if nothing has changed.
WATCH_WAIT_S = 0.8
WATCH_TIMEOUT_S = 1.3
RETRY_DELAY_S = 0.1
REPORT_INTERVAL_S = 0.5
# Delay of a report that the response to the one before it asks for.
REPORT_AGAIN_S = 0.05
READY_CHECK_INTERVAL_S = 0.05
REPORT_TIMEOUT_S = 1.0
MAX_STARTUP_WAIT_S = 4.0
# Without any response for longer, the control hosts in use may be gone.
UNANSWERED_S = 2.0

_log = structlog.get_logger(__name__)


class Subscriber(mode.Service):
    """Watch control hosts, and report this entry host to the leader.

    ``on_changed`` is called with the changes of the view,
    ``report`` returns the next report, and ``on_grant`` is called with the
    leader's response to it; it returns whether to report again at once.
    ``seeds`` returns the control hosts to use until the first response
    lists the members of the control group, and beside these while none of
    them responds; it is called again, as settings change. ``region_of``
    returns the region of a failure domain, or None.
    """

    def __init__(
        self,
        *,
        peers: network.Peers,
        view: views.FleetView,
        seeds: Callable[[], tuple[str, ...]],
        on_changed: Callable[[views.Changes], None],
        report: Callable[[], control_requests.EntryReport],
        on_grant: Callable[[control_requests.EntryGrant], bool],
        region_of: Callable[[str], str | None],
        clock: Callable[[], float] = time.monotonic,
        **options: Any,
    ) -> None:
        self._peers = peers
        self._view = view
        self._seeds = seeds
        self._on_changed = on_changed
        self._build_report = report
        self._on_grant = on_grant
        self._region_of = region_of
        self._clock = clock
        self._sources = source_sets.Sources(
            host=peers.directory.local_host.name, distance=self._distance
        )
        self._source_statuses = source_status.SourceStatuses()
        self._watched_source = ''
        self._started_s = clock()
        self._answered_s = self._started_s
        self._fresh_at_s = float('-inf')
        self._has_been_fresh = False
        self._is_control_lost = False
        self.is_leaving = False
        super().__init__(**options)

    @property
    def is_ready(self) -> bool:
        """Return whether this host can serve callers.

        It needs a configuration and a view that has once been current. After
        ``MAX_STARTUP_WAIT_S`` it no longer waits for the latter, so that a
        failure domain that is cut off from control still serves callers.
        """
        if self.is_leaving or not self._view.version:
            return False
        waited_s = self._clock() - self._started_s
        return self._has_been_fresh or waited_s > MAX_STARTUP_WAIT_S

    def age_s(self) -> float:
        """Return the maximum age of the view; ``inf`` until it was current."""
        return self._clock() - self._fresh_at_s

    def counters(self) -> dict[str, float]:
        """Return gauges of the control hosts that are asked."""
        return self._source_statuses.counters()

    async def leave(self) -> None:
        """Report that this host leaves, so that look-ups stop returning it."""
        self.is_leaving = True
        await self._report()

    @mode.Service.task
    async def _watch(self) -> None:
        self._sources.replace(self._seeds())
        while not self.should_stop:
            source = self._sources.best(now_s=self._clock())
            if source is None:
                await self.sleep(RETRY_DELAY_S)
                self._update_sources(())
                continue
            self._watched_source = source
            if not await self._watch_once(source, wait_s=WATCH_WAIT_S):
                self._use_seeds_if_unanswered(self._clock())
                await self.sleep(RETRY_DELAY_S)

    @mode.Service.task
    async def _poll_regularly(self) -> None:
        while not self.should_stop:
            await self.sleep(POLL_INTERVAL_S)
            watched = self._watched_source
            source = self._sources.best(now_s=self._clock(), in_use=(watched,))
            if source not in (None, watched):
                await self._watch_once(source, wait_s=0.0)

    async def _watch_once(self, source: str, *, wait_s: float) -> bool:
        sent_s = self._clock()
        response = await self._peers.request(
            source,
            messages.WatchRequest(
                cluster=self._view.cluster,
                index=self._view.index,
                wait_s=wait_s,
            ),
            timeout_s=WATCH_TIMEOUT_S,
        )
        now_s = self._clock()
        if sentinels.is_absent(response):
            self._record_failure(source, now_s, str(response))
            return False
        if self._view.cluster and response.cluster != self._view.cluster:
            _log.error(
                'cluster_mismatch', source=source, cluster=response.cluster
            )
            self._record_failure(source, now_s, 'cluster_mismatch')
            return False
        if response.whole:
            self._sources.record_round_trip(
                source, round_trip_s=now_s - sent_s
            )
        self._answered_s = now_s
        self._source_statuses.record(
            'watch' if wait_s > 0 else 'poll',
            source,
            response,
            view_index=self._view.index,
        )
        self._apply(source, response)
        return self._judge(source, response, sent_s=sent_s, now_s=now_s)

    def _judge(
        self,
        source: str,
        response: messages.WatchResponse,
        *,
        sent_s: float,
        now_s: float,
    ) -> bool:
        """Return whether the state of a control host is current.

        Of one that is not, only a list of members is taken which is not
        older than the view.
        """
        ages_s = {
            'contact_age_s': response.heard_age_s,
            'state_age_s': response.state_age_s,
        }
        is_current = currency.is_current(**ages_s)
        if is_current or response.index >= self._view.index:
            self._update_sources(response.control_hosts)
        if not is_current:
            is_behind = currency.is_behind(**ages_s)
            why = 'state_old' if is_behind else 'no_quorum'
            self._record_failure(source, now_s, why)
            return False
        self._sources.record_success(source)
        if response.index == self._view.index:
            # The response was current at some time after the request.
            received_s = max(sent_s, now_s - WATCH_WAIT_S)
            self._fresh_at_s = max(
                self._fresh_at_s, received_s - max(ages_s.values())
            )
            self._mark_current(source)
        return True

    def _apply(self, source: str, response: messages.WatchResponse) -> None:
        before = self._view.version
        changed = self._view.apply(response)
        if not changed:
            return
        if self._view.version != before:
            _log.info(
                'configuration_in_force',
                version=self._view.version,
                before=before,
                index=self._view.index,
                source=source,
                leader_commit_index=response.leader_commit_index,
            )
        self._on_changed(changed)

    def _distance(self, control_host: str) -> int:
        """Return 0 for a host of this failure domain, 1 of this region.

        Returns 2 for any other, or if it is not known where the host is.
        """
        local_host = self._peers.directory.local_host
        domain = self._view.domain_of_control_host(control_host)
        if domain == local_host.failure_domain:
            return 0
        if domain and self._region_of(domain) == local_host.region:
            return 1
        return 2

    def _update_sources(self, control_hosts: tuple[str, ...]) -> None:
        names = set(control_hosts) or set(self._seeds())
        if control_hosts or not self._view.cluster:
            self._sources.replace(names)

    def _use_seeds_if_unanswered(self, now_s: float) -> None:
        if now_s - self._answered_s > UNANSWERED_S:
            self._sources.add(self._seeds())

    def _record_failure(self, source: str, now_s: float, why: str) -> None:
        self._sources.record_failure(source, now_s=now_s)
        if (
            self._has_been_fresh
            and self.age_s() > currency.MAX_STATE_AGE_S + WATCH_WAIT_S
        ):
            self._mark_lost(source, why)

    def _mark_lost(self, source: str, why: str) -> None:
        if not self._is_control_lost:
            self._is_control_lost = True
            _log.warning(
                'control_lost',
                source=source,
                why=why,
                view_age_s=round(self.age_s(), 3),
                index=self._view.index,
            )

    def _mark_current(self, source: str) -> None:
        if self._is_control_lost or not self._has_been_fresh:
            _log.info(
                'control_regained', source=source, index=self._view.index
            )
        self._is_control_lost = False
        self._has_been_fresh = True

    @mode.Service.task
    async def _report_regularly(self) -> None:
        """Report this host as soon as it is ready, then regularly.

        Until the first report, look-ups do not return the host, and it has
        no grant for the rates of organisations.
        """
        while not self.should_stop:
            if self.is_ready:
                is_due = await self._report()
                await self.sleep(
                    REPORT_AGAIN_S if is_due else REPORT_INTERVAL_S
                )
            else:
                await self.sleep(READY_CHECK_INTERVAL_S)

    async def _report(self) -> bool:
        """Report once; return whether to report again at once."""
        request = messages.SubmitRequest(
            order=control_requests.encode(self._build_report())
        )
        for _attempt in range(REPORT_ATTEMPTS):
            source = self._sources.best(now_s=self._clock())
            if source is None:
                return False
            response = await self._peers.request(
                source, request, timeout_s=REPORT_TIMEOUT_S
            )
            if sentinels.is_absent(response):
                self._sources.record_failure(source, now_s=self._clock())
                continue
            return self._apply_grant(response)
        return False

    def _apply_grant(self, response: messages.SubmitResponse) -> bool:
        if response.outcome != 'accepted' or not response.content:
            return False
        try:
            grant = model.decode(control_requests.EntryGrant, response.content)
        except ValueError as error:
            raise errors.MessageError(
                f'grant is malformed ({error}); run the same '
                'release on every host'
            ) from error
        return self._on_grant(grant)
