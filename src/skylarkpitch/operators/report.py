"""Render the latency histograms of all hosts as one HTML page."""

import html
import io
from typing import Any

from hdrh import histogram

__all__ = ['merge', 'page']

LOWEST_US = 1
HIGHEST_US = 300_000_000
SIGNIFICANT_DIGITS = 2
PERCENTILES = (0, 25, 50, 75, 90, 95, 99, 99.5, 99.9, 99.99, 100)
FIGURE_INCHES = (7.0, 3.0)
US_PER_MS = 1000

_STYLE = (
    'body{font-family:sans-serif;margin:2em;max-width:60em}'
    'table{border-collapse:collapse}'
    'td,th{padding:.2em .8em;text-align:right;border-bottom:1px solid #ccc}'
    'td:first-child,th:first-child{text-align:left}'
)


def merge(
    histograms: dict[str, dict[str, str]],
) -> dict[str, histogram.HdrHistogram]:
    """Return one histogram per ``organisation/class``, over all hosts.

    ``histograms`` contains them by host, in the encoding of HdrHistogram.
    """
    merged: dict[str, histogram.HdrHistogram] = {}
    for host_histograms in histograms.values():
        for pair, encoded in host_histograms.items():
            series = merged.setdefault(
                pair,
                histogram.HdrHistogram(
                    LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS
                ),
            )
            series.decode_and_add(encoded)
    return merged


def _svg(title: str, series: dict[str, histogram.HdrHistogram]) -> str:
    # Imported here because matplotlib takes about a second to import, which
    # the other commands of the tool do not need.
    from matplotlib.backends import backend_svg
    from matplotlib import figure

    drawing = figure.Figure(figsize=FIGURE_INCHES)
    backend_svg.FigureCanvasSVG(drawing)
    axes = drawing.add_subplot()
    for name, item in series.items():
        values = [
            item.get_value_at_percentile(p) / US_PER_MS for p in PERCENTILES
        ]
        axes.plot(range(len(PERCENTILES)), values, marker='.', label=name)
    axes.set_xticks(range(len(PERCENTILES)), [f'{p:g}' for p in PERCENTILES])
    axes.set_yscale('log')
    axes.set_xlabel('percentile')
    axes.set_ylabel('latency in ms')
    axes.set_title(title)
    axes.legend(fontsize='small')
    drawing.tight_layout()
    buffer = io.StringIO()
    drawing.savefig(buffer, format='svg')
    text = buffer.getvalue()
    return text[text.index('<svg') :]


def _by_organisation(
    merged: dict[str, histogram.HdrHistogram],
) -> dict[str, dict[str, histogram.HdrHistogram]]:
    grouped: dict[str, dict[str, histogram.HdrHistogram]] = {}
    for pair in sorted(merged):
        organisation, request_class = pair.split('/', 1)
        grouped.setdefault(organisation, {})[request_class] = merged[pair]
    return grouped


def _rows(merged: dict[str, histogram.HdrHistogram]) -> str:
    rows = []
    for pair in sorted(merged):
        item = merged[pair]
        cells = [
            html.escape(pair),
            str(item.get_total_count()),
            *(
                f'{item.get_value_at_percentile(p) / US_PER_MS:.1f}'
                for p in (50, 90, 99, 99.9)
            ),
        ]
        rows.append('<tr><td>' + '</td><td>'.join(cells) + '</td></tr>')
    return '\n'.join(rows)


def page(
    *, status: dict[str, Any], histograms: dict[str, dict[str, str]]
) -> str:
    """Return a self-contained HTML page.

    ``histograms`` contains the histograms by host and by
    ``organisation/class``, in the encoding of HdrHistogram.
    """
    merged = merge(histograms)
    drawings = '\n'.join(
        _svg(organisation, series)
        for organisation, series in _by_organisation(merged).items()
    )
    return (
        '<!DOCTYPE html>\n<html lang="en"><head><meta charset="utf-8">'
        f'<title>skylarkpitch report</title><style>{_STYLE}</style></head>'
        '<body><h1>skylarkpitch report</h1>'
        f'<p>Version {status["version"]}, configuration '
        f'{status["config_version"]}, {len(status["hosts"])} entry hosts, '
        f'histograms from {len(histograms)} of them.</p>'
        '<table><tr><th>Organisation/class</th><th>Calls</th>'
        '<th>p50 ms</th><th>p90 ms</th><th>p99 ms</th><th>p99.9 ms</th></tr>'
        f'{_rows(merged)}</table>\n{drawings}</body></html>\n'
    )
