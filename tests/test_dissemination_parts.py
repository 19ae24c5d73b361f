"""Tests of the parts of dissemination that do no input or output."""

import asyncio
import json
import random

import pytest

from skylarkpitch.config import keys as caller_keys
from skylarkpitch.config import parts
from skylarkpitch.config import view
from skylarkpitch.dissemination import freshness
from skylarkpitch.dissemination import leases
from skylarkpitch.dissemination import replica as replicas
from skylarkpitch.dissemination import reports
from skylarkpitch.dissemination import serving
from skylarkpitch.dissemination import source_selector
from skylarkpitch.dissemination import timing
from skylarkpitch.dissemination import tree
from skylarkpitch.dissemination import waiters
from skylarkpitch.messages import dissemination as messages
from skylarkpitch.peers import directory as directories
from tests.stand_ins import control_fleet
from tests.stand_ins import fake_peers
from tests.stand_ins import virtual_time


@pytest.mark.parametrize(
    'sent_at_s, held_s, age_s, drift, proven_at_s',
    [
        (100.0, 0.0, 0.0, 0.0, 100.0),
        (100.0, 0.0, 3.0, 0.0, 97.0),
        (100.0, 2.0, 3.0, 0.0, 99.0),
        (100.0, 0.0, 0.0, 0.01, 100.0),
        (100.0, 0.0, 3.0, 0.01, 100.0 - 3.0 * 1.01 / 0.99),
        (100.0, 2.0, 0.0, 0.01, 100.0 + 2.0 * 0.99 / 1.01),
    ],
)
def test_proof_counts_from_the_request(
    sent_at_s, held_s, age_s, drift, proven_at_s
):
    actual = freshness.proven_at_s(
        sent_at_s=sent_at_s, held_s=held_s, age_s=age_s, drift=drift
    )
    assert actual == pytest.approx(proven_at_s)


@pytest.mark.parametrize('lease_s', [1.0, 5.0, 60.0, 86_400.0])
def test_lease_outlasts_a_lost_parent(lease_s):
    actual = timing.timing_for(lease_s)
    assert actual.period_s + actual.timeout_s < lease_s
    assert actual.hold_s > actual.period_s


def entry_hosts(count):
    control = [
        fake_peers.host(f'c{n}', 'r', f'd{n}', ('control',)) for n in range(5)
    ]
    entry = [fake_peers.host(f'e{n}', 'r', 'd') for n in range(count)]
    return directories.Directory(local_host='e0', hosts=[*control, *entry])


@pytest.mark.parametrize('count, depth', [(1, 1), (2, 1), (10, 3), (70, 6)])
def test_tree_is_shallow_and_bounded(count, depth):
    directory = entry_hosts(count)
    parents = {
        host.name: tree.sources_of(directory, host.name)[0]
        for host in directory.with_role('entry')
    }
    parents_used = list(parents.values())
    assert all(
        parents_used.count(name) <= tree.FAN_OUT
        for name in parents
        if name in parents_used
    )

    def height(name):
        return 1 + height(parents[name]) if name in parents else 0

    assert max(height(name) for name in parents) == depth


def test_sources_fall_back_to_relays_and_control():
    directory = entry_hosts(70)
    for host in directory.with_role('entry'):
        actual = tree.sources_of(directory, host.name)
        assert len(set(actual)) == len(actual)
        assert host.name not in actual
        relays = set(tree.relays_of(directory, 'd')) - {host.name}
        assert relays | {f'c{n}' for n in range(5)} <= set(actual)


def test_control_host_uses_itself_first():
    hosts = [
        fake_peers.host(f'h{n}', 'r', f'd{n}', ('entry', 'control'))
        for n in range(3)
    ]
    directory = directories.Directory(local_host='h1', hosts=hosts)
    assert tree.sources_of(directory, 'h1')[0] == 'h1'
    assert tree.sources_of(directory, 'nobody') == ()


def test_selector_changes_source_and_returns_to_the_best():
    rng = random.Random(1)
    selector = source_selector.SourceSelector(
        sources=lambda: ('a', 'b'), rng=rng
    )
    assert selector.current(now_s=0.0) == 'a'
    assert not selector.record_failure(now_s=0.0)
    assert selector.current(now_s=1.0) == 'b'
    assert selector.current(now_s=100.0) == 'a'
    assert not selector.record_failure(now_s=100.0)
    assert selector.record_failure(now_s=100.0)
    assert selector.current(now_s=100.0) == 'a'
    assert not selector.record_failure(now_s=100.0)
    selector.select('b', now_s=100.0)
    assert selector.current(now_s=103.0) == 'b'
    assert selector.current(now_s=200.0) == 'a'
    selector.record_success()
    assert selector.current(now_s=300.0) == 'a'


@pytest.mark.parametrize(
    'steps, organisation, end',
    [
        ([(1, 5.0, {}, 0.0)], 'a', 5.0),
        ([(1, 5.0, {'a': 60.0}, 0.0)], 'a', 60.0),
        ([(1, 5.0, {'a': 60.0}, 0.0)], 'b', 5.0),
        ([(1, 5.0, {'a': 60.0}, 0.0)], None, 60.0),
        ([(0, 90.0, {}, 0.0), (1, 5.0, {}, 10.0)], 'a', 100.0),
        ([(0, 5.0, {}, 0.0), (1, 90.0, {}, 10.0)], 'a', 100.0),
        ([(3, 5.0, {}, 7.0)], 'a', 12.0),
        ([], 'a', 5.0),
    ],
)
def test_lease_history(steps, organisation, end):
    history = leases.LeaseHistory(started_at_s=0.0)
    for version, default_s, by_organisation, now_s in steps:
        lease_set = leases.KeyLeases(
            default_s=default_s, by_organisation=by_organisation
        )
        history.record(version, lease_set, now_s=now_s)
    assert history.expires_at_s(1, organisation) == end


def make_row(host='e0', sequence=1, version=1, status=None):
    return messages.ReportRow(
        host=host,
        sequence=sequence,
        applied_version=version,
        age_s=0.5,
        life_cycle='serving',
        status=status,
    )


def test_table_stores_the_newest_report_of_known_hosts():
    table = reports.ReportTable(directory=entry_hosts(3))
    assert table.record(make_row(sequence=2, version=5), now_s=0.0)
    assert not table.record(make_row(sequence=1, version=4), now_s=1.0)
    assert not table.record(make_row(host='nobody'), now_s=1.0)
    (domain,) = table.in_force(now_s=2.0)
    assert domain.applied_version == 5
    assert domain.unheard == ('e1', 'e2')
    (behind,) = table.unconfirmed(5, lease_left_s=1.0)
    assert behind.hosts == ('e1', 'e2')
    assert table.record(make_row(sequence=1, version=6), now_s=90.0)


def test_reporter_sends_changes_at_once_and_status_at_intervals():
    reporter = reports.Reporter(host='e0', first_sequence=10)

    def flush(version, now_s):
        return reporter.flush(
            applied_version=version,
            age_s=0.1,
            report=lambda: {'life_cycle': 'serving', 'calls': 2.0},
            now_s=now_s,
        )

    (first,) = flush(1, 0.0)
    assert first.status == {'calls': 2.0} and first.sequence == 11
    assert flush(1, 1.0) == ()
    (second,) = flush(2, 2.0)
    assert second.status is None and second.applied_version == 2
    reporter.requeue((first, second))
    reporter.add((make_row(host='e1'),))
    assert {r.host for r in flush(2, 3.0)} == {'e0', 'e1'}
    assert len(flush(2, 31.0)) == 1


def make_response(version, age_s=0.0, rows=(), digest=0, **fields):
    return messages.StateResponse(
        version=version,
        age_s=age_s,
        held_s=0.0,
        digest=digest,
        rows=rows,
        **fields,
    )


@pytest.mark.parametrize(
    'response, is_proof, version',
    [
        (make_response(0), True, 0),
        (make_response(0, age_s=-1.0), False, 0),
        (make_response(3, digest=1), False, 3),
        (make_response(3), True, 3),
    ],
)
def test_replica_accepts_proofs_with_the_whole_state_only(
    response, is_proof, version
):
    replica = replicas.Replica(site='s')
    request = replica.build_request(now_s=10.0, hold_s=1.0)
    effect = replica.apply_response(
        request, response, sent_at_s=10.0, drift=0.01
    )
    assert effect.is_proof is is_proof
    assert replica.version == version


def test_replica_version_never_decreases():
    replica = replicas.Replica(site='s')
    request = replica.build_request(now_s=10.0, hold_s=1.0)
    replica.apply_response(
        request, make_response(5), sent_at_s=10.0, drift=0.0
    )
    older = make_response(4, rows=((('drain', 'u'), 4, b'{}'),), whole=True)
    effect = replica.apply_response(request, older, sent_at_s=11.0, drift=0.0)
    assert effect.is_proof and not effect.kinds
    assert replica.version == 5 and replica.proven_at_s == 11.0
    assert not replica.view.drains


KEY = caller_keys.new_key(random.Random(1).randbytes)
UNKNOWN = caller_keys.new_key(random.Random(2).randbytes)


def serving_state(*, started_at_s, proven_at_s, lease_s=None):
    """Return the state of a host with one key and a proof."""
    document = json.loads(control_fleet.BASE)
    document['organisations']['daegu-pans']['key_lease_s'] = lease_s
    record = caller_keys.KeyRecord(
        organisation='daegu-pans',
        salt=KEY.salt,
        secret_hash=KEY.secret_hash,
        issued_at_s=0.0,
    )
    replica = replicas.Replica(site='seoul-a')
    for key, value in parts.split(document, ('base',)).items():
        replica.view.put(key, value)
    replica.view.put(('key', KEY.key_id), view.encode_key(record))
    replica.proven_at_s = proven_at_s
    state = serving.ServingState(
        replica=replica, site='seoul-a', started_at_s=started_at_s
    )
    state.update(frozenset({'base'}))
    state.confirm()
    return state


@pytest.mark.parametrize(
    'key, now_s, lease_s, expected',
    [
        ('valid', 104.94, None, 'daegu-pans'),
        ('valid', 104.96, None, 'key_lease_expired'),
        ('valid', 159.39, 60, 'daegu-pans'),
        ('valid', 159.41, 60, 'key_lease_expired'),
        ('valid', 101.97, 2, 'daegu-pans'),
        ('valid', 101.99, 2, 'key_lease_expired'),
        ('unknown', 104.94, 60, 'key_unknown'),
        ('unknown', 104.96, 60, 'key_lease_expired'),
        ('nonsense', 200.0, None, 'key_malformed'),
        ('', 100.0, None, 'key_missing'),
        (None, 100.0, None, 'key_missing'),
    ],
)
def test_lease_ends_earlier_by_the_drift(key, now_s, lease_s, expected):
    state = serving_state(
        started_at_s=99.0, proven_at_s=100.0, lease_s=lease_s
    )
    text = {'valid': KEY.text, 'unknown': UNKNOWN.text}.get(key, key)
    actual = state.authenticate(text, now_s=now_s)
    assert (getattr(actual, 'reason', '') or actual.organisation) == expected


@pytest.mark.parametrize(
    'started_at_s, serves', [(99.0, True), (100.0, True), (100.1, False)]
)
def test_proof_from_before_the_start_serves_nothing(started_at_s, serves):
    state = serving_state(started_at_s=started_at_s, proven_at_s=100.0)
    assert bool(state.site_config()) is serves
    actual = state.authenticate(KEY.text, now_s=100.2)
    assert (actual.reason == 'state_stale') if not serves else actual


def test_no_request_waits_beyond_the_limit(monkeypatch):
    monkeypatch.setattr(waiters, 'MAX_WAITERS', 1)

    async def body():
        waiting = waiters.Waiters()
        first = asyncio.create_task(
            waiting.wait_for(lambda: False, timeout_s=waiting.max_wait_s)
        )
        await asyncio.sleep(0)
        assert waiting.max_wait_s == 0.0
        assert not await waiting.wait_for(
            lambda: False, timeout_s=waiting.max_wait_s
        )
        assert not await first
        assert waiting.max_wait_s > 0.0

    virtual_time.run(body())
