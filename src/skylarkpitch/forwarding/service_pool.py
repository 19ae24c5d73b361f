"""Hold the upstreams of one service, and who of them is_preferred which object."""

import dataclasses

from skylarkpitch.forwarding import regions
from skylarkpitch.forwarding import upstream_load
from skylarkpitch.peers import rendezvous

__all__ = ['Loads', 'ServicePool', 'AffinityRank']

# All entry hosts agree on the few upstreams that keep an object, so that
# each upstream is_preferred few objects and remembers them.
PREFERRED_SHARE = 0.4
SHARE_STEP_PER_S = 0.06
MAX_RANKED = 4096

Loads = dict[str, upstream_load.UpstreamLoad]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class AffinityRank:
    """How well an upstream suits an object.

    ``is_preferred`` tells that it is one of the few of its region that keep the
    object, and ``is_first`` that it is the first of them. ``is_in_planned_region`` tells
    that its region is the own one, or the first of the others.
    """

    is_preferred: bool
    is_first: bool
    is_in_planned_region: bool


class ServicePool:
    """The upstreams that may be used, in the own region and away from it."""

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
        """Return which of own region and away have upstreams."""
        return frozenset(
            regions.LOCAL if region == self._local_region else regions.REMOTE
            for region in self._by_region
        )

    def set_upstreams(self, by_region: dict[str, Loads]) -> None:
        """Take the upstreams that may be used, by region."""
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

    def affinity_rank(self, affinity: str, upstream_id: str) -> AffinityRank:
        """Return how well an upstream suits an object."""
        ranks = self._ranks.get(affinity)
        if ranks is None:
            if len(self._ranks) >= MAX_RANKED:
                self._ranks.clear()
            ranks = self._ranks[affinity] = self._compute_ranks(affinity)
        return ranks[upstream_id]

    def _compute_ranks(self, affinity: str) -> dict[str, AffinityRank]:
        first_remote_region = self.first_remote_region(affinity)
        ranks = {}
        for region, loads in self._by_region.items():
            preferred_count = max(1, round(PREFERRED_SHARE * len(loads)))
            is_in_planned_region = region in (
                self._local_region,
                first_remote_region,
            )
            for position, name in enumerate(rendezvous.rank(affinity, loads)):
                ranks[name] = AffinityRank(
                    is_preferred=position < preferred_count,
                    is_first=position == 0,
                    is_in_planned_region=is_in_planned_region,
                )
        return ranks

    def first_remote_region(self, affinity: str) -> str | None:
        """Return the region that takes an object away from the own one.

        Regions take objects by their slots.
        """
        if affinity not in self._first_remote_regions:
            if len(self._first_remote_regions) >= MAX_RANKED:
                self._first_remote_regions.clear()
            slots = {
                region: sum(load.upstream.slots for load in loads.values())
                for region, loads in self._by_region.items()
                if region != self._local_region
            }
            found = rendezvous.first_by_weight(affinity, slots)
            self._first_remote_regions[affinity] = found
        return self._first_remote_regions[affinity]

    def fraction(self, affinity: str | None) -> float | None:
        """Return a number from 0 to 1 that stands for an object."""
        if affinity is None:
            return None
        if affinity not in self._fractions:
            if len(self._fractions) >= MAX_RANKED:
                self._fractions.clear()
            self._fractions[affinity] = rendezvous.fraction(affinity)
        return self._fractions[affinity]
