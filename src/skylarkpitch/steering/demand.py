"""Let the calls that wait at other hosts of the domain queue here too.

A host without upstreams of a service would otherwise get only what the
callers of the owning host leave, whatever the weights say.
"""

import dataclasses
import math

from skylarkpitch.messages import steering as messages
from skylarkpitch.steering import fair_queue

__all__ = ['Demand', 'RemoteCall', 'at_most']

KEPT_S = 0.3
MAX_CALLS_A_FLOW = 16


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RemoteCall:
    """One call that waits at another host."""

    borrower: str
    number: int
    expires_s: float


class Demand:
    """Hold the places of one borrower's calls in one queue."""

    def __init__(self, *, queue: fair_queue.FairQueue) -> None:
        self._queue = queue
        self._places: dict[str, list[fair_queue.Waiter]] = {}

    def replace(
        self,
        borrower: str,
        *,
        flows: tuple[messages.FlowDemand, ...],
        number: int,
        now_s: float,
    ) -> None:
        """Let the calls of ``flows`` wait in place of earlier ones.

        A flow that waits already keeps its turn: its virtual time stays.
        """
        self.forget(borrower)
        call = RemoteCall(
            borrower=borrower, number=number, expires_s=now_s + KEPT_S
        )
        places = self._places.setdefault(borrower, [])
        for organisation, request_class, weight, count in flows:
            for _ in range(min(count, MAX_CALLS_A_FLOW)):
                places.append(
                    self._queue.push(
                        (organisation, request_class),
                        weight=max(weight, 1e-3),
                        item=call,
                    )
                )

    def forget(self, borrower: str) -> None:
        """Take a borrower's calls out of the queue."""
        for place in self._places.pop(borrower, ()):
            self._queue.remove(place)

    def expire(self, *, now_s: float) -> None:
        """Forget borrowers that have not renewed their demand."""
        for borrower, places in list(self._places.items()):
            if not places or places[0].item.expires_s <= now_s:
                self.forget(borrower)


def at_most(
    flows: tuple[messages.FlowDemand, ...], wanted: int
) -> tuple[messages.FlowDemand, ...]:
    """Return the flows in the same ratio, with about ``wanted`` calls."""
    total = sum(count for *_, count in flows)
    if total <= wanted:
        return flows
    parts = (
        (
            organisation,
            request_class,
            weight,
            math.ceil(count * wanted / total),
        )
        for organisation, request_class, weight, count in flows
    )
    return tuple(parts)
