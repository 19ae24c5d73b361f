"""Divide the request rate of an upstream among all entry hosts.

The part of one host can be far below one request a second. Hosts then take
turns: in each turn, as many hosts as the rate allows have one whole request
each. Turns are counted by the time of day, which all hosts
agree on nearly enough: one that is a turn off only changes places.
"""

import dataclasses
import math
import zlib

from skylarkpitch.fleet import host_parts

__all__ = ['FleetRate', 'RateBucket']


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class FleetRate:
    """Request rate of an upstream over all entry hosts.

    ``part`` is what this host has of it; None, for a host that is not
    recorded yet, is nothing. A host that is cut off keeps to the part that
    it knows.
    """

    rate_per_s: float
    part: host_parts.HostPart | None

    @property
    def own_rate_per_s(self) -> float:
        """Return this host's part of the rate."""
        if self.part is None:
            return 0.0
        return self.rate_per_s * self.part.weight / self.part.total_weight

    def requests_in_turn(
        self, number: int, *, turn_s: float, offset: int
    ) -> int:
        """Return how many requests this host may send in a turn.

        ``offset`` differs between upstreams, so that the same hosts do not
        have the first turns of all of them.
        """
        if self.part is None:
            return 0
        total = self.part.total_weight
        per_turn = self.rate_per_s * turn_s
        first = math.floor(number * per_turn)
        end = math.floor((number + 1) * per_turn)
        own_first = (self.part.position + offset - first) % total
        return sum(
            (own_first + place) % total < end - first
            for place in range(self.part.weight)
        )


class RateBucket:
    """This host's tokens for one rate of the upstream ``upstream_id``.

    Turns last ``turn_s``. In a longer turn a host is likelier to have a
    request, but all hosts may use two turns at the moment between them.

    Unused tokens lapse, so that hosts which were idle do not all send several
    requests at once.
    """

    def __init__(
        self, upstream_id: str, *, turn_s: float, now_s: float
    ) -> None:
        self._turn_s = turn_s
        self._offset = zlib.crc32(upstream_id.encode())
        self.reset(now_s=now_s)

    def reset(self, *, now_s: float) -> None:
        """Remove the token."""
        self._tokens: float = 0.0
        self._refilled_s = now_s
        self._turn = -1

    def has_token(
        self, rate: FleetRate, *, now_s: float, time_of_day_s: float
    ) -> bool:
        """Refill tokens; return whether the rate allows a request."""
        if rate.own_rate_per_s * self._turn_s < 1.0:
            self._take_turn(rate, int(time_of_day_s / self._turn_s))
            return self._tokens >= 1.0
        elapsed_s = max(0.0, now_s - self._refilled_s)
        self._refilled_s = now_s
        earned = rate.own_rate_per_s * elapsed_s
        self._tokens = min(1.0, self._tokens + earned)
        return self._tokens >= 1.0

    def _take_turn(self, rate: FleetRate, turn: int) -> None:
        """Set the token of the current turn; those of earlier ones lapse."""
        if turn == self._turn:
            return
        self._turn = turn
        self._tokens = rate.requests_in_turn(
            turn, turn_s=self._turn_s, offset=self._offset
        )

    def consume(self) -> None:
        """Count a request against the rate."""
        self._tokens -= 1.0
