"""Choose which control hosts an entry host watches."""

from collections.abc import Iterable
import dataclasses

__all__ = ['Sources']

UNKNOWN_S = 0.05
AVOIDED_S = 1.0


@dataclasses.dataclass(slots=True)
class _Source:
    round_trip_s: float = UNKNOWN_S
    avoided_until_s: float = float('-inf')


class Sources:
    """Control hosts, nearest first, without those that failed lately."""

    def __init__(self) -> None:
        self._known: dict[str, _Source] = {}

    def learn(self, names: Iterable[str]) -> None:
        """Know these hosts and no others."""
        names = set(names)
        self._known = {
            name: self._known.get(name, _Source()) for name in sorted(names)
        }

    def answered(self, name: str, *, round_trip_s: float) -> None:
        """Note how far away a host is."""
        if name in self._known:
            self._known[name].round_trip_s = round_trip_s

    def failed(self, name: str, *, now_s: float) -> None:
        """Avoid a host for ``AVOIDED_S``."""
        if name in self._known:
            self._known[name].avoided_until_s = now_s + AVOIDED_S

    def best(self, *, now_s: float, taken: Iterable[str] = ()) -> str | None:
        """Return the host to ask: the nearest that is not avoided.

        A host that another watch has ``taken`` comes after the others, and
        one that is avoided last.
        """
        taken = set(taken)
        return min(
            self._known,
            key=lambda name: (
                self._known[name].avoided_until_s > now_s,
                name in taken,
                self._known[name].round_trip_s,
                name,
            ),
            default=None,
        )
