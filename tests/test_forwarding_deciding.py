"""What an entry host decides about a request, without any I/O."""

import random

import pytest

from skylarkpitch.fleet import model
from skylarkpitch.forwarding import callers
from skylarkpitch.forwarding import regions
from skylarkpitch.forwarding import retry_budget
from skylarkpitch.forwarding import upstream_selector as selectors
from skylarkpitch.forwarding import routing
from skylarkpitch.forwarding import upstream_load
from skylarkpitch.forwarding import request_queue
from skylarkpitch import sentinels


def route(name='r', prefix='/', **fields):
    described = {
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
    return model.Route(**described)


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


def test_split_keeps_its_weights_at_every_moment():
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


def organisation(**fields):
    return model.Organisation(
        name='o', api_keys=('k',), rate_per_s=100.0, burst=50.0, **fields
    )


def test_granted_rate_is_kept():
    limits = callers.RateLimits(tolerance=callers.RateTolerance())
    org = organisation()
    limits.spend(org, entry_hosts=4, now_s=0.0)
    limits.apply_grant({'o': 20.0}, now_s=0.0)
    passed = 0
    for step in range(1, 1001):
        now_s = step * 0.002
        passed += limits.spend(org, entry_hosts=4, now_s=now_s) == 0
    assert passed <= 20.0 * 2.0 + 50.0 / 4 + 1


def test_without_a_grant_hosts_share_equally():
    limits = callers.RateLimits(tolerance=callers.RateTolerance())
    org = organisation()
    passed = sum(
        limits.spend(org, entry_hosts=4, now_s=step * 0.002) == 0
        for step in range(1000)
    )
    assert passed == pytest.approx(25 * 2 + 50 / 4, abs=3)


def test_tolerance_is_given_in_part():
    tolerance = callers.RateTolerance(
        excess_ratio=0.1, slack=20.0, window_s=5.0
    )
    limits = callers.RateLimits(tolerance=tolerance)
    org = organisation()
    moments = [step * 0.001 for step in range(20_000)]
    passed = [
        now_s
        for now_s in moments
        if limits.spend(org, entry_hosts=1, now_s=now_s) == 0
    ]
    bound = (100.0 * 5 + 50.0) * 1.1 + 20
    for start_s in (0.0, 4.0, 11.0):
        within = [t for t in passed if start_s <= t < start_s + 5]
        assert 500 < len(within) < bound


def test_over_its_rate_a_caller_is_told_when_to_come_back():
    limits = callers.RateLimits(tolerance=callers.RateTolerance())
    org = organisation()
    waits = [
        limits.spend(org, entry_hosts=4, now_s=0.0) for _number in range(40)
    ]
    assert waits[0] == 0
    assert 0 < waits[-1] <= 1 / 25 + 1e-9


def test_retries_of_all_hosts_stay_within_the_budget():
    hosts = 8
    budget = retry_budget.RetryBudget(ratio=0.2, extra=60, window_s=10)
    taken = 0
    for step in range(1000):
        now_s = step * 0.01
        budget.add_request(now_s=now_s)
        taken += budget.consume(entry_hosts=hosts, now_s=now_s)
    assert 0 < taken <= 0.2 * 1000 + 60 / hosts


def upstream(name='u1', domain='east-a', **fields):
    described = {
        'upstream_id': name,
        'born_ms': 1,
        'sequence': 1,
        'service': 'desk',
        'address': '10.0.0.1:80',
        'failure_domain': domain,
        'slots': 4,
        **fields,
    }
    return model.Upstream(**described)


def region_of(domain):
    return domain[:4]


def new_selector(upstreams, *, draining=(), domain='east-a'):
    selector = selectors.UpstreamSelector(
        region=domain[:4], failure_domain=domain, region_of=region_of
    )
    update(selector, upstreams, draining=draining)
    return selector


def update(selector, upstreams, *, draining=(), now_s=0.0):
    selector.update_upstreams(
        upstreams,
        draining_domains=frozenset(draining),
        cold_s=lambda service: 3.0,
        now_s=now_s,
    )


def criteria(**fields):
    described = {
        'service': 'desk',
        'route': 'r',
        'affinity': None,
        'homes': None,
        'objective_s': 0.3,
        **fields,
    }
    return selectors.SelectionCriteria(**described)


def find(selector, now_s=0.0, cold_rate_per_s=None, entry_hosts=1, **fields):
    return selector.select(
        criteria(**fields),
        cold_rate_per_s=cold_rate_per_s,
        entry_hosts=entry_hosts,
        now_s=now_s,
    )


def found(selector, **fields):
    candidate = find(selector, **fields)
    if sentinels.is_absent(candidate):
        return candidate.reason
    return candidate.load.upstream.upstream_id


NEAR = upstream('near', 'east-a')
ACROSS = upstream('across', 'east-b')
FAR = upstream('far', 'west-a')


@pytest.mark.parametrize(
    ('upstreams', 'draining', 'fields', 'expected'),
    [
        ([NEAR, ACROSS, FAR], (), {}, 'near'),
        ([ACROSS, FAR], (), {}, 'across'),
        ([NEAR, ACROSS, FAR], ('east-a',), {}, 'across'),
        ([NEAR, FAR], (), {'excluded': frozenset({'near'})}, 'far'),
        ([NEAR, FAR], (), {'homes': frozenset({'west'})}, 'far'),
        ([NEAR], (), {'homes': frozenset({'west'})}, 'no_upstream'),
        ([NEAR], ('east-a',), {}, 'no_upstream'),
        ([NEAR], (), {'service': 'other'}, 'no_upstream'),
        (
            [upstream(state=model.UpstreamState.DRAINING)],
            (),
            {},
            'no_upstream',
        ),
    ],
)
def test_nearest_upstream_that_may_run_it(
    upstreams, draining, fields, expected
):
    selector = new_selector(upstreams, draining=draining)
    assert found(selector, **fields) == expected


def fill(selector, count, **fields):
    candidates = []
    for _number in range(count):
        candidate = find(selector, **fields)
        assert not sentinels.is_absent(candidate)
        selector.reserve(candidate, criteria(**fields), now_s=0.0)
        candidates.append(candidate)
    return candidates


def test_a_full_upstream_has_no_room_until_one_ends():
    selector = new_selector([NEAR])
    candidates = fill(selector, 6)
    assert found(selector) == 'no_room'
    selector.release(candidates[0])
    assert found(selector) == 'near'


def test_load_that_others_cause_counts_and_fades():
    selector = new_selector([NEAR])
    candidate = find(selector)
    candidate.load.record_report(running=4, waiting=3, now_s=0.0)
    assert found(selector) == 'no_room'
    assert found(selector, now_s=20.0) == 'near'


def test_all_hosts_agree_on_who_keeps_an_object():
    names = [upstream(f'u{i}', 'east-a') for i in range(9)]
    one = new_selector(names)
    other = new_selector(list(reversed(names)), domain='east-b')
    for key in range(40):
        affinity = f'r {key}'
        assert found(one, affinity=affinity) == found(other, affinity=affinity)


def test_upstream_that_broke_off_is_left_out_while_there_are_others():
    selector = new_selector([NEAR, ACROSS])
    find(selector).load.record_unreachable(now_s=0.0)
    assert found(selector, now_s=0.1) == 'across'
    assert found(selector, now_s=5.0) in ('near', 'across')


def test_cold_upstreams_get_their_rate_over_all_hosts():
    hosts = 10
    selector = new_selector([upstream(cold_left_ms=3000.0)])
    sent = 0
    for step in range(1000):
        now_s = step * 0.001
        candidate = find(
            selector, now_s=now_s, cold_rate_per_s=19.0, entry_hosts=hosts
        )
        if not sentinels.is_absent(candidate):
            selector.reserve(candidate, criteria(), now_s=now_s)
            selector.release(candidate)
            sent += 1
    assert sent * hosts <= 19.0 + hosts


def test_upstreams_of_a_domain_that_is_taken_back_are_cold():
    selector = new_selector([NEAR], draining=['east-a'])
    update(selector, [NEAR], now_s=10.0)
    load = find(selector, now_s=10.0).load
    assert load.is_cold(now_s=12.9)
    assert not load.is_cold(now_s=13.1)


def test_slow_upstream_is_left_for_a_faster_one():
    selector = new_selector([NEAR, ACROSS])
    for _number in range(20):
        candidate = find(selector, excluded=frozenset({'across'}))
        selector.record_answer(candidate, criteria(), took_s=3.0)
    assert found(selector) == 'across'


BOTH = frozenset({regions.LOCAL, regions.REMOTE})


@pytest.mark.parametrize('has_key', [True, False])
def test_work_moves_between_regions_no_faster_than_allowed(has_key):
    shares = regions.RegionShares(step_per_s=0.04, now_s=0.0)
    shares.set_region_groups(BOTH)
    shares.apply_grant(1.0, now_s=0.0)
    per_window = []
    for window in range(10):
        shares.apply_grant(0.0, now_s=window * 2.0)
        chosen = [
            shares.choose(
                key=step / 200 if has_key else None,
                now_s=window * 2 + step * 0.01,
            )
            for step in range(200)
        ]
        per_window.append(chosen.count(regions.REMOTE) / len(chosen))
    steps = [b - a for a, b in zip(per_window, per_window[1:], strict=False)]
    assert max(steps) <= 0.1
    assert per_window[-1] > 0.5


def test_host_that_starts_takes_the_share_of_its_region_at_once():
    shares = regions.RegionShares(step_per_s=0.04, now_s=0.0)
    shares.set_region_groups(BOTH)
    shares.apply_grant(0.3, now_s=0.0)
    assert shares.local_share == 0.3
    shares.choose(key=None, now_s=0.1)
    shares.apply_grant(0.9, now_s=0.2)
    assert shares.local_share == pytest.approx(0.304)


def test_requests_for_one_object_go_the_same_way():
    shares = regions.RegionShares(step_per_s=0.0, now_s=0.0)
    shares.set_region_groups(BOTH)
    shares.apply_grant(0.6, now_s=0.0)
    for key, expected in ((0.1, regions.LOCAL), (0.7, regions.REMOTE)):
        assert shares.choose(key=key, now_s=0.0) == expected


def test_share_of_a_region_that_is_lost_moves_at_once():
    shares = regions.RegionShares(step_per_s=0.04, now_s=0.0)
    shares.set_region_groups(BOTH)
    shares.set_region_groups(frozenset({regions.REMOTE}))
    assert shares.choose(key=0.1, now_s=0.1) == regions.REMOTE


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
def test_who_waits_and_for_how_long(fields, expected):
    max_wait_s = request_queue.max_wait_s(objective_s=0.3, **fields)
    assert max_wait_s == pytest.approx(expected)


def test_those_refused_come_back_at_moments_of_their_own():
    rng = random.Random(1)
    moments = [
        request_queue.retry_after_s(backlog_s=0.5, left_s=9.0, rng=rng)
        for _number in range(50)
    ]
    assert len({round(moment, 2) for moment in moments}) > 25
    assert all(0.5 <= moment <= 2.0 for moment in moments)
    assert request_queue.retry_after_s(backlog_s=5, left_s=0.6, rng=rng) <= 0.2


def test_line_serves_rank_first_then_who_came_first():
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


def test_misses_do_not_make_an_upstream_look_slow():
    load = upstream_load.UpstreamLoad(upstream(), now_s=0.0)
    for number in range(100):
        took_s = 0.88 if number % 4 == 0 else 0.26
        load.record_success(took_s=took_s, expected_s=0.4)
    assert load.slowness < 1.0


def test_load_forgets_reports_of_a_reborn_upstream():
    load = upstream_load.UpstreamLoad(upstream(), now_s=0.0)
    load.record_affinity('r 1', now_s=0.5)
    load.become_cold(2.0, now_s=1.0)
    assert not load.is_warm('r 1', now_s=1.0)
