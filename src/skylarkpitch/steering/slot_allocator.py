"""Find a slot for each call: local first, then of other hosts."""

import asyncio
from collections.abc import Callable
import random
import secrets
import time
from typing import Any

import mode

from skylarkpitch.membership import service as membership_service
from skylarkpitch.messages import steering as messages
from skylarkpitch.peers import network
from skylarkpitch import ports
from skylarkpitch import sentinels
from skylarkpitch.settings import deployment
from skylarkpitch.steering import borrower as borrowers
from skylarkpitch.steering import counted_slot
from skylarkpitch.steering import demand as demands
from skylarkpitch.steering import lender as lenders
from skylarkpitch.steering import lending
from skylarkpitch.steering import shares
from skylarkpitch.steering import waiting_calls as calls
from skylarkpitch.steering import waiting_line

__all__ = ['FleetSlotAllocator']

BORROW_PAUSE_S = 0.005
EXPIRE_S = 0.1
SHORTEST_HOLD_S = 0.001


class FleetSlotAllocator(mode.Service):
    """Implement ``ports.Room`` over all hosts of the fleet."""

    def __init__(
        self,
        *,
        peers: network.Peers,
        membership: membership_service.UpstreamMembership,
        site_config: Callable[[], deployment.SiteConfig | sentinels.Absent],
        clock: Callable[[], float] = time.monotonic,
        rng: random.Random,
        new_ticket: Callable[[], str] = lambda: secrets.token_hex(16),
        **options: Any,
    ) -> None:
        self._peers = peers
        self._membership = membership
        self._site_config = site_config
        self._clock = clock
        self._fleet = shares.FleetSlots()
        self.lender = lenders.Lender(
            place=_place(peers),
            pool=membership.pool,
            fleet=self._fleet,
            new_ticket=new_ticket,
        )
        self._borrower = borrowers.Borrower(
            peers=peers, fleet=self._fleet, clock=clock, rng=rng
        )
        self._lines: dict[str, waiting_line.WaitingLine] = {}
        self._borrowing: dict[str, asyncio.Task[None]] = {}
        self._counts = dict.fromkeys(
            (
                'taken_local',
                'taken_remote',
                'refused',
                'refused_early',
                'redeemed',
                'tickets_unknown',
            ),
            0,
        )
        self._lending = lending.Lending(
            peers=peers,
            membership=membership,
            lender=self.lender,
            site_config=site_config,
            queue_of=lambda service: self._line(service).queue,
            clock=clock,
        )
        membership.on_room = self._dispatch
        self._region = peers.directory.own.region
        self._ramping: set[str] = set()
        peers.handle(messages.TicketRequest, self._lending.asked)
        peers.handle(messages.TicketOffer, self._offered)
        peers.handle(messages.TicketReturn, self._returned)
        super().__init__(**options)

    async def take(
        self,
        *,
        service: str,
        caller: ports.Caller,
        request_class: str,
        body_bytes: int,
        deadline_s: float,
        exclude: frozenset[str],
    ) -> ports.Slot | sentinels.Absent:
        """Return a slot, or ``Absent`` with reason ``no_room``.

        Waits in a bounded queue until the deadline or ``queue_s``; refuses
        at once when the expected wait is longer than that.
        """
        config = self._site_config()
        if not config or service not in config.services:
            return sentinels.Absent('no_room', 'service unknown here')
        self._borrower.configure(config)
        line = self._line(service)
        wanted = calls.Wanted(
            body_bytes,
            deadline_s,
            exclude,
            asyncio.get_running_loop().create_future(),
            caller.region not in (None, self._region),
        )
        if self._is_next(service, wanted):
            slot = self._take_now(service, wanted, config)
            if slot is not None:
                self._keep_tickets(service)
                return slot
        waiter = line.join(
            flow=(caller.organisation or '', request_class),
            weight=caller.weight,
            item=wanted,
            bounds=config.services[service],
            deadline_s=deadline_s,
            served_per_s=self._served_per_s(service),
            now_s=self._clock(),
        )
        self._keep_tickets(service)
        if not waiter:
            self._counts['refused_early'] += 1
            return waiter
        if wanted.is_foreign:
            self._ramping.add(service)
        return await self._wait(line, waiter, wanted.future)

    def redeem(
        self, ticket: str, *, now_s: float, deadline_s: float | None = None
    ) -> ports.Slot | sentinels.Absent:
        """Return the slot that a ticket stands for, once.

        Returns ``Absent`` with reason ``ticket_unknown`` for a ticket that
        is not out, or ``no_room`` when the upstreams behind it are gone;
        nothing has run then.
        """
        lent = self.lender.redeem(ticket, now_s=now_s)
        if not lent:
            self._counts['tickets_unknown'] += 1
            return lent
        slot = self._membership.take(
            lent.service,
            deadline_s=now_s + 3600 if deadline_s is None else deadline_s,
            reserved=True,
        )
        if not slot:
            return slot
        self._counts['redeemed'] += 1
        self.lender.began(lent)
        return counted_slot.CountedSlot(
            slot=slot, ended=lambda: self.lender.ended(lent)
        )

    def stop_granting(self) -> None:
        """Hand out no ticket any more; those handed out are honoured."""
        self.lender.open = False

    def counters(self) -> dict[str, float]:
        """Return counts; overload and cap_breaches must stay 0."""
        now_s = self._clock()
        pool = self._membership.pool
        services = pool.services()
        outstanding = sum(
            self.lender.issued.outstanding(name) for name in services
        )
        return {
            **self._counts,
            **self._borrower.counts,
            'cap_breaches': self._lending.cap_breaches,
            'overload': self._membership.counters()['overload'],
            'running': sum(pool.in_use(name) for name in services),
            'waiting': sum(len(x.queue) for x in self._lines.values()),
            'room': sum(pool.free(name, now_s=now_s) for name in services),
            'tickets_out': outstanding,
        }

    async def on_started(self) -> None:
        """Learn the slots of every other failure domain."""
        self.add_future(self._borrower.survey_all())

    async def on_stop(self) -> None:
        """Refuse the calls that wait."""
        for task in self._borrowing.values():
            task.cancel()

    @mode.Service.task
    async def _expire(self) -> None:
        while not self.should_stop:
            await asyncio.sleep(EXPIRE_S)
            self.tick()

    def tick(self) -> None:
        """Free the slots of late tickets and give unused ones back."""
        for service in sorted(self.lender.expire(now_s=self._clock())):
            self._dispatch(service)
        for service in sorted(self._ramping):
            self._dispatch(service)
            if not self._line(service).queue.backlog(calls.is_foreign):
                self._ramping.discard(service)
        self._borrower.give_back_idle()
        self._lending.expire()

    @mode.Service.task
    async def _survey(self) -> None:
        while not self.should_stop:
            await self.survey()
            await self.sleep(self._borrower.survey_interval_s())

    async def survey(self) -> None:
        """Learn the slots of one other failure domain."""
        await self._borrower.survey()

    def _is_next(self, service: str, wanted: calls.Wanted) -> bool:
        """Tell whether nobody waits who takes a slot before this call."""
        queue = self._line(service).queue
        if not len(queue):
            return True
        if wanted.is_foreign or service not in self._ramping:
            return False
        return not queue.backlog(calls.is_home)

    def _take_now(
        self, service: str, wanted: calls.Wanted, config: deployment.SiteConfig
    ) -> ports.Slot | None:
        if not wanted.is_foreign:
            return self._take_any(service, wanted, config)
        now_s = self._clock()
        if not self.lender.shift_room(service, config=config, now_s=now_s):
            return None
        slot = self._take_any(service, wanted, config)
        if slot is None:
            return None
        self.lender.foreign_began(service, now_s=now_s)
        return counted_slot.CountedSlot(
            slot=slot, ended=lambda: self.lender.foreign_ended(service)
        )

    def _take_any(
        self, service: str, wanted: calls.Wanted, config: deployment.SiteConfig
    ) -> ports.Slot | None:
        now_s = self._clock()
        if self.lender.share_room(service, config=config, now_s=now_s) > 0:
            slot = self._membership.take(
                service, deadline_s=wanted.deadline_s, exclude=wanted.exclude
            )
            if slot:
                self._counts['taken_local'] += 1
                return slot
        slot = self._borrower.take(
            service, body_bytes=wanted.body_bytes, exclude=wanted.exclude
        )
        if slot is not None:
            self._counts['taken_remote'] += 1
        return slot

    async def _wait(
        self,
        line: waiting_line.WaitingLine,
        waiter: waiting_line.Waiter,
        future: asyncio.Future,
    ) -> ports.Slot | sentinels.Absent:
        timeout_s = max(0.0, waiter.until_s - self._clock())
        timer = asyncio.get_running_loop().call_later(
            timeout_s, calls.refuse, future
        )
        try:
            answer = await future
        except asyncio.CancelledError:
            calls.give_back(future)
            raise
        finally:
            timer.cancel()
            line.leave(waiter)
        if not answer:
            self._counts['refused'] += 1
        return answer

    def _dispatch(self, service: str) -> None:
        config = self._site_config()
        if not config:
            return
        line = self._line(service)
        while len(line.queue):
            if not line.serve(
                lambda wanted: self._offer(service, wanted, config)
            ):
                return
        self._lending.offer_far(service, config)

    def _offer(
        self,
        service: str,
        wanted: calls.Wanted | demands.RemoteCall,
        config: deployment.SiteConfig,
    ) -> bool:
        if isinstance(wanted, demands.RemoteCall):
            return self._lending.offer(service, wanted, config)
        if wanted.future.done():
            return True
        slot = self._take_now(service, wanted, config)
        if slot is None:
            return False
        wanted.future.set_result(slot)
        return True

    def _keep_tickets(self, service: str) -> None:
        running = self._borrowing.get(service)
        if running is not None and not running.done():
            return
        waiting = self._line(service).queue.backlog(calls.is_own)
        if waiting or self._borrower.needs_more(service):
            self._borrowing[service] = asyncio.create_task(
                self._borrow(service)
            )

    async def _borrow(self, service: str) -> None:
        line = self._line(service)
        while True:
            flows = line.queue.backlog(calls.is_own)
            if not flows and not self._borrower.needs_more(service):
                break
            asked = self._borrower.ask_for_more(
                service,
                waiting=sum(count for _, _, _, count in flows),
                flows=flows,
            )
            for task in asked:
                task.add_done_callback(lambda done: self._dispatch(service))
            await asyncio.sleep(BORROW_PAUSE_S)
        self._borrower.withdraw(service)

    async def _offered(
        self, sender: str, message: messages.TicketOffer
    ) -> None:
        self._borrower.offered(sender, message)
        self._dispatch(message.service)

    async def _returned(
        self, sender: str, message: messages.TicketReturn
    ) -> None:
        services = self.lender.returned(message.tickets, borrower=sender)
        for service in sorted(services):
            self._dispatch(service)

    def _line(self, service: str) -> waiting_line.WaitingLine:
        if service not in self._lines:
            self._lines[service] = waiting_line.WaitingLine(drop=calls.put_out)
        return self._lines[service]

    def _served_per_s(self, service: str) -> float | None:
        hold_s = self._membership.hold_s(service)
        if hold_s is None:
            return None
        local = self._membership.pool.in_use(service)
        per_s = local / max(hold_s, SHORTEST_HOLD_S)
        per_s += self._borrower.served_per_s(service)
        # Nothing here tells yet how fast other hosts would lend slots.
        return per_s or None


def _place(peers: network.Peers) -> lenders.Place:
    directory = peers.directory
    own = directory.own
    return lenders.Place(
        region=own.region,
        failure_domain=own.failure_domain,
        domain_hosts=len(directory.in_failure_domain(own.failure_domain)),
        region_hosts=len(directory.in_region(own.region)),
    )
