"""Control hosts of a fleet in one process, connected by fake peers."""

import asyncio
import functools
import pathlib
import random
import time

from skylarkpitch.consensus import service as consensus
from skylarkpitch.consensus import state as consensus_state
from skylarkpitch.fleet import control_service as control_services
from skylarkpitch.fleet import group
from skylarkpitch.fleet import membership as memberships
from skylarkpitch.fleet import state as fleet_state
from tests.stand_ins import fake_peers
from tests.stand_ins import log_cluster
from tests.stand_ins import memory_folder

TIMING = consensus_state.Timing(
    heartbeat_s=0.02, election_min_s=0.2, election_max_s=0.4
)
DEADLINE_S = 20
CATCH_UP_S = 4.0


class FleetCluster:
    """Start, stop and wipe control hosts by name.

    The default seeds are a, b and c. With a ``disk_delay_s`` it runs in a
    loop with virtual time: each sync takes that long, and each message
    ``message_delay_s``; ``disk_delays_s`` has other delays by host.
    ``clock_steps_s`` has what the time of day of a host is ahead, and
    ``current_seeds`` has the seeds of hosts whose settings have changed, and
    ``limits`` are those of the logs. Without a ``folder`` the disks of the
    hosts are in memory.
    """

    def __init__(
        self,
        *,
        folder=None,
        names='abcdef',
        seeds='abc',
        timing=TIMING,
        message_delay_s=0.0,
        disk_delay_s=None,
        tolerated_disks=2,
        limits=None,
        network=None,
    ):
        self.folder = folder
        self.seeds = tuple(seeds)
        self.network = network or fake_peers.FakeNetwork(
            hosts=[fake_peers.host(name, roles=()) for name in names],
            delay_s=message_delay_s,
        )
        self._timing = timing
        self._disk_delay_s = disk_delay_s
        self._limits = limits
        self.disk_delays_s = {}
        self.clock_steps_s = {}
        self.current_seeds = {}
        self._disks = {}
        self.tolerated_disks = tolerated_disks
        self.logs = {}
        self.states = {}
        self.control_services = {}
        self.memberships = {}
        self._rng = random.Random(1)

    async def start(self, names, *, is_first_start=True, seeds=None):
        for name in names:
            peers = self.network.join(name)
            state = self.states[name] = fleet_state.FleetState()
            seed_names = tuple(seeds or self.seeds)
            log = self.logs[name] = consensus.ReplicatedLog(
                peers=peers,
                state_machine=state,
                data_folder=(self.folder or pathlib.Path()) / name,
                folder=self._disk(name),
                voters=seed_names,
                may_bootstrap=is_first_start,
                may_give_up_voter=True,
                is_control=lambda name: True,
                rng=random.Random(self._rng.random()),
                on_applied=lambda name=name: self._applied(name),
                timing=self._timing,
                may_promote=functools.partial(
                    group.may_promote, tolerated=self.tolerated_disks
                ),
                limits=self._limits,
                **self._log_options(name),
            )
            member = self.memberships[name] = memberships.Membership(
                peers=peers,
                log=log,
                seeds=lambda name=name, names=seed_names: (
                    self.current_seeds.get(name, names)
                ),
                tolerated_disks=self.tolerated_disks,
                catch_up_s=CATCH_UP_S,
                clock=self._clock(),
            )
            self.control_services[name] = control_services.ControlService(
                peers=peers,
                log=log,
                membership=member,
                state=state,
                heartbeat_s=1.5,
                region_of=lambda domain: domain[:4],
                clock=self._clock(),
                running_clock=self._clock(),
                unix_clock_ms=lambda name=name: self._unix_ms(name),
            )
            await log.start()
            await member.start()
            await self.control_services[name].start()

    def _disk(self, name):
        if self.folder is not None:
            return None
        return self._disks.setdefault(
            name, memory_folder.MemoryFolder(rng=self._rng)
        )

    def _clock(self):
        if self._disk_delay_s is None:
            return time.monotonic
        return asyncio.get_running_loop().time

    def _unix_ms(self, name):
        seconds = time.time()
        if self._disk_delay_s is not None:
            seconds = asyncio.get_running_loop().time()
        return round((seconds + self.clock_steps_s.get(name, 0.0)) * 1000)

    def _log_options(self, name):
        if self._disk_delay_s is None:
            return {}
        return {
            'clock': self._clock(),
            'threads': log_cluster.InlineThreads(
                delay_s=lambda: self.disk_delays_s.get(
                    name, self._disk_delay_s
                )
            ),
        }

    def _applied(self, name):
        if name in self.control_services:
            self.control_services[name].notify_applied()

    async def stop(self, names=None):
        for name in names or tuple(self.logs):
            await self.control_services.pop(name).stop()
            await self.memberships.pop(name).stop()
            await self.logs.pop(name).stop()

    async def kill(self, name):
        """End a host without any message to the others."""
        self.network.leave(name)
        await self.stop(name)

    def wipe(self, name):
        self._disks.pop(name, None)
        if self.folder is None:
            return
        for item in (self.folder / name).iterdir():
            item.unlink()

    async def wait_until(self, condition):
        """Wait until a condition is true; fail after ``DEADLINE_S``."""
        async with asyncio.timeout(DEADLINE_S):
            while not (result := condition()):
                await asyncio.sleep(0.01)
        return result

    async def wait_for_voters(self, count):
        """Wait until every running host is one of ``count`` voters."""

        def all_are_voters():
            return all(
                len(log.status().voters) == count
                and log.identity in log.status().voters
                for log in self.logs.values()
            )

        await self.wait_until(all_are_voters)

    async def submit_until_accepted(self, name, request):
        """Submit a control request to a host until it is accepted."""
        async with asyncio.timeout(DEADLINE_S):
            while True:
                outcome = await self.control_services[name].execute(request)
                if outcome.outcome == 'accepted':
                    return outcome
                await asyncio.sleep(0.02)
