"""Decisions of the control group's leader, without any I/O."""

import pytest

from skylarkpitch.fleet import group
from skylarkpitch.fleet import liveness
from skylarkpitch.fleet import look_up
from skylarkpitch.fleet import model
from skylarkpitch.fleet import rate_shares
from skylarkpitch.fleet import sources


@pytest.mark.parametrize(
    ('voters', 'tolerated', 'is_large'),
    [
        (3, 1, True),
        (3, 2, False),
        (4, 2, False),
        (5, 2, True),
        (6, 2, True),
        (7, 3, True),
        (6, 3, False),
        (1, 0, True),
    ],
)
def test_group_acknowledges_only_if_it_tolerates_the_losses(
    voters, tolerated, is_large
):
    names = [f'c{i}' for i in range(voters)]
    assert group.is_large_enough(names, tolerated=tolerated) is is_large


@pytest.mark.parametrize(
    ('voters', 'lost', 'ready', 'removed'),
    [
        (6, ['c0'], [], 'c0'),
        (5, ['c0'], [], None),
        (5, ['c0'], ['d'], 'c0'),
        (6, ['c0', 'c1'], [], 'c0'),
        (4, ['c1'], ['d'], None),
        (6, [], ['d'], None),
    ],
    ids=[
        'one',
        'too-few-remain',
        'successor-is-ready',
        'one-of-two',
        'too-few-even-with-the-successor',
        'none',
    ],
)
def test_lost_voter_is_removed(voters, lost, ready, removed):
    names = [f'c{i}' for i in range(voters)]
    found = group.removable_voter(
        names, lost=lost, ready_learners=ready, tolerated=2
    )
    assert found == removed


# Guards against a quorum of which a host that was replaced is a part.
@pytest.mark.parametrize(
    ('voters', 'silent_s', 'promoted'),
    [
        (5, 0.1, True),
        (5, 1.0, False),
        (6, 1.0, True),
        (3, 1.0, True),
    ],
    ids=['all-respond', 'silent', 'quorum-stays', 'group-grows'],
)
def test_new_host_waits_for_the_removal_of_a_silent_voter(
    voters, silent_s, promoted
):
    names = [f'c{i}' for i in range(voters)]
    ages_s = {name: 0.1 for name in names} | {'c1': silent_s}
    assert group.may_promote(names, ages_s, tolerated=2) is promoted


def test_time_while_this_process_stalls_expires_nobody():
    contacts = liveness.Liveness(timeout_s=5.0)
    contacts.record_contact('u1', revision=(1, 1), now_s=0.0)
    assert contacts.expired(['u1'], now_s=0.25) == []
    assert contacts.expired(['u1'], now_s=9.0) == []
    at_s = 9.0
    while at_s < 13.5:
        at_s += 0.25
        assert contacts.expired(['u1'], now_s=at_s) == []
    assert contacts.expired(['u1'], now_s=14.25) == ['u1']


def test_older_revision_is_stale():
    contacts = liveness.Liveness(timeout_s=5.0)
    contacts.record_contact('u1', revision=(1, 5), now_s=0.0)
    assert contacts.is_stale('u1', revision=(1, 4))
    assert not contacts.is_stale('u1', revision=(2, 1))


@pytest.mark.parametrize(
    ('rate', 'demand', 'expected'),
    [
        (100.0, {'a': 10.0, 'b': 30.0}, {'a': 40.0, 'b': 60.0}),
        (100.0, {'a': 50.0, 'b': 150.0}, {'a': 25.0, 'b': 75.0}),
    ],
    ids=['below-rate', 'above-rate'],
)
def test_rate_is_divided_by_demand(rate, demand, expected):
    shares = {
        host: rate_shares.fair_share(
            rate,
            claimed_per_s=claimed_per_s,
            total_claimed_per_s=sum(demand.values()),
            host_count=len(demand),
        )
        for host, claimed_per_s in demand.items()
    }
    assert shares == pytest.approx(expected)


def test_granted_rates_never_exceed_the_rate():
    shares = rate_shares.RateShares()
    limits = {'o': rate_shares.Limit(rate_per_s=90.0, burst=90.0)}
    granted = {}
    for step in range(30):
        host = 'abc'[step % 3]
        busy = 'abc'[(step // 6) % 3]
        usage = rate_shares.Usage(
            demand_per_s={'o': 200.0 if host == busy else 1.0}
        )
        grant = shares.grant(
            host, usage=usage, limits=limits, host_count=3, now_s=step * 0.2
        )
        granted[host] = grant.rate_per_s['o']
        assert sum(granted.values()) <= 90.0 + 1e-6


# Guards against refusals far below the rate at a host that has just started:
# the others held all of the rate, most of it without a need.
@pytest.mark.parametrize('hosts', [1, 2, 9, 88])
def test_host_that_starts_has_a_share_at_once(hosts):
    shares = rate_shares.RateShares()
    limits = {'o': rate_shares.Limit(rate_per_s=1000.0, burst=1000.0)}

    def granted(host, demand_per_s, *, host_count, now_s):
        usage = rate_shares.Usage(demand_per_s={'o': demand_per_s})
        grant = shares.grant(
            host,
            usage=usage,
            limits=limits,
            host_count=host_count,
            now_s=now_s,
        )
        return grant.rate_per_s['o']

    demand_per_s = 100.0 / hosts
    for step in range(4):
        held = [
            granted(
                f'h{number}',
                demand_per_s,
                host_count=hosts,
                now_s=0.5 * step,
            )
            for number in range(hosts)
        ]
    joined = granted('new', 0.0, host_count=hosts + 1, now_s=1.6)
    assert sum(held) + joined <= 1000.0 + 1e-6
    assert joined > demand_per_s


def test_rate_of_a_silent_host_is_divided_after_its_lease():
    shares = rate_shares.RateShares()
    limits = {'o': rate_shares.Limit(rate_per_s=90.0, burst=90.0)}
    usage = rate_shares.Usage(demand_per_s={'o': 200.0})

    def granted(host, now_s):
        return shares.grant(
            host, usage=usage, limits=limits, host_count=2, now_s=now_s
        ).rate_per_s['o']

    assert granted('a', 0.0) == pytest.approx(90.0 * 200 / 204.5)
    assert granted('b', 0.1) == pytest.approx(90.0 * 4.5 / 204.5)
    assert granted('b', rate_shares.GRANT_LEASE_S + 0.5) > 80.0


def entry(name, domain):
    return model.EntryHost(
        name=name,
        callers_address=f'{name}:1',
        region=domain[:4],
        failure_domain=domain,
    )


HOSTS = [
    entry('e1', 'east-a'),
    entry('e2', 'east-a'),
    entry('e3', 'east-b'),
    entry('w1', 'west-a'),
]


@pytest.mark.parametrize(
    ('region', 'domain', 'homes', 'expected'),
    [
        ('east', 'east-a', (), ['e1', 'e2']),
        ('east', 'east-b', (), ['e3', 'e1', 'e2']),
        ('west', 'west-b', (), ['w1']),
        ('nort', 'nort-a', (), ['e1', 'e2', 'e3', 'w1']),
        ('nort', 'nort-a', ('west',), ['w1']),
    ],
)
def test_look_up_returns_the_nearest(region, domain, homes, expected):
    found = look_up.select_entry_hosts(
        HOSTS, region=region, failure_domain=domain, homes=homes
    )
    assert [host.name for host in found] == expected


def test_nearest_source_is_preferred_and_a_failed_one_avoided():
    control_hosts = sources.Sources()
    control_hosts.replace(['a', 'b', 'c'])
    for name, round_trip_s in (('a', 0.03), ('b', 0.001), ('c', 0.04)):
        control_hosts.record_round_trip(name, round_trip_s=round_trip_s)
    assert control_hosts.best(now_s=0.0) == 'b'
    assert control_hosts.best(now_s=0.0, in_use=['b']) == 'a'
    control_hosts.record_failure('b', now_s=0.0)
    assert control_hosts.best(now_s=0.5) == 'a'
    assert control_hosts.best(now_s=1.5) == 'b'
