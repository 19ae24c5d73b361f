"""Send the final state of a claim to the members of a ledger."""

import asyncio

import structlog

from skylarkpitch.messages import requests as messages
from skylarkpitch.peers import network
from skylarkpitch.requests import ledger_members
from skylarkpitch import sentinels

__all__ = ['LedgerNotifier']

MAX_ATTEMPTS = 4
REQUEST_TIMEOUT_S = 1.0
RETRY_BACKOFF_S = 0.25

_log = structlog.get_logger(__name__)


class LedgerNotifier:
    """Send final states of claims to members on this and other hosts."""

    def __init__(
        self,
        *,
        peers: network.Peers,
        local_members: ledger_members.LedgerMembers,
    ) -> None:
        self._peers = peers
        self._local_members = local_members

    async def notify(
        self,
        region: str,
        members: tuple[str, ...],
        register: messages.Register,
    ) -> None:
        """Send ``register`` to all members, and retry failed sends.

        A member that is not reached in ``MAX_ATTEMPTS`` sets the outcome to
        unknown once the lease of the claim has expired.
        """
        settle = messages.SettleRequest(region=region, register=register)
        pending = list(members)
        for attempt in range(1, MAX_ATTEMPTS + 1):
            confirmed = await asyncio.gather(
                *(self._notify_member(name, settle) for name in pending)
            )
            pending = [
                name
                for name, ok in zip(pending, confirmed, strict=True)
                if not ok
            ]
            if not pending:
                return
            await asyncio.sleep(RETRY_BACKOFF_S * attempt)
        _log.warning(
            'operation_not_settled_everywhere',
            region=region,
            state=register.state,
            members=pending,
        )

    async def _notify_member(
        self, name: str, settle: messages.SettleRequest
    ) -> bool:
        if name == self._peers.directory.local_host.name:
            self._local_members.settle(settle)
            return True
        response = await self._peers.request(
            name, settle, timeout_s=REQUEST_TIMEOUT_S
        )
        return not sentinels.is_absent(response)
