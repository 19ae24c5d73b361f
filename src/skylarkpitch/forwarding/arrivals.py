"""Measure how often something is asked for, and what work that makes."""

__all__ = ['ArrivalRate', 'OfferedWork']

MEMORY_S = 1.0
LEAST_ELAPSED_S = 0.05
WORK_MEMORY = 0.05


class ArrivalRate:
    """A rate that follows the present one within about ``MEMORY_S``."""

    def __init__(self, *, now_s: float) -> None:
        self._count = 0
        self._since_s = now_s
        self._per_s = 0.0

    def add(self) -> None:
        """Count one arrival."""
        self._count += 1

    def per_s(self, *, now_s: float) -> float:
        """Return the present rate."""
        elapsed_s = now_s - self._since_s
        if elapsed_s > LEAST_ELAPSED_S:
            part = min(1.0, elapsed_s / MEMORY_S)
            self._per_s += part * (self._count / elapsed_s - self._per_s)
            self._count = 0
            self._since_s = now_s
        return self._per_s


class OfferedWork:
    """The work that callers ask of each service, as slots that it fills.

    By Little's law ("A proof for the queuing formula L = lambda W",
    Operations Research, 1961) that is the rate of requests, served or not,
    times how long an upstream works on one.
    """

    def __init__(self) -> None:
        self._rates: dict[str, ArrivalRate] = {}
        self._work_s: dict[str, float] = {}

    def asked(self, service: str, *, now_s: float) -> None:
        """Count a request for a service."""
        rate = self._rates.get(service)
        if rate is None:
            rate = self._rates[service] = ArrivalRate(now_s=now_s)
        rate.add()

    def worked(self, service: str, *, took_s: float) -> None:
        """Note how long an upstream of a service worked on a request."""
        known_s = self._work_s.get(service, took_s)
        self._work_s[service] = known_s + WORK_MEMORY * (took_s - known_s)

    def slots(self, *, now_s: float) -> dict[str, float]:
        """Return the slots that are asked for, by service."""
        return {
            service: rate.per_s(now_s=now_s) * self._work_s.get(service, 0.0)
            for service, rate in self._rates.items()
        }
