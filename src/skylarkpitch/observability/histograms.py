"""Record latency histograms by organisation and request class."""

import dataclasses

from hdrh import histogram

__all__ = ['LatencyHistograms', 'LatencySummary']

MIN_LATENCY_US = 1
MAX_LATENCY_US = 300_000_000
SIGNIFICANT_DIGITS = 2
MAX_SERIES = 4096
OPEN_ROUTES_LABEL = 'open-routes'
US_PER_S = 1_000_000
PERCENTILES = (50.0, 90.0, 99.0, 99.9)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LatencySummary:
    """Count and percentiles of one histogram; latencies in milliseconds."""

    organisation: str
    request_class: str
    count: int
    p50_ms: float
    p90_ms: float
    p99_ms: float
    p999_ms: float
    max_ms: float


class LatencyHistograms:
    """Record latencies by organisation and request class."""

    def __init__(self) -> None:
        self._series: dict[tuple[str, str], histogram.HdrHistogram] = {}

    def record(
        self,
        organisation: str | None,
        request_class: str,
        latency_s: float,
    ) -> None:
        """Record one latency.

        Once there are ``MAX_SERIES`` pairs, a new pair is not recorded, so
        that callers cannot make the memory of the process grow.
        """
        pair = (organisation or OPEN_ROUTES_LABEL, request_class)
        series = self._series.get(pair)
        if series is None:
            if len(self._series) >= MAX_SERIES:
                return
            series = histogram.HdrHistogram(
                MIN_LATENCY_US, MAX_LATENCY_US, SIGNIFICANT_DIGITS
            )
            self._series[pair] = series
        latency_us = int(latency_s * US_PER_S)
        series.record_value(
            min(max(latency_us, MIN_LATENCY_US), MAX_LATENCY_US)
        )

    def summaries(self) -> list[LatencySummary]:
        """Return a summary of each histogram, sorted by name."""
        return [
            _summary(pair, self._series[pair]) for pair in sorted(self._series)
        ]

    def encoded(self) -> dict[str, str]:
        """Return each histogram in the encoding of HdrHistogram.

        Keys are ``organisation/request class``.
        """
        return {
            '/'.join(pair): series.encode().decode()
            for pair, series in sorted(self._series.items())
        }


def _summary(
    pair: tuple[str, str], series: histogram.HdrHistogram
) -> LatencySummary:
    values = [
        series.get_value_at_percentile(percentile) / 1000
        for percentile in PERCENTILES
    ]
    return LatencySummary(
        organisation=pair[0],
        request_class=pair[1],
        count=series.get_total_count(),
        p50_ms=values[0],
        p90_ms=values[1],
        p99_ms=values[2],
        p999_ms=values[3],
        max_ms=series.get_max_value() / 1000,
    )
