"""Send counters and timers by statsd, one batch at a time."""

from collections.abc import Callable
from typing import Any

import mode
import statsd

from skylarkpitch.settings import daemon as daemon_settings

__all__ = ['Metrics', 'text_page']

MAX_TIMERS_A_FLUSH = 200
MS_PER_S = 1000


class Metrics(mode.Service):
    """Flush the counters of a process to statsd.

    ``read`` returns the present value of every counter. Without settings
    nothing is sent.
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
        self._read = read
        self._sent: dict[str, float] = {}
        self._timers: list[tuple[str, float]] = []
        super().__init__(**options)

    def timing(self, name: str, latency_s: float) -> None:
        """Keep one latency for the next flush.

        Latencies past ``MAX_TIMERS_A_FLUSH`` are left to the histograms.
        """
        if len(self._timers) < MAX_TIMERS_A_FLUSH:
            self._timers.append((name, latency_s * MS_PER_S))

    def flush(self, client: statsd.StatsClient) -> None:
        """Send what changed since the last flush."""
        timers, self._timers = self._timers, []
        with client.pipeline() as batch:
            for name, value in self._read().items():
                change = value - self._sent.get(name, 0)
                if change > 0:
                    batch.incr(name, change)
                batch.gauge(f'{name}.now', value)
                self._sent[name] = value
            for name, latency_ms in timers:
                batch.timing(name, latency_ms)

    @mode.Service.task
    async def _flush_regularly(self) -> None:
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


def text_page(counters: dict[str, float]) -> str:
    """Return counters as text, one ``name value`` a line, sorted."""
    return ''.join(
        f'{name} {value:g}\n' for name, value in sorted(counters.items())
    )
