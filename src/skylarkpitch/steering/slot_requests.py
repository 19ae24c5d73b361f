"""Hold the calls that want a slot, and how they are answered."""

import asyncio
import dataclasses

from skylarkpitch import ports
from skylarkpitch import sentinels
from skylarkpitch.steering import demand as demands

__all__ = [
    'SlotRequest',
    'release',
    'is_cross_region',
    'is_exempt_from_ramp',
    'is_local',
    'refuse_evicted',
    'refuse_timed_out',
]


@dataclasses.dataclass(slots=True, eq=False)
class SlotRequest:
    """One call that wants a slot of this host's callers."""

    body_bytes: int
    deadline_s: float
    exclude: frozenset[str]
    future: asyncio.Future
    is_cross_region: bool


def refuse_timed_out(future: asyncio.Future) -> None:
    """Answer a call that nothing came free for in time."""
    if not future.done():
        future.set_result(
            sentinels.Absent('no_room', 'none came free in time')
        )


def is_cross_region(item: SlotRequest | demands.RemoteCall) -> bool:
    """Tell whether a call is one of another region's caller."""
    return isinstance(item, SlotRequest) and item.is_cross_region


def is_local(item: SlotRequest | demands.RemoteCall) -> bool:
    """Tell whether a call came in at this host."""
    return isinstance(item, SlotRequest)


def refuse_evicted(request: SlotRequest | demands.RemoteCall) -> None:
    """Answer a call that a full line puts out."""
    if isinstance(request, SlotRequest) and not request.future.done():
        request.future.set_result(
            sentinels.Absent('no_room', 'others have waited for less')
        )


def release(future: asyncio.Future) -> None:
    """Give back the slot of a call whose caller is gone."""
    if future.done() and not future.cancelled():
        slot = future.result()
        if slot:
            slot.finish(ports.ExchangeOutcome.NOT_SENT, latency_s=0.0)


def is_exempt_from_ramp(item: SlotRequest | demands.RemoteCall) -> bool:
    """Tell whether the cap on shift does not hold a call back."""
    return not is_cross_region(item)
