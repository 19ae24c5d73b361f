"""Test how one member's core responds to single messages."""

import random
import zlib

import pytest

from skylarkpitch.consensus import core as cores
from skylarkpitch.consensus import members
from skylarkpitch.consensus import replication
from skylarkpitch.consensus import state as states
from skylarkpitch.messages import consensus as messages

OWN, OTHER, THIRD = 'a/1', 'b/1', 'c/1'
CLUSTER = members.cluster_id_of((OWN, OTHER, THIRD))
LATER_S = 10.0


def _entry(index, term):
    return messages.Entry(
        index=index, term=term, kind=messages.EntryKind.COMMAND
    )


def _bootstrap_entry():
    data = members.encode(messages.Members(voters=(OWN, OTHER, THIRD)))
    return messages.Entry(
        index=1, term=1, kind=messages.EntryKind.MEMBERS, data=data
    )


def _core(*, terms=(), term=1, vote=None, commit_index=1):
    entries = [_entry(i, t) for i, t in enumerate(terms, start=2)]
    return cores.Core(
        identity=OWN,
        recovered=cores.Recovered(
            cluster=CLUSTER,
            hard_state=states.HardState(
                term=term, vote=vote, commit_index=commit_index
            ),
            entries=(_bootstrap_entry(), *entries),
        ),
        rng=random.Random(1),
        now_s=0.0,
    )


def _header(term, sender=OTHER, to=OWN, cluster=CLUSTER):
    return {'cluster': cluster, 'sender': sender, 'to': to, 'term': term}


def _vote_request(term, *, last=(1, 1), pre=False, **header):
    last_term, last_index = last
    return messages.VoteRequest(
        **_header(term, **header),
        last_index=last_index,
        last_term=last_term,
        pre=pre,
    )


def _append_request(
    term, *, previous=(1, 1), entries=(), commit_index=1, **header
):
    previous_term, previous_index = previous
    return messages.AppendRequest(
        **_header(term, **header),
        previous_index=previous_index,
        previous_term=previous_term,
        commit_index=commit_index,
        round=1,
        entries=tuple(entries),
    )


@pytest.mark.parametrize(
    ('options', 'message', 'granted'),
    [
        ({}, _vote_request(2), True),
        ({'term': 2, 'vote': OTHER}, _vote_request(2), True),
        ({'term': 2, 'vote': THIRD}, _vote_request(2), False),
        ({'term': 2, 'vote': THIRD}, _vote_request(3), True),
        ({'term': 3}, _vote_request(2), False),
        ({'terms': (1,)}, _vote_request(2), False),
        ({'terms': (1,)}, _vote_request(2, last=(1, 2)), True),
        ({'terms': (1, 1)}, _vote_request(3, last=(2, 2)), True),
        ({}, _vote_request(2, pre=True), True),
        ({'term': 2}, _vote_request(2, pre=True), False),
        ({'terms': (1,)}, _vote_request(2, pre=True), False),
    ],
)
def test_vote_follows_the_rules_and_is_synced_before_the_response(
    options, message, granted
):
    core = _core(**options)
    core.receive(message, now_s=LATER_S)
    output = core.pop_output()
    (response,) = output.after_write
    assert response.granted == granted
    assert output.before_write == ()
    if granted and not message.pre and options.get('vote') != OTHER:
        assert output.write.hard_state.vote == OTHER
        assert output.write.hard_state.term == message.term


def test_vote_is_denied_within_election_timeout_of_leader_contact():
    core = _core()
    core.receive(_append_request(2, sender=THIRD), now_s=LATER_S)
    core.pop_output()
    core.receive(_vote_request(9, last=(9, 9)), now_s=LATER_S + 0.4)
    (response,) = core.pop_output().after_write
    assert not response.granted
    assert core.state.term == 2
    core.receive(_vote_request(9, last=(9, 9)), now_s=LATER_S + 0.6)
    (response,) = core.pop_output().after_write
    assert response.granted


@pytest.mark.parametrize(
    'message',
    [
        _vote_request(5, to='a/0'),
        _vote_request(5, cluster='another'),
        _append_request(5, to='a/0'),
        _append_request(5, cluster='another'),
    ],
)
def test_messages_for_another_identity_or_cluster_are_dropped(message):
    core = _core()
    core.receive(message, now_s=LATER_S)
    assert not core.pop_output()
    assert core.state.term == 1


@pytest.mark.parametrize(
    ('terms', 'message', 'accepted', 'index', 'log_terms'),
    [
        ((), _append_request(2, entries=[_entry(2, 2)]), True, 2, [1, 2]),
        ((1,), _append_request(2, entries=[_entry(2, 2)]), True, 2, [1, 2]),
        (
            (1, 1),
            _append_request(2, entries=[_entry(2, 1)]),
            True,
            2,
            [1, 1, 1],
        ),
        ((1,), _append_request(2, previous=(1, 3)), False, 2, [1, 1]),
        ((1,), _append_request(2, previous=(2, 2)), False, 1, [1, 1]),
        ((), _append_request(0, entries=[_entry(2, 0)]), False, 0, [1]),
    ],
)
def test_entries_are_synced_before_they_are_acknowledged(
    terms, message, accepted, index, log_terms
):
    core = _core(terms=terms)
    core.receive(message, now_s=LATER_S)
    output = core.pop_output()
    (response,) = output.after_write
    assert (response.accepted, response.index) == (accepted, index)
    assert output.before_write == ()
    log = core.state.log
    assert [e.term for e in log.after(0)] == log_terms
    if log_terms[1:] != list(terms):
        assert output.write.entries == message.entries


def test_snapshot_retains_acknowledged_entries_after_its_index():
    core = _core(terms=(1, 1, 1))
    data = b'state'
    info = messages.SnapshotInfo(
        index=3,
        term=1,
        members=messages.Members(voters=(OWN, OTHER, THIRD)),
        members_index=1,
        size_bytes=len(data),
        checksum=zlib.crc32(data),
    )
    chunk = messages.SnapshotChunk(
        **_header(2), round=1, info=info, offset_bytes=0, data=data
    )
    core.receive(chunk, now_s=LATER_S)
    assert core.state.log.last_index == 4
    assert core.state.commit_index == 3
    assert core.pop_output().write.snapshot is None


def _leader_core(terms):
    """Return a core that is leader of term 3, with entries of ``terms``."""
    core = _core(terms=terms, term=2)
    now_s = LATER_S
    core.tick(now_s=now_s)
    for pre in (True, False):
        core.pop_output()
        core.on_persisted(now_s=now_s)
        response = messages.VoteResponse(**_header(3), granted=True, pre=pre)
        core.receive(response, now_s=now_s)
    assert core.is_leader
    return core


@pytest.mark.parametrize(
    ('acknowledged', 'committed'), [(1, 1), (2, 1), (3, 1), (4, 4)]
)
def test_older_terms_are_committed_with_an_entry_of_the_current_term(
    acknowledged, committed
):
    core = _leader_core(terms=(1, 2))
    core.pop_output()
    core.on_persisted(now_s=LATER_S)
    response = messages.AppendResponse(
        **_header(3), accepted=True, index=acknowledged, round=1
    )
    core.receive(response, now_s=LATER_S)
    assert core.state.commit_index == committed


def test_leader_counts_itself_only_after_its_sync():
    core = _leader_core(terms=())
    response = messages.AppendResponse(
        **_header(3), accepted=True, index=2, round=1
    )
    core.receive(response, now_s=LATER_S)
    assert core.state.commit_index == 1
    core.pop_output()
    core.on_persisted(now_s=LATER_S)
    assert core.state.commit_index == 2


def test_read_needs_a_round_sent_after_it():
    core = _leader_core(terms=())
    core.pop_output()
    core.on_persisted(now_s=LATER_S)
    for round_number, confirmed in ((1, 0), (1, 0), (2, 1)):
        response = messages.AppendResponse(
            **_header(3), accepted=True, index=2, round=round_number
        )
        core.receive(response, now_s=LATER_S)
        if not core.state.reads:
            core.request_read('token')
            core.flush(now_s=LATER_S + 0.01)
        confirmed_reads = core.pop_confirmed_reads()
        assert len(confirmed_reads) == confirmed
    assert confirmed_reads[0].sent_s == LATER_S + 0.01


# Guards against a voter that is gone but stays one on a busy host: each stall
# of the leader's process counted as a contact with every voter.
def test_stall_of_the_leader_is_no_contact_with_the_others():
    core = _leader_core(terms=())
    contacts_s = {n: i.contact_s for n, i in core.state.progress.items()}
    now_s = LATER_S + 5.0
    core.on_process_stall(now_s=now_s)
    core.tick(now_s=now_s)
    assert core.is_leader
    assert contacts_s == {
        name: item.contact_s for name, item in core.state.progress.items()
    }
    core.tick(now_s=now_s + core.state.timing.election_min_s)
    assert not core.is_leader


def test_large_logs_are_sent_in_bounded_messages():
    core = _leader_core(terms=(1,) * 5000)
    core.on_persisted(now_s=LATER_S)
    core.pop_output()
    refused = messages.AppendResponse(
        **_header(3), accepted=False, index=1, round=1
    )
    core.receive(refused, now_s=LATER_S)
    sent = [m for m in core.pop_output().before_write if m.to == OTHER]
    assert len(sent[0].entries) == replication.MAX_PROBE_ENTRIES
    accepted = messages.AppendResponse(
        **_header(3), accepted=True, index=17, round=1
    )
    core.receive(accepted, now_s=LATER_S)
    sent = [m for m in core.pop_output().before_write if m.to == OTHER]
    assert len(sent[0].entries) == replication.MAX_APPEND_ENTRIES
