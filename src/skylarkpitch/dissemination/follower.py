"""Follow the control state on an entry host and pass it on below."""

import asyncio
from collections.abc import Callable
import random
import time
from typing import Any

import mode
import structlog

from skylarkpitch.config import keys as caller_keys
from skylarkpitch.dissemination import choice
from skylarkpitch.dissemination import freshness
from skylarkpitch.dissemination import gather
from skylarkpitch.dissemination import leases
from skylarkpitch.dissemination import pulse as pulses
from skylarkpitch.dissemination import replica as replicas
from skylarkpitch.dissemination import reports
from skylarkpitch.dissemination import serving
from skylarkpitch.dissemination import waiters
from skylarkpitch import errors
from skylarkpitch.messages import dissemination as messages
from skylarkpitch.peers import network
from skylarkpitch import ports
from skylarkpitch import sentinels
from skylarkpitch.settings import deployment

__all__ = ['StateFollower']

RETRY_S = 0.25
LONGEST_RETRY_S = 2.0
REPORT_S = 0.5
REPORT_BATCH_S = 0.1
CUT_OFF_AFTER_S = 10.0
GATHER_TIMEOUT_S = 1.0
MAX_HELD_QUESTIONS = 4

_log = structlog.get_logger(__name__)


class StateFollower(mode.Service):
    """Hold the state for this host and for the hosts that ask it.

    Questions are held by the source until it has something new, so that a
    change arrives at once and every arriving proof answers a question of
    this host.
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
        self._own = peers.directory.local_host
        self._choice = choice.SourceChoice(sources=sources, rng=rng)
        self._replica = replicas.Replica(site=site)
        self._saw_beginning = False
        self._serving = serving.ServingState(
            replica=self._replica, site=site, started_at_s=self._started_at_s
        )
        self._waiters = waiters.Waiters()
        self._unreported = waiters.Waiters()
        self._reporter = reports.Reporter(
            host=self._own.name, first_sequence=int(time.time() * 1000)
        )
        self._source: str | None = None
        self._answering: list[str] = []
        self._is_served = False
        self._fruitless_rounds = 0
        self._counters = {
            'state_answers': 0.0,
            'state_source_failures': 0.0,
            'state_rows_taken': 0.0,
            'state_questions_below': 0.0,
            'invariant_violations': 0.0,
        }
        super().__init__(**options)
        if 'control' not in self._own.roles:
            peers.handle(messages.StateQuestion, self._answer)
            peers.handle(messages.StateReports, self._take_reports)

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
    def leaving(self) -> bool:
        """Tell whether operators want this host to leave."""
        return self._own.name in self._replica.view.leaving_hosts

    @property
    def saw_beginning(self) -> bool:
        """Tell whether this process proved that nothing was accepted yet.

        No call can have been served by any host before that proof.
        """
        return self._saw_beginning

    @property
    def is_stale(self) -> bool:
        """Tell whether the state was gathered while cut off."""
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
        """Return the caller whose key this is, or why there is none."""
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
            'state_whole_answers_taken': float(self._replica.whole_answers),
            'state_config_errors': float(self._serving.config_errors),
        }

    @mode.Service.task
    async def _follow(self) -> None:
        while not self.should_stop:
            source = self._choice.current(now_s=self._clock())
            if source is not None and await self._ask_in_turn(source):
                continue
            self._counters['state_source_failures'] += 1
            if self._choice.failed(now_s=self._clock()):
                await self._gather_if_cut_off()
                await self._wait_for_news()

    async def _ask_in_turn(self, source: str) -> bool:
        """Ask a source; tell whether it brought anything.

        After a failure the sources are asked without a hold until one of
        them brings something, so that neither a silent nor a stale one
        costs much of the lease.
        """
        pulse = self._pulse()
        if not self._is_served:
            pulse = pulse.without_hold()
        self._is_served = await self._ask(source, pulse=pulse)
        if self._is_served:
            self._choice.succeeded()
            self._source = source
            self._answering = []
            self._fruitless_rounds = 0
        return self._is_served

    async def _wait_for_news(self) -> None:
        """Wait with questions held by the sources that answered, if any."""
        answering = list(dict.fromkeys(self._answering))
        if not answering:
            await self.sleep(self._retry_s())
            return
        pulse = self._pulse()
        held = {
            asyncio.create_task(self._ask(name, pulse=pulse)): name
            for name in answering[:MAX_HELD_QUESTIONS]
        }
        try:
            useful = await waiters.first_true(set(held))
        finally:
            self._answering = []
            for task in held:
                task.cancel()
        if useful is None:
            await self.sleep(self._retry_s())
            return
        self._is_served = True
        self._fruitless_rounds = 0
        self._choice.stay_with(held[useful], now_s=self._clock())

    def _retry_s(self) -> float:
        """Return a random wait that grows with each fruitless round."""
        longest_s = min(
            LONGEST_RETRY_S, RETRY_S * 2 ** min(self._fruitless_rounds, 8)
        )
        self._fruitless_rounds += 1
        return longest_s * self._rng.uniform(0.5, 1.0)

    @mode.Service.task
    async def _report_regularly(self) -> None:
        while not self.should_stop:
            await self._unreported.wait_for(
                lambda: self._reporter.is_due(self.version),
                timeout_s=REPORT_S,
            )
            await self.sleep(REPORT_BATCH_S)
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
            self._reporter.not_sent(rows)

    def _pulse(self) -> pulses.Pulse:
        current = leases.leases_in(self._replica.view.base)
        return pulses.pulse_for(current.shortest_s)

    async def _ask(self, source: str, *, pulse: pulses.Pulse) -> bool:
        asked_at_s = self._clock()
        question = self._replica.question(
            now_s=asked_at_s, hold_s=pulse.hold_s
        )
        answer = await self._peers.request(
            source, question, timeout_s=pulse.timeout_s
        )
        if isinstance(answer, sentinels.Absent):
            return False
        self._answering.append(source)
        self._counters['state_answers'] += 1
        self._counters['state_rows_taken'] += len(answer.rows)
        return self._take(question, answer, asked_at_s)

    def _take(
        self,
        question: messages.StateQuestion,
        answer: messages.StateAnswer,
        asked_at_s: float,
    ) -> bool:
        was_confirmed = self._serving.is_confirmed
        try:
            taken = self._replica.take(
                question,
                answer,
                asked_at_s=asked_at_s,
                drift=self._serving.drift,
            )
            self._serving.update(taken.kinds)
        except errors.InvariantError as error:
            self._replica.distrust()
            self._counters['invariant_violations'] += 1
            _log.error('state_refused', error=str(error))
            return False
        self._serving.confirm()
        is_proven = self._replica.proven_at_s > freshness.NEVER_S
        if is_proven and self._replica.version == 0:
            self._saw_beginning = True
        if taken.is_useful:
            self._waiters.wake()
            self._unreported.wake()
        if taken.kinds or self._serving.is_confirmed != was_confirmed:
            self._on_change()
        return taken.is_useful

    async def _answer(
        self, sender: str, question: messages.StateQuestion
    ) -> messages.StateAnswer | None:
        self._counters['state_questions_below'] += 1
        if question.wants_parts:
            self._replica.want(question.sites)
        arrived_at_s = self._clock()
        await self._waiters.wait_for(
            lambda: self._replica.has_news(
                question, arrived_at_s=arrived_at_s
            ),
            timeout_s=min(question.hold_s, self._waiters.longest_s),
        )
        return self._replica.answer(
            question, arrived_at_s=arrived_at_s, now_s=self._clock()
        )

    async def _take_reports(
        self, sender: str, message: messages.StateReports
    ) -> None:
        self._reporter.take(message.rows)
        self._unreported.wake()

    async def _gather_if_cut_off(self) -> None:
        """Take the newest state of the failure domain, if all answer."""
        waited_s = self._clock() - self._started_at_s
        if self._serving.is_confirmed or self._serving.is_stale:
            return
        if waited_s < CUT_OFF_AFTER_S:
            return
        newest = await gather.newest_neighbour(
            peers=self._peers,
            question=self._replica.question(
                now_s=self._clock(), hold_s=0.0, wants_parts=False
            ),
            timeout_s=GATHER_TIMEOUT_S,
        )
        if newest is None:
            return
        pulse = pulses.Pulse(
            period_s=0.0, hold_s=0.0, timeout_s=GATHER_TIMEOUT_S
        )
        name, version = newest
        await self._ask(name, pulse=pulse)
        if self.version >= version and self._serving.allow_cut_off():
            _log.warning('state_stale_served', version=self.version)
            self._on_change()
