"""Learn how long an upstream works on a request of a route.

An upstream that has handled an object lately takes a fraction of the time
that another takes, so that the two are measured apart.
"""

import dataclasses

__all__ = ['RouteTimes', 'WorkTimes']

SMOOTHING = 0.08
# Before anything is measured, in parts of the route's objective.
INITIAL_WARM_SHARE = 0.45
INITIAL_MISS_SHARE = 1.4


@dataclasses.dataclass(slots=True, kw_only=True)
class RouteTimes:
    """Seconds of work where the object is is_warm, and where it is not."""

    warm_s: float
    miss_s: float

    @property
    def miss_penalty_s(self) -> float:
        """Return by how much longer a request without its object takes."""
        return max(0.0, self.miss_s - self.warm_s)


class WorkTimes:
    """Measured times by route."""

    def __init__(self) -> None:
        self._times: dict[str, RouteTimes] = {}

    def for_route(self, route: str, *, objective_s: float) -> RouteTimes:
        """Return a route's times."""
        times = self._times.get(route)
        if times is None:
            times = self._times[route] = RouteTimes(
                warm_s=INITIAL_WARM_SHARE * objective_s,
                miss_s=INITIAL_MISS_SHARE * objective_s,
            )
        return times

    def record(
        self, route: str, *, objective_s: float, is_warm: bool, work_s: float
    ) -> None:
        """Take the time of an answer."""
        times = self.for_route(route, objective_s=objective_s)
        if is_warm:
            times.warm_s += SMOOTHING * (work_s - times.warm_s)
        else:
            times.miss_s += SMOOTHING * (work_s - times.miss_s)
