"""Route by plain round robin with a static equal split of each rate.

This is the baseline of the bench. Callers use the hosts of their region in
turn, every host has an equal part of each rate and burst, and hosts use the
upstreams of all failure domains in turn. A dead host or upstream is excluded
once a health check has found it.
"""

import asyncio
import itertools

from benchmarks import bench_fleet
from benchmarks import bench_statistics
from benchmarks import bench_upstreams
from benchmarks import shapes
from skylarkpitch import ports
from skylarkpitch.settings import deployment

__all__ = ['Baseline']

HEALTH_CHECK_S = 2.0


class Baseline:
    """Round-robin replacement of :class:`bench_fleet.Fleet`."""

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
        self.region_of = {
            failure_domain: region
            for region, item in config.regions.items()
            for failure_domain in item.failure_domains
        }
        self.hosts = {
            host.name: host
            for host in bench_fleet.make_hosts(shape, self.region_of)
        }
        self.drains: frozenset[str] = frozenset()
        self.leaving: frozenset[str] = frozenset()
        self._dead_hosts: frozenset[str] = frozenset()
        self._round_robin = itertools.count()
        self._buckets = {
            (host, name): bench_statistics.IdealBucket(
                rate_per_s=item.rate_per_s / len(self.hosts),
                burst=item.burst / len(self.hosts),
            )
            for host in self.hosts
            for name, item in config.organisations.items()
        }

    async def start(self) -> None:
        """Do nothing: a baseline has no services."""

    async def stop(self) -> None:
        """Do nothing: a baseline has no services."""

    def counters(self) -> dict[str, float]:
        """Return an empty dictionary: a baseline has no counters."""
        return {}

    def one_way_s(self, one: str, other: str) -> float:
        """Return the one-way latency between two failure domains."""
        return shapes.one_way_s(self.shape, self.region_of, one, other)

    def kill(self, failure_domains: frozenset[str]) -> None:
        """Kill the hosts and upstreams of some failure domains."""
        names = [
            name
            for name, host in self.hosts.items()
            if host.failure_domain in failure_domains
        ]
        self._dead_hosts |= frozenset(names)
        for upstream in self.upstreams.in_failure_domains(failure_domains):
            upstream.alive = False
            names.append(upstream.name)
        asyncio.get_running_loop().call_later(
            HEALTH_CHECK_S, self._mark_leaving, frozenset(names)
        )

    async def call(
        self, *, organisation: str, failure_domain: str, service: str
    ) -> str:
        """Send a call from a failure domain and return its outcome."""
        loop = asyncio.get_running_loop()
        host = self._next_host(failure_domain)
        latency_s = bench_fleet.LOCAL_LATENCY_S + self.one_way_s(
            failure_domain, host.failure_domain
        )
        await asyncio.sleep(latency_s)
        if host.name in self._dead_hosts:
            return 'host_dead'
        bucket = self._buckets[host.name, organisation]
        if not bucket.consume(now_s=loop.time()):
            await asyncio.sleep(latency_s)
            return bench_statistics.RATE_REFUSED
        deadline_s = self.config.services[service].deadline_s
        outcome = await self._exchange(
            host.failure_domain, service, deadline_s
        )
        await asyncio.sleep(latency_s)
        return outcome

    async def _exchange(
        self, failure_domain: str, service: str, deadline_s: float
    ) -> str:
        upstream = self._next_upstream(service)
        latency_s = bench_fleet.LOCAL_LATENCY_S + self.one_way_s(
            failure_domain, upstream.failure_domain
        )
        await asyncio.sleep(latency_s)
        try:
            exchange = await asyncio.wait_for(upstream.serve(), deadline_s)
        except TimeoutError:
            exchange = ports.ExchangeOutcome.TIMED_OUT
        await asyncio.sleep(latency_s)
        return str(exchange)

    def _next_host(self, failure_domain: str):
        usable = [
            host
            for host in self.hosts.values()
            if host.name not in self.leaving
        ]
        region = self.region_of[failure_domain]
        local_hosts = [host for host in usable if host.region == region]
        candidates = local_hosts or usable
        return candidates[next(self._round_robin) % len(candidates)]

    def _next_upstream(self, service: str) -> bench_upstreams.Upstream:
        usable = [
            upstream
            for upstream in self.upstreams.all()
            if upstream.service == service
            and upstream.name not in self.leaving
            and upstream.name not in self.drains
        ]
        return usable[next(self._round_robin) % len(usable)]

    def _mark_leaving(self, names: frozenset[str]) -> None:
        self.leaving |= names
