"""Move work between regions no faster than the cap on shift allows.

Requests run in the own region or away from it. The share of each follows
where they would best go, but moves by at most ``step_per_s``. Requests for
one object go the same way, so that only few upstreams have to remember it;
requests without one are dealt out by counting, not by chance.
"""

from collections.abc import Mapping

__all__ = ['AWAY', 'OWN', 'RegionShares', 'first_own_share']

OWN = 'own'
AWAY = 'away'
WISH_MEMORY_S = 0.6
LEAST_ELAPSED_S = 0.001
OWN_ROOM_FACTOR = 1.5


def first_own_share(slots: Mapping[str, int], *, own_region: str) -> float:
    """Return the own region's share to begin with, from all slots.

    Every region is taken to be asked for as much as the others; the own
    one keeps ``OWN_ROOM_FACTOR`` times what its slots then bear.
    """
    total = sum(slots.values())
    own = slots.get(own_region, 0)
    if total == own:
        return 1.0
    return min(1.0, OWN_ROOM_FACTOR * own * len(slots) / total)


class RegionShares:
    """Where one service's requests run, as one entry host deals them."""

    def __init__(self, *, step_per_s: float, now_s: float) -> None:
        self._step_per_s = step_per_s
        self._places: frozenset[str] = frozenset()
        self._wish = 1.0
        self._owed = 0.0
        self._at_s = now_s
        self.own_share = 1.0

    def set_places(
        self, places: frozenset[str], *, first_own_share: float
    ) -> None:
        """Know whether there are upstreams in the own region and away.

        When there are none any more in one, all goes to the other at once.
        """
        if not self._places and places:
            self.own_share = self._wish = first_own_share
        self._places = places

    def choose(self, wish: str, *, key: float | None, now_s: float) -> str:
        """Return where a request goes that would best go to ``wish``.

        ``key`` is that of its object, from 0 to 1.
        """
        elapsed_s = max(0.0, now_s - self._at_s)
        self._at_s = now_s
        self._follow(1.0 if wish == OWN else 0.0, elapsed_s)
        if len(self._places) < 2:
            return next(iter(self._places), OWN)
        if key is not None:
            return OWN if key < self.own_share else AWAY
        self._owed += self.own_share
        if self._owed >= 0.5:
            self._owed -= 1.0
            return OWN
        return AWAY

    def _follow(self, target: float, elapsed_s: float) -> None:
        part = min(1.0, max(elapsed_s, LEAST_ELAPSED_S) / WISH_MEMORY_S)
        self._wish += part * (target - self._wish)
        step = self._step_per_s * elapsed_s
        gap = self._wish - self.own_share
        self.own_share += max(-step, min(step, gap))
