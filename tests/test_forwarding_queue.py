"""Waits in the queue of a service, and delays of refused callers."""

import random

import pytest

from skylarkpitch.forwarding import request_queue


@pytest.mark.parametrize(
    ('fields', 'expected'),
    [
        ({'expected_s': 0.1, 'spent_s': 0.0, 'left_s': 1.0}, 0.2),
        ({'expected_s': 0.1, 'spent_s': 0.15, 'left_s': 1.0}, 0.05),
        ({'expected_s': 0.4, 'spent_s': 0.0, 'left_s': 1.0}, 0.036),
        ({'expected_s': 0.1, 'spent_s': 0.0, 'left_s': 0.15}, 0.05),
        ({'expected_s': 0.1, 'spent_s': 0.0, 'left_s': 0.05}, 0.0),
    ],
)
def test_maximum_wait_in_the_queue(fields, expected):
    max_wait_s = request_queue.max_wait_s(objective_s=0.3, **fields)
    assert max_wait_s == pytest.approx(expected)


def test_retry_delays_of_refused_callers_are_spread():
    rng = random.Random(1)
    moments = [
        request_queue.retry_after_s(backlog_s=0.5, left_s=9.0, rng=rng)
        for _number in range(50)
    ]
    assert len({round(moment, 2) for moment in moments}) > 25
    assert all(0.5 <= moment <= 2.0 for moment in moments)
    assert request_queue.retry_after_s(backlog_s=5, left_s=0.6, rng=rng) <= 0.2


def test_queue_serves_by_rank_then_arrival():
    queue = request_queue.RequestQueue()
    second = queue.enqueue(1, expires_s=9.0)
    third = queue.enqueue(1, expires_s=9.0)
    first = queue.enqueue(0, expires_s=9.0)
    order = []
    for _number in range(3):
        queue.wake()
        (woken,) = [w for w in (first, second, third) if w.woken.is_set()]
        order.append(woken)
        woken.woken.clear()
        queue.remove(woken)
    assert order == [first, second, third]
