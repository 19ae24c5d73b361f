"""Answer for the state on a control host, with proof of its age."""

from collections.abc import Callable
import time
from typing import Any

import mode
import structlog

from skylarkpitch.config import state as states
from skylarkpitch.consensus import ports as consensus_ports
from skylarkpitch.dissemination import answers
from skylarkpitch.dissemination import freshness
from skylarkpitch.dissemination import leases
from skylarkpitch.dissemination import pulse as pulses
from skylarkpitch.dissemination import reports
from skylarkpitch.dissemination import waiters
from skylarkpitch import errors
from skylarkpitch.messages import dissemination as messages
from skylarkpitch.peers import network
from skylarkpitch import sentinels

__all__ = ['StateSource']

MIN_PERIOD_S = 0.05
RETRY_S = 0.2
FORWARD_S = 0.2
DEFAULT_DRIFT_PERCENT = 1.0

_log = structlog.get_logger(__name__)


class StateSource(mode.Service):
    """Answer questions for the state and gather the in-force reports.

    The log proves the age of the state; a control host that can't prove it
    asks the leader and passes on the proof with its age.
    """

    def __init__(
        self,
        *,
        peers: network.Peers,
        log: consensus_ports.ControlLog,
        state: states.ControlState,
        clock: Callable[[], float] = time.monotonic,
        **options: Any,
    ) -> None:
        self._peers = peers
        self._control_log = log
        self._state = state
        self._clock = clock
        self._waiters = waiters.Waiters()
        self._proven_at_s = freshness.NEVER_S
        self._is_led = False
        self._unapplied_proof: tuple[int, float] | None = None
        self._history = leases.LeaseHistory(started_at_s=clock())
        self._reports = reports.ReportTable(directory=peers.directory)
        self._outgoing: list[messages.ReportRow] = []
        self._config_version = -1
        self._leases = leases.leases_in({})
        self._drift = DEFAULT_DRIFT_PERCENT / 100
        self._counters = {
            'state_questions': 0.0,
            'state_rows_sent': 0.0,
            'state_whole_answers': 0.0,
            'state_proofs': 0.0,
            'state_proofs_missed': 0.0,
            'state_differs_from_leader': 0.0,
        }
        super().__init__(**options)
        peers.handle(messages.StateQuestion, self._answer)
        peers.handle(messages.StateReports, self._take_reports)
        self._note_applied()

    def notify(self) -> None:
        """Answer the held questions; called after entries were applied."""
        self._note_applied()
        self._waiters.wake()

    def age_s(self, now_s: float) -> float:
        """Return the age of the newest proof; inf before the first."""
        return now_s - self._proven_at_s

    def in_force(self) -> list[reports.DomainInForce]:
        """Return what the hosts of each failure domain have applied."""
        return self._reports.in_force(now_s=self._clock())

    def withdrawal_status(
        self, version: int, *, organisation: str | None = None
    ) -> list[reports.DomainUnconfirmed]:
        """Return the failure domains not confirmed at ``version``.

        ``version`` is that of the accepted withdrawal. Naming the key's
        organisation tells its own lease; else the longest lease counts.
        """
        ends_at_s = self._history.ends_at_s(version, organisation)
        left_s = max(0.0, ends_at_s - self._clock())
        return self._reports.unconfirmed(version, lease_left_s=left_s)

    def counters(self) -> dict[str, float]:
        """Return counts and levels for metrics."""
        age_s = self.age_s(self._clock())
        return self._counters | {
            'state_version': float(self._state.version),
            'state_questions_held': float(self._waiters.waiting),
            'state_age_s': age_s if age_s < float('inf') else -1.0,
        }

    @mode.Service.task
    async def _prove(self) -> None:
        while not self.should_stop:
            self._note_applied()
            await self.sleep(await self._prove_once())

    @mode.Service.task
    async def _forward_regularly(self) -> None:
        while not self.should_stop:
            await self.sleep(FORWARD_S)
            self._forward_reports()

    def _forward_reports(self) -> None:
        rows, self._outgoing = tuple(self._outgoing), []
        if not rows:
            return
        copy = messages.StateReports(rows=rows, from_control=True)
        for host in self._peers.directory.with_role('control'):
            if host.name != self._peers.directory.local_host.name:
                self._peers.send(host.name, copy)

    async def _prove_once(self) -> float:
        """Try to prove the state; return the seconds until the next try.

        The leader holds a question until it has a newer proof, which sets
        the pace of those that ask it.
        """
        period_s = self._pulse().period_s
        began_s = self._clock()
        proven_at_s = await self._confirm(period_s)
        if not isinstance(proven_at_s, sentinels.Absent):
            self._take_proof(proven_at_s, self._state.version)
            return max(MIN_PERIOD_S, period_s - (self._clock() - began_s))
        self._is_led = await self._ask_leader()
        if self._is_led:
            return MIN_PERIOD_S
        self._counters['state_proofs_missed'] += 1
        return RETRY_S

    async def _confirm(self, timeout_s: float) -> float | sentinels.Absent:
        try:
            return await self._control_log.confirm(timeout_s=timeout_s)
        except errors.SkylarkError as error:
            return sentinels.Absent(error.reason, str(error))

    async def _ask_leader(self) -> bool:
        """Ask for a newer proof; after a failure without a hold."""
        leader = self._control_log.status().leader
        if leader is None or leader == self._peers.directory.local_host.name:
            return False
        pulse = self._pulse()
        if not self._is_led:
            pulse = pulse.without_hold()
        asked_at_s = self._clock()
        known = self._proven_at_s > freshness.NEVER_S
        question = messages.StateQuestion(
            version=self._state.version,
            sites={},
            age_s=self.age_s(asked_at_s) if known else messages.UNPROVEN_S,
            hold_s=pulse.hold_s,
            wants_parts=False,
        )
        answer = await self._peers.request(
            leader, question, timeout_s=pulse.timeout_s
        )
        if isinstance(answer, sentinels.Absent) or answer.age_s < 0:
            return False
        if self._differs(answer):
            self._counters['state_differs_from_leader'] += 1
            _log.error(
                'state_differs_from_leader',
                leader=leader,
                version=answer.version,
                remedy='run one release on all control hosts and rejoin '
                'this one under a new identity',
            )
            return False
        proven_at_s = freshness.proven_at_s(
            asked_at_s=asked_at_s,
            held_s=answer.held_s,
            age_s=answer.age_s,
            drift=self._drift,
        )
        return self._take_proof(proven_at_s, answer.version)

    def _differs(self, answer: messages.StateAnswer) -> bool:
        same_version = answer.version == self._state.version
        return same_version and answer.digest != self._state.parts.digest(())

    def _take_proof(self, proven_at_s: float, version: int) -> bool:
        """Count a proof for ``version`` once that version is applied.

        Returns whether it is newer than the one held.
        """
        if proven_at_s <= self._proven_at_s:
            return False
        if version > self._state.version:
            self._unapplied_proof = (version, proven_at_s)
            return True
        self._proven_at_s = proven_at_s
        self._counters['state_proofs'] += 1
        self._waiters.wake()
        return True

    def _note_applied(self) -> None:
        if self._state.config_version != self._config_version:
            self._config_version = self._state.config_version
            self._leases = leases.leases_in(self._state.base)
            policy = self._state.base.get('policy', {})
            percent = policy.get('clock_drift_percent', DEFAULT_DRIFT_PERCENT)
            self._drift = percent / 100
        self._history.note(
            self._state.version, self._leases, now_s=self._clock()
        )
        if self._unapplied_proof is not None:
            version, proven_at_s = self._unapplied_proof
            if version <= self._state.version:
                self._unapplied_proof = None
                self._take_proof(proven_at_s, version)

    def _pulse(self) -> pulses.Pulse:
        return pulses.pulse_for(self._leases.shortest_s)

    async def _answer(
        self, sender: str, question: messages.StateQuestion
    ) -> messages.StateAnswer:
        self._counters['state_questions'] += 1
        arrived_at_s = self._clock()
        await self._waiters.wait_for(
            lambda: answers.has_news(
                question,
                store=self._state.parts,
                sites=None,
                proven_at_s=self._proven_at_s,
                arrived_at_s=arrived_at_s,
            ),
            timeout_s=min(question.hold_s, self._waiters.longest_s),
        )
        answer = answers.answer_to(
            question,
            store=self._state.parts,
            proven_at_s=self._proven_at_s,
            arrived_at_s=arrived_at_s,
            now_s=self._clock(),
        )
        self._counters['state_rows_sent'] += len(answer.rows)
        self._counters['state_whole_answers'] += answer.whole
        return answer

    async def _take_reports(
        self, sender: str, message: messages.StateReports
    ) -> None:
        now_s = self._clock()
        for row in message.rows:
            is_new = self._reports.take(row, now_s=now_s)
            if is_new and not message.from_control:
                self._outgoing.append(row)
