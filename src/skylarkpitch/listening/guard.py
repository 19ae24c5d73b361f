"""Close the connections of clients that a ``ConnectionTable`` names."""

import asyncio
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
# A timer that fires early finds nothing to close.
TIMER_SLACK_S = 0.01
# After a longer stall of the process, what has arrived is read first.
MAX_LATE_S = 0.25
READ_AFTER_STALL_S = 0.1

_log = structlog.get_logger(__name__)


class Connection(Protocol):
    """What the guard asks of a connection."""

    peer: str

    def give_up(self, state: connection_table.State) -> None:
        """Close the connection, which has been in a state for too long."""


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
        self._timer: asyncio.TimerHandle | None = None
        self._timer_at_s = float('inf')
        self._lines = line_budget.LineBudget(
            per_s=LINES_PER_S, burst=LINE_BURST
        )
        self._counts: dict[str, int] = {}

    @property
    def limits(self) -> connection_limits.ConnectionLimits:
        """Return the limits that are in force."""
        return self._limits

    @property
    def connections(self) -> int:
        """Return how many connections are open."""
        return len(self._table)

    def set_limits(self, limits: connection_limits.ConnectionLimits) -> None:
        """Set the limits.

        Time-outs hold for open connections too, sizes for new ones.
        """
        self._limits = limits
        self._table.set_limits(limits)
        self._set_timer()

    def counters(self) -> dict[str, float]:
        """Return the connections by state, and those closed by reason."""
        closed = {f'closed_{k}': v for k, v in self._counts.items()}
        return {**self._table.counts(), **closed}

    def opened(self, connection: Connection) -> None:
        """Add a connection, and close another one if there are too many."""
        now_s = self._clock()
        state = connection_table.State.NEW
        self._table.move(connection, state, now_s=now_s)
        closing = self._table.surplus(connection, now_s=now_s)
        if closing is not None:
            self._close(closing)
        self._check_in_time(state, now_s)

    def move(
        self, connection: Connection, state: connection_table.State
    ) -> None:
        """Record what a connection waits for now."""
        if self._table.state_of(connection) is None:
            return
        now_s = self._clock()
        self._table.move(connection, state, now_s=now_s)
        self._check_in_time(state, now_s)

    def state_of(
        self, connection: Connection
    ) -> connection_table.State | None:
        """Return the state of a connection, None after its end."""
        return self._table.state_of(connection)

    def hold(self, connection: Connection, held_bytes: int) -> None:
        """Record what is held for a connection; close some if too much."""
        state = self._table.state_of(connection)
        if state in (None, connection_table.State.CLOSING):
            return
        self._table.hold(connection, held_bytes)
        if self._table.pool.is_short:
            self._free_memory()
            self._check_in_time(state, self._clock())

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

    def _free_memory(self) -> None:
        now_s = self._clock()
        while (closing := self._table.memory_hog(now_s=now_s)) is not None:
            self._close(closing)

    def _check(self) -> None:
        self._timer = None
        now_s = self._clock()
        if now_s - self._timer_at_s > MAX_LATE_S:
            self._set_timer_at(now_s + READ_AFTER_STALL_S)
            return
        for closing in self._table.expired(now_s=now_s):
            self._close(closing)
        self._free_memory()
        self._set_timer()

    def _check_in_time(
        self, state: connection_table.State, now_s: float
    ) -> None:
        """Set the timer earlier if a connection of a state needs that."""
        timeout_s = self._table.timeout_s(state)
        if timeout_s is not None and now_s + timeout_s < self._timer_at_s:
            self._set_timer()

    def _set_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        self._timer_at_s = float('inf')
        at_s = self._table.next_check_s()
        if at_s is not None:
            self._set_timer_at(max(at_s, self._clock()))

    def _set_timer_at(self, at_s: float) -> None:
        self._timer_at_s = at_s
        self._timer = asyncio.get_running_loop().call_later(
            at_s - self._clock() + TIMER_SLACK_S, self._check
        )

    def _close(self, closing: connection_table.Closing) -> None:
        """Close a connection, which no longer counts as holding memory."""
        self._count(closing.reason)
        not_logged = self._lines.consume('given_up', now_s=self._clock())
        if not_logged is not None:
            _log.info(
                'connection_given_up',
                ports=self._name,
                peer=closing.connection.peer,
                reason=closing.reason,
                state=closing.state.value,
                age_s=round(closing.age_s, 2),
                connections=len(self._table),
                held_bytes=self._table.pool.held_bytes,
                not_logged=not_logged,
            )
        self._table.hold(closing.connection, 0)
        closing.connection.give_up(closing.state)

    def _count(self, reason: str) -> None:
        self._counts[reason] = self._counts.get(reason, 0) + 1
