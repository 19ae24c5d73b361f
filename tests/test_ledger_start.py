"""Tests of ids that are issued while members start one after another."""

from skylarkpitch import ports
from tests import test_ledger_service


def test_id_issued_after_members_have_synced_is_claimed():
    async def go():
        names = test_ledger_service.HOSTS
        async with test_ledger_service.fleet(names[0]) as made:
            made.opened_s = 0.0
            made.wall_shift_s = 3.0
            await made.start(*names[1:])
            await made.synced(*names)
            prefix = made.services[names[0]].id_prefix()
            made.wall_shift_s = 6.0
            result = await made.claim(names[0], f'{prefix}x', wait_s=3)
            assert isinstance(result, ports.Claimed)

    test_ledger_service.run(go())
