"""Let the calls that wait at other hosts of the domain queue here too.

A host without upstreams of a service would otherwise get only what the
callers of the owning host leave, whatever the weights say.
"""

import dataclasses
import math

from skylarkpitch.messages import steering as messages
from skylarkpitch.steering import fair_queue

__all__ = ['Demand', 'RemoteCall', 'scale_down']

DEMAND_LIFETIME_S = 0.3
MAX_CALLS_PER_FLOW = 16


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RemoteCall:
    """One call that waits at another host."""

    client: str
    number: int
    expires_s: float


class Demand:
    """Hold the waiters of one client's calls in one queue."""

    def __init__(self, *, queue: fair_queue.FairQueue) -> None:
        self._queue = queue
        self._waiters: dict[str, list[fair_queue.Waiter]] = {}

    def replace(
        self,
        client: str,
        *,
        flows: tuple[messages.FlowDemand, ...],
        number: int,
        now_s: float,
    ) -> None:
        """Let the calls of ``flows`` wait in place of earlier ones.

        A flow that waits already keeps its turn: its virtual time stays.
        """
        self.remove(client)
        call = RemoteCall(
            client=client, number=number, expires_s=now_s + DEMAND_LIFETIME_S
        )
        waiters = self._waiters.setdefault(client, [])
        for organisation, request_class, weight, count in flows:
            for _ in range(min(count, MAX_CALLS_PER_FLOW)):
                waiters.append(
                    self._queue.push(
                        (organisation, request_class),
                        weight=max(weight, 1e-3),
                        item=call,
                    )
                )

    def remove(self, client: str) -> None:
        """Take a client's calls out of the queue."""
        for waiter in self._waiters.pop(client, ()):
            self._queue.remove(waiter)

    def expire(self, *, now_s: float) -> None:
        """Forget borrowers that have not renewed their demand."""
        for client, waiters in list(self._waiters.items()):
            if not waiters or waiters[0].item.expires_s <= now_s:
                self.remove(client)


def scale_down(
    flows: tuple[messages.FlowDemand, ...], max_calls: int
) -> tuple[messages.FlowDemand, ...]:
    """Return the flows in the same ratio, with about ``max_calls`` calls."""
    total = sum(count for *_, count in flows)
    if total <= max_calls:
        return flows
    parts = (
        (
            organisation,
            request_class,
            weight,
            math.ceil(count * max_calls / total),
        )
        for organisation, request_class, weight, count in flows
    )
    return tuple(parts)
