"""Local shares of regions whose upstreams do not match their callers."""

import collections

import pytest

from skylarkpitch.fleet import region_plan
from skylarkpitch.forwarding import regions
from skylarkpitch.peers import rendezvous

EVEN = {'east': 30.0, 'west': 30.0}
UNEVEN = {'east': 72.0, 'north': 18.0, 'west': 72.0}


@pytest.mark.parametrize(
    ('slots', 'region', 'expected'),
    [
        (EVEN, 'east', 1.0),
        ({'east': 10.0, 'west': 70.0}, 'east', 0.375),
        (UNEVEN, 'north', 0.5),
        ({'west': 10.0}, 'east', 0.0),
        ({}, 'east', 1.0),
    ],
)
def test_initial_share_follows_the_slots(slots, region, expected):
    share = region_plan.initial_local_share(region, slots=slots)
    assert share == pytest.approx(expected)


@pytest.mark.parametrize(
    ('offered', 'slots', 'expected'),
    [
        ({'east': 10.0, 'west': 10.0}, EVEN, 1.0),
        ({'east': 45.0, 'west': 5.0}, EVEN, 0.8333 * 30 / 45),
        ({'east': 60.0, 'west': 60.0}, EVEN, 1.0),
        ({'east': 90.0, 'west': 30.0}, EVEN, 2.0 * 30 / 90),
        ({'east': 0.1, 'west': 30.0}, EVEN, None),
        ({'east': 5.0}, {'west': 30.0}, 0.0),
        ({'east': 5.0}, {'east': 30.0}, 1.0),
    ],
    ids=[
        'enough-capacity',
        'one-is-full',
        'equal-overload',
        'unequal-overload',
        'too-little-load',
        'no-local-upstream',
        'no-remote-upstream',
    ],
)
def test_load_above_the_target_utilisation_is_sent_elsewhere(
    offered, slots, expected
):
    share = region_plan.target_local_share(
        'east', offered_slots=offered, slots=slots
    )
    assert share == pytest.approx(expected, abs=1e-3)


def report(plan, host, *, share, offered, now_s, region='north'):
    plan.record_report(
        host,
        region=region,
        offered_slots={'desk': offered},
        own_shares={'desk': share},
        now_s=now_s,
    )


def shares(plan, now_s, slots=UNEVEN):
    return plan.local_shares('north', slots={'desk': slots}, now_s=now_s)


def test_initial_share_is_computed_anew_until_load_is_reported():
    plan = region_plan.RegionPlan()
    report(plan, 'e1', share=1.0, offered=0.0, now_s=0.0)
    assert shares(plan, 0.1, {'east': 9.0}) == {'desk': 0.0}
    assert shares(plan, 0.2, UNEVEN) == {'desk': 0.5}


def test_share_changes_slowly_and_equally_for_all_hosts():
    plan = region_plan.RegionPlan()
    for host in ('e1', 'e2'):
        report(plan, host, share=1.0, offered=18.0, now_s=0.0)
    before = 1.0
    for step in range(1, 41):
        now_s = step * 0.25
        for host in ('e1', 'e2'):
            report(plan, host, share=0.0, offered=18.0, now_s=now_s)
        (share,) = shares(plan, now_s).values()
        assert (
            before - share <= region_plan.MAX_SHARE_CHANGE_PER_S * 0.25 + 1e-9
        )
        before = share
    assert before == pytest.approx(
        1.0 - region_plan.MAX_SHARE_CHANGE_PER_S * 10.0
    )


def test_new_leader_starts_from_the_reported_shares():
    plan = region_plan.RegionPlan()
    report(plan, 'e1', share=1.0, offered=18.0, now_s=0.0)
    plan.reset()
    report(plan, 'e1', share=0.6, offered=9.0, now_s=1.0)
    assert shares(plan, 1.0) == {'desk': 0.6}


def test_reports_of_expired_hosts_are_discarded():
    plan = region_plan.RegionPlan()
    report(plan, 'expired', share=0.5, offered=100.0, now_s=0.0)
    report(plan, 'e1', share=0.5, offered=9.0, now_s=3.0)
    assert shares(plan, 5.0)['desk'] > 0.5


def test_spills_are_limited_to_the_spill_share():
    """Requests that leave a full region count against the cap on shifts."""
    region_shares = regions.RegionShares(step_per_s=0.06, now_s=0.0)
    spilled = 0
    for _number in range(1000):
        region_shares.refill_spill_tokens()
        spilled += region_shares.consume_spill_token()
    assert spilled == pytest.approx(1000 * regions.SPILL_SHARE, abs=1)


def test_unused_spill_tokens_do_not_accumulate():
    region_shares = regions.RegionShares(step_per_s=0.06, now_s=0.0)
    for _number in range(1000):
        region_shares.refill_spill_tokens()
    assert [region_shares.consume_spill_token() for _number in range(3)] == [
        True,
        False,
        False,
    ]


def test_affinity_keys_are_distributed_over_regions_by_slots():
    weights = {'east': 60.0, 'west': 20.0, 'lost': 0.0}
    counts = collections.Counter(
        rendezvous.first_by_weight(f'r {number}', weights)
        for number in range(2000)
    )
    assert counts['east'] / 2000 == pytest.approx(0.75, abs=0.04)
    assert counts['lost'] == 0
    assert rendezvous.first_by_weight('r', {}) is None
