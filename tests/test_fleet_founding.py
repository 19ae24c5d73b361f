"""How long a group takes from its first start until it acknowledges.

Operators send a configuration as soon as the machines start. Members are
added one at a time, so the time could grow with their number.
"""

import asyncio
import string
import types

import pytest

from skylarkpitch.consensus import silent_voter
from skylarkpitch.consensus import state as consensus_state
from skylarkpitch.daemon import fleet_control
from tests.stand_ins import fleet_cluster
from tests.stand_ins import virtual_time
from tests import test_fleet_state as fleet_fixtures

TIMING = consensus_state.Timing(
    heartbeat_s=0.12, election_min_s=0.5, election_max_s=1.7
)
ONE_WAY_S = 0.02
SYNC_S = 0.002
# Hosts that start together all listen within this time.
START_S = 0.3
# What operators are promised for a change of the configuration.
ACKNOWLEDGED_S = 4.0
# The same if a seed is gone: with the time to recover, 15 s, from the start of
# its successor and its time to catch up, 4 s.
GONE_SEED_S = 4.0 + 15.0 + ACKNOWLEDGED_S


def seconds_until_acknowledged(folder, count):
    names = string.ascii_lowercase[:count]

    async def run():
        cluster = fleet_cluster.FleetCluster(
            folder=folder,
            names=names,
            timing=TIMING,
            message_delay_s=ONE_WAY_S,
            disk_delay_s=SYNC_S,
        )
        started_s = asyncio.get_running_loop().time()
        for name in reversed(names):
            await cluster.start(name)
            await asyncio.sleep(START_S / count)
        await cluster.submit_until_accepted(names[-1], fleet_fixtures.put(1))
        took_s = asyncio.get_running_loop().time() - started_s
        await cluster.stop()
        return took_s

    return virtual_time.run(run())


@pytest.mark.parametrize('count', [5, 6, 9, 18])
def test_a_new_group_acknowledges_in_time(tmp_path, count):
    assert seconds_until_acknowledged(tmp_path, count) < ACKNOWLEDGED_S


# Guards against a group that is never founded since the seed whose address
# sorts first loses its disk while all hosts start for the first time.
@pytest.mark.parametrize('lost', ['a', 'b', 'c'])
@pytest.mark.parametrize('after_s', [0.02, 0.1, 0.2, 0.35, 0.5, 0.8, 1.3, 2.0])
def test_group_is_founded_though_a_seed_loses_its_disk(
    tmp_path, lost, after_s
):
    names = 'abcdef'

    async def run():
        cluster = fleet_cluster.FleetCluster(
            folder=tmp_path,
            names=names,
            timing=TIMING,
            message_delay_s=ONE_WAY_S,
            disk_delay_s=SYNC_S,
        )
        for name in reversed(names):
            await cluster.start(name)
        await asyncio.sleep(after_s)
        await cluster.kill(lost)
        cluster.wipe(lost)
        await asyncio.sleep(0.3)
        await cluster.start(lost, is_first_start=False)
        await cluster.submit_until_accepted(lost, fleet_fixtures.put(1))
        clusters = {log.cluster for log in cluster.logs.values()}
        await cluster.stop()
        return clusters

    assert len(virtual_time.run(run()) - {''}) == 1


# Guards against a group that is never founded since one seed is gone for good
# soon after the first start of all; its successor is empty and no seed.
@pytest.mark.parametrize('lost', ['a', 'b', 'c'])
@pytest.mark.parametrize('after_s', [0.0, 0.2, 0.35, 0.5, 0.8, 1.3])
def test_group_is_founded_though_a_seed_is_gone(lost, after_s):
    names = 'abcdef'

    async def run():
        cluster = fleet_cluster.FleetCluster(
            names=f'{names}g',
            timing=TIMING,
            message_delay_s=ONE_WAY_S,
            disk_delay_s=SYNC_S,
        )
        for name in reversed(names):
            await cluster.start(name)
        await asyncio.sleep(after_s)
        await cluster.kill(lost)
        await asyncio.sleep(1.0)
        await cluster.start('g', is_first_start=False)
        async with asyncio.timeout(GONE_SEED_S):
            await cluster.submit_until_accepted('g', fleet_fixtures.put(1))
        clusters = {log.cluster for log in cluster.logs.values()}
        await cluster.stop()
        return clusters

    assert len(virtual_time.run(run()) - {''}) == 1


# Guards against a second group, and a host that is lost to the first one,
# where a seed is only cut off while the group is founded.
@pytest.mark.parametrize('cut', ['a', 'b', 'c'])
@pytest.mark.parametrize('cut_s', [0.5, 5.0, 9.0, 15.0])
def test_seed_that_was_cut_off_joins_the_group(cut, cut_s):
    names = 'abcdef'

    async def run():
        cluster = fleet_cluster.FleetCluster(
            names=names,
            timing=TIMING,
            message_delay_s=ONE_WAY_S,
            disk_delay_s=SYNC_S,
        )
        for other in set(names) - {cut}:
            cluster.network.cut(cut, other)
        for name in reversed(names):
            await cluster.start(name)
        await asyncio.sleep(cut_s)
        cluster.network.heal()
        await cluster.submit_until_accepted(cut, fleet_fixtures.put(1))
        await cluster.wait_for_voters(len(names))
        clusters = {log.cluster for log in cluster.logs.values()}
        await cluster.stop()
        return clusters

    assert len(virtual_time.run(run())) == 1


# The seeds of the first start, kept in a file, go before those of the settings
# at a restart. Each start: whether it is the first one, and its seeds.
@pytest.mark.parametrize(
    ('starts', 'expected'),
    [
        ([(True, 'abc')], 'abc'),
        ([(False, 'abc')], None),
        ([(True, 'abc'), (False, 'abd')], 'abc'),
        ([(True, 'abc'), (True, 'def')], 'abc'),
    ],
    ids=['first', 'not-first', 'seeds-changed', 'still-marked'],
)
def test_seeds_of_the_first_start_are_kept(tmp_path, starts, expected):
    for is_first_start, seeds in starts:
        settings = types.SimpleNamespace(
            data_folder=tmp_path / 'data', is_first_start=is_first_start
        )
        found = fleet_control._first_seeds(settings, tuple(seeds))
    assert found == (expected and tuple(expected))


def test_file_of_an_earlier_release_names_no_seeds(tmp_path):
    (tmp_path / fleet_control.FIRST_START_NAME).touch()
    settings = types.SimpleNamespace(data_folder=tmp_path, is_first_start=True)
    assert fleet_control._first_seeds(settings, ('a',)) == ('a',)


ROUND_S = 0.25
PATIENCE_S = silent_voter.PATIENCE_S
RETURN_S = silent_voter.RETURN_S


# What the others did, for how long in seconds, and who is given up then.
@pytest.mark.parametrize(
    ('periods', 'expected'),
    [
        ([('bc', '', PATIENCE_S * 2)], ''),
        ([('b', '', PATIENCE_S - 1)], ''),
        ([('b', '', PATIENCE_S + 1)], 'c'),
        ([('b', '', PATIENCE_S - 1), ('bc', '', 1.0), ('b', '', 5.0)], ''),
        ([('b', '', PATIENCE_S + 1), ('bc', '', RETURN_S - 1)], 'c'),
        ([('b', '', PATIENCE_S + 1), ('bc', '', RETURN_S + 1)], ''),
        ([('bc', 'c', ROUND_S)], 'c'),
        ([('bc', 'c', RETURN_S * 2)], 'c'),
        ([('b', '', PATIENCE_S + 1), ('c', '', PATIENCE_S + 1)], 'b'),
        ([('', '', PATIENCE_S + 1)], 'b'),
    ],
)
def test_voter_is_given_up_once_it_was_silent(periods, expected):
    now_s = 100.0
    silent = silent_voter.SilentVoter(voters='bc', now_s=now_s)
    for responded, emptied, lasts_s in periods:
        for _round in range(round(lasts_s / ROUND_S)):
            now_s += ROUND_S
            silent.record_round(responded, emptied=emptied, now_s=now_s)
    assert silent.given_up == expected


# Guards against a host that stood still and takes the others for silent.
def test_time_in_which_this_host_stood_still_does_not_count():
    silent = silent_voter.SilentVoter(voters='bc', now_s=0.0)
    silent.record_round('b', now_s=PATIENCE_S * 3)
    assert silent.given_up == ''
