"""Random runs of the request path of a fleet, in virtual time.

Upstreams leave, want pauses, name rates, crash under a harmful request and
come back at their address; entry hosts are cut off from control, and the
leader is replaced. What the upstreams saw is checked: nothing from
a host that was told of a departure or a pause, no more than the named rate,
and no harmful request long after its third crash. No other request may be
quarantined.
"""

import asyncio
import collections
import dataclasses
import random
import time

import structlog

from tests.stand_ins import handler_fleet
from tests.stand_ins import virtual_time

__all__ = ['World', 'run']

RUN_S = 14.0
CALM_S = 2.0
CONTACT_S = 3.0
TOLD_S = 0.5
WINDOW_S = 4.0
NAMES = handler_fleet.NAMES
HOST_COUNTS = (1, 3, 8, 20)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _Notice:
    """What an upstream said from a time on, until another one."""

    began_s: float
    ended_s: float
    upstream: str
    kind: str
    value: float


class World:
    """One fleet, its disturbances and what its upstreams saw."""

    def __init__(self, *, rng: random.Random) -> None:
        self._rng = rng
        self.fleet = handler_fleet.HandlerFleet(
            hosts=rng.choice(HOST_COUNTS),
            upstreams=12,
            seed=rng.getrandbits(32),
            repeatable=rng.random() < 0.5,
        )
        self.notices: list[_Notice] = []
        self._has_been_disturbed: set[str] = set()
        self.counts: collections.Counter = collections.Counter()

    async def play(self) -> None:
        """Play a fleet for ``RUN_S``."""
        fleet = self.fleet
        await fleet.start()
        played = fleet.run_in_background(
            fleet.requests(per_s=80.0, duration_s=RUN_S)
        )
        jobs = [
            self._repeat_harmful(),
            *(self._give_notices(name) for name in self._some_upstreams()),
            self._disturb_hosts(),
        ]
        await asyncio.gather(*jobs)
        self.counts['steps'] += len(await played)
        await fleet.stop()

    def _some_upstreams(self) -> list[str]:
        return self._rng.sample(sorted(self.fleet.upstreams), 4)

    async def _repeat_harmful(self) -> None:
        ends_s = self.fleet.now_s() + RUN_S
        while self.fleet.now_s() < ends_s:
            self.fleet.run_in_background(
                self.fleet.request(handler_fleet.HARMFUL)
            )
            await asyncio.sleep(self._rng.uniform(0.2, 0.5))

    async def _give_notices(self, name: str) -> None:
        """Let one upstream say something of itself for some seconds."""
        await asyncio.sleep(self._rng.uniform(0.0, CALM_S))
        upstream = self.fleet.upstreams[name]
        kind = self._rng.choice(('rate', 'pause', 'leaving'))
        began_s = self.fleet.now_s()
        value = 0.0
        if kind == 'rate':
            value = self._rng.choice((0.5, 2.0, 3.9, 8.2))
            upstream.rows = {NAMES.max_rate: str(value)}
        elif kind == 'pause':
            value = self._rng.choice((1.0, 2.5))
            upstream.status = 503
            upstream.rows = {NAMES.retry_after: str(value), NAMES.not_run: '1'}
        else:
            upstream.rows = {NAMES.leaving: '1'}
        await asyncio.sleep(self._rng.uniform(6.0, 9.0))
        self.counts[f'notices_{kind}'] += 1
        self.notices.append(
            _Notice(
                began_s=began_s,
                ended_s=self.fleet.now_s(),
                upstream=name,
                kind=kind,
                value=value,
            )
        )
        upstream.rows, upstream.status = {}, 200
        if kind == 'leaving':
            upstream.crash('')

    async def _disturb_hosts(self) -> None:
        """Cut hosts off from control, and replace the leader."""
        ends_s = self.fleet.now_s() + RUN_S - 4.0
        while self.fleet.now_s() < ends_s:
            await asyncio.sleep(self._rng.uniform(1.0, 4.0))
            if self._rng.random() < 0.3:
                self.fleet.new_leader()
                self.counts['new_leaders'] += 1
                continue
            host = self._rng.choice(self.fleet.hosts)
            self._has_been_disturbed.add(host.name)
            host.is_connected = False
            self.counts['cuts'] += 1
            await asyncio.sleep(self._rng.uniform(0.5, 3.0))
            host.is_connected = True
            host.follow(self.fleet.state)

    def violations(self) -> list[str]:
        """Return what the upstreams saw against the rules."""
        found = [
            text
            for notice in self.notices
            for text in self._check_notice(notice)
        ]
        quarantined = sum(
            outcome.reason == 'quarantined'
            and outcome.request_id not in self.fleet.harmful_ids
            for host in self.fleet.hosts
            for outcome in host.outcomes
        )
        if quarantined:
            found.append(f'{quarantined} harmless requests quarantined')
        late = self._late_harmful()
        if late > 3:
            found.append(f'{late} harmful requests after the third crash')
        return found

    def _late_harmful(self) -> int:
        crashes = sorted(
            at_s
            for upstream in self.fleet.upstreams.values()
            for at_s, target in upstream.crashes
            if target == handler_fleet.HARMFUL
        )
        if len(crashes) < 3:
            return 0
        return sum(
            arrival.target == handler_fleet.HARMFUL
            and arrival.host not in self._has_been_disturbed
            and arrival.at_s > crashes[2] + CONTACT_S
            for arrival in self.fleet.arrivals
        )

    def _check_notice(self, notice: _Notice) -> list[str]:
        by_host = self._arrivals_by_host(notice)
        if notice.kind == 'rate':
            return self._check_rate(notice, by_host)
        found = []
        for host, times_s in by_host.items():
            told_s = times_s[0] + self.fleet.work_s + TOLD_S
            until_s = notice.ended_s
            if notice.kind == 'pause':
                until_s = min(until_s, times_s[0] + notice.value)
            late = sum(told_s < at_s < until_s for at_s in times_s)
            if late:
                found.append(f'{late} from {host} in spite of {notice}')
        return found

    def _check_rate(
        self, notice: _Notice, by_host: dict[str, list[float]]
    ) -> list[str]:
        counted = sorted(
            at_s
            for times_s in by_host.values()
            for at_s in times_s
            if at_s > times_s[0] + self.fleet.work_s + TOLD_S
            and at_s > notice.began_s + CONTACT_S
        )
        allowed = 1.5 * notice.value * WINDOW_S + 5
        for first_s in counted:
            count = sum(
                first_s <= at_s < first_s + WINDOW_S for at_s in counted
            )
            if count > allowed:
                return [f'{count} requests of {allowed} for {notice}']
        return []

    def _arrivals_by_host(self, notice: _Notice) -> dict[str, list[float]]:
        """Return when requests came while an upstream said something.

        They are listed by host and incarnation, from the first one that was
        answered: a harmful request is not.
        """
        by_host: dict[str, list[float]] = {}
        for arrival in self.fleet.arrivals:
            name = arrival.upstream.partition('.')[0]
            if name != notice.upstream:
                continue
            if not notice.began_s <= arrival.at_s <= notice.ended_s:
                continue
            key = f'{arrival.host} to {arrival.upstream}'
            if key in by_host or arrival.target != handler_fleet.HARMFUL:
                by_host.setdefault(key, []).append(arrival.at_s)
        return by_host


def run(*, seed: int, seconds: float) -> dict:
    """Run fleets from one seed for ``seconds``, one at least."""
    rng = random.Random(seed)
    stop_s = time.monotonic() + seconds
    totals: collections.Counter = collections.Counter()
    violations: list[str] = []
    before = structlog.get_config()
    structlog.configure(
        wrapper_class=structlog.make_filtering_bound_logger(50)
    )
    try:
        while not totals['runs'] or time.monotonic() < stop_s:
            world = World(rng=random.Random(rng.getrandbits(64)))
            virtual_time.run(world.play())
            totals.update(world.counts)
            totals['runs'] += 1
            violations.extend(world.violations())
    finally:
        structlog.configure(**before)
    return {**totals, 'violations': len(violations), 'seen': violations[:5]}
