"""Fakes of the ports that the request handler calls, and of upstreams."""

import asyncio
import contextlib

from aiohttp import web

from skylarkpitch import ports
from skylarkpitch import sentinels
from skylarkpitch.settings import deployment

KEYS = {'key-a': 'org-a', 'key-b': 'org-b'}


def site_config(**service):
    """Return a configuration with one service under /svc."""
    routes = [
        {'prefix': '/svc', 'methods': ['GET', 'HEAD', 'PUT']},
        {'prefix': '/svc/open', 'open': True},
        {
            'prefix': '/svc/book',
            'methods': ['POST', 'DELETE', 'GET'],
            'idempotent': False,
            'request_class': 'bookings',
        },
    ]
    document = {
        'services': {'desk': {'routes': routes, 'deadline_s': 3, **service}},
        'organisations': {
            name: {'rate_per_s': 100, 'burst': 100} for name in KEYS.values()
        },
        'regions': {'r1': {'failure_domains': {'d1': {}}}},
    }
    return deployment.validate_site(document, {}, site='d1')


class FakeAuthenticator:
    """Authenticator that accepts the keys of ``KEYS``."""

    def __init__(self):
        self.withdrawn = set()

    def authenticate(self, key, *, now_s):
        if key is None:
            return sentinels.Absent('key_missing')
        if key not in KEYS or key in self.withdrawn:
            return sentinels.Absent('key_unknown')
        return ports.Caller(organisation=KEYS[key])


class FakeLimiter:
    """Limiter that returns ``result``, by default a granted token."""

    def __init__(self):
        self.result = 0.0
        self.spent = []

    async def spend(self, organisation, *, now_s, deadline_s):
        self.spent.append(organisation)
        return self.result


class FakeSlot:
    """Slot that records the results of its exchanges."""

    def __init__(self, *, upstream, url, headers=None):
        self.upstream = upstream
        self.url = url
        self.headers = headers or {}
        self.results = []
        self.counted_bytes = 0

    def account(self, more_bytes):
        self.counted_bytes += more_bytes

    def finish(self, exchange, *, latency_s):
        self.results.append(exchange)


class FakeSlotAllocator:
    """Slot allocator that returns slots of the given upstreams in order."""

    def __init__(self, *urls):
        self.urls = list(urls)
        self.slots = []

    async def reserve(self, *, exclude, **request):
        for number, url in enumerate(self.urls):
            if f'u{number}' not in exclude:
                slot = FakeSlot(upstream=f'u{number}', url=url)
                self.slots.append(slot)
                return slot
        return sentinels.Absent('no_room', '2')


class FakeLedger:
    """Ledger that stores responses in memory."""

    def __init__(self):
        self.recorded = {}
        self.calls = []

    async def claim(
        self, *, organisation, operation_id, fingerprint, deadline_s
    ):
        self.calls.append('claim')
        recorded = self.recorded.get((organisation, operation_id))
        return recorded or ports.Claimed(operation_id=operation_id)

    async def record(self, claimed, response):
        self.calls.append('record')
        self.recorded['org-a', claimed.operation_id] = response

    async def release(self, claimed):
        self.calls.append('release')

    async def lose(self, claimed):
        self.calls.append('lose')


@contextlib.asynccontextmanager
async def serving(handler):
    """Serve a handler on a free loopback port; yield its base URL."""
    app = web.Application()
    app.router.add_route('*', '/{tail:.*}', handler)
    runner = web.AppRunner(
        app, handler_cancellation=True, access_log=None, shutdown_timeout=0.1
    )
    await runner.setup()
    site = web.TCPSite(runner, '127.0.0.1', 0)
    await site.start()
    port = site._server.sockets[0].getsockname()[1]
    try:
        yield f'http://127.0.0.1:{port}'
    finally:
        await runner.cleanup()


@contextlib.asynccontextmanager
async def raw_serving(script):
    """Serve ``script(reader, writer)`` on a free loopback port."""
    tasks = set()

    async def connected(reader, writer):
        tasks.add(asyncio.current_task())
        with contextlib.suppress(
            ConnectionError, EOFError, asyncio.CancelledError
        ):
            await script(reader, writer)
        writer.close()

    server = await asyncio.start_server(connected, '127.0.0.1', 0)
    port = server.sockets[0].getsockname()[1]
    try:
        yield f'http://127.0.0.1:{port}'
    finally:
        server.close()
        for task in tasks:
            task.cancel()
