"""Choose which source a host asks next."""

from collections.abc import Callable
import random

__all__ = ['SourceChoice']

BEST_AGAIN_S = 30.0


class SourceChoice:
    """Stay with a source while it is useful, and return to the best.

    After ``BEST_AGAIN_S``, give or take a quarter so that hosts do not move
    together, a host on a lesser source tries the best again.
    """

    def __init__(
        self, *, sources: Callable[[], tuple[str, ...]], rng: random.Random
    ) -> None:
        self._sources = sources
        self._rng = rng
        self._names: tuple[str, ...] = ()
        self._place = 0
        self._best_at_s = 0.0

    def current(self, *, now_s: float) -> str | None:
        """Return the source to ask now, or None without any."""
        if not self._names:
            self._names = self._sources()
        if self._place > 0 and now_s >= self._best_at_s:
            self._start_over()
        return self._names[self._place] if self._names else None

    def failed(self, *, now_s: float) -> bool:
        """Go to the next source; True after the last one failed."""
        self._place += 1
        if self._place >= len(self._names):
            self._start_over()
            return True
        if self._place == 1:
            spread = self._rng.uniform(0.75, 1.25)
            self._best_at_s = now_s + BEST_AGAIN_S * spread
        return False

    def _start_over(self) -> None:
        self._names = self._sources()
        self._place = 0
