"""Define answers that stand for "no value", each with its reason.

An :class:`Absent` is falsy, so ``if not answer`` reads naturally, and it
carries the reason that a log line or a refusal needs.
"""

import dataclasses

__all__ = ['Absent', 'is_absent']


@dataclasses.dataclass(frozen=True, slots=True)
class Absent:
    """Stand for a value that is not there, with the reason why."""

    reason: str
    detail: str = ''

    def __bool__(self) -> bool:
        return False

    def __str__(self) -> str:
        if not self.detail:
            return self.reason
        return f'{self.reason}: {self.detail}'


def is_absent(value: object) -> bool:
    """Tell whether ``value`` is an :class:`Absent`."""
    return isinstance(value, Absent)
