"""Follow one claimed operation through the ``operation`` chart.

The chart is read once into a table, since operations are too frequent for
an interpreter of charts.
"""

import functools

from skylarkpitch import charts
from skylarkpitch import errors

__all__ = ['OperationLife', 'transitions']


@functools.cache
def transitions() -> dict[tuple[str, str], str]:
    """Return the chart's target for each state and event."""
    return {
        (item.source, item.event): item.target
        for item in charts.load('operation').transitions
    }


class OperationLife:
    """Hold the state of one operation at its claimer."""

    def __init__(self) -> None:
        self.state = 'unclaimed'

    def take(self, *events: str) -> None:
        """Take events in turn.

        Raises ``InvariantError``, and changes nothing, when the chart does
        not allow one: a release after the request has left, or a second
        end.
        """
        state = self.state
        for event in events:
            if (state, event) not in transitions():
                raise errors.InvariantError(
                    f'an operation that is {state} cannot take {event!r}; '
                    'end each claim once, and release it only unsent'
                )
            state = transitions()[state, event]
        self.state = state
