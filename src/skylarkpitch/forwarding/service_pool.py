"""Rank the upstreams of one service for each affinity key.

All entry hosts compute the same ranking by rendezvous hashing, so that they
agree on the few preferred upstreams of a key.
"""

import dataclasses

from skylarkpitch.forwarding import regions
from skylarkpitch.forwarding import upstream_load
from skylarkpitch.peers import rendezvous

__all__ = ['AffinityRank', 'Loads', 'ServicePool']

# Fraction of a region's upstreams that are preferred for an affinity key. It
# is small so that each upstream serves few keys and has them cached.
PREFERRED_SHARE = 0.4
SHARE_STEP_PER_S = 0.06
# Entries of each cache below, which is cleared when it is full.
MAX_CACHED_KEYS = 4096

Loads = dict[str, upstream_load.UpstreamLoad]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class AffinityRank:
    """How an upstream ranks for an affinity key.

    ``is_preferred`` is set for the few upstreams of each region that the key
    is assigned to, ``is_first`` for the first of them.
    ``is_in_planned_region`` is set in the local region and in the first
    remote region of the key.
    """

    is_preferred: bool
    is_first: bool
    is_in_planned_region: bool


class ServicePool:
    """The usable upstreams of one service, by region."""

    def __init__(self, *, local_region: str, now_s: float) -> None:
        self._local_region = local_region
        self.loads: Loads = {}
        self.shares = regions.RegionShares(
            step_per_s=SHARE_STEP_PER_S, now_s=now_s
        )
        self._by_region: dict[str, Loads] = {}
        self._ranks: dict[str, dict[str, AffinityRank]] = {}
        self._first_remote_regions: dict[str, str | None] = {}
        self._fractions: dict[str, float] = {}

    @property
    def region_groups(self) -> frozenset[str]:
        """Return which of local and remote regions have upstreams."""
        return frozenset(
            regions.LOCAL if region == self._local_region else regions.REMOTE
            for region in self._by_region
        )

    def set_upstreams(self, by_region: dict[str, Loads]) -> None:
        """Replace the usable upstreams, given by region."""
        before = {name: set(loads) for name, loads in self._by_region.items()}
        if {name: set(loads) for name, loads in by_region.items()} != before:
            self._ranks.clear()
            self._first_remote_regions.clear()
        self._by_region = by_region
        self.loads = {
            name: load
            for loads in by_region.values()
            for name, load in loads.items()
        }

    def affinity_rank(
        self, affinity_key: str, upstream_id: str
    ) -> AffinityRank:
        """Return how an upstream ranks for an affinity key."""
        ranks = self._ranks.get(affinity_key)
        if ranks is None:
            if len(self._ranks) >= MAX_CACHED_KEYS:
                self._ranks.clear()
            ranks = self._ranks[affinity_key] = self._compute_ranks(
                affinity_key
            )
        return ranks[upstream_id]

    def _compute_ranks(self, affinity_key: str) -> dict[str, AffinityRank]:
        first_remote_region = self.first_remote_region(affinity_key)
        ranks = {}
        for region, loads in self._by_region.items():
            preferred_count = max(1, round(PREFERRED_SHARE * len(loads)))
            is_in_planned_region = region in (
                self._local_region,
                first_remote_region,
            )
            for position, name in enumerate(
                rendezvous.rank(affinity_key, loads)
            ):
                ranks[name] = AffinityRank(
                    is_preferred=position < preferred_count,
                    is_first=position == 0,
                    is_in_planned_region=is_in_planned_region,
                )
        return ranks

    def first_remote_region(self, affinity_key: str) -> str | None:
        """Return the remote region that an affinity key is assigned to.

        Keys are divided among the remote regions in proportion to their
        slots. Returns None without a remote region.
        """
        if affinity_key not in self._first_remote_regions:
            if len(self._first_remote_regions) >= MAX_CACHED_KEYS:
                self._first_remote_regions.clear()
            slots = {
                region: sum(load.upstream.slots for load in loads.values())
                for region, loads in self._by_region.items()
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
