"""Limit the bytes that calls send over a link between two regions.

A link has a capacity in bits per second in each direction. The request of a
call uses one direction and its response the other, and both regions send
calls. Each region therefore gets half of the capacity, counts requests and
responses together, and divides its half among its entry hosts, so that the
sum stays within the capacity without a shared counter.
"""

from skylarkpitch import errors

__all__ = ['LinkBudget', 'host_bytes_per_s']

# Capacity of the bucket, in seconds of the rate.
BURST_S = 0.2
BYTES_PER_MBIT = 125_000


def host_bytes_per_s(*, mbit_per_s: float, region_hosts: int) -> float:
    """Return the bytes per second that the calls of one host may use."""
    return mbit_per_s * BYTES_PER_MBIT / 2 / max(1, region_hosts)


class LinkBudget:
    """Token bucket that spends at most its rate in any one second.

    The bucket holds ``BURST_S`` seconds of the rate, and is filled at the
    rate less that part: a full bucket and the refill of one second together
    are no more than the rate.
    """

    def __init__(self, *, bytes_per_s: float, now_s: float) -> None:
        self._bytes_per_s = bytes_per_s
        self._tokens = bytes_per_s * BURST_S
        self._filled_s = now_s
        self.spent_bytes = 0

    def can_spend(self, count_bytes: int, *, now_s: float) -> bool:
        """Return whether ``count_bytes`` may be spent now."""
        self._fill(now_s)
        return count_bytes <= self._tokens

    def spend(self, count_bytes: int, *, now_s: float) -> None:
        """Spend bytes; raise ``InvariantError`` if there are too few."""
        if not self.can_spend(count_bytes, now_s=now_s):
            raise errors.InvariantError(
                f'{count_bytes} bytes exceed what is left in the budget of '
                'the link; report this as a defect'
            )
        self._tokens -= count_bytes
        self.spent_bytes += count_bytes

    def charge_excess(self, count_bytes: int, *, now_s: float) -> None:
        """Spend the bytes of a response beyond the expected number.

        The balance may become negative.
        """
        self._fill(now_s)
        self._tokens -= count_bytes
        self.spent_bytes += count_bytes

    def _fill(self, now_s: float) -> None:
        refill = (now_s - self._filled_s) * self._bytes_per_s * (1 - BURST_S)
        capacity = self._bytes_per_s * BURST_S
        self._tokens = min(capacity, self._tokens + max(0.0, refill))
        self._filled_s = now_s
