"""Describe one specification and the variants that must fail."""

import dataclasses

import minicheck

__all__ = ['Spec']


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Spec:
    """A protocol that holds, and broken variants that the check must catch.

    ``small`` is the same protocol at a bound that is quick enough for
    ``make check``.
    """

    name: str
    protocol: minicheck.Protocol
    broken: tuple[tuple[str, minicheck.Protocol], ...]
    small: minicheck.Protocol
