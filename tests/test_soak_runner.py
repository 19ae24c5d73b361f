"""Tests of the condition under which a randomised run has failed."""

import pytest

from benchmarks import soak


@pytest.mark.parametrize(
    'counts, is_failed',
    [
        ({'steps': 1, 'violations': 0}, False),
        ({'steps': 1, 'violations': 2}, True),
        ({'steps': 0, 'violations': 0}, True),
    ],
)
def test_run_without_steps_or_with_violations_fails(counts, is_failed):
    assert soak.is_failed(counts) is is_failed
