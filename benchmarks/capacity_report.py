"""One measurement with its extrapolation to the full fleet size."""

import dataclasses

__all__ = ['Measurement']


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Measurement:
    """A measured value and the value that it implies at full size.

    ``budget`` is the limit of ``full_size``, in the same unit.
    """

    name: str
    value: float
    unit: str
    full_size: float | None = None
    full_size_unit: str = ''
    budget: float | None = None

    @property
    def is_met(self) -> bool | None:
        """Return whether the budget is met, or None without a budget."""
        if self.budget is None or self.full_size is None:
            return None
        return self.full_size <= self.budget

    def report(self) -> dict:
        """Return the measurement as a JSON object."""
        return {
            'value': _rounded(self.value),
            'unit': self.unit,
            'full_size': _rounded(self.full_size),
            'full_size_unit': self.full_size_unit,
            'budget': self.budget,
            'met': self.is_met,
        }

    def row(self) -> str:
        """Return the measurement as a row of the printed table."""
        result = {True: 'met', False: 'NOT MET', None: ''}[self.is_met]
        full = _rounded(self.full_size)
        return (
            f'{self.name:<34}{_rounded(self.value):>12} {self.unit:<18}'
            f'{"" if full is None else full:>12} {self.full_size_unit:<14}'
            f'{"" if self.budget is None else self.budget:>8} {result}'
        )


def _rounded(value: float | None) -> float | None:
    if value is None:
        return None
    return float(f'{value:.4g}')
