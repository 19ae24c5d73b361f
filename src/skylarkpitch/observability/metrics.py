"""Send counters and timings to statsd in batches."""

from collections.abc import Callable
from typing import Any

import mode
import statsd

from skylarkpitch.settings import daemon as daemon_settings

__all__ = ['Metrics']

MAX_TIMINGS_PER_FLUSH = 200
MS_PER_S = 1000


class Metrics(mode.Service):
    """Flush the counters and timings of a process to statsd.

    ``read`` returns the current value of every counter. Nothing is sent if
    ``settings`` is None.
    """

    def __init__(
        self,
        *,
        settings: daemon_settings.StatsdSettings | None,
        host: str,
        read: Callable[[], dict[str, float]],
        **options: Any,
    ) -> None:
        self._settings = settings
        self._host = host
        self._read_counters = read
        self._last_sent: dict[str, float] = {}
        self._timings: list[tuple[str, float]] = []
        super().__init__(**options)

    def timing(self, name: str, latency_s: float) -> None:
        """Record one latency for the next flush.

        Latencies past the first ``MAX_TIMINGS_PER_FLUSH`` are not sent; the
        histograms contain them.
        """
        if len(self._timings) < MAX_TIMINGS_PER_FLUSH:
            self._timings.append((name, latency_s * MS_PER_S))

    def flush(self, client: statsd.StatsClient) -> None:
        """Send increases as counters, all values as gauges, and timings."""
        timings, self._timings = self._timings, []
        with client.pipeline() as pipeline:
            for name, value in self._read_counters().items():
                increase = value - self._last_sent.get(name, 0)
                if increase > 0:
                    pipeline.incr(name, increase)
                pipeline.gauge(f'{name}.now', value)
                self._last_sent[name] = value
            for name, latency_ms in timings:
                pipeline.timing(name, latency_ms)

    @mode.Service.task
    async def _flush_periodically(self) -> None:
        if self._settings is None:
            return
        client = statsd.StatsClient(
            host=str(self._settings.address.ip),
            port=self._settings.address.port,
            prefix=f'{self._settings.prefix}.{self._host}',
            ipv6=self._settings.address.ip.version == 6,
        )
        while not self.should_stop:
            await self.sleep(self._settings.flush_s)
            self.flush(client)
