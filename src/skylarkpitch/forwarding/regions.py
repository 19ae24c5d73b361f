"""Divide the requests of callers between the local and remote regions.

Control grants the share that runs in the local region. The share in use moves
towards it by at most ``step_per_s`` per second. Requests with the same
affinity key go to the same region, so that only few upstreams have to cache
its data. Requests without a key are divided by a counter rather than at
random. Each route has a share of its own, so that routes which cannot afford
the way to another region stay.
"""

from collections.abc import Mapping

__all__ = [
    'LOCAL',
    'OTHER_REMOTE',
    'REMOTE',
    'RegionShares',
    'RouteShares',
    'SpillTokens',
]

# Region groups: the local region, the planned remote region of a request, and
# the other remote regions.
LOCAL = 'own'
REMOTE = 'away'
OTHER_REMOTE = 'further'
# Fraction of the requests that may spill over: run in another region group
# than planned, because the planned one has no capacity.
SPILL_SHARE = 0.03
MAX_SPILL_TOKENS = 1.0
# Shares of routes that a host keeps, which are dropped when there are more;
# control grants those in use again.
MAX_ROUTES = 4096


class SpillTokens:
    """Limit on the requests that run in another region group than planned."""

    def __init__(self) -> None:
        self._tokens = 0.0

    def refill(self) -> None:
        """Add ``SPILL_SHARE`` of a token, for one request."""
        self._tokens = min(MAX_SPILL_TOKENS, self._tokens + SPILL_SHARE)

    def has_token(self) -> bool:
        """Return whether a request may spill over now."""
        return self._tokens >= 1.0

    def consume(self) -> bool:
        """Consume a token; return False if there is none."""
        if not self.has_token():
            return False
        self._tokens -= 1.0
        return True


class RegionShares:
    """Division of one route's requests among regions, on one entry host.

    ``local_share`` is the fraction that runs in the local region now.
    """

    def __init__(
        self, *, step_per_s: float, now_s: float, local_share: float = 1.0
    ) -> None:
        self._step_per_s = step_per_s
        self._region_groups: frozenset[str] = frozenset()
        self._granted: float | None = None
        self._has_routed = False
        self._local_credit = 0.0
        self._moved_at_s = now_s
        self.local_share = local_share

    def set_region_groups(self, region_groups: frozenset[str]) -> None:
        """Set which of ``LOCAL`` and ``REMOTE`` have upstreams.

        While only one of them has any, all requests go there at once. The
        share starts from there when the other returns, as its upstreams have
        nothing cached.
        """
        self._region_groups = region_groups
        if len(region_groups) == 1 and self._has_routed:
            self.local_share = 1.0 if LOCAL in region_groups else 0.0

    def apply_grant(self, local_share: float, *, now_s: float) -> None:
        """Move towards the local share that control grants.

        A host that has not routed a request yet adopts the share at once,
        since the other hosts of its region already use it.
        """
        if not self._has_routed:
            self.local_share = local_share
        self._granted = local_share
        self._move_share(now_s)

    def mark_routed(self) -> None:
        """Record that requests are routed by this share."""
        self._has_routed = True

    def choose(self, *, affinity_fraction: float | None, now_s: float) -> str:
        """Return the region group of a request, ``LOCAL`` or ``REMOTE``.

        ``affinity_fraction`` is the hash of its affinity key, 0 to 1; None
        without a key.
        """
        self._move_share(now_s)
        self.mark_routed()
        if len(self._region_groups) < 2:
            return next(iter(self._region_groups), LOCAL)
        if affinity_fraction is not None:
            return LOCAL if affinity_fraction < self.local_share else REMOTE
        self._local_credit += self.local_share
        if self._local_credit >= 0.5:
            self._local_credit -= 1.0
            return LOCAL
        return REMOTE

    def _move_share(self, now_s: float) -> None:
        step = self._step_per_s * max(0.0, now_s - self._moved_at_s)
        self._moved_at_s = now_s
        if self._granted is not None:
            difference = self._granted - self.local_share
            self.local_share += max(-step, min(step, difference))


class RouteShares:
    """The shares of all routes to one service, on one entry host.

    A route that no grant names yet has the share of the service. Before the
    first grant that is the share which control would start with.
    """

    def __init__(self, *, step_per_s: float, now_s: float) -> None:
        self._step_per_s = step_per_s
        self._region_groups: frozenset[str] = frozenset()
        self._by_route: dict[str, RegionShares] = {}
        self._service = RegionShares(step_per_s=step_per_s, now_s=now_s)
        self._has_grant = False
        self._granted_routes: frozenset[str] = frozenset()

    @property
    def local_share(self) -> float:
        """Return the share of the service."""
        return self._service.local_share

    def by_route(self) -> dict[str, float]:
        """Return the granted share of each route that has one.

        A new leader starts from these shares, so that those of a host which
        has just started must not be among them.
        """
        return {
            route: self._by_route[route].local_share
            for route in self._granted_routes & self._by_route.keys()
        }

    def set_region_groups(self, region_groups: frozenset[str]) -> None:
        """Set which of ``LOCAL`` and ``REMOTE`` have upstreams."""
        self._region_groups = region_groups
        for shares in (self._service, *self._by_route.values()):
            shares.set_region_groups(region_groups)

    def set_initial_share(self, local_share: float) -> None:
        """Set the share to use before the first grant."""
        if not self._has_grant:
            for shares in (self._service, *self._by_route.values()):
                shares.local_share = local_share

    def apply_grant(
        self,
        local_share: float,
        by_route: Mapping[str, float],
        *,
        now_s: float,
    ) -> None:
        """Move towards the granted share of the service and of routes."""
        self._has_grant = True
        self._granted_routes = frozenset(by_route)
        self._service.apply_grant(local_share, now_s=now_s)
        for route, shares in self._by_route.items():
            if route not in by_route:
                shares.apply_grant(local_share, now_s=now_s)
        for route, share in by_route.items():
            self._shares_of(route, now_s).apply_grant(share, now_s=now_s)

    def choose(
        self, route: str, *, affinity_fraction: float | None, now_s: float
    ) -> str:
        """Return the region group of a request, ``LOCAL`` or ``REMOTE``."""
        shares = self._shares_of(route, now_s)
        self._service.mark_routed()
        return shares.choose(affinity_fraction=affinity_fraction, now_s=now_s)

    def _shares_of(self, route: str, now_s: float) -> RegionShares:
        shares = self._by_route.get(route)
        if shares is None:
            if len(self._by_route) >= MAX_ROUTES:
                self._by_route.clear()
            shares = self._by_route[route] = RegionShares(
                step_per_s=self._step_per_s,
                now_s=now_s,
                local_share=self._service.local_share,
            )
            shares.set_region_groups(self._region_groups)
        return shares
