"""Execute control requests on a control host, and serve watches.

The leader of the replicated log executes control requests; every other
control host passes them on to it. A request is acknowledged once its effect
is committed by the control group.
"""

import asyncio
from collections.abc import Callable
import time
from typing import Any

import mode
import structlog

from skylarkpitch.consensus import service as consensus
from skylarkpitch import errors
from skylarkpitch.fleet import checks
from skylarkpitch.fleet import commands
from skylarkpitch.fleet import control_requests
from skylarkpitch.fleet import currency
from skylarkpitch.fleet import departures
from skylarkpitch.fleet import grants
from skylarkpitch.fleet import liveness
from skylarkpitch.fleet import look_up
from skylarkpitch.fleet import membership as memberships
from skylarkpitch.fleet import model
from skylarkpitch.fleet import order_guard
from skylarkpitch.fleet import report_order
from skylarkpitch.fleet import state as fleet_state
from skylarkpitch.fleet import time_of_day
from skylarkpitch.fleet import upstream_checks
from skylarkpitch.fleet import waiting_callers
from skylarkpitch.fleet import watches
from skylarkpitch.messages import fleet as messages
from skylarkpitch.observability import histograms
from skylarkpitch.observability import loop_delay as loop_delays
from skylarkpitch.peers import network
from skylarkpitch import sentinels

__all__ = ['ControlService']

COMMIT_TIMEOUT_S = 2.0
FORWARD_TIMEOUT_S = 2.5
CONFIRM_TIMEOUT_S = 1.5
EXPIRY_INTERVAL_S = 0.25
# One hop to the leader, and one more if the leader has just changed.
MAX_HOPS = 2
ENTRY_HOST_TIMEOUT_S = 2.5
# An upstream is removed after this many heartbeat intervals without one.
UPSTREAM_TIMEOUT_INTERVALS = 3.4
LOAD_LOG_INTERVAL_S = 5.0
RECORD_INTERVAL_S = 1.0
# Control requests that take longer are logged; the acknowledgement of an
# operator's request is due within a few seconds.
SLOW_REQUEST_S = 1.0
MS_PER_S = 1000

_LOGGED_ORDERS = (commands.SetDomainDrain, control_requests.Leave)

_UNAVAILABLE = (
    errors.CallerLeftError,
    errors.NotLeaderError,
    errors.UncertainError,
)

_log = structlog.get_logger(__name__)


def _check_report(request: control_requests.ControlRequest) -> None:
    """Raise ``ValidationError`` if a report of an upstream is invalid."""
    if isinstance(request, control_requests.Heartbeat):
        upstream_checks.check_upstream(request.upstream)
    elif isinstance(request, control_requests.Leave):
        upstream_checks.check_departure(request.upstream_id, request.born_ms)


class ControlService(mode.Service):
    """Control requests and watches of one control host.

    ``heartbeat_s`` is the interval of the heartbeats of upstreams, and
    ``region_of`` returns the region of a failure domain, or None. ``counts``
    has the number of requests executed here by kind, and the time that this
    process spent on the grants of entry hosts. ``histograms`` has the
    durations of requests by outcome and kind, commits included.
    """

    def __init__(
        self,
        *,
        peers: network.Peers,
        log: consensus.ReplicatedLog,
        membership: memberships.Membership,
        state: fleet_state.FleetState,
        heartbeat_s: float,
        region_of: Callable[[str], str | None],
        loop_delay: loop_delays.LoopDelay | None = None,
        clock: Callable[[], float] = time.monotonic,
        running_clock: Callable[[], float] = time_of_day.running_s,
        unix_clock_ms: Callable[[], int] = time_of_day.unix_ms,
        **options: Any,
    ) -> None:
        self._peers = peers
        self._replicated_log = log
        self._running_clock = running_clock
        self._unix_clock_ms = unix_clock_ms
        self._time_of_day = time_of_day.TimeOfDay(
            unix_ms=unix_clock_ms(), running_s=running_clock()
        )
        self._guard = order_guard.OrderGuard(
            peers=peers,
            current_term=lambda: log.status().term,
            clock=running_clock,
        )
        self._departures = departures.Departures(
            state=state,
            submit=self._submit,
            guard=self._guard,
            time_of_day_ms=self._time_of_day_ms,
        )
        self._membership = membership
        self._state = state
        self._loop_delay = loop_delay or loop_delays.LoopDelay(clock=clock)
        self._clock = clock
        self._upstreams = liveness.Liveness(
            timeout_s=UPSTREAM_TIMEOUT_INTERVALS * heartbeat_s
        )
        self._entry_hosts = liveness.Liveness(timeout_s=ENTRY_HOST_TIMEOUT_S)
        self._report_order = report_order.ReportOrder()
        self._grants = grants.Grants(state=state, region_of=region_of)
        self._watches = watches.Watches(
            log=log,
            state=state,
            control_hosts=membership.control_hosts,
            clock=clock,
        )
        self._was_leader = False
        self.counts: dict[str, float] = {'grants_busy_ms': 0.0}
        self.histograms = histograms.LatencyHistograms()
        self._handlers = {
            commands.PutConfiguration: self._put_configuration,
            control_requests.Heartbeat: self._heartbeat,
            control_requests.ReadConfiguration: self._read_configuration,
            control_requests.EntryReport: self._entry_report,
            commands.RecordControlHost: self._record_control_host,
        }
        self._order_handlers = {
            commands.SetDomainDrain: self._set_drain,
            control_requests.Leave: self._leave,
        }
        super().__init__(**options)

    async def on_start(self) -> None:
        """Register the handlers of messages from other hosts."""
        self._guard.start()
        self._peers.handle(messages.SubmitRequest, self._on_submit)
        self._peers.handle(messages.WatchRequest, self._watches.handle)

    def notify_applied(self) -> None:
        """Wake the watches that wait for a change of the state."""
        self._watches.notify_applied()

    def leader(self) -> str:
        """Return the host name of the leader, or an empty string."""
        return self._replicated_log.status().leader or ''

    def look_up(
        self, *, region: str, failure_domain: str
    ) -> list[model.EntryHost]:
        """Return the entry hosts for a caller, nearest first.

        There are none while this host is behind: it would name hosts that
        are gone, and the other control hosts know better.
        """
        now_s = self._clock()
        log = self._replicated_log
        may_look_up = currency.may_look_up(
            contact_age_s=log.quorum_contact_age_s(now_s=now_s),
            state_age_s=log.state_age_s(now_s=now_s),
        )
        if not may_look_up:
            return []
        return look_up.select_entry_hosts(
            self._state.entry_hosts.values(),
            region=region,
            failure_domain=failure_domain,
        )

    async def execute(
        self,
        request: control_requests.ControlRequest,
        *,
        has_caller_left: Callable[[], bool] = lambda: False,
    ) -> control_requests.Outcome:
        """Execute a control request here or at the leader.

        The outcome is ``unavailable`` if no leader is known or reachable, or
        if the effect was not committed in time. The request may have been
        executed nevertheless, or may be executed later; an order that has to
        come from a caller who waits is not executed after
        ``has_caller_left`` returned true.
        """
        try:
            _check_report(request)
        except errors.ValidationError as error:
            return control_requests.refused(error.reason, str(error))
        now_s = self._running_clock()
        with self._guard.callers.waiting(
            has_caller_left, now_s=now_s
        ) as call_id:
            call = waiting_callers.CallReference(
                host=self._peers.directory.local_host.name, call_id=call_id
            )
            return await self._execute_or_forward(
                control_requests.encode(request), request, call=call, hops=0
            )

    async def _execute_or_forward(
        self,
        data: bytes,
        request: control_requests.ControlRequest,
        *,
        call: waiting_callers.CallReference | None,
        hops: int,
    ) -> control_requests.Outcome:
        if self._replicated_log.is_leader:
            return await self._execute_as_leader(request, call)
        leader = self.leader()
        if not leader or hops >= MAX_HOPS:
            return control_requests.unavailable('no_leader')
        message = messages.SubmitRequest(
            order=data,
            hops=hops + 1,
            called_host=call.host if call is not None else '',
            call_id=call.call_id if call is not None else '',
        )
        response = await self._peers.request(
            leader, message, timeout_s=FORWARD_TIMEOUT_S
        )
        if sentinels.is_absent(response):
            return control_requests.unavailable(
                'leader_unreachable', str(response)
            )
        return response

    async def _on_submit(
        self, sender: str, message: messages.SubmitRequest
    ) -> control_requests.Outcome:
        request = control_requests.decode(message.order)
        if isinstance(request, _LOGGED_ORDERS):
            _log.info(
                'order_passed_on',
                order=control_requests.describe(request),
                sender=sender,
                hops=message.hops,
                is_leader=self._replicated_log.is_leader,
            )
        call = None
        if message.call_id:
            call = waiting_callers.CallReference(
                host=message.called_host, call_id=message.call_id
            )
        return await self._execute_or_forward(
            message.order, request, call=call, hops=message.hops
        )

    async def _execute_as_leader(
        self,
        request: control_requests.ControlRequest,
        call: waiting_callers.CallReference | None,
    ) -> control_requests.Outcome:
        kind = type(request).__name__
        self.counts[kind] = self.counts.get(kind, 0) + 1
        started_s = self._clock()
        outcome = await self._handle(kind, request, call)
        took_s = self._clock() - started_s
        self.histograms.record(outcome.outcome, kind, took_s)
        if took_s > SLOW_REQUEST_S:
            _log.warning(
                'control_request_slow',
                request=kind,
                outcome=outcome.outcome,
                reason=outcome.reason,
                took_ms=round(took_s * MS_PER_S),
            )
        return outcome

    async def _handle(
        self,
        kind: str,
        request: control_requests.ControlRequest,
        call: waiting_callers.CallReference | None,
    ) -> control_requests.Outcome:
        try:
            if type(request) in self._order_handlers:
                return await self._order_handlers[type(request)](request, call)
            return await self._handlers[type(request)](request)
        except errors.ValidationError as error:
            return control_requests.refused(error.reason, str(error))
        except _UNAVAILABLE as error:
            _log.info(
                'control_request_undecided', request=kind, reason=error.reason
            )
            return control_requests.unavailable(error.reason, str(error))

    async def _submit(self, command: commands.Command) -> object:
        data = commands.encode(command)
        return await self._replicated_log.submit(
            data, timeout_s=COMMIT_TIMEOUT_S
        )

    async def _put_configuration(
        self, request: commands.PutConfiguration
    ) -> control_requests.Outcome:
        version = request.configuration.version
        checks.check(request.configuration)
        self._membership.check_large_enough()
        if version <= self._state.configuration_version:
            await self._confirm_leadership()
            return control_requests.accepted()
        stored_version = await self._submit(request)
        index = self._state.index
        _log.info(
            'configuration_accepted',
            version=version,
            held=stored_version,
            index=index,
            stored_by=','.join(self._replicated_log.holders(index)),
            routes=len(request.configuration.routes),
        )
        return control_requests.accepted()

    async def _set_drain(
        self,
        request: commands.SetDomainDrain,
        call: waiting_callers.CallReference | None,
    ) -> control_requests.Outcome:
        self._membership.check_large_enough()
        matter = f'failure domain {request.failure_domain}'
        await self._guard.admit(call, matter=matter)
        was_draining = self._state.is_draining(request.failure_domain)
        await self._submit(request)
        _log.info(
            'domain_drain_set',
            failure_domain=request.failure_domain,
            draining=request.draining,
            was_draining=was_draining,
            index=self._state.index,
        )
        return control_requests.accepted()

    async def _confirm_leadership(self) -> None:
        confirmed = await self._replicated_log.confirm(
            timeout_s=CONFIRM_TIMEOUT_S
        )
        if sentinels.is_absent(confirmed):
            raise errors.NotLeaderError(
                f'no quorum confirmed the latest state ({confirmed}); send '
                'the request again',
                leader=None,
            )

    async def _read_configuration(
        self, request: control_requests.ReadConfiguration
    ) -> control_requests.Outcome:
        await self._confirm_leadership()
        if not self._state.document:
            return control_requests.unavailable('no_configuration')
        return control_requests.accepted(self._state.document)

    async def _heartbeat(
        self, request: control_requests.Heartbeat
    ) -> control_requests.Outcome:
        reported = request.upstream
        name = reported.upstream_id
        recorded = self._state.upstreams.get(name)
        if self._upstreams.is_stale(name, revision=reported.revision):
            self._log_ignored(reported, recorded, why='earlier_report')
            return control_requests.accepted()
        if not self._state.upstream_table.is_newer(reported):
            self._log_ignored(reported, recorded, why='not_newer')
            if recorded is not None and recorded.revision == reported.revision:
                self._upstreams.record_contact(
                    name, revision=reported.revision, now_s=self._clock()
                )
            return control_requests.accepted()
        self._upstreams.record_contact(
            name, revision=reported.revision, now_s=self._clock()
        )
        if recorded is None or model.differs(recorded, reported):
            await self._submit(commands.RecordUpstream(upstream=reported))
            _log.info(
                'upstream_recorded',
                upstream=name,
                service=reported.service,
                address=reported.address,
                state=str(reported.state),
                born_ms=reported.born_ms,
                sequence=reported.sequence,
                cold_left_ms=reported.cold_left_ms,
            )
        return control_requests.accepted()

    def _log_ignored(
        self,
        reported: model.Upstream,
        recorded: model.Upstream | None,
        *,
        why: str,
    ) -> None:
        name = reported.upstream_id
        table = self._state.upstream_table
        removed = table.removed.get(name)
        _log.info(
            'heartbeat_ignored',
            upstream=name,
            why=why,
            born_ms=reported.born_ms,
            sequence=reported.sequence,
            recorded_born_ms=None if recorded is None else recorded.born_ms,
            departed_ms=table.departed.get(name),
            marked_ms=table.departed_unrecorded.get(name),
            removed_sequence=None if removed is None else removed[1],
        )

    async def _leave(
        self,
        request: control_requests.Leave,
        call: waiting_callers.CallReference | None,
    ) -> control_requests.Outcome:
        await self._departures.leave(request, call)
        return control_requests.accepted()

    def _time_of_day_ms(self) -> int:
        return self._time_of_day.read(
            unix_ms=self._unix_clock_ms(), running_s=self._running_clock()
        )

    async def _entry_report(
        self, request: control_requests.EntryReport
    ) -> control_requests.Outcome:
        host = request.entry_host
        if self._report_order.is_late(request):
            _log.info(
                'entry_report_ignored',
                entry_host=host.name,
                incarnation=request.incarnation,
                leaving=request.leaving,
            )
            return control_requests.accepted()
        now_s = self._clock()
        self._entry_hosts.record_contact(
            host.name, revision=(0, 0), now_s=now_s
        )
        recorded = self._state.entry_hosts.get(host.name)
        if request.leaving:
            if recorded is not None:
                await self._remove_entry_host(host.name, why='leaving')
            self._report_order.record(request)
            return control_requests.accepted()
        self._report_order.record(request)
        if recorded != host:
            await self._submit(commands.RecordEntryHost(entry_host=host))
            _log.info('entry_host_recorded', entry_host=host.name)
        granting_s = self._clock()
        grant = self._grants.grant(request, now_s=now_s)
        busy_s = self._clock() - granting_s
        self.counts['grants_busy_ms'] += busy_s * MS_PER_S
        return control_requests.accepted(model.encode(grant))

    async def _record_control_host(
        self, request: commands.RecordControlHost
    ) -> control_requests.Outcome:
        host = request.control_host
        if host.name not in self._membership.control_hosts():
            return control_requests.unavailable('not_a_member')
        if self._state.control_hosts.get(host.name) != host:
            await self._submit(request)
            _log.info(
                'control_host_recorded',
                control_host=host.name,
                failure_domain=host.failure_domain,
            )
        return control_requests.accepted()

    @mode.Service.task
    async def _record_local_host(self) -> None:
        """Record where this control host is, once it is a member."""
        local_host = self._peers.directory.local_host
        item = model.ControlHost(
            name=local_host.name, failure_domain=local_host.failure_domain
        )
        while not self.should_stop:
            await self.sleep(RECORD_INTERVAL_S)
            is_member = item.name in self._membership.control_hosts()
            if is_member and self._state.control_hosts.get(item.name) != item:
                await self.execute(
                    commands.RecordControlHost(control_host=item)
                )

    async def _remove_control_hosts(self) -> None:
        """Remove the records of hosts that are no longer members."""
        members = self._membership.control_hosts()
        for name in set(self._state.control_hosts) - set(members):
            await self._submit(commands.RemoveControlHost(name=name))

    async def _remove_entry_host(self, name: str, *, why: str) -> None:
        await self._submit(commands.RemoveEntryHost(name=name))
        _log.info('entry_host_removed', entry_host=name, why=why)

    @mode.Service.task
    async def _expire_regularly(self) -> None:
        """As leader, remove upstreams and entry hosts that expired."""
        while not self.should_stop:
            await self.sleep(EXPIRY_INTERVAL_S)
            # Regular readings detect steps of the clock.
            self._time_of_day_ms()
            is_leader = self._replicated_log.is_leader
            if is_leader and not self._was_leader:
                self._upstreams.reset()
                self._entry_hosts.reset()
                self._departures.reset()
                self._grants.reset()
                _log.info('leading', index=self._state.index)
            elif self._was_leader and not is_leader:
                _log.info('leading_no_longer', leader=self.leader())
            self._was_leader = is_leader
            if is_leader:
                await self._remove_expired()

    @mode.Service.task
    async def _log_load(self) -> None:
        """As leader, log what this process spends its time on."""
        before = dict(self.counts)
        while not self.should_stop:
            await self.sleep(LOAD_LOG_INTERVAL_S)
            now = {**self.counts, 'watch_idle': self._watches.idle}
            delay_s = self._loop_delay.take_recent_max_s()
            if self._replicated_log.is_leader:
                _log.info(
                    'leader_load',
                    loop_delay_max_ms=round(delay_s * MS_PER_S),
                    interval_s=LOAD_LOG_INTERVAL_S,
                    **{
                        kind: round(count - before.get(kind, 0))
                        for kind, count in now.items()
                    },
                )
                for region, shares in self._grants.describe_shares().items():
                    _log.info('local_shares', region=region, shares=shares)
            before = now

    async def _remove_silent(self, upstream: model.Upstream) -> None:
        last_revision = self._upstreams.last_revision(upstream.upstream_id)
        last_sequence = upstream.sequence
        if last_revision is not None and last_revision[0] == upstream.born_ms:
            last_sequence = max(last_sequence, last_revision[1])
        await self._departures.remove_silent(
            upstream, last_sequence=last_sequence
        )

    async def _remove_expired(self) -> None:
        """Remove what has been silent for too long.

        All removals are submitted at once. One after the other, the last of
        many would be removed long after the decision, when it may be back.
        """
        now_s = self._clock()
        upstreams = self._state.upstreams
        hosts = self._state.entry_hosts
        removals = [
            *(
                self._remove_silent(upstreams[name])
                for name in self._upstreams.expired(upstreams, now_s=now_s)
            ),
            *(
                self._remove_entry_host(name, why='silent')
                for name in self._entry_hosts.expired(hosts, now_s=now_s)
            ),
            *self._departures.forget_expired(now_s=now_s),
            self._remove_control_hosts(),
        ]
        results = await asyncio.gather(*removals, return_exceptions=True)
        failures = [item for item in results if item is not None]
        for failure in failures:
            if not isinstance(failure, errors.SkylarkError):
                raise failure
        if failures:
            _log.info(
                'expiry_failed',
                failed=len(failures),
                reason=failures[0].reason,
                error=str(failures[0]),
            )
