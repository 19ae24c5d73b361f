"""Back off an upstream that sheds, fails or times out."""

import random

__all__ = ['Backoff']

BASE_DELAY_S = 0.1
MAX_DELAY_S = 10.0
MAX_COUNTED_FAILURES = 7


class Backoff:
    """Exponential back-off with jitter, and a single probe after it."""

    def __init__(self) -> None:
        self.failures = 0
        self._until_s = 0.0

    def record_failure(self, *, now_s: float, rng: random.Random) -> None:
        """Count a failure; further ones while backed off add nothing."""
        if self.is_in_backoff(now_s=now_s):
            return
        self.failures = min(self.failures + 1, MAX_COUNTED_FAILURES)
        max_delay_s = min(MAX_DELAY_S, BASE_DELAY_S * 2**self.failures)
        self._until_s = now_s + max_delay_s * rng.uniform(0.5, 1.0)

    def reset(self) -> None:
        """Forget the failures."""
        self.failures = 0
        self._until_s = 0.0

    def is_in_backoff(self, *, now_s: float) -> bool:
        """Tell whether nothing may be sent now."""
        return now_s < self._until_s

    def is_probing(self, *, now_s: float) -> bool:
        """Tell whether one request at a time may be sent."""
        return self.failures > 0 and not self.is_in_backoff(now_s=now_s)

    def resume_fraction(self) -> float:
        """Return the part of the slots to resume with after a success."""
        return 0.5**self.failures
