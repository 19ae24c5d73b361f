"""Take the announcements of upstreams and hand out their slots."""

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
from skylarkpitch.membership import owner as owners
from skylarkpitch.membership import pool as pools
from skylarkpitch.membership import terms as terms_of
from skylarkpitch.messages import membership as messages
from skylarkpitch.peers import network
from skylarkpitch import ports
from skylarkpitch import sentinels
from skylarkpitch.settings import deployment

__all__ = ['LocalSlot', 'UpstreamMembership', 'UpstreamStatus']

HELLO_INTERVAL_S = 0.5
HELLO_TIMEOUT_S = 0.3
GREETED_AT_ONCE = 4
RELEASE_TIMEOUT_S = 0.3
TICK_S = 0.1
DEFAULT_LEASE_S = 3.0
DEFAULT_WORK_S = 300.0
DEFAULT_DRIFT = 0.01
HOLD_WEIGHT = 0.05


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class UpstreamStatus:
    """One upstream as the operators see it."""

    name: str
    service: str
    state: str
    slots: int
    used: int
    connections: int
    owner: str
    url: str


class LocalSlot:
    """One slot of an upstream that this host owns."""

    def __init__(
        self,
        *,
        held: pools.Held,
        taken_s: float,
        finish: Callable[[pools.Held, ports.ExchangeOutcome, float], None],
    ) -> None:
        self.upstream = held.upstream.name
        self.url = held.upstream.url
        self.headers: dict[str, str] = {}
        self._held = held
        self._taken_s = taken_s
        self._finish = finish

    def finish(
        self, exchange: ports.ExchangeOutcome, *, latency_s: float
    ) -> None:
        """Give the slot back and tell how the exchange ended."""
        self._finish(self._held, exchange, self._taken_s)

    def account(self, more_bytes: int) -> None:
        """Do nothing: an own upstream is not behind a link."""


class UpstreamMembership(mode.Service):
    """Own upstreams of the failure domain together with its other hosts."""

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
        own = peers.directory.local_host
        self.pool = pools.Pool(rng=rng)
        self.on_free_slots: Callable[[str], None] = lambda service: None
        self._peers = peers
        self._site_config = site_config
        self._clock = clock
        self._rng = rng
        self._scheme = announce_scheme
        self._others = tuple(
            host.name
            for host in peers.directory.in_failure_domain(own.failure_domain)
            if host.name != own.name
        )
        self._holds_s: dict[str, float] = {}
        self.hosts = live_hosts.LiveHosts(
            own=own.name, others=len(self._others)
        )
        self._owner = owners.Owner(
            own=own.name,
            hosts=self.hosts,
            pool=self.pool,
            drained=drains,
            url_of=self._url_of,
            ask_others=self._ask_others,
            lives=self._greet,
            clock=clock,
            rng=rng,
        )
        self._counts = dict.fromkeys(('announced', 'left', 'overload'), 0)
        self._http = announce_http.AnnounceHttp(
            membership=self,
            site_config=site_config,
            token_hash=announce_token_hash,
        )
        peers.handle(messages.Hello, self._hello)
        peers.handle(messages.Release, self._release)
        peers.handle(messages.Leave, self._left)
        peers.handle(messages.StillRunning, self._still_running)
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
        """Return counts and the drain times of the last 100 drains."""
        drains_s = [drain.took_s for drain in self.pool.drains]
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
        total = self.hosts.slots(now_s=now_s)
        for service, count in self.pool.owned_slots(now_s=now_s).items():
            total[service] = total.get(service, 0) + count
        return total

    def take(
        self,
        service: str,
        *,
        deadline_s: float,
        exclude: frozenset[str] = frozenset(),
        reserved: bool = False,
    ) -> LocalSlot | sentinels.Absent:
        """Take a slot of an upstream that this host owns."""
        now_s = self._clock()
        held = self.pool.take(
            service,
            now_s=now_s,
            until_s=min(deadline_s, now_s + self._work_s(service)),
            exclude=exclude,
            reserved=reserved,
        )
        if not held:
            return held
        if held.upstream.slots.in_use > held.upstream.slots.ceiling:
            self._counts['overload'] += 1
        return LocalSlot(held=held, taken_s=now_s, finish=self._finish)

    def hold_s(self, service: str) -> float | None:
        """Return how long a call holds a slot, if any has ended here."""
        return self._holds_s.get(service)

    async def hand_over(self, *, timeout_s: float) -> bool:
        """Send every upstream to another owner; running work goes on.

        Returns False when some were still owned after ``timeout_s``.
        """
        self.hosts.stopping = True
        ends_s = self._clock() + timeout_s
        while self.pool.owned_slots(now_s=self._clock()):
            if self._clock() >= ends_s:
                return False
            await asyncio.sleep(TICK_S)
        return True

    async def greet_others(self) -> None:
        """Tell the domain's other hosts that this one lives."""
        others = self._others
        if len(others) > GREETED_AT_ONCE:
            others = self._rng.sample(others, GREETED_AT_ONCE)
        await asyncio.gather(*(self._greet(host) for host in others))

    @mode.Service.timer(HELLO_INTERVAL_S)
    async def _say_hello(self) -> None:
        await self.greet_others()

    @mode.Service.task
    async def _tick(self) -> None:
        while not self.should_stop:
            await asyncio.sleep(TICK_S)
            self.tick()

    def tick(self) -> None:
        """Move life cycles on and offer the room that this frees."""
        self._owner.tick(terms=self._terms(None))
        for service in self.pool.services():
            self.on_free_slots(service)

    async def _greet(self, host: str) -> bool:
        asked_s = self._clock()
        answer = await self._peers.request(
            host,
            messages.Hello(stopping=self.hosts.stopping),
            timeout_s=HELLO_TIMEOUT_S,
        )
        if not isinstance(answer, messages.HelloHeard):
            return False
        self._heard(host, answer)
        drift = self._terms(None).drift
        self.hosts.owns(
            host,
            answer.slots,
            until_s=asked_s + answer.owned_for_s * (1 - drift),
        )
        return True

    async def _hello(
        self, sender: str, message: messages.Hello
    ) -> messages.HelloHeard | None:
        if sender not in self._others:
            return None
        self._heard(sender, message)
        for_s = self._terms(None).lease_s / 2
        if len(self._others) > GREETED_AT_ONCE:
            for_s = self.hosts.silent_after_s
        return messages.HelloHeard(
            stopping=self.hosts.stopping,
            slots=self.pool.owned_slots(
                now_s=self._clock(),
                for_s=min(for_s, self._terms(None).lease_s / 2),
            ),
            owned_for_s=for_s,
        )

    def _heard(
        self, host: str, message: messages.Hello | messages.HelloHeard
    ) -> None:
        self.hosts.heard(
            host,
            stopping=message.stopping,
            now_s=self._clock(),
        )

    async def _release(
        self, sender: str, message: messages.Release
    ) -> messages.Released | None:
        if sender not in self._others:
            return None
        return self._owner.asked_to_release(
            message, sender=sender, lease_s=self._terms(None).lease_s
        )

    async def _still_running(
        self, sender: str, message: messages.StillRunning
    ) -> None:
        self._owner.still_running(message, sender=sender)

    async def _left(
        self, sender: str, message: messages.Leave
    ) -> messages.Left | None:
        if sender not in self._others:
            return None
        owned = self._owner.left(message.name, message.instance)
        return messages.Left(owned=owned)

    async def _ask_others(
        self, message: messages.Release | messages.Leave
    ) -> dict[str, messages.Released | None]:
        answers = await asyncio.gather(
            *(
                self._peers.request(host, message, timeout_s=RELEASE_TIMEOUT_S)
                for host in self._others
            )
        )
        self.hosts.forget_slots()
        return {
            host: answer if isinstance(answer, messages.Released) else None
            for host, answer in zip(self._others, answers, strict=True)
        }

    def _finish(
        self, held: pools.Held, exchange: ports.ExchangeOutcome, taken_s: float
    ) -> None:
        now_s = self._clock()
        service = held.upstream.service
        self.pool.finish(held, exchange, now_s=now_s)
        ended = self._owner.ended(held.upstream)
        if ended is not None:
            self._peers.send(*ended)
        if exchange is ports.ExchangeOutcome.ANSWERED:
            took_s = now_s - taken_s
            mean_s = self._holds_s.setdefault(service, took_s)
            self._holds_s[service] += (took_s - mean_s) * HOLD_WEIGHT
        self.on_free_slots(service)

    def _url_of(self, host: str) -> str | None:
        found = self._peers.directory.get(host)
        if found is None or found.callers_address is None:
            return None
        return f'{self._scheme}://{found.callers_address}'

    def _work_s(self, service: str) -> float:
        config = self._site_config()
        if not config or service not in config.services:
            return DEFAULT_WORK_S
        return config.services[service].deadline_s

    def _terms(self, service: str | None) -> terms_of.Terms:
        config = self._site_config()
        if not config:
            return terms_of.Terms(
                lease_s=DEFAULT_LEASE_S,
                drift=DEFAULT_DRIFT,
                ramp_s=0.0,
                longest_work_s=DEFAULT_WORK_S,
            )
        found = config.services.get(service or '')
        return terms_of.Terms(
            lease_s=config.policy.upstream_lease_s,
            drift=config.policy.clock_drift_percent / 100,
            ramp_s=0.0 if found is None else found.ramp_s,
            longest_work_s=max(
                item.deadline_s for item in config.services.values()
            ),
        )

    async def announced(
        self, item: announcements.Announcement
    ) -> announcements.Answer | terms_of.Refused:
        """Answer an announcement that has been authenticated."""
        answer = await self._owner.announced(item, self._terms(item.service))
        if isinstance(answer, announcements.Answer):
            self._counts['announced'] += 1
            self.on_free_slots(item.service)
        return answer

    def left(self, *, name: str, instance: str) -> bool:
        """Give a leaving upstream nothing new; tell whether it is here."""
        self._counts['left'] += 1
        return self._owner.left(name, instance)

    async def pass_on_leave(self, *, name: str, instance: str) -> None:
        """Tell the domain's other hosts that an upstream leaves."""
        await self._ask_others(messages.Leave(name=name, instance=instance))
