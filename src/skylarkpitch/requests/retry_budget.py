"""Limit of retries to a fraction of requests.

Each request adds ``ratio`` of a token and each retry consumes a whole one.
An upstream that fails every request thus causes at most ``1 + ratio`` times
the load.
"""

__all__ = ['RetryBudget']

MAX_TOKENS = 10.0


class RetryBudget:
    """Retry tokens of one service."""

    def __init__(self) -> None:
        self._tokens = MAX_TOKENS

    def add_request(self, *, ratio: float) -> None:
        """Add ``ratio`` of a token, up to ``MAX_TOKENS``."""
        self._tokens = min(MAX_TOKENS, self._tokens + ratio)

    def consume(self) -> bool:
        """Consume a token; return False if there is no whole one."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
