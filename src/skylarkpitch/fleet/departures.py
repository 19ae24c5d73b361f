"""Execute the departures and the removals of upstreams.

A departure may come without the start time of its incarnation, from one whose
heartbeats have not arrived yet, or be executed late, when the next incarnation
has started. Its caller tells which: while it waits, no later incarnation has
started, so that those recorded or started before are the caller's or earlier.

The traces by which late heartbeats are ignored are forgotten after a while,
but for those of an incarnation that is known to have left.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable

import structlog

from skylarkpitch.fleet import commands
from skylarkpitch.fleet import control_requests
from skylarkpitch.fleet import liveness
from skylarkpitch.fleet import model
from skylarkpitch.fleet import order_guard
from skylarkpitch.fleet import state as fleet_state
from skylarkpitch.fleet import waiting_callers

__all__ = ['Departures']

# Late heartbeats arrive seconds after their upstream has left or has become
# silent. A trace that lasted longer could only affect a restart with a clock
# that is behind.
TRACE_LIFETIME_S = 30.0

_log = structlog.get_logger(__name__)


class Departures:
    """Departures that the leader of the control group executes.

    ``submit`` commits a command. ``time_of_day_ms`` returns the time of day in
    Unix ms, which is compared with the start times of upstreams.
    """

    def __init__(
        self,
        *,
        state: fleet_state.FleetState,
        submit: Callable[[commands.Command], Awaitable[object]],
        guard: order_guard.OrderGuard,
        time_of_day_ms: Callable[[], int],
    ) -> None:
        self._state = state
        self._submit = submit
        self._guard = guard
        self._time_of_day_ms = time_of_day_ms
        self._marks = liveness.Liveness(timeout_s=TRACE_LIFETIME_S)
        self._removed = liveness.Liveness(timeout_s=TRACE_LIFETIME_S)

    def reset(self) -> None:
        """Let the lifetime of all traces begin anew, as on a new leader."""
        self._marks.reset()
        self._removed.reset()

    async def leave(
        self,
        request: control_requests.Leave,
        call: waiting_callers.CallReference | None,
    ) -> None:
        """Commit the departure of an upstream.

        Raises ``CallerLeftError`` if it may be of an incarnation that has
        ended, and the errors of ``submit``.
        """
        name = request.upstream_id
        recorded = self._state.upstreams.get(name)
        recorded_ms = None if recorded is None else recorded.born_ms
        now_ms = self._time_of_day_ms()
        _log.info(
            'departure_received',
            upstream=name,
            born_ms=request.born_ms,
            recorded_born_ms=recorded_ms,
            now_ms=now_ms,
        )
        if request.born_ms is not None:
            await self._remove_departed(name, request.born_ms)
            return
        # Both times are from before the caller was seen to wait.
        await self._guard.admit(call, matter=f'upstream {name}')
        changes = [self._mark(name, now_ms)]
        if recorded_ms is not None:
            changes.append(self._remove_departed(name, recorded_ms))
        await asyncio.gather(*changes)

    async def remove_silent(
        self, upstream: model.Upstream, *, last_sequence: int
    ) -> None:
        """Commit the removal of an upstream whose heartbeats have stopped.

        ``last_sequence`` is that of the last one, which may not be recorded,
        since it only repeated what was.
        """
        await self._submit(
            commands.RemoveUpstream(
                upstream_id=upstream.upstream_id,
                born_ms=upstream.born_ms,
                left=False,
                sequence=last_sequence,
            )
        )
        _log.info(
            'upstream_removed',
            upstream=upstream.upstream_id,
            left=False,
            born_ms=upstream.born_ms,
            sequence=last_sequence,
            state=str(upstream.state),
        )

    def forget_expired(self, *, now_s: float) -> list[Awaitable[None]]:
        """Return the commits that delete the traces which have expired."""
        table = self._state.upstream_table
        marks = self._marks.expired(table.departed_unrecorded, now_s=now_s)
        removed = self._removed.expired(table.removed, now_s=now_s)
        return [
            *(self._forget_mark(name) for name in marks),
            *(self._forget_removed(name) for name in removed),
        ]

    async def _remove_departed(self, name: str, born_ms: int) -> None:
        await self._submit(
            commands.RemoveUpstream(
                upstream_id=name, born_ms=born_ms, left=True
            )
        )
        _log.info(
            'upstream_removed', upstream=name, left=True, born_ms=born_ms
        )

    async def _mark(self, name: str, before_ms: int) -> None:
        await self._submit(
            commands.MarkDeparture(upstream_id=name, before_ms=before_ms)
        )
        _log.info('departure_marked', upstream=name, before_ms=before_ms)

    async def _forget_mark(self, name: str) -> None:
        before_ms = self._state.upstream_table.departed_unrecorded.get(name)
        if before_ms is not None:
            await self._submit(
                commands.ForgetDeparture(upstream_id=name, before_ms=before_ms)
            )

    async def _forget_removed(self, name: str) -> None:
        revision = self._state.upstream_table.removed.get(name)
        if revision is not None:
            born_ms, sequence = revision
            await self._submit(
                commands.ForgetRemoved(
                    upstream_id=name, born_ms=born_ms, sequence=sequence
                )
            )
