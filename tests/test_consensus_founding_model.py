"""All orders of events while three hosts found a cluster.

The model calls the program's own decision. Any response may come late or
never, and one host loses its disk at any moment.
"""

import collections
import functools
import typing

import pytest

from skylarkpitch.consensus import bootstrap
from skylarkpitch.messages import consensus as messages
from skylarkpitch import sentinels

HOSTS = ('a', 'b', 'c')


class Host(typing.NamedTuple):
    """State of one host.

    ``decided`` are founders that are not on its disk yet. ``heard`` has only
    the hosts that may lose their disks; no other identity changes. ``round``
    holds the responses so far to the introductions that it asked for.
    """

    identity: str
    may_bootstrap: bool = True
    founders: tuple = ()
    decided: tuple = ()
    heard: tuple = ()
    round: tuple = ()


def introduction(host):
    return messages.IntroductionResponse(
        identity=host.identity,
        cluster='/'.join(host.founders),
        founders=host.founders,
        voters=HOSTS,
        may_bootstrap=host.may_bootstrap,
        heard=dict(host.heard),
    )


def name_of(identity):
    return identity[0]


def respond(host, other):
    """Return a host that has received the response of another."""
    snapshot = other._replace(round=(), decided=())
    return host._replace(round=tuple(sorted((*host.round, snapshot))))


@functools.cache
def decide(host, losable):
    """Return a host after the end of its round."""
    introductions = {
        name_of(item.identity): introduction(item) for item in host.round
    }
    founders = bootstrap.decide_founders(
        identity=host.identity,
        voters=HOSTS,
        control_hosts=HOSTS,
        introductions=introductions,
        may_bootstrap=host.may_bootstrap,
    )
    if not sentinels.is_absent(founders):
        return host._replace(round=(), decided=founders)
    heard = dict(host.heard)
    heard.update(
        (name, item.identity)
        for name, item in introductions.items()
        if name in losable
    )
    return host._replace(round=(), heard=tuple(sorted(heard.items())))


def replaced(state, index, host):
    return (*state[:index], host, *state[index + 1 :])


def next_of_host(hosts, index, losable):
    """Yield the states of a host after its next step."""
    host = hosts[index]
    if host.decided:
        yield host._replace(founders=host.decided, decided=())
    if host.decided or host.founders:
        return
    responded = {name_of(item.identity) for item in host.round}
    for other in hosts:
        if name_of(other.identity) not in {HOSTS[index], *responded}:
            yield respond(host, other)
    if host.round:
        yield decide(host, losable)


def successors(state, losable):
    """Yield all states that may follow."""
    hosts, lost = state
    for index, name in enumerate(HOSTS):
        for host in next_of_host(hosts, index, losable):
            yield replaced(hosts, index, host), lost
        if name in losable and not lost:
            emptied = Host(identity=f'{name}/2', may_bootstrap=False)
            yield replaced(hosts, index, emptied), True


def explore(losable):
    """Return all states that can be reached, and their successors."""
    first = (tuple(Host(identity=f'{name}/1') for name in HOSTS), False)
    following = {}
    waiting = collections.deque([first])
    while waiting:
        state = waiting.popleft()
        if state in following:
            continue
        following[state] = set(successors(state, losable))
        waiting.extend(following[state])
    return following


def clusters(state):
    """Count the members of each cluster."""
    return collections.Counter(
        host.founders
        for host in state[0]
        if host.founders and host.identity in host.founders
    )


def states_that_reach(following, is_goal):
    """Return the states from which a goal can be reached."""
    preceding = collections.defaultdict(set)
    for state, successors_of in following.items():
        for successor in successors_of:
            preceding[successor].add(state)
    reached = {state for state in following if is_goal(state)}
    waiting = list(reached)
    while waiting:
        for state in preceding[waiting.pop()] - reached:
            reached.add(state)
            waiting.append(state)
    return reached


# Guards against a group that is never founded, and against two groups, when
# a seed loses its disk at any moment of the first start.
@pytest.mark.parametrize('lost', ['', 'a', 'b', 'c'])
def test_one_group_is_founded_whatever_the_order(lost):
    following = explore(lost)
    assert all(len(clusters(state)) <= 1 for state in following)
    # Every order of events can still end with a quorum of one cluster.
    able = states_that_reach(
        following, lambda state: max(clusters(state).values(), default=0) >= 2
    )
    assert len(able) == len(following)


# Shows that the model finds a second group if a host founds one before the
# others have heard that the first seed has lost its disk.
def test_model_finds_a_second_group_without_the_rule(monkeypatch):
    decide.cache_clear()
    monkeypatch.setattr(
        bootstrap, '_voter_that_has_not_heard', lambda lost, items: None
    )
    following = explore('a')
    decide.cache_clear()
    assert any(len(clusters(state)) > 1 for state in following)
