"""Tests that slots are counted exactly and limits only lower them."""

import random

import pytest

from skylarkpitch import errors
from skylarkpitch.membership import slots as upstream_slots
from skylarkpitch import ports


def make_slots(*, ramp_s=0.0, **report):
    report = {'slots': 8, 'connections': 100, **report}
    item = upstream_slots.UpstreamSlots(
        report=upstream_slots.UpstreamReport(**report),
        ramp_s=ramp_s,
        now_s=0.0,
    )
    item.lease_until_s = 100.0
    return item


@pytest.mark.parametrize(
    ('options', 'now_s', 'expected'),
    [
        ({}, 1.0, 8),
        ({'connections': 3}, 1.0, 3),
        ({}, 100.0, 0),
        ({'ramp_s': 10.0}, 0.0, 1),
        ({'ramp_s': 10.0}, 5.0, 4),
        ({'ramp_s': 10.0}, 10.0, 8),
        ({'load_percent': 50.0}, 1.0, 4),
        ({'load_percent': 500.0}, 1.0, 1),
        ({'healthy': False}, 1.0, 1),
    ],
)
def test_limit(options, now_s, expected):
    assert make_slots(**options).limit(now_s=now_s) == expected


def test_load_report_does_not_count_local_work_twice():
    item = make_slots()
    for _ in range(4):
        item.reserve(now_s=1.0, until_s=2.0)
    item.update_report(
        upstream_slots.UpstreamReport(
            slots=8, connections=100, load_percent=50
        ),
        ramp_s=0,
    )
    assert item.free(now_s=1.0) == 4


def test_successes_override_a_bad_health_report():
    item = make_slots(healthy=False)
    for _ in range(upstream_slots.SUCCESSES_TO_IGNORE_REPORT):
        token = item.reserve(now_s=1.0, until_s=2.0)
        item.finish(
            token,
            ports.Exchange.ANSWERED,
            now_s=1.0,
            rng=random.Random(1),
        )
    assert item.limit(now_s=1.0) == 8


@pytest.mark.parametrize('outcome', ['shed', 'failed', 'timed_out'])
def test_failures_back_off_and_a_probe_resumes(outcome):
    rng = random.Random(1)
    item = make_slots(ramp_s=10.0)
    now_s, delays_s = 20.0, []
    for _ in range(4):
        token = item.reserve(now_s=now_s, until_s=now_s + 1)
        item.finish(token, ports.Exchange(outcome), now_s=now_s, rng=rng)
        started_s = now_s
        while item.limit(now_s=now_s) == 0:
            now_s += 0.01
        delays_s.append(now_s - started_s)
        assert item.limit(now_s=now_s) == 1
    assert delays_s == sorted(delays_s)
    assert delays_s[-1] > 4 * delays_s[0]
    token = item.reserve(now_s=now_s, until_s=now_s + 1)
    item.finish(token, ports.Exchange.ANSWERED, now_s=now_s, rng=rng)
    assert 1 <= item.limit(now_s=now_s) < 8
    assert item.limit(now_s=now_s + 10) == 8


def test_a_slot_is_never_reserved_twice_nor_released_twice():
    item = make_slots(slots=1)
    token = item.reserve(now_s=1.0, until_s=2.0)
    with pytest.raises(errors.InvariantError):
        item.reserve(now_s=1.0, until_s=2.0)
    rng = random.Random(1)
    item.finish(token, ports.Exchange.ANSWERED, now_s=1.0, rng=rng)
    with pytest.raises(errors.InvariantError):
        item.finish(token, ports.Exchange.ANSWERED, now_s=1.0, rng=rng)


def test_work_of_an_earlier_owner_blocks_slots():
    item = make_slots()
    item.block('h2', 3, until_s=5.0)
    item.block('h2', 2, until_s=5.0)
    assert item.free(now_s=4.9) == 6
    assert item.free(now_s=5.0) == 8
