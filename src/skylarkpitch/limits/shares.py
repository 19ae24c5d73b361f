"""Arithmetic on shares of an organisation's rate and burst.

Amounts are integers in micro-tokens, so that sums of shares are exact.
"""

from collections.abc import Mapping
import dataclasses

__all__ = ['MICROTOKENS_PER_TOKEN', 'ZERO', 'Share', 'from_tokens', 'max_min']

MICROTOKENS_PER_TOKEN = 1_000_000


@dataclasses.dataclass(frozen=True, slots=True)
class Share:
    """Part of a rate, in micro-tokens a second, and of a burst."""

    rate: int = 0
    burst: int = 0

    def __add__(self, other: 'Share') -> 'Share':
        return Share(self.rate + other.rate, self.burst + other.burst)

    def __sub__(self, other: 'Share') -> 'Share':
        return Share(self.rate - other.rate, self.burst - other.burst)

    def __bool__(self) -> bool:
        return bool(self.rate or self.burst)

    def at_most(self, other: 'Share') -> 'Share':
        """Return the minimum of each component."""
        return Share(min(self.rate, other.rate), min(self.burst, other.burst))

    def at_least(self, other: 'Share') -> 'Share':
        """Return the maximum of each component."""
        return Share(max(self.rate, other.rate), max(self.burst, other.burst))

    def scaled(self, numerator: int, denominator: int) -> 'Share':
        """Return a fraction, rounded down.

        Returns ``ZERO`` for a denominator of zero or below.
        """
        if denominator <= 0:
            return ZERO
        return Share(
            self.rate * numerator // denominator,
            self.burst * numerator // denominator,
        )

    def within(self, other: 'Share') -> bool:
        """Return whether no component exceeds the other's."""
        return self.rate <= other.rate and self.burst <= other.burst


ZERO = Share()


def from_tokens(*, rate_per_s: float, burst: float) -> Share:
    """Return the share for amounts in whole tokens, rounded down."""
    return Share(
        int(rate_per_s * MICROTOKENS_PER_TOKEN),
        int(burst * MICROTOKENS_PER_TOKEN),
    )


def max_min(amount: int, demands: Mapping[str, int]) -> dict[str, int]:
    """Divide ``amount`` by max-min fairness.

    No name is granted more than its demand. A negative amount counts as zero.
    """
    granted = {}
    remaining = max(0, amount)
    ordered = sorted(demands.items(), key=lambda item: (item[1], item[0]))
    for position, (name, demand) in enumerate(ordered):
        granted[name] = min(demand, remaining // (len(ordered) - position))
        remaining -= granted[name]
    return granted
