"""Tests of the models of a deployment."""

import json
import pathlib

import pytest

from skylarkpitch import errors
from skylarkpitch.settings import deployment

ROOT = pathlib.Path(__file__).parent.parent / 'deployments'


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
    'change, overlay, said',
    [
        ({'servces': {}}, {}, 'servces'),
        ({'organisations': {'a': {'rate_per_s': -1}}}, {}, 'rate_per_s'),
        ({'links': [{'between': ['x', 'y'], 'mbit_per_s': 1}]}, {}, "'x'"),
        ({}, {'organisations': {}}, 'fleet'),
        ({}, [], 'JSON object'),
    ],
)
def test_mistakes_are_named(change, overlay, said):
    base = json.loads((ROOT / 'mueso' / 'base.json').read_text())
    with pytest.raises(errors.ValidationError, match=said):
        deployment.validate_site(
            deployment.merge_patch(base, change), overlay, site='seoul-a'
        )
