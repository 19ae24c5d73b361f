"""Keep an entry host's view of the fleet current.

Two control hosts are watched at once, so that one that falls silent delays
nothing. An answer of a host that has not heard of a quorum is taken, since
it is never older than what is held, but proves no freshness.
"""

import asyncio
from collections.abc import Callable
import time
from typing import Any

import mode
import structlog

from skylarkpitch import errors
from skylarkpitch.fleet import control_requests
from skylarkpitch.fleet import model
from skylarkpitch.fleet import sources as source_sets
from skylarkpitch.fleet import view as views
from skylarkpitch.messages import fleet as messages
from skylarkpitch.peers import network
from skylarkpitch import sentinels

__all__ = ['Subscriber']

WATCHES = 2
WAIT_S = 0.8
ANSWER_TIMEOUT_S = 1.3
RETRY_S = 0.1
FRESH_S = 1.0
REPORT_INTERVAL_S = 0.5
REPORT_TIMEOUT_S = 1.0
FIRST_WAIT_S = 4.0

_log = structlog.get_logger(__name__)


class Subscriber(mode.Service):
    """Watch control hosts, and report this entry host to them."""

    def __init__(
        self,
        *,
        peers: network.Peers,
        view: views.FleetView,
        seeds: Callable[[], tuple[str, ...]],
        on_changed: Callable[[frozenset[str]], None],
        report: Callable[[], control_requests.EntryReport],
        on_grant: Callable[[control_requests.EntryGrant], None],
        clock: Callable[[], float] = time.monotonic,
        **options: Any,
    ) -> None:
        self._peers = peers
        self._view = view
        self._seeds = seeds
        self._on_changed = on_changed
        self._make_report = report
        self._on_grant = on_grant
        self._clock = clock
        self._sources = source_sets.Sources()
        self._watched: dict[int, str] = {}
        self._started_s = clock()
        self._fresh_at_s = float('-inf')
        self._was_fresh = False
        self._is_lost = False
        self.is_leaving = False
        super().__init__(**options)

    @property
    def is_ready(self) -> bool:
        """Tell whether this host knows enough to serve callers.

        It waits for a fresh view first, but for ``FIRST_WAIT_S`` at most:
        a failure domain that is cut off goes on serving what it can.
        """
        if self.is_leaving or not self._view.version:
            return False
        waited_s = self._clock() - self._started_s
        return self._was_fresh or waited_s > FIRST_WAIT_S

    def age_s(self) -> float:
        """Return how old the view may be."""
        return self._clock() - self._fresh_at_s

    async def leave(self) -> None:
        """Have callers led to other entry hosts."""
        self.is_leaving = True
        await self._report()

    @mode.Service.task
    async def _watch(self) -> None:
        self._sources.replace(self._seeds())
        await asyncio.gather(*(self._watch_one(i) for i in range(WATCHES)))

    async def _watch_one(self, number: int) -> None:
        while not self.should_stop:
            others = [n for i, n in self._watched.items() if i != number]
            source = self._sources.best(now_s=self._clock(), in_use=others)
            if source is None or source in others:
                await self.sleep(RETRY_S)
                self._learn(())
                continue
            self._watched[number] = source
            if not await self._ask(source):
                await self.sleep(RETRY_S)

    async def _ask(self, source: str) -> bool:
        asked_s = self._clock()
        answer = await self._peers.ask(
            source,
            messages.WatchRequest(
                cluster=self._view.cluster,
                index=self._view.index,
                wait_s=WAIT_S,
            ),
            timeout_s=ANSWER_TIMEOUT_S,
        )
        now_s = self._clock()
        if sentinels.is_absent(answer):
            self._failed(source, now_s, str(answer))
            return False
        if answer.whole:
            self._sources.record_round_trip(
                source, round_trip_s=now_s - asked_s
            )
        self._take(source, answer)
        self._learn(answer.control_hosts)
        if answer.heard_age_s > FRESH_S:
            self._failed(source, now_s, 'no_quorum')
            return False
        if answer.index == self._view.index:
            # The answer was true at some moment after it was asked for.
            fresh_at_s = max(asked_s, now_s - WAIT_S) - answer.heard_age_s
            self._fresh_at_s = max(self._fresh_at_s, fresh_at_s)
            self._regained(source)
        return True

    def _take(self, source: str, answer: messages.WatchResponse) -> None:
        if self._view.cluster and answer.cluster != self._view.cluster:
            _log.error('other_cluster', source=source, cluster=answer.cluster)
            return
        before = self._view.version
        changed = self._view.apply(answer)
        if not changed:
            return
        if self._view.version != before:
            _log.info(
                'configuration_in_force',
                version=self._view.version,
                before=before,
                index=self._view.index,
                source=source,
            )
        self._on_changed(changed)

    def _learn(self, control_hosts: tuple[str, ...]) -> None:
        known = set(control_hosts) or set(self._seeds())
        if control_hosts or not self._view.cluster:
            self._sources.replace(known)

    def _failed(self, source: str, now_s: float, why: str) -> None:
        self._sources.record_failure(source, now_s=now_s)
        if self._was_fresh and self.age_s() > FRESH_S + WAIT_S:
            self._lost(source, why)

    def _lost(self, source: str, why: str) -> None:
        if not self._is_lost:
            self._is_lost = True
            _log.warning(
                'control_lost',
                source=source,
                why=why,
                view_age_s=round(self.age_s(), 3),
                index=self._view.index,
            )

    def _regained(self, source: str) -> None:
        if self._is_lost or not self._was_fresh:
            _log.info(
                'control_regained', source=source, index=self._view.index
            )
        self._is_lost = False
        self._was_fresh = True

    @mode.Service.task
    async def _report_regularly(self) -> None:
        while not self.should_stop:
            await self.sleep(REPORT_INTERVAL_S)
            if self.is_ready:
                await self._report()

    async def _report(self) -> None:
        ask = messages.SubmitRequest(
            order=control_requests.encode(self._make_report())
        )
        for _attempt in range(WATCHES):
            source = self._sources.best(now_s=self._clock())
            if source is None:
                return
            answer = await self._peers.ask(
                source, ask, timeout_s=REPORT_TIMEOUT_S
            )
            if sentinels.is_absent(answer):
                self._sources.record_failure(source, now_s=self._clock())
                continue
            self._granted(answer)
            return

    def _granted(self, answer: messages.SubmitResponse) -> None:
        if answer.outcome != 'accepted' or not answer.content:
            return
        try:
            grant = model.decode(control_requests.EntryGrant, answer.content)
        except ValueError as error:
            raise errors.MessageError(
                f'a grant is malformed ({error}); run the same '
                'release on every host'
            ) from error
        self._on_grant(grant)
