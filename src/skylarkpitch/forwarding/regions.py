"""Deal the requests of one region out to it and to the other regions.

The share that runs in the own region is granted by control and moves by at
most ``step_per_s``. Requests for one object go the same way, so that only
few upstreams have to remember it; requests without one are dealt out by
counting, not by chance.
"""

__all__ = ['REMOTE', 'OTHER_REMOTE', 'LOCAL', 'RegionShares']

LOCAL = 'own'
REMOTE = 'away'
OTHER_REMOTE = 'further'
# Part of the requests that may run elsewhere than planned, for want of room.
SPILL_SHARE = 0.03
MAX_SPILL_TOKENS = 1.0


class RegionShares:
    """Where one service's requests run, as one entry host deals them."""

    def __init__(self, *, step_per_s: float, now_s: float) -> None:
        self._step_per_s = step_per_s
        self._region_groups: frozenset[str] = frozenset()
        self._granted: float | None = None
        self._has_routed = False
        self._spill_tokens = 0.0
        self._local_credit = 0.0
        self._moved_at_s = now_s
        self.local_share = 1.0

    def set_region_groups(self, region_groups: frozenset[str]) -> None:
        """Know whether there are upstreams in the own region and away.

        When there are none any more in one, all goes to the other at once.
        """
        self._region_groups = region_groups

    def apply_grant(self, local_share: float, *, now_s: float) -> None:
        """Move towards the share that control grants.

        A host that has dealt out nothing yet takes it at once, as the
        others of its region keep to it already.
        """
        if not self._has_routed:
            self.local_share = local_share
        self._granted = local_share
        self._move_share(now_s)

    def choose(self, *, key: float | None, now_s: float) -> str:
        """Return where a request goes; ``key`` is its object's, 0 to 1."""
        self._move_share(now_s)
        self._has_routed = True
        if len(self._region_groups) < 2:
            return next(iter(self._region_groups), LOCAL)
        if key is not None:
            return LOCAL if key < self.local_share else REMOTE
        self._local_credit += self.local_share
        if self._local_credit >= 0.5:
            self._local_credit -= 1.0
            return LOCAL
        return REMOTE

    def refill_spill_tokens(self) -> None:
        """Count a request, of which a small part may run elsewhere."""
        self._spill_tokens = min(
            MAX_SPILL_TOKENS, self._spill_tokens + SPILL_SHARE
        )

    def consume_spill_token(self) -> bool:
        """Tell whether one more request may run elsewhere, and count it."""
        if self._spill_tokens < 1.0:
            return False
        self._spill_tokens -= 1.0
        return True

    def _move_share(self, now_s: float) -> None:
        step = self._step_per_s * max(0.0, now_s - self._moved_at_s)
        self._moved_at_s = now_s
        if self._granted is not None:
            difference = self._granted - self.local_share
            self.local_share += max(-step, min(step, difference))
