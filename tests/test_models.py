"""Check every specification at its small bound, and its broken variants."""

import pytest

from benchmarks import model

SPECS = model.all_specs()


@pytest.mark.parametrize('spec', SPECS, ids=lambda spec: spec.name)
def test_specification_holds_at_its_small_bound(spec):
    assert model.check(spec.small)['holds']


@pytest.mark.parametrize(
    'broken',
    [variant for spec in SPECS for _, variant in spec.broken],
    ids=[f'{spec.name}-{name}' for spec in SPECS for name, _ in spec.broken],
)
def test_broken_variant_violates_an_invariant(broken):
    assert model.is_caught(broken)
