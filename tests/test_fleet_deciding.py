"""What the leader of the control group decides, without any I/O."""

import pytest

from skylarkpitch.fleet import group
from skylarkpitch.fleet import liveness
from skylarkpitch.fleet import look_up
from skylarkpitch.fleet import model
from skylarkpitch.fleet import rate_shares
from skylarkpitch.fleet import sources


@pytest.mark.parametrize(
    ('voters', 'tolerated', 'large'),
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
def test_group_acknowledges_only_when_losses_are_borne(
    voters, tolerated, large
):
    names = [f'c{i}' for i in range(voters)]
    assert group.is_large_enough(names, tolerated=tolerated) is large


@pytest.mark.parametrize(
    ('voters', 'silent', 'removed'),
    [
        (6, ['c0'], 'c0'),
        (5, ['c0'], None),
        (6, ['c0', 'c1'], None),
        (6, [], None),
    ],
    ids=['spare', 'too-few-left', 'more-than-one', 'nobody'],
)
def test_voter_that_is_gone_is_let_go(voters, silent, removed):
    names = [f'c{i}' for i in range(voters)]
    ages = {name: 60.0 if name in silent else 0.1 for name in names[:-1]}
    gone = group.to_remove(names, contact_ages_s=ages, tolerated=2)
    assert gone == removed


def test_silence_while_this_process_stood_still_counts_for_nobody():
    heard = liveness.Liveness(silent_s=5.0)
    heard.heard('u1', order=(1, 1), now_s=0.0)
    assert heard.silent(['u1'], now_s=0.25) == []
    assert heard.silent(['u1'], now_s=9.0) == []
    at_s = 9.0
    while at_s < 13.5:
        at_s += 0.25
        assert heard.silent(['u1'], now_s=at_s) == []
    assert heard.silent(['u1'], now_s=14.25) == ['u1']


def test_late_word_does_not_count_as_heard():
    heard = liveness.Liveness(silent_s=5.0)
    heard.heard('u1', order=(1, 5), now_s=0.0)
    assert heard.is_late('u1', order=(1, 4))
    assert not heard.is_late('u1', order=(2, 1))


@pytest.mark.parametrize(
    ('rate', 'demand', 'expected'),
    [
        (100.0, {'a': 10.0, 'b': 30.0}, {'a': 40.0, 'b': 60.0}),
        (100.0, {'a': 50.0, 'b': 150.0}, {'a': 25.0, 'b': 75.0}),
    ],
    ids=['below-rate', 'above-rate'],
)
def test_rate_is_divided_by_demand(rate, demand, expected):
    assert rate_shares.divide(rate, demand) == pytest.approx(expected)


def test_granted_rates_never_exceed_the_rate():
    shares = rate_shares.RateShares()
    hosts = {'a', 'b', 'c'}
    rates = {'o': 90.0}
    granted = {}
    for step in range(30):
        host = 'abc'[step % 3]
        busy = 'abc'[(step // 6) % 3]
        shares.report(host, {'o': 200.0 if host == busy else 1.0})
        grant = shares.grant(
            host, rates_per_s=rates, hosts=hosts, now_s=step * 0.2
        )
        granted[host] = grant['o']
        assert sum(granted.values()) <= 90.0 + 1e-6


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
def test_look_up_names_the_nearest(region, domain, homes, expected):
    found = look_up.select_entry_hosts(
        HOSTS, region=region, failure_domain=domain, homes=homes
    )
    assert [host.name for host in found] == expected


def test_nearest_source_is_watched_and_a_failed_one_avoided():
    known = sources.Sources()
    known.learn(['a', 'b', 'c'])
    for name, round_trip_s in (('a', 0.04), ('b', 0.001), ('c', 0.04)):
        known.answered(name, round_trip_s=round_trip_s)
    assert known.best(now_s=0.0) == 'b'
    assert known.best(now_s=0.0, taken=['b']) == 'a'
    known.failed('b', now_s=0.0)
    assert known.best(now_s=0.5) == 'a'
    assert known.best(now_s=1.5) == 'b'
