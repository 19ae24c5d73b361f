"""Divide the local share of a region among the routes of each service.

A round trip to another region costs the callers of some routes more than
those of others: a route whose objective leaves little time beyond the work
misses it, one with time to spare does not. Local slots therefore go to the
routes with the least slack first.

A region can also be short of cache: where its upstreams serve more affinity
keys than they can keep, they are slow long before their slots are in use.
While more of the responses of a fuller region are late than of those of the
others on a route, the share of that route has a ceiling that goes down.
"""

from collections.abc import Collection
from collections.abc import Iterator
from collections.abc import Mapping
import dataclasses

import msgspec

__all__ = ['RouteLoad', 'RoutePlan', 'divide']

# Fraction of a region's requests whose region may change in a second, and
# of those of one route.
MAX_MOVED_PER_S = 0.05
MAX_ROUTE_CHANGE_PER_S = 0.2
# How fast the ceiling of a share moves, and by how much the late fraction of
# local responses exceeds that of others for it to fall.
CEILING_FALL_PER_S = 0.08
CEILING_RISE_PER_S = 0.02
LATE_MARGIN = 0.1
MIN_RESPONSES = 4.0
MIN_CEILING = 0.05
# After a pause of the leader, or of the reports of a region, shares move no
# more than they do within this time.
MAX_ELAPSED_S = 1.0
# A route whose share differs less has that of the service.
MIN_DIFFERENCE = 0.005
# The share of a route without load is forgotten after this time.
MAX_IDLE_S = 60.0


class Timeliness(msgspec.Struct, frozen=True, array_like=True):
    """Recent responses on a route, and how many of them were late.

    Older responses count less, so the numbers are not whole. A host sees few
    responses of a route; the sums over all hosts show how it fares.
    """

    responses: float = 0.0
    late: float = 0.0

    def plus(self, other: 'Timeliness') -> 'Timeliness':
        """Return the responses of both."""
        return Timeliness(
            responses=self.responses + other.responses,
            late=self.late + other.late,
        )

    def late_fraction(self) -> float | None:
        """Return the late fraction, None if responses are too few."""
        if self.responses < MIN_RESPONSES:
            return None
        return self.late / self.responses


class RouteLoad(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Load of a route on a service, and responses by where they came from.

    ``slack_s`` is what is left of the latency objective after the work of
    an upstream that has the data cached. Reports carry the fields in this
    order, without their names.
    """

    rate_per_s: float
    offered_slots: float
    slack_s: float
    local: Timeliness = Timeliness()
    remote: Timeliness = Timeliness()

    def plus(self, other: 'RouteLoad') -> 'RouteLoad':
        """Return the load of both hosts; the slacks are averaged."""
        rate_per_s = self.rate_per_s + other.rate_per_s
        weight = other.rate_per_s / rate_per_s if rate_per_s else 0.0
        return RouteLoad(
            rate_per_s=rate_per_s,
            offered_slots=self.offered_slots + other.offered_slots,
            slack_s=self.slack_s + weight * (other.slack_s - self.slack_s),
            local=self.local.plus(other.local),
            remote=self.remote.plus(other.remote),
        )

    def is_later_at_home(self) -> bool:
        """Return whether more of the local responses are late.

        Other regions count as in time until they are seen not to be.
        """
        local = self.local.late_fraction()
        remote = self.remote.late_fraction() or 0.0
        return local is not None and local > remote + LATE_MARGIN


Loads = Mapping[str, Mapping[str, RouteLoad]]


@dataclasses.dataclass(slots=True)
class _Share:
    share: float
    loaded_s: float
    ceiling: float = 1.0

    def move_ceiling(
        self, load: RouteLoad, *, is_fuller: bool, elapsed_s: float
    ) -> None:
        """Lower the ceiling while local responses are late, or raise it."""
        if is_fuller and load.is_later_at_home():
            ceiling = min(self.ceiling, self.share)
            ceiling -= CEILING_FALL_PER_S * elapsed_s
            self.ceiling = max(MIN_CEILING, ceiling)
        else:
            self.ceiling += CEILING_RISE_PER_S * elapsed_s
            self.ceiling = min(1.0, self.ceiling)


@dataclasses.dataclass(slots=True)
class _Move:
    current: _Share
    change: float
    rate_per_s: float


def divide(
    local_slots: float,
    loads: Mapping[str, RouteLoad],
    ceilings: Mapping[str, float],
) -> dict[str, float]:
    """Return the local share of each route, 0 to 1.

    ``local_slots`` is the load that the region keeps of all of them, and
    ``ceilings`` are the largest shares of routes.
    """
    shares = {}
    for route in sorted(loads, key=lambda name: (loads[name].slack_s, name)):
        offered_slots = loads[route].offered_slots
        ceiling = ceilings.get(route, 1.0)
        kept_slots = min(local_slots, ceiling * offered_slots)
        local_slots -= kept_slots
        shares[route] = (
            kept_slots / offered_slots if offered_slots else ceiling
        )
    return shares


class RoutePlan:
    """Local shares of routes, by region and service; used by the leader."""

    def __init__(self) -> None:
        self._shares: dict[tuple[str, str], dict[str, _Share]] = {}
        self._updated_s: dict[str, float] = {}

    def reset(self) -> None:
        """Discard all shares, as when this process becomes leader."""
        self._shares.clear()
        self._updated_s.clear()

    def record_shares(
        self,
        region: str,
        shares: Mapping[str, Mapping[str, float]],
        *,
        now_s: float,
    ) -> None:
        """Record shares that a host applies, unless they are known."""
        for service, by_route in shares.items():
            known = self._shares.setdefault((region, service), {})
            for route, share in by_route.items():
                if route not in known:
                    known[route] = _Share(share, now_s)

    def record_lost(self, region: str, service: str) -> None:
        """Set the shares of a service without upstreams in a region to 0."""
        for item in self._shares.get((region, service), {}).values():
            item.share = 0.0

    def update(
        self,
        region: str,
        *,
        service_shares: Mapping[str, float],
        loads: Loads,
        fuller_services: Collection[str],
        now_s: float,
        leaving_services: Collection[str] = (),
    ) -> dict[str, dict[str, float]]:
        """Move the shares of a region, and return those to grant.

        ``service_shares`` are the shares of the load that the region keeps,
        and ``loads`` what its callers offer, by service and route. In
        ``fuller_services`` the region has more load a slot than others. All
        moves together change the region of at most ``MAX_MOVED_PER_S`` of
        the requests, but for those of ``leaving_services``, of which the
        region has just lost slots: what no longer fits leaves at once.
        """
        elapsed_s = now_s - self._updated_s.get(region, now_s)
        elapsed_s = min(elapsed_s, MAX_ELAPSED_S)
        self._updated_s[region] = now_s
        self._move_ceilings(region, loads, fuller_services, elapsed_s)
        moves = []
        for service, move in self._moves(region, service_shares, loads, now_s):
            if service in leaving_services and move.change < 0:
                move.current.share += move.change
            else:
                moves.append(move)
        _apply(moves, total_per_s=_total_per_s(loads), elapsed_s=elapsed_s)
        return {
            service: self._differing(region, service, share, now_s)
            for service, share in service_shares.items()
        }

    def describe(self, region: str, service: str) -> str:
        """Return the shares of routes and their ceilings, for logs."""
        known = self._shares.get((region, service), {})
        words = [
            f'{route}={item.share:.2f}/{item.ceiling:.2f}'
            for route, item in sorted(known.items())
        ]
        return f'({",".join(words)})' if words else ''

    def _move_ceilings(
        self,
        region: str,
        loads: Loads,
        fuller_services: Collection[str],
        elapsed_s: float,
    ) -> None:
        for service, by_route in loads.items():
            known = self._shares.get((region, service), {})
            for route in known.keys() & by_route.keys():
                known[route].move_ceiling(
                    by_route[route],
                    is_fuller=service in fuller_services,
                    elapsed_s=elapsed_s,
                )

    def _moves(
        self,
        region: str,
        service_shares: Mapping[str, float],
        loads: Loads,
        now_s: float,
    ) -> Iterator[tuple[str, _Move]]:
        for service, by_route in loads.items():
            if service not in service_shares:
                continue
            share = service_shares[service]
            offered_slots = sum(i.offered_slots for i in by_route.values())
            known = self._shares.setdefault((region, service), {})
            ceilings = {route: item.ceiling for route, item in known.items()}
            targets = divide(share * offered_slots, by_route, ceilings)
            for route, target in targets.items():
                current = known.setdefault(route, _Share(share, now_s))
                current.loaded_s = now_s
                yield (
                    service,
                    _Move(
                        current=current,
                        change=target - current.share,
                        rate_per_s=by_route[route].rate_per_s,
                    ),
                )

    def _differing(
        self, region: str, service: str, service_share: float, now_s: float
    ) -> dict[str, float]:
        """Return the shares that differ from that of the service.

        Routes without load are forgotten.
        """
        known = self._shares.get((region, service), {})
        for route in list(known):
            if now_s - known[route].loaded_s > MAX_IDLE_S:
                del known[route]
        return {
            route: item.share
            for route, item in known.items()
            if abs(item.share - service_share) > MIN_DIFFERENCE
        }


def _total_per_s(loads: Loads) -> float:
    return sum(
        load.rate_per_s
        for by_route in loads.values()
        for load in by_route.values()
    )


def _apply(
    moves: list[_Move], *, total_per_s: float, elapsed_s: float
) -> None:
    """Move shares, all by the same part of what they may move alone."""
    max_step = MAX_ROUTE_CHANGE_PER_S * elapsed_s
    steps = [max(-max_step, min(max_step, move.change)) for move in moves]
    wished_per_s = sum(
        abs(step) * move.rate_per_s
        for step, move in zip(steps, moves, strict=True)
    )
    allowed_per_s = MAX_MOVED_PER_S * elapsed_s * total_per_s
    scale = min(1.0, allowed_per_s / wished_per_s) if wished_per_s else 1.0
    for step, move in zip(steps, moves, strict=True):
        move.current.share += scale * step
