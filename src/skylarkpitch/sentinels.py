"""Define the sentinel for a missing value, which states its reason.

An :class:`Absent` is falsy, so that ``if not response`` detects it, and
contains the reason for log lines and refusals.
"""

import dataclasses

__all__ = ['Absent', 'is_absent']


@dataclasses.dataclass(frozen=True, slots=True)
class Absent:
    """Missing value: a stable ``reason`` and an optional ``detail``."""

    reason: str
    detail: str = ''

    def __bool__(self) -> bool:
        return False

    def __str__(self) -> str:
        if not self.detail:
            return self.reason
        return f'{self.reason}: {self.detail}'


def is_absent(value: object) -> bool:
    """Return whether ``value`` is an :class:`Absent`."""
    return isinstance(value, Absent)
