"""Count the connections of clients, by what they wait for."""

from collections.abc import Hashable
import enum

from skylarkpitch.listening import limits as connection_limits

__all__ = ['ConnectionTable', 'State']


class State(enum.StrEnum):
    """What a connection waits for.

    ``NEW`` has not had a request, ``HEAD`` has a part of one, ``IDLE`` has
    had some, ``RUNNING`` has one that is handled, and ``CLOSING`` has been
    closed.
    """

    NEW = 'new'
    HEAD = 'head'
    IDLE = 'idle'
    RUNNING = 'running'
    CLOSING = 'closing'


class ConnectionTable:
    """Connections of a process at one or more ports.

    ``max_connections`` counts all of them. ``pool`` is what the process may
    hold for its clients, of which each connection has a part.
    """

    def __init__(
        self,
        *,
        max_connections: int,
        pool: connection_limits.MemoryPool,
        limits: connection_limits.ConnectionLimits,
    ) -> None:
        self.pool = pool
        self._max_connections = max_connections
        # Connections by state, each with the time since when it is in it; a
        # dictionary keeps the order of insertion, so the oldest is first.
        self._since_s: dict[State, dict[Hashable, float]] = {
            state: {} for state in State
        }
        self._states: dict[Hashable, State] = {}

    def __len__(self) -> int:
        """Return how many connections there are."""
        return len(self._states)

    def state_of(self, connection: Hashable) -> State | None:
        """Return the state of a connection, None if it is not known."""
        return self._states.get(connection)

    def move(
        self, connection: Hashable, state: State, *, now_s: float
    ) -> None:
        """Set the state of a connection, which is a new one if not known."""
        old = self._states.get(connection)
        if old is state:
            return
        if old is not None:
            del self._since_s[old][connection]
        self._states[connection] = state
        self._since_s[state][connection] = now_s

    def remove(self, connection: Hashable) -> None:
        """Forget a connection that has closed."""
        state = self._states.pop(connection, None)
        if state is not None:
            del self._since_s[state][connection]

    def counts(self) -> dict[str, int]:
        """Return the number of connections in each state."""
        return {
            f'connections_{state.value}': len(since_s)
            for state, since_s in self._since_s.items()
        }
