"""Tests of ids issued while the ledger's members start one by one."""

from skylarkpitch import ports
from tests import test_ledger_service


def test_id_issued_after_the_members_have_met_is_claimed():
    async def go():
        names = test_ledger_service.HOSTS
        async with test_ledger_service.fleet(names[0]) as made:
            made.opened_s = 0.0
            made.wall_shift_s = 3.0
            await made.start(*names[1:])
            await made.synced(*names)
            prefix = made.services[names[0]].id_prefix()
            made.wall_shift_s = 6.0
            answer = await made.claim(names[0], f'{prefix}x', wait_s=3)
            assert isinstance(answer, ports.OperationClaim)

    test_ledger_service.run(go())
