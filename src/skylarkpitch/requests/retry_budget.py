"""Bound retries to a fraction of calls.

Each call adds ``ratio`` of a token and each retry takes a whole one, so that
an upstream that fails every call costs at most ``1 + ratio`` times the load.
"""

__all__ = ['RetryBudget']

MAX_TOKENS = 10.0


class RetryBudget:
    """Hold the retry tokens of one service."""

    def __init__(self) -> None:
        self._tokens = MAX_TOKENS

    def add_call(self, *, ratio: float) -> None:
        """Count a call; it earns ``ratio`` of a retry."""
        self._tokens = min(MAX_TOKENS, self._tokens + ratio)

    def take(self) -> bool:
        """Take one retry, if the budget holds a whole one."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
