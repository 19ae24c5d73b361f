"""Stand for a slot of another host, reached by its relay."""

from collections.abc import Callable

from skylarkpitch.peers import directory as directories
from skylarkpitch import ports

__all__ = ['RemoteSlot']

RELAY_PATH = '/skylark/v1/relay'
TICKET_HEADER = 'Skylark-Ticket'


class RemoteSlot:
    """One slot of an upstream of another host, reached by its relay."""

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
        """Tell how the exchange with the lender's relay ended."""
        self._finish(exchange)

    def account(self, more_bytes: int) -> None:
        """Count bytes over those that the call was expected to need."""
        self._account(more_bytes)
