"""Fuzz tests of the input of the request handler and its messages."""

import asyncio
import json

import hypothesis
from hypothesis import strategies
import multidict
import pytest

from skylarkpitch import errors
from skylarkpitch.messages import codec
from skylarkpitch.messages import requests as messages
from skylarkpitch.requests import headers
from skylarkpitch.requests import operation_ids
from skylarkpitch.requests import refusals
from skylarkpitch.requests import targets
from skylarkpitch import sentinels
from skylarkpitch.settings import daemon
from tests.stand_ins import request_ports
from tests import test_requests_exchange as exchanges

fuzzed = hypothesis.settings(derandomize=True, deadline=None, max_examples=150)
TEXT = strategies.text(max_size=60)
HEADER_NAMES = strategies.sampled_from(
    [
        'Host',
        'Connection',
        'Content-Length',
        'Transfer-Encoding',
        'Skylark-Key',
        'skylark-organisation',
        'Idempotency-Key',
        'X-Any',
        'TE',
    ]
)


@fuzzed
@hypothesis.given(TEXT, TEXT)
def test_ids_always_have_a_home_region(text, organisation):
    parsed = operation_ids.parse(
        text, organisation=organisation, regions=('r1', 'r2')
    )
    assert parsed.region in ('r1', 'r2')
    assert parsed == operation_ids.parse(
        text, organisation=organisation, regions=['r2', 'r1']
    )


@fuzzed
@hypothesis.given(
    strategies.sampled_from(['r1', 'r-2']),
    strategies.floats(min_value=0, max_value=2**40),
    strategies.text('abc.-', min_size=1, max_size=20),
)
def test_issued_ids_carry_region_and_time(region, wall_s, unique):
    prefix = operation_ids.issue_prefix(region=region, wall_s=wall_s)
    parsed = operation_ids.parse(
        prefix + unique, organisation='o', regions=('r1', 'r-2')
    )
    assert (parsed.region, parsed.issued_s) == (region, int(wall_s))


@fuzzed
@hypothesis.given(
    strategies.one_of(
        TEXT,
        strategies.lists(
            strategies.sampled_from([
                '/svc', '/open', '/a', '/', '..', '.', '%2e', '%2F', ';', '%',
                '\\', '//', '%61', '?', '#',
            ]),
            max_size=8,
        ).map(''.join),
    )
)  # fmt: skip
def test_accepted_target_is_unambiguous(target):
    path = targets.decode_path(target)
    if sentinels.is_absent(path):
        assert path.reason == 'request_malformed'
        return
    segments = path.split('/')[1:]
    assert path.startswith('/')
    assert not {'.', '..'} & {part.split(';')[0] for part in segments}
    assert '' not in segments[:-1]
    assert '\\' not in path and '%' not in path


@fuzzed
@hypothesis.given(
    strategies.lists(strategies.tuples(HEADER_NAMES, TEXT), max_size=12)
)
def test_no_skylark_or_hop_by_hop_header_is_forwarded(pairs):
    original = multidict.CIMultiDictProxy(multidict.CIMultiDict(pairs))
    forwarded = headers.end_to_end(original)
    for name, _ in forwarded:
        assert name.lower() not in ('host', 'te', 'transfer-encoding')
        assert not name.lower().startswith('skylark-')
    problem = headers.check_framing(original)
    assert problem is None or problem.reason == 'request_malformed'
    if problem is None and 'Content-Length' in original:
        assert int(original['Content-Length']) >= 0


@fuzzed
@hypothesis.given(
    strategies.sampled_from([*refusals.REFUSALS, 'odd', '']), TEXT
)
def test_every_refusal_is_complete(reason, detail):
    refusal = refusals.from_absent(sentinels.Absent(reason, detail))
    body = json.loads(refusal.body())
    assert body['remedy'] and body['message']
    assert body['outcome'] in ('not-run', 'unknown')
    for value in refusal.headers().values():
        assert value.isascii() and '\n' not in value


@fuzzed
@hypothesis.given(
    strategies.sampled_from(
        [
            kind.encode()
            for kind in codec.registered_kinds()
            if kind.startswith('requests.')
        ]
    ),
    strategies.binary(max_size=80),
)
def test_messages_decode_or_raise_message_error(kind, body):
    try:
        message = codec.decode(kind, body)
    except errors.MessageError:
        return
    assert codec.kind_of(message).encode() == kind


def test_messages_are_decoded_as_encoded():
    register = messages.Register(
        organisation='o',
        operation_id='i',
        token='t',
        fingerprint=b'\0\xff',
        state='recorded',
        lease_s=1.0,
        headers=(('A', 'b'),),
        body=b'\xff',
    )
    vote = messages.ClaimResponse(
        member='h1',
        outcome='held',
        incarnation=2**60,
        view={'h2': 1},
        register=register,
    )
    assert codec.decode(*codec.encode(vote)) == vote


@pytest.mark.parametrize('seed', range(4))
def test_random_requests_neither_crash_nor_leak(seed):
    """Send random requests; none may pass on a key, hang or leak a task."""
    seen = []
    chunks = strategies.sampled_from([
        b'GET /svc/a HTTP/1.1\r\n', b'PUT /svc/a HTTP/1.1\r\n', b'Host: x\r\n',
        b'Skylark-Key: key-a\r\n', b'Content-Length: 5\r\n', b'hello',
        b'Transfer-Encoding: chunked\r\n', b'\r\n', b'0\r\n\r\n', b'\0', b':',
        b'5\r\nhello\r\n', b'Connection: close\r\n', b'Expect: x\r\n',
    ])  # fmt: skip
    examples = []

    @hypothesis.seed(seed)
    @hypothesis.settings(
        database=None,
        max_examples=25,
        phases=[hypothesis.Phase.generate],
        deadline=None,
    )
    @hypothesis.given(strategies.lists(chunks, min_size=1, max_size=10))
    def collect(parts):
        examples.append(b''.join(parts))

    collect()

    async def send(url, request):
        host, port = url.removeprefix('http://').split(':')
        _, writer = await asyncio.open_connection(host, int(port))
        writer.write(request)
        writer.write_eof()
        await asyncio.sleep(0.02)
        writer.close()

    async def go():
        script = exchanges.respond_with(exchanges.OK + b'ok', seen=seen)
        async with exchanges.raw_bench(script, body_timeout_s=0.1) as bench:
            await asyncio.gather(*(send(bench.url, e) for e in examples))
            while bench.handler.running:
                await asyncio.sleep(0.01)
            assert bench.handler.counters()['held_body_bytes'] == 0
            assert (await exchanges.get(bench))[1] == b'ok'

    asyncio.run(asyncio.wait_for(go(), 20))
    for head, _ in seen:
        assert b'key-a' not in head
        assert b'Skylark-Organisation: org-a' in head


@fuzzed
@hypothesis.given(
    strategies.recursive(
        strategies.none() | strategies.booleans() | strategies.floats() | TEXT,
        lambda inner: (
            strategies.lists(inner, max_size=4)
            | strategies.dictionaries(
                strategies.sampled_from(['host', 'roles', 'peers', 'limits']),
                inner,
                max_size=4,
            )
        ),
        max_leaves=12,
    )
)
def test_settings_load_or_raise_settings_error(document):
    with pytest.raises(errors.SettingsError):
        daemon.parse(json.dumps(document), source='fuzz')
    assert request_ports.site_config().services
