"""Test who may found a cluster, and when."""

import pytest

from skylarkpitch.consensus import bootstrap
from skylarkpitch.messages import consensus as messages
from skylarkpitch import sentinels

VOTERS = ('a', 'b', 'c')


def _answer(host, *, cluster='', founders=(), voters=VOTERS):
    return messages.IntroductionResponse(
        identity=f'{host}/1',
        cluster=cluster,
        founders=founders,
        voters=voters,
    )


FRESH = {'b': _answer('b'), 'c': _answer('c')}
FOUNDED = ('a/1', 'b/1', 'c/1')


@pytest.mark.parametrize(
    ('identity', 'control_hosts', 'answers', 'expected'),
    [
        ('a/1', 'bc', FRESH, FOUNDED),
        ('a/1', 'bc', {'b': _answer('b')}, 'hosts_missing: c'),
        ('a/1', 'bcd', FRESH, 'hosts_missing: d'),
        (
            'a/1',
            'bcd',
            {**FRESH, 'd': _answer('d', cluster='x')},
            'cluster_exists: d',
        ),
        (
            'a/2',
            'bc',
            {**FRESH, 'c': _answer('c', cluster='x', founders=FOUNDED)},
            'cluster_exists: c',
        ),
        (
            'a/1',
            'bc',
            {**FRESH, 'c': _answer('c', voters=('a', 'c'))},
            'settings_differ: c',
        ),
        ('b/1', 'ac', {'a': _answer('a')}, 'waiting_for_founder: a'),
        (
            'b/1',
            'ac',
            {'a': _answer('a', cluster='x', founders=FOUNDED)},
            FOUNDED,
        ),
        (
            'b/2',
            'ac',
            {'a': _answer('a', cluster='x', founders=FOUNDED)},
            'cluster_exists: a',
        ),
        ('d/1', 'abc', {'a': _answer('a')}, 'waiting_for_founder: a'),
    ],
)
def test_founders(identity, control_hosts, answers, expected):
    found = bootstrap.decide_founders(
        identity=identity,
        voters=VOTERS,
        control_hosts=control_hosts,
        answers=answers,
    )
    if isinstance(found, sentinels.Absent):
        found = str(found)
    assert found == expected
