"""Members of one replicated log in one process, over fake peers."""

import asyncio
import concurrent.futures
import random

from skylarkpitch.consensus import service
from skylarkpitch.consensus import state as states
from skylarkpitch import errors
from tests.stand_ins import counting_machine
from tests.stand_ins import fake_peers

TIMING = states.Timing(
    heartbeat_s=0.01, election_min_s=0.06, election_max_s=0.12
)


class InlineThreads:
    """Disk operations that run in the event loop, each after a delay."""

    def __init__(self, *, delay_s):
        self._delay_s = delay_s

    async def sync(self, function, argument):
        await asyncio.sleep(self._delay_s())
        function(argument)

    def save(self, function, *arguments):
        future = concurrent.futures.Future()
        future.set_result(function(*arguments))
        return future

    def close(self):
        pass


class LogCluster:
    """A cluster whose members are started, stopped and wiped by host name.

    With ``virtual_time`` it runs in a loop of that kind: disk operations
    take no time there, but for those of hosts with a delay in
    ``disk_delays_s``.
    """

    def __init__(
        self,
        *,
        folder,
        voters,
        others=(),
        limits=None,
        seed=1,
        virtual_time=False,
    ):
        self.voters = tuple(voters)
        self.folder = folder
        self.network = fake_peers.FakeNetwork(
            hosts=[
                fake_peers.host(name, roles=('control',))
                for name in (*voters, *others)
            ]
        )
        self.logs = {}
        self.machines = {}
        self._limits = limits
        self._rng = random.Random(seed)
        self._virtual_time = virtual_time
        self.disk_delays_s = {}

    async def start(self, *names):
        for name in names or self.voters:
            self.machines[name] = counting_machine.CountingMachine()
            self.logs[name] = service.ReplicatedLog(
                peers=self.network.join(name),
                state_machine=self.machines[name],
                data_folder=self.folder / name,
                voters=self.voters,
                rng=random.Random(self._rng.random()),
                timing=TIMING,
                limits=self._limits,
                **self._virtual_options(name),
            )
            await self.logs[name].start()

    def _virtual_options(self, name):
        if not self._virtual_time:
            return {}
        return {
            'clock': asyncio.get_running_loop().time,
            'threads': InlineThreads(
                delay_s=lambda: self.disk_delays_s.get(name, 0.0)
            ),
        }

    async def stop(self, *names):
        for name in names or tuple(self.logs):
            await self.logs.pop(name).stop()

    def wipe(self, name):
        for item in (self.folder / name).iterdir():
            item.unlink()

    def isolate(self, name):
        for other in self.network.hosts:
            if other.name != name:
                self.network.cut(name, other.name)

    async def wait_until(self, condition, timeout_s=5):
        """Wait until a condition is true; fail after ``timeout_s``."""
        async with asyncio.timeout(timeout_s):
            while not (result := condition()):
                await asyncio.sleep(0.005)
        return result

    def leader(self, *, among=None):
        for name in among or self.logs:
            if self.logs[name].status().role == 'leader':
                return name
        return None

    async def wait_for_leader(self, *, among=None):
        """Wait until a leader confirms its leadership; return its name."""
        while True:
            name = await self.wait_until(lambda: self.leader(among=among))
            if await self.logs[name].confirm(timeout_s=1):
                return name

    async def add_member(self, host):
        """Add a host as an operator does: again, until it is a member."""
        while True:
            name = await self.wait_for_leader()
            members = self.logs[name].status()
            identity = self.logs[host].status().member
            if identity in members.voters + members.learners:
                return identity
            try:
                return await self.logs[name].add_member(host)
            except errors.SkylarkError:
                await asyncio.sleep(0.01)

    async def submit(self, *commands, among=None):
        """Send commands to the leader until each is committed."""
        for command in commands:
            await self._submit(command.encode(), among)

    async def _submit(self, command, among):
        """Send a command until it is committed, exactly once.

        As with an operation id, a command with an unknown outcome is sent
        again only if it is missing from the state that a quorum confirms.
        """
        while True:
            name = await self.wait_for_leader(among=among)
            if command.decode() in self.machines[name].commands:
                return None
            try:
                return await self.logs[name].submit(command, timeout_s=1)
            except (errors.NotLeaderError, errors.UncertainError):
                continue
