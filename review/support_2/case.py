"""Run one case and turn its outcome into an exit status."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import os
import pathlib
import sys

from support_2 import fleet as fleets
from support_2 import http
from support_2 import operator
from support_2 import record as records

__all__ = ['HELD', 'NOT_RUN', 'NotRunError', 'main', 'wait_ready']

HELD, BROKEN, NOT_RUN = 0, 1, 2
MAX_CASE_S = 110.0
READY_TIMEOUT_S = 30.0

Play = Callable[[records.Record, bool], Awaitable[list[str]]]


class NotRunError(Exception):
    """The case could not run, so that it says nothing."""


async def wait_ready(
    fleet: fleets.Fleet, steering: operator.Operator, configuration: dict
) -> None:
    """Send the first configuration and wait until all fronts are ready."""
    answer = await steering.put(configuration, timeout_s=READY_TIMEOUT_S)
    if answer is None or answer.status != 200:
        raise NotRunError('the first configuration was not acknowledged')
    for machine in fleet.fronts:
        address = fleet.ready_address(machine)
        data = http.request_bytes('GET', '/readyz', {'Host': address})
        for _attempt in range(round(READY_TIMEOUT_S / 0.2)):
            answer = await http.request(address, data, timeout_s=1.0)
            if answer is not None and answer.status == 200:
                break
            await asyncio.sleep(0.2)
        else:
            raise NotRunError(f'{machine.name} did not become ready')


def main(play: Play, folder: pathlib.Path) -> None:
    """Run a case; exit with 1 if a rule was broken, 0 if it held, else 2.

    ``play`` returns the breaks that it has seen. With ``TROUBLE=0`` in the
    environment it plays the same without the disruption.
    """
    record = records.Record(folder)
    with_trouble = os.environ.get('TROUBLE', '1') != '0'
    try:
        breaks = asyncio.run(_limited(play, record, with_trouble))
    except (NotRunError, TimeoutError, OSError) as error:
        record.add('not_run', why=repr(error))
        print(f'not run: {error!r}')
        sys.exit(NOT_RUN)
    finally:
        record.add('end')
    for line in breaks:
        record.add('broken', what=line)
        print(f'broken: {line}')
    record.close()
    sys.exit(BROKEN if breaks else HELD)


async def _limited(
    play: Play, record: records.Record, with_trouble: bool
) -> list[str]:
    async with asyncio.timeout(MAX_CASE_S):
        return await play(record, with_trouble)
