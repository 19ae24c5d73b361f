"""Drains and departures as operators and upstreams send them.

Each order goes to one control host, often one that stands still, and to
another one if there is no response within a second. What has been acknowledged
must hold: a drained failure domain and an upstream that has left get no
requests, and both are used again afterwards.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
import contextlib
import dataclasses
import json
import random
import time

import aiohttp

from benchmarks import process_soak_checks as checks
from benchmarks import process_soak_parts as parts
from benchmarks import upgrade_fleet

__all__ = ['DrainOrders', 'LeavingUpstream', 'Sender']

ATTEMPT_TIMEOUT_S = 1.0
ATTEMPTS = 8
# Upstreams and domains get nothing more this long after an acknowledgement.
DEPARTED_S = 2.5
DRAINED_S = 5.0
# An entry host that stood still, or was cut off, may lag behind by so much.
DISTURBED_S = 3.0
FROZEN_SHARE = 0.5
FREEZE_SHARE = 0.3
# A drain lasts for longer than the bounds on what may still arrive.
DRAIN_PAUSES_S = (0.1, 1.0, 11.0)
TAKEN_BACK_PAUSES_S = (0.05, 0.1, 0.3)
# Some incarnations leave before their first heartbeat arrives.
SHORT_LIVES_S = (0.05, 0.6)
LONG_LIVES_S = (0.6, 4.0)
SERVES_ON_S = (0.5, 10.0)
DOWN_S = (0.05, 2.0)
LATE_S = (0.0, 3.5)
LATE_SHARE = 0.5
MS_PER_S = 1000


class Sender:
    """Send calls to control hosts, often to one that stands still."""

    def __init__(
        self,
        *,
        rng: random.Random,
        controls: Callable[[], dict[str, str]],
        frozen: Callable[[], set[str]],
        freeze: Callable[[str], None],
    ) -> None:
        self._rng = rng
        self._controls = controls
        self._frozen = frozen
        self._freeze = freeze
        self.resent = 0

    def _pick(self, addresses: dict[str, str], *, is_order: bool) -> str:
        """Return a host, which may be one that stands still from now on."""
        frozen = sorted(self._frozen() & set(addresses))
        if frozen and self._rng.random() < FROZEN_SHARE:
            return self._rng.choice(frozen)
        name = self._rng.choice(sorted(addresses))
        if is_order and self._rng.random() < FREEZE_SHARE:
            self._freeze(name)
        return name

    async def send(self, method: str, path: str, body: dict | None) -> bool:
        """Send one call to one host; return whether it was acknowledged.

        Orders have no body.
        """
        addresses = self._controls()
        name = self._pick(addresses, is_order=body is None)
        with contextlib.suppress(aiohttp.ClientError, TimeoutError):
            async with (
                aiohttp.ClientSession(
                    connector=aiohttp.TCPConnector(force_close=True),
                    timeout=aiohttp.ClientTimeout(total=ATTEMPT_TIMEOUT_S),
                ) as session,
                session.request(
                    method,
                    f'http://{addresses[name]}{path}',
                    headers=upgrade_fleet.AUTHORISED,
                    json=body,
                ) as response,
            ):
                return response.status == 200
        return False

    async def send_until_acknowledged(self, method: str, path: str) -> bool:
        """Send a call to one host after another, a limited number of times."""
        for attempt in range(ATTEMPTS):
            if await self.send(method, path, None):
                return True
            self.resent += attempt > 0
            await asyncio.sleep(self._rng.uniform(0.0, 0.2))
        return False


@dataclasses.dataclass(slots=True, kw_only=True)
class _Bound:
    """Time in which no requests may arrive, with what was acknowledged."""

    what: str
    from_s: float
    until_s: float = float('inf')


class _Arrivals:
    """Times at which requests arrived, and the bounds on them."""

    def __init__(self) -> None:
        self.at_s: list[float] = []
        self.bounds: list[_Bound] = []

    def record(self) -> None:
        self.at_s.append(time.monotonic())

    def violations(self) -> list[str]:
        return [
            f'{len(late)} requests {bound.what}, the last '
            f'{late[-1] - bound.from_s:.1f} s too late'
            for bound in self.bounds
            if (late := self._within(bound))
        ]

    def _within(self, bound: _Bound) -> list[float]:
        return [t for t in self.at_s if bound.from_s < t < bound.until_s]


class DrainOrders:
    """Operator who drains failure domains and takes them back at once."""

    def __init__(
        self,
        *,
        rng: random.Random,
        sender: Sender,
        domains: tuple[str, ...],
    ) -> None:
        self._rng = rng
        self._sender = sender
        self._arrivals = {domain: _Arrivals() for domain in domains}
        self.orders = 0

    def arrived(self, domain: str) -> None:
        """Record that a request arrived in a failure domain."""
        self._arrivals[domain].record()

    async def order_until(self, ends_s: float) -> None:
        """Order drains and their ends until all are ended."""
        while time.monotonic() < ends_s:
            domain = self._rng.choice(sorted(self._arrivals))
            for _time in range(self._rng.choice((1, 2, 3))):
                await self._drain(domain)
                await asyncio.sleep(self._rng.choice(DRAIN_PAUSES_S))
                await self._take_back(domain)
                await asyncio.sleep(self._rng.choice(TAKEN_BACK_PAUSES_S))

    async def _drain(self, domain: str) -> None:
        self.orders += 1
        if await self._sender.send_until_acknowledged(
            'PUT', f'/v1/drains/{domain}'
        ):
            self._arrivals[domain].bounds.append(
                _Bound(
                    what=f'to the drained {domain}',
                    from_s=time.monotonic() + DRAINED_S + DISTURBED_S,
                )
            )

    async def _take_back(self, domain: str) -> None:
        for bound in self._arrivals[domain].bounds:
            bound.until_s = min(bound.until_s, time.monotonic())
        self.orders += 1
        path = f'/v1/drains/{domain}'
        while not await self._sender.send_until_acknowledged('DELETE', path):
            await asyncio.sleep(0.1)

    def violations(self) -> list[str]:
        """Return which acknowledged drains did not hold."""
        return [
            violation
            for arrivals in self._arrivals.values()
            for violation in arrivals.violations()
        ]


class LeavingUpstream:
    """Upstream that crashes or leaves, and starts again under its id.

    Heartbeats may arrive seconds late, also those of earlier incarnations.
    """

    def __init__(
        self,
        *,
        name: str,
        domain: str,
        rng: random.Random,
        seen: checks.Observations,
        sender: Sender,
        start: Callable[[Coroutine], asyncio.Task],
        on_run: Callable[[], None],
    ) -> None:
        self.name = name
        self._domain = domain
        self._rng = rng
        self._seen = seen
        self._sender = sender
        self._start = start
        self._on_run = on_run
        self._listener: parts.Upstream | None = None
        self._arrivals = _Arrivals()
        self._past: list[_Arrivals] = []
        self.departures = 0

    async def live_until(self, ends_s: float) -> None:
        """Live one life after another; the last one goes on."""
        while time.monotonic() < ends_s:
            beating = await self._begin()
            lives_s = self._rng.choice((SHORT_LIVES_S, LONG_LIVES_S))
            await asyncio.sleep(self._rng.uniform(*lives_s))
            beating.cancel()
            if self._rng.random() < 0.6:
                await self._leave()
            await self._listener.stop()
            await asyncio.sleep(self._rng.uniform(*DOWN_S))
        await self._begin()

    async def stop(self) -> None:
        """Stop listening."""
        if self._listener is not None:
            await self._listener.stop()

    async def listen(self) -> None:
        """Listen again."""
        await self._listener.start()

    def has_run_since(self, since_s: float) -> bool:
        """Return whether a request has arrived since a time."""
        return any(at_s > since_s for at_s in self._arrivals.at_s)

    async def _begin(self) -> asyncio.Task:
        """Start an incarnation; return the task of its heartbeats."""
        self._past.append(self._arrivals)
        arrivals = self._arrivals = _Arrivals()

        def run() -> None:
            arrivals.record()
            self._on_run()

        listener = parts.Upstream(
            name=self.name,
            rng=random.Random(self._rng.random()),
            seen=self._seen,
            on_run=run,
        )
        if self._listener is not None:
            listener.address = self._listener.address
        self._listener = listener
        await listener.start()
        self._born_ms = time.time_ns() // 1_000_000
        return self._start(self._beat())

    async def _beat(self) -> None:
        sequence = 0
        while True:
            sequence += 1
            body = {
                'born_ms': self._born_ms,
                'sequence': sequence,
                'service': 'desk',
                'address': self._listener.address,
                'failure_domain': self._domain,
                'slots': 8,
            }
            if self._rng.random() < LATE_SHARE:
                self._start(self._report_late(body))
            else:
                await self._report(body)
            await asyncio.sleep(upgrade_fleet.HEARTBEAT_S)

    async def _report(self, body: dict) -> None:
        await self._sender.send('PUT', f'/v1/upstreams/{self.name}', body)

    async def _report_late(self, body: dict) -> None:
        await asyncio.sleep(self._rng.uniform(*LATE_S))
        await self._report(json.loads(json.dumps(body)))

    async def _leave(self) -> None:
        path = f'/v1/upstreams/{self.name}'
        if self._rng.random() < 0.3:
            path += f'?born_ms={self._born_ms}'
        self.departures += 1
        if await self._sender.send_until_acknowledged('DELETE', path):
            self._arrivals.bounds.append(
                _Bound(
                    what=f'to {self.name}, which had left',
                    from_s=time.monotonic() + DEPARTED_S + DISTURBED_S,
                )
            )
            await asyncio.sleep(self._rng.choice(SERVES_ON_S))

    def violations(self) -> list[str]:
        """Return which departures did not hold."""
        return [
            violation
            for arrivals in self._past
            for violation in arrivals.violations()
        ]
