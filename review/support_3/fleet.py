"""A small deployment with its servers, ready to serve."""

import asyncio
import contextlib
import json
import signal
import time

from support_3 import deployment as deployments
from support_3 import http
from support_3 import operator
from support_3 import server as servers

__all__ = ['Fleet', 'running']

SERVICE = 'kiln-planner'
# Two in the zone of the clients.
SERVER_ZONES = ('seoul-a', 'busan-a', 'gwangju-a', 'busan-a')
SETTLE_S = 1.0


class Fleet:
    """Processes of the system and servers, as clients find them."""

    def __init__(
        self,
        *,
        context,
        bounds: dict,
        work: servers.Work,
        zones: tuple[str, ...],
    ) -> None:
        self.log = context.log
        self.has_trouble = context.has_trouble
        self.deployment = deployments.Deployment(
            folder=context.folder, bounds=bounds
        )
        self.controls = [
            self.deployment.address(machine, deployments.CONTROL)
            for machine in self.deployment.controls
        ]
        self.servers = [
            servers.Server(
                server_id=f'i-{number}',
                service=SERVICE,
                address=(self.deployment.server_ip(number), 0),
                zone=zone,
                controls=self.controls,
                work=work,
                log=context.log,
            )
            for number, zone in enumerate(zones)
        ]

    @property
    def ran(self) -> list[str]:
        """Return the ids of all runs, of all servers."""
        return [name for server in self.servers for name in server.ran]

    async def start(self, configuration: dict, *, contact_s: float) -> None:
        """Start everything; return once all machines are in touch."""
        self.deployment.start_all()
        is_accepted = await operator.put(self.controls, configuration)
        for server in self.servers:
            await server.start()
        ready = [
            await operator.wait_until(
                self.deployment.address(machine, deployments.READY), '/readyz'
            )
            for machine in self.deployment.entries
        ]
        self.log.write(f'configuration accepted={is_accepted} ready={ready}')
        if not is_accepted or not all(ready):
            raise deployments.Problem('the deployment is not ready')
        await asyncio.sleep(contact_s + SETTLE_S)

    async def look_up(self) -> list[tuple[str, int]]:
        """Return the addresses that the directory names for a client."""
        target = f'/resolve?Name={operator.HOST}&Region=yeongnam&Zone=busan-a'
        for machine in self.deployment.controls:
            address = self.deployment.address(machine, deployments.DIRECTORY)
            answer = await http.call(address, 'GET', target)
            if answer is not None and answer.status == 200:
                pairs = [
                    text.rpartition(':')
                    for text in json.loads(answer.body)['Addrs']
                ]
                return [(ip, int(port)) for ip, _colon, port in pairs]
        return []

    async def stop_as_planned(self, number: int, *, grace_s: float) -> float:
        """Send an entry host SIGTERM, then SIGKILL after ``grace_s``.

        Returns when; without the trouble nothing is sent.
        """
        machine = self.deployment.entries[number]
        stopped_s = time.monotonic()
        if not self.has_trouble:
            return stopped_s
        self.log.write(f'SIGTERM {machine.name} at {machine.ip}')
        machine.send(signal.SIGTERM)
        while machine.process.poll() is None:
            if time.monotonic() - stopped_s > grace_s:
                self.log.write(f'SIGKILL {machine.name}')
                machine.send(signal.SIGKILL)
            await asyncio.sleep(0.02)
        took_s = time.monotonic() - stopped_s
        self.log.write(f'{machine.name} ended {took_s:.2f} s later')
        return stopped_s

    async def start_again(self, number: int) -> None:
        """Start an entry host that was stopped; return once it is ready."""
        machine = self.deployment.entries[number]
        if self.has_trouble:
            self.deployment.start(machine, bootstrap=False)
        address = self.deployment.address(machine, deployments.READY)
        if not await operator.wait_until(address, '/readyz'):
            raise deployments.Problem(f'{machine.name} is not ready again')

    async def stop(self) -> None:
        """End every process and server."""
        for server in self.servers:
            await server.stop()
        self.deployment.end_all()


@contextlib.asynccontextmanager
async def running(
    context,
    *,
    configuration: dict,
    bounds: dict,
    contact_s: float,
    work: servers.Work,
    zones: tuple[str, ...] = SERVER_ZONES,
):
    """Run a fleet while the context lasts."""
    fleet = Fleet(context=context, bounds=bounds, work=work, zones=zones)
    try:
        await fleet.start(configuration, contact_s=contact_s)
        yield fleet
    finally:
        await fleet.stop()
