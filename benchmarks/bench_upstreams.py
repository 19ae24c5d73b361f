"""Simulated upstreams of a bench run, in virtual time."""

import asyncio
import collections
import random

from skylarkpitch import ports

__all__ = ['Upstream', 'UpstreamFleet']

COLD_CALLS = 40


class Upstream:
    """An upstream that serves up to ``slots`` calls at once.

    Calls above that are queued and counted as overload.
    """

    def __init__(
        self,
        *,
        name: str,
        service: str,
        failure_domain: str,
        slots: int,
        connections: int,
        work_s: float,
        rng: random.Random,
    ) -> None:
        self.name = name
        self.service = service
        self.failure_domain = failure_domain
        self.slots = slots
        self.connections = connections
        self.url = f'http://{name}'
        self.alive = True
        self.work_time_factor = 1.0
        self.reports_false_load = False
        self.running = 0
        self.overload_count = 0
        self.last_completed_s = 0.0
        self._work_s = work_s
        self._rng = rng
        self._call_count = 0
        self._queue: collections.deque[asyncio.Future] = collections.deque()

    async def serve(self) -> ports.ExchangeOutcome:
        """Serve one call and return its outcome.

        The first ``COLD_CALLS`` calls take up to twice as long.
        """
        if not self.alive:
            return ports.ExchangeOutcome.FAILED
        self.running += 1
        if self.running > self.slots:
            self.overload_count += 1
            slot_freed = asyncio.get_running_loop().create_future()
            self._queue.append(slot_freed)
            await slot_freed
        self._call_count += 1
        cold_factor = 1 + max(0.0, 1 - self._call_count / COLD_CALLS)
        work_s = self._work_s * self.work_time_factor * cold_factor
        await asyncio.sleep(work_s * self._rng.uniform(0.5, 1.5))
        self.running -= 1
        while self._queue:
            slot_freed = self._queue.popleft()
            if not slot_freed.done():
                slot_freed.set_result(None)
                break
        self.last_completed_s = asyncio.get_running_loop().time()
        if not self.alive:
            return ports.ExchangeOutcome.FAILED
        return ports.ExchangeOutcome.ANSWERED


class UpstreamFleet:
    """The upstreams of a deployment, spread over its failure domains."""

    def __init__(
        self,
        *,
        counts: dict[str, int],
        failure_domains: tuple[str, ...],
        slots: int,
        connections: int,
        work_s: dict[str, float],
        rng: random.Random,
    ) -> None:
        self.by_name: dict[str, Upstream] = {}
        for service, count in counts.items():
            for number in range(count):
                upstream = Upstream(
                    name=f'{service}-{number}',
                    service=service,
                    failure_domain=failure_domains[
                        number % len(failure_domains)
                    ],
                    slots=slots,
                    connections=connections,
                    work_s=work_s[service],
                    rng=rng,
                )
                self.by_name[upstream.name] = upstream
        self.by_url = {
            upstream.url: upstream for upstream in self.by_name.values()
        }

    def all(self) -> list[Upstream]:
        """Return all upstreams."""
        return list(self.by_name.values())

    def in_failure_domains(
        self, failure_domains: frozenset[str]
    ) -> list[Upstream]:
        """Return the upstreams in some failure domains."""
        return [
            upstream
            for upstream in self.all()
            if upstream.failure_domain in failure_domains
        ]

    def overload_count(self) -> int:
        """Return the number of calls that arrived at a full upstream."""
        return sum(upstream.overload_count for upstream in self.all())

    def headroom_percent(self) -> float:
        """Return the free slots in percent of the slots of live upstreams."""
        alive = [upstream for upstream in self.all() if upstream.alive]
        slots = sum(upstream.slots for upstream in alive)
        running = sum(
            min(upstream.running, upstream.slots) for upstream in alive
        )
        return 100.0 * (1 - running / slots) if slots else 0.0
