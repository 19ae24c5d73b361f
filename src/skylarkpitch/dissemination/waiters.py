"""Let tasks wait until something changes."""

import asyncio
from collections.abc import Callable

__all__ = ['Waiters', 'first_true']


MAX_WAITERS = 500
MAX_WAIT_S = 10.0


class Waiters:
    """Tasks that check a condition again after each change."""

    def __init__(self) -> None:
        self._event = asyncio.Event()
        self.waiting = 0

    def wake(self) -> None:
        """Make every waiting task check its condition."""
        self._event.set()
        self._event = asyncio.Event()

    @property
    def max_wait_s(self) -> float:
        """Return how many seconds one more task may wait.

        It is 0.0 with ``MAX_WAITERS`` tasks, so that held requests leave
        capacity for the other messages of a host.
        """
        return MAX_WAIT_S if self.waiting < MAX_WAITERS else 0.0

    async def wait_for(
        self, condition: Callable[[], bool], *, timeout_s: float
    ) -> bool:
        """Return True once the condition holds, False after the timeout."""
        loop = asyncio.get_running_loop()
        ends_at_s = loop.time() + timeout_s
        self.waiting += 1
        try:
            while not condition():
                remaining_s = ends_at_s - loop.time()
                if remaining_s <= 0 or not await self._woken(remaining_s):
                    return condition()
            return True
        finally:
            self.waiting -= 1

    async def _woken(self, timeout_s: float) -> bool:
        try:
            async with asyncio.timeout(timeout_s):
                await self._event.wait()
        except TimeoutError:
            return False
        return True


async def first_true(
    pending: set[asyncio.Task[bool]],
) -> asyncio.Task[bool] | None:
    """Return the first task that ends with True, or None."""
    while pending:
        done, pending = await asyncio.wait(
            pending, return_when=asyncio.FIRST_COMPLETED
        )
        for task in done:
            if task.result():
                return task
    return None
