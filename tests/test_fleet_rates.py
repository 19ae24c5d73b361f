"""Tests of the rates of organisations over many entry hosts."""

import sys

from skylarkpitch.fleet import rate_shares


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
    names = [f'o{number}' for number in range(20)]
    limits = {
        name: rate_shares.Limit(rate_per_s=10.0, burst=10.0) for name in names
    }
    usage = rate_shares.Usage(demand_per_s=dict.fromkeys(names, 0.3))
    for hosts in (10, 400):
        shares = rate_shares.RateShares()

        def grant(host, now_s, shares=shares, hosts=hosts):
            return shares.grant(
                host,
                usage=usage,
                limits=limits,
                host_count=hosts,
                now_s=now_s,
            )

        for number in range(hosts):
            grant(str(number), 0.1)
        costs[hosts] = opcodes_of(lambda grant=grant: grant('0', 0.2))
    assert costs[400] < 1.5 * costs[10]
