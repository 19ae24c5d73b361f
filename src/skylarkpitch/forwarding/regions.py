"""Deal the requests of one region out to it and to the other regions.

The share that runs in the own region is granted by control and moves by at
most ``step_per_s``. Requests for one object go the same way, so that only
few upstreams have to remember it; requests without one are dealt out by
counting, not by chance.
"""

__all__ = ['AWAY', 'FURTHER', 'OWN', 'RegionShares']

OWN = 'own'
AWAY = 'away'
FURTHER = 'further'
# Part of the requests that may run elsewhere than planned, for want of room.
SPILL_SHARE = 0.03
MOST_SPILLED = 1.0


class RegionShares:
    """Where one service's requests run, as one entry host deals them."""

    def __init__(self, *, step_per_s: float, now_s: float) -> None:
        self._step_per_s = step_per_s
        self._places: frozenset[str] = frozenset()
        self._granted: float | None = None
        self._has_dealt = False
        self._spill = 0.0
        self._owed = 0.0
        self._at_s = now_s
        self.own_share = 1.0

    def set_places(self, places: frozenset[str]) -> None:
        """Know whether there are upstreams in the own region and away.

        When there are none any more in one, all goes to the other at once.
        """
        self._places = places

    def grant(self, own_share: float, *, now_s: float) -> None:
        """Move towards the share that control grants.

        A host that has dealt out nothing yet takes it at once, as the
        others of its region keep to it already.
        """
        if not self._has_dealt:
            self.own_share = own_share
        self._granted = own_share
        self._follow(now_s)

    def choose(self, *, key: float | None, now_s: float) -> str:
        """Return where a request goes; ``key`` is its object's, 0 to 1."""
        self._follow(now_s)
        self._has_dealt = True
        if len(self._places) < 2:
            return next(iter(self._places), OWN)
        if key is not None:
            return OWN if key < self.own_share else AWAY
        self._owed += self.own_share
        if self._owed >= 0.5:
            self._owed -= 1.0
            return OWN
        return AWAY

    def allow_spill(self) -> None:
        """Count a request, of which a small part may run elsewhere."""
        self._spill = min(MOST_SPILLED, self._spill + SPILL_SHARE)

    def take_spill(self) -> bool:
        """Tell whether one more request may run elsewhere, and count it."""
        if self._spill < 1.0:
            return False
        self._spill -= 1.0
        return True

    def _follow(self, now_s: float) -> None:
        step = self._step_per_s * max(0.0, now_s - self._at_s)
        self._at_s = now_s
        if self._granted is not None:
            gap = self._granted - self.own_share
            self.own_share += max(-step, min(step, gap))
