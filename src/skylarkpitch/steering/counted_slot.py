"""Tell when a slot that counts against a cap is given back."""

from collections.abc import Callable

from skylarkpitch import ports

__all__ = ['CountedSlot']


class CountedSlot:
    """Slot whose end is told before it is given back."""

    def __init__(
        self, *, slot: ports.Slot, on_finish: Callable[[], None]
    ) -> None:
        self.upstream = slot.upstream
        self.url = slot.url
        self.headers = slot.headers
        self._slot = slot
        self._on_finish = on_finish

    def finish(
        self, exchange: ports.ExchangeOutcome, *, latency_s: float
    ) -> None:
        """Give the slot back and tell how the exchange ended."""
        self._on_finish()
        self._slot.finish(exchange, latency_s=latency_s)

    def account(self, more_bytes: int) -> None:
        """Count bytes of the answer against the link that they cross."""
        self._slot.account(more_bytes)
