"""Tell the time of day without the steps of a clock."""

import time

__all__ = ['TimeOfDay', 'running_s', 'unix_ms']

# A clock that is slewed changes by less between two readings of a second.
MAX_SLEW_MS = 100
# A step that lasts is a correction of the clock, not a fault of it.
STEP_HOLD_S = 60.0
MS_PER_S = 1000
NS_PER_MS = 1_000_000


def unix_ms() -> int:
    """Return the time of day of this host, in Unix ms."""
    return time.time_ns() // NS_PER_MS


def running_s() -> float:
    """Return a steady time, in seconds, that counts suspended time."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class TimeOfDay:
    """Time of day of one host, which follows a step only if it lasts.

    Each reading is a pair of a time of day and a steady time, which must
    count the time during which the host was suspended. Readings have to be
    taken at least once a second.
    """

    def __init__(self, *, unix_ms: int, running_s: float) -> None:
        self._offset_ms = unix_ms - running_s * MS_PER_S
        self._stepped_at_s: float | None = None

    def read(self, *, unix_ms: int, running_s: float) -> int:
        """Return the time of day, in Unix ms."""
        offset_ms = unix_ms - running_s * MS_PER_S
        if abs(offset_ms - self._offset_ms) <= MAX_SLEW_MS:
            self._offset_ms = offset_ms
            self._stepped_at_s = None
        elif self._stepped_at_s is None:
            self._stepped_at_s = running_s
        elif running_s - self._stepped_at_s >= STEP_HOLD_S:
            self._offset_ms = offset_ms
            self._stepped_at_s = None
        return round(self._offset_ms + running_s * MS_PER_S)
