"""Control hosts of a fleet within one test, over fake peers."""

import asyncio
import random

from skylarkpitch.consensus import service as consensus
from skylarkpitch.consensus import state as consensus_state
from skylarkpitch.fleet import keeper as keepers
from skylarkpitch.fleet import membership as memberships
from skylarkpitch.fleet import state as fleet_state
from tests.stand_ins import fake_peers

TIMING = consensus_state.Timing(
    heartbeat_s=0.02, election_min_s=0.2, election_max_s=0.4
)
DEADLINE_S = 20


class FleetCluster:
    """Start, stop and wipe control hosts by name; the seeds are a, b, c."""

    def __init__(self, *, folder, names='abcdef', seeds='abc'):
        self.folder = folder
        self.seeds = tuple(seeds)
        self.network = fake_peers.FakeNetwork(
            hosts=[fake_peers.host(name, roles=()) for name in names]
        )
        self.logs = {}
        self.states = {}
        self.keepers = {}
        self.memberships = {}
        self._rng = random.Random(1)

    async def start(self, names, *, is_first_start=True, seeds=None):
        for name in names:
            peers = self.network.join(name)
            state = self.states[name] = fleet_state.FleetState()
            told = tuple(seeds or self.seeds)
            log = self.logs[name] = consensus.ReplicatedLog(
                peers=peers,
                state_machine=state,
                data_folder=self.folder / name,
                voters=told,
                may_bootstrap=is_first_start,
                is_control=lambda name: True,
                rng=random.Random(self._rng.random()),
                on_applied=lambda name=name: self._applied(name),
                timing=TIMING,
            )
            member = self.memberships[name] = memberships.Membership(
                peers=peers,
                log=log,
                seeds=lambda told=told: told,
                tolerated_disks=2,
            )
            self.keepers[name] = keepers.Keeper(
                peers=peers,
                log=log,
                membership=member,
                state=state,
                heartbeat_s=1.5,
                region_of=lambda domain: domain[:4],
            )
            await log.start()
            await member.start()
            await self.keepers[name].start()

    def _applied(self, name):
        if name in self.keepers:
            self.keepers[name].note_applied()

    async def stop(self, names=None):
        for name in names or tuple(self.logs):
            await self.keepers.pop(name).stop()
            await self.memberships.pop(name).stop()
            await self.logs.pop(name).stop()

    def wipe(self, name):
        for item in (self.folder / name).iterdir():
            item.unlink()

    async def until(self, condition):
        """Wait until a condition holds; fail after a generous bound."""
        async with asyncio.timeout(DEADLINE_S):
            while not (result := condition()):
                await asyncio.sleep(0.01)
        return result

    async def grown(self, count):
        """Wait until every host that runs knows so many voters."""

        def has_grown():
            return all(
                len(log.status().voters) == count
                and log.identity in log.status().voters
                for log in self.logs.values()
            )

        await self.until(has_grown)

    async def accepted(self, name, order):
        """Send an order to a host until it is accepted."""
        async with asyncio.timeout(DEADLINE_S):
            while True:
                outcome = await self.keepers[name].order(order)
                if outcome.outcome == 'accepted':
                    return outcome
                await asyncio.sleep(0.02)
