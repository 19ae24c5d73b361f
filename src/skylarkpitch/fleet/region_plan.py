"""Decide what part of a region's requests runs in the region.

Answers the pattern of uneven regions: one has a tenth of the upstreams and
a third of the callers. The leader decides for all entry hosts of a region
alike, so that the requests for one object go the same way from each of
them; the parts move slowly, since what moves misses its object.
"""

from collections.abc import Mapping
import dataclasses

__all__ = ['RegionPlan', 'first_own_share', 'wanted_own_share']

# Up to this part of its slots a region keeps all of its own requests.
COMFORT = 0.75
STEP_PER_S = 0.05
LEAST_OFFERED_SLOTS = 0.5
REPORT_VALID_S = 2.5
FIRST_ROOM_FACTOR = 1.5

ByRegion = Mapping[str, float]


def first_own_share(region: str, *, slots: ByRegion) -> float:
    """Return the share to begin with, when nothing is asked for yet.

    Every region is taken to be asked for as much as the others; one keeps
    ``FIRST_ROOM_FACTOR`` times what its slots then bear.
    """
    everywhere = sum(slots.values())
    own = slots.get(region, 0.0)
    if everywhere == own:
        return 1.0
    return min(1.0, FIRST_ROOM_FACTOR * own * len(slots) / everywhere)


def wanted_own_share(
    region: str, *, offered_slots: ByRegion, slots: ByRegion
) -> float | None:
    """Return the part of a region's requests that should stay, 0 to 1.

    ``offered_slots`` is the work that callers of each region ask for, as
    the slots that it fills. A region sends away what would fill it further
    than ``COMFORT``, or than all regions together. None when too little is
    asked for to tell.
    """
    own = slots.get(region, 0.0)
    everywhere = sum(slots.values())
    if everywhere == own:
        return 1.0
    offered = offered_slots.get(region, 0.0)
    if offered < LEAST_OFFERED_SLOTS:
        return None
    level = max(COMFORT, sum(offered_slots.values()) / everywhere)
    return min(1.0, level * own / offered)


@dataclasses.dataclass(slots=True, kw_only=True)
class _Report:
    region: str
    offered_slots: Mapping[str, float]
    at_s: float


@dataclasses.dataclass(slots=True, kw_only=True)
class _Held:
    share: float
    at_s: float


class RegionPlan:
    """What entry hosts are asked for, and the shares that follow from it."""

    def __init__(self) -> None:
        self._reports: dict[str, _Report] = {}
        self._held: dict[tuple[str, str], _Held] = {}

    def forget_all(self) -> None:
        """Begin anew, as when this process starts to lead."""
        self._reports.clear()
        self._held.clear()

    def report(
        self,
        host: str,
        *,
        region: str,
        offered_slots: Mapping[str, float],
        own_shares: Mapping[str, float],
        now_s: float,
    ) -> None:
        """Note what an entry host is asked for, by service.

        ``own_shares`` are those that it keeps to; a leader that has none
        yet goes on from them.
        """
        self._reports[host] = _Report(
            region=region, offered_slots=offered_slots, at_s=now_s
        )
        for service, share in own_shares.items():
            held = _Held(share=share, at_s=now_s)
            self._held.setdefault((region, service), held)

    def own_shares(
        self,
        region: str,
        *,
        slots: Mapping[str, ByRegion],
        now_s: float,
    ) -> dict[str, float]:
        """Return the share of each service that a region keeps.

        ``slots`` are those that may be used, by service and region.
        """
        self._reports = {
            host: report
            for host, report in self._reports.items()
            if now_s - report.at_s <= REPORT_VALID_S
        }
        shares = {}
        for service, by_region in slots.items():
            held = self._held.get((region, service))
            if held is not None:
                self._move(held, service, region, by_region, now_s)
                shares[service] = held.share
        return shares

    def _move(
        self,
        held: _Held,
        service: str,
        region: str,
        slots: ByRegion,
        now_s: float,
    ) -> None:
        step = STEP_PER_S * (now_s - held.at_s)
        held.at_s = now_s
        offered = self._offered(service)
        if sum(offered.values()) < LEAST_OFFERED_SLOTS:
            held.share = first_own_share(region, slots=slots)
            return
        wanted = wanted_own_share(region, offered_slots=offered, slots=slots)
        if wanted is not None:
            held.share += max(-step, min(step, wanted - held.share))

    def _offered(self, service: str) -> dict[str, float]:
        offered: dict[str, float] = {}
        for report in self._reports.values():
            asked = report.offered_slots.get(service, 0.0)
            offered[report.region] = offered.get(report.region, 0.0) + asked
        return offered
