"""Load of a region that loses all its upstreams, which then return cold.

All of its requests move to the other regions, which have room for them. They
must not return at once: the upstreams have nothing cached and accept a few
requests a second each.
"""

import pytest

from tests.stand_ins import caching_upstream
from tests.stand_ins import load_fleet
from tests.stand_ins import virtual_time

DOMAINS = ('east-a', 'east-b', 'north-a', 'north-b', 'west-a', 'west-b')
LOST_S, BACK_S, END_S = 10.0, 12.0, 22.0

LOOK_UP = caching_upstream.RouteLoad(
    name='look-up',
    keys=40,
    miss_s=0.64,
    warm_s=0.192,
    objective_s=0.5,
    timeout_s=2.0,
    per_s=120.0,
)


def played(seed):
    fleet = load_fleet.LoadFleet(
        services=[
            caching_upstream.ServiceLoad(
                name='stock',
                upstreams=dict.fromkeys(DOMAINS, 5),
                slots=4,
                queue=12,
                cached_keys=22,
                routes=(LOOK_UP,),
            )
        ],
        hosts_by_domain=dict.fromkeys(DOMAINS, 8),
        seed=seed,
        region_one_way_s=0.055,
        cold_rate_per_s=2.0,
        outages=[('west', LOST_S, BACK_S)],
    )
    virtual_time.run(fleet.play(END_S))
    return [r for r in fleet.records if r.region == 'west']


@pytest.mark.parametrize('seed', [1, 2, 3])
def test_callers_of_a_region_that_returns_cold_are_not_refused(seed):
    """The target: what is served when it returns is as before, at least."""
    records = played(seed)
    after = [r for r in records if BACK_S <= r.arrived_s < BACK_S + 5.0]
    refused = sum(r.status == 'refused' for r in after)
    assert refused <= 0.02 * len(after)
