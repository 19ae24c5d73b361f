"""What callers, upstreams and the operator saw, and what must hold."""

import asyncio
import collections
import dataclasses
import time

__all__ = ['Observations', 'violations']

# A caller's close has reached every host by then.
LEFT_S = 0.5
LAG_INTERVAL_S = 0.02
# With more delay in this process, times of arrival say little.
MAX_LAG_S = 0.2
MIN_CALM_SHARE = 0.9
NOT_RUN_STATUSES = (408, 421, 429, 503)


@dataclasses.dataclass(slots=True, kw_only=True)
class Request:
    """One request of a caller; ``left_s`` is when the caller left.

    One without ``has_key`` has a key that no configuration ever held.
    """

    repeatable: bool
    sent_s: float
    has_key: bool = True
    left_s: float | None = None
    status: int | None = None
    is_wrong: bool = False


class Observations:
    """Requests by id, their arrivals at upstreams, and configurations."""

    def __init__(self) -> None:
        self.requests: dict[str, Request] = {}
        self.arrivals: dict[str, list[float]] = collections.defaultdict(list)
        self.newest_version = 0
        self.old_reads: list[str] = []
        self.other_reads: list[str] = []
        self.calm_since_s = float('inf')
        self.max_lag_s = 0.0

    async def measure_lag(self) -> None:
        """Measure by how much the event loop of this process is late."""
        while True:
            began_s = time.monotonic()
            await asyncio.sleep(LAG_INTERVAL_S)
            lag_s = time.monotonic() - began_s - LAG_INTERVAL_S
            self.max_lag_s = max(self.max_lag_s, lag_s)

    def arrived(self, request_id: str) -> None:
        """Record that an upstream began to run a request."""
        self.arrivals[request_id].append(time.monotonic())

    def acknowledged(self, version: int) -> None:
        """Record that a configuration was acknowledged."""
        self.newest_version = max(self.newest_version, version)

    def read(self, name: str, version: int, *, expected: int) -> None:
        """Record a read that began when ``expected`` was acknowledged."""
        if version < expected:
            self.old_reads.append(f'{name} has {version}, not {expected}')

    def summary(self) -> dict:
        """Return how much was seen."""
        statuses = collections.Counter(
            item.status for item in self.requests.values()
        )
        return {
            'requests': len(self.requests),
            'answered': statuses[200],
            'left': sum(
                item.left_s is not None for item in self.requests.values()
            ),
            'versions': self.newest_version,
            'max_lag_ms': round(1000 * self.max_lag_s),
        }


def _of_request(
    name: str, item: Request, arrivals: list[float], *, is_timed: bool
) -> str | None:
    """Return what a request violates, or None."""
    if arrivals and not item.has_key:
        return f'{name} ran with a key that nobody holds'
    if not item.repeatable and len(arrivals) > 1:
        return f'{name} ran {len(arrivals)} times'
    if item.status in NOT_RUN_STATUSES and arrivals and not item.repeatable:
        return f'{name} was answered {item.status} and ran'
    if item.is_wrong:
        return f'{name} got a wrong response'
    late = item.left_s is not None and any(
        at_s > item.left_s + LEFT_S for at_s in arrivals
    )
    if late and is_timed:
        return f'{name} was sent on after its caller had left'
    return None


def violations(seen: Observations) -> list[str]:
    """Return what was violated."""
    is_timed = seen.max_lag_s < MAX_LAG_S
    found = [
        _of_request(name, item, seen.arrivals[name], is_timed=is_timed)
        for name, item in seen.requests.items()
    ]
    calm = [
        item.status == 200
        for item in seen.requests.values()
        if item.sent_s > seen.calm_since_s
        and item.left_s is None
        and item.has_key
    ]
    if calm and sum(calm) < MIN_CALM_SHARE * len(calm):
        found.append(f'{sum(calm)} of {len(calm)} answered once all was calm')
    reads = [*seen.old_reads, *seen.other_reads]
    return [*reads, *(item for item in found if item)]
