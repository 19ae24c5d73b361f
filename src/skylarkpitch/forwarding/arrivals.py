"""Measure arrival rates and the load that they offer."""

__all__ = ['ArrivalRate', 'OfferedLoad']

RATE_WINDOW_S = 1.0
MIN_INTERVAL_S = 0.05
# Weight of one response in the moving average of work.
WORK_SMOOTHING = 0.05


class ArrivalRate:
    """Moving average of a rate, over about ``RATE_WINDOW_S``."""

    def __init__(self, *, now_s: float) -> None:
        self._count = 0
        self._interval_start_s = now_s
        self._per_s = 0.0

    def add(self) -> None:
        """Count one arrival."""
        self._count += 1

    def per_s(self, *, now_s: float) -> float:
        """Return the current rate per second."""
        elapsed_s = now_s - self._interval_start_s
        if elapsed_s > MIN_INTERVAL_S:
            weight = min(1.0, elapsed_s / RATE_WINDOW_S)
            self._per_s += weight * (self._count / elapsed_s - self._per_s)
            self._count = 0
            self._interval_start_s = now_s
        return self._per_s


class OfferedLoad:
    """Offered load of each service, in slots.

    By Little's law ("A proof for the queuing formula L = lambda W",
    Operations Research, 1961) that is the rate of requests, served or not,
    times how long an upstream works on one.
    """

    def __init__(self) -> None:
        self._rates: dict[str, ArrivalRate] = {}
        self._work_s: dict[str, float] = {}

    def record_arrival(self, service: str, *, now_s: float) -> None:
        """Count a request for a service."""
        rate = self._rates.get(service)
        if rate is None:
            rate = self._rates[service] = ArrivalRate(now_s=now_s)
        rate.add()

    def record_work(self, service: str, *, took_s: float) -> None:
        """Record how long an upstream of a service worked on a request."""
        mean_s = self._work_s.get(service, took_s)
        self._work_s[service] = mean_s + WORK_SMOOTHING * (took_s - mean_s)

    def mean_work_s(self, service: str) -> float:
        """Return how long an upstream works on a request; 0 if unknown."""
        return self._work_s.get(service, 0.0)

    def slots(self, *, now_s: float) -> dict[str, float]:
        """Return the offered load by service, in slots."""
        return {
            service: rate.per_s(now_s=now_s) * self._work_s.get(service, 0.0)
            for service, rate in self._rates.items()
        }
