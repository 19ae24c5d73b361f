"""Test that a request which was refused as not run has not run."""

import asyncio
import time

import aiohttp
import pytest

from skylarkpitch.forwarding import refusals
from skylarkpitch.requests import exchange_protocol
from tests.stand_ins import raw_upstream as upstreams
from tests.test_forwarding_exchange import forwarding
from tests.test_forwarding_exchange import run
from tests import test_forwarding_unchanged as raw_requests

SEALED = f'{upstreams.SEAL}: s'
MARKED = f'{upstreams.NOT_RUN}: 1'
WORK_S = 0.2


async def run_slowly(request_id, reader, writer):
    """Run a request, and respond after ``WORK_S``."""
    await asyncio.sleep(WORK_S)
    await upstreams.respond()(request_id, reader, writer)


# Guards against "not run" said of a request that runs: an upstream writes its
# refusal once more when the request has come back to it on the connection,
# since another instance has taken the address meanwhile.
@pytest.mark.parametrize('delay_s', [0.0005, 0.02, 0.1])
@pytest.mark.parametrize('status', [421, 429, 503])
def test_second_copy_of_a_refusal_is_not_taken_for_that_of_a_retry(
    status, delay_s
):
    async def check():
        async def reject_twice(request_id, reader, writer):
            entry.replace_upstream(0, 'another', born_ms=10_000)
            twice = upstreams.respond_again_later(
                upstreams.reject(status), delay_s=delay_s
            )
            await twice(request_id, reader, writer)

        behaviours = [reject_twice, run_slowly]
        async with forwarding(behaviours, repeatable=False) as entry:
            async with entry.post() as response:
                await response.read()
            assert entry.runs == 2
            assert response.status not in refusals.NOT_RUN_STATUSES

    run(check)


# Guards against the same for a caller that sends an id again itself.
def test_second_copy_of_a_refusal_is_not_taken_for_that_of_a_repetition():
    async def check():
        twice = upstreams.respond_again_later(upstreams.reject(503))
        async with forwarding([twice, run_slowly], repeatable=False) as entry:
            statuses = []
            for _number in range(2):
                async with entry.post('same') as response:
                    await response.read()
                    statuses.append(response.status)
            assert entry.runs == 2
            assert statuses == [503, 200]

    run(check)


# Guards against a second run of a request whose success bears the mark "not
# run", which contradicts it: the success was dropped and the request sent
# again.
@pytest.mark.parametrize('repeatable', [True, False])
@pytest.mark.parametrize('status', [200, 304])
def test_success_that_is_marked_as_not_run_is_delivered(status, repeatable):
    async def check():
        marked = upstreams.respond(status, b'', rows=(SEALED, MARKED))
        async with forwarding([marked], [marked], repeatable=repeatable) as e:
            async with e.post() as response:
                assert response.status == status
            assert e.runs == 1

    run(check)


async def return_at_once():
    """Return without letting the event loop run."""


async def let_the_loop_run():
    """Let the event loop run once."""
    await asyncio.sleep(0)


# Guards against "not sent" said of a request that is sent after its time, by
# a host that stands still while it opens a connection.
@pytest.mark.parametrize('pause', [return_at_once, let_the_loop_run])
@pytest.mark.parametrize('stands_still_s', [0.0, 0.1, 0.4])
def test_request_that_was_refused_is_not_sent_by_a_host_that_stood_still(
    monkeypatch, stands_still_s, pause
):
    connect = aiohttp.TCPConnector.connect

    async def connect_slowly(*arguments):
        connection = await connect(*arguments)
        time.sleep(stands_still_s)
        try:
            await pause()
        except BaseException:
            connection.close()
            raise
        return connection

    async def check():
        async with forwarding(
            [upstreams.respond()], repeatable=False, timeout_ms=200.0
        ) as entry:
            # The connector of the host, not that of the caller.
            monkeypatch.setattr(
                aiohttp.TCPConnector, 'connect', connect_slowly
            )
            statuses = await send_all(entry)
            monkeypatch.undo()
            await asyncio.sleep(WORK_S)
            refused = statuses.count(503)
            assert entry.runs <= len(statuses) - refused

    run(check)


async def send_all(entry):
    """Send requests on connections of their own; return their statuses."""
    return await asyncio.gather(
        *(
            raw_requests.send(
                entry, 'POST', '/pans/a', request_id=f'r{number}'
            )
            for number in range(4)
        )
    )


# Guards against a connection that remembers ids without end.
def test_connection_is_replaced_after_many_requests():
    async def check():
        done = upstreams.respond()
        async with forwarding([done], repeatable=False) as entry:
            for number in range(exchange_protocol.MAX_REQUESTS):
                assert not entry.upstreams[0].closed.is_set()
                async with entry.post(f'r{number}') as response:
                    assert response.status == 200
            await asyncio.wait_for(entry.upstreams[0].closed.wait(), 1.0)
            async with entry.post('next') as response:
                assert response.status == 200

    run(check)


# Guards against a status that states "not run" of a request that an upstream
# has run: the upstream did not state so, the entry host passed it on.
@pytest.mark.parametrize(
    ('status', 'repeatable', 'expected'),
    [
        (408, False, 502),
        (429, False, 502),
        (503, False, 502),
        (500, False, 500),
        (408, True, 408),
        (429, True, 429),
    ],
)
def test_rejection_that_is_not_marked_does_not_state_not_run(
    status, repeatable, expected
):
    async def check():
        unmarked = upstreams.respond(status, b'ran', rows=(SEALED,))
        async with forwarding([unmarked], repeatable=repeatable) as entry:
            async with entry.post() as response:
                body = await response.read()
            assert entry.runs == 1
            assert response.status == expected
            if expected == status:
                assert body == b'ran'
            else:
                assert upstreams.SEAL not in response.headers
                assert 'Retry-After' not in response.headers

    run(check)
