"""Commands that show the whole system: ``status`` and ``report``."""

import pathlib
from typing import Any

import click

from skylarkpitch.operators import config_commands
from skylarkpitch.operators import context as contexts
from skylarkpitch.operators import output as outputs
from skylarkpitch.operators import report as reports

__all__ = ['organisation_section', 'report', 'status']

SUMMED_FIELDS = ('demand_per_s', 'spent', 'refused', 'wrongly_refused')


def _host_section(result: dict[str, Any]) -> str:
    return outputs.table(
        (
            'REGION',
            'FAILURE DOMAIN',
            'HOST',
            'LIFE CYCLE',
            'VERSION',
            'FREE SLOTS',
        ),
        [
            (
                host['region'],
                host['failure_domain'],
                host['host'],
                host['life_cycle'],
                host['applied_version'],
                host['status'].get('counters', {}).get('room.room'),
            )
            for host in result['hosts']
        ],
    )


def _sum_organisations(result: dict[str, Any]) -> dict[str, dict[str, float]]:
    sums: dict[str, dict[str, float]] = {}
    for host in result['hosts']:
        usage = host['status'].get('organisations', {})
        for name, figures in usage.items():
            total = sums.setdefault(name, dict.fromkeys(SUMMED_FIELDS, 0.0))
            for field in SUMMED_FIELDS:
                total[field] += figures[field]
            total['rate_per_s'] = figures['rate_per_s']
    return sums


def organisation_section(result: dict[str, Any]) -> str:
    """Return a table of the usage of each organisation over all hosts.

    The counts are summed; the rate applies to all hosts together.
    """
    sums = _sum_organisations(result)
    if not sums:
        return 'no organisation has sent a request yet'
    return outputs.table(
        (
            'ORGANISATION',
            'RATE/S',
            'DEMAND/S',
            'ADMITTED',
            'REFUSED',
            'WRONGLY REFUSED',
        ),
        [
            (
                name,
                figures['rate_per_s'],
                figures['demand_per_s'],
                int(figures['spent']),
                int(figures['refused']),
                int(figures['wrongly_refused']),
            )
            for name, figures in sorted(sums.items())
        ],
    )


def _latency_section(result: dict[str, Any]) -> str:
    rows = []
    for host in result['hosts']:
        for item in host['status'].get('latencies', ()):
            rows.append(
                (
                    item['organisation'],
                    item['request_class'],
                    host['host'],
                    item['count'],
                    item['p50_ms'],
                    item['p99_ms'],
                )
            )
    return outputs.table(
        ('ORGANISATION', 'CLASS', 'HOST', 'CALLS', 'P50 MS', 'P99 MS'),
        sorted(rows),
    )


def _status_text(result: dict[str, Any]) -> str:
    control = result['control']
    return '\n\n'.join(
        (
            f'version {result["version"]}, configuration '
            f'{result["config_version"]}'
            f'{config_commands.stale_text(result)}, leader '
            f'{control["leader"] or "unknown"}, voters '
            f'{", ".join(control["voters"])}',
            _host_section(result),
            organisation_section(result),
            _latency_section(result),
        )
    )


@click.command()
@outputs.option
@contexts.pass_context
def status(context: contexts.Context, output: str) -> None:
    """Show hosts, free slots, versions, organisations and latencies."""
    result = context.client().get('/operators/v1/status')
    outputs.show(result, output, _status_text)


@click.command()
@click.option(
    '--file',
    'path',
    required=True,
    type=click.Path(path_type=pathlib.Path),
    help='HTML file to write.',
)
@outputs.option
@contexts.pass_context
def report(context: contexts.Context, path: pathlib.Path, output: str) -> None:
    """Write one HTML page with the latency histograms of all hosts."""
    client = context.client()
    page = reports.page(
        status=client.get('/operators/v1/status'),
        histograms=client.get('/operators/v1/histograms')['hosts'],
    )
    path.write_text(page)
    outputs.show(
        {'file': str(path), 'bytes': len(page)},
        output,
        lambda item: f'wrote {item["file"]}',
    )
