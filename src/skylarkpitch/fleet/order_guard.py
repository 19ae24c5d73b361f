"""Let the leader execute an order only while the caller of it waits.

The leader asks the host that the caller is connected to. As the answer takes
time, it counts only if no other order on the same matter was let through
meanwhile, and if this host has led all the time: orders are committed in the
sequence in which they were let through.
"""

from collections.abc import Callable
import time

import structlog

from skylarkpitch import errors
from skylarkpitch.fleet import waiting_callers
from skylarkpitch.messages import fleet as messages
from skylarkpitch.peers import network
from skylarkpitch import sentinels

__all__ = ['OrderGuard']

QUERY_TIMEOUT_S = 0.5
MAX_QUERIES = 3
MS_PER_S = 1000

_log = structlog.get_logger(__name__)


class OrderGuard:
    """Admission of orders on a control host.

    ``current_term`` returns the term of the replicated log. ``clock`` must
    count the time during which this process did not run.
    """

    def __init__(
        self,
        *,
        peers: network.Peers,
        current_term: Callable[[], int],
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._peers = peers
        self._current_term = current_term
        self._clock = clock
        self._admitted: dict[str, int] = {}
        self.callers = waiting_callers.WaitingCallers()

    def start(self) -> None:
        """Answer the queries of other hosts about callers of this one."""
        self._peers.handle(messages.CallerQuery, self._on_query)

    async def admit(
        self, call: waiting_callers.CallReference | None, *, matter: str
    ) -> None:
        """Return once an order on a matter may be submitted.

        It has to be submitted before the next await. ``call`` is None for
        hosts of an earlier release, whose callers cannot be asked about.
        Raises ``CallerLeftError``.
        """
        started_s = self._clock()
        if call is None:
            return
        for _attempt in range(MAX_QUERIES):
            state = self._state_of(matter)
            is_waiting = await self._is_waiting(call)
            if not is_waiting:
                self._refuse(call, matter, started_s, why=str(is_waiting))
            if state == self._state_of(matter):
                self._admitted[matter] = self._admitted.get(matter, 0) + 1
                return
        self._refuse(call, matter, started_s, why='other_orders')

    def _state_of(self, matter: str) -> tuple[int, int]:
        return self._current_term(), self._admitted.get(matter, 0)

    async def _is_waiting(
        self, call: waiting_callers.CallReference
    ) -> bool | sentinels.Absent:
        if call.host == self._peers.directory.local_host.name:
            return self.callers.is_waiting(call.call_id, now_s=self._clock())
        response = await self._peers.request(
            call.host,
            messages.CallerQuery(call_id=call.call_id),
            timeout_s=QUERY_TIMEOUT_S,
        )
        if sentinels.is_absent(response):
            return response
        return response.is_waiting

    async def _on_query(
        self, sender: str, message: messages.CallerQuery
    ) -> messages.CallerState:
        is_waiting = self.callers.is_waiting(
            message.call_id, now_s=self._clock()
        )
        return messages.CallerState(is_waiting=is_waiting)

    def _refuse(
        self,
        call: waiting_callers.CallReference,
        matter: str,
        started_s: float,
        *,
        why: str,
    ) -> None:
        _log.info(
            'order_not_admitted',
            matter=matter,
            called_host=call.host,
            call=call.call_id,
            is_waiting=why,
            took_ms=round((self._clock() - started_s) * MS_PER_S),
        )
        raise errors.CallerLeftError(
            'the caller may have given up; send the order again'
        )
