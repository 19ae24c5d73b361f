"""Run a process of services until it is told to stop."""

import asyncio
from collections.abc import Callable
from typing import Any

import mode
from mode import loop

from skylarkpitch import errors

__all__ = ['Process', 'run']


class Process(mode.Service):
    """A service that holds all others of its process."""

    def __init__(self, **options: Any) -> None:
        self.failure: errors.SkylarkError | None = None
        super().__init__(**options)

    async def start(self) -> None:
        """Start every part, and keep the error of one that cannot start."""
        try:
            await super().start()
        except errors.SkylarkError as error:
            self.failure = error
            raise


def run(make: Callable[[], Process]) -> None:
    """Make a process on a loop of its own and run it to its end.

    Raises the ``SkylarkError`` of a part that could not start.
    """
    loop.use('uvloop')
    asyncio.set_event_loop(asyncio.new_event_loop())
    process = make()
    worker = mode.Worker(
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
