"""Forwarding of requests to upstreams with scripted responses."""

import asyncio
import contextlib
import gzip
import time
import zlib

import aiohttp
import pytest

from skylarkpitch.fleet import commands
from skylarkpitch.fleet import model
from skylarkpitch.fleet import state as fleet_state
from skylarkpitch.fleet import view as views
from skylarkpitch.forwarding import callers
from skylarkpitch.forwarding import callers_listener
from skylarkpitch.forwarding import header_names
from skylarkpitch.forwarding import request_handler as handlers
from skylarkpitch.forwarding import retry_budget
from skylarkpitch.forwarding import upstream_selector as selectors
from skylarkpitch.listening import limits
from tests.stand_ins import connection_guards
from tests.stand_ins import raw_upstream as upstreams
from tests import test_fleet_state as fleet_fixtures

HOST = 'pans.example'


def state_of(addresses, *, repeatable, timeout_ms=800.0):
    organisation = model.Organisation(name='o', api_keys=('key',))
    items = [
        fleet_fixtures.put(
            1,
            routes=(
                fleet_fixtures.route(
                    repeatable=repeatable, timeout_ms=timeout_ms
                ),
            ),
            organisations=(organisation,),
        )
    ]
    items += [
        fleet_fixtures.record(f'u{number}', address=address)
        for number, address in enumerate(addresses)
    ]
    return fleet_fixtures.applied(*items)


@contextlib.asynccontextmanager
async def forwarding(
    *behaviours,
    repeatable,
    pool=None,
    **options,
):
    """Run one entry host and one upstream for each list of behaviours.

    Yields an ``EntryHostClient``.
    """
    pool = pool or limits.MemoryPool(memory_bytes=limits.DEFAULT_MEMORY_BYTES)
    running = [upstreams.RawUpstream(*items) for items in behaviours]
    for item in running:
        await item.start()
    view = views.FleetView()
    state = state_of(
        [item.address for item in running], repeatable=repeatable, **options
    )
    view.apply(fleet_fixtures.watch_response(state, 0))
    outcomes = []
    handler = handlers.RequestHandler(
        view=view,
        host='e1',
        selector=selectors.UpstreamSelector(
            region='east',
            failure_domain='east-a',
            region_of=lambda domain: domain[:4],
        ),
        names=header_names.HeaderNames(),
        retry_limits=retry_budget.RetryLimits(ratio=1.0, extra=50.0),
        rate_tolerance=callers.RateTolerance(),
        pool=pool,
        is_ready=lambda: True,
        is_stopping=lambda: False,
        on_finished=outcomes.append,
    )
    handler.open()
    handler.apply_view_changes(
        views.Changes(kinds=frozenset(fleet_state.KINDS), upstreams=None)
    )
    with callers_listener.bind('127.0.0.1:0') as free_socket:
        port = free_socket.getsockname()[1]
    listener = callers_listener.CallersListener(
        address=f'127.0.0.1:{port}',
        handler=handler.handle,
        guard=connection_guards.guard(pool=pool),
    )
    await listener.open(model.CallerLimits())
    async with aiohttp.ClientSession() as session:
        client = EntryHostClient(session, port, running, outcomes, handler)
        client.follow = lambda: handler.apply_view_changes(
            view.apply(fleet_fixtures.watch_response(state, view.index))
        )
        client.state = state
        yield client
    await listener.close(timeout_s=0.1)
    await handler.close()
    for item in running:
        await item.stop()


class EntryHostClient:
    """Caller of one entry host, with its upstreams and outcomes.

    ``follow`` lets the host follow the changes of ``state``.
    """

    def __init__(self, session, port, running, outcomes, handler):
        self._handler = handler
        self.session = session
        self.port = port
        self.upstreams = running
        self.outcomes = outcomes

    @property
    def runs(self):
        return sum(len(item.seen) for item in self.upstreams)

    @property
    def crashes(self):
        return self.counter('crashes_counted')

    def counter(self, name):
        return self._handler.counters()[name]

    def stop_in(self, left_s):
        """Let the host abort its requests after a time."""
        self._handler.stop(at_s=time.monotonic() + left_s)

    def replace_upstream(self, number, upstream_id, *, born_ms):
        """Let another instance take the address of an upstream."""
        record = fleet_fixtures.record(
            upstream_id,
            address=self.upstreams[number].address,
            born_ms=born_ms,
        )
        self.state.apply(self.state.index + 1, commands.encode(record))
        self.follow()

    def post(self, request_id='r1', *, body=b'pan', **headers):
        return self.session.post(
            f'http://127.0.0.1:{self.port}/pans/a%2Fb?x=%20',
            data=body,
            headers={
                'Host': HOST,
                'Request-Id': request_id,
                'Request-Key': 'key',
                'Request-Deadline-Ms': '2000',
                **headers,
            },
        )


def run(check):
    asyncio.run(check())


DONE = upstreams.respond()


@pytest.mark.parametrize(
    ('behaviour', 'if_repeatable', 'if_not_repeatable'),
    [
        (DONE, (200, 1), (200, 1)),
        (upstreams.reject(503), (200, 2), (200, 2)),
        (upstreams.reject(421), (200, 2), (200, 2)),
        (upstreams.close_connection, (200, 2), (502, 1)),
        (upstreams.close_after_half, (200, 2), (502, 1)),
        (upstreams.respond_with_other_id, (200, 2), (502, 1)),
        (upstreams.respond(rows=()), (200, 2), (502, 1)),
        (upstreams.respond(status=500), (200, 2), (500, 1)),
        (upstreams.respond(status=404), (404, 1), (404, 1)),
        (upstreams.respond_without_length(is_reset=False), (200, 1), (200, 1)),
        (upstreams.respond_without_length(is_reset=True), (200, 2), (502, 1)),
        (upstreams.respond(tail=b'HTTP/1.1 200 OK\r\n'), (200, 1), (200, 1)),
    ],
    ids=[
        'responds',
        'rejects',
        'is-another-instance',
        'closes-connection',
        'closes-after-half',
        'responds-with-other-id',
        'no-seal',
        'fails',
        'not-found',
        'no-length',
        'no-length-and-reset',
        'extra-bytes',
    ],
)
@pytest.mark.parametrize('repeatable', [True, False])
def test_status_and_number_of_runs_for_each_upstream_behaviour(
    behaviour, if_repeatable, if_not_repeatable, repeatable
):
    async def check():
        script = iter([behaviour])

        async def first_then_done(request_id, reader, writer):
            await next(script, DONE)(request_id, reader, writer)

        lists = ([first_then_done], [first_then_done])
        async with forwarding(*lists, repeatable=repeatable) as entry:
            async with entry.post() as response:
                body = await response.read()
            expected = if_repeatable if repeatable else if_not_repeatable
            assert (response.status, entry.runs) == expected
            if response.status == 200:
                assert body in (b'done', b'all')

    run(check)


@pytest.mark.parametrize(
    'behaviour',
    [
        upstreams.reject(503),
        upstreams.close_connection,
        upstreams.close_after_half,
        upstreams.respond_with_other_id,
        upstreams.respond(status=500),
    ],
)
def test_repeatable_request_is_retried_on_the_second_upstream(behaviour):
    async def check():
        async with forwarding([behaviour], [DONE], repeatable=True) as entry:
            for number in range(4):
                async with entry.post(f'r{number}') as response:
                    assert response.status == 200
                    assert await response.read() == b'done'

    run(check)


def test_request_reaches_the_upstream_as_it_was_sent():
    async def check():
        async with forwarding([DONE], repeatable=False) as entry:
            async with entry.post(body=b'a pan') as response:
                assert response.headers['Answer-Seal'] == 's'
            ((method, target, headers, body),) = entry.upstreams[0].seen
        assert (method, target, body) == (
            'POST',
            '/pans/a%2Fb?x=%20',
            b'a pan',
        )
        assert headers['Host'] == HOST
        assert headers['Request-Id'] == 'r1'
        assert headers['Request-Organisation'] == 'o'
        assert headers['Expect-Upstream'] == 'u0'
        assert 'Request-Key' not in headers
        # The route's time-out is 800 ms, less than the caller's 2,000.
        assert 0 < int(headers['Request-Deadline-Ms']) <= 800

    run(check)


async def in_chunks(body):
    for start in range(0, len(body), 7):
        yield body[start : start + 7]


# Guards against bodies that the listener decodes: the upstream got another
# body, under the header of the encoded one.
@pytest.mark.parametrize('is_chunked', [False, True], ids=['length', 'chunks'])
@pytest.mark.parametrize(
    ('coding', 'body'),
    [
        ('gzip', gzip.compress(b'a pan to be reseasoned')),
        ('deflate', zlib.compress(b'a pan to be reseasoned')),
        ('gzip', b'not in this coding'),
        ('deflate', b'not in this coding'),
        ('br', b'not in this coding'),
        ('identity', b'a pan'),
        ('GZIP', gzip.compress(b'a pan')),
    ],
    ids=[
        'gzip',
        'deflate',
        'not-gzip',
        'not-deflate',
        'not-br',
        'identity',
        'upper-case',
    ],
)
def test_body_reaches_the_upstream_in_its_coding(coding, body, is_chunked):
    async def check():
        async with forwarding([DONE], repeatable=False) as entry:
            sent = in_chunks(body) if is_chunked else body
            async with entry.post(
                body=sent, **{'Content-Encoding': coding}
            ) as response:
                assert response.status == 200
            ((_method, _target, headers, received),) = entry.upstreams[0].seen
        assert received == body
        assert headers['Content-Encoding'] == coding

    run(check)


@pytest.mark.parametrize(
    ('headers', 'status'),
    [
        ({'Request-Key': 'wrong'}, 401),
        ({'Host': 'else.example'}, 404),
        ({'Request-Deadline-Ms': 'nan'}, 200),
        ({'Request-Organisation': 'forged'}, 200),
    ],
)
def test_admission_by_headers(headers, status):
    async def check():
        async with forwarding([DONE], repeatable=False) as entry:
            async with entry.post(**headers) as response:
                assert response.status == status
            if status == 200:
                seen = entry.upstreams[0].seen[0][2]
                assert seen['Request-Organisation'] == 'o'
            else:
                assert entry.runs == 0

    run(check)


def test_route_timeout_ends_a_request_without_response():
    async def check():
        async with forwarding(
            [upstreams.never_respond], repeatable=False, timeout_ms=150.0
        ) as entry:
            async with entry.post() as response:
                assert response.status == 504
            assert entry.outcomes[0].reason == 'too_late'
            await asyncio.wait_for(entry.upstreams[0].closed.wait(), 5)

    run(check)


def test_upstream_connection_closes_when_the_caller_disconnects():
    async def check():
        async with forwarding(
            [upstreams.never_respond], repeatable=True, timeout_ms=60_000.0
        ) as entry:
            with pytest.raises(TimeoutError):
                await asyncio.wait_for(entry.post(), 0.2)
            await asyncio.wait_for(entry.upstreams[0].closed.wait(), 5)
            assert entry.runs == 1

    run(check)


def test_refusal_without_upstreams_has_a_retry_delay():
    async def check():
        async with forwarding(repeatable=False) as entry:
            async with entry.post() as response:
                assert response.status == 503
                assert 0 < float(response.headers['Retry-After']) <= 1.0
            assert entry.outcomes[0].reason == 'no_upstream'

    run(check)
