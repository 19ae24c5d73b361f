"""Write counters and latencies as the text of a metrics page."""

from collections.abc import Mapping

from skylarkpitch.observability import histograms

__all__ = ['counter_lines', 'latency_lines']


def counter_lines(counters: Mapping[str, float]) -> str:
    """Return counters as text lines ``name value``, sorted by name."""
    return ''.join(
        f'{name} {value:g}\n' for name, value in sorted(counters.items())
    )


def latency_lines(latencies: histograms.LatencyHistograms) -> str:
    """Return percentiles, maximum and count of each series as text lines."""
    lines = []
    for summary in latencies.summaries():
        series = f'{summary.request_class}/{summary.organisation}'
        for name in ('p50_ms', 'p90_ms', 'p99_ms', 'max_ms', 'count'):
            value = getattr(summary, name)
            lines.append(f'latency_{name}/{series} {value:g}\n')
    return ''.join(lines)
