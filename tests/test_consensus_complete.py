"""Test when a member knows that it has all that was committed."""

import dataclasses

import pytest

from skylarkpitch.consensus import state as states
from skylarkpitch.messages import consensus as messages
from tests.stand_ins import simulated_log
from tests import test_consensus_core as core_fixtures

NOW_S = 5.0
SENT_S = 4.9
SETTLE_S = 1.0
ATTEMPTS = 20


def _append(term, **fields):
    return core_fixtures._append_request(term, **fields)


def _echoed(core, request, *, sent_s=None, process=None, echoes=True):
    """Return a request that echoes a stamp, by default of this process."""
    stamp = None
    if sent_s is not None:
        stamp = messages.Stamp(
            process=core.state.process if process is None else process,
            sent_s=sent_s,
        )
    return dataclasses.replace(request, echo=stamp, echoes=echoes)


def _entries(*terms, first=2):
    return [
        core_fixtures._entry(index, term)
        for index, term in enumerate(terms, start=first)
    ]


# Guards against a host whose state is served as current: it hears the leader
# and lacks what the leader has committed.
@pytest.mark.parametrize(
    ('requests', 'expected_s'),
    [
        ([], states.NEVER_S),
        ([_append(2, entries=_entries(2), commit_index=1)], states.NEVER_S),
        ([_append(2, entries=_entries(2), commit_index=2)], SENT_S),
        ([_append(2, entries=_entries(2, 2), commit_index=2)], SENT_S),
        (
            [_append(2, entries=_entries(2), commit_index=3)],
            states.NEVER_S,
        ),
        (
            [_append(2, previous=(2, 3), commit_index=3)],
            states.NEVER_S,
        ),
        (
            [
                _append(2, entries=_entries(2), commit_index=3),
                _append(
                    2,
                    previous=(2, 2),
                    entries=_entries(2, first=3),
                    commit_index=3,
                ),
            ],
            SENT_S,
        ),
        ([_append(1, entries=_entries(2), commit_index=2)], states.NEVER_S),
    ],
    ids=[
        'no-leader',
        'nothing-of-its-term-committed',
        'complete',
        'more-entries-than-committed',
        'entries-missing',
        'gap',
        'gap-closed',
        'earlier-term',
    ],
)
def test_follower_is_complete_with_what_the_leader_committed(
    requests, expected_s
):
    core = core_fixtures._core(term=2)
    for request in requests:
        core.receive(_echoed(core, request, sent_s=SENT_S), now_s=NOW_S)
    assert core.complete_s(now_s=NOW_S) == expected_s


# Guards against a host whose state is served as current: what it hears of
# the leader has waited for seconds behind entries that it processes.
@pytest.mark.parametrize(
    ('echoes', 'expected_s'),
    [
        ([{}], states.NEVER_S),
        ([{'echoes': False}], NOW_S),
        ([{'sent_s': 1.0}], 1.0),
        ([{'sent_s': 2.0}, {'sent_s': 1.0}], 2.0),
        ([{'sent_s': 1.0, 'process': 7}], states.NEVER_S),
    ],
    ids=[
        'no-echo',
        'earlier-release',
        'message-waited',
        'earlier-echo',
        'earlier-process',
    ],
)
def test_follower_is_complete_as_of_the_stamp_that_the_leader_echoes(
    echoes, expected_s
):
    core = core_fixtures._core(term=2)
    request = _append(2, entries=_entries(2), commit_index=2)
    for echo in echoes:
        core.receive(_echoed(core, request, **echo), now_s=NOW_S)
    assert core.complete_s(now_s=NOW_S) == expected_s


def _ages_s(simulation):
    return {
        name: member.clock() - member.engine.complete_s
        for name, member in simulation.members.items()
    }


@pytest.mark.parametrize(
    ('isolated', 'lost', 'old'),
    [
        ((), (), set()),
        (('c',), (), {'c'}),
        (('b', 'c'), (), {'a', 'b', 'c'}),
        ((), ('b',), {'b'}),
    ],
    ids=['all', 'minority', 'no-quorum', 'entries-lost'],
)
def test_state_ages_where_commits_do_not_arrive(isolated, lost, old):
    simulation = simulated_log.Simulation(seed=3, voters='abc')
    simulation.start()
    _lead(simulation, 'a')
    simulation.commit('one')
    simulation.run(SETTLE_S)
    assert max(_ages_s(simulation).values()) < SETTLE_S
    _lose_entries(simulation, lost)
    for name in isolated:
        simulation.isolate(name)
    simulation.submit(simulation.members['a'], 'two')
    simulation.run(2 * SETTLE_S)
    ages_s = _ages_s(simulation)
    assert {name for name, age_s in ages_s.items() if age_s > SETTLE_S} == old


def _lead(simulation, name):
    """Pass the leadership on until a member has it."""
    for _attempt in range(ATTEMPTS):
        leader = simulation.wait_for_leader()
        if leader.name == name:
            return
        core = leader.engine.core
        leader.step(lambda now_s, core=core: core.transfer_leadership())
        simulation.run(SETTLE_S)
    raise AssertionError(f'{name} has not become the leader')


def _lose_entries(simulation, names):
    """Replace the entries that are sent to some hosts by heartbeats."""
    send = simulation.send

    def send_without_entries(sender, host, message):
        is_append = isinstance(message, messages.AppendRequest)
        if host in names and is_append and message.entries:
            return
        send(sender, host, message)

    simulation.send = send_without_entries


LATE_STEP_S = 0.3


# Guards against hosts whose state is served as current: they follow a leader
# that has been replaced, and whose steps are late, so that it excuses the
# silence of the others again and again.
def test_followers_of_a_leader_that_was_replaced_are_not_complete():
    simulation = simulated_log.Simulation(seed=3, voters='abcde')
    simulation.start()
    _lead(simulation, 'a')
    simulation.commit('one')
    simulation.run(SETTLE_S)
    for name in 'ab':
        for other in 'cde':
            simulation.cut(name, other)
    leader = simulation.members['a']
    step = leader.step
    last_s = [simulation.now_s]

    def step_late(*inbox):
        if simulation.now_s - last_s[0] >= LATE_STEP_S:
            last_s[0] = simulation.now_s
            step(*inbox)

    leader.step = step_late
    leader._wake = lambda: simulation.after(LATE_STEP_S, wake)

    def wake():
        leader.step()
        simulation.after(LATE_STEP_S, wake)

    wake()
    simulation.run(10 * SETTLE_S)
    ages_s = _ages_s(simulation)
    old = {name for name, age_s in ages_s.items() if age_s > SETTLE_S}
    assert old == {'a', 'b'}
    assert not leader.is_leader
