"""Keep the bytes over a link between two regions within its budget.

A link carries so many bits a second each way. The request of a call goes
one way and its answer the other, and both regions send calls. Each region
therefore gets half, counts request and answer together, and divides its
half among its entry hosts, so that the sum holds with no common counter.
"""

from skylarkpitch import errors

__all__ = ['LinkBudget', 'host_bytes_per_s']

BURST_S = 0.2
BYTES_PER_MBIT = 125_000


def host_bytes_per_s(*, mbit_per_s: float, region_hosts: int) -> float:
    """Return the bytes a second that one host may cause each way."""
    return mbit_per_s * BYTES_PER_MBIT / 2 / max(1, region_hosts)


class LinkBudget:
    """Token bucket: within any one second at most the rate is spent."""

    def __init__(self, *, bytes_per_s: float, now_s: float) -> None:
        self._bytes_per_s = bytes_per_s
        self._tokens = bytes_per_s * BURST_S
        self._filled_s = now_s
        self.spent_bytes = 0

    def can_spend(self, count_bytes: int, *, now_s: float) -> bool:
        """Tell whether so many bytes may be spent now."""
        self._fill(now_s)
        return count_bytes <= self._tokens

    def spend(self, count_bytes: int, *, now_s: float) -> None:
        """Spend bytes; ``InvariantError`` if the budget lacks them."""
        if not self.can_spend(count_bytes, now_s=now_s):
            raise errors.InvariantError(
                f'{count_bytes} bytes were sent over a link with less left '
                'in its budget; report this as a defect'
            )
        self._tokens -= count_bytes
        self.spent_bytes += count_bytes

    def charge_excess(self, count_bytes: int, *, now_s: float) -> None:
        """Count bytes that an answer had over the expected ones."""
        self._fill(now_s)
        self._tokens -= count_bytes
        self.spent_bytes += count_bytes

    def _fill(self, now_s: float) -> None:
        gained = (now_s - self._filled_s) * self._bytes_per_s * (1 - BURST_S)
        full = self._bytes_per_s * BURST_S
        self._tokens = min(full, self._tokens + max(0.0, gained))
        self._filled_s = now_s
