"""Requests of callers of our own interface that have left."""

import asyncio
import socket

import pytest

from tests import test_requests_exchange as exchanges

SETTLE_S = 0.3


# Guards against a request that is sent on although the caller's close has
# arrived with it: a host that stood still reads the request first.
@pytest.mark.parametrize('target', ['/svc/a', '/svc/open'])
def test_request_read_with_the_close_of_its_caller_is_not_sent(target):
    seen = []

    async def check():
        script = exchanges.respond_with(exchanges.OK + b'ok', seen=seen)
        async with exchanges.raw_bench(script) as bench:
            # The next request can reuse a connection to the upstream.
            await exchanges.get(bench)
            host, port = bench.url.removeprefix('http://').split(':')
            connection = socket.create_connection((host, int(port)))
            await asyncio.sleep(SETTLE_S)
            # The event loop runs nothing until the caller has left.
            connection.sendall(
                f'GET {target} HTTP/1.1\r\nHost: x\r\n'
                'Skylark-Key: key-a\r\nContent-Length: 0\r\n\r\n'.encode()
            )
            connection.close()
            await asyncio.sleep(SETTLE_S)

    exchanges.run(check())
    assert len(seen) == 1
