"""Slot that counts against a cap until it is released."""

from collections.abc import Callable

from skylarkpitch import ports

__all__ = ['CountedSlot']


class CountedSlot:
    """Slot that calls ``on_finish`` before it is released."""

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
        """Release the slot and report how the exchange ended."""
        self._on_finish()
        self._slot.finish(exchange, latency_s=latency_s)

    def account(self, more_bytes: int) -> None:
        """Count response bytes against the budget of the link."""
        self._slot.account(more_bytes)
