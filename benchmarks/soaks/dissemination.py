"""Run fleets through random faults in virtual time.

In each round the hosts' clocks deviate by up to the drift allowance, and the
network loses, duplicates and reorders messages. Random steps push
configurations, issue and withdraw keys, partition and heal the network, and
crash and restart hosts. After each step every host is checked: its version
never decreases, restarts included, and it refuses each withdrawn key once the
lease is over. At the end of a round the network is healed and all hosts must
have the same state.
"""

import asyncio
import collections
import json
import random
import time

from skylarkpitch.config import commands
from tests.stand_ins import control_fleet
from tests.stand_ins import virtual_time

__all__ = ['run']

LEASE_S = 5.0
DRIFT = 0.0099
STEPS_PER_ROUND = 150
CONVERGENCE_S = 15.0


def run(*, seed: int, seconds: float) -> dict:
    """Return the counts of as many rounds as fit into ``seconds``."""
    counts: collections.Counter[str] = collections.Counter(
        steps=0, violations=0, rounds=0, crashes=0, withdrawals=0, checks=0
    )
    ends_at_s = time.monotonic() + seconds
    while counts['rounds'] == 0 or time.monotonic() < ends_at_s:
        fault_round = _Round(seed=f'{seed}/{counts["rounds"]}', counts=counts)
        virtual_time.run(fault_round.run_steps())
        counts['rounds'] += 1
    return dict(counts)


class _Round:
    def __init__(self, *, seed, counts):
        self._rng = random.Random(seed)
        self._counts = counts
        self._seed = seed
        self._keys = []
        self._withdrawn = []
        self._served_versions = collections.Counter()

    async def run_steps(self):
        rng = self._rng
        hosts = control_fleet.mueso_hosts(entry_hosts=rng.randint(6, 14))
        self._fleet = control_fleet.Fleet(
            hosts=hosts,
            seed=rng.random(),
            delay_s=rng.choice([0.001, 0.02, 0.055]),
            rates={h.name: 1 + rng.uniform(-DRIFT, DRIFT) for h in hosts},
            loss_probability=rng.choice([0.0, 0.02, 0.2]),
            duplication_probability=rng.choice([0.0, 0.1]),
            jitter_s=rng.choice([0.0, 0.05, 0.8]),
        )
        await self._fleet.start()
        await self._fleet.push()
        for _ in range(STEPS_PER_ROUND):
            await rng.choice(_STEPS)(self)
            await asyncio.sleep(rng.choice([0.0, 0.1, 0.5, 2.0]))
            self._check()
            self._counts['steps'] += 1
        await self._check_convergence()
        await self._fleet.stop()

    async def _push(self):
        if not self._ensure_leader():
            return
        value = self._rng.randint(1, 5000) / 100
        overlay = {'services': {'status-desk': {'queue_s': value}}}
        await self._fleet.commit(
            commands.PushOverlay,
            against_version=self._state().config_version,
            site=self._rng.choice(sorted(control_fleet.OVERLAYS)),
            overlay_json=json.dumps(overlay),
        )

    async def _issue(self):
        if self._ensure_leader():
            self._keys.append(await self._fleet.issue())

    async def _withdraw(self):
        if not self._keys or not self._ensure_leader():
            return
        index = self._rng.randrange(len(self._keys))
        key = self._keys.pop(index)
        await self._fleet.withdraw(key)
        self._withdrawn.append((key, self._now_s()))
        self._counts['withdrawals'] += 1

    async def _partition(self):
        names = list(self._fleet.hosts)
        self._rng.shuffle(names)
        first, second = sorted(self._rng.choices(range(len(names)), k=2))
        self._fleet.split(names[:first], names[first:second])

    async def _heal(self):
        self._fleet.heal()

    async def _crash(self):
        name = self._rng.choice(sorted(self._fleet.hosts))
        self._counts['crashes'] += 1
        await self._fleet.stop_host(name)
        await asyncio.sleep(self._rng.choice([0.0, 1.0, 8.0]))
        await self._fleet.start_host(name)

    def _ensure_leader(self):
        """Return whether a leader has a majority; elect one if needed."""
        log = self._fleet.log
        if log.has_majority(log.leader):
            return True
        for name in self._fleet.control:
            if log.has_majority(name):
                self._fleet.elect(name)
                return True
        return False

    def _state(self):
        return self._fleet.states[self._fleet.log.leader]

    def _now_s(self):
        return asyncio.get_running_loop().time()

    def _check(self):
        now_s = self._now_s()
        for name, follower in self._fleet.followers.items():
            self._counts['checks'] += 1
            if not follower.site_config():
                continue
            version = follower.version
            self._expect(
                version >= self._served_versions[name],
                f'{name} served an older version',
            )
            self._served_versions[name] = max(
                self._served_versions[name], version
            )
            violations = follower.counters()['invariant_violations']
            self._expect(violations == 0, f'{name} rejected a response')
        for key, withdrawn_at_s in self._withdrawn:
            if now_s >= withdrawn_at_s + LEASE_S:
                results = self._fleet.authenticate(key).values()
                self._expect(
                    'daegu-pans' not in results,
                    'withdrawn key accepted after the lease',
                )

    async def _check_convergence(self):
        self._fleet.network.loss_probability = 0.0
        self._fleet.network.jitter_s = 0.0
        self._fleet.heal()
        await asyncio.sleep(CONVERGENCE_S)
        self._check()
        self._ensure_leader()
        version = self._state().version
        for name, follower in self._fleet.followers.items():
            self._expect(
                follower.version == version,
                f'{name} has version {follower.version}, not {version}',
            )
        for key in self._keys:
            results = set(self._fleet.authenticate(key).values())
            self._expect(
                results == {'daegu-pans'},
                f'results for a valid key: {results}',
            )

    def _expect(self, condition, message):
        if not condition:
            self._counts['violations'] += 1
            print(f'dissemination seed {self._seed}: {message}', flush=True)


_STEPS = (
    _Round._push,
    _Round._push,
    _Round._issue,
    _Round._withdraw,
    _Round._partition,
    _Round._heal,
    _Round._crash,
)
