"""Plan which share of a region's requests is served in that region.

This balances regions whose upstreams do not match their callers, such as a
region with a tenth of the upstreams and a third of the callers. The leader
plans one share for all entry hosts of a region, so that they all send the
requests of one affinity key to the same region. Shares change slowly, since
a request that moves to another region finds nothing cached there.
"""

from collections.abc import Mapping
import dataclasses

__all__ = ['RegionPlan', 'initial_local_share', 'target_local_share']

# Up to this utilisation of its slots a region serves all of its requests.
TARGET_UTILISATION = 0.75
MAX_SHARE_CHANGE_PER_S = 0.05
MIN_OFFERED_SLOTS = 0.5
REPORT_VALID_S = 2.5
INITIAL_HEADROOM_FACTOR = 1.5

ByRegion = Mapping[str, float]


def initial_local_share(region: str, *, slots: ByRegion) -> float:
    """Return the local share of a region without load, 0 to 1.

    Assumes that every region has the same load. The region then serves up
    to ``INITIAL_HEADROOM_FACTOR`` times the load that matches its part of
    the slots.
    """
    total = sum(slots.values())
    local = slots.get(region, 0.0)
    if total == local:
        return 1.0
    return min(1.0, INITIAL_HEADROOM_FACTOR * local * len(slots) / total)


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


@dataclasses.dataclass(slots=True, kw_only=True)
class _Report:
    region: str
    offered_slots: Mapping[str, float]
    received_s: float


@dataclasses.dataclass(slots=True, kw_only=True)
class _LocalShare:
    share: float
    updated_s: float


class RegionPlan:
    """Load reported by entry hosts, and the local shares planned from it."""

    def __init__(self) -> None:
        self._reports: dict[str, _Report] = {}
        self._shares: dict[tuple[str, str], _LocalShare] = {}

    def reset(self) -> None:
        """Discard reports and shares, as when this process becomes leader."""
        self._reports.clear()
        self._shares.clear()

    def record_report(
        self,
        host: str,
        *,
        region: str,
        offered_slots: Mapping[str, float],
        own_shares: Mapping[str, float],
        now_s: float,
    ) -> None:
        """Record the load that callers offer to an entry host, by service.

        ``own_shares`` are the local shares that the host applies now. A new
        leader, which has no shares yet, starts from them.
        """
        self._reports[host] = _Report(
            region=region, offered_slots=offered_slots, received_s=now_s
        )
        for service, share in own_shares.items():
            current = _LocalShare(share=share, updated_s=now_s)
            self._shares.setdefault((region, service), current)

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
        self._reports = {
            host: report
            for host, report in self._reports.items()
            if now_s - report.received_s <= REPORT_VALID_S
        }
        shares = {}
        for service, by_region in slots.items():
            current = self._shares.get((region, service))
            if current is not None:
                self._update(current, service, region, by_region, now_s)
                shares[service] = current.share
        return shares

    def _update(
        self,
        current: _LocalShare,
        service: str,
        region: str,
        slots: ByRegion,
        now_s: float,
    ) -> None:
        max_change = MAX_SHARE_CHANGE_PER_S * (now_s - current.updated_s)
        current.updated_s = now_s
        offered = self._offered_slots(service)
        if sum(offered.values()) < MIN_OFFERED_SLOTS:
            current.share = initial_local_share(region, slots=slots)
            return
        target = target_local_share(region, offered_slots=offered, slots=slots)
        if target is not None:
            current.share += max(
                -max_change, min(max_change, target - current.share)
            )

    def _offered_slots(self, service: str) -> dict[str, float]:
        """Return the load of a service by region, as occupied slots."""
        totals: dict[str, float] = {}
        for report in self._reports.values():
            offered = report.offered_slots.get(service, 0.0)
            totals[report.region] = totals.get(report.region, 0.0) + offered
        return totals
