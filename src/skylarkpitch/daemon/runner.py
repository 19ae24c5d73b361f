"""Run the root service of a process until a signal stops it."""

import asyncio
from collections.abc import Callable
from typing import Any

import mode
from mode import loop

from skylarkpitch import errors

__all__ = ['Process', 'run']

# Time for what was written last to leave the process.
LAST_WRITES_S = 0.1


class Process(mode.Service):
    """Root service, which starts and stops all others of the process.

    ``failure`` is the error of a service that could not start.
    """

    def __init__(self, **options: Any) -> None:
        self.failure: errors.SkylarkError | None = None
        super().__init__(**options)

    async def start(self) -> None:
        """Start every service; store the error of one that cannot start."""
        try:
            await super().start()
        except errors.SkylarkError as error:
            self.failure = error
            raise


class _Worker(mode.Worker):
    """Worker whose process ends as soon as its services have stopped.

    The one of ``mode`` waits for another second, by a name that is not
    public, so that its version is fixed in the requirements.
    """

    async def _sentinel_task(self) -> None:
        await asyncio.sleep(LAST_WRITES_S)


def run(create_process: Callable[[], Process]) -> None:
    """Create a process on a new event loop and run it until it stops.

    Raises the ``SkylarkError`` of a service that could not start.
    """
    loop.use('uvloop')
    asyncio.set_event_loop(asyncio.new_event_loop())
    process = create_process()
    worker = _Worker(
        process,
        quiet=True,
        override_logging=False,
        redirect_stdouts=False,
        loop=asyncio.get_event_loop(),
    )
    try:
        worker.execute_from_commandline()
    except SystemExit:
        if process.failure is None:
            raise
    if process.failure is not None:
        raise process.failure
