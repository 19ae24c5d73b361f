"""Run the real deciding code of a whole deployment in virtual time.

Every entry host runs limits, membership, slot allocation and look-up; the
transport, the upstreams and the callers are small stand-ins.
"""

import asyncio
from collections.abc import Callable
import json
import random

from benchmarks import bench_upstreams
from benchmarks import shapes
from skylarkpitch.limits import service as limit_service
from skylarkpitch.membership import announcements
from skylarkpitch.membership import announcer as announcers
from skylarkpitch.membership import service as membership_service
from skylarkpitch.peers import directory as directories
from skylarkpitch import ports
from skylarkpitch.settings import deployment
from skylarkpitch.steering import lookup
from skylarkpitch.steering import lookup_blocks
from skylarkpitch.steering import slot_allocator
from tests.stand_ins import slow_peers

__all__ = ['Fleet', 'make_hosts']

LOCAL_S = 0.0003
DETECTION_S = 2.5
BODY_BYTES = 4000
MAX_HOSTS_TRIED = 8
CONNECT_FAILURE_S = 0.05
MAX_SENDINGS = 3


def make_hosts(shape: shapes.Shape, region_of: dict[str, str]) -> tuple:
    """Return the entry hosts of a deployment."""
    return tuple(
        directories.Host(
            name=f'{place}-{number}',
            region=region_of[place],
            failure_domain=place,
            roles=('entry',),
            peers_address='127.0.0.1:1',
            callers_address=f'10.{index}.0.{number}:80',
            relay_address=f'10.{index}.0.{number}:81',
            public_key=f'{place}-{number}',
        )
        for index, (place, count) in enumerate(shape.entry_hosts.items())
        for number in range(1, count + 1)
    )


class Host:
    """The services of one entry host."""

    def __init__(self, *, fleet: 'Fleet', place: directories.Host) -> None:
        self.place = place
        self.alive = True
        clock = asyncio.get_running_loop().time
        peers = fleet.network.join(place.name)
        seed = f'{fleet.seed}/{place.name}'
        options = {
            'peers': peers,
            'site_config': lambda: fleet.config,
            'clock': clock,
        }
        self.limits = limit_service.OrganisationLimits(
            config_version=lambda: 1, rng=random.Random(seed), **options
        )
        self.membership = membership_service.UpstreamMembership(
            drains=lambda: fleet.drains,
            announce_token_hash=None,
            rng=random.Random(seed),
            **options,
        )
        self.slot_allocator = slot_allocator.FleetSlotAllocator(
            membership=self.membership, rng=random.Random(seed), **options
        )
        self.lookup = lookup.LookupService(
            directory=peers.directory,
            site_config=lambda: fleet.config,
            is_leaving=lambda: fleet.leaving,
            clock=clock,
            id_prefix=lambda: f'{place.region}.0.',
            blocks=fleet.blocks,
        )
        self.services = (
            self.limits,
            self.membership,
            self.slot_allocator,
            self.lookup,
        )


class Fleet:
    """Join hosts, upstreams and callers of one run."""

    def __init__(
        self,
        *,
        shape: shapes.Shape,
        config: deployment.SiteConfig,
        upstreams: bench_upstreams.UpstreamFleet,
        seed: int,
    ) -> None:
        self.shape = shape
        self.config = config
        self.upstreams = upstreams
        self.seed = seed
        self.rng = random.Random(seed)
        self.drains: frozenset[str] = frozenset()
        self.leaving: frozenset[str] = frozenset()
        self.region_of = {
            place: region
            for region, item in config.regions.items()
            for place in item.failure_domains
        }
        places = make_hosts(shape, self.region_of)
        self._place_of = {host.name: host.failure_domain for host in places}
        self._by_address = {host.callers_address: host for host in places}
        self.blocks = lookup_blocks.BlockTable()
        self.blocks.fill(
            (f'10.{index}.0.0/16', place)
            for index, place in enumerate(shape.entry_hosts)
        )
        self._client_ips = {
            place: f'10.{index}.7.7'
            for index, place in enumerate(shape.entry_hosts)
        }
        self.network = slow_peers.SlowNetwork(
            hosts=places,
            rng=self.rng,
            delay_s=lambda one, other: (
                LOCAL_S
                + self.one_way_s(self._place_of[one], self._place_of[other])
            ),
        )
        self.hosts = {
            place.name: Host(fleet=self, place=place) for place in places
        }
        self._lookups: dict[tuple[str, str], tuple[float, list]] = {}
        self._tasks: list[asyncio.Task] = []

    def one_way_s(self, one: str, other: str) -> float:
        """Return the latency between two failure domains."""
        return shapes.one_way_s(self.shape, self.region_of, one, other)

    async def start(self) -> None:
        """Start all services and announcements."""
        for host in self.hosts.values():
            for service in host.services:
                await service.start()
        for item in self.upstreams.all():
            task = asyncio.ensure_future(self._announce(item))
            self._tasks.append(task)

    async def stop(self) -> None:
        """Stop everything."""
        for task in self._tasks:
            task.cancel()
        for host in self.hosts.values():
            for service in reversed(host.services):
                await service.stop()
        await self.network.close()

    def kill(self, places: frozenset[str]) -> None:
        """Let the hosts and upstreams of some failure domains die."""
        dead = [
            name
            for name, host in self.hosts.items()
            if host.place.failure_domain in places
        ]
        for name in dead:
            self.hosts[name].alive = False
            self.network.leave(name)
        for item in self.upstreams.at(places):
            item.alive = False
        loop = asyncio.get_running_loop()
        loop.call_later(DETECTION_S, self._notice, frozenset(dead))

    def counters(self) -> dict[str, float]:
        """Return the sum of the counters of all hosts."""
        total: dict[str, float] = {}
        for host in self.hosts.values():
            for service in (host.limits, host.slot_allocator):
                for name, value in service.counters().items():
                    total[name] = total.get(name, 0) + value
        return total

    async def call(
        self, *, organisation: str, place: str, service: str
    ) -> str:
        """Send one call from a place and return the outcome's word.

        A caller whose answer names only dead hosts goes through the list of
        hosts that it started with.
        """
        tried: frozenset[str] = frozenset()
        for _ in range(MAX_HOSTS_TRIED):
            name = self._pick(service, place, tried)
            host = self.hosts[name]
            away_s = self.one_way_s(place, host.place.failure_domain)
            await asyncio.sleep(LOCAL_S + away_s)
            if host.alive:
                outcome = await self._serve(host, organisation, service)
                await asyncio.sleep(LOCAL_S + away_s)
                return outcome if host.alive else 'host_died'
            tried |= {name}
            await asyncio.sleep(CONNECT_FAILURE_S)
        return 'host_dead'

    async def _serve(self, host: Host, organisation: str, service: str) -> str:
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + self.config.services[service].deadline_s
        spent = await host.limits.spend(
            organisation, now_s=loop.time(), deadline_s=deadline_s
        )
        if spent != 0.0:
            return spent.reason
        outcome = 'no_room'
        exclude: frozenset[str] = frozenset()
        for _ in range(MAX_SENDINGS):
            slot = await host.slot_allocator.reserve(
                service=service,
                caller=self._caller(organisation),
                request_class='default',
                body_bytes=BODY_BYTES,
                deadline_s=deadline_s,
                exclude=exclude,
            )
            if not slot:
                return slot.reason
            outcome = await self._exchange(host, slot, deadline_s)
            if outcome is not ports.ExchangeOutcome.NOT_SENT:
                break
            exclude |= {slot.upstream}
        return str(outcome)

    def _caller(self, organisation: str) -> ports.Caller:
        weight = self.config.organisations[organisation].weight
        return ports.Caller(organisation=organisation, weight=weight)

    async def _exchange(
        self, host: Host, slot: ports.Slot, deadline_s: float
    ) -> ports.ExchangeOutcome:
        loop = asyncio.get_running_loop()
        began_s = loop.time()
        exchange = await self._send(host, slot, deadline_s)
        slot.finish(exchange, latency_s=loop.time() - began_s)
        return exchange

    async def _send(
        self, host: Host, slot: ports.Slot, deadline_s: float
    ) -> ports.ExchangeOutcome:
        if slot.url in self.upstreams.by_url:
            return await self.upstreams.by_url[slot.url].serve()
        address = slot.url.removeprefix('http://').split('/')[0]
        owner = next(
            item
            for item in self.hosts.values()
            if item.place.relay_address == address
        )
        away_s = LOCAL_S + self.one_way_s(
            host.place.failure_domain, owner.place.failure_domain
        )
        await asyncio.sleep(away_s)
        if not owner.alive:
            return ports.ExchangeOutcome.FAILED
        exchange = await self._redeem(owner, slot, deadline_s)
        await asyncio.sleep(away_s)
        return exchange

    async def _redeem(
        self, owner: Host, slot: ports.Slot, deadline_s: float
    ) -> ports.ExchangeOutcome:
        loop = asyncio.get_running_loop()
        lent = owner.slot_allocator.redeem(
            slot.headers['Skylark-Ticket'],
            now_s=loop.time(),
            deadline_s=deadline_s,
        )
        if not lent:
            return ports.ExchangeOutcome.NOT_SENT
        began_s = loop.time()
        exchange = await self.upstreams.by_url[lent.url].serve()
        lent.finish(exchange, latency_s=loop.time() - began_s)
        return exchange

    def _pick(self, service: str, place: str, tried: frozenset[str]) -> str:
        """Choose a host by a look-up answer, kept for its lifetime."""
        now_s = asyncio.get_running_loop().time()
        expires_s, hosts = self._lookups.get((place, service), (0.0, []))
        if now_s >= expires_s:
            answer = self._look_up(service, place)
            expires_s = now_s + answer['lifetime_s']
            hosts = [
                (self._name_at(item['url']), item['weight'])
                for item in answer['hosts']
            ]
            self._lookups[place, service] = (expires_s, hosts)
        usable = [item for item in hosts if item[0] not in tried]
        usable = usable or [(name, 1) for name in self.hosts.keys() - tried]
        names, weights = zip(*sorted(usable), strict=True)
        return self.rng.choices(names, weights)[0]

    def _name_at(self, url: str) -> str:
        return self._by_address[url.removeprefix('http://')].name

    def _look_up(self, service: str, place: str) -> dict:
        asked = next(host for host in self.hosts.values() if host.alive)
        ip = self._client_ips[place]
        return json.loads(asked.lookup.answer(service, ip))

    def _notice(self, dead: frozenset[str]) -> None:
        self.leaving |= dead

    async def _announce(self, item: bench_upstreams.Upstream) -> None:
        loop = asyncio.get_running_loop()
        urls = [
            f'http://{address}'
            for address, host in self._by_address.items()
            if host.failure_domain == item.place
        ]
        announcer = announcers.Announcer(urls=urls, now_s=loop.time())
        while item.alive:
            await self._announce_once(item, announcer, loop.time)
            await asyncio.sleep(
                max(0.01, announcer.next_attempt_s - loop.time())
            )

    async def _announce_once(
        self,
        item: bench_upstreams.Upstream,
        announcer: announcers.Announcer,
        clock: Callable[[], float],
    ) -> None:
        attempt = announcer.start_attempt(now_s=clock())
        address = attempt.url.removeprefix('http://')
        host = self.hosts[self._by_address[address].name]
        if not host.alive:
            announcer.record_failure(now_s=clock())
            return
        load_percent = 100.0 * item.running / item.slots
        if item.lies:
            load_percent = self.rng.choice((0.0, 100.0))
        answer = await host.membership._manager.handle_announcement(
            announcements.Announcement(
                name=item.name,
                service=item.service,
                url=item.url,
                slots=item.slots,
                connections=item.connections,
                instance='i1',
                load_percent=min(load_percent, 100.0),
                previous_owner=attempt.previous_owner,
                previous_owner_age_s=attempt.previous_owner_age_s,
                echo=attempt.echo,
            ),
            host.membership._terms(item.service),
        )
        if isinstance(answer, announcements.AnnouncementResponse):
            announcer.record_response(answer.model_dump(), now_s=clock())
        else:
            announcer.record_refusal(answer.retry_after_s, now_s=clock())
