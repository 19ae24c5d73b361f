"""Run coroutines on a loop whose time jumps to the next timer."""

import asyncio
import selectors

__all__ = ['run']


class _JumpingSelector(selectors.DefaultSelector):
    """Take each wait for done at once, and count it as time passed."""

    def __init__(self):
        super().__init__()
        self.now_s = 1000.0

    def select(self, timeout=None):
        ready = super().select(0)
        if not ready and timeout is None:
            raise RuntimeError('every task waits and no timer is set')
        if not ready and timeout > 0:
            self.now_s += timeout
        return ready


class _Loop(asyncio.SelectorEventLoop):
    def __init__(self):
        self._jumping = _JumpingSelector()
        super().__init__(self._jumping)

    def time(self):
        return self._jumping.now_s


def run(coroutine):
    """Run a coroutine to its end in virtual time and return its result."""
    loop = _Loop()
    asyncio.set_event_loop(loop)
    try:
        return loop.run_until_complete(coroutine)
    finally:
        asyncio.set_event_loop(None)
        loop.close()
