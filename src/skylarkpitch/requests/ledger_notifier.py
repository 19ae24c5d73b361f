"""Tell the members of a ledger how a claim ended."""

import asyncio

import structlog

from skylarkpitch.messages import requests as messages
from skylarkpitch.peers import network
from skylarkpitch.requests import ledger_members
from skylarkpitch import sentinels

__all__ = ['LedgerNotifier']

TRIES = 4
ASK_TIMEOUT_S = 1.0
PAUSE_S = 0.25

_log = structlog.get_logger(__name__)


class LedgerNotifier:
    """Send ends of claims to members, this host's own included."""

    def __init__(
        self, *, peers: network.Peers, own: ledger_members.LedgerMembers
    ) -> None:
        self._peers = peers
        self._own = own

    async def tell(
        self,
        region: str,
        members: tuple[str, ...],
        register: messages.Register,
    ) -> None:
        """Tell all members, and again those that did not answer.

        A member that hears nothing within ``TRIES`` calls the outcome
        unknown once the claim's lease is over.
        """
        settle = messages.Settle(region=region, register=register)
        left = list(members)
        for attempt in range(1, TRIES + 1):
            told = await asyncio.gather(
                *(self._tell_one(name, settle) for name in left)
            )
            left = [n for n, ok in zip(left, told, strict=True) if not ok]
            if not left:
                return
            await asyncio.sleep(PAUSE_S * attempt)
        _log.warning(
            'operation_not_settled_everywhere',
            region=region,
            state=register.state,
            members=left,
        )

    async def _tell_one(self, name: str, settle: messages.Settle) -> bool:
        if name == self._peers.directory.local_host.name:
            self._own.settle(settle)
            return True
        answer = await self._peers.request(
            name, settle, timeout_s=ASK_TIMEOUT_S
        )
        return not sentinels.is_absent(answer)
