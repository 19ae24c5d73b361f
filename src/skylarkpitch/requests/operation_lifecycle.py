"""State of one claimed operation, checked against a statechart.

The transitions of ``charts/operation.yaml`` are read once into a table,
since operations are too frequent for the chart interpreter.
"""

import functools

from skylarkpitch import charts
from skylarkpitch import errors

__all__ = ['OperationLifecycle', 'transitions']


@functools.cache
def transitions() -> dict[tuple[str, str], str]:
    """Return the target state for each pair of state and event."""
    return {
        (item.source, item.event): item.target
        for item in charts.load('operation').transitions
    }


class OperationLifecycle:
    """State of one operation at the host that claimed it."""

    def __init__(self) -> None:
        self.state = 'unclaimed'

    def apply(self, *events: str) -> None:
        """Apply events in order.

        Raises ``InvariantError`` without any change of state if the chart
        does not allow one of them: a release after the request was sent, or
        a second end of the operation.
        """
        state = self.state
        for event in events:
            if (state, event) not in transitions():
                raise errors.InvariantError(
                    f'operation in state {state} does not allow {event!r}; '
                    'end each claim once, and release it only if nothing '
                    'was sent'
                )
            state = transitions()[state, event]
        self.state = state
