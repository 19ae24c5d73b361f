"""Load state charts from YAML files and run them.

The files are in the format of the sismic library. They describe life cycles
that change state a few times a minute at most; no chart runs once per
request.
"""

import functools
import importlib.resources

from sismic import interpreter
from sismic import io
from sismic import model

__all__ = ['Chart', 'load']


@functools.cache
def load(name: str) -> model.Statechart:
    """Return the chart of the file ``name.yaml`` in this package.

    Raises ``FileNotFoundError`` if the file does not exist.
    """
    file = importlib.resources.files(__name__).joinpath(f'{name}.yaml')
    return io.import_from_yaml(text=file.read_text())


class Chart:
    """One running instance of a state chart."""

    def __init__(self, *, name: str) -> None:
        self._interpreter = interpreter.Interpreter(load(name))
        self._run()

    @property
    def state(self) -> str:
        """Return the name of the innermost active state."""
        return self._state

    def send(self, event: str) -> str:
        """Process an event and return the resulting state.

        An event without a transition from the active state has no effect.
        """
        self._interpreter.queue(event)
        self._run()
        return self._state

    def _run(self) -> None:
        self._interpreter.execute()
        # Cached, since the request handler reads it for each request.
        self._state = self._interpreter.configuration[-1]
