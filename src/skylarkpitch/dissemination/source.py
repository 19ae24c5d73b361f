"""Serve the state on a control host, with proof of its age."""

from collections.abc import Callable
import time
from typing import Any

import mode
import structlog

from skylarkpitch.config import state as states
from skylarkpitch.consensus import ports as consensus_ports
from skylarkpitch.dissemination import freshness
from skylarkpitch.dissemination import leases
from skylarkpitch.dissemination import reports
from skylarkpitch.dissemination import responses
from skylarkpitch.dissemination import timing as timings
from skylarkpitch.dissemination import waiters
from skylarkpitch import errors
from skylarkpitch.messages import dissemination as messages
from skylarkpitch.peers import network
from skylarkpitch import sentinels

__all__ = ['StateSource']

MIN_PROOF_INTERVAL_S = 0.05
RETRY_DELAY_S = 0.2
FORWARD_INTERVAL_S = 0.2
DEFAULT_DRIFT_PERCENT = 1.0

_log = structlog.get_logger(__name__)


class StateSource(mode.Service):
    """Answer requests for the state and collect the hosts' reports.

    A proof states that the state was current at a time. The replicated log
    proves this by a confirmation of the quorum. A control host whose log does
    not confirm it requests a proof from the leader and passes it on with its
    age.
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
        self._leader_responds = False
        self._pending_proof: tuple[int, float] | None = None
        self._history = leases.LeaseHistory(started_at_s=clock())
        self._reports = reports.ReportTable(directory=peers.directory)
        self._outgoing: list[messages.ReportRow] = []
        self._config_version = -1
        self._leases = leases.leases_from({})
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
        peers.handle(messages.StateRequest, self._on_request)
        peers.handle(messages.StateReports, self._on_reports)
        self._on_applied()

    def notify(self) -> None:
        """Answer held requests; called after log entries were applied."""
        self._on_applied()
        self._waiters.wake()

    def age_s(self, now_s: float) -> float:
        """Return the age of the newest proof; inf before the first."""
        return now_s - self._proven_at_s

    def in_force(self) -> list[reports.DomainInForce]:
        """Return the versions that each failure domain has applied."""
        return self._reports.in_force(now_s=self._clock())

    def withdrawal_status(
        self, version: int, *, organisation: str | None = None
    ) -> list[reports.DomainUnconfirmed]:
        """Return the failure domains not confirmed at ``version``.

        ``version`` is that of the accepted withdrawal. With the key's
        organisation its own lease counts, otherwise the longest lease.
        """
        ends_at_s = self._history.expires_at_s(version, organisation)
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
            self._on_applied()
            await self.sleep(await self._prove_once())

    @mode.Service.task
    async def _forward_regularly(self) -> None:
        while not self.should_stop:
            await self.sleep(FORWARD_INTERVAL_S)
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

        The leader holds a request until it has a newer proof, which sets the
        interval of the hosts that use it.
        """
        period_s = self._timing().period_s
        started_s = self._clock()
        proven_at_s = await self._confirm(period_s)
        if not isinstance(proven_at_s, sentinels.Absent):
            self._record_proof(proven_at_s, self._state.version)
            return max(
                MIN_PROOF_INTERVAL_S, period_s - (self._clock() - started_s)
            )
        self._leader_responds = await self._request_from_leader()
        if self._leader_responds:
            return MIN_PROOF_INTERVAL_S
        self._counters['state_proofs_missed'] += 1
        return RETRY_DELAY_S

    async def _confirm(self, timeout_s: float) -> float | sentinels.Absent:
        try:
            return await self._control_log.confirm(timeout_s=timeout_s)
        except errors.SkylarkError as error:
            return sentinels.Absent(error.reason, str(error))

    async def _request_from_leader(self) -> bool:
        """Request a newer proof; return whether the leader sent one.

        After a failure the request asks for a response at once.
        """
        leader = self._control_log.status().leader
        if leader is None or leader == self._peers.directory.local_host.name:
            return False
        timing = self._timing()
        if not self._leader_responds:
            timing = timing.without_hold()
        sent_at_s = self._clock()
        has_proof = self._proven_at_s > freshness.NEVER_S
        request = messages.StateRequest(
            version=self._state.version,
            sites={},
            age_s=self.age_s(sent_at_s) if has_proof else messages.UNPROVEN_S,
            hold_s=timing.hold_s,
            wants_parts=False,
        )
        response = await self._peers.request(
            leader, request, timeout_s=timing.timeout_s
        )
        if isinstance(response, sentinels.Absent) or response.age_s < 0:
            return False
        if self._differs(response):
            self._counters['state_differs_from_leader'] += 1
            _log.error(
                'state_differs_from_leader',
                leader=leader,
                version=response.version,
                remedy='run one release on all control hosts and rejoin '
                'this one under a new identity',
            )
            return False
        proven_at_s = freshness.proven_at_s(
            sent_at_s=sent_at_s,
            held_s=response.held_s,
            age_s=response.age_s,
            drift=self._drift,
        )
        return self._record_proof(proven_at_s, response.version)

    def _differs(self, response: messages.StateResponse) -> bool:
        same_version = response.version == self._state.version
        return same_version and response.digest != self._state.parts.digest(())

    def _record_proof(self, proven_at_s: float, version: int) -> bool:
        """Store a proof for ``version`` once that version is applied.

        Returns whether it is newer than the stored one.
        """
        if proven_at_s <= self._proven_at_s:
            return False
        if version > self._state.version:
            self._pending_proof = (version, proven_at_s)
            return True
        self._proven_at_s = proven_at_s
        self._counters['state_proofs'] += 1
        self._waiters.wake()
        return True

    def _on_applied(self) -> None:
        if self._state.config_version != self._config_version:
            self._config_version = self._state.config_version
            self._leases = leases.leases_from(self._state.base)
            policy = self._state.base.get('policy', {})
            percent = policy.get('clock_drift_percent', DEFAULT_DRIFT_PERCENT)
            self._drift = percent / 100
        self._history.record(
            self._state.version, self._leases, now_s=self._clock()
        )
        if self._pending_proof is not None:
            version, proven_at_s = self._pending_proof
            if version <= self._state.version:
                self._pending_proof = None
                self._record_proof(proven_at_s, version)

    def _timing(self) -> timings.RequestTiming:
        return timings.timing_for(self._leases.shortest_s)

    async def _on_request(
        self, sender: str, request: messages.StateRequest
    ) -> messages.StateResponse:
        self._counters['state_questions'] += 1
        received_at_s = self._clock()
        await self._waiters.wait_for(
            lambda: responses.has_updates(
                request,
                store=self._state.parts,
                sites=None,
                proven_at_s=self._proven_at_s,
                received_at_s=received_at_s,
            ),
            timeout_s=min(request.hold_s, self._waiters.max_wait_s),
        )
        response = responses.build_response(
            request,
            store=self._state.parts,
            proven_at_s=self._proven_at_s,
            received_at_s=received_at_s,
            now_s=self._clock(),
        )
        self._counters['state_rows_sent'] += len(response.rows)
        self._counters['state_whole_answers'] += response.whole
        return response

    async def _on_reports(
        self, sender: str, message: messages.StateReports
    ) -> None:
        now_s = self._clock()
        for row in message.rows:
            is_new = self._reports.record(row, now_s=now_s)
            if is_new and not message.from_control:
                self._outgoing.append(row)
