"""Random faults on a fleet whose control hosts are replaced for good.

Six control hosts in three regions tolerate two losses. Beside the faults of
``benchmarks.process_soak``, control hosts, often the leader, are replaced by
empty ones with other addresses, links to control hosts are harmed, failure
domains drained and keys withdrawn. All entry hosts are asked all the time
which configuration is in force. The last line is a JSON object.
"""

import asyncio
from collections.abc import Callable
import functools
import pathlib
import random
import shutil
import time

import click

from benchmarks import link_proxy
from benchmarks import process_soak
from benchmarks import process_soak_checks as checks
from benchmarks import process_soak_fleet as fleets
from benchmarks import process_soak_orders as orders
from benchmarks import process_soak_parts as parts
from benchmarks import process_soak_plays as plays
from benchmarks import process_soak_probes as probes
from benchmarks import process_soak_versions as process_versions

__all__ = ['RegionSoak', 'main']

SUCCESSOR_AFTER_S = (0.7, 1.3)
ROUND_S = (4.0, 10.0)
FIRST_ROUND_S = (0.5, 1.5)
ENTRY_PAUSE_S = (0.5, 3.0)
UPSTREAM_PAUSE_S = (0.1, 1.2)
BETWEEN_LOSSES_S = (0.0, 2.0)
HARM_S = (0.5, 3.0)
READ_PAUSE_S = (0.1, 0.5)
DELAY_S = (0.005, 0.08)
LONG_PAUSE_S = (2.7, 5.0)
LONG_PAUSE_SHARE = 0.4
LEADER_SHARE = 0.5
# For the first hosts of one region, so that both are replaced.
REGION_SHARE = 0.5
FIRST_REPLACE_SHARE = 0.85
REPLACE_SHARE = 0.3
# Links are harmed as often as this number of other faults.
HARM_WEIGHT = 4
LEAVING_UPSTREAMS = 3
# Longer than an upstream is left alone after failures.
ALONE_S = 12.0


class RegionSoak(process_soak.Soak):
    """One fleet in three regions and the random faults of one seed."""

    domains = fleets.DOMAINS
    calm_s = 7.0

    def __init__(
        self,
        *,
        seed: int,
        folder: pathlib.Path,
        entries_per_domain: int = 1,
        root: pathlib.Path = process_soak.ROOT,
    ) -> None:
        self._root = root
        self._entries_per_domain = entries_per_domain
        self._fleet_rng = random.Random(seed)
        self._lost_until_s: dict[str, float] = {}
        self._frozen: set[str] = set()
        sender = orders.Sender(
            rng=random.Random(seed + 0.5),
            controls=lambda: {
                name: self._fleet.addresses[name]
                for name in self._fleet.controls()
            },
            frozen=lambda: self._frozen,
            freeze=self._freeze_if_allowed,
        )
        self._sender = sender
        self._drains = orders.DrainOrders(
            rng=random.Random(seed + 0.25),
            sender=sender,
            domains=self.domains,
        )
        self._leaving: list[orders.LeavingUpstream] = []
        self._unused: list[str] = []
        self.versions = process_versions.Versions()
        super().__init__(seed=seed, folder=folder)
        self._region = self._rng.choice(fleets.REGION_NAMES)

    def _create_fleet(self, folder: pathlib.Path) -> fleets.RegionFleet:
        return fleets.RegionFleet(
            root=self._root,
            folder=folder,
            entries_per_domain=self._entries_per_domain,
            rng=self._fleet_rng,
        )

    def found(self) -> list[str]:
        return [
            *self.versions.found,
            *self._drains.violations(),
            *(
                violation
                for upstream in self._leaving
                for violation in upstream.violations()
            ),
            *(f'{name} gets nothing, though alone' for name in self._unused),
        ]

    async def _after_calm(self, upstreams: list) -> None:
        """Let each upstream that had left be the only one that listens."""
        others = [*upstreams, *self._leaving]
        for upstream in others:
            await upstream.stop()
        caller = parts.Caller(
            rng=random.Random(self._rng.random()),
            seen=checks.Observations(),
            addresses=[self._fleet.addresses[n] for n in self._entries()],
        )
        for upstream in self._leaving:
            since_s = time.monotonic()
            await upstream.listen()
            while not upstream.has_run_since(since_s):
                await caller.call()
                if time.monotonic() - since_s > ALONE_S:
                    self._unused.append(upstream.name)
                    break
            await upstream.stop()
        caller.close()

    def _on_run_in(self, domain: str) -> Callable[[], None]:
        return functools.partial(self._drains.arrived, domain)

    def _add_leaving(self, stack) -> None:
        for number in range(LEAVING_UPSTREAMS):
            domain = self.domains[number]
            upstream = orders.LeavingUpstream(
                name=f'leaving{number}',
                domain=domain,
                rng=random.Random(self._rng.random()),
                seen=self.seen,
                sender=self._sender,
                start=self._start,
                on_run=self._on_run_in(domain),
            )
            stack.push_async_callback(upstream.stop)
            self._leaving.append(upstream)

    async def _bring_up(self, stack) -> list:
        for name in self._fleet.addresses:
            self.versions.started(name)
        upstreams = await super()._bring_up(stack)
        self._fleet.is_first_start = False
        for name in self._entries():
            self._start(
                probes.probe_forever(
                    name=name,
                    address=self._fleet.addresses[name],
                    versions=self.versions,
                    rng=random.Random(self._rng.random()),
                )
            )
        self._start(self._read_forever())
        self._add_leaving(stack)
        return upstreams

    async def _read_forever(self) -> None:
        while True:
            await asyncio.sleep(self._rng.uniform(*READ_PAUSE_S))
            await self._read(self._rng.choice(self._fleet.controls()))

    def _configuration(self, version: int) -> dict:
        return probes.configuration(version)

    async def _change(self) -> None:
        self.versions.sent(self._version + 1, now_s=time.monotonic())
        await super()._change()
        self.versions.acknowledged(self._version, now_s=time.monotonic())

    async def _change_until(self, ends_s: float) -> None:
        while time.monotonic() < ends_s:
            await self._change()
            for _number in range(3):
                await self._read(self._rng.choice(self._fleet.controls()))
            pause_s = process_soak.OPERATOR_PAUSE_S
            if self._rng.random() < LONG_PAUSE_SHARE:
                pause_s = LONG_PAUSE_S
            await asyncio.sleep(self._rng.uniform(*pause_s))

    async def _disturb_until(self, ends_s: float, upstreams) -> None:
        await asyncio.gather(
            self._disturb_controls(ends_s),
            self._disturb_entries(ends_s),
            self._disturb_upstreams(ends_s, upstreams),
            self._drains.order_until(ends_s),
            *(upstream.live_until(ends_s) for upstream in self._leaving),
        )
        self.counts['orders'] = self._drains.orders
        self.counts['orders_resent'] = self._sender.resent
        self.counts['departures'] = sum(
            upstream.departures for upstream in self._leaving
        )
        self.counts.update(self.versions.counts)

    async def _disturb_upstreams(self, ends_s: float, upstreams) -> None:
        while time.monotonic() < ends_s:
            self._rng.choice(upstreams).change()
            await asyncio.sleep(self._rng.uniform(*UPSTREAM_PAUSE_S))

    async def _disturb_entries(self, ends_s: float) -> None:
        running = []
        faults = (self._kill, self._freeze, self._stop)
        while time.monotonic() < ends_s:
            await asyncio.sleep(self._rng.uniform(*ENTRY_PAUSE_S))
            name = self._rng.choice(self._entries())
            if name not in self._busy:
                running.append(self._begin(self._rng.choice(faults), name))
        await asyncio.gather(*running)

    async def _disturb_controls(self, ends_s: float) -> None:
        """Play rounds of one or several losses, with calm between them."""
        running = []
        await asyncio.sleep(self._rng.uniform(*FIRST_ROUND_S))
        while time.monotonic() < ends_s:
            next_s = time.monotonic() + self._rng.uniform(*ROUND_S)
            for number in range(self._rng.choice((1, 1, 2, 3))):
                if (name := self._next_control()) is not None:
                    fault = self._next_fault(is_first=number == 0)
                    running.append(self._begin(fault, name))
                await asyncio.sleep(self._rng.uniform(*BETWEEN_LOSSES_S))
            await asyncio.sleep(max(0.0, next_s - time.monotonic()))
        await asyncio.gather(*running)

    def _freeze_if_allowed(self, name: str) -> None:
        """Let a control host stand still, unless too many are lost."""
        lost = self._lost()
        if name not in lost and len(lost) < fleets.TOLERATED:
            self._begin(self._freeze, name)

    def _lost(self) -> set[str]:
        """Return the control hosts that count as lost now."""
        now_s = time.monotonic()
        lost = {name for name in self._busy if name.startswith('control')}
        return lost | {
            name for name, at_s in self._lost_until_s.items() if at_s > now_s
        }

    def _next_control(self) -> str | None:
        """Return a control host that may be lost now, or None."""
        lost = self._lost()
        if len(lost) >= fleets.TOLERATED:
            return None
        free = [name for name in self._fleet.controls() if name not in lost]
        first = [
            name
            for name in self._fleet.first_controls(self._region)
            if name in free
        ]
        if first and self._rng.random() < REGION_SHARE:
            return self._rng.choice(first)
        leader = self._fleet.leader()
        if leader in free and self._rng.random() < LEADER_SHARE:
            return leader
        return self._rng.choice(free)

    def _next_fault(self, *, is_first: bool):
        if not self.counts['replace']:
            return self._replace
        share = FIRST_REPLACE_SHARE if is_first else REPLACE_SHARE
        if self._rng.random() < share:
            return self._replace
        faults = (self._kill, self._freeze, self._stop, self._empty)
        return self._rng.choice((*faults, *HARM_WEIGHT * (self._harm,)))

    def _begin(self, fault, name: str) -> asyncio.Task:
        self.counts[fault.__name__.strip('_')] += 1
        self._busy.add(name)
        self.versions.disturb(name)
        return self._start(self._play(fault, name))

    async def _play(self, fault, name: str) -> None:
        try:
            await super()._play(fault, name)
        finally:
            self.versions.calm(name, now_s=time.monotonic())

    async def _restart(self, name: str) -> None:
        await super()._restart(name)
        self.versions.started(name)

    async def _freeze(self, name: str) -> None:
        self._frozen.add(name)
        try:
            await super()._freeze(name)
        finally:
            self._frozen.discard(name)

    async def _empty(self, name: str) -> None:
        self._fleet.processes[name].kill()
        await asyncio.to_thread(self._fleet.processes[name].wait)
        shutil.rmtree(self._folder / name, ignore_errors=True)
        await self._restart(name)
        self._lose(name)

    async def _replace(self, name: str) -> None:
        process = self._fleet.processes[name]
        process.kill()
        await asyncio.to_thread(process.wait)
        self._fleet.remove(name)
        await asyncio.sleep(self._rng.uniform(*SUCCESSOR_AFTER_S))
        successor = self._fleet.add_successor(name)
        self._fleet.start(successor, 'new')
        self._lose(successor)
        region = self._fleet.first_controls(self._region)
        if not set(region) & set(self._fleet.controls()):
            self.counts['after_region_replaced'] += 1

    def _lose(self, name: str) -> None:
        """Count an empty host as lost until it has caught up."""
        self._lost_until_s[name] = time.monotonic() + fleets.CATCH_UP_S

    async def _harm(self, name: str) -> None:
        kind = self._rng.choice(link_proxy.HARMS)
        self.counts[kind] += 1
        delay_s = self._rng.uniform(*DELAY_S)
        self._fleet.harm_links(name, kind, delay_s=delay_s)
        try:
            await asyncio.sleep(self._rng.uniform(*HARM_S))
        finally:
            self._fleet.harm_links(name, None)


@click.command()
@click.option('--seed', default=1, show_default=True)
@click.option('--seeds', default=1, show_default=True, help='How many.')
@click.option('--seconds', default=20.0, show_default=True)
@click.option(
    '--entries', default=1, show_default=True, help='In a failure domain.'
)
@click.option('--keep-logs', type=click.Path(path_type=pathlib.Path))
@click.option(
    '--root',
    type=click.Path(path_type=pathlib.Path),
    default=process_soak.ROOT,
    help='Checkout whose processes run.',
)
def main(
    seed: int,
    seeds: int,
    seconds: float,
    entries: int,
    keep_logs: pathlib.Path | None,
    root: pathlib.Path,
) -> None:
    """Play random faults, one fleet for each seed from SEED on."""
    plays.play_seeds(
        lambda number, folder: RegionSoak(
            seed=number,
            folder=folder,
            entries_per_domain=entries,
            root=root,
        ),
        numbers=range(seed, seed + seeds),
        seconds=seconds,
        keep_logs=keep_logs,
    )


if __name__ == '__main__':
    main()
