"""Event loop whose time advances to the next timer without waiting."""

import asyncio


class VirtualLoop(asyncio.SelectorEventLoop):
    """Advance ``time()`` only when no callback is ready."""

    def __init__(self):
        super().__init__()
        self._virtual_s = 1000.0

    def time(self):
        return self._virtual_s

    def _run_once(self):
        if not self._ready and self._scheduled:
            due_s = self._scheduled[0]._when
            self._virtual_s = max(self._virtual_s, due_s)
        super()._run_once()


def run(coroutine):
    """Run a coroutine to completion in virtual time."""
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(coroutine)
