"""The operator: sends configurations and orders until they are accepted."""

import asyncio
import itertools

from support_3 import http

__all__ = ['configuration', 'order', 'put', 'wait_until']

KEY = 'tnfzs989anu6wsjnbanf'
HOST = 'jepu9.example'
PAUSE_S = 0.2


def configuration(
    *,
    version: int,
    kind: str = 'unsafe',
    timeout_ms: int,
    goal_ms: int,
    service: str = 'kiln-planner',
    attempts: int = 2,
) -> dict:
    """Return a configuration with one route, service and tenant."""
    return {
        'Version': f'{version:08x}',
        'Routes': {
            'r-1': {
                'Host': HOST,
                'PathPrefix': '/kiln/',
                'Kind': kind,
                'Timeout': f'{timeout_ms}ms',
                'Goal': f'{goal_ms}ms',
                'Priority': 1,
                'Service': service,
                'Attempts': attempts,
                'Public': False,
                'Sticky': False,
                'HomeRegions': [],
            }
        },
        'Services': {
            service: {
                'HealthPath': '/healthz',
                'MaxConns': 360,
                'Proto': 'h1',
                'Tls': False,
                'Cold': '3s',
                'ColdPerS': 8.2,
            }
        },
        'Limits': {
            'MaxHeaderBytes': 16384,
            'MaxBodyBytes': 67108864,
            'HeaderTimeout': '3000ms',
            'IdleTimeout': '15000ms',
        },
        'Tenants': {
            'yefi830': {
                'ApiKeys': [KEY],
                'Priority': 0,
                'RatePerS': 329,
                'Burst': 329,
                'HomeRegions': [],
            }
        },
    }


async def order(
    controls: list[tuple[str, int]],
    target: str,
    document: object = None,
    *,
    within_s: float = 20.0,
) -> bool:
    """Send an order to one host after the other until it is accepted."""
    async with asyncio.timeout(within_s):
        for address in itertools.cycle(controls):
            answer = await http.call(address, 'POST', target, document)
            if answer is not None and answer.status < 300:
                return True
            if answer is not None and answer.status in (400, 409, 413):
                return False
            await asyncio.sleep(PAUSE_S)
    return False


async def put(controls: list[tuple[str, int]], document: dict) -> bool:
    """Send a configuration until it is accepted."""
    return await order(controls, '/rpc?call=config.put', document)


async def _answers_200(address: tuple[str, int], target: str) -> bool:
    answer = await http.call(address, 'GET', target)
    return answer is not None and answer.status == 200


async def wait_until(
    address: tuple[str, int], target: str, *, within_s: float = 25.0
) -> bool:
    """Ask an address until it answers 200."""
    try:
        async with asyncio.timeout(within_s):
            while not await _answers_200(address, target):
                await asyncio.sleep(PAUSE_S)
    except TimeoutError:
        return False
    return True
