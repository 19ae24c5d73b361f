"""Service that owns upstreams and reserves their slots."""

import asyncio
from collections.abc import Callable
import dataclasses
import random
import time
from typing import Any

from aiohttp import web
import mode

from skylarkpitch.membership import announce_http
from skylarkpitch.membership import announcements
from skylarkpitch.membership import live_hosts
from skylarkpitch.membership import ownership_manager
from skylarkpitch.membership import pool as pools
from skylarkpitch.membership import terms as ownership_terms
from skylarkpitch.messages import membership as messages
from skylarkpitch.peers import network
from skylarkpitch import ports
from skylarkpitch import sentinels
from skylarkpitch.settings import deployment

__all__ = ['LocalSlot', 'UpstreamMembership', 'UpstreamStatus']

HELLO_INTERVAL_S = 0.5
HELLO_TIMEOUT_S = 0.3
MAX_HELLOS_PER_ROUND = 4
RELEASE_TIMEOUT_S = 0.3
TICK_INTERVAL_S = 0.1
DEFAULT_LEASE_S = 3.0
DEFAULT_MAX_WORK_S = 300.0
DEFAULT_DRIFT_FRACTION = 0.01
# Weight of a new value in the moving average of call times.
CALL_TIME_SMOOTHING = 0.05


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class UpstreamStatus:
    """State of one upstream in the operators' commands."""

    name: str
    service: str
    state: str
    slots: int
    used: int
    connections: int
    owner: str
    url: str


class LocalSlot:
    """One reserved slot of an upstream that this host owns."""

    def __init__(
        self,
        *,
        reservation: pools.SlotReservation,
        reserved_at_s: float,
        finish: Callable[
            [pools.SlotReservation, ports.ExchangeOutcome, float], None
        ],
    ) -> None:
        self.upstream = reservation.upstream.name
        self.url = reservation.upstream.url
        self.headers: dict[str, str] = {}
        self._reservation = reservation
        self._reserved_at_s = reserved_at_s
        self._finish = finish

    def finish(
        self, exchange: ports.ExchangeOutcome, *, latency_s: float
    ) -> None:
        """Release the slot and record the outcome of the exchange."""
        self._finish(self._reservation, exchange, self._reserved_at_s)

    def account(self, more_bytes: int) -> None:
        """Ignore the bytes: a local upstream is not behind a link."""


class UpstreamMembership(mode.Service):
    """Ownership of upstreams, shared with the hosts of the failure domain.

    ``drains()`` returns the names of the upstreams that operators drain.
    ``on_free_slots`` is called with a service when slots of it may have become
    free.
    """

    def __init__(
        self,
        *,
        peers: network.Peers,
        site_config: Callable[[], deployment.SiteConfig | sentinels.Absent],
        drains: Callable[[], frozenset[str]],
        announce_token_hash: str | None,
        clock: Callable[[], float] = time.monotonic,
        rng: random.Random,
        announce_scheme: str = 'http',
        **options: Any,
    ) -> None:
        local_host = peers.directory.local_host
        self.pool = pools.Pool(rng=rng)
        self.on_free_slots: Callable[[str], None] = lambda service: None
        self._peers = peers
        self._site_config = site_config
        self._clock = clock
        self._rng = rng
        self._scheme = announce_scheme
        self._others = tuple(
            host.name
            for host in peers.directory.in_failure_domain(
                local_host.failure_domain
            )
            if host.name != local_host.name
        )
        self._mean_calls_s: dict[str, float] = {}
        self.hosts = live_hosts.LiveHosts(
            own_host=local_host.name, others=len(self._others)
        )
        self._manager = ownership_manager.OwnershipManager(
            own_host=local_host.name,
            hosts=self.hosts,
            pool=self.pool,
            drained_upstreams=drains,
            url_of=self._url_of,
            request_from_others=self._request_from_others,
            is_alive=self._send_hello,
            clock=clock,
            rng=rng,
        )
        self._counts = dict.fromkeys(('announced', 'left', 'overload'), 0)
        self._http = announce_http.AnnounceHttp(
            membership=self,
            site_config=site_config,
            token_hash=announce_token_hash,
        )
        peers.handle(messages.HelloRequest, self._on_hello)
        peers.handle(messages.ReleaseRequest, self._on_release)
        peers.handle(messages.LeaveRequest, self._on_leave)
        peers.handle(messages.RunningWorkReport, self._on_running_work_report)
        super().__init__(**options)

    def routes(self) -> list[web.RouteDef]:
        """Return the routes that upstreams call."""
        return self._http.routes()

    def upstreams(self) -> list[UpstreamStatus]:
        """Return the upstreams that this host owns, sorted by name."""
        return [
            UpstreamStatus(
                name=item.name,
                service=item.service,
                state=item.state,
                slots=item.slots.ceiling,
                used=item.slots.in_use,
                connections=item.slots.report.connections,
                owner=self._peers.directory.local_host.name,
                url=item.url,
            )
            for item in self.pool.all()
        ]

    def counters(self) -> dict[str, float]:
        """Return counts and the durations of the last 100 drains."""
        drains_s = [drain.duration_s for drain in self.pool.drains]
        upstreams = self.pool.all()
        return {
            **self._counts,
            **self._http.counts,
            'upstreams': len(upstreams),
            'slots': sum(u.slots.ceiling for u in upstreams),
            'slots_in_use': sum(u.slots.in_use for u in upstreams),
            'drains': len(drains_s),
            'drain_last_s': drains_s[-1] if drains_s else 0.0,
            'drain_longest_s': max(drains_s, default=0.0),
        }

    def domain_slots(self) -> dict[str, int]:
        """Return the slots that the failure domain owns, by service."""
        now_s = self._clock()
        total = self.hosts.owned_slots(now_s=now_s)
        for service, count in self.pool.owned_slots(now_s=now_s).items():
            total[service] = total.get(service, 0) + count
        return total

    def reserve_slot(
        self,
        service: str,
        *,
        deadline_s: float,
        exclude: frozenset[str] = frozenset(),
        for_ticket: bool = False,
    ) -> LocalSlot | sentinels.Absent:
        """Reserve a slot of an upstream that this host owns.

        ``exclude`` names upstreams not to use. With ``for_ticket`` the slot is
        one of those reserved for tickets. Returns ``Absent`` with reason
        ``no_room`` when none is free.
        """
        now_s = self._clock()
        reservation = self.pool.reserve_slot(
            service,
            now_s=now_s,
            until_s=min(deadline_s, now_s + self._work_s(service)),
            exclude=exclude,
            for_ticket=for_ticket,
        )
        if not reservation:
            return reservation
        if (
            reservation.upstream.slots.in_use
            > reservation.upstream.slots.ceiling
        ):
            self._counts['overload'] += 1
        return LocalSlot(
            reservation=reservation, reserved_at_s=now_s, finish=self._finish
        )

    def mean_call_s(self, service: str) -> float | None:
        """Return the mean time in seconds that an answered call uses a slot.

        None when no call of the service has been answered on this host.
        """
        return self._mean_calls_s.get(service)

    async def transfer_upstreams(self, *, timeout_s: float) -> bool:
        """Redirect every upstream to another owner; running work continues.

        Returns False when some were still owned after ``timeout_s``.
        """
        self.hosts.stopping = True
        ends_s = self._clock() + timeout_s
        while self.pool.owned_slots(now_s=self._clock()):
            if self._clock() >= ends_s:
                return False
            await asyncio.sleep(TICK_INTERVAL_S)
        return True

    async def send_hellos(self) -> None:
        """Contact other hosts of the failure domain.

        At most ``MAX_HELLOS_PER_ROUND`` hosts, chosen at random, are
        contacted.
        """
        others = self._others
        if len(others) > MAX_HELLOS_PER_ROUND:
            others = self._rng.sample(others, MAX_HELLOS_PER_ROUND)
        await asyncio.gather(*(self._send_hello(host) for host in others))

    @mode.Service.timer(HELLO_INTERVAL_S)
    async def _send_hellos_regularly(self) -> None:
        await self.send_hellos()

    @mode.Service.task
    async def _tick(self) -> None:
        while not self.should_stop:
            await asyncio.sleep(TICK_INTERVAL_S)
            self.tick()

    def tick(self) -> None:
        """Update life cycles and call ``on_free_slots`` for every service."""
        self._manager.tick(terms=self._terms(None))
        for service in self.pool.services():
            self.on_free_slots(service)

    async def _send_hello(self, host: str) -> bool:
        sent_at_s = self._clock()
        response = await self._peers.request(
            host,
            messages.HelloRequest(stopping=self.hosts.stopping),
            timeout_s=HELLO_TIMEOUT_S,
        )
        if not isinstance(response, messages.HelloResponse):
            return False
        self._record_contact(host, response)
        drift = self._terms(None).drift
        self.hosts.record_owned_slots(
            host,
            response.slots,
            until_s=sent_at_s + response.owned_for_s * (1 - drift),
        )
        return True

    async def _on_hello(
        self, sender: str, message: messages.HelloRequest
    ) -> messages.HelloResponse | None:
        if sender not in self._others:
            return None
        self._record_contact(sender, message)
        for_s = self._terms(None).lease_s / 2
        if len(self._others) > MAX_HELLOS_PER_ROUND:
            # Hosts of a larger failure domain contact each other less often.
            for_s = self.hosts.contact_timeout_s
        return messages.HelloResponse(
            stopping=self.hosts.stopping,
            slots=self.pool.owned_slots(
                now_s=self._clock(),
                for_s=min(for_s, self._terms(None).lease_s / 2),
            ),
            owned_for_s=for_s,
        )

    def _record_contact(
        self,
        host: str,
        message: messages.HelloRequest | messages.HelloResponse,
    ) -> None:
        self.hosts.record_contact(
            host,
            stopping=message.stopping,
            now_s=self._clock(),
        )

    async def _on_release(
        self, sender: str, message: messages.ReleaseRequest
    ) -> messages.ReleaseResponse | None:
        if sender not in self._others:
            return None
        return self._manager.handle_release_request(
            message, sender=sender, lease_s=self._terms(None).lease_s
        )

    async def _on_running_work_report(
        self, sender: str, message: messages.RunningWorkReport
    ) -> None:
        self._manager.handle_running_work_report(message, sender=sender)

    async def _on_leave(
        self, sender: str, message: messages.LeaveRequest
    ) -> messages.LeaveResponse | None:
        if sender not in self._others:
            return None
        owned = self._manager.handle_leave(message.name, message.instance)
        return messages.LeaveResponse(owned=owned)

    async def _request_from_others(
        self, message: messages.ReleaseRequest | messages.LeaveRequest
    ) -> dict[str, messages.ReleaseResponse | None]:
        responses = await asyncio.gather(
            *(
                self._peers.request(host, message, timeout_s=RELEASE_TIMEOUT_S)
                for host in self._others
            )
        )
        self.hosts.clear_owned_slots()
        return {
            host: response
            if isinstance(response, messages.ReleaseResponse)
            else None
            for host, response in zip(self._others, responses, strict=True)
        }

    def _finish(
        self,
        reservation: pools.SlotReservation,
        exchange: ports.ExchangeOutcome,
        reserved_at_s: float,
    ) -> None:
        now_s = self._clock()
        service = reservation.upstream.service
        self.pool.finish(reservation, exchange, now_s=now_s)
        report = self._manager.running_work_report(reservation.upstream)
        if report is not None:
            self._peers.send(*report)
        if exchange is ports.ExchangeOutcome.ANSWERED:
            call_s = now_s - reserved_at_s
            mean_s = self._mean_calls_s.setdefault(service, call_s)
            self._mean_calls_s[service] += (
                call_s - mean_s
            ) * CALL_TIME_SMOOTHING
        self.on_free_slots(service)

    def _url_of(self, host: str) -> str | None:
        entry = self._peers.directory.get(host)
        if entry is None or entry.callers_address is None:
            return None
        return f'{self._scheme}://{entry.callers_address}'

    def _work_s(self, service: str) -> float:
        config = self._site_config()
        if not config or service not in config.services:
            return DEFAULT_MAX_WORK_S
        return config.services[service].deadline_s

    def _terms(self, service: str | None) -> ownership_terms.Terms:
        config = self._site_config()
        if not config:
            return ownership_terms.Terms(
                lease_s=DEFAULT_LEASE_S,
                drift=DEFAULT_DRIFT_FRACTION,
                ramp_s=0.0,
                max_work_s=DEFAULT_MAX_WORK_S,
            )
        service_config = config.services.get(service or '')
        return ownership_terms.Terms(
            lease_s=config.policy.upstream_lease_s,
            drift=config.policy.clock_drift_percent / 100,
            ramp_s=0.0 if service_config is None else service_config.ramp_s,
            max_work_s=max(
                item.deadline_s for item in config.services.values()
            ),
        )

    async def handle_announcement(
        self, item: announcements.Announcement
    ) -> announcements.AnnouncementResponse | ownership_terms.Refusal:
        """Return the response to an authenticated announcement."""
        response = await self._manager.handle_announcement(
            item, self._terms(item.service)
        )
        if isinstance(response, announcements.AnnouncementResponse):
            self._counts['announced'] += 1
            self.on_free_slots(item.service)
        return response

    def handle_leave(self, *, name: str, instance: str) -> bool:
        """Send an upstream no new work; return whether this host owns it."""
        self._counts['left'] += 1
        return self._manager.handle_leave(name, instance)

    async def forward_leave(self, *, name: str, instance: str) -> None:
        """Forward a leave notice to the other hosts of the failure domain."""
        await self._request_from_others(
            messages.LeaveRequest(name=name, instance=instance)
        )
