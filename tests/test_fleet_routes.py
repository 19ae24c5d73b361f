"""Local shares of the routes of one service, in a region that is short."""

import pytest

from skylarkpitch.fleet import route_plan
from skylarkpitch.forwarding import route_loads

SHORT = route_plan.RouteLoad(rate_per_s=20.0, offered_slots=3.0, slack_s=0.2)
LONG = route_plan.RouteLoad(rate_per_s=20.0, offered_slots=15.0, slack_s=0.7)
LOADS = {'short': SHORT, 'long': LONG}


@pytest.mark.parametrize(
    ('local_slots', 'ceilings', 'expected'),
    [
        (18.0, {}, {'short': 1.0, 'long': 1.0}),
        (6.0, {}, {'short': 1.0, 'long': 0.2}),
        (1.5, {}, {'short': 0.5, 'long': 0.0}),
        (0.0, {}, {'short': 0.0, 'long': 0.0}),
        (6.0, {'long': 0.1}, {'short': 1.0, 'long': 0.1}),
        (6.0, {'short': 0.5}, {'short': 0.5, 'long': 0.3}),
    ],
    ids=[
        'enough-for-all',
        'least-slack-first',
        'short-of-slots',
        'none',
        'ceiling',
        'ceiling-leaves-slots-to-others',
    ],
)
def test_local_slots_go_to_the_routes_with_the_least_slack(
    local_slots, ceilings, expected
):
    assert route_plan.divide(local_slots, LOADS, ceilings) == pytest.approx(
        expected
    )


class Plan:
    """A plan that is updated twice a second for each of two hosts."""

    def __init__(self, loads, *, share, fuller=False):
        self._plan = route_plan.RoutePlan()
        self._loads = loads
        self._share = share
        self._fuller = {'desk'} if fuller else set()
        self._now_s = 0.0
        self.shares = {}

    def run(self, duration_s):
        """Return the most that moved in a second, as part of the requests."""
        moved = []
        for _number in range(round(duration_s / 0.25)):
            before = self.shares
            granted = self._plan.update(
                'north',
                service_shares={'desk': self._share},
                loads={'desk': self._loads},
                fuller_services=self._fuller,
                now_s=self._now_s,
            )['desk']
            # A route that is not granted has the share of the service.
            self.shares = {
                name: granted.get(name, self._share) for name in self._loads
            }
            self._now_s += 0.25
            rates = {n: load.rate_per_s for n, load in self._loads.items()}
            moved.append(
                sum(
                    abs(share - before.get(name, share)) * rates[name]
                    for name, share in self.shares.items()
                )
                / sum(rates.values())
            )
        return max(sum(moved[i : i + 4]) for i in range(len(moved)))


@pytest.mark.parametrize('share', [0.0, 0.3, 0.8])
def test_no_more_requests_change_their_region_than_allowed(share):
    plan = Plan(LOADS, share=0.5)
    plan.run(0.25)
    plan._share = share
    moved = plan.run(60.0)
    assert moved <= route_plan.MAX_MOVED_PER_S + route_plan.MIN_DIFFERENCE
    expected = route_plan.divide(share * 18.0, LOADS, {})
    assert plan.shares == pytest.approx(expected)


def with_late(load, *, local, remote, responses=40.0):
    return route_plan.RouteLoad(
        rate_per_s=load.rate_per_s,
        offered_slots=load.offered_slots,
        slack_s=load.slack_s,
        local=route_plan.Timeliness(
            responses=responses, late=local * responses
        ),
        remote=route_plan.Timeliness(
            responses=responses, late=remote * responses
        ),
    )


@pytest.mark.parametrize(
    ('local', 'remote', 'responses', 'fuller', 'falls'),
    [
        (0.5, 0.1, 40.0, True, True),
        (0.5, 0.45, 40.0, True, False),
        (0.1, 0.5, 40.0, True, False),
        (0.5, 0.1, 40.0, False, False),
        (0.5, 0.1, 2.0, True, False),
    ],
    ids=[
        'later-at-home',
        'hardly-later',
        'sooner',
        'others-are-fuller',
        'too-few-to-tell',
    ],
)
def test_route_that_is_later_at_home_leaves(
    local, remote, responses, fuller, falls
):
    late = with_late(LONG, local=local, remote=remote, responses=responses)
    plan = Plan({'short': SHORT, 'long': late}, share=0.9, fuller=fuller)
    plan.run(8.0)
    assert (plan.shares['long'] < 0.6) == falls
    assert plan.shares['short'] > 0.9


def test_late_fractions_are_those_of_all_hosts_together():
    """One host sees too few responses of a route to tell anything."""
    host = with_late(LONG, local=0.5, remote=0.0, responses=1.0)
    assert not host.is_later_at_home()
    total = host
    for _number in range(7):
        total = total.plus(host)
    assert total.is_later_at_home()
    assert total.rate_per_s == pytest.approx(8 * LONG.rate_per_s)
    assert total.slack_s == pytest.approx(LONG.slack_s)


def test_new_leader_starts_from_the_reported_shares():
    plan = route_plan.RoutePlan()
    plan.record_shares('north', {'desk': {'long': 0.7}}, now_s=0.0)
    plan.record_shares('north', {'desk': {'long': 0.1}}, now_s=0.0)
    shares = plan.update(
        'north',
        service_shares={'desk': 0.5},
        loads={'desk': LOADS},
        fuller_services=(),
        now_s=0.0,
    )
    assert shares == {'desk': {'long': 0.7}}


def test_route_without_load_is_forgotten():
    plan = route_plan.RoutePlan()
    plan.record_shares('north', {'desk': {'gone': 0.7}}, now_s=0.0)
    for now_s, routes in ((1.0, {'gone'}), (61.0, set())):
        shares = plan.update(
            'north',
            service_shares={'desk': 0.5},
            loads={},
            fuller_services=(),
            now_s=now_s,
        )
        assert set(shares['desk']) == routes


def test_a_pause_moves_no_more_than_a_second_does():
    plan = route_plan.RoutePlan()
    plan.record_shares('north', {'desk': {'long': 0.0}}, now_s=0.0)
    for now_s in (0.0, 30.0):
        shares = plan.update(
            'north',
            service_shares={'desk': 1.0},
            loads={'desk': {'long': LONG}},
            fuller_services=(),
            now_s=now_s,
        )
    assert shares['desk']['long'] == pytest.approx(route_plan.MAX_MOVED_PER_S)


def test_loads_without_requests_add_up():
    idle = route_plan.RouteLoad(rate_per_s=0.0, offered_slots=0.0, slack_s=0.1)
    assert idle.plus(idle).rate_per_s == 0.0


def test_report_has_the_routes_with_the_highest_loads():
    """Hundreds of routes must not make a report larger than a link."""
    loads = route_loads.RouteLoads()
    for step in range(20):
        for number in range(100):
            name = f'r{number}'
            loads.record_arrival('desk', name, now_s=0.1 * step)
            loads.record_work(
                'desk', name, took_s=0.001 * (1 + number), slack_s=0.5
            )
    reported = loads.by_service(now_s=2.0)['desk']
    most = route_loads.MAX_REPORTED_ROUTES
    assert set(reported) == {f'r{n}' for n in range(100 - most, 100)}
    assert loads.by_service(now_s=2.1 + route_loads.MAX_IDLE_S) == {}
