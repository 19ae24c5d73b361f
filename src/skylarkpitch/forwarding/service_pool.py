"""Hold the upstreams of one service, and who of them keeps which object."""

import dataclasses

from skylarkpitch.forwarding import regions
from skylarkpitch.forwarding import upstream_load
from skylarkpitch.peers import rendezvous

__all__ = ['Loads', 'ServicePool', 'Standing']

# All entry hosts agree on the few upstreams that keep an object, so that
# each upstream keeps few objects and remembers them.
KEPT_SHARE = 0.4
SHARE_STEP_PER_S = 0.06
MAX_RANKED = 4096

Loads = dict[str, upstream_load.UpstreamLoad]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Standing:
    """How well an upstream suits an object.

    ``keeps`` tells that it is one of the few of its region that keep the
    object, and ``is_first`` that it is the first of them. ``is_near`` tells
    that its region is the own one, or the first of the others.
    """

    keeps: bool
    is_first: bool
    is_near: bool


class ServicePool:
    """The upstreams that may be used, in the own region and away from it."""

    def __init__(self, *, own_region: str, now_s: float) -> None:
        self._own_region = own_region
        self.loads: Loads = {}
        self.shares = regions.RegionShares(
            step_per_s=SHARE_STEP_PER_S, now_s=now_s
        )
        self._by_region: dict[str, Loads] = {}
        self._standings: dict[str, dict[str, Standing]] = {}
        self._first_away: dict[str, str | None] = {}
        self._fractions: dict[str, float] = {}

    @property
    def region_groups(self) -> frozenset[str]:
        """Return which of own region and away have upstreams."""
        return frozenset(
            regions.LOCAL if region == self._own_region else regions.REMOTE
            for region in self._by_region
        )

    def set_upstreams(self, by_region: dict[str, Loads]) -> None:
        """Take the upstreams that may be used, by region."""
        before = {name: set(loads) for name, loads in self._by_region.items()}
        if {name: set(loads) for name, loads in by_region.items()} != before:
            self._standings.clear()
            self._first_away.clear()
        self._by_region = by_region
        self.loads = {
            name: load
            for loads in by_region.values()
            for name, load in loads.items()
        }

    def standing(self, affinity: str, upstream_id: str) -> Standing:
        """Return how well an upstream suits an object."""
        standings = self._standings.get(affinity)
        if standings is None:
            if len(self._standings) >= MAX_RANKED:
                self._standings.clear()
            standings = self._standings[affinity] = self._rank(affinity)
        return standings[upstream_id]

    def _rank(self, affinity: str) -> dict[str, Standing]:
        first_away = self.first_away(affinity)
        standings = {}
        for region, loads in self._by_region.items():
            keepers = max(1, round(KEPT_SHARE * len(loads)))
            is_near = region in (self._own_region, first_away)
            for rank, name in enumerate(rendezvous.rank(affinity, loads)):
                standings[name] = Standing(
                    keeps=rank < keepers,
                    is_first=rank == 0,
                    is_near=is_near,
                )
        return standings

    def first_away(self, affinity: str) -> str | None:
        """Return the region that takes an object away from the own one.

        Regions take objects by their slots.
        """
        if affinity not in self._first_away:
            if len(self._first_away) >= MAX_RANKED:
                self._first_away.clear()
            slots = {
                region: sum(load.upstream.slots for load in loads.values())
                for region, loads in self._by_region.items()
                if region != self._own_region
            }
            found = rendezvous.first_by_weight(affinity, slots)
            self._first_away[affinity] = found
        return self._first_away[affinity]

    def fraction(self, affinity: str | None) -> float | None:
        """Return a number from 0 to 1 that stands for an object."""
        if affinity is None:
            return None
        if affinity not in self._fractions:
            if len(self._fractions) >= MAX_RANKED:
                self._fractions.clear()
            self._fractions[affinity] = rendezvous.fraction(affinity)
        return self._fractions[affinity]
