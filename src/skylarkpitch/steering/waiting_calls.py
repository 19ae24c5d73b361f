"""Hold the calls that want a slot, and how they are answered."""

import asyncio
import dataclasses

from skylarkpitch import ports
from skylarkpitch import sentinels
from skylarkpitch.steering import demand as demands

__all__ = [
    'Wanted',
    'give_back',
    'is_foreign',
    'is_home',
    'is_own',
    'put_out',
    'refuse',
]


@dataclasses.dataclass(slots=True, eq=False)
class Wanted:
    """One call that wants a slot of this host's callers."""

    body_bytes: int
    deadline_s: float
    exclude: frozenset[str]
    future: asyncio.Future
    is_foreign: bool


def refuse(future: asyncio.Future) -> None:
    """Answer a call that nothing came free for in time."""
    if not future.done():
        future.set_result(
            sentinels.Absent('no_room', 'none came free in time')
        )


def is_foreign(item: Wanted | demands.RemoteCall) -> bool:
    """Tell whether a call is one of another region's caller."""
    return isinstance(item, Wanted) and item.is_foreign


def is_own(item: Wanted | demands.RemoteCall) -> bool:
    """Tell whether a call came in at this host."""
    return isinstance(item, Wanted)


def put_out(wanted: Wanted | demands.RemoteCall) -> None:
    """Answer a call that a full line puts out."""
    if isinstance(wanted, Wanted) and not wanted.future.done():
        wanted.future.set_result(
            sentinels.Absent('no_room', 'others have waited for less')
        )


def give_back(future: asyncio.Future) -> None:
    """Give back the slot of a call whose caller is gone."""
    if future.done() and not future.cancelled():
        slot = future.result()
        if slot:
            slot.finish(ports.Exchange.NOT_SENT, latency_s=0.0)


def is_home(item: Wanted | demands.RemoteCall) -> bool:
    """Tell whether the cap on shift does not hold a call back."""
    return not is_foreign(item)
