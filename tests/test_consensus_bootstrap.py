"""Test which host bootstraps a cluster, and when."""

import pytest

from skylarkpitch.consensus import bootstrap
from skylarkpitch.messages import consensus as messages
from skylarkpitch import sentinels

VOTERS = ('a', 'b', 'c')


def _introduction(host, *, cluster='', founders=(), voters=VOTERS):
    return messages.IntroductionResponse(
        identity=f'{host}/1',
        cluster=cluster,
        founders=founders,
        voters=voters,
    )


UNJOINED = {'b': _introduction('b'), 'c': _introduction('c')}
FOUNDERS = ('a/1', 'b/1', 'c/1')


@pytest.mark.parametrize(
    ('identity', 'control_hosts', 'introductions', 'expected'),
    [
        ('a/1', 'bc', UNJOINED, FOUNDERS),
        ('a/1', 'bc', {'b': _introduction('b')}, 'hosts_missing: c'),
        ('a/1', 'bcd', UNJOINED, 'hosts_missing: d'),
        (
            'a/1',
            'bcd',
            {**UNJOINED, 'd': _introduction('d', cluster='x')},
            'cluster_exists: d',
        ),
        (
            'a/2',
            'bc',
            {
                **UNJOINED,
                'c': _introduction('c', cluster='x', founders=FOUNDERS),
            },
            'cluster_exists: c',
        ),
        (
            'a/1',
            'bc',
            {**UNJOINED, 'c': _introduction('c', voters=('a', 'c'))},
            'settings_differ: c',
        ),
        ('b/1', 'ac', {'a': _introduction('a')}, 'waiting_for_founder: a'),
        (
            'b/1',
            'ac',
            {'a': _introduction('a', cluster='x', founders=FOUNDERS)},
            FOUNDERS,
        ),
        (
            'b/2',
            'ac',
            {'a': _introduction('a', cluster='x', founders=FOUNDERS)},
            'cluster_exists: a',
        ),
        ('d/1', 'abc', {'a': _introduction('a')}, 'waiting_for_founder: a'),
    ],
)
def test_founders(identity, control_hosts, introductions, expected):
    founders = bootstrap.decide_founders(
        identity=identity,
        voters=VOTERS,
        control_hosts=control_hosts,
        introductions=introductions,
    )
    if isinstance(founders, sentinels.Absent):
        founders = str(founders)
    assert founders == expected
