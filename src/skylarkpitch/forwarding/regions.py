"""Divide the requests of callers between the local and remote regions.

Control grants the share that runs in the local region. The share in use moves
towards it by at most ``step_per_s`` per second. Requests with the same
affinity key go to the same region, so that only few upstreams have to cache
its data. Requests without a key are divided by a counter rather than at
random.
"""

__all__ = ['LOCAL', 'OTHER_REMOTE', 'REMOTE', 'RegionShares']

# Region groups: the local region, the planned remote region of a request, and
# the other remote regions.
LOCAL = 'own'
REMOTE = 'away'
OTHER_REMOTE = 'further'
# Fraction of the requests that may spill over: run in another region group
# than planned, because the planned one has no capacity.
SPILL_SHARE = 0.03
MAX_SPILL_TOKENS = 1.0


class RegionShares:
    """Division of one service's requests among regions, on one entry host.

    ``local_share`` is the fraction that runs in the local region now. Spill
    tokens limit how many requests run in another region group than planned.
    """

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
        """Set which of ``LOCAL`` and ``REMOTE`` have upstreams.

        While only one of them has any, all requests go there at once.
        """
        self._region_groups = region_groups

    def apply_grant(self, local_share: float, *, now_s: float) -> None:
        """Move towards the local share that control grants.

        A host that has not routed a request yet adopts the share at once,
        since the other hosts of its region already use it.
        """
        if not self._has_routed:
            self.local_share = local_share
        self._granted = local_share
        self._move_share(now_s)

    def choose(self, *, affinity_fraction: float | None, now_s: float) -> str:
        """Return the region group of a request, ``LOCAL`` or ``REMOTE``.

        ``affinity_fraction`` is the hash of its affinity key, 0 to 1; None
        without a key.
        """
        self._move_share(now_s)
        self._has_routed = True
        if len(self._region_groups) < 2:
            return next(iter(self._region_groups), LOCAL)
        if affinity_fraction is not None:
            return LOCAL if affinity_fraction < self.local_share else REMOTE
        self._local_credit += self.local_share
        if self._local_credit >= 0.5:
            self._local_credit -= 1.0
            return LOCAL
        return REMOTE

    def refill_spill_tokens(self) -> None:
        """Add ``SPILL_SHARE`` of a spill token, for one request."""
        self._spill_tokens = min(
            MAX_SPILL_TOKENS, self._spill_tokens + SPILL_SHARE
        )

    def has_spill_token(self) -> bool:
        """Return whether a request may spill over now."""
        return self._spill_tokens >= 1.0

    def consume_spill_token(self) -> bool:
        """Consume a spill token; return False if there is none."""
        if not self.has_spill_token():
            return False
        self._spill_tokens -= 1.0
        return True

    def _move_share(self, now_s: float) -> None:
        step = self._step_per_s * max(0.0, now_s - self._moved_at_s)
        self._moved_at_s = now_s
        if self._granted is not None:
            difference = self._granted - self.local_share
            self.local_share += max(-step, min(step, difference))
