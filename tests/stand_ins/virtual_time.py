"""Event loop whose time advances to the next timer without waiting."""

import asyncio

MIN_DELAY_S = 1e-9
# Time that each step takes. Without it, a task that waits for a rest of time
# which is lost to rounding would find the same rest again, for ever.
STEP_S = 1e-11


class VirtualLoop(asyncio.SelectorEventLoop):
    """Advance ``time()`` only when no callback is ready."""

    def __init__(self):
        super().__init__()
        self._virtual_s = 1000.0

    def time(self):
        return self._virtual_s

    def call_later(self, delay, callback, *args, context=None):
        # A shorter delay could be lost to rounding, and a task that waits
        # for the rest of a time would wait for ever.
        if delay > 0:
            delay = max(delay, MIN_DELAY_S)
        return super().call_later(delay, callback, *args, context=context)

    def _run_once(self):
        self._virtual_s += STEP_S
        if not self._ready and self._scheduled:
            due_s = self._scheduled[0]._when
            self._virtual_s = max(self._virtual_s, due_s)
        super()._run_once()


def run(coroutine):
    """Run a coroutine to completion in virtual time."""
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(coroutine)
