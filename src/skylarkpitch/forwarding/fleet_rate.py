"""Divide a rate of the fleet, like that of an upstream, among its entry hosts.

The part of one host can be far below one request a second. Hosts then take
turns: in each turn, as many hosts as the rate allows have one whole request
each, which they may send then or in some turns after it. Turns are counted by
the time of day, which all hosts agree on nearly enough: one that is a turn
off only changes places.
"""

import dataclasses
import functools
import math
import zlib

from skylarkpitch.fleet import host_parts

__all__ = ['FleetRate', 'RateBucket']

GOLDEN_RATIO = (math.sqrt(5) - 1) / 2
# Turns within the life of a token.
TURNS_PER_LIFE = 8


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class FleetRate:
    """Rate over all entry hosts, of requests or of retries.

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
        stride = _stride(total)
        places = range(
            self.part.position, self.part.position + self.part.weight
        )
        return sum(
            (place * stride + offset - first) % total < end - first
            for place in places
        )


@functools.lru_cache(maxsize=64)
def _stride(total: int) -> int:
    """Return the distance in the order of turns of places side by side.

    Multiples of the golden ratio lie evenly in a circle, so that a host of
    some weight has its requests in turns far apart. Without a common divisor
    each place has its own turn.
    """
    stride = max(1, round(total * GOLDEN_RATIO))
    while math.gcd(stride, total) > 1:
        stride += 1
    return stride


class RateBucket:
    """This host's tokens for one rate of what is called ``name``.

    A token of a turn may be used for ``token_life_s``, that is in its turn
    and in the next ones, so that a host which has no request in its turn need
    not lose it. After that it lapses, so that hosts which were idle do not
    all send several requests at once: in a time ``t``, all hosts together
    send at most what the rate allows in ``t`` and ``token_life_s``.
    """

    def __init__(
        self, name: str, *, token_life_s: float, now_s: float
    ) -> None:
        self._token_life_s = token_life_s
        self._turn_s = token_life_s / TURNS_PER_LIFE
        self._offset = zlib.crc32(name.encode())
        self.reset(now_s=now_s)
        self._first_turns = TURNS_PER_LIFE

    def reset(self, *, now_s: float) -> None:
        """Remove all tokens; those of earlier turns do not come back."""
        self._first_turns = 1
        self._tokens: float = 0.0
        self._refilled_s = now_s
        self._turn = -1
        self._tokens_of_turns = [0] * TURNS_PER_LIFE

    def has_token(
        self, rate: FleetRate, *, now_s: float, time_of_day_s: float
    ) -> bool:
        """Refill tokens; return whether the rate allows a request."""
        if rate.own_rate_per_s * self._token_life_s < 1.0:
            self._take_turns(rate, int(time_of_day_s / self._turn_s))
            return any(self._tokens_of_turns)
        self._tokens_of_turns = [0] * TURNS_PER_LIFE
        elapsed_s = max(0.0, now_s - self._refilled_s)
        self._refilled_s = now_s
        earned = rate.own_rate_per_s * elapsed_s
        self._tokens = min(1.0, self._tokens + earned)
        return self._tokens >= 1.0

    def _take_turns(self, rate: FleetRate, turn: int) -> None:
        """Add the tokens of turns that have begun; remove lapsed ones."""
        steps = turn - self._turn
        if -TURNS_PER_LIFE < steps <= 0:
            # A clock that was set back a little; these turns were taken.
            return
        self._tokens = 0.0
        count = (
            min(abs(steps), TURNS_PER_LIFE)
            if self._turn >= 0
            else self._first_turns
        )
        begun = range(turn - count + 1, turn + 1)
        self._turn = turn
        self._tokens_of_turns += [
            rate.requests_in_turn(
                number, turn_s=self._turn_s, offset=self._offset
            )
            for number in begun
        ]
        del self._tokens_of_turns[:-TURNS_PER_LIFE]

    def consume(self) -> None:
        """Use the token that lapses first."""
        for place, tokens in enumerate(self._tokens_of_turns):
            if tokens > 0:
                self._tokens_of_turns[place] -= 1
                return
        self._tokens -= 1.0
