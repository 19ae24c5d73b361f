"""Give up a voter that is gone before the cluster exists."""

from collections.abc import Collection

__all__ = ['SilentVoter']

# Longer than hosts stand still for, or start late by.
PATIENCE_S = 10.0
# The others need this time to see that a voter is not given up any more.
RETURN_S = 3.0
# Longest time between two rounds that counts: a host that stood still has not
# asked the others meanwhile.
MAX_ROUND_S = 1.5


class SilentVoter:
    """Decision of one host on the voter that it gives up, at most one.

    ``voters`` are the other voters. ``given_up`` is empty while there is none.
    """

    def __init__(self, *, voters: Collection[str], now_s: float) -> None:
        self._silent_s = dict.fromkeys(sorted(voters), 0.0)
        self._back_s = 0.0
        self._last_round_s = now_s
        self.given_up = ''

    def record_round(
        self,
        responded: Collection[str],
        *,
        emptied: Collection[str] = (),
        now_s: float,
    ) -> None:
        """Record which hosts responded to a round of introductions.

        ``emptied`` are those of them that have lost their disks.
        """
        round_s = min(now_s - self._last_round_s, MAX_ROUND_S)
        self._last_round_s = now_s
        for voter in self._silent_s:
            if voter in emptied:
                self._silent_s[voter] = PATIENCE_S
            elif voter in responded:
                self._silent_s[voter] = 0.0
            else:
                self._silent_s[voter] += round_s
        if not self.given_up:
            self._give_up()
            return
        self._back_s += round_s
        if self._silent_s[self.given_up] > 0:
            self._back_s = 0.0
        if self._back_s >= RETURN_S:
            self.given_up = ''

    def _give_up(self) -> None:
        voter = max(
            self._silent_s, key=lambda name: self._silent_s[name], default=''
        )
        if voter and self._silent_s[voter] >= PATIENCE_S:
            self.given_up = voter
            self._back_s = 0.0
