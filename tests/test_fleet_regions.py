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
        ({'east': 10.0, 'west': 70.0}, 'east', 0.25),
        (UNEVEN, 'north', 1 / 3),
        ({'west': 10.0}, 'east', 0.0),
        ({}, 'east', 1.0),
    ],
)
def test_initial_share_follows_the_slots(slots, region, expected):
    share = region_plan.initial_local_share(region, slots=slots)
    assert share == pytest.approx(expected)


# Guards against a short region that fills up in its first second and then
# serves next to nothing: most of its requests then change their region at
# once (SHIFT). Every caller asks for something that is not cached yet.
@pytest.mark.parametrize('slots', [EVEN, UNEVEN, {'east': 4.0, 'west': 44.0}])
def test_first_share_loads_no_region_more_than_the_others(slots):
    shares_of = {
        region: region_plan.initial_local_share(region, slots=slots)
        for region in slots
    }
    moved = sum(1 - share for share in shares_of.values())
    spare = {
        region: max(0.0, number * len(slots) / sum(slots.values()) - 1)
        for region, number in slots.items()
    }
    for region, number in slots.items():
        part = (
            spare[region] / sum(spare.values()) if any(spare.values()) else 0
        )
        load = shares_of[region] + moved * part
        assert load / number == pytest.approx(len(slots) / sum(slots.values()))


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
    assert shares(plan, 0.2, UNEVEN) == {'desk': pytest.approx(1 / 3)}


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
    tokens = regions.SpillTokens()
    spilled = 0
    for _number in range(1000):
        tokens.refill()
        spilled += tokens.consume()
    assert spilled == pytest.approx(1000 * regions.SPILL_SHARE, abs=1)


def test_unused_spill_tokens_do_not_accumulate():
    tokens = regions.SpillTokens()
    for _number in range(1000):
        tokens.refill()
    assert [tokens.consume() for _number in range(3)] == [
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


# A region with a ninth of the upstreams and a third of the callers, whose
# upstreams cache what CACHED_SHARE of the callers ask for. Others than these
# take as long as a miss; responses from other regions take REMOTE_TIME.
CACHED_SHARE = 0.4
WARM_TIME, MISS_TIME, REMOTE_TIME = 0.3, 1.1, 0.5


def local_time(share):
    missed = max(0.0, share - CACHED_SHARE) / max(share, 0.01)
    return WARM_TIME + missed * (MISS_TIME - WARM_TIME)


def planned_share(*, offered, times_of, duration_s):
    plan = region_plan.RegionPlan()
    share = 0.9
    for step in range(int(duration_s * 2)):
        now_s = step * 0.5
        plan.record_report(
            'e1',
            region='north',
            offered_slots={'desk': offered},
            own_shares={'desk': share},
            relative_times={'desk': times_of(share)},
            now_s=now_s,
        )
        report(plan, 'e2', region='east', share=1.0, offered=20.0, now_s=now_s)
        (share,) = shares(plan, now_s).values()
    return share


# Guards against a region that keeps requests which it serves later than the
# others would, since its upstreams cannot cache what they are about.
@pytest.mark.parametrize(
    ('offered', 'times_of', 'lowest', 'highest'),
    [
        (15.0, lambda share: (local_time(share), REMOTE_TIME), 0.4, 0.62),
        (15.0, lambda share: (WARM_TIME, REMOTE_TIME), 0.9, 0.9),
        (15.0, lambda share: (MISS_TIME, MISS_TIME), 0.9, 0.9),
        (2.0, lambda share: (MISS_TIME, REMOTE_TIME), 1.0, 1.0),
        (15.0, lambda share: (5.0, REMOTE_TIME), 0.1, 0.15),
    ],
    ids=[
        'caches-too-little',
        'sooner-than-others',
        'others-are-as-late',
        'late-but-not-fuller',
        'late-whatever-its-share',
    ],
)
def test_full_region_keeps_what_it_serves_in_time(
    offered, times_of, lowest, highest
):
    share = planned_share(offered=offered, times_of=times_of, duration_s=60)
    assert lowest - 1e-9 <= share <= highest + 1e-9


def test_ceiling_is_lifted_once_the_region_is_in_time_again():
    late_until_s = 20.0
    calls = iter(range(10**6))

    def times_of(share):
        late = next(calls) * 0.5 < late_until_s
        return (5.0 if late else WARM_TIME, REMOTE_TIME)

    share = planned_share(offered=15.0, times_of=times_of, duration_s=60)
    assert share == pytest.approx(0.9)


@pytest.mark.parametrize('hosts', [60, 2000])
def test_a_share_costs_the_same_on_any_number_of_hosts(hosts):
    plan = region_plan.RegionPlan()
    for number in range(hosts):
        report(plan, f'e{number}', share=0.5, offered=0.1, now_s=0.0)
    shares(plan, 0.0)
    visited = []
    plan._reports = CountingReports(plan._reports, visited)
    for number in range(hosts):
        shares(plan, 0.2 * number / hosts)
    assert not visited


class CountingReports(dict):
    """Reports that record when all of them are gone through."""

    def __init__(self, reports, visited):
        super().__init__(reports)
        self._visited = visited

    def items(self):
        self._visited.append(len(self))
        return super().items()

    def values(self):
        self._visited.append(len(self))
        return super().values()


# Guards against callers that are refused while other regions have room: all
# upstreams of a region are lost and return cold, and all requests return to
# them at once.
def test_share_of_a_region_that_was_lost_grows_from_nothing():
    plan = region_plan.RegionPlan()
    lost = {'east': 72.0, 'west': 72.0}
    before = 0.0
    for step in range(80):
        now_s = step * 0.25
        slots = lost if 4.0 <= now_s < 6.0 else UNEVEN
        report(plan, 'e1', share=1.0, offered=9.0, now_s=now_s)
        (share,) = shares(plan, now_s, slots).values()
        if slots is lost:
            assert share == 0.0
        elif now_s >= 6.0:
            step_share = region_plan.MAX_SHARE_CHANGE_PER_S * 0.25
            assert share <= before + step_share + 1e-9
        before = share
    assert before > 0.5


@pytest.mark.parametrize(
    ('left', 'at_once'),
    [(9.0, True), (15.0, True), (17.0, False)],
    ids=['half', 'a-sixth', 'less-than-a-tenth'],
)
def test_what_no_longer_fits_leaves_at_once(left, at_once):
    plan = region_plan.RegionPlan()
    for step in range(80):
        report(plan, 'e1', share=1.0, offered=18.0, now_s=0.25 * step)
        (before,) = shares(plan, 0.25 * step).values()
    assert before == pytest.approx(0.75)
    report(plan, 'e1', share=before, offered=18.0, now_s=20.0)
    (after,) = shares(plan, 20.0, {**UNEVEN, 'north': left}).values()
    expected = 0.75 * left / 18.0 if at_once else before - 0.05 * 0.25
    assert after == pytest.approx(expected)
