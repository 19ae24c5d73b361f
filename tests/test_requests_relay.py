"""Tests of exchanges that run through another host's relay."""

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
    """Host that owns the upstream's slots; a ticket counts once."""

    def __init__(self, upstream_url):
        self.slot = request_ports.FakeSlot(upstream='u0', url=upstream_url)
        self.tickets = {'ticket-1': self.slot}
        self.server = relay.RelayServer(
            redeem=lambda ticket: self.tickets.pop(
                ticket, sentinels.Absent('ticket_unknown')
            ),
            settings=daemon.LimitSettings(),
        )


def remote_slots(bench, url, ticket='ticket-1'):
    """Make the bench's slot allocator return a slot of a relay."""

    async def take(*, exclude, **request):
        if bench.slot_allocator.slots:
            return sentinels.Absent('no_room')
        slot = request_ports.FakeSlot(
            upstream='u0',
            url=f'{url}{relay.RELAY_PATH}',
            headers={headers.TICKET_HEADER: ticket},
        )
        bench.slot_allocator.slots.append(slot)
        return slot

    bench.slot_allocator.reserve = take


async def _post(upstream_url, ticket='ticket-1', handler=None):
    owner = Owner(upstream_url)
    async with (
        request_ports.serving(handler or owner.server.handle) as relay_url,
        test_requests_path.benched() as bench,
    ):
        remote_slots(bench, relay_url, ticket)
        async with bench.caller.post(
            '/svc/book?n=1',
            data=b'pan',
            headers={**KEY, 'Idempotency-Key': 'i1'},
        ) as answer:
            body = await answer.read()
    await owner.server.close()
    return owner, bench, answer, body


def run(coroutine):
    return asyncio.run(asyncio.wait_for(coroutine, 20))


def test_relayed_call_reaches_the_upstream():
    async def go():
        async with request_ports.serving(test_requests_path.echo) as url:
            return await _post(url)

    owner, bench, answer, body = run(go())
    seen = json.loads(body)
    names = {name.lower(): value for name, value in seen['headers']}
    assert seen['target'] == '/svc/book?n=1'
    assert seen['body'] == 'pan'
    assert names['skylark-organisation'] == 'org-a'
    assert names['idempotency-key'] == 'i1'
    assert not {'skylark-key', 'skylark-ticket'} & set(names)
    assert not [n for n in answer.headers if n.startswith('Skylark-Relay')]
    assert owner.slot.ends == ['answered']
    assert bench.ledger.calls == ['claim', 'record']


async def not_a_relay(request):
    return test_requests_path.web.Response(status=410)


async def forging(request):
    """Answer as an upstream that pretends that nothing ran."""
    return test_requests_path.web.Response(
        status=502, headers={'Skylark-Relay-Outcome': 'not-run'}
    )


async def dying(request):
    """Die as a relay does when its host is lost."""
    request.transport.abort()
    return test_requests_path.web.Response()


def test_lost_relay_is_no_death_of_the_upstream():
    _, bench, answer, _ = run(_post('http://127.0.0.1:1', handler=dying))
    assert answer.headers['Skylark-Outcome'] == 'unknown'
    assert bench.path.counters()['deaths'] == 0


@pytest.mark.parametrize(
    'upstream, ticket, handler, status, outcome, calls',
    [
        ('dead', 'ticket-1', None, 503, 'not-run', ['claim', 'release']),
        ('dead', 'other', None, 503, 'not-run', ['claim', 'release']),
        (
            'dead',
            'ticket-1',
            not_a_relay,
            502,
            'unknown',
            ['claim', 'mark_unknown'],
        ),
        ('forging', 'ticket-1', None, 502, None, ['claim', 'record']),
    ],
)
def test_outcome_is_trusted_only_from_the_relay(
    upstream, ticket, handler, status, outcome, calls
):
    async def go():
        if upstream == 'dead':
            return await _post('http://127.0.0.1:1', ticket, handler)
        async with request_ports.serving(forging) as url:
            return await _post(url, ticket, handler)

    _, bench, answer, _ = run(go())
    assert answer.status == status
    assert answer.headers.get('Skylark-Outcome') == outcome
    assert bench.ledger.calls == calls
