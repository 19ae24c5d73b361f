"""Exponential backoff for an upstream that sheds, fails or times out."""

import random

__all__ = ['Backoff']

BASE_DELAY_S = 0.1
MAX_DELAY_S = 10.0
MAX_COUNTED_FAILURES = 7


class Backoff:
    """Exponential backoff with jitter, followed by a single probe.

    The delay doubles with each failure up to ``MAX_DELAY_S`` and is then
    multiplied by a random factor between 0.5 and 1.0.
    """

    def __init__(self) -> None:
        self.failures = 0
        self._until_s = 0.0

    def record_failure(self, *, now_s: float, rng: random.Random) -> None:
        """Count a failure; ignore it while a delay is running."""
        if self.is_in_backoff(now_s=now_s):
            return
        self.failures = min(self.failures + 1, MAX_COUNTED_FAILURES)
        max_delay_s = min(MAX_DELAY_S, BASE_DELAY_S * 2**self.failures)
        self._until_s = now_s + max_delay_s * rng.uniform(0.5, 1.0)

    def reset(self) -> None:
        """Set the failure count to zero and end the delay."""
        self.failures = 0
        self._until_s = 0.0

    def is_in_backoff(self, *, now_s: float) -> bool:
        """Return whether the delay is running and no request may be sent."""
        return now_s < self._until_s

    def is_probing(self, *, now_s: float) -> bool:
        """Return whether only one request at a time may be sent."""
        return self.failures > 0 and not self.is_in_backoff(now_s=now_s)

    def resume_fraction(self) -> float:
        """Return the fraction of the slots to use after a successful probe.

        Each counted failure halves it.
        """
        return 0.5**self.failures
