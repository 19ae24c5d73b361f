"""Rank the upstreams of one service for each affinity key.

All entry hosts compute the same ranking by rendezvous hashing, so that they
agree on the few preferred upstreams of a key. The cost of a request does not
grow with the number of upstreams: it considers the preferred ones of its key,
and a sample of bounded size of the others.
"""

import bisect
from collections.abc import Iterable

from skylarkpitch.fleet import region_plan
from skylarkpitch.forwarding import regions
from skylarkpitch.forwarding import upstream_load
from skylarkpitch.peers import rendezvous

__all__ = ['Loads', 'ServicePool']

# Fraction of a region's upstreams that are preferred for an affinity key, and
# the maximum number. Both are small so that each upstream serves few keys and
# has them cached.
PREFERRED_SHARE = 0.4
MAX_PREFERRED = 8
# Maximum number of upstreams of a region that a request samples.
SAMPLE_SIZE = 16
# Control grants shares that move slowly; this spreads each step over the
# time until the next grant.
SHARE_STEP_PER_S = 0.5
# Entries of each cache below, which is cleared when it is full.
MAX_CACHED_KEYS = 4096

Loads = dict[str, upstream_load.UpstreamLoad]


class _RegionUpstreams:
    """The usable upstreams of a service in one region.

    ``_rankings`` has the first upstreams of the affinity keys in use, and is
    updated when an upstream joins or leaves.
    """

    def __init__(self) -> None:
        self.loads: Loads = {}
        self.slots = 0
        self._names: list[str] = []
        self._next_sample = 0
        self._rankings: dict[str, list[rendezvous.Ranked]] = {}

    def put(self, name: str, load: upstream_load.UpstreamLoad) -> None:
        """Add an upstream, or replace its load."""
        previous = self.loads.get(name)
        self.loads[name] = load
        self.slots = sum(item.upstream.slots for item in self.loads.values())
        if previous is not None:
            return
        bisect.insort(self._names, name)
        for key, ranking in self._rankings.items():
            bisect.insort(ranking, rendezvous.ranked(key, name))
            del ranking[MAX_PREFERRED:]

    def remove(self, name: str) -> None:
        """Remove an upstream."""
        del self.loads[name]
        self.slots = sum(item.upstream.slots for item in self.loads.values())
        self._names.remove(name)
        self._rankings = {
            key: ranking
            for key, ranking in self._rankings.items()
            if all(ranked_name != name for _hash, ranked_name in ranking)
        }

    def preferred(self, affinity_key: str) -> list[str]:
        """Return the upstreams that are preferred for a key, in order."""
        ranking = self._rankings.get(affinity_key)
        if ranking is None:
            if len(self._rankings) >= MAX_CACHED_KEYS:
                self._rankings.clear()
            ranking = self._rankings[affinity_key] = rendezvous.best(
                affinity_key, self._names, count=MAX_PREFERRED
            )
        count = round(PREFERRED_SHARE * len(self._names))
        return [name for _hash, name in ranking[: max(1, count)]]

    def sample(self) -> list[str]:
        """Return up to ``SAMPLE_SIZE`` upstreams, others at each call."""
        count = len(self._names)
        if count <= SAMPLE_SIZE:
            return list(self._names)
        start = self._next_sample % count
        self._next_sample = start + SAMPLE_SIZE
        following = self._names[start : start + SAMPLE_SIZE]
        return following + self._names[: SAMPLE_SIZE - len(following)]


class ServicePool:
    """The usable upstreams of one service, by region."""

    def __init__(self, *, local_region: str, now_s: float) -> None:
        self._local_region = local_region
        self.loads: Loads = {}
        self.shares = regions.RouteShares(
            step_per_s=SHARE_STEP_PER_S, now_s=now_s
        )
        self.spill_tokens = regions.SpillTokens()
        self._by_region: dict[str, _RegionUpstreams] = {}
        self._region_of_upstream: dict[str, str] = {}
        self._first_remote_regions: dict[str, str | None] = {}
        self._fractions: dict[str, float] = {}

    @property
    def regions(self) -> Iterable[str]:
        """Return the regions that have upstreams."""
        return self._by_region.keys()

    def put(
        self, name: str, load: upstream_load.UpstreamLoad, *, region: str
    ) -> None:
        """Add a usable upstream, or replace its load."""
        if self._region_of_upstream.get(name, region) != region:
            self.remove(name)
        self._region_of_upstream[name] = region
        self.loads[name] = load
        self._by_region.setdefault(region, _RegionUpstreams()).put(name, load)
        self._apply_region_changes()

    def remove(self, name: str) -> None:
        """Remove an upstream that is no longer usable, if it is known."""
        region = self._region_of_upstream.pop(name, None)
        if region is None:
            return
        del self.loads[name]
        self._by_region[region].remove(name)
        if not self._by_region[region].loads:
            del self._by_region[region]
        self._apply_region_changes()

    def _apply_region_changes(self) -> None:
        self._first_remote_regions.clear()
        self.shares.set_region_groups(
            frozenset(
                regions.LOCAL
                if region == self._local_region
                else regions.REMOTE
                for region in self._by_region
            )
        )
        slots = {
            region: float(upstreams.slots)
            for region, upstreams in self._by_region.items()
        }
        self.shares.set_initial_share(
            region_plan.initial_local_share(self._local_region, slots=slots)
        )

    def preferred(self, affinity_key: str, *, region: str) -> list[str]:
        """Return the upstreams of a region preferred for a key, in order."""
        return self._by_region[region].preferred(affinity_key)

    def has_other_than(self, excluded: frozenset[str], *, region: str) -> bool:
        """Return whether a region has an upstream that is not excluded."""
        loads = self._by_region[region].loads
        if not excluded:
            return bool(loads)
        return len(loads) > sum(1 for name in excluded if name in loads)

    def sample(self, *, region: str) -> list[str]:
        """Return a sample of the upstreams of a region."""
        return self._by_region[region].sample()

    def first_remote_region(self, affinity_key: str) -> str | None:
        """Return the remote region that an affinity key is assigned to.

        Keys are divided among the remote regions in proportion to their
        slots. Returns None without a remote region.
        """
        if affinity_key not in self._first_remote_regions:
            if len(self._first_remote_regions) >= MAX_CACHED_KEYS:
                self._first_remote_regions.clear()
            slots = {
                region: upstreams.slots
                for region, upstreams in self._by_region.items()
                if region != self._local_region
            }
            found = rendezvous.first_by_weight(affinity_key, slots)
            self._first_remote_regions[affinity_key] = found
        return self._first_remote_regions[affinity_key]

    def affinity_fraction(self, affinity_key: str | None) -> float | None:
        """Return the hash of an affinity key as a number from 0 to 1.

        Returns None for a request without an affinity key.
        """
        if affinity_key is None:
            return None
        if affinity_key not in self._fractions:
            if len(self._fractions) >= MAX_CACHED_KEYS:
                self._fractions.clear()
            self._fractions[affinity_key] = rendezvous.hash_fraction(
                affinity_key
            )
        return self._fractions[affinity_key]
