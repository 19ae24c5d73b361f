"""Select the control hosts that an entry host watches."""

from collections.abc import Callable
from collections.abc import Iterable
import dataclasses

from skylarkpitch.peers import rendezvous

__all__ = ['Sources']

# Assumed until the round trip to a control host has been measured.
DEFAULT_ROUND_TRIP_S = 0.05
# The backoff doubles with each consecutive failure. Otherwise the backoff of
# one silent host would end while another one is waited for.
FIRST_BACKOFF_S = 1.0
MAX_BACKOFF_S = 8.0


@dataclasses.dataclass(slots=True)
class _Source:
    order: rendezvous.Ranked
    round_trip_s: float = DEFAULT_ROUND_TRIP_S
    backoff_until_s: float = float('-inf')
    failures: int = 0


class Sources:
    """Control hosts ranked by recent failures, distance and round trip.

    ``distance`` returns how far a control host is, the lowest for the
    nearest. Hosts at the same distance are ranked by their hash with
    ``host``, so that entry hosts do not all watch the same one.
    """

    def __init__(
        self,
        *,
        host: str = '',
        distance: Callable[[str], int] = lambda name: 0,
    ) -> None:
        self._host = host
        self._distance = distance
        self._sources: dict[str, _Source] = {}

    def replace(self, names: Iterable[str]) -> None:
        """Replace the set of control hosts; retain what is measured."""
        names = set(names)
        self._sources = {
            name: self._sources.get(name)
            or _Source(order=rendezvous.ranked(self._host, name))
            for name in sorted(names)
        }

    def add(self, names: Iterable[str]) -> None:
        """Add control hosts; retain the others."""
        self.replace({*self._sources, *names})

    def record_round_trip(self, name: str, *, round_trip_s: float) -> None:
        """Record the round-trip time to a control host."""
        if name in self._sources:
            self._sources[name].round_trip_s = round_trip_s

    def record_failure(self, name: str, *, now_s: float) -> None:
        """Rank a control host last until its backoff ends."""
        source = self._sources.get(name)
        if source is None:
            return
        source.failures += 1
        backoff_s = FIRST_BACKOFF_S * 2 ** min(source.failures - 1, 10)
        source.backoff_until_s = now_s + min(MAX_BACKOFF_S, backoff_s)

    def record_success(self, name: str) -> None:
        """Record that a control host responded, with a quorum."""
        if name in self._sources:
            self._sources[name].failures = 0

    def best(self, *, now_s: float, in_use: Iterable[str] = ()) -> str | None:
        """Return the control host to use next, or None if there is none.

        Hosts in backoff rank last, hosts ``in_use`` by another watch rank
        after the others, then the nearer before the farther.
        """
        in_use = set(in_use)
        return min(
            self._sources,
            key=lambda name: (
                self._sources[name].backoff_until_s > now_s,
                name in in_use,
                self._distance(name),
                self._sources[name].round_trip_s,
                self._sources[name].order,
            ),
            default=None,
        )
