"""State charts as data files, and their interpreter.

Charts are YAML files of the sismic library. They describe life cycles, which
change a few times a minute at most; no chart runs once a request.
"""

import functools
import importlib.resources

from sismic import interpreter
from sismic import io
from sismic import model

__all__ = ['Chart', 'load']


@functools.cache
def load(name: str) -> model.Statechart:
    """Return the chart in ``name.yaml`` beside this module.

    Raises ``FileNotFoundError`` for a chart that does not exist.
    """
    file = importlib.resources.files(__name__).joinpath(f'{name}.yaml')
    return io.import_from_yaml(text=file.read_text())


class Chart:
    """Run one instance of a chart."""

    def __init__(self, *, name: str) -> None:
        self._interpreter = interpreter.Interpreter(load(name))
        self._run()

    @property
    def state(self) -> str:
        """Return the name of the innermost active state."""
        return self._state

    def send(self, event: str) -> str:
        """Take an event and return the state after it.

        An event that the active state does not name changes nothing.
        """
        self._interpreter.queue(event)
        self._run()
        return self._state

    def _run(self) -> None:
        self._interpreter.execute()
        # Kept, since the path of a request asks for it.
        self._state = self._interpreter.configuration[-1]
