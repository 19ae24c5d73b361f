"""Leave a host that had nothing to lend alone for a while."""

import dataclasses
import random

__all__ = ['HoldOffs']

FIRST_S = 0.02
LONGEST_S = 0.5
STEPS_MAX = 10


@dataclasses.dataclass(slots=True)
class _HoldOff:
    until_s: float = 0.0
    step: int = 0


class HoldOffs:
    """Exponential hold-offs with jitter, by service and host."""

    def __init__(self, *, rng: random.Random) -> None:
        self._rng = rng
        self._states: dict[tuple[str, str], _HoldOff] = {}

    def is_held(self, service: str, host: str, *, now_s: float) -> bool:
        """Tell whether a host is not to be asked now."""
        state = self._states.get((service, host))
        return state is not None and now_s < state.until_s

    def refused(
        self,
        service: str,
        host: str,
        *,
        now_s: float,
        at_most_s: float = LONGEST_S,
    ) -> None:
        """Hold a host off, twice as long as the last time."""
        state = self._states.setdefault((service, host), _HoldOff())
        longest_s = min(at_most_s, FIRST_S * 2**state.step)
        state.until_s = now_s + longest_s * self._rng.uniform(0.5, 1)
        state.step = min(state.step + 1, STEPS_MAX)

    def lent(self, service: str, host: str) -> None:
        """Forget the refusals of a host."""
        self._states.pop((service, host), None)
