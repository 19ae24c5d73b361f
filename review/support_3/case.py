"""Run one case, and turn its result into an exit status."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import os
import pathlib
import sys
import tempfile
import traceback

from support_3 import deployment as deployments
from support_3 import record as records

__all__ = ['HELD', 'BROKEN', 'Context', 'run']

HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
MAX_RUN_S = 110.0


class Context:
    """What a case has: its record, a temporary folder, and the trouble."""

    def __init__(self, *, log: records.Record, folder: pathlib.Path) -> None:
        self.log = log
        self.folder = folder
        self.has_trouble = os.environ.get('TROUBLE', '1') != '0'


Play = Callable[[Context], Awaitable[bool]]


async def _bounded(play: Play, context: Context) -> bool:
    async with asyncio.timeout(MAX_RUN_S):
        return await play(context)


def run(folder: pathlib.Path, play: Play) -> None:
    """Run a case, which returns whether the rule was kept, and exit."""
    log = records.Record(folder)
    status = COULD_NOT_RUN
    try:
        with tempfile.TemporaryDirectory() as temporary:
            context = Context(log=log, folder=pathlib.Path(temporary))
            log.write(f'trouble: {context.has_trouble}')
            is_kept = asyncio.run(_bounded(play, context))
            status = HELD if is_kept else BROKEN
    except (deployments.Problem, TimeoutError, OSError, EOFError):
        log.write('could not run: ' + traceback.format_exc())
    log.write(f'exit status {status}')
    log.close()
    sys.exit(status)
