"""Upstreams with slots, a queue and a cache, in virtual time."""

import asyncio
import collections
import dataclasses
import math

COLD_S = 3.0
WORK_SPREAD = 0.15


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RouteLoad:
    """Requests of one route, which are for ``keys`` objects in each region.

    ``miss_s`` is the work on a request whose key is not cached, ``warm_s``
    on another.
    """

    name: str
    keys: int
    miss_s: float
    warm_s: float
    objective_s: float
    timeout_s: float
    per_s: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ServiceLoad:
    """A service, its upstreams by failure domain, and its routes.

    An upstream caches the last ``cached_keys`` keys.
    """

    name: str
    upstreams: dict[str, int]
    slots: int
    queue: int
    cached_keys: int
    routes: tuple[RouteLoad, ...]


@dataclasses.dataclass(slots=True, kw_only=True)
class Record:
    """What became of one request."""

    arrived_s: float
    service: str
    route: str
    region: str
    ran_in: str = ''
    upstream: str = ''
    status: str = ''
    was_cached: bool = False
    queued_s: float = 0.0
    upstream_queue_s: float = 0.0
    took_s: float = 0.0
    in_time: bool = False


class Upstream:
    """An upstream with slots, a queue and a cache of affinity keys."""

    def __init__(self, item, load, rng, slowness=1.0):
        self.item = item
        self._load = load
        self._rng = rng
        self.slowness = slowness
        self.running = 0
        self._queue = collections.deque()
        self._cached = collections.OrderedDict()
        self.requests = 0

    async def run(self, route, key, record):
        """Run a request; return whether it was not rejected."""
        self.requests += 1
        loop = asyncio.get_running_loop()
        if self.running >= self._load.slots:
            if len(self._queue) >= self._load.queue:
                return False
            arrived_s = loop.time()
            turn = loop.create_future()
            self._queue.append(turn)
            await turn
            record.upstream_queue_s += loop.time() - arrived_s
        else:
            self.running += 1
        record.was_cached = key in self._cached
        self._cached[key] = True
        self._cached.move_to_end(key)
        while len(self._cached) > self._load.cached_keys:
            self._cached.popitem(last=False)
        mean_s = route.warm_s if record.was_cached else route.miss_s
        factor = math.exp(self._rng.gauss(0.0, WORK_SPREAD))
        await asyncio.sleep(mean_s * factor * self.slowness)
        if self._queue:
            self._queue.popleft().set_result(None)
        else:
            self.running -= 1
        return True

    def restart(self):
        """Empty the cache, and start a new incarnation that is cold."""
        self._cached.clear()
        self.item = dataclasses.replace(
            self.item,
            born_ms=self.item.born_ms + 1,
            cold_left_ms=COLD_S * 1000,
        )

    @property
    def waiting(self):
        return len(self._queue)
