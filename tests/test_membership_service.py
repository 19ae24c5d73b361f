"""Check what upstreams get over HTTP."""

import asyncio
import hashlib
import random

from aiohttp import test_utils
from aiohttp import web
import pytest

from skylarkpitch.membership import service as membership_service
from skylarkpitch import sentinels
from tests.stand_ins import fake_peers
from tests.stand_ins import steering_hosts

TOKEN = 'announce'
GOOD = {
    'name': 'u1',
    'service': 'desk',
    'url': 'http://127.0.0.1:8',
    'slots': 2,
    'connections': 9,
    'instance': 'i1',
}


async def post(document, *, token=TOKEN, path='announce', times=1, site=None):
    peers = fake_peers.FakeNetwork(hosts=[fake_peers.host('h1')]).join('h1')
    config = steering_hosts.config() if site is None else site
    membership = membership_service.UpstreamMembership(
        peers=peers,
        site_config=lambda: config,
        drains=frozenset,
        announce_token_hash=hashlib.sha256(TOKEN.encode()).hexdigest(),
        rng=random.Random(1),
    )
    app = web.Application()
    app.add_routes(membership.routes())
    async with test_utils.TestClient(test_utils.TestServer(app)) as client:
        body = document
        for _ in range(times):
            answer = await client.post(
                f'/skylark/v1/upstreams/{path}',
                json=body,
                headers={'Skylark-Announce-Token': token},
            )
            got = await answer.json()
            body = {**document, 'echo': got.get('echo', '')}
    return answer.status, got, membership


def test_second_announcement_with_the_echo_owns():
    status, answer, membership = asyncio.run(post(GOOD, times=2))
    assert (status, answer['owner']) == (200, 'h1')
    (upstream,) = membership.upstreams()
    assert (upstream.name, upstream.slots, upstream.owner) == ('u1', 2, 'h1')
    assert membership.counters()['slots'] == 2


def test_leave_is_taken_by_any_host():
    document = {'name': 'u1', 'instance': 'i1'}
    status, answer, _ = asyncio.run(post(document, path='leave'))
    assert (status, answer) == (200, {'left': True})


@pytest.mark.parametrize(
    ('changes', 'options', 'status', 'reason'),
    [
        ({}, {'token': 'x'}, 403, 'announce_token_wrong'),
        ({'slots': 0}, {}, 400, 'announcement_invalid'),
        ({'slots': 'many'}, {}, 400, 'announcement_invalid'),
        ({'url': 'ftp://x'}, {}, 400, 'announcement_invalid'),
        ({'other': 1}, {}, 400, 'announcement_invalid'),
        ({'instance': 'x' * 20_000}, {}, 400, 'announcement_invalid'),
        ({'service': 'none'}, {}, 400, 'service_unknown'),
        ({}, {'site': sentinels.Absent('stale')}, 503, 'state_stale'),
    ],
)
def test_refusals_are_typed_and_name_the_remedy(
    changes, options, status, reason
):
    got_status, got, membership = asyncio.run(
        post({**GOOD, **changes}, **options)
    )
    assert (got_status, got['reason']) == (status, reason)
    assert got['remedy']
    assert membership.upstreams() == []
