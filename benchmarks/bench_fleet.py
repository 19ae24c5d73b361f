"""Run the services of all entry hosts of a deployment in virtual time.

Every entry host runs the real limits, membership, slot allocation and
look-up; the transport, the upstreams and the callers are simulated.
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

LOCAL_LATENCY_S = 0.0003
FAILURE_DETECTION_S = 2.5
BODY_BYTES = 4000
MAX_HOSTS_TRIED = 8
CONNECT_FAILURE_DELAY_S = 0.05
MAX_ATTEMPTS = 3


def make_hosts(shape: shapes.Shape, region_of: dict[str, str]) -> tuple:
    """Return the entry hosts of a deployment."""
    return tuple(
        directories.Host(
            name=f'{failure_domain}-{number}',
            region=region_of[failure_domain],
            failure_domain=failure_domain,
            roles=('entry',),
            peers_address='127.0.0.1:1',
            callers_address=f'10.{index}.0.{number}:80',
            relay_address=f'10.{index}.0.{number}:81',
            public_key=f'{failure_domain}-{number}',
        )
        for index, (failure_domain, count) in enumerate(
            shape.entry_hosts.items()
        )
        for number in range(1, count + 1)
    )


class Host:
    """The services of one entry host."""

    def __init__(
        self, *, fleet: 'Fleet', directory_host: directories.Host
    ) -> None:
        self.directory_host = directory_host
        self.alive = True
        clock = asyncio.get_running_loop().time
        peers = fleet.network.join(directory_host.name)
        seed = f'{fleet.seed}/{directory_host.name}'
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
            id_prefix=lambda: f'{directory_host.region}.0.',
            blocks=fleet.blocks,
        )
        self.services = (
            self.limits,
            self.membership,
            self.slot_allocator,
            self.lookup,
        )


class Fleet:
    """The hosts, upstreams and callers of one run."""

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
            failure_domain: region
            for region, item in config.regions.items()
            for failure_domain in item.failure_domains
        }
        hosts = make_hosts(shape, self.region_of)
        self._failure_domain_of = {
            host.name: host.failure_domain for host in hosts
        }
        self._by_address = {host.callers_address: host for host in hosts}
        self.blocks = lookup_blocks.BlockTable()
        self.blocks.fill(
            (f'10.{index}.0.0/16', failure_domain)
            for index, failure_domain in enumerate(shape.entry_hosts)
        )
        self._client_ips = {
            failure_domain: f'10.{index}.7.7'
            for index, failure_domain in enumerate(shape.entry_hosts)
        }
        self.network = slow_peers.SlowNetwork(
            hosts=hosts,
            rng=self.rng,
            delay_s=lambda one, other: (
                LOCAL_LATENCY_S
                + self.one_way_s(
                    self._failure_domain_of[one],
                    self._failure_domain_of[other],
                )
            ),
        )
        self.hosts = {
            host.name: Host(fleet=self, directory_host=host) for host in hosts
        }
        self._cached_lookups: dict[tuple[str, str], tuple[float, list]] = {}
        self._tasks: list[asyncio.Task] = []

    def one_way_s(self, one: str, other: str) -> float:
        """Return the one-way latency between two failure domains."""
        return shapes.one_way_s(self.shape, self.region_of, one, other)

    async def start(self) -> None:
        """Start all services and the announcements of all upstreams."""
        for host in self.hosts.values():
            for service in host.services:
                await service.start()
        for upstream in self.upstreams.all():
            task = asyncio.ensure_future(self._announce(upstream))
            self._tasks.append(task)

    async def stop(self) -> None:
        """Stop the announcements, the services and the network."""
        for task in self._tasks:
            task.cancel()
        for host in self.hosts.values():
            for service in reversed(host.services):
                await service.stop()
        await self.network.close()

    def kill(self, failure_domains: frozenset[str]) -> None:
        """Kill the hosts and upstreams of some failure domains."""
        dead = [
            name
            for name, host in self.hosts.items()
            if host.directory_host.failure_domain in failure_domains
        ]
        for name in dead:
            self.hosts[name].alive = False
            self.network.leave(name)
        for upstream in self.upstreams.in_failure_domains(failure_domains):
            upstream.alive = False
        loop = asyncio.get_running_loop()
        loop.call_later(
            FAILURE_DETECTION_S, self._mark_leaving, frozenset(dead)
        )

    def counters(self) -> dict[str, float]:
        """Return the sum of the counters of all hosts."""
        total: dict[str, float] = {}
        for host in self.hosts.values():
            for service in (host.limits, host.slot_allocator):
                for name, value in service.counters().items():
                    total[name] = total.get(name, 0) + value
        return total

    async def call(
        self, *, organisation: str, failure_domain: str, service: str
    ) -> str:
        """Send a call from a failure domain and return its outcome.

        A caller whose look-up response lists only dead hosts tries the
        hosts of its initial list, which contains every host.
        """
        tried: frozenset[str] = frozenset()
        for _ in range(MAX_HOSTS_TRIED):
            name = self._select_host(service, failure_domain, tried)
            host = self.hosts[name]
            latency_s = self.one_way_s(
                failure_domain, host.directory_host.failure_domain
            )
            await asyncio.sleep(LOCAL_LATENCY_S + latency_s)
            if host.alive:
                outcome = await self._handle_call(host, organisation, service)
                await asyncio.sleep(LOCAL_LATENCY_S + latency_s)
                return outcome if host.alive else 'host_died'
            tried |= {name}
            await asyncio.sleep(CONNECT_FAILURE_DELAY_S)
        return 'host_dead'

    async def _handle_call(
        self, host: Host, organisation: str, service: str
    ) -> str:
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + self.config.services[service].deadline_s
        spend_result = await host.limits.spend(
            organisation, now_s=loop.time(), deadline_s=deadline_s
        )
        if spend_result != 0.0:
            return spend_result.reason
        outcome = 'no_room'
        exclude: frozenset[str] = frozenset()
        for _ in range(MAX_ATTEMPTS):
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
        started_s = loop.time()
        exchange = await self._send(host, slot, deadline_s)
        slot.finish(exchange, latency_s=loop.time() - started_s)
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
            if item.directory_host.relay_address == address
        )
        latency_s = LOCAL_LATENCY_S + self.one_way_s(
            host.directory_host.failure_domain,
            owner.directory_host.failure_domain,
        )
        await asyncio.sleep(latency_s)
        if not owner.alive:
            return ports.ExchangeOutcome.FAILED
        exchange = await self._redeem(owner, slot, deadline_s)
        await asyncio.sleep(latency_s)
        return exchange

    async def _redeem(
        self, owner: Host, slot: ports.Slot, deadline_s: float
    ) -> ports.ExchangeOutcome:
        loop = asyncio.get_running_loop()
        redeemed_slot = owner.slot_allocator.redeem(
            slot.headers['Skylark-Ticket'],
            now_s=loop.time(),
            deadline_s=deadline_s,
        )
        if not redeemed_slot:
            return ports.ExchangeOutcome.NOT_SENT
        started_s = loop.time()
        exchange = await self.upstreams.by_url[redeemed_slot.url].serve()
        redeemed_slot.finish(exchange, latency_s=loop.time() - started_s)
        return exchange

    def _select_host(
        self, service: str, failure_domain: str, tried: frozenset[str]
    ) -> str:
        """Select a host by a look-up response, cached for its lifetime."""
        now_s = asyncio.get_running_loop().time()
        expires_s, hosts = self._cached_lookups.get(
            (failure_domain, service), (0.0, [])
        )
        if now_s >= expires_s:
            response = self._request_lookup(service, failure_domain)
            expires_s = now_s + response['lifetime_s']
            hosts = [
                (self._host_name_of_url(item['url']), item['weight'])
                for item in response['hosts']
            ]
            self._cached_lookups[failure_domain, service] = (expires_s, hosts)
        usable = [item for item in hosts if item[0] not in tried]
        usable = usable or [(name, 1) for name in self.hosts.keys() - tried]
        names, weights = zip(*sorted(usable), strict=True)
        return self.rng.choices(names, weights)[0]

    def _host_name_of_url(self, url: str) -> str:
        return self._by_address[url.removeprefix('http://')].name

    def _request_lookup(self, service: str, failure_domain: str) -> dict:
        entry_host = next(host for host in self.hosts.values() if host.alive)
        ip = self._client_ips[failure_domain]
        return json.loads(entry_host.lookup.answer(service, ip))

    def _mark_leaving(self, dead: frozenset[str]) -> None:
        self.leaving |= dead

    async def _announce(self, upstream: bench_upstreams.Upstream) -> None:
        loop = asyncio.get_running_loop()
        urls = [
            f'http://{address}'
            for address, host in self._by_address.items()
            if host.failure_domain == upstream.failure_domain
        ]
        announcer = announcers.Announcer(urls=urls, now_s=loop.time())
        while upstream.alive:
            await self._announce_once(upstream, announcer, loop.time)
            await asyncio.sleep(
                max(0.01, announcer.next_attempt_s - loop.time())
            )

    async def _announce_once(
        self,
        upstream: bench_upstreams.Upstream,
        announcer: announcers.Announcer,
        clock: Callable[[], float],
    ) -> None:
        attempt = announcer.start_attempt(now_s=clock())
        address = attempt.url.removeprefix('http://')
        host = self.hosts[self._by_address[address].name]
        if not host.alive:
            announcer.record_failure(now_s=clock())
            return
        load_percent = 100.0 * upstream.running / upstream.slots
        if upstream.reports_false_load:
            load_percent = self.rng.choice((0.0, 100.0))
        response = await host.membership._manager.handle_announcement(
            announcements.Announcement(
                name=upstream.name,
                service=upstream.service,
                url=upstream.url,
                slots=upstream.slots,
                connections=upstream.connections,
                instance='i1',
                load_percent=min(load_percent, 100.0),
                previous_owner=attempt.previous_owner,
                previous_owner_age_s=attempt.previous_owner_age_s,
                echo=attempt.echo,
            ),
            host.membership._terms(upstream.service),
        )
        if isinstance(response, announcements.AnnouncementResponse):
            announcer.record_response(response.model_dump(), now_s=clock())
        else:
            announcer.record_refusal(response.retry_after_s, now_s=clock())
