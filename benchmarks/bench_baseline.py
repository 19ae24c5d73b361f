"""Route by plain round robin with a static equal split of each rate.

The baseline of the bench: callers take the hosts of their region in turn,
every host has an equal part of each rate and burst, and upstreams of all
places are taken in turn. A dead host or upstream is left out after the time
of a health check.
"""

import asyncio
import itertools

from benchmarks import bench_fleet
from benchmarks import bench_measures
from benchmarks import bench_upstreams
from benchmarks import shapes
from skylarkpitch import ports
from skylarkpitch.settings import deployment

__all__ = ['Baseline']

HEALTH_CHECK_S = 2.0


class Baseline:
    """Answer calls as :class:`bench_fleet.Fleet` does."""

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
            place: region
            for region, item in config.regions.items()
            for place in item.failure_domains
        }
        self.hosts = {
            host.name: host
            for host in bench_fleet.make_hosts(shape, self.region_of)
        }
        self.drains: frozenset[str] = frozenset()
        self.leaving: frozenset[str] = frozenset()
        self._dead: frozenset[str] = frozenset()
        self._turns = itertools.count()
        self._buckets = {
            (host, name): bench_measures.IdealBucket(
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
        """Return nothing: a baseline counts nothing."""
        return {}

    def one_way_s(self, one: str, other: str) -> float:
        """Return the latency between two failure domains."""
        return shapes.one_way_s(self.shape, self.region_of, one, other)

    def kill(self, places: frozenset[str]) -> None:
        """Let the hosts and upstreams of some failure domains die."""
        names = [
            name
            for name, host in self.hosts.items()
            if host.failure_domain in places
        ]
        self._dead |= frozenset(names)
        for item in self.upstreams.at(places):
            item.alive = False
            names.append(item.name)
        asyncio.get_running_loop().call_later(
            HEALTH_CHECK_S, self._leave_out, frozenset(names)
        )

    async def call(
        self, *, organisation: str, place: str, service: str
    ) -> str:
        """Send one call from a place and return the outcome's word."""
        loop = asyncio.get_running_loop()
        host = self._next_host(place)
        away_s = bench_fleet.LOCAL_S + self.one_way_s(
            place, host.failure_domain
        )
        await asyncio.sleep(away_s)
        if host.name in self._dead:
            return 'host_dead'
        bucket = self._buckets[host.name, organisation]
        if not bucket.take(now_s=loop.time()):
            await asyncio.sleep(away_s)
            return bench_measures.RATE_REFUSED
        deadline_s = self.config.services[service].deadline_s
        outcome = await self._exchange(
            host.failure_domain, service, deadline_s
        )
        await asyncio.sleep(away_s)
        return outcome

    async def _exchange(
        self, place: str, service: str, deadline_s: float
    ) -> str:
        upstream = self._next_upstream(service)
        away_s = bench_fleet.LOCAL_S + self.one_way_s(place, upstream.place)
        await asyncio.sleep(away_s)
        try:
            exchange = await asyncio.wait_for(upstream.serve(), deadline_s)
        except TimeoutError:
            exchange = ports.ExchangeOutcome.TIMED_OUT
        await asyncio.sleep(away_s)
        return str(exchange)

    def _next_host(self, place: str):
        usable = [h for h in self.hosts.values() if h.name not in self.leaving]
        region = self.region_of[place]
        near = [host for host in usable if host.region == region]
        chosen = near or usable
        return chosen[next(self._turns) % len(chosen)]

    def _next_upstream(self, service: str) -> bench_upstreams.Upstream:
        usable = [
            item
            for item in self.upstreams.all()
            if item.service == service
            and item.name not in self.leaving
            and item.name not in self.drains
        ]
        return usable[next(self._turns) % len(usable)]

    def _leave_out(self, names: frozenset[str]) -> None:
        self.leaving |= names
