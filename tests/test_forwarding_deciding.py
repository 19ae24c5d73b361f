"""Decisions of an entry host about a request, without any I/O."""

import dataclasses

import pytest

from skylarkpitch.fleet import host_parts
from skylarkpitch.fleet import model
from skylarkpitch.forwarding import candidates
from skylarkpitch.forwarding import regions
from skylarkpitch.forwarding import upstream_load
from skylarkpitch.forwarding import upstream_notices
from skylarkpitch.forwarding import upstream_selector as selectors
from skylarkpitch import sentinels


def upstream(name='u1', domain='east-a', **fields):
    values = {
        'upstream_id': name,
        'born_ms': 1,
        'sequence': 1,
        'service': 'desk',
        'address': '10.0.0.1:80',
        'failure_domain': domain,
        'slots': 4,
        **fields,
    }
    return model.Upstream(**values)


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
    values = {
        'service': 'desk',
        'route': 'r',
        'affinity_key': None,
        'homes': None,
        'objective_s': 0.3,
        **fields,
    }
    return candidates.SelectionCriteria(**values)


def select(
    selector,
    now_s=0.0,
    cold_rate_per_s=None,
    entry_hosts=1,
    host_position=0,
    **fields,
):
    part = host_parts.HostPart(
        position=host_position or 0, weight=1, total_weight=entry_hosts
    )
    return selector.select(
        criteria(**fields),
        cold_rate_per_s=cold_rate_per_s,
        part_of=lambda region: None if host_position is None else part,
        now_s=now_s,
        time_of_day_s=now_s,
    )


def selected_id(selector, **fields):
    candidate = select(selector, **fields)
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
def test_nearest_usable_upstream_is_selected(
    upstreams, draining, fields, expected
):
    selector = new_selector(upstreams, draining=draining)
    assert selected_id(selector, **fields) == expected


def fill(selector, count, **fields):
    candidates = []
    for _number in range(count):
        candidate = select(selector, **fields)
        assert not sentinels.is_absent(candidate)
        selector.reserve(candidate, criteria(**fields), now_s=0.0)
        candidates.append(candidate)
    return candidates


def test_full_upstream_has_no_capacity_until_a_request_ends():
    selector = new_selector([NEAR])
    candidates = fill(selector, 6)
    assert selected_id(selector) == 'no_room'
    selector.release(candidates[0])
    assert selected_id(selector) == 'near'


def test_load_of_other_hosts_counts_and_decays():
    selector = new_selector([NEAR])
    candidate = select(selector)
    candidate.load.record_report(running=4, waiting=3, now_s=0.0)
    assert selected_id(selector) == 'no_room'
    assert selected_id(selector, now_s=20.0) == 'near'


def test_all_hosts_select_the_same_upstream_for_an_affinity_key():
    names = [upstream(f'u{i}', 'east-a') for i in range(9)]
    one = new_selector(names)
    other = new_selector(list(reversed(names)), domain='east-b')
    for key in range(40):
        affinity_key = f'r {key}'
        assert selected_id(one, affinity_key=affinity_key) == selected_id(
            other, affinity_key=affinity_key
        )


def test_unreachable_upstream_is_skipped_while_there_are_others():
    selector = new_selector([NEAR, ACROSS])
    select(selector).load.record_unreachable(now_s=0.0)
    assert selected_id(selector, now_s=0.1) == 'across'
    assert selected_id(selector, now_s=5.0) in ('near', 'across')


def test_cold_rate_of_an_upstream_holds_over_all_hosts():
    hosts = 10
    selector = new_selector([upstream(cold_left_ms=3000.0)])
    sent = 0
    for step in range(1000):
        now_s = step * 0.001
        candidate = select(
            selector, now_s=now_s, cold_rate_per_s=19.0, entry_hosts=hosts
        )
        if not sentinels.is_absent(candidate):
            selector.reserve(candidate, criteria(), now_s=now_s)
            selector.release(candidate)
            sent += 1
    assert sent * hosts <= 19.0 + hosts


def cold_requests(hosts, *, duration_s, paused=lambda host, now_s: False):
    """Return when a cold upstream gets requests of many hosts.

    Every host has a request for it every 50 ms of ``duration_s``, except
    while it is paused.
    """
    selectors_of_hosts = [
        new_selector([upstream(cold_left_ms=duration_s * 1000)])
        for _host in range(hosts)
    ]
    sent = []
    for step in range(int(duration_s * 20)):
        now_s = step * 0.05
        for position, selector in enumerate(selectors_of_hosts):
            if paused(position, now_s):
                continue
            candidate = select(
                selector,
                now_s=now_s,
                cold_rate_per_s=3.2,
                entry_hosts=hosts,
                host_position=position,
            )
            if not sentinels.is_absent(candidate):
                selector.reserve(candidate, criteria(), now_s=now_s)
                selector.release(candidate)
                sent.append(now_s)
    return sent


# Guards against cold upstreams without requests where the part of the cold
# rate that falls to one entry host is less than one request. The bound is
# half of what the rate allows while the upstream is cold.
def test_cold_upstream_receives_requests_of_many_hosts():
    hosts = 89
    selectors_of_hosts = [
        new_selector([upstream(cold_left_ms=3000.0)]) for _host in range(hosts)
    ]
    sent = 0
    for step in range(3000):
        position = step * 7 % hosts
        selector = selectors_of_hosts[position]
        now_s = step * 0.001
        candidate = select(
            selector,
            now_s=now_s,
            cold_rate_per_s=3.2,
            entry_hosts=hosts,
            host_position=position,
        )
        if not sentinels.is_absent(candidate):
            selector.reserve(candidate, criteria(), now_s=now_s)
            selector.release(candidate)
            sent += 1
    assert 0.5 * 3.2 * 3 <= sent <= 1.5 * 3.2 * 3 + 8


@pytest.mark.parametrize(
    'paused',
    [
        lambda host, now_s: False,
        lambda host, now_s: host % 2 and now_s < 1.9,
        lambda host, now_s: host % 3 == 0 and 0.5 < now_s < 2.5,
    ],
    ids=['none', 'half-late', 'a-third-for-2-s'],
)
@pytest.mark.parametrize('hosts', [8, 89, 182, 1000])
def test_cold_rate_holds_in_every_second_for_any_number_of_hosts(
    hosts, paused
):
    duration_s = 3.0
    sent = cold_requests(hosts, duration_s=duration_s, paused=paused)
    for start in range(21):
        start_s = start * 0.1
        within = [t for t in sent if start_s <= t < start_s + 1.0]
        assert len(within) <= 1.5 * 3.2 + 8
    assert len(sent) <= 3.2 * duration_s + 1
    assert len(sent) >= 0.25 * 3.2 * duration_s


def test_host_that_is_not_recorded_uses_no_cold_rate():
    selector = new_selector([upstream(cold_left_ms=3000.0)])
    assert sentinels.is_absent(
        select(
            selector,
            now_s=0.5,
            cold_rate_per_s=3.2,
            entry_hosts=89,
            host_position=None,
        )
    )


@pytest.mark.parametrize('excluded', [frozenset(), frozenset({'u0', 'u1'})])
@pytest.mark.parametrize('affinity_key', [None, 'r 7'])
@pytest.mark.parametrize('failed', [False, True])
def test_request_finds_an_upstream_among_many(excluded, affinity_key, failed):
    items = [
        upstream(f'u{i}', 'east-a' if i % 2 else 'west-a') for i in range(600)
    ]
    selector = new_selector(items)
    if failed:
        for candidate in fill(selector, 20, affinity_key=affinity_key):
            candidate.load.record_unreachable(now_s=0.0)
    found = select(selector, affinity_key=affinity_key, excluded=excluded)
    assert not sentinels.is_absent(found)
    assert found.load.upstream.upstream_id not in excluded


def test_upstream_that_joins_or_leaves_changes_no_other_ranking():
    items = [upstream(f'u{i}', 'east-a') for i in range(60)]
    keys = [f'r {number}' for number in range(200)]
    selector = new_selector(items)
    before = {k: selected_id(selector, affinity_key=k) for k in keys}
    selector.update_upstream('new', upstream('new', 'east-a'), now_s=0.0)
    joined = {k: selected_id(selector, affinity_key=k) for k in keys}
    moved = {k for k in keys if joined[k] != before[k]}
    assert {joined[k] for k in moved} == {'new'}
    fresh = new_selector([*items, upstream('new', 'east-a')])
    assert joined == {k: selected_id(fresh, affinity_key=k) for k in keys}
    selector.update_upstream('new', None, now_s=0.0)
    assert before == {k: selected_id(selector, affinity_key=k) for k in keys}


def test_upstreams_of_an_undrained_domain_are_cold():
    selector = new_selector([NEAR], draining=['east-a'])
    update(selector, [NEAR], now_s=10.0)
    load = select(selector, now_s=10.0).load
    assert load.is_cold(now_s=12.9)
    assert not load.is_cold(now_s=13.1)


def test_faster_upstream_is_selected_over_a_slow_one():
    selector = new_selector([NEAR, ACROSS])
    for _number in range(20):
        candidate = select(selector, excluded=frozenset({'across'}))
        selector.record_response(candidate, criteria(), took_s=3.0, now_s=0.0)
    assert selected_id(selector) == 'across'


BOTH_GROUPS = frozenset({regions.LOCAL, regions.REMOTE})


@pytest.mark.parametrize('has_affinity_key', [True, False])
def test_local_share_changes_no_faster_than_its_step(has_affinity_key):
    shares = regions.RegionShares(step_per_s=0.04, now_s=0.0)
    shares.set_region_groups(BOTH_GROUPS)
    shares.apply_grant(1.0, now_s=0.0)
    per_window = []
    for window in range(10):
        shares.apply_grant(0.0, now_s=window * 2.0)
        chosen = [
            shares.choose(
                affinity_fraction=step / 200 if has_affinity_key else None,
                now_s=window * 2 + step * 0.01,
            )
            for step in range(200)
        ]
        per_window.append(chosen.count(regions.REMOTE) / len(chosen))
    steps = [b - a for a, b in zip(per_window, per_window[1:], strict=False)]
    assert max(steps) <= 0.1
    assert per_window[-1] > 0.5


def test_starting_host_adopts_the_share_of_its_region_at_once():
    shares = regions.RegionShares(step_per_s=0.04, now_s=0.0)
    shares.set_region_groups(BOTH_GROUPS)
    shares.apply_grant(0.3, now_s=0.0)
    assert shares.local_share == 0.3
    shares.choose(affinity_fraction=None, now_s=0.1)
    shares.apply_grant(0.9, now_s=0.2)
    assert shares.local_share == pytest.approx(0.304)


def local_fraction(selector, *, route='r', keys=200):
    """Return the part of the keys whose requests run in the local region."""
    ran_in = [
        select(selector, affinity_key=f'{route} {number}', route=route)
        for number in range(keys)
    ]
    return sum(
        item.load.upstream.failure_domain.startswith('east') for item in ran_in
    ) / len(ran_in)


def short_region_selector():
    return new_selector(
        [
            upstream('e1', 'east-a', slots=50),
            *(upstream(f'w{n}', 'west-a', slots=50) for n in range(9)),
        ]
    )


# Guards against a short region that fills up after all hosts have restarted:
# requests arrive before the first grant, and none of them left the region.
def test_host_without_a_grant_keeps_what_matches_the_slots():
    selector = short_region_selector()
    assert local_fraction(selector) == pytest.approx(0.2, abs=0.07)
    assert selector.route_shares() == {'desk': {}}


def test_new_leader_is_told_only_shares_that_were_granted():
    selector = short_region_selector()
    select(selector, affinity_key='k', route='r')
    selector.apply_grant({'desk': 0.5}, {'desk': {'r': 0.4}}, now_s=1.0)
    assert set(selector.route_shares()['desk']) == {'r'}


def test_requests_with_one_affinity_key_go_to_one_region():
    shares = regions.RegionShares(step_per_s=0.0, now_s=0.0)
    shares.set_region_groups(BOTH_GROUPS)
    shares.apply_grant(0.6, now_s=0.0)
    for key, expected in ((0.1, regions.LOCAL), (0.7, regions.REMOTE)):
        assert shares.choose(affinity_fraction=key, now_s=0.0) == expected


def test_share_of_a_lost_region_moves_at_once():
    shares = regions.RegionShares(step_per_s=0.04, now_s=0.0)
    shares.set_region_groups(BOTH_GROUPS)
    shares.set_region_groups(frozenset({regions.REMOTE}))
    assert shares.choose(affinity_fraction=0.1, now_s=0.1) == regions.REMOTE


def new_load():
    return upstream_load.UpstreamLoad(
        upstream(), notices=upstream_notices.UpstreamState(), now_s=0.0
    )


def test_cache_misses_do_not_raise_slowness():
    load = new_load()
    for number in range(100):
        took_s = 0.88 if number % 4 == 0 else 0.26
        load.record_success(took_s=took_s, expected_s=0.4)
    assert load.slowness < 1.0


def test_upstream_that_becomes_cold_is_not_warm():
    load = new_load()
    load.record_affinity('r 1', now_s=0.5)
    load.become_cold(2.0, now_s=1.0)
    assert not load.is_warm('r 1', now_s=1.0)


# The pattern: short urgent requests and long ones run on the same upstreams.
LONG = {'route': 'long', 'objective_s': 1.5}
SHORT = {'route': 'short', 'objective_s': 0.4}
LONG_WORK_S, SHORT_WORK_S = 1.0, 0.13


def mixed_selector():
    """Return a selector that has measured short and long requests."""
    selector = new_selector([NEAR, ACROSS])
    for _number in range(60):
        for fields, work_s in ((LONG, LONG_WORK_S), (SHORT, SHORT_WORK_S)):
            candidate = select(selector, **fields)
            selector.record_response(
                candidate, criteria(**fields), took_s=work_s, now_s=0.0
            )
    return selector


# Guards against short requests that queue behind long ones: the time in the
# queue was taken from their own work, an eighth of what they wait for.
@pytest.mark.parametrize(
    ('running_near', 'running_across', 'expected'),
    [(0, 0, 'near'), (3, 0, 'near'), (4, 0, 'across'), (5, 3, 'across')],
    ids=['both-free', 'last-slot', 'one-would-queue', 'longer-queue'],
)
def test_short_request_does_not_queue_behind_long_ones(
    running_near, running_across, expected
):
    selector = mixed_selector()
    for name, count in (('near', running_near), ('across', running_across)):
        other = {'near': 'across', 'across': 'near'}[name]
        fill(selector, count, excluded=frozenset({other}), **LONG)
    assert selected_id(selector, **SHORT) == expected
    candidate = select(selector, **SHORT)
    assert candidate.expected_s < 0.25


@pytest.mark.parametrize(
    ('occupied', 'warm_elsewhere', 'expected'),
    [(4, False, 'first'), (5, False, 'second'), (4, True, 'first')],
)
def test_queue_of_the_first_choice_is_weighed_against_a_miss(
    occupied, warm_elsewhere, expected
):
    upstreams = [upstream('a', slots=4), upstream('b', slots=4)]
    upstreams += [upstream(f'u{number}') for number in range(3)]
    selector = new_selector(upstreams)
    fields = {'affinity_key': 'k', **SHORT}
    first = select(selector, **fields)
    for _number in range(80):
        selector.record_response(
            first, criteria(**fields), took_s=SHORT_WORK_S, now_s=0.0
        )
        selector.record_response(
            first, criteria(**LONG), took_s=LONG_WORK_S, now_s=0.0
        )
    first.load.running = occupied
    selected = select(selector, **fields)
    is_first = selected.load is first.load
    assert is_first == (expected == 'first')


def test_requests_return_slowly_to_a_region_that_was_lost():
    shares = regions.RegionShares(step_per_s=0.25, now_s=0.0)
    both = frozenset((regions.LOCAL, regions.REMOTE))
    shares.set_region_groups(both)
    shares.apply_grant(1.0, now_s=0.0)
    assert shares.choose(affinity_fraction=0.5, now_s=0.0) == regions.LOCAL
    shares.set_region_groups(frozenset((regions.REMOTE,)))
    assert shares.choose(affinity_fraction=0.5, now_s=1.0) == regions.REMOTE
    shares.set_region_groups(both)
    shares.apply_grant(0.1, now_s=1.0)
    assert shares.choose(affinity_fraction=0.5, now_s=1.1) == regions.REMOTE
    assert shares.choose(affinity_fraction=0.05, now_s=2.0) == regions.LOCAL


def running_on(selector, name):
    """Return how many more requests the only upstream may get at once."""
    requests = 0
    while not sentinels.is_absent(candidate := select(selector)):
        assert candidate.load.upstream.upstream_id == name
        selector.reserve(candidate, criteria(), now_s=0.0)
        requests += 1
    return requests


# Guards against an upstream that is sent more than it has room for: it was
# removed while control did not hear from it, and what it ran was forgotten.
@pytest.mark.parametrize(
    ('returned', 'ended', 'expected'),
    [
        (NEAR, 0, 0),
        (NEAR, 2, 2),
        (dataclasses.replace(NEAR, sequence=9), 0, 0),
        (dataclasses.replace(NEAR, born_ms=2), 0, 6),
    ],
    ids=['none-ended', 'some-ended', 'later-report', 'started-again'],
)
def test_upstream_that_returns_still_runs_what_it_ran(
    returned, ended, expected
):
    selector = new_selector([NEAR])
    sent = [select(selector) for _number in range(6)]
    for candidate in sent:
        selector.reserve(candidate, criteria(), now_s=0.0)
    assert selected_id(selector) == 'no_room'
    update(selector, [])
    assert selected_id(selector) == 'no_upstream'
    for candidate in sent[:ended]:
        selector.release(candidate)
    update(selector, [returned])
    assert running_on(selector, 'near') == expected


def test_upstream_without_requests_is_forgotten():
    selector = new_selector([NEAR])
    candidate = select(selector)
    selector.reserve(candidate, criteria(), now_s=0.0)
    candidate.load.record_unreachable(now_s=0.0)
    update(selector, [])
    selector.release(candidate)
    update(selector, [NEAR])
    assert select(selector).load is not candidate.load
