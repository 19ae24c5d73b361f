"""Fleet processes with the product's own settings file and HTTP calls."""

import asyncio
import contextlib
import json
import pathlib
import signal
import socket
import sys

import aiohttp
from aiohttp import web
from click import testing
import msgspec
import pytest

from skylarkpitch.daemon import fleet_main
from skylarkpitch.operators import fleet_calls
from tests.stand_ins import connection_guards
from tests.stand_ins import fleet_cluster
from tests.stand_ins import raw_upstream
from tests import test_fleet_state as fleet_fixtures

OPERATOR_TOKEN = 'token-of-the-operators'
AUTHORISED = {'Authorization': f'Bearer {OPERATOR_TOKEN}'}
DEADLINE_S = 60


def free_port():
    """Return a free port whose next port is free as well."""
    while True:
        with socket.socket() as one, socket.socket() as other:
            one.bind(('127.0.0.1', 0))
            port = one.getsockname()[1]
            with contextlib.suppress(OSError):
                other.bind(('127.0.0.1', port + 1))
                return port


def address(port=None):
    return {'ip': '127.0.0.1', 'port': port or free_port()}


def document(folder, *, peers_port=7400, **parts):
    """Return the settings of one host; write its secrets to ``folder``."""
    for name in ('secret', 'token'):
        (folder / name).write_text(OPERATOR_TOKEN)
    return {
        'host': 'h1',
        'ip': '127.0.0.1',
        'failure_domain': 'east-a',
        'regions': {'east-a': 'east'},
        'peers_port': peers_port,
        'seeds': ['127.0.0.1'],
        'secret_file': str(folder / 'secret'),
        **parts,
    }


def control_part(folder, **fields):
    return {
        'calls': address(),
        'data_folder': str(folder / 'data'),
        'operator_token_file': str(folder / 'token'),
        'is_first_start': True,
        'tolerated_disks': 0,
        **fields,
    }


def entry_part(**fields):
    return {
        'callers': address(),
        'ready': address(),
        'goodbye_s': 0.1,
        **fields,
    }


def write_json(folder, content, name='settings.json'):
    path = folder / name
    path.write_text(json.dumps(content))
    return path


def check(path):
    return testing.CliRunner().invoke(
        fleet_main.main, ['--settings', str(path), '--check']
    )


@pytest.mark.parametrize(
    ('changes', 'expected'),
    [
        ({}, 'valid, entry host h1'),
        ({'control': 'c'}, 'give either control or entry'),
        ({'entry': None}, 'give either control or entry'),
        ({'seeds': []}, 'seeds: '),
        ({'seeds': ['east']}, 'seeds.0: '),
        ({'failure_domain': 'west'}, "does not name failure_domain 'west'"),
        ({'peers_port': 0}, 'peers_port: '),
        ({'peer_port': 1}, 'peer_port: '),
        ({'secret_file': '/nowhere'}, 'the secret of the fleet'),
        ({'entry': {'callers': 1}}, 'entry.callers: '),
    ],
)
def test_settings_are_checked_and_errors_are_explained(
    tmp_path, changes, expected
):
    content = document(tmp_path, entry=entry_part()) | changes
    if content.get('control') == 'c':
        content['control'] = control_part(tmp_path)
    result = check(write_json(tmp_path, content))
    assert expected in result.output
    is_valid = expected.startswith('valid')
    assert result.exit_code == (
        0 if is_valid else fleet_main.EXIT_BAD_SETTINGS
    )


@pytest.mark.parametrize('text', ['', '{', '[]', '\xff'])
def test_file_that_is_not_a_settings_file_is_refused(tmp_path, text):
    path = tmp_path / 'settings.json'
    path.write_text(text, encoding='latin-1')
    assert check(path).exit_code == fleet_main.EXIT_BAD_SETTINGS


def test_short_secret_is_refused(tmp_path):
    content = document(tmp_path, entry=entry_part())
    (tmp_path / 'secret').write_text('short')
    assert 'holds 5 characters' in check(write_json(tmp_path, content)).output


CONFIGURATION = msgspec.json.encode(fleet_fixtures.configuration(7))
# Names no organisations, so that callers need no API key.
OPEN_CONFIGURATION = msgspec.json.encode(
    {
        name: value
        for name, value in msgspec.json.decode(CONFIGURATION).items()
        if name not in ('organisations', 'requires_api_key')
    }
)
UPSTREAM = msgspec.json.encode(
    {
        name: value
        for name, value in msgspec.to_builtins(
            fleet_fixtures.upstream()
        ).items()
        if name != 'upstream_id'
    }
)


@pytest.mark.parametrize(
    ('method', 'path', 'headers', 'body', 'status'),
    [
        ('PUT', 'configuration', AUTHORISED, CONFIGURATION, 200),
        ('PUT', 'configuration', {}, CONFIGURATION, 401),
        ('PUT', 'configuration', AUTHORISED, CONFIGURATION[:-9], 400),
        ('PUT', 'configuration', AUTHORISED, b'{"version":"x"}', 400),
        ('PUT', 'configuration', AUTHORISED, b'\xff', 400),
        ('GET', 'configuration', AUTHORISED, b'', 503),
        ('GET', 'configuration/x', AUTHORISED, b'', 404),
        ('PUT', 'upstreams/u1', {}, UPSTREAM, 200),
        ('PUT', 'upstreams/u1', {}, b'{}', 400),
        ('PUT', 'upstreams/u1', {}, b'[]', 400),
        ('PUT', 'upstreams', {}, UPSTREAM, 404),
        ('DELETE', 'upstreams/u1', {}, b'', 200),
        ('DELETE', 'upstreams/u1?born_ms=x', {}, b'', 400),
        ('PUT', 'drains/east-a', AUTHORISED, b'', 200),
        ('DELETE', 'drains/east-a', AUTHORISED, b'', 200),
        ('PUT', 'drains/east-a', {'Authorization': 'Bearer x'}, b'', 401),
        ('GET', 'entry-hosts?region=east', {}, b'', 503),
        ('GET', 'nothing', {}, b'', 404),
    ],
)
def test_calls_are_checked(tmp_path, method, path, headers, body, status):
    async def scenario():
        cluster = fleet_cluster.FleetCluster(folder=tmp_path)
        await cluster.start('abcdef')
        await cluster.wait_for_voters(6)
        handle = fleet_calls.handler(
            control_service=cluster.control_services['b'],
            region_of=lambda domain: domain[:4],
            operator_token=OPERATOR_TOKEN,
            bodies=connection_guards.bodies(),
        )
        server = web.Server(handle)
        listening = await asyncio.get_running_loop().create_server(
            server, '127.0.0.1', 0
        )
        port = listening.sockets[0].getsockname()[1]
        url = f'http://127.0.0.1:{port}/v1/{path}'
        async with (
            aiohttp.ClientSession() as session,
            session.request(
                method, url, headers=headers, data=body
            ) as response,
        ):
            result = response.status, await response.json()
        listening.close()
        await server.shutdown(0.1)
        await cluster.stop()
        return result

    actual, content = asyncio.run(scenario())
    assert actual == status
    assert (status == 200) == ('error' not in content)


@contextlib.asynccontextmanager
async def process(path):
    """Run one process of a fleet, and stop it with SIGTERM."""
    running = await asyncio.create_subprocess_exec(
        sys.executable,
        '-c',
        'from skylarkpitch.daemon import fleet_main; fleet_main.main()',
        '--settings',
        str(path),
        stdout=asyncio.subprocess.DEVNULL,
        cwd=pathlib.Path(__file__).resolve().parent.parent,
    )
    try:
        yield running
    finally:
        running.send_signal(signal.SIGTERM)
        await running.wait()


async def request_once(session, method, url, **options):
    """Return the body of a response with status 200, else None."""
    try:
        async with session.request(method, url, **options) as response:
            return await response.read() if response.status == 200 else None
    except aiohttp.ClientError:
        return None


async def request_until_ok(session, method, url, **options):
    """Repeat a request until the response has status 200."""
    body = None
    async with asyncio.timeout(DEADLINE_S):
        while body is None:
            body = await request_once(session, method, url, **options)
            await asyncio.sleep(0.1)
    return body


def test_two_processes_serve_a_request(tmp_path):
    """A control and an entry process serve a request.

    Both are configured by nothing but their settings files.
    """

    async def scenario():
        upstream = raw_upstream.RawUpstream(raw_upstream.respond())
        await upstream.start()
        peers_port = free_port()
        control, entry = control_part(tmp_path), entry_part()
        one = document(tmp_path, peers_port=peers_port, control=control)
        other = document(tmp_path, peers_port=peers_port, entry=entry)
        heartbeat = msgspec.json.encode(
            {**msgspec.json.decode(UPSTREAM), 'address': upstream.address}
        )
        calls = f'http://127.0.0.1:{control["calls"]["port"]}/v1'
        callers = f'127.0.0.1:{entry["callers"]["port"]}'
        async with (
            process(write_json(tmp_path, one, 'control.json')),
            process(
                write_json(tmp_path, other | {'host': 'e1'}, 'entry.json')
            ),
            aiohttp.ClientSession() as session,
        ):
            await request_until_ok(
                session,
                'PUT',
                f'{calls}/configuration',
                headers=AUTHORISED,
                data=OPEN_CONFIGURATION,
            )
            await request_until_ok(
                session, 'PUT', f'{calls}/upstreams/u1', data=heartbeat
            )
            hosts = await request_until_ok(
                session, 'GET', f'{calls}/entry-hosts?failure_domain=east-a'
            )
            assert json.loads(hosts)['addresses'] == [callers]
            response_body = await request_until_ok(
                session,
                'GET',
                f'http://{callers}/pans/1',
                headers={'Host': 'pans.example', 'Request-Id': 'r1'},
            )
        await upstream.stop()
        return response_body, upstream.seen

    response_body, seen = asyncio.run(scenario())
    assert response_body
    assert len(seen) == 1


# Guards against a fleet that admits everybody after its last organisation or
# API key was taken away.
@pytest.mark.parametrize(
    ('document', 'required'),
    [
        ({}, False),
        ({'organisations': []}, True),
        ({'organisations': [{'name': 'o', 'api_keys': []}]}, True),
        ({'organisations': [], 'requires_api_key': False}, False),
    ],
    ids=['none-named', 'none', 'without-a-key', 'explicitly-open'],
)
def test_document_says_whether_callers_need_a_key(document, required):
    body = json.dumps({'version': 7, **document}).encode()
    request = fleet_calls._put_configuration('', None, body)
    assert request.configuration.requires_api_key is required
