"""Division of what belongs to the fleet among its entry hosts."""

import pytest

from skylarkpitch.fleet import host_parts
from skylarkpitch.fleet import model
from skylarkpitch.forwarding import fleet_rate

REGIONS = ('east', 'north', 'west')


def parts_of(count, favoured_region):
    hosts = [
        model.EntryHost(
            name=f'e{number:03}',
            callers_address='',
            region=REGIONS[number % 3],
            failure_domain='',
        )
        for number in range(count)
    ]
    return host_parts.divide(hosts, favoured_region=favoured_region)


# Guards against turns in which the hosts together send more than the rate,
# or less.
@pytest.mark.parametrize('favoured_region', [None, 'east', 'none'])
@pytest.mark.parametrize('rate_per_s', [0.5, 3.2, 19.0])
@pytest.mark.parametrize('hosts', [8, 89, 182, 1000])
def test_hosts_together_send_the_rate_in_every_turn(
    hosts, rate_per_s, favoured_region
):
    rates = [
        fleet_rate.FleetRate(rate_per_s=rate_per_s, part=part)
        for part in parts_of(hosts, favoured_region).values()
    ]
    if max(rate.own_rate_per_s for rate in rates) >= 1:
        return
    total = 0
    for number in range(1_796_000_000, 1_796_000_020):
        in_turn = sum(
            rate.requests_in_turn(number, turn_s=1.0, offset=12345)
            for rate in rates
        )
        assert abs(in_turn - rate_per_s) < 1
        total += in_turn
    assert abs(total - 20 * rate_per_s) < 1


def test_hosts_of_the_favoured_region_have_more():
    parts = parts_of(6, 'east')
    assert [part.weight for part in parts.values()] == [4, 1, 1, 4, 1, 1]
    assert [part.position for part in parts.values()] == [0, 4, 5, 6, 10, 11]
    assert {part.total_weight for part in parts.values()} == {12}


LIFE_S = 2.0
STEP_S = 0.05


def most_at_once(parts, *, rate_per_s, window_s):
    """Return how many requests hosts send in a window after they were idle.

    Each sends what it may at the beginning, and then whenever it may.
    """
    buckets = [
        (
            fleet_rate.FleetRate(rate_per_s=rate_per_s, part=part),
            fleet_rate.RateBucket('u1', token_life_s=LIFE_S, now_s=0.0),
        )
        for part in parts
    ]
    sent = 0
    for step in range(round(window_s / STEP_S)):
        moment_s = 1_796_000_000 + 7.3 + step * STEP_S
        for rate, bucket in buckets:
            while bucket.has_token(
                rate, now_s=step * STEP_S, time_of_day_s=moment_s
            ):
                bucket.consume()
                sent += 1
    return sent


# Guards against hosts that lose the requests of their turns when they have
# none at that moment, and against hosts that keep them and then together send
# more than the rate allows in the window and the life of a token.
@pytest.mark.parametrize('favoured_region', [None, 'east'])
@pytest.mark.parametrize('rate_per_s', [0.5, 3.2, 6.0])
@pytest.mark.parametrize('hosts', [89, 182, 1000])
def test_idle_hosts_keep_their_turns_for_a_limited_time(
    hosts, rate_per_s, favoured_region
):
    parts = parts_of(hosts, favoured_region).values()
    window_s = 4.0
    sent = most_at_once(parts, rate_per_s=rate_per_s, window_s=window_s)
    most = rate_per_s * (window_s + LIFE_S) + 1
    assert rate_per_s * window_s <= sent <= most


# Guards against a clock that is set back, after which turns are used twice,
# or no turn comes until the clock is where it was.
@pytest.mark.parametrize('set_back_s', [0.3, 1.5, 3600.0])
def test_clock_that_is_set_back(set_back_s):
    part = host_parts.HostPart(position=0, weight=1, total_weight=10)
    rate = fleet_rate.FleetRate(rate_per_s=1.0, part=part)
    bucket = fleet_rate.RateBucket('u1', token_life_s=LIFE_S, now_s=0.0)
    sent = 0
    for step in range(4000):
        now_s = step * STEP_S
        time_of_day_s = 1_796_000_000 + now_s
        time_of_day_s -= set_back_s if now_s >= 100 else 0.0
        if bucket.has_token(rate, now_s=now_s, time_of_day_s=time_of_day_s):
            bucket.consume()
            sent += 1
    assert 18 <= sent <= 22


# Guards against an upstream that turns cold and gets, at once, the requests
# of turns from before.
def test_reset_bucket_has_no_token_of_an_earlier_turn():
    part = host_parts.HostPart(position=0, weight=1, total_weight=1)
    rate = fleet_rate.FleetRate(rate_per_s=0.4, part=part)
    bucket = fleet_rate.RateBucket('u1', token_life_s=LIFE_S, now_s=0.0)
    sent = []
    for step in range(200):
        bucket.reset(now_s=step * STEP_S)
        moment_s = 1_796_000_000 + step * STEP_S
        sent.append(bucket.has_token(rate, now_s=0.0, time_of_day_s=moment_s))
    turn_share = LIFE_S / fleet_rate.TURNS_PER_LIFE * 0.4
    assert sum(sent) <= 2 * turn_share * len(sent)
