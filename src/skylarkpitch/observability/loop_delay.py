"""Measure how late the event loop of this process runs its timers.

A process whose loop is late does everything late: it misses heartbeats,
lets acknowledgements wait and takes connections late. Neither the duration
of one request nor the mean use of the processor shows that.
"""

import asyncio
from collections.abc import Callable
import time
from typing import Any

import mode
import structlog

__all__ = ['LoopDelay']

SAMPLE_INTERVAL_S = 0.25
# Above this delay, heartbeats between hosts are missed.
LOGGED_DELAY_S = 0.25
MS_PER_S = 1000

_log = structlog.get_logger(__name__)


class LoopDelay(mode.Service):
    """Sample the delay of timers; ``counters`` returns what was seen."""

    def __init__(
        self, *, clock: Callable[[], float] = time.monotonic, **options: Any
    ) -> None:
        self._clock = clock
        self._samples = 0
        self._total_s = 0.0
        self._max_s = 0.0
        self._recent_max_s = 0.0
        super().__init__(**options)

    def record(self, delay_s: float) -> None:
        """Record the delay of one timer; log it if it is long."""
        delay_s = max(0.0, delay_s)
        self._samples += 1
        self._total_s += delay_s
        self._max_s = max(self._max_s, delay_s)
        self._recent_max_s = max(self._recent_max_s, delay_s)
        if delay_s > LOGGED_DELAY_S:
            _log.warning('loop_delayed', delay_ms=round(delay_s * MS_PER_S))

    def take_recent_max_s(self) -> float:
        """Return the longest delay since the previous call, in seconds."""
        recent, self._recent_max_s = self._recent_max_s, 0.0
        return recent

    def counters(self) -> dict[str, float]:
        """Return the number of samples and their delays, in milliseconds."""
        return {
            'loop_delay_samples': self._samples,
            'loop_delay_total_ms': self._total_s * MS_PER_S,
            'loop_delay_max_ms': self._max_s * MS_PER_S,
        }

    @mode.Service.task
    async def _sample(self) -> None:
        while not self.should_stop:
            due_s = self._clock() + SAMPLE_INTERVAL_S
            await asyncio.sleep(SAMPLE_INTERVAL_S)
            self.record(self._clock() - due_s)
