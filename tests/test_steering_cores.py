"""Test shares, shift, link budgets, tickets, queues and backoff alone."""

import random

import pytest

from skylarkpitch import errors
from skylarkpitch.steering import backoff
from skylarkpitch.steering import demand as demands
from skylarkpitch.steering import fair_queue
from skylarkpitch.steering import link_budget
from skylarkpitch.steering import shares
from skylarkpitch.steering import shift
from skylarkpitch.steering import tickets
from skylarkpitch.steering import tiers
from tests.stand_ins import fake_peers
from tests.stand_ins import steering_hosts


def regions(region_percent, one_percent, other_percent):
    return steering_hosts.config(
        regions={
            'r1': {
                'max_share_percent': region_percent,
                'failure_domains': {
                    'd1': {'max_share_percent': one_percent},
                    'd2': {'max_share_percent': other_percent},
                },
            }
        }
    )


@pytest.mark.parametrize(
    ('percents', 'expected'),
    [
        ((60, 40, 40), 0.3),
        ((60, 20, 40), 0.2),
        ((30, 10, 30), 0.075),
        ((100, 40, 40), 0.4),
        ((100, 100, 100), 1.0),
        ((0, 0, 0), 0.0),
    ],
)
def test_cap_of_a_region_is_divided_among_its_domains(percents, expected):
    cap = shares.domain_cap(
        regions(*percents), region='r1', failure_domain='d1'
    )
    assert cap == pytest.approx(expected)


@pytest.mark.parametrize('seed', range(20))
def test_limits_of_the_hosts_never_exceed_the_share(seed):
    rng = random.Random(seed)
    own_slots = [rng.randint(0, 40) for _ in range(rng.randint(1, 5))]
    other_slots = rng.randint(0, 300)
    cap = rng.uniform(0.01, 1.0)
    limits = [
        shares.host_limit(
            cap=cap,
            own_slots=slots,
            other_slots=other_slots,
            domain_hosts=len(own_slots),
        )
        for slots in own_slots
    ]
    share = cap * (sum(own_slots) + other_slots)
    assert sum(limits) <= max(share + 1e-6, len(own_slots))


def test_slots_of_other_domains_count_as_last_reported():
    fleet = shares.FleetSlots()
    fleet.record('d2', {'desk': 8})
    fleet.record('d3', {'desk': 4, 'plan': 1})
    fleet.record('d2', {'desk': 6})
    assert (fleet.slots_elsewhere('desk'), fleet.slots_elsewhere('plan')) == (
        10,
        1,
    )


@pytest.mark.parametrize('rate_per_s', [0.5, 1.0, 3.7, 40.0])
def test_growth_of_cross_region_calls_within_any_second(rate_per_s):
    rng = random.Random(2)
    ramp = shift.ShiftRamp(now_s=0.0)
    now_s, level, peaks = 0.0, 0, []
    while now_s < 30:
        now_s += rng.expovariate(100)
        level = max(0, level - rng.choice((0, 0, 0, 1, 5)))
        headroom = ramp.headroom(level, rate_per_s=rate_per_s, now_s=now_s)
        if headroom:
            level += rng.randint(1, headroom)
            ramp.record_growth(level, now_s=now_s)
        before = [x for at_s, x in peaks if now_s - 11 < at_s <= now_s - 1.05]
        if before:
            assert level <= max(before) + max(1, rate_per_s)
        peaks.append((now_s, level))


def test_peak_expires_after_ten_seconds_at_most():
    ramp = shift.ShiftRamp(now_s=0.1)
    assert ramp.headroom(0, rate_per_s=3.0, now_s=0.1) == 3
    ramp.record_growth(3, now_s=0.1)
    assert ramp.headroom(0, rate_per_s=3.0, now_s=9.9) == 6
    assert ramp.headroom(0, rate_per_s=3.0, now_s=10.1) == 3
    assert ramp.headroom(0, rate_per_s=3.0, now_s=19.0) == 3


def test_growth_beyond_the_cap_raises():
    ramp = shift.ShiftRamp(now_s=0.0)
    headroom = ramp.headroom(0, rate_per_s=3.0, now_s=0.0)
    with pytest.raises(errors.InvariantError):
        ramp.record_growth(headroom + 1, now_s=0.0)


def test_link_bytes_within_any_second():
    rng = random.Random(3)
    budget = link_budget.LinkBudget(bytes_per_s=10_000, now_s=0.0)
    now_s, sent = 0.0, []
    while now_s < 20:
        now_s += rng.expovariate(50)
        size = rng.choice((100, 900, 1900))
        if budget.can_spend(size, now_s=now_s):
            budget.spend(size, now_s=now_s)
            sent.append((now_s, size))
        last = sum(x for at_s, x in sent if at_s > now_s - 1)
        assert last <= 10_000
    assert sum(x for _, x in sent) > 19 * 7_000
    with pytest.raises(errors.InvariantError):
        budget.spend(3_000, now_s=now_s)


def test_link_budgets_of_the_hosts_sum_to_the_capacity():
    host_bytes_per_s = link_budget.host_bytes_per_s(
        mbit_per_s=4000, region_hosts=3
    )
    assert 2 * 3 * host_bytes_per_s == pytest.approx(4000 * 125_000)


def issued_ticket(expires_s=2.0, client='h1'):
    return tickets.IssuedTicket(
        service='desk',
        client=client,
        cross_region=True,
        expires_s=expires_s,
    )


def test_ticket_is_redeemed_once_and_expires():
    issued = tickets.IssuedTickets()
    for name in ('a', 'b', 'c'):
        issued.issue(name, issued_ticket())
    assert issued.redeem('a', now_s=1.0)
    assert issued.redeem('a', now_s=1.0).reason == 'ticket_unknown'
    assert issued.redeem('b', now_s=2.0).reason == 'ticket_unknown'
    assert issued.remove_returned('c', client='h2') is None
    assert issued.remove_returned('c', client='h1')
    assert issued.outstanding('desk') == 1
    assert len(issued.expire(now_s=2.0)) == 1
    assert issued.outstanding_cross_region('desk') == 0
    with pytest.raises(errors.InvariantError):
        issued.issue('d', issued_ticket())
        issued.issue('d', issued_ticket())


@pytest.mark.parametrize('drift', [0.0, 0.01, 0.1])
def test_reservation_outlasts_the_lease_of_the_client(drift):
    slow_client_s = 2.0 / (1 - drift)
    fast_issuer_s = tickets.reservation_s(lease_s=2.0, drift=drift) / (
        1 + drift
    )
    assert fast_issuer_s > slow_client_s


def test_received_tickets_expire_and_idle_ones_are_returned():
    received = tickets.ReceivedTickets()
    received.add('desk', 'h2', ('a', 'b'), now_s=0.0, expires_s=1.0)
    assert received.pop('desk', 'h2', now_s=0.5) == 'b'
    assert received.pop_idle(now_s=0.2, idle_s=0.3) == {}
    assert received.pop_idle(now_s=0.4, idle_s=0.3) == {'h2': ['a']}
    received.add('desk', 'h2', ('c',), now_s=0.0, expires_s=1.0)
    assert received.pop('desk', 'h2', now_s=1.0) is None


def serve_all(queue, count):
    return [queue.serve(lambda item: True).flow[0] for _ in range(count)]


def test_queue_serves_by_weight_regardless_of_the_backlog():
    queue = fair_queue.FairQueue()
    for _ in range(60):
        queue.push(('large', ''), weight=1.0, item=0)
    for _ in range(20):
        queue.push(('small', ''), weight=1.0, item=0)
    for _ in range(40):
        queue.push(('heavy', ''), weight=2.0, item=0)
    served = serve_all(queue, 40)
    assert abs(served.count('heavy') - 20) <= 1
    assert abs(served.count('small') - 10) <= 1
    assert abs(served.count('large') - 10) <= 1


def test_removed_calls_do_not_delay_their_flow():
    queue = fair_queue.FairQueue()
    removed = [queue.push(('a', ''), weight=1.0, item=0) for _ in range(50)]
    for _ in range(5):
        queue.push(('b', ''), weight=1.0, item=0)
    for waiter in removed:
        queue.remove(waiter)
    queue.push(('a', ''), weight=1.0, item=0)
    assert 'a' in serve_all(queue, 2)


def test_victim_is_of_the_longest_backlog():
    queue = fair_queue.FairQueue()
    for _ in range(5):
        last = queue.push(('large', ''), weight=1.0, item=0)
    assert queue.victim(('small', ''), weight=1.0) is last
    assert queue.victim(('large', ''), weight=1.0) is None
    assert queue.calls_ahead(('small', ''), weight=1.0) == 1
    assert queue.calls_ahead(('large', ''), weight=1.0) == 5


def test_remote_calls_are_served_in_turn_until_they_expire():
    queue = fair_queue.FairQueue()
    demand = demands.Demand(queue=queue)
    flows = (('a', 'reads', 1.0, 3), ('b', 'reads', 1.0, 100))
    demand.replace('h2', flows=flows, number=1, now_s=0.0)
    assert len(queue) == 3 + demands.MAX_CALLS_PER_FLOW
    demand.replace('h2', flows=flows[:1], number=2, now_s=0.1)
    assert len(queue) == 3
    assert queue.serve(lambda call: call.number == 2)
    demand.expire(now_s=0.1 + demands.DEMAND_LIFETIME_S)
    assert len(queue) == 0


def test_backoff_grows_until_it_is_reset():
    backoffs = backoff.HostBackoff(rng=random.Random(1))
    delays_s = []
    for _ in range(5):
        backoffs.record_refusal('desk', 'h2', now_s=0.0)
        now_s = 0.0
        while backoffs.is_backing_off('desk', 'h2', now_s=now_s):
            now_s += 0.001
        delays_s.append(now_s)
    assert delays_s[-1] > 4 * delays_s[0]
    backoffs.reset('desk', 'h2')
    assert not backoffs.is_backing_off('desk', 'h2', now_s=0.0)


def test_domains_of_equal_distance_form_one_tier():
    hosts = [
        fake_peers.host('h1', 'r1', 'd1'),
        fake_peers.host('h2', 'r1', 'd2'),
        fake_peers.host('h3', 'r2', 'd3'),
        fake_peers.host('h4', 'r2', 'd4'),
    ]
    directory = fake_peers.FakeNetwork(hosts=hosts).join('h1').directory
    assert tiers.domain_tiers(directory, steering_hosts.config()) == [
        ['d1'],
        ['d2'],
        ['d3', 'd4'],
    ]
