"""Choose which source a host asks next."""

from collections.abc import Callable
import random

__all__ = ['SourceChoice']

FIRST_AGAIN_S = 4.0
LONGEST_AGAIN_S = 64.0


class SourceChoice:
    """Stay with a source while it is useful, and return to the best.

    A host on a lesser source tries the best again after ``FIRST_AGAIN_S``,
    and after twice as long each time that it fails, give or take a quarter so
    that hosts do not move together.
    """

    def __init__(
        self, *, sources: Callable[[], tuple[str, ...]], rng: random.Random
    ) -> None:
        self._sources = sources
        self._rng = rng
        self._names: tuple[str, ...] = ()
        self._place = 0
        self._best_at_s = 0.0
        self._again_s = FIRST_AGAIN_S

    def current(self, *, now_s: float) -> str | None:
        """Return the source to ask now, or None without any."""
        if not self._names:
            self._names = self._sources()
        if self._place > 0 and now_s >= self._best_at_s:
            self._start_over()
        return self._names[self._place] if self._names else None

    def succeeded(self) -> None:
        """Note that the present source was useful."""
        if self._place == 0:
            self._again_s = FIRST_AGAIN_S

    def failed(self, *, now_s: float) -> bool:
        """Go to the next source; True after the last one failed."""
        self._place += 1
        if self._place >= len(self._names):
            self._start_over()
            return True
        if self._place == 1:
            self._put_off_best(now_s)
            self._again_s = min(LONGEST_AGAIN_S, 2 * self._again_s)
        return False

    def stay_with(self, name: str, *, now_s: float) -> None:
        """Ask a source from now on, if it is still one."""
        if name in self._names:
            self._place = self._names.index(name)
            self._put_off_best(now_s)

    def _put_off_best(self, now_s: float) -> None:
        spread = self._rng.uniform(0.75, 1.25)
        self._best_at_s = now_s + self._again_s * spread

    def _start_over(self) -> None:
        self._names = self._sources()
        self._place = 0
