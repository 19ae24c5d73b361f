"""Stand in for the upstreams of a bench run, in virtual time."""

import asyncio
import collections
import random

from skylarkpitch import ports

__all__ = ['Upstream', 'UpstreamFleet']

COLD_CALLS = 40


class Upstream:
    """Serve up to ``slots`` calls at once; more than that is overload."""

    def __init__(
        self,
        *,
        name: str,
        service: str,
        place: str,
        slots: int,
        connections: int,
        work_s: float,
        rng: random.Random,
    ) -> None:
        self.name = name
        self.service = service
        self.place = place
        self.slots = slots
        self.connections = connections
        self.url = f'http://{name}'
        self.alive = True
        self.slowness = 1.0
        self.lies = False
        self.running = 0
        self.overload = 0
        self.last_ended_s = 0.0
        self._work_s = work_s
        self._rng = rng
        self._served = 0
        self._waiting: collections.deque[asyncio.Future] = collections.deque()

    async def serve(self) -> ports.ExchangeOutcome:
        """Run one call; cold upstreams take up to twice as long."""
        if not self.alive:
            return ports.ExchangeOutcome.FAILED
        self.running += 1
        if self.running > self.slots:
            self.overload += 1
            turn = asyncio.get_running_loop().create_future()
            self._waiting.append(turn)
            await turn
        self._served += 1
        cold = 1 + max(0.0, 1 - self._served / COLD_CALLS)
        work_s = self._work_s * self.slowness * cold
        await asyncio.sleep(work_s * self._rng.uniform(0.5, 1.5))
        self.running -= 1
        while self._waiting:
            turn = self._waiting.popleft()
            if not turn.done():
                turn.set_result(None)
                break
        self.last_ended_s = asyncio.get_running_loop().time()
        if not self.alive:
            return ports.ExchangeOutcome.FAILED
        return ports.ExchangeOutcome.ANSWERED


class UpstreamFleet:
    """Hold the upstreams of a deployment, spread over its places."""

    def __init__(
        self,
        *,
        counts: dict[str, int],
        places: tuple[str, ...],
        slots: int,
        connections: int,
        work_s: dict[str, float],
        rng: random.Random,
    ) -> None:
        self.by_name: dict[str, Upstream] = {}
        for service, count in counts.items():
            for number in range(count):
                item = Upstream(
                    name=f'{service}-{number}',
                    service=service,
                    place=places[number % len(places)],
                    slots=slots,
                    connections=connections,
                    work_s=work_s[service],
                    rng=rng,
                )
                self.by_name[item.name] = item
        self.by_url = {item.url: item for item in self.by_name.values()}

    def all(self) -> list[Upstream]:
        """Return every upstream."""
        return list(self.by_name.values())

    def at(self, places: frozenset[str]) -> list[Upstream]:
        """Return the upstreams of some failure domains."""
        return [item for item in self.all() if item.place in places]

    def overload(self) -> int:
        """Return how many calls came beyond an upstream's slots."""
        return sum(item.overload for item in self.all())

    def headroom_percent(self) -> float:
        """Return the free part of all slots that are alive."""
        alive = [item for item in self.all() if item.alive]
        slots = sum(item.slots for item in alive)
        running = sum(min(item.running, item.slots) for item in alive)
        return 100.0 * (1 - running / slots) if slots else 0.0
