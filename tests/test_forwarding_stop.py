"""What a planned stop of an entry host does to its callers' connections."""

import asyncio

import aiohttp
from aiohttp import web
import pytest

from skylarkpitch.fleet import model
from skylarkpitch.forwarding import callers_listener

LONG_S = 30.0


async def listen(handler):
    """Return a listener on a free port, and its address."""
    made = callers_listener.bind('127.0.0.1:0')
    address = f'127.0.0.1:{made.getsockname()[1]}'
    made.close()
    listener = callers_listener.CallersListener(
        address=address, handler=handler
    )
    await listener.open(model.CallerLimits())
    return listener, address


async def text_of(session, address):
    """Return the answer of the listener."""
    async with session.get(f'http://{address}/') as response:
        assert response.status == 200
        return await response.text()


@pytest.mark.parametrize('idle_connections', [0, 1, 20])
def test_stop_does_not_wait_for_connections_that_carry_nothing(
    idle_connections,
):
    """Hosts that stop a second apart must not all be gone at once."""

    async def handler(request):
        return web.Response(text='done')

    async def check():
        listener, address = await listen(handler)
        connector = aiohttp.TCPConnector(limit=0)
        async with aiohttp.ClientSession(connector=connector) as session:
            await asyncio.gather(
                *(text_of(session, address) for _ in range(idle_connections))
            )
            # A wait for LONG_S would outlast any scheduling of the test.
            await asyncio.wait_for(listener.close(timeout_s=LONG_S), 10.0)

    asyncio.run(check())


def test_stop_ends_what_runs_before_it_closes():
    begun, may_end = asyncio.Event(), asyncio.Event()

    async def handler(request):
        begun.set()
        await may_end.wait()
        return web.Response(text='done')

    async def check():
        listener, address = await listen(handler)
        async with aiohttp.ClientSession() as session:
            asked = asyncio.create_task(text_of(session, address))
            await begun.wait()
            closing = asyncio.create_task(listener.close(timeout_s=LONG_S))
            await asyncio.sleep(0.05)
            assert not closing.done()
            may_end.set()
            assert await asked == 'done'
            await asyncio.wait_for(closing, 10.0)

    asyncio.run(check())


def test_stop_breaks_off_what_outlasts_its_time():
    begun = asyncio.Event()

    async def handler(request):
        begun.set()
        await asyncio.sleep(LONG_S)
        return web.Response(text='done')

    async def check():
        listener, address = await listen(handler)
        async with aiohttp.ClientSession() as session:
            asked = asyncio.create_task(text_of(session, address))
            await begun.wait()
            await asyncio.wait_for(listener.close(timeout_s=0.1), 10.0)
            with pytest.raises(aiohttp.ClientError):
                await asked

    asyncio.run(check())
