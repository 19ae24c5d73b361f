"""Check the small bound of every specification and its broken variants."""

import pytest

from benchmarks import model

SPECS = model.all_specs()


@pytest.mark.parametrize('item', SPECS, ids=lambda item: item.name)
def test_specification_holds(item):
    assert model.check(item.small)['holds']


@pytest.mark.parametrize(
    'broken',
    [variant for item in SPECS for _, variant in item.broken],
    ids=[f'{item.name}-{name}' for item in SPECS for name, _ in item.broken],
)
def test_broken_variant_is_caught(broken):
    assert model.is_caught(broken)
