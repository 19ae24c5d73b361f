"""Plan which share of a region's requests is served in that region.

This balances regions whose upstreams do not match their callers, such as a
region with a tenth of the upstreams and a third of the callers. The leader
plans one share for all entry hosts of a region, so that they all send the
requests of one affinity key to the same region. Shares change slowly, since
a request that moves to another region finds nothing cached there.

Slots alone do not show when a region is short: its upstreams also cache less
than its callers ask for, and work several times as long on what they do not
cache. While a region that is fuller than the others responds later than they
do, its share therefore has a ceiling that goes down.
"""

from collections.abc import Mapping
import dataclasses

from skylarkpitch.fleet import route_plan

__all__ = [
    'RegionPlan',
    'initial_local_share',
    'is_lost',
    'is_fuller_than_others',
    'target_local_share',
]

# Up to this utilisation of its slots a region serves all of its requests.
TARGET_UTILISATION = 0.75
MAX_SHARE_CHANGE_PER_S = 0.05
MIN_OFFERED_SLOTS = 0.5
REPORT_VALID_S = 2.5
# How fast the ceiling of a share moves, and by which fraction the times of
# the region and of the others have to differ for that.
CEILING_CHANGE_PER_S = 0.03
TIME_MARGIN = 0.1
MIN_CEILING = 0.1
# A region that loses this fraction of its slots within a second moves what no
# longer fits at once, for as long.
LOST_SLOTS_SHARE = 0.1
LOSS_S = 1.0
# Reports are added up at most this often.
TOTALS_INTERVAL_S = 0.25

ByRegion = Mapping[str, float]


def initial_local_share(region: str, *, slots: ByRegion) -> float:
    """Return the local share of a region without load, 0 to 1.

    Assumes that every region has the same load. The region then serves what
    matches its part of the slots: while nothing is cached, none has more
    capacity to spare than the others.
    """
    total = sum(slots.values())
    local = slots.get(region, 0.0)
    if total == local:
        return 1.0
    return min(1.0, local * len(slots) / total)


def target_local_share(
    region: str, *, offered_slots: ByRegion, slots: ByRegion
) -> float | None:
    """Return the share of a region's requests to serve locally, 0 to 1.

    ``offered_slots`` is the load that callers of each region offer, as the
    number of slots that it occupies. A region sends to other regions the
    load above ``TARGET_UTILISATION``, or above the utilisation of all
    regions together if that is higher. Returns None if the region's load is
    below ``MIN_OFFERED_SLOTS``, which is too little to decide from.
    """
    local = slots.get(region, 0.0)
    total = sum(slots.values())
    if total == local:
        return 1.0
    offered = offered_slots.get(region, 0.0)
    if offered < MIN_OFFERED_SLOTS:
        return None
    utilisation = max(TARGET_UTILISATION, sum(offered_slots.values()) / total)
    return min(1.0, utilisation * local / offered)


def is_lost(region: str, *, slots: ByRegion) -> bool:
    """Return whether a region has lost all its upstreams, and others not.

    Entry hosts then send all its requests elsewhere at once. When upstreams
    return they have nothing cached and may be limited to a cold rate, so the
    share grows again from 0.
    """
    return not slots.get(region) and any(slots.values())


def is_fuller_than_others(
    region: str, *, offered_slots: ByRegion, slots: ByRegion
) -> bool:
    """Return whether a region has more load a slot than the others."""
    local_slots = slots.get(region, 0.0)
    other_slots = sum(slots.values()) - local_slots
    local = offered_slots.get(region, 0.0)
    others = sum(offered_slots.values()) - local
    return local * other_slots > others * local_slots


@dataclasses.dataclass(slots=True, kw_only=True)
class _Report:
    region: str
    offered_slots: Mapping[str, float]
    relative_times: Mapping[str, tuple[float, float]]
    route_loads: route_plan.Loads
    received_s: float


@dataclasses.dataclass(slots=True, kw_only=True)
class _LocalShare:
    share: float
    updated_s: float
    ceiling: float = 1.0
    slots: float = 0.0
    slots_s: float = float('-inf')
    lost_s: float = float('-inf')

    def record_slots(self, slots: float, *, now_s: float) -> None:
        """Record the usable slots of the region, and when it lost many."""
        if slots < (1 - LOST_SLOTS_SHARE) * self.slots:
            self.lost_s = now_s
        elif slots < self.slots and now_s - self.slots_s <= LOSS_S:
            return
        self.slots = slots
        self.slots_s = now_s

    def has_lost_slots(self, *, now_s: float) -> bool:
        """Return whether the region has lost many slots just now."""
        return now_s - self.lost_s <= LOSS_S


@dataclasses.dataclass(slots=True)
class _Total:
    """Sum of the reports of one region on one service."""

    offered_slots: float = 0.0
    local_time: float = 0.0
    remote_time: float = 0.0
    timed_hosts: int = 0
    routes: dict[str, route_plan.RouteLoad] = dataclasses.field(
        default_factory=dict
    )

    def add_route(self, route: str, load: route_plan.RouteLoad) -> None:
        """Add the load of a route on one host."""
        before = self.routes.get(route)
        self.routes[route] = load if before is None else before.plus(load)


class RegionPlan:
    """Load reported by entry hosts, and the local shares planned from it."""

    def __init__(self) -> None:
        self._reports: dict[str, _Report] = {}
        self._shares: dict[tuple[str, str], _LocalShare] = {}
        self._route_plan = route_plan.RoutePlan()
        self._totals: dict[str, dict[str, _Total]] = {}
        self._totalled_s = float('-inf')

    def reset(self) -> None:
        """Discard reports and shares, as when this process becomes leader."""
        self._reports.clear()
        self._shares.clear()
        self._route_plan.reset()
        self._totals.clear()
        self._totalled_s = float('-inf')

    def record_report(
        self,
        host: str,
        *,
        region: str,
        offered_slots: Mapping[str, float],
        own_shares: Mapping[str, float],
        now_s: float,
        relative_times: Mapping[str, tuple[float, float]] | None = None,
        route_loads: route_plan.Loads | None = None,
        route_shares: Mapping[str, Mapping[str, float]] | None = None,
    ) -> None:
        """Record the load that callers offer to an entry host, by service.

        ``relative_times`` are the mean times of responses from the region of
        the host and from others, as fractions of the latency objective.
        ``own_shares`` are the local shares that the host applies now. A new
        leader, which has no shares yet, starts from them. ``route_loads``
        and ``route_shares`` are the same by service and route.
        """
        self._reports[host] = _Report(
            region=region,
            offered_slots=offered_slots,
            relative_times=relative_times or {},
            route_loads=route_loads or {},
            received_s=now_s,
        )
        for service, share in own_shares.items():
            current = _LocalShare(share=share, updated_s=now_s)
            self._shares.setdefault((region, service), current)
        self._route_plan.record_shares(region, route_shares or {}, now_s=now_s)

    def local_shares(
        self,
        region: str,
        *,
        slots: Mapping[str, ByRegion],
        now_s: float,
    ) -> dict[str, float]:
        """Return the local share of a region for each service.

        ``slots`` are the usable slots by service and region. Reports older
        than ``REPORT_VALID_S`` are discarded. A share moves towards its
        target by at most ``MAX_SHARE_CHANGE_PER_S``.
        """
        if now_s - self._totalled_s >= TOTALS_INTERVAL_S:
            self._add_up(now_s)
        shares = {}
        for service, by_region in slots.items():
            current = self._shares.get((region, service))
            if current is not None:
                self._update(current, service, region, by_region, now_s)
                shares[service] = current.share
        return shares

    def route_shares(
        self,
        region: str,
        *,
        service_shares: Mapping[str, float],
        slots: Mapping[str, ByRegion],
        now_s: float,
    ) -> dict[str, dict[str, float]]:
        """Return the local shares of a region by service and route.

        ``service_shares`` are those of :meth:`local_shares`, and ``slots``
        the same as there.
        """
        loads = {
            service: by_region[region].routes
            for service, by_region in self._totals.items()
            if region in by_region
        }
        fuller_services = {
            service
            for service in loads
            if is_fuller_than_others(
                region,
                offered_slots=self._offered_slots(service),
                slots=slots.get(service, {}),
            )
        }
        for service, by_region in slots.items():
            if is_lost(region, slots=by_region):
                self._route_plan.record_lost(region, service)
        return self._route_plan.update(
            region,
            service_shares=service_shares,
            loads=loads,
            fuller_services=fuller_services,
            leaving_services={
                service
                for service in loads
                if (region, service) in self._shares
                and self._shares[region, service].has_lost_slots(now_s=now_s)
            },
            now_s=now_s,
        )

    def describe(self) -> dict[str, str]:
        """Return the shares of each region in words, for logs."""
        described: dict[str, list[str]] = {}
        for (region, service), current in sorted(self._shares.items()):
            routes = self._route_plan.describe(region, service)
            described.setdefault(region, []).append(
                f'{service}={current.share:.2f}{routes}'
            )
        return {name: ' '.join(words) for name, words in described.items()}

    def _offered_slots(self, service: str) -> dict[str, float]:
        totals = self._totals.get(service, {})
        return {name: item.offered_slots for name, item in totals.items()}

    def _update(
        self,
        current: _LocalShare,
        service: str,
        region: str,
        slots: ByRegion,
        now_s: float,
    ) -> None:
        elapsed_s = now_s - current.updated_s
        elapsed_s = min(elapsed_s, route_plan.MAX_ELAPSED_S)
        max_change = MAX_SHARE_CHANGE_PER_S * elapsed_s
        current.updated_s = now_s
        current.record_slots(slots.get(region, 0.0), now_s=now_s)
        if is_lost(region, slots=slots):
            current.share = 0.0
            return
        totals = self._totals.get(service, {})
        offered = self._offered_slots(service)
        if sum(offered.values()) < MIN_OFFERED_SLOTS:
            current.share = initial_local_share(region, slots=slots)
            return
        target = target_local_share(region, offered_slots=offered, slots=slots)
        if target is None:
            return
        is_fuller = is_fuller_than_others(
            region, offered_slots=offered, slots=slots
        )
        total = totals.get(region, _Total())
        _move_ceiling(current, total, is_fuller=is_fuller, elapsed_s=elapsed_s)
        target = min(target, current.ceiling)
        if current.has_lost_slots(now_s=now_s):
            current.share = min(current.share, target)
        current.share += max(
            -max_change, min(max_change, target - current.share)
        )

    def _add_up(self, now_s: float) -> None:
        """Discard expired reports, and add up the others.

        The cost of a share then does not grow with the number of hosts.
        """
        self._totalled_s = now_s
        self._reports = {
            host: report
            for host, report in self._reports.items()
            if now_s - report.received_s <= REPORT_VALID_S
        }
        self._totals = {}
        for report in self._reports.values():
            for service, offered_slots in report.offered_slots.items():
                total = self._total(service, report.region)
                total.offered_slots += offered_slots
            for service, by_route in report.route_loads.items():
                total = self._total(service, report.region)
                for route, load in by_route.items():
                    total.add_route(route, load)
            for service, times in report.relative_times.items():
                total = self._total(service, report.region)
                total.local_time += times[0]
                total.remote_time += times[1]
                total.timed_hosts += 1

    def _total(self, service: str, region: str) -> _Total:
        by_region = self._totals.setdefault(service, {})
        return by_region.setdefault(region, _Total())


def _move_ceiling(
    current: _LocalShare,
    total: _Total,
    *,
    is_fuller: bool,
    elapsed_s: float,
) -> None:
    """Lower the ceiling of a share while its region is late, or raise it."""
    change = CEILING_CHANGE_PER_S * elapsed_s
    later = total.local_time > (1 + TIME_MARGIN) * total.remote_time
    sooner = total.local_time < (1 - TIME_MARGIN) * total.remote_time
    if total.timed_hosts and later and is_fuller:
        ceiling = min(current.ceiling, current.share) - change
        current.ceiling = max(MIN_CEILING, ceiling)
    elif sooner or not total.timed_hosts or not is_fuller:
        current.ceiling = min(1.0, current.ceiling + change)
