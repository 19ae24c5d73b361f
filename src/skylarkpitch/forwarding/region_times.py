"""Compare the times of responses from the local and from other regions.

Times are relative to the latency objective of the route, so that routes of
different length can be averaged.
"""

import dataclasses

__all__ = ['RegionTimes']

# Weight of one response in the moving averages.
SMOOTHING = 0.1
# An average without a response for this long is not used.
VALID_S = 5.0
MAX_RELATIVE_TIME = 5.0


@dataclasses.dataclass(slots=True, kw_only=True)
class _Average:
    value: float
    recorded_s: float


class RegionTimes:
    """Moving averages by service, for the local and for other regions."""

    def __init__(self) -> None:
        self._averages: dict[tuple[str, bool], _Average] = {}

    def record(
        self,
        service: str,
        *,
        is_local: bool,
        took_s: float,
        objective_s: float,
        now_s: float,
    ) -> None:
        """Record the time to a response, or to a time-out."""
        relative = min(MAX_RELATIVE_TIME, took_s / max(0.001, objective_s))
        average = self._averages.get((service, is_local))
        if average is None:
            self._averages[service, is_local] = _Average(
                value=relative, recorded_s=now_s
            )
            return
        average.value += SMOOTHING * (relative - average.value)
        average.recorded_s = now_s

    def relative_times(
        self, *, now_s: float
    ) -> dict[str, tuple[float, float]]:
        """Return the local and the remote average by service.

        A service without a recent response from both is left out.
        """
        recent = {
            key: average.value
            for key, average in self._averages.items()
            if now_s - average.recorded_s <= VALID_S
        }
        return {
            service: (value, recent[service, False])
            for (service, is_local), value in recent.items()
            if is_local and (service, False) in recent
        }
