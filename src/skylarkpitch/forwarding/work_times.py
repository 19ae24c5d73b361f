"""Measure how long an upstream works on a request of a route.

An upstream that is warm for the affinity key takes a fraction of the time
that another takes, so the two cases are measured separately.
"""

import dataclasses

__all__ = ['RouteTimes', 'WorkTimes']

# Weight of one response in the moving averages.
SMOOTHING = 0.08
# Initial values, as fractions of the route's latency objective.
INITIAL_WARM_SHARE = 0.45
INITIAL_MISS_SHARE = 1.4


@dataclasses.dataclass(slots=True, kw_only=True)
class RouteTimes:
    """Mean seconds of work on a warm upstream, and after a cache miss."""

    warm_s: float
    miss_s: float

    @property
    def miss_penalty_s(self) -> float:
        """Return how many seconds a cache miss adds."""
        return max(0.0, self.miss_s - self.warm_s)


class WorkTimes:
    """Measured times of all routes."""

    def __init__(self) -> None:
        self._times: dict[str, RouteTimes] = {}

    def for_route(self, route: str, *, objective_s: float) -> RouteTimes:
        """Return the times of a route.

        Until they are measured they are fractions of its latency objective.
        """
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
        """Update the mean of warm upstreams or of misses with one response."""
        times = self.for_route(route, objective_s=objective_s)
        if is_warm:
            times.warm_s += SMOOTHING * (work_s - times.warm_s)
        else:
            times.miss_s += SMOOTHING * (work_s - times.miss_s)
