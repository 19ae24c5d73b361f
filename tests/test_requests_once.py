"""Tests that a claimed request runs at most once when its host fails.

An entry host is killed at each step of a claimed request, which is then sent
again to another host.
"""

import asyncio
import contextlib

from aiohttp import web
import pytest

from skylarkpitch.requests import ledger_service
from tests.stand_ins import request_ports
from tests import test_ledger_service as ledgers
from tests import test_requests_path as paths

BODY = b'pan=12'


class Upstream:
    """Upstream that counts runs and stops at the step ``stops_at``."""

    def __init__(self, stops_at):
        self.stops_at = stops_at
        self.runs = 0
        self.reached = asyncio.Event()

    async def handle(self, request):
        await request.read()
        self.runs += 1
        if self.runs == 1 and self.stops_at == 'sent':
            self.reached.set()
            await asyncio.sleep(30)
        if self.runs == 1 and self.stops_at == 'reading':
            response = web.StreamResponse(headers={'Content-Length': '9'})
            await response.prepare(request)
            await response.write(b'boo')
            self.reached.set()
            await asyncio.sleep(30)
        return web.Response(status=201, body=b'booked')


class Entry:
    """Entry host with a request handler and the ledger of its host."""

    def __init__(self, fleet, name, upstream_url):
        self.fleet = fleet
        self.name = name
        self.bench = paths.Bench(upstream_url)
        self.bench.handler._ledger = fleet.services[name]

    async def post(self, url, deadline_ms=2000):
        async with paths.aiohttp.ClientSession() as caller:
            async with caller.post(
                f'{url}/svc/book',
                data=BODY,
                headers={
                    **paths.KEY,
                    'Idempotency-Key': 'op-1',
                    'Skylark-Deadline-Ms': str(deadline_ms),
                },
            ) as response:
                reason = response.headers.get('Skylark-Reason')
                return response.status, reason, await response.read()

    async def kill(self):
        """Kill the host; it sends no further message."""
        for name in ledgers.HOSTS:
            self.fleet.network.cut(self.name, name)
        for task in list(self.bench.handler._tasks):
            task.cancel()


def stop_at(entry, step, upstream):
    """Make the entry host stop at a step before it sends the request."""

    async def stop(*args, **options):
        upstream.reached.set()
        await asyncio.sleep(30)

    if step == 'admitted':
        entry.bench.limiter.spend = stop
    if step == 'claimed':
        entry.bench.slot_allocator.reserve = stop


async def kill_and_resend(step):
    upstream = Upstream(step)
    async with contextlib.AsyncExitStack() as stack:
        url = await stack.enter_async_context(
            request_ports.serving(upstream.handle)
        )
        fleet = await stack.enter_async_context(ledgers.fleet(*ledgers.HOSTS))
        one, two = (Entry(fleet, name, url) for name in ('h1', 'h4'))
        urls = [
            await stack.enter_async_context(
                request_ports.serving(entry.bench.handler.handle)
            )
            for entry in (one, two)
        ]
        stop_at(one, step, upstream)
        first = asyncio.create_task(one.post(urls[0], deadline_ms=400))
        await upstream.reached.wait()
        await one.kill()
        first.cancel()
        responses = [await two.post(urls[1]) for _ in range(2)]
        for entry in (one, two):
            await entry.bench.handler.close()
    return responses, upstream.runs


@pytest.mark.parametrize(
    'step, status, reason, runs',
    [
        ('admitted', 201, None, 1),
        ('claimed', 409, 'outcome_unknown', 0),
        ('sent', 409, 'outcome_unknown', 1),
        ('reading', 409, 'outcome_unknown', 1),
    ],
)
def test_killed_host_leaves_at_most_one_run(
    step, status, reason, runs, monkeypatch
):
    monkeypatch.setattr(ledger_service, 'LEASE_MARGIN_S', 0.1)
    responses, actual_runs = asyncio.run(
        asyncio.wait_for(kill_and_resend(step), 30)
    )
    assert [response[:2] for response in responses] == [(status, reason)] * 2
    assert actual_runs == runs


async def lose_response(restart):
    upstream = Upstream('never')
    async with contextlib.AsyncExitStack() as stack:
        url = await stack.enter_async_context(
            request_ports.serving(upstream.handle)
        )
        fleet = await stack.enter_async_context(ledgers.fleet(*ledgers.HOSTS))
        one, two = (Entry(fleet, name, url) for name in ('h1', 'h4'))
        first_url, second_url = [
            await stack.enter_async_context(
                request_ports.serving(entry.bench.handler.handle)
            )
            for entry in (one, two)
        ]
        responses = [await one.post(first_url)]
        await one.bench.handler.close()
        for name in restart:
            await fleet.start(name)
            await fleet.synced(name)
        responses.extend([await two.post(second_url) for _ in range(2)])
        await two.bench.handler.close()
    return responses, upstream.runs


@pytest.mark.parametrize('restart', [(), ('h1',), ('h1', 'h2', 'h3')])
def test_lost_response_is_replayed_after_restarts(restart):
    responses, runs = asyncio.run(asyncio.wait_for(lose_response(restart), 30))
    assert responses == [(201, None, b'booked')] * 3
    assert runs == 1
