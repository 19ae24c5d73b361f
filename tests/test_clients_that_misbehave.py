"""Clients that do not behave, at the real processes on loopback (issue 58).

Each row starts the processes, lets a crowd act on one port, and checks that
every process lives, that memory and descriptors stay within the settings,
and that an ordinary request is answered afterwards. No row checks a time or
a share of requests. The crowd and the bounds were fixed on dd6cbb3.
"""

import asyncio

import pytest

from tests.stand_ins import crowds
from tests.stand_ins import small_system

CLIENTS = 50
SLOW_READERS = 60
SILENT_CLIENTS = 400
PIPELINED = 100
BAD_REQUESTS = 100
# How long a crowd goes on, unless the host has closed its connections.
PATIENCE_S = 20.0
# Longer than a slow reader, or a head in pieces, may take.
LONG_PATIENCE_S = 60.0
# Without settings for it, a process may use this much.
DEFAULT_MEMORY_MB = 300
# Rows of a refusal: a burst of the limiter, and its rate for this long.
MAX_LOG_BYTES = 400_000
LARGE_BYTES = 4 * 1024 * 1024
MEDIUM_BYTES = 200 * 1024
# Not over what a call may have.
CONFIGURATION_BYTES = 7 * 1024 * 1024

HEAD = b'GET /pans/4 HTTP/1.1\r\nHost: pans.example\r\n'
LARGE = b'GET /pans/%d HTTP/1.1\r\nHost: pans.example\r\nX: y\r\n\r\n'
LARGE_FIELD = b'X-F: ' + 15_000 * b'x' + b'\r\n'
POST = b'POST /pans/4 HTTP/1.1\r\nHost: pans.example\r\n'
BODY = POST + b'Content-Length: %d\r\n\r\n' % small_system.MAX_BODY_BYTES
CHUNKED = POST + b'Transfer-Encoding: chunked\r\n\r\n'

HEADS_WITHOUT_END = {
    'request_line': crowds.endless(b'GET /', b'x'),
    'header_value': crowds.endless(HEAD + b'X: ', b'x'),
    'header_name': crowds.endless(HEAD, b'x'),
    'header_lines': crowds.endless(HEAD, b'a: b\r\n'),
    'large_fields': crowds.endless(HEAD, LARGE_FIELD),
    'empty_lines': crowds.endless(b'', b'\r\n'),
    'empty_lines_after_a_request': crowds.endless(
        b'GET /unknown HTTP/1.1\r\nHost: pans.example\r\n\r\n', b'\r\n'
    ),
    'no_request': crowds.endless(b'', b'\x00\xff no request at all \r\n'),
}
# Ports with an HTTP server of their own, beside callers and control.
OTHER_PORTS = (
    ('platform', 'ready'),
    ('platform', 'directory'),
    ('platform', 'entry-metrics'),
    ('own', 'callers'),
    ('own', 'ready'),
    ('own', 'control'),
    ('own', 'control-metrics'),
)
SINGLE_HOST_PORTS = ('callers', 'relay', 'operators')
# Beside these, heads in pieces and silence have no end of their own.
KINDS_AT_ALL_PORTS = ('request_line', 'header_value', 'empty_lines')


def assert_within_settings(system, *, memory_mb=small_system.MEMORY_MB):
    """Check that all processes live, and what each of them uses."""
    for name, process in system.processes.items():
        assert process.poll() is None, f'{name} has ended'
    for port in system.addresses:
        peak_mb = system.peak_mb(port)
        assert peak_mb <= memory_mb, f'{port}: {peak_mb:.0f} MB'
        assert system.descriptors(port) <= small_system.MAX_DESCRIPTORS, port


async def play(system, port, crowd, *, patience_s=PATIENCE_S):
    """Let a crowd act, and return how many connections it still has."""
    async with crowd:
        left = await crowd.finished(patience_s=patience_s)
        assert_alive(system)
    assert await system.is_answered(port)
    return left


def assert_alive(system):
    for name, process in system.processes.items():
        assert process.poll() is None, f'{name} has ended'


def crowd_at(system, port, client, *, clients=CLIENTS, **options):
    return crowds.Crowd(
        client, address=system.addresses[port], clients=clients, **options
    )


# Guards against errors of a parser that keep all that arrives after them,
# and against heads that are limited in each field but not in all.
@pytest.mark.parametrize('kind', HEADS_WITHOUT_END)
@pytest.mark.parametrize('port', ['callers', 'control'])
def test_head_without_end_is_closed(port, kind, tmp_path):
    async def scenario():
        async with small_system.fleet_system('platform', tmp_path) as system:
            crowd = crowd_at(system, port, HEADS_WITHOUT_END[kind])
            assert await play(system, port, crowd) == 0
            assert_within_settings(system)

    asyncio.run(scenario())


# The same at every other port of a fleet.
@pytest.mark.parametrize(
    ('program', 'port'), OTHER_PORTS, ids=map('-'.join, OTHER_PORTS)
)
def test_heads_without_end_are_closed_at_every_port(program, port, tmp_path):
    async def scenario():
        async with small_system.fleet_system(program, tmp_path) as system:
            for kind in KINDS_AT_ALL_PORTS:
                crowd = crowd_at(system, port, HEADS_WITHOUT_END[kind])
                assert await play(system, port, crowd) == 0, kind
            assert_within_settings(system)

    asyncio.run(scenario())


# The same at the ports of the other request path.
@pytest.mark.parametrize('port', SINGLE_HOST_PORTS)
def test_heads_without_end_are_closed_by_skylarkd(port, tmp_path):
    async def scenario():
        async with small_system.single_host(tmp_path) as system:
            for kind in KINDS_AT_ALL_PORTS:
                crowd = crowd_at(system, port, HEADS_WITHOUT_END[kind])
                assert await play(system, port, crowd) == 0, kind
            assert_within_settings(system, memory_mb=DEFAULT_MEMORY_MB)

    asyncio.run(scenario())


HALF_HEADS = {
    'nothing': b'',
    'request_line': b'GET /pans',
    'header': HEAD + b'X: ',
    'after_a_request': (
        b'GET /unknown HTTP/1.1\r\nHost: pans.example\r\n\r\n' + HEAD
    ),
}
HALF_HEAD_PORTS = (
    ('platform', 'callers'),
    ('platform', 'ready'),
    ('platform', 'control'),
    ('own', 'entry-metrics'),
    ('skylarkd', 'callers'),
    ('skylarkd', 'relay'),
    ('skylarkd', 'operators'),
)


def any_system(program, folder):
    if program == 'skylarkd':
        return small_system.single_host(folder)
    return small_system.fleet_system(program, folder)


def memory_mb_of(program):
    if program == 'skylarkd':
        return DEFAULT_MEMORY_MB
    return small_system.MEMORY_MB


# Guards against heads in pieces that keep a connection for ever: no code read
# the limit of the time for a head.
@pytest.mark.parametrize(
    ('program', 'port'), HALF_HEAD_PORTS, ids=map('-'.join, HALF_HEAD_PORTS)
)
def test_heads_in_pieces_are_closed(program, port, tmp_path):
    async def scenario():
        async with any_system(program, tmp_path) as system:
            kinds = [crowds.half_head(start) for start in HALF_HEADS.values()]
            waiting = [
                play(
                    system,
                    port,
                    crowd_at(system, port, kind, clients=CLIENTS // 4),
                    patience_s=LONG_PATIENCE_S,
                )
                for kind in kinds
            ]
            assert await asyncio.gather(*waiting) == [0] * len(kinds)
            assert_within_settings(system, memory_mb=memory_mb_of(program))

    asyncio.run(scenario())


SILENT_PORTS = (
    *(('platform', port) for port in ('callers', 'ready', 'control')),
    *(('own', port) for port in ('callers', 'control', 'entry-metrics')),
    *(('skylarkd', port) for port in SINGLE_HOST_PORTS),
)


# Guards against connections that take all descriptors: upstreams, hosts and
# ordinary callers need some too, while the crowd holds on.
@pytest.mark.parametrize(
    ('program', 'port'), SILENT_PORTS, ids=map('-'.join, SILENT_PORTS)
)
def test_silent_connections_leave_room(program, port, tmp_path):
    async def scenario():
        async with any_system(program, tmp_path) as system:
            crowd = crowd_at(
                system, port, crowds.silent, clients=SILENT_CLIENTS
            )
            async with crowd:
                await crowd.finished(patience_s=3.0)
                assert_within_settings(system, memory_mb=memory_mb_of(program))
                for other in system.addresses:
                    assert await system.is_answered(other), other
            assert await system.is_answered(port)
            assert_within_settings(system, memory_mb=memory_mb_of(program))

    asyncio.run(scenario())


# The same at the port for other hosts: those that say nothing are closed, but
# may come again at once.
@pytest.mark.parametrize('program', ['platform', 'own'])
@pytest.mark.parametrize('role', ['entry', 'control'])
def test_silent_connections_to_other_hosts_ports_leave_room(
    program, role, tmp_path
):
    async def scenario():
        async with small_system.fleet_system(program, tmp_path) as system:
            crowd = crowds.Crowd(
                crowds.silent_again,
                address=system.peers[role],
                clients=SILENT_CLIENTS,
            )
            async with crowd:
                await crowd.finished(patience_s=3.0)
                assert_within_settings(system)
                for other in system.addresses:
                    assert await system.is_answered(other), other
                assert_within_settings(system)

    asyncio.run(scenario())


UNREAD = {
    'large': crowds.unread(LARGE % LARGE_BYTES, every_s=None),
    'large_byte_by_byte': crowds.unread(LARGE % LARGE_BYTES, every_s=0.2),
    'medium': crowds.unread(LARGE % MEDIUM_BYTES, every_s=None),
    'medium_one_after_another': crowds.many_requests(
        LARGE % MEDIUM_BYTES, count=PIPELINED
    ),
    'small_behind_one_that_waits': crowds.many_requests(
        HEAD.replace(b'/pans/4', b'/pans/wait') + LARGE_FIELD + b'\r\n',
        count=PIPELINED,
    ),
    'many_fields_behind_one_that_waits': crowds.many_requests(
        HEAD.replace(b'/pans/4', b'/pans/wait') + 100 * b'a: b\r\n' + b'\r\n',
        count=10 * PIPELINED,
    ),
    'unknown_routes': crowds.many_requests(
        b'GET /unknown HTTP/1.1\r\nHost: pans.example\r\n\r\n',
        count=200 * PIPELINED,
    ),
}


# Guards against answers that are held for clients that do not read them, and
# against requests that are held behind those.
@pytest.mark.parametrize('kind', UNREAD)
@pytest.mark.parametrize('program', ['platform', 'own'])
def test_unread_answers_stay_within_memory(program, kind, tmp_path):
    async def scenario():
        async with small_system.fleet_system(program, tmp_path) as system:
            crowd = crowd_at(
                system,
                'callers',
                UNREAD[kind],
                clients=SLOW_READERS,
                small_buffers=True,
            )
            await play(system, 'callers', crowd, patience_s=8.0)
            assert_within_settings(system)

    asyncio.run(scenario())


# Guards against slow readers that keep their connections for ever: each
# reads 1 KB a second of more than the operating system holds.
@pytest.mark.parametrize('program', ['platform', 'own'])
def test_slow_readers_are_closed_at_last(program, tmp_path):
    async def scenario():
        async with small_system.fleet_system(program, tmp_path) as system:
            client = crowds.unread(
                LARGE % MEDIUM_BYTES * PIPELINED, every_s=0.25, size_bytes=256
            )
            crowd = crowd_at(system, 'callers', client, small_buffers=True)
            left = await play(
                system, 'callers', crowd, patience_s=LONG_PATIENCE_S
            )
            assert left == 0
            assert_within_settings(system)

    asyncio.run(scenario())


BODIES = {
    'unfinished': crowds.body_unfinished(
        BODY, size_bytes=small_system.MAX_BODY_BYTES
    ),
    'chunk_extension': crowds.endless(CHUNKED + b'5;', b'x'),
    'trailers': crowds.endless(CHUNKED + b'0\r\n', b'a: b\r\n'),
    'trailer_value': crowds.endless(CHUNKED + b'0\r\na: ', b'x'),
    'beyond_the_limit': crowds.endless(
        CHUNKED, b'10000\r\n' + b'x' * 65536 + b'\r\n'
    ),
    'control': crowds.endless(CHUNKED, b'10000\r\n' + b'x' * 65536 + b'\r\n'),
}


# Guards against bodies that take more memory than they have bytes, and
# against what follows a body that was refused.
@pytest.mark.parametrize('kind', BODIES)
def test_bodies_stay_within_memory(kind, tmp_path):
    async def scenario():
        async with small_system.fleet_system('platform', tmp_path) as system:
            port = 'control' if kind == 'control' else 'callers'
            crowd = crowd_at(system, port, BODIES[kind], clients=SLOW_READERS)
            await play(system, port, crowd, patience_s=8.0)
            assert_within_settings(system)

    asyncio.run(scenario())


PUT = {
    'platform': b'POST /rpc?call=config.put HTTP/1.1\r\n',
    'own': b'PUT /v1/configuration HTTP/1.1\r\n'
    b'Authorization: Bearer a secret of over sixteen characters\r\n',
}


# Guards against bodies of calls that control holds without a limit in all:
# each may be a large configuration.
@pytest.mark.parametrize('program', PUT)
def test_bodies_of_calls_stay_within_memory(program, tmp_path):
    async def scenario():
        size_bytes = CONFIGURATION_BYTES
        head = PUT[program] + b'Host: a\r\nContent-Length: %d\r\n\r\n'
        client = crowds.body_unfinished(
            head % size_bytes, size_bytes=size_bytes
        )
        async with small_system.fleet_system(program, tmp_path) as system:
            crowd = crowd_at(system, 'control', client, clients=SLOW_READERS)
            await play(system, 'control', crowd, patience_s=8.0)
            # Only the settings of the platform name less for control.
            memory_mb = small_system.MEMORY_MB
            if program == 'own':
                memory_mb = DEFAULT_MEMORY_MB
            assert_within_settings(system, memory_mb=memory_mb)

    asyncio.run(scenario())


# Guards against a line with a traceback for each bad request.
@pytest.mark.parametrize('port', ['callers', 'ready', 'control'])
@pytest.mark.parametrize('program', ['platform', 'own'])
def test_bad_requests_cause_few_lines(program, port, tmp_path):
    async def scenario():
        async with small_system.fleet_system(program, tmp_path) as system:
            client = crowds.bad_requests(
                b'GET / HTTP/1.1\r\nno field\r\n\r\n',
                count=BAD_REQUESTS,
                address=system.addresses[port],
            )
            before_bytes = system.log_bytes(port)
            crowd = crowd_at(system, port, client, clients=20)
            assert await play(system, port, crowd) == 0
            written_bytes = system.log_bytes(port) - before_bytes
            assert written_bytes <= MAX_LOG_BYTES

    asyncio.run(scenario())


def request_of(*rows, target=b'/pans/4', method=b'GET', body=b''):
    line = method + b' ' + target + b' HTTP/1.1'
    rows = (line, b'Host: pans.example', *rows, b'', b'')
    return [b'\r\n'.join(rows) + body]


def fields(count):
    """Return header rows of 15 KB in so many fields."""
    size = 15 * 1024 // count
    return [
        b'X-%04d: ' % number + b'x' * max(1, size - 10)
        for number in range(count)
    ]


def slowly(request, *, for_s, pieces):
    """Return pauses in seconds between the pieces of a request."""
    size = len(request) // pieces
    parts = [
        request[size * number : size * (number + 1)]
        for number in range(pieces)
    ]
    parts[-1] += request[size * pieces :]
    return [item for part in parts for item in (part, for_s / pieces)][:-1]


IDLE_TIMEOUT_MS = 15_000
BODY_BYTES = small_system.MAX_BODY_BYTES
IN_CHUNKS = b''.join(
    b'200\r\n' + b'x' * 512 + b'\r\n' for _ in range(BODY_BYTES // 512)
)
ORDINARY = request_of()[0]
# Each a list of bytes to send and of seconds to pause.
EDGES = {
    'one_field': request_of(*fields(1)),
    'six_fields': request_of(*fields(6)),
    'hundred_fields': request_of(*fields(100)),
    'thousand_fields': request_of(*fields(1000)),
    'long_path': request_of(target=b'/pans/' + b'x' * 14_000 + b'/4'),
    'long_path_and_fields': request_of(
        *fields(6), target=b'/pans/' + b'x' * 14_000 + b'/4'
    ),
    'largest_body': request_of(
        b'Content-Length: %d' % BODY_BYTES,
        method=b'POST',
        body=b'x' * BODY_BYTES,
    ),
    'largest_body_in_chunks': request_of(
        b'Transfer-Encoding: chunked',
        method=b'POST',
        body=IN_CHUNKS + b'0\r\n\r\n',
    ),
    'slow_head': slowly(
        ORDINARY,
        for_s=0.9 * small_system.HEADER_TIMEOUT_MS / 1000,
        pieces=9,
    ),
    'empty_line_first': [b'\r\n', ORDINARY],
    'idle_before_the_next': [
        ORDINARY,
        0.8 * IDLE_TIMEOUT_MS / 1000,
        ORDINARY,
    ],
    'two_at_once': [ORDINARY + ORDINARY],
    'slow_body': [
        POST + b'Content-Length: 4\r\n\r\n',
        1.5 * small_system.HEADER_TIMEOUT_MS / 1000,
        b'body',
    ],
}


async def statuses_of(address, steps):
    """Return the statuses of the answers to bytes sent over one connection."""
    reader, writer = await asyncio.open_connection(*address)
    expected = sum(
        step.count(b' HTTP/1.1\r\n') for step in steps if type(step) is bytes
    )
    async with asyncio.timeout(LONG_PATIENCE_S):
        for step in steps:
            if isinstance(step, bytes):
                writer.write(step)
                await writer.drain()
            else:
                await asyncio.sleep(step)
        statuses = []
        for _ in range(expected):
            head = await reader.readuntil(b'\r\n\r\n')
            statuses.append(int(head.split()[1]))
            length = head.lower().partition(b'content-length: ')[2].split()[0]
            await reader.readexactly(int(length))
    writer.close()
    return statuses


# Guards against limits that ordinary clients meet.
@pytest.mark.parametrize('program', ['platform', 'own'])
def test_requests_at_the_edge_of_the_limits_are_served(program, tmp_path):
    async def scenario():
        async with small_system.fleet_system(
            program, tmp_path, idle_timeout_ms=IDLE_TIMEOUT_MS
        ) as system:
            address = system.addresses['callers']
            found = await asyncio.gather(
                *(statuses_of(address, steps) for steps in EDGES.values())
            )
            assert {status for row in found for status in row} == {200}, dict(
                zip(EDGES, found, strict=True)
            )
            assert_within_settings(system)

    asyncio.run(scenario())
