"""Tests of crash suspicion: rules, sharing, and use by the handler."""

import asyncio
import contextlib

import pytest

from skylarkpitch.fleet import crash_suspicion
from skylarkpitch.requests import crash_watch
from tests.stand_ins import fake_peers
from tests.stand_ins import request_ports
from tests import test_requests_exchange as exchanges
from tests import test_requests_path


def quarantined(events, *, at_s=100.0):
    """Record crashes (second, request, upstream); return refused requests.

    An upstream of None means that the request got a response.
    """
    suspicions = crash_suspicion.Suspicions()
    for now_s, request, upstream in events:
        if upstream is None:
            suspicions.record_response(request)
        else:
            suspicions.record_crash(
                request, upstream, now_s=now_s, quarantine_s=300
            )
    return {
        request
        for _, request, _ in events
        if suspicions.quarantine_left_s(request, now_s=at_s) > 0
    }


@pytest.mark.parametrize(
    'events, refused',
    [
        ([(1, b'p', 'u1'), (2, b'p', 'u2'), (3, b'p', 'u3')], {b'p'}),
        ([(1, b'p', 'u1'), (2, b'p', 'u2')], set()),
        ([(1, b'p', 'u1'), (9, b'p', 'u1'), (20, b'p', 'u1')], set()),
        (
            [(1, b'p', 'u1'), (2, b'p', 'u2'), (3, b'p', None)]
            + [(4, b'p', 'u3')],
            set(),
        ),
        ([(-200, b'p', 'u1'), (1, b'p', 'u2'), (2, b'p', 'u3')], set()),
        # The upstream "bad" crashes with any request, so the crash there does
        # not count against p.
        (
            [(t, f'q{t}'.encode(), 'bad') for t in (1, 5, 9)]
            + [(12, b'p', 'bad'), (13, b'p', 'u1'), (14, b'p', 'u2')],
            set(),
        ),
        # Two harmful requests crash the same upstreams in turn.
        (
            [(1, b'q', 'u1'), (10, b'p', 'u1'), (12, b'q', 'u2')]
            + [(20, b'p', 'u2'), (24, b'q', 'u3'), (30, b'p', 'u3')],
            {b'p', b'q'},
        ),
        # The same, with an innocent request beside the first of them.
        (
            [(1, b'q', 'u1'), (1, b'n', 'u1'), (2, b'n', None)]
            + [(10, b'p', 'u1'), (12, b'q', 'u2'), (20, b'p', 'u2')]
            + [(24, b'q', 'u3'), (30, b'p', 'u3')],
            {b'p', b'q'},
        ),
        # Other requests on the crashed upstreams get a response elsewhere.
        (
            [(1, b'p', 'u1'), (1, b'n', 'u1'), (2, b'n', None)]
            + [(2, b'p', 'u2'), (2, b'm', 'u2'), (3, b'p', 'u3')],
            {b'p'},
        ),
    ],
)
def test_quarantine(events, refused):
    assert quarantined(events) == refused


def test_one_crash_after_a_quarantine_is_enough_for_a_longer_one():
    suspicions = crash_suspicion.Suspicions()
    suspicions.quarantine(b'p', now_s=0, quarantine_s=10)
    assert suspicions.quarantine_left_s(b'p', now_s=9) == 1
    assert suspicions.quarantine_left_s(b'p', now_s=10) == 0
    assert suspicions.record_crash(b'p', 'u1', now_s=11, quarantine_s=10)
    assert suspicions.quarantine_left_s(b'p', now_s=11) == 20


def test_response_after_a_quarantine_removes_the_suspicion():
    suspicions = crash_suspicion.Suspicions()
    suspicions.quarantine(b'p', now_s=0, quarantine_s=10)
    assert not suspicions.record_response(b'p')
    assert suspicions.quarantine_left_s(b'p', now_s=10) == 0
    assert suspicions.record_response(b'p')
    assert len(suspicions) == 0


def test_suspects_run_on_separate_upstreams():
    watch = crash_watch.CrashWatch(quarantine_s=lambda: 300)
    watch.record_crash(b'p', 'u1')
    watch.record_crash(b'n', 'u1')
    assert watch.excluded_upstreams(b'p') == {'u1'}
    with watch.isolate_suspect(b'p', 'u2'):
        assert watch.excluded_upstreams(b'n') == {'u1', 'u2'}
        assert watch.excluded_upstreams(b'other') == frozenset()
    assert watch.excluded_upstreams(b'n') == {'u1'}


def test_hosts_share_crashes_quarantine_and_clearing():
    async def go():
        names = ('h1', 'h2', 'h3')
        network = fake_peers.FakeNetwork(
            hosts=[fake_peers.host(name) for name in names]
        )
        one, two, three = (
            crash_watch.CrashWatch(
                quarantine_s=lambda: 300, peers=network.join(name)
            )
            for name in names
        )
        one.record_crash(b'n', 'u1')
        one.record_crash(b'p', 'u1')
        await asyncio.sleep(0.02)
        assert two.excluded_upstreams(b'n') == {'u1'}
        three.record_response(b'n')
        two.record_crash(b'p', 'u2')
        await asyncio.sleep(0.02)
        assert two.excluded_upstreams(b'n') == frozenset()
        three.record_crash(b'p', 'u3')
        await asyncio.sleep(0.02)
        for watch in (one, two, three):
            assert 299 < watch.quarantine_left_s(b'p') <= 300

    asyncio.run(go())


def test_crashing_request_is_quarantined_and_others_get_responses():
    runs = []

    async def script(reader, writer):
        while True:
            head, _ = await exchanges.read_request(reader)
            if b'poison' in head:
                runs.append(head)
                writer.transport.abort()
                return
            writer.write(exchanges.OK + b'ok')

    async def go():
        async with contextlib.AsyncExitStack() as stack:
            urls = [
                await stack.enter_async_context(
                    request_ports.raw_serving(script)
                )
                for _ in range(5)
            ]
            bench = await stack.enter_async_context(
                test_requests_path.serve_bench(*urls)
            )
            seen = []
            for _ in range(4):
                response, _ = await exchanges.get(bench, '/svc/poison')
                seen.append(
                    (
                        response.status,
                        response.headers['Skylark-Outcome'],
                    )
                )
                assert (await exchanges.get(bench))[1] == b'ok'
        assert seen == [(502, 'unknown')] + [(422, 'not-run')] * 3
        assert len(runs) == crash_suspicion.CRASHES_TO_QUARANTINE

    asyncio.run(asyncio.wait_for(go(), 20))


# Guards against an error of an upstream, which has not run the request, that
# removes the crashes counted against it.
def test_error_status_removes_no_suspicion():
    runs = []

    async def script(reader, writer):
        while True:
            head, _ = await exchanges.read_request(reader)
            runs.append(head)
            if len(runs) % 2:
                writer.transport.abort()
                return
            writer.write(b'HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n')

    async def go():
        async with contextlib.AsyncExitStack() as stack:
            urls = [
                await stack.enter_async_context(
                    request_ports.raw_serving(script)
                )
                for _ in range(5)
            ]
            bench = await stack.enter_async_context(
                test_requests_path.serve_bench(*urls)
            )
            statuses = []
            for _ in range(8):
                response, _ = await exchanges.get(bench, '/svc/poison')
                statuses.append(response.status)
        assert statuses[-1] == 422
        assert len(runs) <= 2 * crash_suspicion.CRASHES_TO_QUARANTINE

    asyncio.run(asyncio.wait_for(go(), 20))
