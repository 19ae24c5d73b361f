"""Close the connections of clients that a ``ConnectionTable`` names."""

from collections.abc import Callable
import time
from typing import Protocol

import structlog

from skylarkpitch.listening import connection_table
from skylarkpitch.listening import limits as connection_limits
from skylarkpitch.observability import line_budget

__all__ = ['Connection', 'ConnectionGuard']

# Lines about clients that do not behave, however many there are of them.
LINES_PER_S = 5.0
LINE_BURST = 20.0

_log = structlog.get_logger(__name__)


class Connection(Protocol):
    """What the guard asks of a connection."""

    peer: str


class ConnectionGuard:
    """Connections of clients at one or more ports of a process.

    ``name`` says in logs which ports these are.
    """

    def __init__(
        self,
        *,
        name: str,
        max_connections: int,
        pool: connection_limits.MemoryPool,
        limits: connection_limits.ConnectionLimits,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._name = name
        self._clock = clock
        self._limits = limits
        self._table = connection_table.ConnectionTable(
            max_connections=max_connections, pool=pool, limits=limits
        )
        self._lines = line_budget.LineBudget(
            per_s=LINES_PER_S, burst=LINE_BURST
        )
        self._counts: dict[str, int] = {}

    @property
    def limits(self) -> connection_limits.ConnectionLimits:
        """Return the limits that are in force."""
        return self._limits

    def set_limits(self, limits: connection_limits.ConnectionLimits) -> None:
        """Set the limits, of new connections."""
        self._limits = limits

    def counters(self) -> dict[str, float]:
        """Return the connections by state, and those closed by reason."""
        closed = {f'closed_{k}': v for k, v in self._counts.items()}
        return {**self._table.counts(), **closed}

    def opened(self, connection: Connection) -> None:
        """Add a connection."""
        now_s = self._clock()
        state = connection_table.State.NEW
        self._table.move(connection, state, now_s=now_s)

    def move(
        self, connection: Connection, state: connection_table.State
    ) -> None:
        """Record what a connection waits for now."""
        if self._table.state_of(connection) is None:
            return
        now_s = self._clock()
        self._table.move(connection, state, now_s=now_s)

    def state_of(
        self, connection: Connection
    ) -> connection_table.State | None:
        """Return the state of a connection, None after its end."""
        return self._table.state_of(connection)

    def closed(self, connection: Connection) -> None:
        """Remove a connection that is closed."""
        self._table.remove(connection)

    def refused(
        self, connection: Connection, *, status: int, reason: str
    ) -> None:
        """Record that a request could not be read."""
        self._count('unreadable')
        not_logged = self._lines.consume('refused', now_s=self._clock())
        if not_logged is not None:
            _log.info(
                'request_unreadable',
                ports=self._name,
                peer=connection.peer,
                status=status,
                reason=reason,
                connections=len(self._table),
                not_logged=not_logged,
            )

    def _count(self, reason: str) -> None:
        self._counts[reason] = self._counts.get(reason, 0) + 1
