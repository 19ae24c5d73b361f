"""Slot of an upstream that another entry host owns."""

from collections.abc import Callable

from skylarkpitch.peers import directory as directories
from skylarkpitch import ports

__all__ = ['RemoteSlot']

RELAY_PATH = '/skylark/v1/relay'
TICKET_HEADER = 'Skylark-Ticket'


class RemoteSlot:
    """Slot of another host's upstream, used through that host's relay.

    ``finish`` and ``account`` are called by the methods of the same name.
    """

    def __init__(
        self,
        *,
        host: directories.Host,
        ticket: str,
        finish: Callable[[ports.ExchangeOutcome], None],
        account: Callable[[int], None],
    ) -> None:
        self.upstream = f'relay:{host.name}'
        self.url = f'http://{host.relay_address}{RELAY_PATH}'
        self.headers = {TICKET_HEADER: ticket}
        self._finish = finish
        self._account = account

    def finish(
        self, exchange: ports.ExchangeOutcome, *, latency_s: float
    ) -> None:
        """Report how the exchange with the relay ended."""
        self._finish(exchange)

    def account(self, more_bytes: int) -> None:
        """Count response bytes beyond the expected number."""
        self._account(more_bytes)
