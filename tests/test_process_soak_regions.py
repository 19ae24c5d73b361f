"""Checks of versions, the link proxy, a short run with replacements."""

import asyncio
import contextlib

import pytest

from benchmarks import fleet as fleets
from benchmarks import link_proxy
from benchmarks import process_soak_plays as plays
from benchmarks import process_soak_regions
from benchmarks import process_soak_versions as process_versions

SEED = 1
SECONDS = 8.0
WAIT_S = 0.3


def answer(version, status, **fields):
    fields = {'asked': 'route', 'sent_s': 20.0, 'life': 1, **fields}
    return process_versions.Answer(
        host='entry-a',
        version=version,
        status=status,
        ended_s=fields['sent_s'] + 0.1,
        **fields,
    )


def three_versions():
    """Return versions sent at 1, 5 and 9 s, and acknowledged at once."""
    versions = process_versions.Versions()
    versions.started('entry-a')
    for version in (1, 2, 3):
        versions.sent(version, now_s=4.0 * version - 3.0)
        versions.acknowledged(version, now_s=4.0 * version - 3.0)
    return versions


@pytest.mark.parametrize(
    ('answers', 'expected'),
    [
        ([answer(3, 200)], ''),
        ([answer(3, 404)], 'refused although it binds'),
        ([answer(3, 401, asked='key')], 'refused although it binds'),
        ([answer(3, 401)], ''),
        ([answer(3, 503)], ''),
        ([answer(2, 404)], ''),
        ([answer(2, 200)], 'served although 3 binds'),
        ([answer(2, 200, asked='key')], 'served although 3 binds'),
        ([answer(3, 404, sent_s=11.4)], ''),
        ([answer(3, 404, sent_s=11.6)], 'refused although it binds'),
        ([answer(2, 200, sent_s=11.4)], ''),
        ([answer(2, 404, sent_s=8.0)], 'refused although it binds'),
        ([answer(2, 404, sent_s=8.95)], ''),
        (
            [answer(3, 200, sent_s=9.5), answer(2, 200, sent_s=9.7)],
            'served after 3',
        ),
        ([answer(3, 200, sent_s=9.5), answer(2, 200, sent_s=9.55)], ''),
        (
            [answer(3, 200, sent_s=9.5), answer(3, 404, sent_s=9.7)],
            'refused after it was served',
        ),
        ([answer(3, 404, life=0)], ''),
    ],
)
def test_answers_of_an_entry_host(answers, expected):
    versions = three_versions()
    for item in answers:
        versions.record(item)
    assert bool(versions.found) is bool(expected)
    assert all(expected in item for item in versions.found)


@pytest.mark.parametrize(
    ('name', 'ended_s', 'is_judged'),
    [
        ('entry-a', 16.9, True),
        ('entry-a', 17.1, False),
        ('entry-a', None, False),
        ('entry-b', None, True),
        ('control-a', 16.9, True),
        ('control-a', 17.1, False),
        ('control-a', None, False),
    ],
)
def test_host_is_judged_only_in_touch(name, ended_s, is_judged):
    versions = three_versions()
    versions.disturb(name)
    if ended_s is not None:
        versions.calm(name, now_s=ended_s)
    versions.record(answer(3, 404))
    assert bool(versions.found) is is_judged


def test_next_process_of_a_host_may_begin_with_an_older_version():
    versions = three_versions()
    versions.disturb('entry-a')
    versions.record(answer(3, 200, sent_s=9.5))
    versions.started('entry-a')
    versions.record(answer(2, 200, sent_s=10.0, life=2))
    assert versions.found == []


async def _echo(reader, writer):
    with contextlib.suppress(OSError):
        while data := await reader.read(100):
            writer.write(data)
    writer.transport.abort()


async def _returns(connection):
    """Return whether a byte comes back, None if the connection ended."""
    reader, writer = connection
    writer.write(b'a')
    try:
        async with asyncio.timeout(WAIT_S):
            return bool(await reader.read(100)) or None
    except TimeoutError:
        return False
    except OSError:
        return None


@pytest.mark.parametrize(
    ('kind', 'open_returns', 'new_returns', 'later_returns'),
    [
        ('delay', True, True, True),
        ('squeeze', True, True, True),
        ('cut_in', False, False, True),
        ('cut_out', False, False, True),
        ('silence', False, True, None),
    ],
)
def test_harm_of_a_link(kind, open_returns, new_returns, later_returns):
    async def run():
        target_port, port = fleets.free_ports(2)
        link = link_proxy.Link(ip='127.0.0.1', target_port=target_port)
        async with contextlib.AsyncExitStack() as stack:
            server = await asyncio.start_server(
                _echo, '127.0.0.1', target_port
            )
            stack.callback(server.close)
            stack.callback((await link.listen(port)).close)
            opened = await asyncio.open_connection('127.0.0.1', port)
            assert await _returns(opened)
            link.harm(kind, delay_s=0.01, share=1.0, seed=1)
            new = await asyncio.open_connection('127.0.0.1', port)
            assert await _returns(opened) is open_returns
            assert await _returns(new) is new_returns
            link.harm(None, delay_s=0.0, share=1.0, seed=1)
            assert await _returns(opened) is later_returns
            for connection in (opened, new):
                connection[1].transport.abort()
            # The ends of the connections reach the proxy and the echo.
            await asyncio.sleep(WAIT_S)

    asyncio.run(run())


# Guards against entry hosts that stay at an older configuration after control
# hosts were replaced, one after the other.
def test_short_run_with_replacements_violates_nothing(tmp_path):
    soak = process_soak_regions.RegionSoak(seed=SEED, folder=tmp_path)
    assert plays.play(soak, seconds=SECONDS) == []
    assert soak.counts['replace'] > 0
    assert soak.versions.counts['judged'] > 0
    assert soak.seen.summary()['answered'] > 0
