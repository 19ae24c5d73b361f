"""The random faults on processes: what they must find, and a short run."""

import asyncio

import pytest

from benchmarks import process_soak
from benchmarks import process_soak_checks as checks

SEED = 1
SECONDS = 4.0


def observations(*, arrivals=(), lag_s=0.0, **request):
    seen = checks.Observations()
    fields = {'repeatable': False, 'sent_s': 0.0, **request}
    seen.requests['r'] = checks.Request(**fields)
    seen.arrivals['r'] = list(arrivals)
    seen.max_lag_s = lag_s
    return seen


@pytest.mark.parametrize(
    ('seen', 'expected'),
    [
        (observations(arrivals=[1.0], status=200), ''),
        (observations(arrivals=[1.0, 2.0]), 'ran 2 times'),
        (observations(arrivals=[1.0, 2.0], repeatable=True), ''),
        (observations(status=503), ''),
        (observations(arrivals=[1.0], status=503), 'answered 503 and ran'),
        (observations(arrivals=[1.0], status=502), ''),
        (observations(arrivals=[1.0], is_wrong=True), 'a wrong response'),
        (observations(arrivals=[1.0], has_key=False), 'nobody holds'),
        (observations(status=401, has_key=False), ''),
        (observations(arrivals=[1.4], left_s=1.0), ''),
        (observations(arrivals=[1.6], left_s=1.0), 'after its caller'),
        (observations(arrivals=[1.6], left_s=1.0, lag_s=0.3), ''),
    ],
)
def test_violations_of_one_request(seen, expected):
    found = checks.violations(seen)
    assert bool(found) is bool(expected)
    assert all(expected in item for item in found)


def test_old_configuration_is_a_violation():
    seen = checks.Observations()
    seen.acknowledged(3)
    seen.read('control-a', 3, expected=3)
    assert not checks.violations(seen)
    seen.read('control-a', 2, expected=3)
    assert checks.violations(seen) == ['control-a has 2, not 3']


# Guards against whatever shows only between real processes under faults that
# overlap.
def test_short_run_with_faults_violates_nothing(tmp_path):
    soak = process_soak.Soak(seed=SEED, folder=tmp_path)
    assert asyncio.run(soak.run(seconds=SECONDS)) == []
    assert soak.counts
    assert soak.seen.summary()['answered'] > 0
