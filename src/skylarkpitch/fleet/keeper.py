"""Carry out orders on a control host, and tell others what changed.

The leader of the replicated log decides; every other control host hands an
order on to it. An order is acknowledged when the group holds its effect.
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
from skylarkpitch.fleet import liveness
from skylarkpitch.fleet import membership as memberships
from skylarkpitch.fleet import model
from skylarkpitch.fleet import orders
from skylarkpitch.fleet import rate_shares
from skylarkpitch.fleet import region_plan
from skylarkpitch.fleet import state as fleet_state
from skylarkpitch.messages import fleet as messages
from skylarkpitch.peers import network
from skylarkpitch import sentinels

__all__ = ['Keeper']

COMMIT_TIMEOUT_S = 2.0
FORWARD_TIMEOUT_S = 2.5
CONFIRM_TIMEOUT_S = 1.5
UPKEEP_INTERVAL_S = 0.25
MAX_HOPS = 2
ENTRY_SILENT_S = 2.5
SILENT_HEARTBEATS = 3.4

_log = structlog.get_logger(__name__)


class Keeper(mode.Service):
    """The state of the fleet on one control host."""

    def __init__(
        self,
        *,
        peers: network.Peers,
        log: consensus.ReplicatedLog,
        membership: memberships.Membership,
        state: fleet_state.FleetState,
        heartbeat_s: float,
        region_of: Callable[[str], str | None],
        clock: Callable[[], float] = time.monotonic,
        **options: Any,
    ) -> None:
        self._peers = peers
        self._replicated = log
        self._membership = membership
        self._state = state
        self._clock = clock
        self._upstreams = liveness.Liveness(
            silent_s=SILENT_HEARTBEATS * heartbeat_s
        )
        self._entry_hosts = liveness.Liveness(silent_s=ENTRY_SILENT_S)
        self._rate_shares = rate_shares.RateShares()
        self._region_of = region_of
        self._region_plan = region_plan.RegionPlan()
        self._changed = asyncio.Event()
        self._led = False
        self.counts: dict[str, int] = {}
        self._handlers = {
            commands.PutConfiguration: self._put_configuration,
            commands.SetDomainDrain: self._set_drain,
            orders.Heartbeat: self._heartbeat,
            orders.Leave: self._leave,
            orders.ReadConfiguration: self._read_configuration,
            orders.EntryReport: self._entry_report,
        }
        super().__init__(**options)

    async def on_start(self) -> None:
        """Take part in the messages between hosts."""
        self._peers.handle(messages.OrderAsk, self._on_order)
        self._peers.handle(messages.WatchAsk, self._on_watch)

    def note_applied(self) -> None:
        """Wake those that wait for a change of the state."""
        self._changed.set()
        self._changed = asyncio.Event()

    def leader(self) -> str:
        """Return the host that leads, or an empty text."""
        return self._replicated.status().leader or ''

    def heard_age_s(self) -> float:
        """Return for how long no quorum was heard of."""
        return self._replicated.quorum_contact_age_s(now_s=self._clock())

    async def order(self, order: orders.Order) -> orders.Outcome:
        """Carry out an order here or at the leader."""
        return await self._pass_on(orders.encode(order), order, hops=0)

    async def _pass_on(
        self, data: bytes, order: orders.Order, *, hops: int
    ) -> orders.Outcome:
        if self._replicated.is_leader:
            return await self._carry_out(order)
        leader = self.leader()
        if not leader or hops >= MAX_HOPS:
            return orders.unavailable('no_leader')
        ask = messages.OrderAsk(order=data, hops=hops + 1)
        answer = await self._peers.ask(
            leader, ask, timeout_s=FORWARD_TIMEOUT_S
        )
        if sentinels.is_absent(answer):
            return orders.unavailable('leader_unreachable', str(answer))
        return answer

    async def _on_order(
        self, sender: str, ask: messages.OrderAsk
    ) -> orders.Outcome:
        order = orders.decode(ask.order)
        return await self._pass_on(ask.order, order, hops=ask.hops)

    async def _carry_out(self, order: orders.Order) -> orders.Outcome:
        kind = type(order).__name__
        self.counts[kind] = self.counts.get(kind, 0) + 1
        try:
            return await self._handlers[type(order)](order)
        except errors.ValidationError as error:
            return orders.refused(error.reason, str(error))
        except (errors.NotLeaderError, errors.UncertainError) as error:
            _log.info('order_undecided', order=kind, reason=error.reason)
            return orders.unavailable(error.reason, str(error))

    async def _submit(self, command: commands.Command) -> object:
        data = commands.encode(command)
        return await self._replicated.submit(data, timeout_s=COMMIT_TIMEOUT_S)

    async def _put_configuration(
        self, order: commands.PutConfiguration
    ) -> orders.Outcome:
        version = order.configuration.version
        checks.check(order.configuration)
        self._membership.check_large_enough()
        if version <= self._state.configuration_version:
            await self._confirmed()
            return orders.accepted()
        held = await self._submit(order)
        _log.info(
            'configuration_accepted',
            version=version,
            held=held,
            routes=len(order.configuration.routes),
        )
        return orders.accepted()

    async def _set_drain(
        self, order: commands.SetDomainDrain
    ) -> orders.Outcome:
        self._membership.check_large_enough()
        await self._submit(order)
        _log.info(
            'domain_drain_set',
            failure_domain=order.failure_domain,
            draining=order.draining,
        )
        return orders.accepted()

    async def _confirmed(self) -> None:
        confirmed = await self._replicated.confirm(timeout_s=CONFIRM_TIMEOUT_S)
        if sentinels.is_absent(confirmed):
            raise errors.NotLeaderError(
                f'no quorum confirms what is newest ({confirmed}); ask again',
                leader=None,
            )

    async def _read_configuration(
        self, order: orders.ReadConfiguration
    ) -> orders.Outcome:
        await self._confirmed()
        if not self._state.document:
            return orders.unavailable('no_configuration')
        return orders.accepted(self._state.document)

    async def _heartbeat(self, order: orders.Heartbeat) -> orders.Outcome:
        said = order.upstream
        name = said.upstream_id
        if self._upstreams.is_late(name, order=said.order):
            return orders.accepted()
        held = self._state.upstreams.get(name)
        if not self._state.is_news(said):
            if held is not None and held.order == said.order:
                self._upstreams.heard(
                    name, order=said.order, now_s=self._clock()
                )
            return orders.accepted()
        self._upstreams.heard(name, order=said.order, now_s=self._clock())
        if held is None or model.differs(held, said):
            await self._submit(commands.RecordUpstream(upstream=said))
            _log.info(
                'upstream_recorded',
                upstream=name,
                service=said.service,
                address=said.address,
                state=str(said.state),
                born_ms=said.born_ms,
                sequence=said.sequence,
                cold_left_ms=said.cold_left_ms,
            )
        return orders.accepted()

    async def _leave(self, order: orders.Leave) -> orders.Outcome:
        born_ms = order.born_ms
        if born_ms is None:
            held = self._state.upstreams.get(order.upstream_id)
            if held is None:
                await self._confirmed()
                return orders.accepted()
            born_ms = held.born_ms
        await self._remove(order.upstream_id, born_ms, left=True)
        return orders.accepted()

    async def _remove(self, name: str, born_ms: int, *, left: bool) -> None:
        await self._submit(
            commands.RemoveUpstream(
                upstream_id=name, born_ms=born_ms, left=left
            )
        )
        _log.info('upstream_removed', upstream=name, left=left)

    async def _entry_report(self, order: orders.EntryReport) -> orders.Outcome:
        host = order.entry_host
        now_s = self._clock()
        self._entry_hosts.heard(host.name, order=(0, 0), now_s=now_s)
        held = self._state.entry_hosts.get(host.name)
        if order.leaving:
            if held is not None:
                await self._remove_entry_host(host.name, why='leaving')
            return orders.accepted()
        if held != host:
            await self._submit(commands.RecordEntryHost(entry_host=host))
            _log.info('entry_host_recorded', entry_host=host.name)
        self._rate_shares.report(host.name, order.demand_per_s)
        granted = self._rate_shares.grant(
            host.name,
            rates_per_s=self._rates_of(order.demand_per_s),
            hosts=set(self._state.entry_hosts),
            now_s=now_s,
        )
        grant = orders.EntryGrant(
            rate_per_s=granted, own_shares=self._own_shares(order, now_s)
        )
        return orders.accepted(model.encode(grant))

    def _own_shares(
        self, order: orders.EntryReport, now_s: float
    ) -> dict[str, float]:
        host = order.entry_host
        self._region_plan.report(
            host.name,
            region=host.region,
            offered_slots=order.offered_slots,
            own_shares=order.own_shares,
            now_s=now_s,
        )
        return self._region_plan.own_shares(
            host.region, slots=self._usable_slots(), now_s=now_s
        )

    def _usable_slots(self) -> dict[str, dict[str, float]]:
        """Return the slots that may be used, by service and region."""
        slots: dict[str, dict[str, float]] = {}
        for item in self._state.upstreams.values():
            if item.state is not model.UpstreamState.READY:
                continue
            if self._state.is_draining(item.failure_domain):
                continue
            region = self._region_of(item.failure_domain) or ''
            counted = slots.setdefault(item.service, {})
            counted[region] = counted.get(region, 0.0) + item.slots
        return slots

    def _rates_of(self, demand_per_s: dict[str, float]) -> dict[str, float]:
        rates = {}
        for name in demand_per_s:
            value = self._state.parts.get((fleet_state.ORGANISATION, name))
            if value is not None:
                held = model.decode(model.Organisation, value)
                rates[name] = held.rate_per_s
        return rates

    async def _remove_entry_host(self, name: str, *, why: str) -> None:
        await self._submit(commands.RemoveEntryHost(name=name))
        _log.info('entry_host_removed', entry_host=name, why=why)

    async def _on_watch(
        self, sender: str, ask: messages.WatchAsk
    ) -> messages.WatchAnswer:
        cluster = self._replicated.cluster
        changed = self._changed
        if ask.cluster == cluster and ask.index >= self._state.index:
            try:
                await asyncio.wait_for(changed.wait(), ask.wait_s)
            except TimeoutError:
                # Nothing changed meanwhile, which the answer tells.
                self.counts['watch_idle'] = (
                    self.counts.get('watch_idle', 0) + 1
                )
        status = self._replicated.status()
        store = self._state.parts
        whole = (
            ask.cluster != self._replicated.cluster
            or ask.index < store.floor_version
            or ask.index == 0
        )
        rows = store.rows() if whole else store.rows_since(ask.index, {})
        if whole:
            rows = tuple(row for row in rows if row[2] is not None)
        return messages.WatchAnswer(
            cluster=self._replicated.cluster,
            index=self._state.index,
            whole=whole,
            heard_age_s=self.heard_age_s(),
            rows=fleet_state.shared_rows(rows),
            control_hosts=self._membership.control_hosts(),
            leader=status.leader or '',
        )

    @mode.Service.task
    async def _upkeep(self) -> None:
        """As leader, let go what is gone."""
        while not self.should_stop:
            await self.sleep(UPKEEP_INTERVAL_S)
            leads = self._replicated.is_leader
            if leads and not self._led:
                self._upstreams.forget_all()
                self._entry_hosts.forget_all()
                self._rate_shares.forget_all()
                self._region_plan.forget_all()
                _log.info('leading', index=self._state.index)
            elif self._led and not leads:
                _log.info('leading_no_longer', leader=self.leader())
            self._led = leads
            if leads:
                await self._let_go()

    async def _let_go(self) -> None:
        now_s = self._clock()
        try:
            held = self._state.upstreams
            for name in self._upstreams.silent(held, now_s=now_s):
                if name in held:
                    await self._remove(name, held[name].born_ms, left=False)
            hosts = self._state.entry_hosts
            for name in self._entry_hosts.silent(hosts, now_s=now_s):
                await self._remove_entry_host(name, why='silent')
        except errors.SkylarkError as error:
            _log.info('upkeep_failed', reason=error.reason, error=str(error))
