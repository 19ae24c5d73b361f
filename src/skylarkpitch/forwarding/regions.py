"""Move work between regions no faster than the cap on shift allows.

Each request has a region that it would best go to. The share of requests
that goes to each region follows those wishes, but moves by at most
``step_per_s``; the shares are kept by counting, not by chance.
"""

from collections.abc import Mapping

__all__ = ['RegionShares', 'first_shares']

WISH_MEMORY_S = 0.6
LEAST_SHARE = 0.005
OWN_ROOM_FACTOR = 2.0


def first_shares(
    slots: Mapping[str, int], *, own_region: str
) -> dict[str, float]:
    """Return the shares to begin with, from the slots of each region.

    Every region is taken to be asked for as much as the others; the own
    one keeps ``OWN_ROOM_FACTOR`` times what its slots then bear.
    """
    total = sum(slots.values())
    if not total:
        return {}
    even = total / len(slots)
    own = min(1.0, OWN_ROOM_FACTOR * slots.get(own_region, 0) / even)
    elsewhere = total - slots.get(own_region, 0)
    if not elsewhere:
        return {own_region: 1.0}
    shares = {
        region: (1 - own) * count / elsewhere
        for region, count in slots.items()
        if region != own_region
    }
    shares[own_region] = own
    return shares


class RegionShares:
    """Shares of one service's requests, as one entry host deals them."""

    def __init__(self, *, step_per_s: float, now_s: float) -> None:
        self._step_per_s = step_per_s
        self._shares: dict[str, float] = {}
        self._wishes: dict[str, float] = {}
        self._owed: dict[str, float] = {}
        self._at_s = now_s

    @property
    def shares(self) -> Mapping[str, float]:
        """Return the present share of each region."""
        return self._shares

    def set_regions(self, first: Mapping[str, float]) -> None:
        """Know the regions that have upstreams.

        The share of one that has none any more goes to the others at once.
        """
        if not self._shares:
            self._shares = dict(first)
            self._wishes = dict(first)
            return
        self._shares = _rescaled(self._shares, first)
        self._wishes = _rescaled(self._wishes, first)
        self._owed = {r: self._owed.get(r, 0.0) for r in self._shares}

    def choose(self, wish: str, *, now_s: float) -> str:
        """Return the region for a request that would best go to another."""
        elapsed_s = max(0.0, now_s - self._at_s)
        self._at_s = now_s
        self._follow(wish, elapsed_s)
        for region, share in self._shares.items():
            self._owed[region] = self._owed.get(region, 0.0) + share
        chosen = max(
            self._shares,
            key=lambda region: self._owed[region] + (region == wish) * 0.5,
        )
        self._owed[chosen] -= 1.0
        return chosen

    def _follow(self, wish: str, elapsed_s: float) -> None:
        part = min(1.0, max(elapsed_s, 0.001) / WISH_MEMORY_S)
        for region in self._shares:
            wished = self._wishes.get(region, 0.0)
            target = 1.0 if region == wish else 0.0
            self._wishes[region] = wished + part * (target - wished)
        gaps = {
            region: self._wishes[region] - share
            for region, share in self._shares.items()
        }
        distance = sum(abs(gap) for gap in gaps.values()) / 2
        if distance <= 0:
            return
        step = min(1.0, self._step_per_s * elapsed_s / distance)
        for region, gap in gaps.items():
            self._shares[region] += step * gap


def _rescaled(
    shares: Mapping[str, float], first: Mapping[str, float]
) -> dict[str, float]:
    kept = {region: shares.get(region, 0.0) for region in first}
    total = sum(kept.values())
    if total < LEAST_SHARE:
        return dict(first)
    return {region: share / total for region, share in kept.items()}
