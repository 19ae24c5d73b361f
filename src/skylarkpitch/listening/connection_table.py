"""Decide which connections of clients stay open.

Every connection is in one state at a time. Those that wait too long in a
state expire. When there are too many, or when they hold too much memory,
those are closed first that no ordinary client would leave as they are. One
whose request runs is never closed.
"""

from collections.abc import Hashable
from collections.abc import Iterator
import dataclasses
import enum

from skylarkpitch.listening import limits as connection_limits

__all__ = ['Closing', 'ConnectionTable', 'State']

# A client that is not slow lets an answer wait for less than this.
MIN_BLOCKED_S = 0.5
# How long a connection may take to close, and at least has for its last
# answer.
CLOSING_TIMEOUT_S = 30.0
MIN_CLOSING_S = 1.0


class State(enum.StrEnum):
    """What a connection waits for.

    ``NEW`` has not had a request, ``HEAD`` has a part of one, ``IDLE`` has
    had some, ``RUNNING`` has one that is handled, ``BLOCKED`` does not take
    its answer, and ``CLOSING`` has been closed.
    """

    NEW = 'new'
    HEAD = 'head'
    IDLE = 'idle'
    RUNNING = 'running'
    BLOCKED = 'blocked'
    CLOSING = 'closing'


# In which order connections make room for others, by what they lack.
_ORDER_OF_COUNT = (
    State.CLOSING,
    State.NEW,
    State.HEAD,
    State.IDLE,
    State.BLOCKED,
)
_ORDER_OF_MEMORY = (
    State.CLOSING,
    State.BLOCKED,
    State.HEAD,
    State.NEW,
    State.IDLE,
)
_MIN_AGE_S = {State.BLOCKED: MIN_BLOCKED_S, State.CLOSING: MIN_CLOSING_S}


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Closing:
    """A connection that should be closed, its state and its age there."""

    connection: Hashable
    state: State
    reason: str
    age_s: float


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
        self.set_limits(limits)
        self._max_connections = max_connections
        # Connections by state, each with the time since when it is in it; a
        # dictionary keeps the order of insertion, so the oldest is first.
        self._since_s: dict[State, dict[Hashable, float]] = {
            state: {} for state in State
        }
        self._states: dict[Hashable, State] = {}
        self._held_bytes: dict[Hashable, int] = {}

    def __len__(self) -> int:
        """Return how many connections there are."""
        return len(self._states)

    def set_limits(self, limits: connection_limits.ConnectionLimits) -> None:
        """Set the time-outs of the states, also for what is in them."""
        self._timeouts_s = {
            State.NEW: limits.idle_timeout_s,
            State.HEAD: limits.header_timeout_s,
            State.IDLE: limits.idle_timeout_s,
            State.BLOCKED: limits.delivery_timeout_s,
            State.CLOSING: CLOSING_TIMEOUT_S,
        }

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

    def hold(self, connection: Hashable, held_bytes: int) -> None:
        """Set how many bytes are held for a connection."""
        self.pool.add(held_bytes - self._held_bytes.get(connection, 0))
        self._held_bytes[connection] = held_bytes

    def remove(self, connection: Hashable) -> None:
        """Forget a connection that has closed."""
        state = self._states.pop(connection, None)
        if state is not None:
            del self._since_s[state][connection]
        self.pool.add(-self._held_bytes.pop(connection, 0))

    def surplus(self, newest: Hashable, *, now_s: float) -> Closing | None:
        """Return what to close now that a new connection has been made.

        It is the new one itself if nothing else can make room.
        """
        if len(self._states) <= self._max_connections:
            return None
        for found in self._oldest(_ORDER_OF_COUNT, now_s=now_s):
            if found.connection is not newest:
                return dataclasses.replace(found, reason='too_many')
        return Closing(
            connection=newest,
            state=State.NEW,
            reason='too_many_running',
            age_s=0.0,
        )

    def memory_hog(self, *, now_s: float) -> Closing | None:
        """Return what to close while more memory is held than there is."""
        if not self.pool.is_short:
            return None
        for found in self._oldest(_ORDER_OF_MEMORY, now_s=now_s):
            return dataclasses.replace(found, reason='no_memory')
        return None

    def expired(self, *, now_s: float) -> list[Closing]:
        """Return the connections that have waited for too long."""
        return [
            found
            for state, timeout_s in self._timeouts_s.items()
            for found in self._older_than(state, timeout_s, now_s=now_s)
        ]

    def timeout_s(self, state: State) -> float | None:
        """Return how long a connection may be in a state, None if for ever.

        While memory is short, it is for as long as it may not be closed.
        """
        if self.pool.is_short and state is State.BLOCKED:
            return MIN_BLOCKED_S
        return self._timeouts_s.get(state)

    def next_check_s(self) -> float | None:
        """Return when the next connection may be closed, None without any."""
        ends_s = [
            next(iter(since_s.values())) + timeout_s
            for state, since_s in self._since_s.items()
            if since_s and (timeout_s := self.timeout_s(state)) is not None
        ]
        return min(ends_s, default=None)

    def counts(self) -> dict[str, int]:
        """Return the number of connections in each state."""
        return {
            f'connections_{state.value}': len(since_s)
            for state, since_s in self._since_s.items()
        }

    def _oldest(
        self, states: tuple[State, ...], *, now_s: float
    ) -> Iterator[Closing]:
        """Yield the oldest connection of each state that may be closed."""
        for state in states:
            for connection, since_s in self._since_s[state].items():
                age_s = now_s - since_s
                if age_s >= _MIN_AGE_S.get(state, 0.0):
                    yield Closing(
                        connection=connection,
                        state=state,
                        reason='',
                        age_s=age_s,
                    )
                break

    def _older_than(
        self, state: State, timeout_s: float, *, now_s: float
    ) -> Iterator[Closing]:
        for connection, since_s in self._since_s[state].items():
            if now_s - since_s < timeout_s:
                return
            yield Closing(
                connection=connection,
                state=state,
                reason=f'{state.value}_too_long',
                age_s=now_s - since_s,
            )
