"""Learn how long an upstream works on a request of a route.

An upstream that has handled an object lately takes a fraction of the time
that another takes, so that the two are measured apart.
"""

import dataclasses

__all__ = ['RouteTimes', 'WorkTimes']

MEMORY = 0.08
# Before anything is measured, in parts of the route's objective.
FIRST_HELD_SHARE = 0.45
FIRST_MISSED_SHARE = 1.4


@dataclasses.dataclass(slots=True, kw_only=True)
class RouteTimes:
    """Seconds of work where the object is held, and where it is not."""

    held_s: float
    missed_s: float

    @property
    def miss_costs_s(self) -> float:
        """Return by how much longer a request without its object takes."""
        return max(0.0, self.missed_s - self.held_s)


class WorkTimes:
    """Measured times by route."""

    def __init__(self) -> None:
        self._times: dict[str, RouteTimes] = {}

    def of(self, route: str, *, objective_s: float) -> RouteTimes:
        """Return a route's times."""
        times = self._times.get(route)
        if times is None:
            times = self._times[route] = RouteTimes(
                held_s=FIRST_HELD_SHARE * objective_s,
                missed_s=FIRST_MISSED_SHARE * objective_s,
            )
        return times

    def learn(
        self, route: str, *, objective_s: float, held: bool, worked_s: float
    ) -> None:
        """Take the time of an answer."""
        times = self.of(route, objective_s=objective_s)
        if held:
            times.held_s += MEMORY * (worked_s - times.held_s)
        else:
            times.missed_s += MEMORY * (worked_s - times.missed_s)
