"""Queued requests of calls for slots, and their results."""

import asyncio
import dataclasses

from skylarkpitch import ports
from skylarkpitch import sentinels
from skylarkpitch.steering import demand as demands

__all__ = [
    'SlotRequest',
    'is_cross_region',
    'is_exempt_from_ramp',
    'is_local',
    'refuse_evicted',
    'refuse_timed_out',
    'release',
]


@dataclasses.dataclass(slots=True, eq=False)
class SlotRequest:
    """Request for a slot for one call that this host received.

    ``exclude`` names the upstreams that failed the call. The result of
    ``future`` is the slot or the refusal. ``is_cross_region`` is True for a
    call whose caller is in a remote region.
    """

    body_bytes: int
    deadline_s: float
    exclude: frozenset[str]
    future: asyncio.Future
    is_cross_region: bool


def refuse_timed_out(future: asyncio.Future) -> None:
    """Refuse a call for which no slot became free in time."""
    if not future.done():
        future.set_result(
            sentinels.Absent('no_room', 'none came free in time')
        )


def is_cross_region(item: SlotRequest | demands.RemoteCall) -> bool:
    """Return whether the caller of a call is in a remote region."""
    return isinstance(item, SlotRequest) and item.is_cross_region


def is_local(item: SlotRequest | demands.RemoteCall) -> bool:
    """Return whether this host received a call from its caller."""
    return isinstance(item, SlotRequest)


def refuse_evicted(request: SlotRequest | demands.RemoteCall) -> None:
    """Refuse a call that was evicted from a full queue."""
    if isinstance(request, SlotRequest) and not request.future.done():
        request.future.set_result(
            sentinels.Absent('no_room', 'others have waited for less')
        )


def release(future: asyncio.Future) -> None:
    """Release the slot of a call that its caller has cancelled."""
    if future.done() and not future.cancelled():
        slot = future.result()
        if slot:
            slot.finish(ports.ExchangeOutcome.NOT_SENT, latency_s=0.0)


def is_exempt_from_ramp(item: SlotRequest | demands.RemoteCall) -> bool:
    """Return whether the limit on cross-region growth ignores a call."""
    return not is_cross_region(item)
