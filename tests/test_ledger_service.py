"""Tests of claims on several hosts, with restarts and network failures."""

import asyncio
import contextlib
import random
import time

import pytest

from skylarkpitch import errors
from skylarkpitch import ports
from skylarkpitch.requests import ledger_service
from skylarkpitch.requests import operation_lifecycle
from skylarkpitch import sentinels
from tests.stand_ins import fake_peers

HOSTS = ('h1', 'h2', 'h3', 'h4')
RESPONSE = ports.Recorded(status=201, headers=(('X-No', '7'),), body=b'ok')


class Fleet:
    """Hosts of region r1, of which the first three are ledger members."""

    def __init__(self):
        self.network = fake_peers.FakeNetwork(
            hosts=[fake_peers.host(name) for name in HOSTS]
        )
        self.members = ('h1', 'h2', 'h3')
        self.epoch = 1
        self.opened_s = 10**12
        self.predates_all_operations = False
        self.wall_shift_s = 0.0
        self.services = {}

    async def start(self, *names):
        """Start or restart hosts, which lose their registers."""
        for name in names:
            await self.stop(name)
            self.services[name] = ledger_service.OperationLedger(
                peers=self.network.join(name),
                region='r1',
                members=lambda region: self.members,
                epoch=lambda: self.epoch,
                retention_s=lambda: 600.0,
                opened_s=lambda: self.opened_s,
                predates_all_operations=lambda: self.predates_all_operations,
                wall_clock=lambda: time.time() + self.wall_shift_s,
                rng=random.Random(name),
            )
        for name in names:
            await self.services[name].start()

    async def stop(self, name):
        if name in self.services:
            self.network._peers.pop(name, None)
            await self.services.pop(name).stop()

    async def synced(self, *names):
        """Run as many rounds of copying as change anything."""
        for _ in range(3):
            for name in names:
                await self.services[name]._members.sync()

    async def claim(self, name, operation_id='i1', body=b'f', wait_s=0.3):
        return await self.services[name].claim(
            organisation='org',
            operation_id=operation_id,
            fingerprint=body,
            deadline_s=time.monotonic() + wait_s,
        )


@contextlib.asynccontextmanager
async def fleet(*names):
    made = Fleet()
    await made.start(*names)
    await made.synced(*names)
    try:
        yield made
    finally:
        for name in HOSTS:
            await made.stop(name)


def run(coroutine):
    return asyncio.run(asyncio.wait_for(coroutine, 30))


def reason(result):
    return result.reason if sentinels.is_absent(result) else result


def test_first_claim_wins_and_resend_gets_the_response():
    async def go():
        async with fleet(*HOSTS) as made:
            won = await made.claim('h1')
            assert isinstance(won, ports.Claimed)
            assert reason(await made.claim('h4')) == 'still_running'
            waiting = asyncio.create_task(made.claim('h2', wait_s=5))
            await asyncio.sleep(0.05)
            await made.services['h1'].record(won, RESPONSE)
            assert await waiting == RESPONSE
            assert await made.claim('h4') == RESPONSE
            assert reason(await made.claim('h4', body=b'g')) == 'id_reused'

    run(go())


def test_simultaneous_claims_have_one_winner():
    async def go():
        async with fleet(*HOSTS) as made:
            for number in range(20):
                results = await asyncio.gather(
                    *(made.claim(name, f'id{number}') for name in HOSTS)
                )
                won = [
                    item for item in results if isinstance(item, ports.Claimed)
                ]
                assert len(won) <= 1
            assert made.services['h1'].counters()['registers'] <= 20

    run(go())


def test_resend_runs_after_release_but_not_after_lose():
    async def go():
        async with fleet(*HOSTS) as made:
            await made.services['h1'].release(await made.claim('h1'))
            won = await made.claim('h2')
            assert isinstance(won, ports.Claimed)
            await made.services['h2'].lose(won)
            assert reason(await made.claim('h3')) == 'outcome_unknown'
            with pytest.raises(errors.InvariantError):
                await made.services['h2'].lose(won)

    run(go())


@pytest.mark.parametrize(
    'events, state',
    [
        (('claim', 'release'), 'not_run'),
        (('claim', 'send', 'answer'), 'recorded'),
        (('claim', 'send', 'lose'), 'unknown'),
        (('claim', 'send', 'release'), None),
        (('send',), None),
        (('claim', 'send', 'lose', 'answer'), None),
        (('claim', 'release', 'send'), None),
    ],
)
def test_operation_follows_its_chart(events, state):
    lifecycle = operation_lifecycle.OperationLifecycle()
    if state is None:
        with pytest.raises(errors.InvariantError):
            lifecycle.apply(*events)
        assert lifecycle.state == 'unclaimed'
        return
    lifecycle.apply(*events)
    assert lifecycle.state == state


def test_outcome_is_unknown_after_a_crash_of_the_claimer():
    async def go():
        async with fleet(*HOSTS) as made:
            await made.claim('h4')
            await made.stop('h4')
            made.services['h1']._members._clock = lambda: 10**9
            assert reason(await made.claim('h2')) == 'outcome_unknown'

    run(go())


def test_without_majority_nothing_is_claimed():
    async def go():
        async with fleet(*HOSTS) as made:
            made.network.cut('h1', 'h2')
            made.network.cut('h1', 'h3')
            result = await made.claim('h1')
            assert reason(result) == 'ledger_unreachable'
            made.network.heal()
            assert isinstance(await made.claim('h2', wait_s=3), ports.Claimed)

    run(go())


@pytest.mark.parametrize('order', [('h1',), ('h1', 'h2', 'h3')])
def test_members_restarted_in_turn_retain_registers(order):
    async def go():
        async with fleet(*HOSTS) as made:
            won = await made.claim('h4')
            await made.services['h4'].record(won, RESPONSE)
            for name in order:
                await made.start(name)
                await made.synced(name)
                counters = made.services[name].counters()
                assert counters['members_not_synced'] == 0
            assert await made.claim('h2') == RESPONSE

    run(go())


def test_members_restarted_together_refuse_possibly_claimed_ids():
    async def go():
        async with fleet(*HOSTS) as made:
            made.opened_s = 0.0
            prefix = made.services['h4'].id_prefix()
            made.wall_shift_s = 60
            await made.start('h1', 'h2', 'h3')
            await made.synced('h1', 'h2', 'h3')
            old = await made.claim('h4', f'{prefix}x', wait_s=3)
            assert reason(old) == 'id_expired'
            own = await made.claim('h4', 'own', wait_s=3)
            assert reason(own) == 'ledger_unreachable'
            made.wall_shift_s = 70
            prefix = made.services['h4'].id_prefix()
            new = await made.claim('h4', f'{prefix}x', wait_s=3)
            assert isinstance(new, ports.Claimed)
            made.opened_s = time.time() + 70
            own = await made.claim('h4', 'own', wait_s=3)
            assert isinstance(own, ports.Claimed)

    run(go())


def test_member_change_retains_registers():
    async def go():
        async with fleet(*HOSTS) as made:
            won = await made.claim('h4')
            await made.services['h4'].record(won, RESPONSE)
            await made.stop('h1')
            made.members = ('h2', 'h3', 'h4')
            made.epoch = 2
            await made.synced('h2', 'h3', 'h4')
            await made.stop('h2')
            assert await made.claim('h3') == RESPONSE
            assert await made.claim('h4') == RESPONSE

    run(go())


def test_id_past_its_retention_is_refused():
    async def go():
        async with fleet(*HOSTS) as made:
            prefix = made.services['h1'].id_prefix()
            made.wall_shift_s = 700
            result = await made.claim('h2', f'{prefix}x')
            assert reason(result) == 'id_expired'

    run(go())


def test_planned_stop_waits_for_members_that_are_copying():
    async def go():
        async with fleet(*HOSTS) as made:
            stopping = made.services['h1']
            assert await stopping.wait_for_peers(timeout_s=0)
            made.network.cut('h2', 'h3')
            await made.start('h2')
            assert not await stopping.wait_for_peers(timeout_s=0)
            made.network.heal()
            await made.synced('h2')
            assert await stopping.wait_for_peers(timeout_s=0)

    run(go())


def test_first_start_of_a_deployment_accepts_ids_of_callers():
    async def go():
        async with fleet(*HOSTS) as made:
            made.opened_s = 0.0
            assert reason(await made.claim('h4')) == 'ledger_unreachable'
            made.predates_all_operations = True
            await made.synced(*HOSTS)
            made.predates_all_operations = False
            won = await made.claim('h4')
            assert isinstance(won, ports.Claimed)
            await made.services['h4'].record(won, RESPONSE)
            for name in ('h1', 'h2', 'h3'):
                await made.start(name)
                await made.synced(name)
            assert await made.claim('h4') == RESPONSE
            assert isinstance(await made.claim('h4', 'i2'), ports.Claimed)

    run(go())
