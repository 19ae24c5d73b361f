"""Tests that responses from other regions are charged to their link."""

from aiohttp import web
import pytest

from tests.stand_ins import request_ports
from tests import test_requests_path
from tests import test_requests_relay


@pytest.mark.parametrize('size_bytes', [0, 10, 3_000_000])
def test_response_of_a_relay_is_counted_completely(size_bytes):
    async def respond(request):
        return web.Response(body=b'x' * size_bytes)

    async def go():
        async with request_ports.serving(respond) as upstream:
            owner = test_requests_relay.Owner(upstream)
            async with (
                request_ports.serving(owner.server.handle) as relay_url,
                test_requests_path.serve_bench() as bench,
            ):
                test_requests_relay.use_remote_slots(bench, relay_url)
                async with bench.caller.get(
                    '/svc/a', headers=test_requests_path.KEY
                ) as response:
                    body = await response.read()
            await owner.server.close()
        return len(body), bench.slot_allocator.slots[0].counted_bytes

    received, counted = test_requests_path.run(go())
    assert received == counted == size_bytes
