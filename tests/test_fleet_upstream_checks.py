"""Reports of upstreams that other hosts could not store or use."""

import asyncio

import pytest

from skylarkpitch import errors
from skylarkpitch.fleet import control_requests
from skylarkpitch.fleet import upstream_checks
from tests.stand_ins import fleet_cluster
from tests.test_fleet_state import upstream

ODD_FIELDS = [
    {'name': '..'},
    {'name': ''},
    {'name': 'u' * 129},
    {'name': 'a\nb'},
    {'service': 's' * 100_000},
    {'service': ' '},
    {'failure_domain': '\x00'},
    {'release': 'r' * 200},
    {'address': '10.0.0.1:99999'},
    {'address': '10.0.0.1:0'},
    {'address': '10.0.0.1:'},
    {'address': '10.0.0.1:' + '9' * 5000},
    {'address': '10.0.0.999:80'},
    {'address': 'desk:80'},
    {'born_ms': 2**64},
    {'born_ms': -1},
    {'sequence': 10**30},
    {'slots': 10**9},
    {'cold_left_ms': float('inf')},
    {'cold_left_ms': float('nan')},
    {'cold_left_ms': -1.0},
    {'cold_left_ms': 1e300},
]


@pytest.mark.parametrize('fields', ODD_FIELDS)
def test_report_with_a_value_out_of_bounds_is_invalid(fields):
    with pytest.raises(errors.ValidationError):
        upstream_checks.check_upstream(upstream(**fields))


def test_usual_report_is_valid():
    upstream_checks.check_upstream(upstream(release='v1', cold_left_ms=3e3))
    upstream_checks.check_departure('u1', None)


@pytest.mark.parametrize('born_ms', [-1, 2**64])
def test_departure_with_a_value_out_of_bounds_is_invalid(born_ms):
    with pytest.raises(errors.ValidationError):
        upstream_checks.check_departure('u1', born_ms)


# Guards against one odd report after which no host follows the others, or
# that is answered with an exception.
def test_odd_reports_are_refused_and_the_others_hold(tmp_path):
    async def check():
        cluster = fleet_cluster.FleetCluster(folder=tmp_path)
        await cluster.start('abc')
        await cluster.submit_until_accepted(
            'a', control_requests.Heartbeat(upstream=upstream('u1'))
        )
        for name in 'abc':
            control = cluster.control_services[name]
            for fields in ODD_FIELDS:
                outcome = await control.execute(
                    control_requests.Heartbeat(
                        upstream=upstream(**{'name': 'odd', **fields})
                    )
                )
                assert outcome.outcome == 'refused'
        await cluster.submit_until_accepted(
            'b',
            control_requests.Heartbeat(upstream=upstream('u1', born_ms=200)),
        )
        newer = {'u1': 200}
        await cluster.wait_until(
            lambda: all(
                {name: item.born_ms for name, item in state.upstreams.items()}
                == newer
                for state in cluster.states.values()
            )
        )
        await cluster.stop()

    asyncio.run(check())
