"""Select the source from which a host requests the state next."""

from collections.abc import Callable
import random

__all__ = ['SourceSelector']

MIN_RETURN_DELAY_S = 4.0
MAX_RETURN_DELAY_S = 64.0


class SourceSelector:
    """Use one source until it fails, and return to the best one later.

    ``sources()`` returns the names of the sources, best first. A host that
    uses another source tries the best one again after ``MIN_RETURN_DELAY_S``,
    and after twice as long each time that the best one fails, up to
    ``MAX_RETURN_DELAY_S``. Each delay varies at random by up to a quarter so
    that hosts don't change together.
    """

    def __init__(
        self, *, sources: Callable[[], tuple[str, ...]], rng: random.Random
    ) -> None:
        self._sources = sources
        self._rng = rng
        self._names: tuple[str, ...] = ()
        self._position = 0
        self._return_at_s = 0.0
        self._return_delay_s = MIN_RETURN_DELAY_S

    def current(self, *, now_s: float) -> str | None:
        """Return the source to use now, or None without any."""
        if not self._names:
            self._names = self._sources()
        if self._position > 0 and now_s >= self._return_at_s:
            self._reset()
        return self._names[self._position] if self._names else None

    def record_success(self) -> None:
        """Record that the current source was useful."""
        if self._position == 0:
            self._return_delay_s = MIN_RETURN_DELAY_S

    def record_failure(self, *, now_s: float) -> bool:
        """Select the next source; return True after the last one failed."""
        self._position += 1
        if self._position >= len(self._names):
            self._reset()
            return True
        if self._position == 1:
            self._schedule_return(now_s)
            self._return_delay_s = min(
                MAX_RETURN_DELAY_S, 2 * self._return_delay_s
            )
        return False

    def select(self, name: str, *, now_s: float) -> None:
        """Use a source from now on, if it is still one."""
        if name in self._names:
            self._position = self._names.index(name)
            self._schedule_return(now_s)

    def _schedule_return(self, now_s: float) -> None:
        jitter = self._rng.uniform(0.75, 1.25)
        self._return_at_s = now_s + self._return_delay_s * jitter

    def _reset(self) -> None:
        self._names = self._sources()
        self._position = 0
