"""Note when something was last heard of, and what has fallen silent."""

from collections.abc import Iterable
import dataclasses

__all__ = ['Liveness']

STALL_S = 0.8


@dataclasses.dataclass(slots=True)
class _Heard:
    order: tuple[int, int]
    at_s: float


class Liveness:
    """Last word of each of a set of names, by the clock of one process.

    ``silent_s`` is for how long a name may say nothing. Time in which this
    process did not run, by its own regular calls of :meth:`silent`, counts
    for nobody.
    """

    def __init__(self, *, silent_s: float) -> None:
        self._silent_s = silent_s
        self._heard: dict[str, _Heard] = {}
        self._looked_s: float | None = None

    def heard(
        self, name: str, *, order: tuple[int, int], now_s: float
    ) -> None:
        """Note that a name was heard of, unless it said more before."""
        held = self._heard.get(name)
        if held is None or order >= held.order:
            self._heard[name] = _Heard(order, now_s)

    def is_late(self, name: str, *, order: tuple[int, int]) -> bool:
        """Tell whether a name has said something after this already."""
        held = self._heard.get(name)
        return held is not None and order < held.order

    def forget_all(self) -> None:
        """Begin anew, as when this process starts to lead."""
        self._heard.clear()
        self._looked_s = None

    def silent(self, names: Iterable[str], *, now_s: float) -> list[str]:
        """Return the names that have said nothing for too long.

        A name that is asked about for the first time counts from now on.
        """
        names = set(names)
        stalled_s = 0.0
        if self._looked_s is not None:
            gap_s = now_s - self._looked_s
            stalled_s = gap_s if gap_s > STALL_S else 0.0
        self._looked_s = now_s
        for name in set(self._heard) - names:
            del self._heard[name]
        found = []
        for name in sorted(names):
            held = self._heard.setdefault(name, _Heard((-1, -1), now_s))
            held.at_s = min(now_s, held.at_s + stalled_s)
            if now_s - held.at_s > self._silent_s:
                found.append(name)
        return found
