"""Simulated upstreams: small HTTP servers with slots and faults.

One process serves many upstreams, each on its own port, and announces them.
On exit it prints its counts as one JSON line. A request with the header
``Stand-In-Crash`` makes the upstream close the connection while running it.
"""

import asyncio
from collections import Counter
import contextlib
import dataclasses
import hashlib
import json
import signal
import sys
import time

import aiohttp
from aiohttp import web
import click

from skylarkpitch.membership import announcer as announcers


@dataclasses.dataclass(slots=True, kw_only=True)
class Plan:
    """Fixed properties of one upstream."""

    name: str
    service: str
    slots: int = 8
    connections: int = 360
    work_s: float = 0.01
    cold_work_s: float = 0.0
    cold_s: float = 0.0
    healthy: bool = True
    load_percent: float | None = None


class Upstream:
    """Simulated upstream that counts requests, overload and key leaks."""

    def __init__(self, *, plan, entries, token, clock=time.monotonic):
        self.plan = plan
        self.clock = clock
        self.started_s = clock()
        self.running = 0
        self.peak = 0
        self.runs = Counter()
        self.key_leaks = 0
        self.overload = 0
        self.crashed = False
        self.last_run_s = 0.0
        self.instance = hashlib.sha256(
            f'{plan.name}{self.started_s}'.encode()
        ).hexdigest()[:16]
        self.announcer = announcers.Announcer(urls=entries, now_s=clock())
        self._token = token
        self._url = None

    async def start(self):
        application = web.Application(client_max_size=64 * 1024 * 1024)
        application.router.add_route('*', '/{path:.*}', self.handle)
        self._runner = web.AppRunner(application, access_log=None)
        await self._runner.setup()
        site = web.TCPSite(self._runner, '127.0.0.1', 0)
        await site.start()
        port = site._server.sockets[0].getsockname()[1]
        self._url = f'http://127.0.0.1:{port}'

    async def stop(self):
        await self._runner.cleanup()

    async def handle(self, request):
        if 'Skylark-Key' in request.headers:
            self.key_leaks += 1
        if self.running >= self.plan.slots:
            self.overload += 1
            return web.Response(status=503, text='shed')
        self.running += 1
        self.peak = max(self.peak, self.running)
        self.last_run_s = self.clock()
        try:
            return await self._work(request)
        finally:
            self.running -= 1

    async def _work(self, request):
        body = await request.read()
        operation = request.headers.get('Idempotency-Key')
        if operation and request.method not in ('GET', 'HEAD'):
            self.runs[operation] += 1
        if 'Stand-In-Crash' in request.headers:
            request.transport.abort()
            await asyncio.sleep(0)
        work_s = float(request.headers.get('Stand-In-Work-S', self._work_s()))
        await asyncio.sleep(work_s)
        return web.json_response(
            {
                'upstream': self.plan.name,
                'service': self.plan.service,
                'organisation': request.headers.get('Skylark-Organisation'),
                'echo': request.headers.get('Stand-In-Echo'),
                'path': request.path_qs,
                'body_sha256': hashlib.sha256(body).hexdigest(),
            }
        )

    def _work_s(self):
        if self.clock() - self.started_s < self.plan.cold_s:
            return self.plan.cold_work_s
        return self.plan.work_s

    def announcement(self, attempt):
        load = self.plan.load_percent
        if load is None:
            load = 100 * self.running / self.plan.slots
        return {
            'name': self.plan.name,
            'service': self.plan.service,
            'url': self._url,
            'slots': self.plan.slots,
            'connections': self.plan.connections,
            'instance': self.instance,
            'load_percent': load,
            'healthy': self.plan.healthy,
            'previous_owner': attempt.previous_owner,
            'previous_owner_age_s': attempt.previous_owner_age_s,
            'echo': attempt.echo,
        }

    async def announce(self, session):
        """Announce once and process the response."""
        attempt = self.announcer.start_attempt(now_s=self.clock())
        try:
            async with session.post(
                f'{attempt.url}/skylark/v1/upstreams/announce',
                json=self.announcement(attempt),
                headers={'Skylark-Announce-Token': self._token},
            ) as response:
                answer = await response.json()
        except (aiohttp.ClientError, TimeoutError, ValueError):
            self.announcer.record_failure(now_s=self.clock())
            return
        now_s = self.clock()
        if response.status == 200:
            self.announcer.record_response(answer, now_s=now_s)
        elif answer.get('retry_after_s') is not None:
            self.announcer.record_refusal(answer['retry_after_s'], now_s=now_s)
        else:
            self.announcer.record_failure(now_s=now_s)

    async def announce_regularly(self, session):
        while True:
            await self.announce(session)
            wait_s = self.announcer.next_attempt_s - self.clock()
            await asyncio.sleep(max(0.02, wait_s))

    async def leave(self, session):
        await session.post(
            f'{self.announcer.url}/skylark/v1/upstreams/leave',
            json={'name': self.plan.name, 'instance': self.instance},
            headers={'Skylark-Announce-Token': self._token},
        )

    def counts(self):
        return {
            'name': self.plan.name,
            'peak': self.peak,
            'overload': self.overload,
            'key_leaks': self.key_leaks,
            'runs': dict(self.runs),
            'last_run_s': self.last_run_s,
        }


async def _serve(document):
    upstreams = [
        Upstream(
            plan=Plan(**plan),
            entries=document['entries'],
            token=document['token'],
        )
        for plan in document['plans']
    ]
    stopping = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, stopping.set)
    timeout = aiohttp.ClientTimeout(total=2.0)
    async with aiohttp.ClientSession(timeout=timeout) as session:
        for upstream in upstreams:
            await upstream.start()
        tasks = [
            asyncio.create_task(upstream.announce_regularly(session))
            for upstream in upstreams
        ]
        await stopping.wait()
        for task in tasks:
            task.cancel()
        for upstream in upstreams:
            with contextlib.suppress(aiohttp.ClientError, TimeoutError):
                await upstream.stop()
    print(json.dumps([upstream.counts() for upstream in upstreams]))


@click.command()
@click.option('--plan', type=click.File(), required=True)
def main(plan):
    """Serve the upstreams of a plan until SIGTERM."""
    asyncio.run(_serve(json.load(plan)))


if __name__ == '__main__':
    sys.exit(main())
