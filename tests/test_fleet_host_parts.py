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
