"""Bound how fast calls of other regions may grow in number here.

Caches for the callers of another region are cold, so the number of its
calls that run at once grows by a bounded rate over the recent peak.
"""

import collections

from skylarkpitch import errors

__all__ = ['ShiftRamp', 'host_rate_per_s']

PEAK_BUCKET_S = 5.0
# A little over a second, for a clock that runs fast.
WINDOW_S = 1.05


def host_rate_per_s(
    *, shift_percent_per_s: float, fleet_slots: int, region_hosts: int
) -> float:
    """Return the growth, in calls a second, that one lender may allow.

    Summed over the region's hosts this is the configured percentage of the
    fleet's slots a second.
    """
    per_s = shift_percent_per_s / 100 * fleet_slots
    return per_s / max(1, region_hosts)


class ShiftRamp:
    """Allow a level to grow by at most a rate over its recent peak.

    Within any one second the peak grows by at most the rate, or by one
    call where that is more. The peak is the highest level of the last 5 to
    10 seconds.
    """

    def __init__(self, *, now_s: float) -> None:
        self._peaks = [0, 0]
        self._bucket = int(now_s // PEAK_BUCKET_S)
        self._grown: collections.deque[tuple[float, int]] = collections.deque()
        self._allowed = 0

    def headroom(self, level: int, *, rate_per_s: float, now_s: float) -> int:
        """Return by how many calls the level may grow now."""
        self._roll(level, now_s)
        while self._grown and self._grown[0][0] <= now_s - WINDOW_S:
            self._grown.popleft()
        per_window = max(1, int(rate_per_s))
        grown = sum(count for _, count in self._grown)
        self._allowed = max(0, per_window - grown)
        return max(0, max(self._peaks) - level) + self._allowed

    def record_growth(self, level: int, *, now_s: float) -> None:
        """Take it that the level has grown, within :meth:`headroom`.

        Raises ``InvariantError`` when it has grown past that.
        """
        above = level - max(self._peaks)
        self._peaks[0] = max(self._peaks[0], level)
        if above <= 0:
            return
        if above > self._allowed:
            raise errors.InvariantError(
                f'calls of other regions grew to {level}, {above} over the '
                'recent peak and past the cap; report this as a defect'
            )
        self._allowed -= above
        self._grown.append((now_s, above))

    def _roll(self, level: int, now_s: float) -> None:
        bucket = int(now_s // PEAK_BUCKET_S)
        if bucket == self._bucket:
            return
        previous_peak = self._peaks[0] if bucket == self._bucket + 1 else level
        self._peaks = [level, previous_peak]
        self._bucket = bucket
