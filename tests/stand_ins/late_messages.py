"""A control group, and peers whose messages arrive late, in virtual time.

What was acknowledged, and to whom, is compared with what is in force. A host
is asked only in ways that the oldest release which the histories are played
on has too.
"""

import asyncio
import dataclasses
import inspect

from skylarkpitch.consensus import engine
from skylarkpitch.consensus import state as consensus_state
from skylarkpitch.fleet import commands
from skylarkpitch.fleet import control_requests
from skylarkpitch.fleet import model
from skylarkpitch import sentinels
from tests.stand_ins import fleet_cluster

HOSTS = 'abc'
HEARTBEAT_S = 1.5
# Slower than by default, so that a second takes fewer messages.
TIMING = consensus_state.Timing(
    heartbeat_s=0.1, election_min_s=0.5, election_max_s=1.0
)
# So few that the hosts soon start from snapshots.
LIMITS = engine.Limits(snapshot_entries=4, retained_entries=1)
# Messages arrive late by seconds, not by more.
MAX_LATE_S = 12.0
# An address is used again this long after the end of its upstream.
REUSE_AFTER_S = 2.0
CATCH_UP_S = 6.0


@dataclasses.dataclass
class Process:
    """One start of an upstream, with what was acknowledged of it."""

    upstream_id: str
    address: str
    born_ms: int
    sequence: int = 0
    state: model.UpstreamState = model.UpstreamState.READY
    is_running: bool = True
    is_silent: bool = False
    acknowledged: bool = False
    drained_at: int | None = None
    has_left: bool = False

    def report(self):
        self.sequence += 1
        return model.Upstream(
            upstream_id=self.upstream_id,
            born_ms=self.born_ms,
            sequence=self.sequence,
            service='desk',
            address=self.address,
            failure_domain='east-a',
            slots=4,
            state=self.state,
        )


@dataclasses.dataclass(frozen=True)
class Late:
    """A message that arrives at a control host after its caller has left."""

    request: object
    sent_s: float


class History:
    """What happened so far, and what must be in force after it."""

    def __init__(self):
        self.cluster = fleet_cluster.FleetCluster(
            disk_delay_s=0.002,
            message_delay_s=0.01,
            limits=LIMITS,
            timing=TIMING,
            tolerated_disks=1,
        )
        self.processes = []
        self.late = []
        self.draining = {}
        self.has_left = {}
        self._ended_s = {}

    async def begin(self):
        await self.cluster.start(HOSTS)
        await self.cluster.wait_for_voters(len(HOSTS))
        await self.cluster.wait_until(self.leader)

    async def end(self):
        await self.cluster.stop()

    def leader(self):
        logs = self.cluster.logs.items()
        return next((name for name, log in logs if log.is_leader), None)

    def state(self):
        return self.cluster.states[self.leader()]

    @staticmethod
    def now_s():
        return asyncio.get_running_loop().time()

    def running(self, upstream_id=None):
        return [
            item
            for item in self.processes
            if item.is_running and upstream_id in (None, item.upstream_id)
        ]

    def is_free(self, address):
        ended_s = self._ended_s.get(address, float('-inf'))
        in_use = any(item.address == address for item in self.running())
        return not in_use and self.now_s() - ended_s >= REUSE_AFTER_S

    async def send(self, request, *, host):
        """Send a request until it is acknowledged, as a caller that waits."""
        await self.cluster.wait_until(self.leader)
        await self.cluster.submit_until_accepted(
            host if host in self.cluster.logs else self.leader(), request
        )

    def delay(self, request):
        self.late.append(Late(request, self.now_s()))

    async def deliver_of(self, process, *, host):
        """Let the late heartbeats of an upstream arrive, the last one first.

        What delays them is often what keeps it silent.
        """
        for number in reversed(range(len(self.late))):
            request = self.late[number].request
            if not isinstance(request, control_requests.Heartbeat):
                continue
            if request.upstream.upstream_id == process.upstream_id:
                await self.deliver(number, host=host)

    async def deliver(self, number, *, host):
        """Let one of the late messages arrive, after its caller has left."""
        message = self.late.pop(number % len(self.late))
        if self.now_s() - message.sent_s > MAX_LATE_S:
            return
        await self.cluster.wait_until(self.leader)
        name = host if host in self.cluster.logs else self.leader()
        execute = self.cluster.control_services[name].execute
        options = {}
        if 'has_caller_left' in inspect.signature(execute).parameters:
            options['has_caller_left'] = lambda: True
        await execute(message.request, **options)

    async def start(self, upstream_id, address, *, host, is_late):
        process = Process(
            upstream_id, address, born_ms=round(self.now_s() * 1000)
        )
        self.processes.append(process)
        await self.beat(process, host=host, is_late=is_late)

    async def beat(self, process, *, host, is_late=False):
        report = process.report()
        request = control_requests.Heartbeat(upstream=report)
        if is_late:
            self.delay(request)
            return
        await self.send(request, host=host)
        process.acknowledged = True
        is_draining = report.state is model.UpstreamState.DRAINING
        if is_draining and process.drained_at is None:
            process.drained_at = report.sequence

    async def drain(self, process, *, host):
        """Drain an upstream, whose last heartbeat of before is late too."""
        if process.state is model.UpstreamState.READY:
            await self.beat(process, host=host, is_late=True)
        process.state = model.UpstreamState.DRAINING
        await self.beat(process, host=host)

    async def leave(self, process, *, host, names_start):
        request = control_requests.Leave(
            upstream_id=process.upstream_id,
            born_ms=process.born_ms if names_start else None,
        )
        await self.beat(process, host=host, is_late=True)
        await self.send(request, host=host)
        process.has_left = True
        self.finish(process)

    def finish(self, process):
        process.is_running = False
        self._ended_s[process.address] = self.now_s()

    async def order(self, domain, *, draining, host, has_copy):
        """Order a drain; a copy of the order may wait at another host."""
        request = commands.SetDomainDrain(
            failure_domain=domain, draining=draining
        )
        if has_copy:
            self.delay(request)
        await self.send(request, host=host)
        self.draining[domain] = draining

    async def report(self, name, start, *, leaving, host):
        """Report an entry host, whose report of before is late too."""
        entry_host = model.EntryHost(
            name=name,
            callers_address=f'{name}:80',
            region='east',
            failure_domain='east-a',
        )
        report = control_requests.EntryReport(
            entry_host=entry_host, incarnation=f'{name}-{start}'
        )
        if leaving:
            self.delay(report)
        await self.send(_with_leaving(report, leaving), host=host)
        self.has_left[name] = leaving

    async def advance(self, seconds):
        """Let time pass, while all but the silent ones beat."""
        until_s = self.now_s() + seconds
        while (left_s := until_s - self.now_s()) > 0:
            await asyncio.sleep(min(left_s, HEARTBEAT_S))
            for process in self.running():
                if not process.is_silent:
                    await self.beat(process, host=self.leader())

    async def settle(self):
        """Return once a leader has applied all that was acknowledged."""
        while True:
            await self.cluster.wait_until(self.leader)
            log = self.cluster.logs[self.leader()]
            if not sentinels.is_absent(await log.confirm(timeout_s=2.0)):
                return

    # A new leader does not know which entry hosts have left: a late report of
    # one is in force there until it is missed.

    async def replace_leader(self):
        await self.cluster.wait_until(self.leader)
        name = self.leader()
        await self.cluster.kill(name)
        await self.cluster.wait_until(self.leader)
        await self.cluster.start(name, is_first_start=False)
        await self.cluster.wait_until(self.leader)
        self.has_left.clear()

    async def restart_all(self):
        await self.cluster.stop()
        await self.cluster.start(HOSTS, is_first_start=False)
        await self.cluster.wait_until(self.leader)
        self.has_left.clear()

    def violations(self, about):
        """Return what is in force though something later was acknowledged.

        ``about`` are the matters to judge: upstreams, domains, entry_hosts.
        """
        found = {
            'upstreams': [
                text
                for recorded in self.state().upstreams.values()
                for text in self._violations_of(recorded)
            ],
            'domains': [
                f'domain {domain} drains: {not draining}'
                for domain, draining in self.draining.items()
                if self.state().is_draining(domain) is not draining
            ],
            'entry_hosts': [
                f'entry host {name} has left'
                for name, has_left in self.has_left.items()
                if has_left and name in self.state().entry_hosts
            ],
        }
        return [text for matter in about for text in found[matter]]

    def _violations_of(self, recorded):
        name = recorded.upstream_id
        for process in self.processes:
            if process.upstream_id != name:
                continue
            if process.born_ms > recorded.born_ms:
                if process.acknowledged or process.has_left:
                    yield f'{name}: an earlier start than {process.born_ms}'
            elif process.born_ms == recorded.born_ms:
                is_ready = recorded.state is model.UpstreamState.READY
                if process.has_left:
                    yield f'{name} has left'
                elif process.drained_at is not None and is_ready:
                    yield f'{name} drains'

    async def missing(self):
        """Return which upstreams are not in use after they could be heard."""
        for process in self.running():
            process.is_silent = False
        await self.advance(CATCH_UP_S)
        recorded = self.state().upstreams
        return [
            process.upstream_id
            for process in self.running()
            if process.state is model.UpstreamState.READY
            and (
                process.upstream_id not in recorded
                or recorded[process.upstream_id].born_ms != process.born_ms
            )
        ]


def _with_leaving(report, leaving):
    """Return a report that says whether its host leaves."""
    return control_requests.EntryReport(
        entry_host=report.entry_host,
        incarnation=report.incarnation,
        leaving=leaving,
    )
