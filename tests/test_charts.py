"""Tests of the state charts and of the selection of ledger members."""

import pytest

from skylarkpitch import charts
from skylarkpitch.daemon import ledger_members
from skylarkpitch.peers import directory
from tests.stand_ins import fake_peers


@pytest.mark.parametrize(
    'name, events, state',
    [
        ('entry_host', [], 'waiting_for_state'),
        ('entry_host', ['state_confirmed'], 'serving'),
        ('entry_host', ['lookups_expired'], 'waiting_for_state'),
        ('entry_host', ['state_confirmed', 'stop'], 'leaving'),
        (
            'entry_host',
            ['state_confirmed', 'stop', 'lookups_expired', 'idle'],
            'stopped',
        ),
        ('entry_host', ['stop', 'state_confirmed'], 'stopped'),
        ('operation', ['claim', 'send', 'release'], 'sent'),
        ('operation', ['claim', 'send', 'lose', 'answer'], 'unknown'),
        ('operation', ['claim', 'release', 'send'], 'not_run'),
        ('upstream', ['leave', 'warmed'], 'leaving'),
    ],
)
def test_events_lead_to_the_state(name, events, state):
    chart = charts.Chart(name=name)
    for event in events:
        chart.send(event)
    assert chart.state == state


@pytest.mark.parametrize(
    'hosts_per_region, members, local_members',
    [(1, 3, 1), (2, 3, 2), (3, 3, 3), (4, 5, 4), (5, 5, 5), (200, 5, 5)],
)
def test_ledger_members_are_odd_and_mostly_of_the_region(
    hosts_per_region, members, local_members
):
    hosts = [
        fake_peers.host(f'{region}-{number}', region=region)
        for region in ('r1', 'r2', 'r3')
        for number in range(hosts_per_region)
    ]
    host_directory = directory.Directory(local_host='r1-0', hosts=hosts)
    selected = ledger_members.members_of_region(host_directory, 'r1')
    assert len(set(selected)) == members
    assert sum(name.startswith('r1') for name in selected) == local_members
