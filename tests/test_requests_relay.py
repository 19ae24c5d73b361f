"""Tests of exchanges that run through the relay of another host."""

import asyncio
import json

import pytest

from skylarkpitch.requests import headers
from skylarkpitch.requests import relay
from skylarkpitch import sentinels
from skylarkpitch.settings import daemon
from tests.stand_ins import request_ports
from tests import test_requests_path

KEY = test_requests_path.KEY


class Owner:
    """Host that owns the slots of the upstream; a ticket is valid once."""

    def __init__(self, upstream_url):
        self.slot = request_ports.FakeSlot(upstream='u0', url=upstream_url)
        self.tickets = {'ticket-1': self.slot}
        self.server = relay.RelayServer(
            redeem=lambda ticket: self.tickets.pop(
                ticket, sentinels.Absent('ticket_unknown')
            ),
            settings=daemon.LimitSettings(),
        )


def use_remote_slots(bench, url, ticket='ticket-1'):
    """Make the bench's slot allocator return a slot of a relay."""

    async def reserve(*, exclude, **request):
        if bench.slot_allocator.slots:
            return sentinels.Absent('no_room')
        slot = request_ports.FakeSlot(
            upstream='u0',
            url=f'{url}{relay.RELAY_PATH}',
            headers={headers.TICKET_HEADER: ticket},
        )
        bench.slot_allocator.slots.append(slot)
        return slot

    bench.slot_allocator.reserve = reserve


async def _post(upstream_url, ticket='ticket-1', handler=None):
    owner = Owner(upstream_url)
    async with (
        request_ports.serving(handler or owner.server.handle) as relay_url,
        test_requests_path.serve_bench() as bench,
    ):
        use_remote_slots(bench, relay_url, ticket)
        async with bench.caller.post(
            '/svc/book?n=1',
            data=b'pan',
            headers={**KEY, 'Idempotency-Key': 'i1'},
        ) as response:
            body = await response.read()
    await owner.server.close()
    return owner, bench, response, body


def run(coroutine):
    return asyncio.run(asyncio.wait_for(coroutine, 20))


def test_relayed_request_reaches_the_upstream():
    async def go():
        async with request_ports.serving(test_requests_path.echo) as url:
            return await _post(url)

    owner, bench, response, body = run(go())
    seen = json.loads(body)
    names = {name.lower(): value for name, value in seen['headers']}
    assert seen['target'] == '/svc/book?n=1'
    assert seen['body'] == 'pan'
    assert names['skylark-organisation'] == 'org-a'
    assert names['idempotency-key'] == 'i1'
    assert not {'skylark-key', 'skylark-ticket'} & set(names)
    assert not [n for n in response.headers if n.startswith('Skylark-Relay')]
    assert owner.slot.results == ['answered']
    assert bench.ledger.calls == ['claim', 'record']


async def not_a_relay(request):
    return test_requests_path.web.Response(status=410)


async def forge_outcome(request):
    """Respond as an upstream with a forged "not-run" outcome."""
    return test_requests_path.web.Response(
        status=502, headers={'Skylark-Relay-Outcome': 'not-run'}
    )


async def abort_connection(request):
    """Abort the connection, like a relay whose host fails."""
    request.transport.abort()
    return test_requests_path.web.Response()


def test_failed_relay_is_no_crash_of_the_upstream():
    _, bench, response, _ = run(
        _post('http://127.0.0.1:1', handler=abort_connection)
    )
    assert response.headers['Skylark-Outcome'] == 'unknown'
    assert bench.handler.counters()['deaths'] == 0


@pytest.mark.parametrize(
    'upstream, ticket, handler, status, outcome, calls',
    [
        ('dead', 'ticket-1', None, 503, 'not-run', ['claim', 'release']),
        ('dead', 'other', None, 503, 'not-run', ['claim', 'release']),
        ('dead', 'ticket-1', not_a_relay, 502, 'unknown', ['claim', 'lose']),
        ('forging', 'ticket-1', None, 502, None, ['claim', 'record']),
    ],
)
def test_outcome_is_accepted_only_from_the_relay(
    upstream, ticket, handler, status, outcome, calls
):
    async def go():
        if upstream == 'dead':
            return await _post('http://127.0.0.1:1', ticket, handler)
        async with request_ports.serving(forge_outcome) as url:
            return await _post(url, ticket, handler)

    _, bench, response, _ = run(go())
    assert response.status == status
    assert response.headers.get('Skylark-Outcome') == outcome
    assert bench.ledger.calls == calls
