"""Test that requests reach upstreams as callers sent them, byte for byte."""

import asyncio

import pytest

from tests.stand_ins import raw_upstream as upstreams
from tests.test_forwarding_exchange import forwarding
from tests.test_forwarding_exchange import run

METHODS = ('GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE', 'OPTIONS')


async def send(entry, method, target, *, request_id='r1', body=b''):
    """Send a request as it is written here; return its status."""
    reader, writer = await asyncio.open_connection('127.0.0.1', entry.port)
    lines = [
        f'{method} {target} HTTP/1.1',
        'Host: pans.example',
        f'Request-Id: {request_id}',
        'Request-Key: key',
        f'Content-Length: {len(body)}',
    ]
    writer.write('\r\n'.join([*lines, '', '']).encode() + body)
    status = int((await reader.readline()).split(b' ')[1])
    writer.close()
    return status


# Guards against targets that a library normalises on the way.
@pytest.mark.parametrize(
    'target',
    [
        '/pans/a',
        '/pans/',
        '/pans/a?',
        '/pans/a??',
        '/pans/?',
        '/pans/a?x',
        '/pans/a?x=',
        '/pans/a?x=1&x=2&&',
        '/pans/a?x=%20+%2B',
        '/pans/a?x=/../b?c',
        '/pans/a%2Fb',
        '/pans/a%2fb',
        '/pans/%7e~',
        '/pans/a;b=c',
        '/pans//a',
        '/pans/./a',
        '/pans/b/../a',
        '/pans/a/.',
        '/pans/%2e%2e/a',
        '/pans/%zz%',
        '/pans/a:b@c',
        "/pans/!$&'()*+,;=",
        '/pans/"<>\\^`{|}',
    ],
)
def test_target_reaches_the_upstream_unchanged(target):
    async def check():
        done = upstreams.respond()
        async with forwarding([done], repeatable=False) as entry:
            assert await send(entry, 'POST', target) == 200
            assert entry.upstreams[0].seen[0][1] == target

    run(check)


@pytest.mark.parametrize('body', [b'', b'a pan', b'\r\n\r\n\0\xff'])
@pytest.mark.parametrize('method', METHODS)
def test_method_and_body_reach_the_upstream_unchanged(method, body):
    async def check():
        done = upstreams.respond(body=b'')
        async with forwarding([done], repeatable=True) as entry:
            assert await send(entry, method, '/pans/a', body=body) == 200
            seen_method, _target, _headers, seen = entry.upstreams[0].seen[0]
            assert (seen_method, seen) == (method, body)

    run(check)
