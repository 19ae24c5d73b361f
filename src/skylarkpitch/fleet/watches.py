"""Answer the watches of entry hosts with the changes of the fleet state.

Every change of the state concerns every entry host. Changes that follow each
other within ``GATHER_S`` are therefore sent in one response.
"""

import asyncio
from collections.abc import Callable
import time

from skylarkpitch.consensus import service as consensus
from skylarkpitch.fleet import state as fleet_state
from skylarkpitch.messages import fleet as messages

__all__ = ['Watches']

# Time from a change to the responses that contain it.
GATHER_S = 0.1


class Watches:
    """Watches of one control host.

    ``control_hosts`` returns the members of the control group. ``idle``
    counts the watches that ended without a change.
    """

    def __init__(
        self,
        *,
        log: consensus.ReplicatedLog,
        state: fleet_state.FleetState,
        control_hosts: Callable[[], tuple[str, ...]],
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._replicated_log = log
        self._state = state
        self._control_hosts = control_hosts
        self._clock = clock
        self._changed = asyncio.Event()
        self._gathering: asyncio.TimerHandle | None = None
        self.idle = 0

    def notify_applied(self) -> None:
        """Wake the watches soon; the state has changed."""
        if self._gathering is None:
            loop = asyncio.get_running_loop()
            self._gathering = loop.call_later(GATHER_S, self._wake)

    def _wake(self) -> None:
        self._gathering = None
        self._changed.set()
        self._changed = asyncio.Event()

    async def handle(
        self, sender: str, request: messages.WatchRequest
    ) -> messages.WatchResponse:
        """Return the changes since an index, once there are any."""
        if self._has_to_wait(request):
            try:
                async with asyncio.timeout(request.wait_s):
                    await self._changed.wait()
            except TimeoutError:
                # No change within wait_s: the response has the same index.
                self.idle += 1
        return self._response(request)

    def _has_to_wait(self, request: messages.WatchRequest) -> bool:
        if request.wait_s <= 0:
            return False
        if request.cluster != self._replicated_log.cluster:
            return False
        if request.index >= self._state.index:
            return True
        return request.index > 0 and self._gathering is not None

    def _response(
        self, request: messages.WatchRequest
    ) -> messages.WatchResponse:
        status = self._replicated_log.status()
        now_s = self._clock()
        parts = self._state.parts
        whole = (
            request.cluster != self._replicated_log.cluster
            or request.index < parts.floor_version
            or request.index == 0
        )
        rows = parts.rows() if whole else parts.rows_since(request.index, {})
        if whole:
            rows = tuple(row for row in rows if row[2] is not None)
        return messages.WatchResponse(
            cluster=self._replicated_log.cluster,
            index=self._state.index,
            whole=whole,
            heard_age_s=self._replicated_log.quorum_contact_age_s(now_s=now_s),
            state_age_s=self._replicated_log.state_age_s(now_s=now_s),
            rows=fleet_state.shared_rows(rows),
            control_hosts=self._control_hosts(),
            leader=status.leader or '',
            applied_index=status.applied_index,
            leader_commit_index=status.leader_commit_index,
        )
