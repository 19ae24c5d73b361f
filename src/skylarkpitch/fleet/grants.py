"""Grant entry hosts their rates, local shares and quarantines, as leader."""

from collections.abc import Callable
from collections.abc import Iterable

from skylarkpitch.fleet import control_requests
from skylarkpitch.fleet import crash_reports
from skylarkpitch.fleet import model
from skylarkpitch.fleet import rate_shares
from skylarkpitch.fleet import region_plan
from skylarkpitch.fleet import state as fleet_state

__all__ = ['Grants']


class Grants:
    """Rates, shares and quarantines granted to the entry hosts of a fleet.

    ``region_of`` returns the region of a failure domain, or None.
    """

    def __init__(
        self,
        *,
        state: fleet_state.FleetState,
        region_of: Callable[[str], str | None],
    ) -> None:
        self._state = state
        self._region_of = region_of
        self._rate_shares = rate_shares.RateShares()
        self._region_plan = region_plan.RegionPlan()
        self._suspicions = crash_reports.SharedSuspicions()
        self._slots_index = -1
        self._slots: dict[str, dict[str, float]] = {}

    def reset(self) -> None:
        """Discard what was granted, as when this process becomes leader."""
        self._rate_shares.reset()
        self._region_plan.reset()
        self._suspicions = crash_reports.SharedSuspicions()

    def grant(
        self, report: control_requests.EntryReport, *, now_s: float
    ) -> control_requests.EntryGrant:
        """Return what the entry host of a report may use."""
        granted = self._rate_shares.grant(
            report.entry_host.name,
            usage=rate_shares.Usage(
                demand_per_s=report.demand_per_s,
                passed=report.passed,
                incarnation=report.incarnation,
            ),
            limits=self._limits_of(report.demand_per_s),
            host_count=len(self._state.entry_hosts),
            now_s=now_s,
        )
        local_shares = self._local_shares(report, now_s)
        self._suspicions.apply_report(
            report.entry_host.name, report.crash_report, now_s=now_s
        )
        return control_requests.EntryGrant(
            rate_per_s=granted.rate_per_s,
            own_shares=local_shares,
            route_shares=self._region_plan.route_shares(
                report.entry_host.region,
                service_shares=local_shares,
                slots=self._usable_slots(),
                now_s=now_s,
            ),
            admitted_shares=granted.admitted_shares,
            crash_grant=self._suspicions.grant(now_s=now_s),
        )

    def _local_shares(
        self, report: control_requests.EntryReport, now_s: float
    ) -> dict[str, float]:
        host = report.entry_host
        self._region_plan.record_report(
            host.name,
            region=host.region,
            offered_slots=report.offered_slots,
            own_shares=report.own_shares,
            relative_times=report.relative_times,
            route_loads=report.route_loads,
            route_shares=report.route_shares,
            now_s=now_s,
        )
        return self._region_plan.local_shares(
            host.region, slots=self._usable_slots(), now_s=now_s
        )

    def describe_shares(self) -> dict[str, str]:
        """Return the local shares of each region in words, for logs."""
        return self._region_plan.describe()

    def _usable_slots(self) -> dict[str, dict[str, float]]:
        """Return the slots of ready upstreams, by service and region.

        Upstreams of draining failure domains are not counted. Every report
        of an entry host needs the slots, so they are added up only when the
        state has changed.
        """
        if self._slots_index != self._state.index:
            self._slots_index = self._state.index
            self._slots = self._count_usable_slots()
        return self._slots

    def _count_usable_slots(self) -> dict[str, dict[str, float]]:
        slots: dict[str, dict[str, float]] = {}
        for item in self._state.upstreams.values():
            if item.state is not model.UpstreamState.READY:
                continue
            if self._state.is_draining(item.failure_domain):
                continue
            region = self._region_of(item.failure_domain) or ''
            by_region = slots.setdefault(item.service, {})
            by_region[region] = by_region.get(region, 0.0) + item.slots
        return slots

    def _limits_of(
        self, organisations: Iterable[str]
    ) -> dict[str, rate_shares.Limit]:
        limits = {}
        for name in organisations:
            organisation = self._state.organisation(name)
            if organisation is not None:
                limits[name] = rate_shares.Limit(
                    rate_per_s=organisation.rate_per_s,
                    burst=organisation.burst,
                )
        return limits
