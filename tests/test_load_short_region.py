"""Load of a region that is short of upstreams, on many entry hosts.

One region has a sixth of the upstreams and a third of the callers. A service
there has a route that cannot afford the way to another region, and one whose
work is five times as long; together they ask for more keys than the region's
upstreams can cache.
"""

import pytest

from tests.stand_ins import caching_upstream
from tests.stand_ins import load_fleet
from tests.stand_ins import virtual_time

HOSTS_BY_DOMAIN = {
    'east-a': 8,
    'north-a': 8,
    'west-a': 8,
    'east-b': 8,
    'north-b': 8,
    'west-b': 8,
}
# The first requests for each key find it cached nowhere.
WARM_UP_S = 6.0
DURATION_S = 30.0


def upstreams(east, north, west):
    counts = {'east': east, 'north': north, 'west': west}
    return {
        domain: counts[load_fleet.region_of(domain)]
        for domain in HOSTS_BY_DOMAIN
    }


PICKUP = caching_upstream.RouteLoad(
    name='pickup',
    keys=30,
    miss_s=0.44,
    warm_s=0.132,
    objective_s=0.4,
    timeout_s=1.5,
    per_s=40.0,
)
SHEET = caching_upstream.RouteLoad(
    name='sheet',
    keys=28,
    miss_s=2.56,
    warm_s=0.768,
    objective_s=1.5,
    timeout_s=6.0,
    per_s=34.0,
)


def played(seed):
    fleet = load_fleet.LoadFleet(
        services=[
            caching_upstream.ServiceLoad(
                name='dispatch',
                upstreams=upstreams(9, 2, 8),
                slots=4,
                queue=12,
                cached_keys=10,
                routes=(PICKUP, SHEET),
            )
        ],
        hosts_by_domain=HOSTS_BY_DOMAIN,
        seed=seed,
        region_one_way_s=0.055,
    )
    virtual_time.run(fleet.play(DURATION_S))
    return [r for r in fleet.records if r.arrived_s >= WARM_UP_S]


def in_time(records):
    return sum(record.in_time for record in records) / len(records)


@pytest.mark.parametrize('seed', [1, 2, 3, 4, 5, 6])
def test_callers_of_a_short_region_are_served_like_the_others(seed):
    """The target: the worst region is within a tenth of the mean."""
    records = played(seed)
    for route in ('pickup', 'sheet'):
        of_route = [r for r in records if r.route == route]
        short = [r for r in of_route if r.region == 'north']
        assert in_time(short) >= 0.9 * in_time(of_route)
