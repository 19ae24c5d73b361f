"""Test the validation of deployments."""

import json
import pathlib

import pytest

from skylarkpitch import errors
from skylarkpitch.settings import deployment

ROOT = pathlib.Path(__file__).parent.parent / 'deployments'


def route(*prefixes):
    routes = [{'prefix': prefix} for prefix in prefixes]
    return {'services': {'status-desk': {'routes': routes}}}


def region(**fields):
    return {'regions': {'sudogwon': fields}}


@pytest.mark.parametrize('name', ['mueso', 'berkah'])
def test_shipped_deployments_are_valid(name):
    base = json.loads((ROOT / name / 'base.json').read_text())
    overlays = sorted((ROOT / name / 'overlays').glob('*.json'))
    assert len(overlays) == 6
    for path in overlays:
        overlay = json.loads(path.read_text())
        site = deployment.validate_site(base, overlay, site=path.stem)
        assert site.region_of(path.stem) in site.regions


@pytest.mark.parametrize(
    'target, patch, merged',
    [
        ({'a': 1}, {'a': 2}, {'a': 2}),
        ({'a': 1}, {'b': 2}, {'a': 1, 'b': 2}),
        ({'a': 1, 'b': 2}, {'a': None}, {'b': 2}),
        ({'a': [1]}, {'a': [2, 3]}, {'a': [2, 3]}),
        ({'a': {'b': 1, 'c': 2}}, {'a': {'b': None}}, {'a': {'c': 2}}),
        ({'a': 1}, {'a': {'b': None, 'c': 2}}, {'a': {'c': 2}}),
        ([1], {'a': 1}, {'a': 1}),
    ],
)
def test_merge_patch(target, patch, merged):
    assert deployment.merge_patch(target, patch) == merged


@pytest.mark.parametrize(
    'change, overlay, expected',
    [
        ({'servces': {}}, {}, 'servces'),
        ({'organisations': {'a': {'rate_per_s': -1}}}, {}, 'rate_per_s'),
        ({'links': [{'between': ['x', 'y'], 'mbit_per_s': 1}]}, {}, "'x'"),
        (
            {'organisations': {'Big Org': {'rate_per_s': 1, 'burst': 1}}},
            {},
            'Big Org',
        ),
        (
            {'organisations': {'daegu-pans': {'key_lease_s': 0}}},
            {},
            'key_lease_s',
        ),
        (route('/kiln'), {}, "'/kiln' stands in services"),
        (route('/skylark/v1'), {}, 'under /skylark/'),
        (route('/skylark'), {}, 'under /skylark/'),
        (route('/x', '/x'), {}, 'GET /x stands in two routes'),
        (
            {'links': [{'between': ['honam', 'honam'], 'mbit_per_s': 1}]},
            {},
            'to itself',
        ),
        (
            {
                'links': [
                    {'between': ['honam', 'yeongnam'], 'mbit_per_s': 1},
                    {'between': ['yeongnam', 'honam'], 'mbit_per_s': 1},
                ]
            },
            {},
            'twice',
        ),
        (region(max_share_percent=30), {}, 'past the 30 of its region'),
        (
            region(failure_domains={'a': {}, 'busan-a': {}}),
            {},
            "'busan-a' stands in two regions",
        ),
        (
            {'regions': dict.fromkeys(('sudogwon', 'yeongnam')), 'links': []},
            {},
            'sums to 60',
        ),
        ({}, {'organisations': {}}, 'fleet'),
        ({}, [], 'JSON object'),
    ],
)
def test_violations_are_named(change, overlay, expected):
    base = json.loads((ROOT / 'mueso' / 'base.json').read_text())
    with pytest.raises(errors.ValidationError, match=expected):
        deployment.validate_site(
            deployment.merge_patch(base, change), overlay, site='seoul-a'
        )


def test_shares_of_failure_domains_limit_the_share_of_their_region():
    base = json.loads((ROOT / 'mueso' / 'base.json').read_text())
    for item in base['regions'].values():
        for domain in item['failure_domains'].values():
            domain['max_share_percent'] = 16
    with pytest.raises(errors.ValidationError, match='sums to 96'):
        deployment.validate_site(base, {}, site='seoul-a')


def test_one_prefix_may_serve_disjoint_methods_of_one_service():
    base = json.loads((ROOT / 'mueso' / 'base.json').read_text())
    overlay = route('/status', '/status')
    overlay['services']['status-desk']['routes'][1]['methods'] = ['POST']
    site = deployment.validate_site(base, overlay, site='seoul-a')
    assert len(site.services['status-desk'].routes) == 2
