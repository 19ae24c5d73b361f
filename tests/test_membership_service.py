"""Tests of the HTTP routes for upstreams."""

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
VALID_ANNOUNCEMENT = {
    'name': 'u1',
    'service': 'desk',
    'url': 'http://127.0.0.1:8',
    'slots': 2,
    'connections': 9,
    'instance': 'i1',
}


async def post(
    document, *, token=TOKEN, path='announce', attempts=1, site=None
):
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
        for _ in range(attempts):
            response = await client.post(
                f'/skylark/v1/upstreams/{path}',
                json=body,
                headers={'Skylark-Announce-Token': token},
            )
            received = await response.json()
            body = {**document, 'echo': received.get('echo', '')}
    return response.status, received, membership


def test_second_announcement_with_the_echo_gains_the_lease():
    status, response, membership = asyncio.run(
        post(VALID_ANNOUNCEMENT, attempts=2)
    )
    assert (status, response['owner']) == (200, 'h1')
    (upstream,) = membership.upstreams()
    assert (upstream.name, upstream.slots, upstream.owner) == ('u1', 2, 'h1')
    assert membership.counters()['slots'] == 2


def test_any_host_accepts_a_leave_notice():
    document = {'name': 'u1', 'instance': 'i1'}
    status, response, _ = asyncio.run(post(document, path='leave'))
    assert (status, response) == (200, {'left': True})


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
    actual_status, received, membership = asyncio.run(
        post({**VALID_ANNOUNCEMENT, **changes}, **options)
    )
    assert (actual_status, received['reason']) == (status, reason)
    assert received['remedy']
    assert membership.upstreams() == []
