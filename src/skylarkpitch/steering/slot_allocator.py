"""Allocate an upstream slot to each call.

Slots of the upstreams that this host owns are used first, then slots of
other entry hosts, for which this host requests one-time tickets.
"""

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
from skylarkpitch.steering import bounded_queue
from skylarkpitch.steering import counted_slot
from skylarkpitch.steering import demand as demands
from skylarkpitch.steering import shares
from skylarkpitch.steering import slot_requests
from skylarkpitch.steering import ticket_client
from skylarkpitch.steering import ticket_issuer
from skylarkpitch.steering import ticket_service

__all__ = ['FleetSlotAllocator']

REQUEST_PAUSE_S = 0.005
EXPIRY_INTERVAL_S = 0.1
MIN_SERVICE_TIME_S = 0.001


class FleetSlotAllocator(mode.Service):
    """Allocate slots of all entry hosts; implements ``ports.SlotAllocator``.

    ``new_ticket`` returns an unguessable ticket. The ``ticket_issuer``
    attribute issues tickets for the slots of this host.
    """

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
        self._fleet_slots = shares.FleetSlots()
        self.ticket_issuer = ticket_issuer.TicketIssuer(
            location=_location(peers),
            pool=membership.pool,
            fleet=self._fleet_slots,
            new_ticket=new_ticket,
        )
        self._ticket_client = ticket_client.TicketClient(
            peers=peers, fleet=self._fleet_slots, clock=clock, rng=rng
        )
        self._queues: dict[str, bounded_queue.BoundedQueue] = {}
        self._request_tasks: dict[str, asyncio.Task[None]] = {}
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
        self._ticket_service = ticket_service.TicketService(
            peers=peers,
            membership=membership,
            issuer=self.ticket_issuer,
            site_config=site_config,
            queue_of=lambda service: self._queue(service).queue,
            clock=clock,
        )
        membership.on_free_slots = self._dispatch
        self._local_region = peers.directory.own.region
        self._ramping: set[str] = set()
        peers.handle(
            messages.TicketRequest, self._ticket_service.handle_request
        )
        peers.handle(messages.TicketOffer, self._on_ticket_offer)
        peers.handle(messages.TicketReturn, self._on_ticket_return)
        super().__init__(**options)

    async def reserve(
        self,
        *,
        service: str,
        caller: ports.Caller,
        request_class: str,
        body_bytes: int,
        deadline_s: float,
        exclude: frozenset[str],
    ) -> ports.Slot | sentinels.Absent:
        """Reserve a slot for one call.

        Waits in a bounded queue until shortly before ``deadline_s``, for
        ``queue_s`` at most, and refuses at once when the expected wait is
        longer. A refusal is ``Absent`` with reason ``no_room``.
        """
        config = self._site_config()
        if not config or service not in config.services:
            return sentinels.Absent('no_room', 'service unknown here')
        self._ticket_client.configure(config)
        queue = self._queue(service)
        request = slot_requests.SlotRequest(
            body_bytes,
            deadline_s,
            exclude,
            asyncio.get_running_loop().create_future(),
            caller.region not in (None, self._local_region),
        )
        if self._is_next(service, request):
            slot = self._reserve_now(service, request, config)
            if slot is not None:
                self._ensure_tickets(service)
                return slot
        queued_call = queue.enqueue(
            flow=(caller.organisation or '', request_class),
            weight=caller.weight,
            item=request,
            settings=config.services[service],
            deadline_s=deadline_s,
            served_per_s=self._served_per_s(service),
            now_s=self._clock(),
        )
        self._ensure_tickets(service)
        if not queued_call:
            self._counts['refused_early'] += 1
            return queued_call
        if request.is_cross_region:
            self._ramping.add(service)
        return await self._wait(queue, queued_call, request.future)

    def redeem(
        self, ticket: str, *, now_s: float, deadline_s: float | None = None
    ) -> ports.Slot | sentinels.Absent:
        """Exchange a ticket of this host for a slot, once.

        Returns ``Absent`` with reason ``ticket_unknown`` for a ticket that
        is not outstanding, or ``no_room`` when no upstream has a free slot
        any more. In both cases nothing has been sent to an upstream.
        ``deadline_s`` is an hour from ``now_s`` unless it is given.
        """
        issued = self.ticket_issuer.redeem(ticket, now_s=now_s)
        if not issued:
            self._counts['tickets_unknown'] += 1
            return issued
        slot = self._membership.reserve_slot(
            issued.service,
            deadline_s=now_s + 3600 if deadline_s is None else deadline_s,
            for_ticket=True,
        )
        if not slot:
            return slot
        self._counts['redeemed'] += 1
        self.ticket_issuer.redeemed_call_started(issued)
        return counted_slot.CountedSlot(
            slot=slot,
            on_finish=lambda: self.ticket_issuer.redeemed_call_ended(issued),
        )

    def stop_issuing_tickets(self) -> None:
        """Issue no more tickets; outstanding ones can still be redeemed."""
        self.ticket_issuer.is_issuing = False

    def counters(self) -> dict[str, float]:
        """Return the counters; overload and cap_breaches must stay 0."""
        now_s = self._clock()
        pool = self._membership.pool
        services = pool.services()
        outstanding = sum(
            self.ticket_issuer.issued.outstanding(name) for name in services
        )
        return {
            **self._counts,
            **self._ticket_client.counts,
            'cap_breaches': self._ticket_service.cap_breaches,
            'overload': self._membership.counters()['overload'],
            'running': sum(pool.in_use(name) for name in services),
            'waiting': sum(
                len(queue.queue) for queue in self._queues.values()
            ),
            'room': sum(pool.free(name, now_s=now_s) for name in services),
            'tickets_out': outstanding,
        }

    async def on_started(self) -> None:
        """Request the slot counts of every other failure domain."""
        self.add_future(self._ticket_client.survey_all())

    async def on_stop(self) -> None:
        """Cancel the tasks that request tickets."""
        for task in self._request_tasks.values():
            task.cancel()

    @mode.Service.task
    async def _expire(self) -> None:
        while not self.should_stop:
            await asyncio.sleep(EXPIRY_INTERVAL_S)
            self.tick()

    def tick(self) -> None:
        """Release expired reservations and return unused tickets.

        Also retries the queued calls from remote regions: the rate limit on
        their growth may allow more of them now.
        """
        for service in sorted(self.ticket_issuer.expire(now_s=self._clock())):
            self._dispatch(service)
        for service in sorted(self._ramping):
            self._dispatch(service)
            if not self._queue(service).queue.backlog(
                slot_requests.is_cross_region
            ):
                self._ramping.discard(service)
        self._ticket_client.return_idle()
        self._ticket_service.expire()

    @mode.Service.task
    async def _survey(self) -> None:
        while not self.should_stop:
            await self.survey()
            await self.sleep(self._ticket_client.survey_interval_s())

    async def survey(self) -> None:
        """Request the slot counts of one other failure domain."""
        await self._ticket_client.survey()

    def _is_next(
        self, service: str, request: slot_requests.SlotRequest
    ) -> bool:
        """Return whether no queued call has precedence over this one.

        Calls from remote regions may wait for the limit on their growth.
        They do not block a call from the local region.
        """
        queue = self._queue(service).queue
        if not len(queue):
            return True
        if request.is_cross_region or service not in self._ramping:
            return False
        return not queue.backlog(slot_requests.is_exempt_from_ramp)

    def _reserve_now(
        self,
        service: str,
        request: slot_requests.SlotRequest,
        config: deployment.SiteConfig,
    ) -> ports.Slot | None:
        if not request.is_cross_region:
            return self._reserve_any(service, request, config)
        now_s = self._clock()
        if not self.ticket_issuer.shift_headroom(
            service, config=config, now_s=now_s
        ):
            return None
        slot = self._reserve_any(service, request, config)
        if slot is None:
            return None
        self.ticket_issuer.cross_region_call_started(service, now_s=now_s)
        return counted_slot.CountedSlot(
            slot=slot,
            on_finish=lambda: self.ticket_issuer.cross_region_call_ended(
                service
            ),
        )

    def _reserve_any(
        self,
        service: str,
        request: slot_requests.SlotRequest,
        config: deployment.SiteConfig,
    ) -> ports.Slot | None:
        now_s = self._clock()
        if (
            self.ticket_issuer.share_headroom(
                service, config=config, now_s=now_s
            )
            > 0
        ):
            slot = self._membership.reserve_slot(
                service, deadline_s=request.deadline_s, exclude=request.exclude
            )
            if slot:
                self._counts['taken_local'] += 1
                return slot
        slot = self._ticket_client.use_ticket(
            service, body_bytes=request.body_bytes, exclude=request.exclude
        )
        if slot is not None:
            self._counts['taken_remote'] += 1
        return slot

    async def _wait(
        self,
        queue: bounded_queue.BoundedQueue,
        queued_call: bounded_queue.QueuedCall,
        future: asyncio.Future,
    ) -> ports.Slot | sentinels.Absent:
        timeout_s = max(0.0, queued_call.wait_until_s - self._clock())
        timer = asyncio.get_running_loop().call_later(
            timeout_s, slot_requests.refuse_timed_out, future
        )
        try:
            result = await future
        except asyncio.CancelledError:
            slot_requests.release(future)
            raise
        finally:
            timer.cancel()
            queue.remove(queued_call)
        if not result:
            self._counts['refused'] += 1
        return result

    def _dispatch(self, service: str) -> None:
        config = self._site_config()
        if not config:
            return
        queue = self._queue(service)
        while len(queue.queue):
            if not queue.serve(
                lambda request: self._serve_queued(service, request, config)
            ):
                return
        self._ticket_service.offer_to_other_domains(service, config)

    def _serve_queued(
        self,
        service: str,
        request: slot_requests.SlotRequest | demands.RemoteCall,
        config: deployment.SiteConfig,
    ) -> bool:
        if isinstance(request, demands.RemoteCall):
            return self._ticket_service.offer(service, request, config)
        if request.future.done():
            return True
        slot = self._reserve_now(service, request, config)
        if slot is None:
            return False
        request.future.set_result(slot)
        return True

    def _ensure_tickets(self, service: str) -> None:
        current = self._request_tasks.get(service)
        if current is not None and not current.done():
            return
        waiting = self._queue(service).queue.backlog(slot_requests.is_local)
        if waiting or self._ticket_client.needs_tickets(service):
            self._request_tasks[service] = asyncio.create_task(
                self._request_tickets(service)
            )

    async def _request_tickets(self, service: str) -> None:
        queue = self._queue(service)
        while True:
            flows = queue.queue.backlog(slot_requests.is_local)
            if not flows and not self._ticket_client.needs_tickets(service):
                break
            tasks = self._ticket_client.request_tickets(
                service,
                waiting=sum(count for _, _, _, count in flows),
                flows=flows,
            )
            for task in tasks:
                task.add_done_callback(lambda _: self._dispatch(service))
            await asyncio.sleep(REQUEST_PAUSE_S)
        self._ticket_client.withdraw_demand(service)

    async def _on_ticket_offer(
        self, sender: str, message: messages.TicketOffer
    ) -> None:
        self._ticket_client.receive_offer(sender, message)
        self._dispatch(message.service)

    async def _on_ticket_return(
        self, sender: str, message: messages.TicketReturn
    ) -> None:
        services = self.ticket_issuer.accept_returned(
            message.tickets, client=sender
        )
        for service in sorted(services):
            self._dispatch(service)

    def _queue(self, service: str) -> bounded_queue.BoundedQueue:
        if service not in self._queues:
            self._queues[service] = bounded_queue.BoundedQueue(
                drop=slot_requests.refuse_evicted
            )
        return self._queues[service]

    def _served_per_s(self, service: str) -> float | None:
        service_time_s = self._membership.mean_call_s(service)
        if service_time_s is None:
            return None
        running = self._membership.pool.in_use(service)
        per_s = running / max(service_time_s, MIN_SERVICE_TIME_S)
        per_s += self._ticket_client.served_per_s(service)
        # The rate at which other hosts could issue tickets is not known.
        return per_s or None


def _location(peers: network.Peers) -> ticket_issuer.HostLocation:
    directory = peers.directory
    local_host = directory.own
    return ticket_issuer.HostLocation(
        region=local_host.region,
        failure_domain=local_host.failure_domain,
        domain_hosts=len(
            directory.in_failure_domain(local_host.failure_domain)
        ),
        region_hosts=len(directory.in_region(local_host.region)),
    )
