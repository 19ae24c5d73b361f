"""Tests of the request handler over loopback, with fakes of its ports."""

import asyncio
import contextlib
import json

import aiohttp
from aiohttp import web
import pytest

from skylarkpitch.requests import attempts
from skylarkpitch.requests import exchange_sessions
from skylarkpitch.requests import request_handler
from skylarkpitch import sentinels
from skylarkpitch.settings import daemon
from tests.stand_ins import request_ports

KEY = {'Skylark-Key': 'key-a'}


class Bench:
    """Request handler with fakes of its ports, and a caller."""

    def __init__(self, *urls, config=None, **limits):
        self.config = config or request_ports.site_config()
        self.authenticator = request_ports.FakeAuthenticator()
        self.limiter = request_ports.FakeLimiter()
        self.slot_allocator = request_ports.FakeSlotAllocator(*urls)
        self.ledger = request_ports.FakeLedger()
        self.stopping = False
        self.outcomes = []
        self.handler = request_handler.RequestHandler(
            site_config=lambda: self.config,
            authenticator=self.authenticator,
            limiter=self.limiter,
            slot_allocator=self.slot_allocator,
            ledger=self.ledger,
            settings=daemon.LimitSettings(**limits),
            is_stopping=lambda: self.stopping,
            on_finished=self.outcomes.append,
        )


@contextlib.asynccontextmanager
async def serve_bench(*urls, **options):
    bench = Bench(*urls, **options)
    await bench.handler.start()
    async with request_ports.serving(bench.handler.handle) as url:
        bench.url = url
        async with aiohttp.ClientSession(url) as bench.caller:
            yield bench
    await bench.handler.close()


def run(coroutine):
    return asyncio.run(asyncio.wait_for(coroutine, 20))


async def echo(request):
    """Respond with the request as it was received."""
    body = await request.read()
    return web.json_response(
        {
            'method': request.method,
            'target': request.raw_path,
            'headers': [list(pair) for pair in request.headers.items()],
            'body': body.decode(),
        }
    )


# Guards against a target that a library normalises on the way.
@pytest.mark.parametrize('target', ['/svc/a?', '/svc/a', '/svc/a?x=%20&'])
def test_target_reaches_upstream_unchanged(target):
    async def go():
        async with (
            request_ports.serving(echo) as upstream,
            serve_bench(upstream) as bench,
        ):
            url = exchange_sessions.url_of(bench.url, target)
            async with aiohttp.ClientSession() as caller:
                async with caller.get(url, headers=KEY) as response:
                    return json.loads(await response.read())['target']

    assert run(go()) == target


def test_request_reaches_upstream_with_organisation_and_without_key():
    async def go():
        async with (
            request_ports.serving(echo) as upstream,
            serve_bench(upstream) as bench,
        ):
            async with bench.caller.put(
                '/svc/a?b=%20c',
                data=b'hello',
                headers={
                    **KEY,
                    'Skylark-Organisation': 'org-b',
                    'Skylark-Ticket': 't',
                    'Connection': 'X-Private',
                    'X-Private': '1',
                    'Skylark-Deadline-Ms': '900',
                },
            ) as response:
                seen = json.loads(await response.read())
        names = [name.lower() for name, _ in seen['headers']]
        headers = {name.lower(): value for name, value in seen['headers']}
        assert seen['target'] == '/svc/a?b=%20c'
        assert seen['body'] == 'hello'
        assert headers['skylark-organisation'] == 'org-a'
        assert 0 < int(headers['skylark-deadline-ms']) <= 900
        assert not {'skylark-key', 'skylark-ticket', 'x-private'} & set(names)
        assert names.count('skylark-organisation') == 1
        assert bench.limiter.spent == ['org-a']
        assert [slot.results for slot in bench.slot_allocator.slots] == [
            ['answered']
        ]
        assert bench.outcomes[0].reason == 'answered'
        assert bench.handler.counters()['held_body_bytes'] == 0

    run(go())


def test_open_route_ignores_a_key():
    async def go():
        async with (
            request_ports.serving(echo) as upstream,
            serve_bench(upstream) as bench,
        ):
            async with bench.caller.get(
                '/svc/open/x', headers=KEY
            ) as response:
                seen = json.loads(await response.read())
        names = {name.lower() for name, _ in seen['headers']}
        assert 'skylark-organisation' not in names
        assert 'skylark-key' not in names
        assert bench.limiter.spent == []

    run(go())


@pytest.mark.parametrize(
    'target, headers, reason',
    [
        ('/svc/a', {}, 'key_missing'),
        ('/svc/a', {'Skylark-Key': 'key-x'}, 'key_unknown'),
        ('/other', KEY, 'route_unknown'),
        ('/svc/openly', {}, 'key_missing'),
        ('/svc/book/1', {}, 'key_missing'),
        ('/svc/a', {**KEY, 'Skylark-Deadline-Ms': '0'}, 'deadline_exceeded'),
        ('/svc/a', {**KEY, 'Skylark-Deadline-Ms': '-1'}, 'request_malformed'),
        ('/svc/a', {**KEY, 'Idempotency-Key': 'a b'}, 'request_malformed'),
        ('/svc/a', {**KEY, 'X-Big': 'x' * 3000}, 'headers_too_large'),
    ],
)
def test_refusal_before_a_slot_is_reserved(target, headers, reason):
    async def go():
        async with serve_bench(
            'http://127.0.0.1:1', max_header_bytes=2000
        ) as b:
            async with b.caller.get(target, headers=headers) as response:
                body = json.loads(await response.read())
        assert body['reason'] == reason
        assert response.headers['Skylark-Outcome'] == 'not-run'
        assert response.headers['Skylark-Reason'] == reason
        assert b.slot_allocator.slots == []

    run(go())


def test_unreachable_upstream_is_not_run_and_claim_is_released():
    async def go():
        async with serve_bench('http://127.0.0.1:1') as bench:
            async with bench.caller.post(
                '/svc/book', headers={**KEY, 'Idempotency-Key': 'i1'}
            ) as response:
                assert response.headers['Skylark-Outcome'] == 'not-run'
                assert response.headers['Skylark-Reason'] == 'no_room'
        assert bench.ledger.calls == ['claim', 'release']

    run(go())


def test_resend_gets_the_recorded_response():
    runs = []

    async def book(request):
        runs.append(await request.read())
        return web.Response(status=201, body=b'booked', headers={'X-No': '7'})

    async def go():
        async with (
            request_ports.serving(book) as upstream,
            serve_bench(upstream) as bench,
        ):
            for replayed in (None, '1'):
                async with bench.caller.post(
                    '/svc/book',
                    data=b'pan',
                    headers={**KEY, 'Idempotency-Key': 'i1'},
                ) as response:
                    assert await response.read() == b'booked'
                    assert response.status == 201
                    assert response.headers['X-No'] == '7'
                    assert response.headers.get('Skylark-Replayed') == replayed
        assert runs == [b'pan']

    run(go())


def test_stopping_host_refuses_with_a_remedy():
    async def go():
        async with serve_bench('http://127.0.0.1:1') as bench:
            bench.stopping = True
            async with bench.caller.get('/svc/a', headers=KEY) as response:
                body = json.loads(await response.read())
        assert body['reason'] == 'stopping'
        assert 'another entry host' in body['remedy']

    run(go())


def test_no_configuration_refuses_everything():
    async def go():
        async with serve_bench('http://127.0.0.1:1') as bench:
            bench.config = sentinels.Absent('state_stale')
            async with bench.caller.get('/svc/open', headers=KEY) as response:
                assert response.headers['Skylark-Reason'] == 'state_stale'

    run(go())


def test_exception_in_the_host_becomes_a_refusal():
    async def go():
        async with serve_bench('http://127.0.0.1:1') as bench:
            bench.limiter.spend = None
            async with bench.caller.get('/svc/a', headers=KEY) as response:
                assert response.status == 500
                assert response.headers['Skylark-Reason'] == 'host_failed'
                assert response.headers['Skylark-Outcome'] == 'unknown'
        assert bench.handler.running == 0

    run(go())


# Guards against a key that works after its withdrawal: it was checked before
# the body was read, which takes as long as the caller likes.
@pytest.mark.parametrize('is_withdrawn', [True, False])
@pytest.mark.parametrize(
    'headers', [{'Idempotency-Key': 'op-1'}, {}], ids=['once', 'streamed']
)
def test_key_is_checked_again_after_a_long_body(headers, is_withdrawn):
    async def go():
        async with (
            request_ports.serving(echo) as upstream,
            serve_bench(upstream) as bench,
        ):

            async def body():
                # Of a streamed body, the first part is read before a slot is
                # reserved.
                yield b'x' * 1000
                await asyncio.sleep(attempts.KEY_RECHECK_S + 0.1)
                if is_withdrawn:
                    bench.authenticator.withdrawn.add('key-a')
                yield b'x'

            async with bench.caller.post(
                '/svc/book/1', data=body(), headers={**KEY, **headers}
            ) as response:
                return response.status

    assert run(go()) == (401 if is_withdrawn else 200)
