"""Exponential backoff towards hosts that refused tickets."""

import dataclasses
import random

__all__ = ['HostBackoff']

INITIAL_BACKOFF_S = 0.02
MAX_BACKOFF_S = 0.5
MAX_COUNTED_REFUSALS = 10


@dataclasses.dataclass(slots=True)
class _Backoff:
    until_s: float = 0.0
    refusals: int = 0


class HostBackoff:
    """Exponential backoff with jitter for each service and host."""

    def __init__(self, *, rng: random.Random) -> None:
        self._rng = rng
        self._states: dict[tuple[str, str], _Backoff] = {}

    def is_backing_off(self, service: str, host: str, *, now_s: float) -> bool:
        """Return whether requests to a host are suspended now."""
        state = self._states.get((service, host))
        return state is not None and now_s < state.until_s

    def record_refusal(
        self,
        service: str,
        host: str,
        *,
        now_s: float,
        max_backoff_s: float = MAX_BACKOFF_S,
    ) -> None:
        """Suspend requests for twice as long as after the last refusal.

        The delay is ``max_backoff_s`` at most. Random jitter shortens it by
        up to half.
        """
        state = self._states.setdefault((service, host), _Backoff())
        backoff_s = min(max_backoff_s, INITIAL_BACKOFF_S * 2**state.refusals)
        state.until_s = now_s + backoff_s * self._rng.uniform(0.5, 1)
        state.refusals = min(state.refusals + 1, MAX_COUNTED_REFUSALS)

    def reset(self, service: str, host: str) -> None:
        """Reset the backoff of a host that issued tickets."""
        self._states.pop((service, host), None)
