"""Run a case: start a deployment, judge what was seen, clean up."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import os
import pathlib
import signal
import sys
import tempfile

from review.support import deployment as deployments
from review.support import record as records

EXIT_HELD = 0
EXIT_BROKEN = 1
EXIT_NOT_RUN = 2
TIMEOUT_S = 105

# Returns whether the rule was broken; the flag says whether to disturb.
Case = Callable[
    [deployments.Deployment, records.Record, bool], Awaitable[bool]
]


class NotRunError(Exception):
    """The case could not run, so that it says nothing about the rule."""


async def _play(
    case: Case,
    deployment: deployments.Deployment,
    record: records.Record,
    *,
    trouble: bool,
) -> int:
    playing = asyncio.current_task()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, playing.cancel)
    try:
        async with asyncio.timeout(TIMEOUT_S):
            deployment.start()
            broken = await case(deployment, record, trouble)
    except asyncio.CancelledError:
        record.write('not_run', why='stopped by a signal')
        return EXIT_NOT_RUN
    except Exception as error:
        # Whatever went wrong here says nothing about the rule.
        record.write('not_run', why=repr(error))
        return EXIT_NOT_RUN
    finally:
        deployment.stop()
        await _end_tasks()
    record.write('verdict', broken=broken, trouble=trouble)
    return EXIT_BROKEN if broken else EXIT_HELD


async def _end_tasks() -> None:
    """End the stand-ins, so that nothing outlives the event loop."""
    others = asyncio.all_tasks() - {asyncio.current_task()}
    for task in others:
        task.cancel()
    await asyncio.gather(*others, return_exceptions=True)
    await asyncio.sleep(0.1)


def main(case: Case, *, file: str, entries: int = 2) -> None:
    """Run a case beside whose ``file`` the record is written, and exit."""
    path = pathlib.Path(file).parent / 'record.txt'
    record = records.Record(path=path)
    trouble = os.environ.get('TROUBLE', '1') != '0'
    with tempfile.TemporaryDirectory() as folder:
        deployment = deployments.Deployment(
            folder=pathlib.Path(folder), entries=entries
        )
        status = asyncio.run(_play(case, deployment, record, trouble=trouble))
    record.close()
    print(path.read_text().splitlines()[-1])
    sys.exit(status)
