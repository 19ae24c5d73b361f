"""Measure what each route asks of each service, for the plan of control."""

import dataclasses
import math

from skylarkpitch.fleet import route_plan
from skylarkpitch.forwarding import arrivals

__all__ = ['RouteLoads']

# A route whose requests are fewer is not reported, nor one that is not among
# this many with the highest load: a report has to stay small.
MIN_RATE_PER_S = 0.01
MAX_REPORTED_ROUTES = 16
# A route without a request for this long is forgotten.
MAX_IDLE_S = 60.0
# Time constant by which responses count less.
RESPONSE_DECAY_S = 3.0


@dataclasses.dataclass(slots=True)
class _Responses:
    """Number of responses, which decays with time."""

    responses: float = 0.0
    late: float = 0.0
    decayed_s: float = 0.0

    def add(self, *, is_late: bool, now_s: float) -> None:
        self._decay(now_s)
        self.responses += 1.0
        self.late += is_late

    def timeliness(self, *, now_s: float) -> route_plan.Timeliness:
        self._decay(now_s)
        return route_plan.Timeliness(responses=self.responses, late=self.late)

    def _decay(self, now_s: float) -> None:
        factor = math.exp((self.decayed_s - now_s) / RESPONSE_DECAY_S)
        self.responses *= factor
        self.late *= factor
        self.decayed_s = now_s


@dataclasses.dataclass(slots=True)
class _Route:
    rate: arrivals.ArrivalRate
    arrived_s: float
    work_s: float = 0.0
    slack_s: float = 0.0
    local: _Responses = dataclasses.field(default_factory=_Responses)
    remote: _Responses = dataclasses.field(default_factory=_Responses)


class RouteLoads:
    """Load of each route on each service, on one entry host."""

    def __init__(self) -> None:
        self._routes: dict[tuple[str, str], _Route] = {}

    def record_arrival(
        self, service: str, route: str, *, now_s: float
    ) -> None:
        """Count a request."""
        item = self._routes.get((service, route))
        if item is None:
            item = self._routes[service, route] = _Route(
                arrivals.ArrivalRate(now_s=now_s), now_s
            )
        item.rate.add()
        item.arrived_s = now_s

    def record_work(
        self, service: str, route: str, *, took_s: float, slack_s: float
    ) -> None:
        """Record how long an upstream worked, and the slack of the route."""
        item = self._routes.get((service, route))
        if item is None:
            return
        if not item.work_s:
            item.work_s = took_s
        item.work_s += arrivals.WORK_SMOOTHING * (took_s - item.work_s)
        item.slack_s = slack_s

    def record_response(
        self,
        service: str,
        route: str,
        *,
        is_local: bool,
        is_late: bool,
        now_s: float,
    ) -> None:
        """Record whether a response, or a time-out, missed the objective."""
        item = self._routes.get((service, route))
        if item is not None:
            responses = item.local if is_local else item.remote
            responses.add(is_late=is_late, now_s=now_s)

    def by_service(
        self, *, now_s: float
    ) -> dict[str, dict[str, route_plan.RouteLoad]]:
        """Return the highest loads of routes with known work, by service."""
        self._routes = {
            key: item
            for key, item in self._routes.items()
            if now_s - item.arrived_s <= MAX_IDLE_S
        }
        loads = [
            (service, route, load)
            for (service, route), item in self._routes.items()
            if (load := _load_of(item, now_s)) is not None
        ]
        loads.sort(key=lambda entry: -entry[2].offered_slots)
        by_service: dict[str, dict[str, route_plan.RouteLoad]] = {}
        for service, route, load in loads[:MAX_REPORTED_ROUTES]:
            by_service.setdefault(service, {})[route] = load
        return by_service


def _load_of(item: _Route, now_s: float) -> route_plan.RouteLoad | None:
    rate_per_s = item.rate.per_s(now_s=now_s)
    if not item.work_s or rate_per_s <= MIN_RATE_PER_S:
        return None
    return route_plan.RouteLoad(
        rate_per_s=rate_per_s,
        offered_slots=rate_per_s * item.work_s,
        slack_s=item.slack_s,
        local=item.local.timeliness(now_s=now_s),
        remote=item.remote.timeliness(now_s=now_s),
    )
