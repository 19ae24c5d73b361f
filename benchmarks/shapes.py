"""Sizes, request paths and latencies of the deployments."""

import dataclasses
import json
import pathlib

__all__ = ['ROOT', 'SHAPES', 'Shape', 'load_base', 'one_way_s']

ROOT = pathlib.Path(__file__).parent.parent / 'deployments'


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Shape:
    """Sizes of one deployment.

    ``entry_hosts`` counts hosts by failure domain, ``upstreams`` by service.
    ``writes`` and ``reads`` map services to a path that callers use. Latencies
    are one-way; ``slots`` and ``connections`` are those of each upstream.
    """

    name: str
    entry_hosts: dict[str, int]
    upstreams: dict[str, int]
    between_domains_ms: float
    between_regions_ms: float
    writes: dict[str, str]
    reads: dict[str, str]
    slots: int = 8
    connections: int = 360


SHAPES = {
    'mueso': Shape(
        name='mueso',
        entry_hosts={
            'seoul-a': 2,
            'incheon-b': 2,
            'busan-a': 2,
            'daegu-b': 1,
            'gwangju-a': 1,
            'jeonju-b': 1,
        },
        upstreams={
            'status-desk': 20,
            'kiln-planner': 10,
            'intake-ledger': 10,
        },
        between_domains_ms=1.5,
        between_regions_ms=20.0,
        writes={
            'kiln-planner': '/kiln/bookings',
            'intake-ledger': '/intake/handovers',
        },
        reads={
            'status-desk': '/status/pans',
            'kiln-planner': '/kiln/free',
            'intake-ledger': '/intake/pans',
        },
    ),
    'berkah': Shape(
        name='berkah',
        entry_hosts={
            'jabar-bdg': 2,
            'jabar-bks': 2,
            'jateng-smg': 1,
            'jateng-slo': 1,
            'jatim-sby': 1,
            'jatim-mlg': 1,
        },
        upstreams={'katalog': 15, 'pesanan': 10, 'bayar': 10},
        between_domains_ms=1.0,
        between_regions_ms=55.0,
        writes={
            'pesanan': '/orders/confirmations',
            'bayar': '/payments/new',
        },
        reads={
            'katalog': '/menu/today',
            'pesanan': '/orders/mine',
            'bayar': '/payments/mine',
        },
        connections=330,
    ),
}


def load_base(shape: Shape) -> dict:
    """Return the base configuration document of a deployment."""
    return json.loads((ROOT / shape.name / 'base.json').read_text())


def one_way_s(
    shape: Shape, region_of: dict[str, str], one: str, other: str
) -> float:
    """Return the one-way latency between two failure domains in seconds."""
    if one == other:
        return 0.0
    if region_of[one] == region_of[other]:
        return shape.between_domains_ms / 1000
    return shape.between_regions_ms / 1000
