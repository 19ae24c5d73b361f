"""Membership and slot allocation of a whole fleet in virtual time.

Hosts, upstreams and callers are tasks of one event loop whose time advances
to the next timer at once. Each host has its own clock rate, messages are
delayed and lost, and a host that dies loses its state.
"""

import asyncio
import collections
import dataclasses
import random

from skylarkpitch.membership import announcements
from skylarkpitch.membership import announcer as announcers
from skylarkpitch.membership import service as membership_service
from skylarkpitch.peers import directory as directories
from skylarkpitch import ports
from skylarkpitch import sentinels
from skylarkpitch.steering import slot_allocator
from tests.stand_ins import fake_peers

LOCAL_S = 0.001
LATE_SENDING_TOLERANCE_S = 0.02


def entry_hosts(regions):
    """Return two entry hosts for each failure domain of each region."""
    return [
        dataclasses.replace(
            fake_peers.host(f'{domain}-{number}', region, domain),
            callers_address=f'{domain}-{number}:1',
        )
        for region, domains in regions.items()
        for domain in domains
        for number in (1, 2)
    ]


class Peers:
    """Transport of one process; a dead one sends and receives nothing."""

    def __init__(self, *, world, name):
        self.directory = directories.Directory(
            local_host=name, hosts=world.directory_hosts
        )
        self.handlers = {}
        self.alive = True
        self._world = world

    def handle(self, message_type, handler):
        self.handlers[message_type] = handler

    def send(self, host, message):
        self._world.spawn(self.request(host, message, timeout_s=1.0))
        return True

    async def request(self, host, message, *, timeout_s):
        own_name = self.directory.local_host.name
        loop = asyncio.get_running_loop()
        ends_s = loop.time() + timeout_s
        answer = None
        if await self._world.deliver(own_name, host):
            await self._world.hosts[host].running.wait()
            peers = self._world.hosts[host].peers
            if peers.alive and type(message) in peers.handlers:
                answer = await peers.handlers[type(message)](own_name, message)
        arrived = await self._world.deliver(host, own_name)
        late = loop.time() > ends_s
        if answer is None or not arrived or late or not self.alive:
            await asyncio.sleep(max(0.0, ends_s - loop.time()))
            return sentinels.Absent('peer_timeout')
        return answer


class Host:
    """Host process from one start to its death."""

    def __init__(self, *, world, directory_host, rate):
        self.directory_host = directory_host
        self.rate = rate
        self.running = asyncio.Event()
        self.running.set()
        loop = asyncio.get_running_loop()
        self.clock = lambda: 100.0 + loop.time() * rate
        self.peers = Peers(world=world, name=directory_host.name)
        seed = f'{world.seed}{directory_host.name}{loop.time()}'
        options = {
            'peers': self.peers,
            'site_config': lambda: world.site,
            'clock': self.clock,
            'rng': random.Random(seed),
        }
        self.membership = membership_service.UpstreamMembership(
            drains=lambda: world.drains, announce_token_hash=None, **options
        )
        self.allocator = slot_allocator.FleetSlotAllocator(
            membership=self.membership, **options
        )
        self.tasks = [
            world.spawn(self._every(0.5, self.membership.send_hellos)),
            world.spawn(self._every(0.2, self.allocator.survey)),
            world.spawn(self._every(0.05, self._tick)),
        ]

    async def _tick(self):
        self.membership.tick()
        self.allocator.tick()

    async def _every(self, pause_s, step):
        while self.peers.alive:
            await self.running.wait()
            await step()
            await asyncio.sleep(pause_s)


class Upstream:
    """Upstream that announces itself and counts its running requests."""

    def __init__(self, *, world, name, service, domain, slots, work_s):
        self.world = world
        self.name = name
        self.service = service
        self.domain = domain
        self.slots = slots
        self.work_s = work_s
        self.url = f'http://{name}'
        self.running = 0
        self.served = 0
        self.instance = 0
        self.left_s = None
        self.reports_false_status = False
        self.start()

    def start(self):
        self.instance += 1
        self.running = 0
        self.left_s = None
        self.alive = True
        self.world.spawn(self._announce(self.instance))

    async def _announce(self, instance):
        loop = asyncio.get_running_loop()
        urls = [
            f'http://{host.callers_address}'
            for host in self.world.directory_hosts
            if host.failure_domain == self.domain
        ]
        announcer = announcers.Announcer(urls=urls, now_s=loop.time())
        while self.alive and self.instance == instance:
            if self.left_s is not None:
                return
            attempt = announcer.start_attempt(now_s=loop.time())
            delivery = self.world.spawn(self._deliver(attempt, instance))
            done, _ = await asyncio.wait(
                [delivery], timeout=announcers.ATTEMPT_TIMEOUT_S
            )
            answer = delivery.result() if done else None
            if answer is None:
                announcer.record_failure(now_s=loop.time())
            elif isinstance(answer, announcements.AnnouncementResponse):
                announcer.record_response(
                    answer.model_dump(), now_s=loop.time()
                )
            else:
                announcer.record_refusal(
                    answer.retry_after_s, now_s=loop.time()
                )
            pause_s = announcer.next_attempt_s - loop.time()
            await asyncio.sleep(max(0.01, pause_s))

    async def _deliver(self, attempt, instance):
        host = self.world.host_at(attempt.url)
        if not await self.world.deliver(self.name, host, late=True):
            return None
        await self.world.hosts[host].running.wait()
        current = self.world.hosts[host]
        if not current.peers.alive:
            return None
        is_false = self.reports_false_status and self.world.rng.random() < 0.5
        answer = await current.membership.handle_announcement(
            announcements.Announcement(
                name=self.name,
                service=self.service,
                url=self.url,
                slots=self.slots,
                connections=300,
                instance=str(instance),
                load_percent=self.world.rng.choice((0, 90)) if is_false else 0,
                healthy=not is_false,
                previous_owner=attempt.previous_owner,
                previous_owner_age_s=attempt.previous_owner_age_s,
                echo=attempt.echo,
            )
        )
        if not await self.world.deliver(host, self.name):
            return None
        return answer if current.peers.alive else None

    async def serve(self, remaining_s):
        """Run one request and return how the exchange ended."""
        await asyncio.sleep(LOCAL_S)
        if not self.alive:
            return ports.ExchangeOutcome.FAILED
        loop = asyncio.get_running_loop()
        instance = self.instance
        left_s = self.left_s
        if (
            left_s is not None
            and loop.time() > left_s + LATE_SENDING_TOLERANCE_S
        ):
            self.world.violate('sent_after_leaving')
        self.running += 1
        if self.running > self.slots:
            self.world.violate('slots')
        work_s = self.world.rng.expovariate(1 / self.work_s)
        await asyncio.sleep(min(work_s, remaining_s))
        if self.instance != instance or not self.alive:
            return ports.ExchangeOutcome.FAILED
        self.running -= 1
        self.served += 1
        if work_s > remaining_s:
            return ports.ExchangeOutcome.TIMED_OUT
        return ports.ExchangeOutcome.ANSWERED


class World:
    """Hosts, upstreams and the faults between them."""

    def __init__(self, *, seed, directory_hosts, site, latency_s, drift=0.01):
        self.seed = seed
        self.rng = random.Random(seed)
        self.directory_hosts = directory_hosts
        self.site = site
        self.drains = frozenset()
        self.loss = 0.0
        self.late = 0.0
        self.cut = set()
        self.upstreams = {}
        self.violations = collections.Counter()
        self.outcomes = collections.Counter()
        self.crossings = []
        self.steps = 0
        self._latency_s = latency_s
        self._tasks = set()
        self._by_name = {host.name: host for host in directory_hosts}
        self._rates = {
            host.name: self.rng.choice((1 - drift, 1.0, 1 + drift))
            for host in directory_hosts
        }
        self.hosts = {}
        for directory_host in directory_hosts:
            self.start(directory_host.name)

    def spawn(self, coroutine):
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def start(self, name):
        """Start a host without state."""
        self.hosts[name] = Host(
            world=self,
            directory_host=self._by_name[name],
            rate=self._rates[name],
        )

    def kill(self, name):
        """Kill a host; its state is lost."""
        host = self.hosts[name]
        host.peers.alive = False
        host.running.set()
        for task in host.tasks:
            task.cancel()

    def add_upstream(self, **options):
        item = Upstream(world=self, **options)
        self.upstreams[item.url] = item

    def violate(self, invariant):
        self.violations[invariant] += 1

    def host_at(self, url):
        for directory_host in self.directory_hosts:
            if url.endswith(directory_host.callers_address):
                return directory_host.name
        raise KeyError(url)

    async def deliver(self, sender, receiver, *, late=False):
        """Delay a message; return whether it arrives."""
        delay_s = LOCAL_S
        if sender in self._by_name and receiver in self._by_name:
            delay_s = self._latency_s(
                self._by_name[sender], self._by_name[receiver]
            )
        if late and self.rng.random() < self.late:
            delay_s += self.rng.uniform(0, 4)
        await asyncio.sleep(delay_s * self.rng.uniform(0.8, 1.5))
        if frozenset((sender, receiver)) in self.cut:
            return False
        return self.rng.random() >= self.loss

    async def call(
        self, name, service, *, organisation, deadline_s, **call_options
    ):
        """Send one call through a host and return its outcome."""
        self.steps += 1
        host = self.hosts[name]
        await host.running.wait()
        if not host.peers.alive:
            return 'host_dead'
        ends_s = host.clock() + deadline_s
        slot = await host.allocator.reserve(
            service=service,
            caller=ports.Caller(organisation=organisation),
            request_class='reads',
            body_bytes=call_options.get('body_bytes', 2000),
            deadline_s=ends_s,
            exclude=frozenset(),
        )
        if not host.peers.alive:
            return 'host_dead'
        if not slot:
            return 'no_room'
        if slot.url in self.upstreams:
            exchange = await self._exchange(host, slot, ends_s)
        else:
            exchange = await self._relay(host, slot, ends_s, call_options)
        return str(exchange)

    async def _exchange(self, host, slot, ends_s):
        remaining_s = max(0.0, ends_s - host.clock())
        upstream = self.upstreams[slot.url]
        exchange = await upstream.serve(remaining_s)
        await asyncio.sleep(LOCAL_S)
        await host.running.wait()
        if host.peers.alive:
            slot.finish(exchange, latency_s=0.0)
        return exchange

    async def _relay(self, host, slot, ends_s, call_options):
        issuer = slot.upstream.removeprefix('relay:')
        regions = (host.directory_host.region, self._by_name[issuer].region)
        if regions[0] != regions[1]:
            now_s = asyncio.get_running_loop().time()
            size = call_options.get('body_bytes', 2000)
            self.crossings.append((now_s, frozenset(regions), size))
        exchange = ports.ExchangeOutcome.FAILED
        if await self.deliver(host.directory_host.name, issuer):
            await self.hosts[issuer].running.wait()
            other = self.hosts[issuer]
            if other.peers.alive:
                exchange = await self._redeem(other, host, slot, ends_s)
        await self.deliver(issuer, host.directory_host.name)
        if host.peers.alive:
            slot.finish(exchange, latency_s=0.0)
        return exchange

    async def _redeem(self, other, host, slot, ends_s):
        left_s = ends_s - host.clock()
        ends_s = other.clock() + left_s
        redeemed = other.allocator.redeem(
            slot.headers['Skylark-Ticket'],
            now_s=other.clock(),
            deadline_s=ends_s,
        )
        if not redeemed:
            return ports.ExchangeOutcome.NOT_SENT
        return await self._exchange(other, redeemed, ends_s)
