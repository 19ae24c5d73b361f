"""Routes of requests, and services of routes."""

import collections

import pytest

from skylarkpitch.fleet import model
from skylarkpitch.forwarding import routing


def route(name='r', prefix='/', **fields):
    values = {
        'name': name,
        'host': 'pans.example',
        'path_prefix': prefix,
        'repeatable': True,
        'timeout_ms': 800.0,
        'objective_ms': 300.0,
        'max_upstreams': 2,
        'rank': 1,
        'services': (model.WeightedService(service='desk', weight=1),),
        **fields,
    }
    return model.Route(**values)


ROUTES = [
    route('root', '/'),
    route('pans', '/pans/'),
    route('lids', '/pans/lids/'),
    route('other', '/pans/', host='other.example'),
]


@pytest.mark.parametrize(
    ('host', 'path', 'expected'),
    [
        ('pans.example', '/pans/lids/7', 'lids'),
        ('PANS.example', '/pans/7', 'pans'),
        ('pans.example', '/pans', 'root'),
        ('pans.example', '/pans/lidsx', 'pans'),
        ('other.example', '/pans/lids/7', 'other'),
        ('other.example', '/', None),
        ('else.example', '/pans/', None),
        ('pans.example', '', None),
    ],
)
def test_longest_prefix_wins(host, path, expected):
    found = routing.RoutingTable(ROUTES).find(host, path)
    assert (found.name if found else None) == expected


def test_split_follows_its_weights_at_every_step():
    parts = (('a', 70), ('b', 30), ('c', 0))
    split = route(
        services=tuple(
            model.WeightedService(service=name, weight=weight)
            for name, weight in parts
        )
    )
    splitter = routing.Splitter()
    counts = {'a': 0, 'b': 0, 'c': 0}
    for number in range(1, 201):
        counts[splitter.next_service(split)] += 1
        assert abs(counts['a'] - 0.7 * number) <= 1
    assert counts['c'] == 0


# Guards against internal errors by weights that an earlier release took.
@pytest.mark.parametrize(
    ('weights', 'expected'),
    [
        ((float('nan'), float('nan')), {'a': 20}),
        ((float('nan'), 1.0), {'b': 20}),
        ((float('inf'), 1.0), {'b': 20}),
        ((1e308, 1e308), {'a': 10, 'b': 10}),
        ((5e-324, 5e-324), {'a': 10, 'b': 10}),
    ],
    ids=['none', 'one-is-no-number', 'infinite', 'very-large', 'very-small'],
)
def test_split_with_odd_weights_has_a_service_for_each_request(
    weights, expected
):
    split = route(
        services=tuple(
            model.WeightedService(service=name, weight=weight)
            for name, weight in zip('ab', weights, strict=True)
        )
    )
    splitter = routing.Splitter()
    counts = collections.Counter(
        splitter.next_service(split) for _number in range(20)
    )
    assert counts == expected
