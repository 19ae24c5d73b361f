"""Limit how fast the number of calls from remote regions may grow.

Caches are cold for the callers of a remote region. The number of their calls
that run at once may therefore exceed its recent peak only at a limited rate.
"""

import collections

from skylarkpitch import errors

__all__ = ['ShiftRamp', 'host_rate_per_s']

PEAK_BUCKET_S = 5.0
# Longer than the second that is checked, in case the clock runs fast.
WINDOW_S = 1.05


def host_rate_per_s(
    *, shift_percent_per_s: float, fleet_slots: int, region_hosts: int
) -> float:
    """Return the growth that one host may allow, in calls per second.

    The sum over the hosts of the region is the configured percentage of the
    fleet's slots per second.
    """
    per_s = shift_percent_per_s / 100 * fleet_slots
    return per_s / max(1, region_hosts)


class ShiftRamp:
    """Limit how fast a number of running calls may exceed its recent peak.

    Within any one second the peak grows by at most the rate, or by one call
    if the rate is lower. The peak is the highest number in the current and the
    previous interval of ``PEAK_BUCKET_S``, that is of the last 5 to 10
    seconds.
    """

    def __init__(self, *, now_s: float) -> None:
        self._peaks = [0, 0]
        self._bucket = int(now_s // PEAK_BUCKET_S)
        self._growth: collections.deque[tuple[float, int]] = (
            collections.deque()
        )
        self._allowed = 0

    def headroom(self, level: int, *, rate_per_s: float, now_s: float) -> int:
        """Return by how many the running calls, now ``level``, may grow."""
        self._advance_bucket(level, now_s)
        while self._growth and self._growth[0][0] <= now_s - WINDOW_S:
            self._growth.popleft()
        per_window = max(1, int(rate_per_s))
        grown = sum(count for _, count in self._growth)
        self._allowed = max(0, per_window - grown)
        return max(0, max(self._peaks) - level) + self._allowed

    def record_growth(self, level: int, *, now_s: float) -> None:
        """Record the number of running calls after it has grown.

        Raises ``InvariantError`` when it has grown by more than the last
        :meth:`headroom`.
        """
        excess = level - max(self._peaks)
        self._peaks[0] = max(self._peaks[0], level)
        if excess <= 0:
            return
        if excess > self._allowed:
            raise errors.InvariantError(
                f'calls of remote regions grew to {level}, {excess} above the '
                'recent peak and beyond the cap; report this as a defect'
            )
        self._allowed -= excess
        self._growth.append((now_s, excess))

    def _advance_bucket(self, level: int, now_s: float) -> None:
        bucket = int(now_s // PEAK_BUCKET_S)
        if bucket == self._bucket:
            return
        previous_peak = self._peaks[0] if bucket == self._bucket + 1 else level
        self._peaks = [level, previous_peak]
        self._bucket = bucket
