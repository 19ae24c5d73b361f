"""Tests of when a randomised run counts as failed."""

import pytest

from benchmarks import soak


@pytest.mark.parametrize(
    'counts, failed',
    [
        ({'steps': 1, 'violations': 0}, False),
        ({'steps': 1, 'violations': 2}, True),
        ({'steps': 0, 'violations': 0}, True),
    ],
)
def test_run_without_steps_or_with_violations_fails(counts, failed):
    assert soak.is_failed(counts) is failed
