"""Tests of the rates of organisations over many entry hosts.

The load is that of a deployment whose entry hosts are many and whose
organisations send little: each host receives a request of an organisation
every few seconds.
"""

import heapq
import random
import sys

import pytest

from skylarkpitch.fleet import model
from skylarkpitch.fleet import rate_shares
from skylarkpitch.forwarding import callers

HOSTS = 89
ORGANISATIONS = 87
REPORT_INTERVAL_S = 0.5
ONE_WAY_S = 0.025
WINDOW_S = 5.0
EXCESS_RATIO = 0.1
SLACK = 20.0
TOLERANCE = callers.RateTolerance(
    excess_ratio=EXCESS_RATIO, slack=SLACK, window_s=WINDOW_S
)


class Leader:
    """Answer the reports of entry hosts, as the control service does."""

    def __init__(self, organisations):
        self.shares = rate_shares.RateShares()
        self.limits = {
            item.name: rate_shares.Limit(
                rate_per_s=item.rate_per_s, burst=item.burst
            )
            for item in organisations
        }
        self.hosts = set()

    def answer(self, host, limits, *, now_s):
        self.hosts.add(host)
        return self.shares.grant(
            host,
            usage=limits.usage(now_s=now_s),
            limits=self.limits,
            host_count=len(self.hosts),
            now_s=now_s,
        )


class Fleet:
    """Entry hosts that report to a leader, on a simulated clock.

    The leader does not answer within ``silent``, a pair of moments. Where
    each request was passed or refused is in ``passed`` and ``refused``, by
    organisation.
    """

    def __init__(self, organisations, *, hosts, seed, silent=(0.0, 0.0)):
        self.organisations = {item.name: item for item in organisations}
        self.leader = Leader(organisations)
        self.rng = random.Random(seed)
        self.hosts = [
            callers.RateLimits(
                tolerance=TOLERANCE, rng=random.Random(f'{seed} {number}')
            )
            for number in range(hosts)
        ]
        self.silent = silent
        self.passed = {name: [] for name in self.organisations}
        self.refused = {name: [] for name in self.organisations}

    def run(self, arrivals, *, seconds):
        """Play ``arrivals``, pairs of a moment and an organisation."""
        events = [(now_s, 2, name) for now_s, name in arrivals]
        for number in range(len(self.hosts)):
            phase_s = self.rng.uniform(-2.0, -1.5)
            events.append((phase_s, 0, number))
        heapq.heapify(events)
        grants = {}
        while events and events[0][0] < seconds:
            now_s, kind, item = heapq.heappop(events)
            if kind == 0:
                heapq.heappush(events, (now_s + REPORT_INTERVAL_S, 0, item))
                if self.silent[0] <= now_s < self.silent[1]:
                    continue
                grants[item] = self.leader.answer(
                    str(item), self.hosts[item], now_s=now_s
                )
                heapq.heappush(events, (now_s + 2 * ONE_WAY_S, 1, item))
            elif kind == 1:
                grant = grants[item]
                self.hosts[item].apply_grant(
                    grant.rate_per_s, grant.admitted_shares, now_s=now_s
                )
            else:
                self._request(item, now_s)

    def _request(self, name, now_s):
        waits_s = self.rng.choice(self.hosts).spend(
            self.organisations[name], entry_hosts=len(self.hosts), now_s=now_s
        )
        (self.refused if waits_s > 0 else self.passed)[name].append(now_s)


def organisations_of(rng, *, rate_factor=1.6, count=ORGANISATIONS):
    """Return organisations and what each sends a second."""
    sends = [rng.paretovariate(1.1) for _number in range(count)]
    scale = 1000.0 / sum(sends)
    found = {}
    for number, weight in enumerate(sends):
        rate_per_s = max(1.0, round(weight * scale * rate_factor))
        item = model.Organisation(
            name=f'o{number}',
            api_keys=(f'k{number}',),
            rate_per_s=rate_per_s,
            burst=rate_per_s,
        )
        found[item] = rate_per_s / rate_factor
    return found


def poisson(rng, per_s, start_s, end_s):
    now_s = start_s
    while (now_s := now_s + rng.expovariate(per_s)) < end_s:
        yield now_s


def busiest_window(moments):
    """Return the largest number of moments within ``WINDOW_S``."""
    largest = first = 0
    for last, now_s in enumerate(moments):
        while moments[first] <= now_s - WINDOW_S:
            first += 1
        largest = max(largest, last - first + 1)
    return largest


def bound_of(item):
    requests = item.rate_per_s * WINDOW_S + item.burst
    return requests * (1 + EXCESS_RATIO) + SLACK


# Guards against refusals below the rate where the part of a rate that falls
# to one entry host is less than one request.
@pytest.mark.parametrize('hosts', [10, HOSTS, 300])
def test_requests_below_the_rate_pass_on_any_number_of_hosts(hosts):
    rng = random.Random(hosts)
    organisations = organisations_of(rng)
    fleet = Fleet(organisations, hosts=hosts, seed=hosts)
    fleet.run(
        (
            (now_s, item.name)
            for item, per_s in organisations.items()
            for now_s in poisson(rng, per_s, 0.0, 20.0)
        ),
        seconds=20.0,
    )
    passed = sum(map(len, fleet.passed.values()))
    refused = sum(map(len, fleet.refused.values()))
    assert refused / (passed + refused) < 0.02


# Guards against a rate that is exceeded because many hosts each pass a few
# requests beyond their share of it.
@pytest.mark.parametrize('hosts', [10, HOSTS])
@pytest.mark.parametrize('rate_per_s', [3.0, 12.0, 60.0])
@pytest.mark.parametrize('factor', [2.0, 7.5])
@pytest.mark.parametrize('seed', [1, 2])
@pytest.mark.parametrize(
    'silent',
    [(0.0, 0.0), (6.0, 10.0), (5.3, 8.0)],
    ids=['leader', 'leader-lost', 'leader-lost-early'],
)
def test_organisation_over_its_rate_is_held_to_it(
    hosts, rate_per_s, factor, seed, silent
):
    rng = random.Random(seed)
    item = model.Organisation(
        name='o', api_keys=('k',), rate_per_s=rate_per_s, burst=rate_per_s
    )
    fleet = Fleet([item], hosts=hosts, seed=seed, silent=silent)
    usual_per_s = rate_per_s / 1.6
    moments = [
        *poisson(rng, usual_per_s, 0.0, 5.0),
        *poisson(rng, usual_per_s * factor, 5.0, 20.0),
    ]
    fleet.run(((now_s, 'o') for now_s in moments), seconds=20.0)
    assert busiest_window(fleet.passed['o']) <= bound_of(item)
    if silent == (0.0, 0.0):
        late = [now_s for now_s in fleet.passed['o'] if now_s > 10.0]
        assert (
            len(late)
            > 0.85 * 10.0 * min(rate_per_s, usual_per_s * factor) - 10
        )


def opcodes_of(call):
    """Return how many instructions of this project a call executes."""
    count = 0

    def trace(frame, event, _argument):
        nonlocal count
        frame.f_trace_opcodes = True
        count += event == 'opcode'
        return trace

    sys.settrace(trace)
    try:
        call()
    finally:
        sys.settrace(None)
    return count


# Guards against an overloaded leader: every report cost it a loop over all
# entry hosts for each organisation.
def test_cost_of_a_grant_does_not_grow_with_the_hosts():
    costs = {}
    for hosts in (10, 400):
        rng = random.Random(1)
        organisations = list(organisations_of(rng, count=20))
        leader = Leader(organisations)
        reporting = [
            callers.RateLimits(tolerance=TOLERANCE) for _n in range(hosts)
        ]
        for number, limits in enumerate(reporting):
            for item in organisations:
                limits.spend(item, entry_hosts=hosts, now_s=0.0)
            leader.answer(str(number), limits, now_s=0.5)
        usage = reporting[0].usage(now_s=0.6)
        costs[hosts] = opcodes_of(
            lambda leader=leader, usage=usage, hosts=hosts: (
                leader.shares.grant(
                    '0',
                    usage=usage,
                    limits=leader.limits,
                    host_count=hosts,
                    now_s=0.6,
                )
            )
        )
    assert costs[400] < 1.5 * costs[10]
