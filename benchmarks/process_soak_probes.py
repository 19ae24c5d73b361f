"""Requests that show which configuration an entry host decides by."""

import asyncio
import contextlib
import itertools
import random
import time

import aiohttp

from benchmarks import process_soak_parts as parts
from benchmarks import process_soak_versions as process_versions

__all__ = ['configuration', 'probe_forever']

PAUSE_S = (0.02, 0.1)
OLDER = 10
TIMEOUT = aiohttp.ClientTimeout(total=3.0)
_numbers = itertools.count()


def _key(version: int) -> str:
    return f'key-of-version-{version}'


def configuration(version: int) -> dict:
    """Return a configuration with a route and a key that only it has."""
    content = parts.configuration(version)
    route = {
        **content['routes'][0],
        'name': f'only-{version}',
        'path_prefix': f'/only-{version}/',
    }
    kitchens = content['organisations'][0]
    keys = [*kitchens['api_keys'], _key(version)]
    return {
        **content,
        'routes': [*content['routes'], route],
        'organisations': [{**kitchens, 'api_keys': keys}],
    }


def _older_version(
    versions: process_versions.Versions, name: str, rng: random.Random
) -> int:
    """Return a version that was dropped, often the last that was served."""
    newest = versions.newest
    candidates = (
        newest - 1,
        versions.last_served(name),
        newest - rng.randint(1, OLDER),
    )
    return max(1, rng.choice(candidates))


async def _status(
    session: aiohttp.ClientSession, url: str, key: str
) -> int | None:
    headers = {
        'Host': 'pans.example',
        'Request-Key': key,
        'Request-Id': f'p{next(_numbers)}',
    }
    with contextlib.suppress(aiohttp.ClientError, TimeoutError):
        async with session.get(url, headers=headers) as response:
            await response.read()
            return response.status
    return None


async def probe_forever(
    *,
    name: str,
    address: str,
    versions: process_versions.Versions,
    rng: random.Random,
) -> None:
    """Ask an entry host for the newest version and for a dropped one."""
    async with aiohttp.ClientSession(timeout=TIMEOUT) as session:
        while True:
            await asyncio.sleep(rng.uniform(*PAUSE_S))
            version = versions.newest
            if rng.random() < 0.5:
                version = _older_version(versions, name, rng)
            asked = rng.choice(('route', 'key'))
            path, key = f'only-{version}', parts.KEY
            if asked == 'key':
                path, key = 'pans', _key(version)
            life, sent_s = versions.life(name), time.monotonic()
            status = await _status(session, f'http://{address}/{path}/x', key)
            if status is None:
                continue
            answer = process_versions.Answer(
                host=name,
                life=life,
                asked=asked,
                version=version,
                sent_s=sent_s,
                ended_s=time.monotonic(),
                status=status,
            )
            versions.record(answer)
