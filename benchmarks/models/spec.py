"""Describe a specification and the broken variants that must fail."""

import dataclasses

import minicheck

__all__ = ['Spec']


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Spec:
    """A correct protocol, and broken variants that violate an invariant.

    ``broken`` consists of pairs of a name and a variant. ``small`` is the
    same protocol with a smaller state space, which ``make check`` explores.
    """

    name: str
    protocol: minicheck.Protocol
    broken: tuple[tuple[str, minicheck.Protocol], ...]
    small: minicheck.Protocol
