"""Measure the load and the times of services and routes on one entry host."""

from skylarkpitch.fleet import route_plan
from skylarkpitch.forwarding import arrivals
from skylarkpitch.forwarding import candidates
from skylarkpitch.forwarding import region_times
from skylarkpitch.forwarding import route_loads
from skylarkpitch.forwarding import work_times

__all__ = ['Measurements']


class Measurements:
    """What an entry host measures, for its choices and for control."""

    def __init__(self) -> None:
        self._times = work_times.WorkTimes()
        self._offered_load = arrivals.OfferedLoad()
        self._route_loads = route_loads.RouteLoads()
        self._region_times = region_times.RegionTimes()

    def record_request(
        self, service: str, route: str, *, now_s: float
    ) -> None:
        """Count a request for a service, whether or not it is served."""
        self._offered_load.record_arrival(service, now_s=now_s)
        self._route_loads.record_arrival(service, route, now_s=now_s)

    def record_response(
        self,
        criteria: candidates.SelectionCriteria,
        *,
        is_local: bool,
        is_warm: bool,
        took_s: float,
        work_s: float,
        now_s: float,
    ) -> None:
        """Record a successful response.

        ``took_s`` is the time to the response, and ``work_s`` the part of it
        that the upstream took.
        """
        self.record_time(
            criteria, is_local=is_local, took_s=took_s, now_s=now_s
        )
        self._offered_load.record_work(criteria.service, took_s=work_s)
        self._times.record(
            criteria.route,
            objective_s=criteria.objective_s,
            is_warm=is_warm,
            work_s=work_s,
        )
        self._route_loads.record_work(
            criteria.service,
            criteria.route,
            took_s=work_s,
            slack_s=criteria.objective_s - self.times_of(criteria).warm_s,
        )

    def record_time(
        self,
        criteria: candidates.SelectionCriteria,
        *,
        is_local: bool,
        took_s: float,
        now_s: float,
    ) -> None:
        """Record the time to a response, or to a time-out."""
        self._region_times.record(
            criteria.service,
            is_local=is_local,
            took_s=took_s,
            objective_s=criteria.objective_s,
            now_s=now_s,
        )
        self._route_loads.record_response(
            criteria.service,
            criteria.route,
            is_local=is_local,
            is_late=took_s > criteria.objective_s,
            now_s=now_s,
        )

    def times_of(
        self, criteria: candidates.SelectionCriteria
    ) -> work_times.RouteTimes:
        """Return how long upstreams work on a request."""
        return self._times.for_route(
            criteria.route, objective_s=criteria.objective_s
        )

    def mean_work_s(self, service: str) -> float:
        """Return how long an upstream works on a request; 0 if unknown."""
        return self._offered_load.mean_work_s(service)

    def offered_slots(self, *, now_s: float) -> dict[str, float]:
        """Return the offered load of each service, in slots."""
        return self._offered_load.slots(now_s=now_s)

    def route_loads(
        self, *, now_s: float
    ) -> dict[str, dict[str, route_plan.RouteLoad]]:
        """Return the load of each route, by service."""
        return self._route_loads.by_service(now_s=now_s)

    def relative_times(
        self, *, now_s: float
    ) -> dict[str, tuple[float, float]]:
        """Return the local and the remote mean times, by service."""
        return self._region_times.relative_times(now_s=now_s)
