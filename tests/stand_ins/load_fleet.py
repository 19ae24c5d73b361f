"""Entry hosts and upstreams under load, in virtual time, without a network.

The entry hosts run the program's own selection, queueing and region plan.
Upstreams have slots, a queue, and a cache of the affinity keys that they
served last; a request whose key is not cached takes several times as long.
"""

import asyncio
import collections
import random
import types

from skylarkpitch.fleet import host_parts
from skylarkpitch.fleet import model
from skylarkpitch.fleet import region_plan
from skylarkpitch.fleet import view as views
from skylarkpitch.forwarding import calls
from skylarkpitch.forwarding import header_names
from skylarkpitch.forwarding import refusals
from skylarkpitch.forwarding import scheduler as schedulers
from skylarkpitch.forwarding import sender as senders
from skylarkpitch.forwarding import upstream_selector as selectors
from tests.stand_ins import caching_upstream

REPORT_INTERVAL_S = 0.5
SAME_DOMAIN_ONE_WAY_S = 0.0001
DOMAIN_ONE_WAY_S = 0.001
NAMES = header_names.HeaderNames()


def region_of(failure_domain):
    """Return the region of a failure domain named ``region-suffix``."""
    return failure_domain.partition('-')[0]


class Host:
    """An entry host: its view, selection and scheduler."""

    def __init__(self, name, domain, fleet, rng):
        self.name = name
        self.domain = domain
        self.selector = selectors.UpstreamSelector(
            region=region_of(domain),
            failure_domain=domain,
            region_of=region_of,
        )
        self.scheduler = schedulers.RequestScheduler(
            view=fleet.view,
            host=name,
            selector=self.selector,
            names=NAMES,
            clock=fleet.now_s,
            unix_clock=fleet.now_s,
            rng=rng,
        )


class LoadFleet:
    """Play requests of all services on ``hosts_by_domain`` entry hosts.

    ``callers`` returns the weight of a failure domain at a time. A request
    to another region takes ``region_one_way_s`` each way, and as long again
    without a connection from an earlier request. Each of the ``outages``
    names a region or a failure domain and two times, between which its
    upstreams are gone; they return with nothing cached, and a cold rate for
    their cold time.
    """

    def __init__(
        self,
        *,
        services,
        hosts_by_domain,
        seed,
        region_one_way_s=0.02,
        callers=None,
        cold_rate_per_s=None,
        outages=(),
    ):
        self.services = {item.name: item for item in services}
        self._routes = [
            (item, route) for item in services for route in item.routes
        ]
        self._region_one_way_s = region_one_way_s
        self._connections = {}
        self.rng = random.Random(seed)
        self._callers = callers or (lambda domain, now_s: 1.0)
        self.records = []
        self.upstreams = {}
        for item in services:
            for domain, count in item.upstreams.items():
                for number in range(count):
                    self._add_upstream(item, domain, number)
        domains = [
            (domain, number)
            for domain, count in hosts_by_domain.items()
            for number in range(count)
        ]
        parts = host_parts.divide(
            [
                model.EntryHost(
                    name=f'{domain}-{number}',
                    callers_address='',
                    region=region_of(domain),
                    failure_domain=domain,
                )
                for domain, number in domains
            ],
            favoured_region=None,
        )
        self._outages = outages
        self.view = types.SimpleNamespace(
            upstreams=[item.item for item in self.upstreams.values()],
            draining_domains=frozenset(),
            entry_host_count=len(domains),
            host_part=lambda name, favoured_region: parts[name],
            service=lambda name: model.Service(
                name=name,
                health_path='/',
                cold_ms=caching_upstream.COLD_S * 1000,
                cold_rate_per_s=cold_rate_per_s,
            ),
            upstream=lambda name: self.upstreams[name].item,
        )
        self.plan = region_plan.RegionPlan()
        self.hosts = collections.defaultdict(list)
        for domain, number in domains:
            self.hosts[domain].append(
                Host(f'{domain}-{number}', domain, self, self.rng)
            )

    @property
    def _slots(self):
        """The slots of the upstreams in the view, by service and region."""
        slots = {name: collections.Counter() for name in self.services}
        for item in self.view.upstreams:
            slots[item.service][region_of(item.failure_domain)] += item.slots
        return slots

    async def _play_outage(self, place, gone_s, back_s):
        await asyncio.sleep(gone_s)
        gone = [
            upstream
            for upstream in self.upstreams.values()
            if upstream.item.failure_domain.startswith(place)
        ]
        names = {upstream.item.upstream_id for upstream in gone}
        self.view.upstreams = [
            item
            for item in self.view.upstreams
            if item.upstream_id not in names
        ]
        self._apply_view()
        await asyncio.sleep(back_s - gone_s)
        for upstream in gone:
            upstream.restart()
        self.view.upstreams = [item.item for item in self.upstreams.values()]
        self._apply_view()

    def _apply_view(self):
        changes = views.Changes(kinds=frozenset(('upstream',)), upstreams=None)
        for hosts in self.hosts.values():
            for host in hosts:
                host.scheduler.apply_view_changes(changes)

    def _add_upstream(self, load, domain, number):
        item = model.Upstream(
            upstream_id=f'{load.name}-{domain}-{number}',
            born_ms=1,
            sequence=1,
            service=load.name,
            address='10.0.0.1:80',
            failure_domain=domain,
            slots=load.slots,
        )
        self.upstreams[item.upstream_id] = caching_upstream.Upstream(
            item, load, self.rng
        )

    def now_s(self):
        return asyncio.get_running_loop().time() - self._started_s

    async def play(self, duration_s):
        """Play requests for ``duration_s`` and wait until all have ended."""
        self._started_s = asyncio.get_running_loop().time()
        changes = views.Changes(kinds=frozenset(('upstream',)), upstreams=None)
        reports = []
        for hosts in self.hosts.values():
            for host in hosts:
                host.scheduler.apply_view_changes(changes)
                reports.append(asyncio.ensure_future(self._report(host)))
        # Control has granted the first shares before the first request.
        await asyncio.sleep(1.0)
        running = set()
        outages = [
            asyncio.ensure_future(self._play_outage(*outage))
            for outage in self._outages
        ]
        ends_s = self.now_s() + duration_s
        self.begins_s = self.now_s()
        domains = sorted(self.hosts)
        rates_per_s = [route.per_s for _service, route in self._routes]
        while (now_s := self.now_s()) < ends_s:
            weights = [self._callers(d, now_s) for d in domains]
            rate_per_s = sum(rates_per_s) * sum(weights) / len(weights)
            await asyncio.sleep(self.rng.expovariate(rate_per_s))
            domain = self.rng.choices(domains, weights)[0]
            (chosen,) = self.rng.choices(self._routes, rates_per_s)
            task = asyncio.ensure_future(self._request(domain, *chosen))
            running.add(task)
            task.add_done_callback(running.discard)
        await asyncio.gather(*running)
        for task in reports + outages:
            task.cancel()

    async def _report(self, host):
        await asyncio.sleep(self.rng.uniform(0.0, REPORT_INTERVAL_S))
        region = region_of(host.domain)
        measurements = host.selector.measurements
        while True:
            now_s = self.now_s()
            self.plan.record_report(
                host.name,
                region=region,
                offered_slots=measurements.offered_slots(now_s=now_s),
                own_shares=host.selector.local_shares(),
                relative_times=measurements.relative_times(now_s=now_s),
                route_loads=measurements.route_loads(now_s=now_s),
                route_shares=host.selector.route_shares(),
                now_s=now_s,
            )
            shares = self.plan.local_shares(
                region, slots=self._slots, now_s=now_s
            )
            route_shares = self.plan.route_shares(
                region,
                service_shares=shares,
                slots=self._slots,
                now_s=now_s,
            )
            host.selector.apply_grant(shares, route_shares, now_s=now_s)
            await asyncio.sleep(REPORT_INTERVAL_S)

    async def _request(self, domain, service, load):
        host = self.rng.choice(self.hosts[domain])
        number = self.rng.randrange(load.keys)
        key = f'{load.name} {region_of(domain)} {number}'
        started_s = self.now_s()
        record = caching_upstream.Record(
            arrived_s=started_s - self.begins_s,
            service=service.name,
            route=load.name,
            region=region_of(domain),
        )
        self.records.append(record)
        call = _call(service, load, key, started_s)
        host.selector.record_request(service.name, load.name, now_s=started_s)
        candidate = await host.scheduler.reserve(call)
        record.queued_s = call.queued_s
        if isinstance(candidate, refusals.Refusal):
            record.status = 'refused'
            return
        await self._exchange(host, call, load, key, candidate, record)
        record.took_s = self.now_s() - started_s
        record.in_time = (
            record.status == 'answered' and record.took_s <= load.objective_s
        )

    def _one_way_s(self, domain, other):
        if domain == other:
            return SAME_DOMAIN_ONE_WAY_S
        if region_of(domain) == region_of(other):
            return DOMAIN_ONE_WAY_S
        return self._region_one_way_s

    async def _exchange(self, host, call, load, key, candidate, record):
        upstream = self.upstreams[candidate.load.upstream.upstream_id]
        record.upstream = upstream.item.upstream_id
        record.ran_in = region_of(upstream.item.failure_domain)
        delay_s = self._one_way_s(host.domain, upstream.item.failure_domain)
        sent_s = self.now_s()
        connection = host.name, record.upstream
        used_s = self._connections.pop(connection, float('-inf'))
        is_reused = sent_s - used_s < senders.KEEPALIVE_S
        await asyncio.sleep(delay_s if is_reused else 3 * delay_s)
        accepted = await upstream.run(load, key, record)
        await asyncio.sleep(delay_s)
        now_s = self.now_s()
        self._connections[connection] = now_s
        host.scheduler.release(call, candidate)
        candidate.load.record_report(
            running=upstream.running, waiting=upstream.waiting, now_s=now_s
        )
        record.status = 'answered' if accepted else 'rejected'
        if accepted:
            host.scheduler.record_response(
                call, candidate, took_s=now_s - sent_s
            )
        else:
            candidate.load.record_rejection(now_s=now_s)


def _call(service, load, key, started_s):
    route = model.Route(
        name=load.name,
        host='h',
        path_prefix='/',
        repeatable=True,
        timeout_ms=load.timeout_s * 1000,
        objective_ms=load.objective_s * 1000,
        max_upstreams=2,
        rank=0,
        services=(),
        is_sticky=True,
    )
    return calls.Call(
        request=types.SimpleNamespace(headers={NAMES.affinity: key}),
        started_s=started_s,
        deadline_s=started_s + load.timeout_s,
        request_id=None,
        route=route,
        service=service.name,
    )
