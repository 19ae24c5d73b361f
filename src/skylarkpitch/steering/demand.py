"""Queue the calls of other entry hosts at the host that owns the slots.

Otherwise a host without upstreams of a service would get only the slots that
the callers of the owning host do not use, whatever the weights are.
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
    """Queued call of another host.

    ``client`` is the name of that host. ``number`` identifies the ticket
    request that reported the call, which is removed from the queue after
    ``expires_s`` unless a later request reports it again.
    """

    client: str
    number: int
    expires_s: float


class Demand:
    """Calls that other hosts reported, queued in one fair queue."""

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
        """Replace a client's queued calls by those of ``flows``.

        A flow that was queued before does not lose its turn, because its
        virtual time is unchanged. At most ``MAX_CALLS_PER_FLOW`` calls of
        each flow are queued.
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
        """Remove a client's calls from the queue."""
        for waiter in self._waiters.pop(client, ()):
            self._queue.remove(waiter)

    def expire(self, *, now_s: float) -> None:
        """Remove the calls of clients that have not renewed their demand."""
        for client, waiters in list(self._waiters.items()):
            if not waiters or waiters[0].item.expires_s <= now_s:
                self.remove(client)


def scale_down(
    flows: tuple[messages.FlowDemand, ...], max_calls: int
) -> tuple[messages.FlowDemand, ...]:
    """Scale the flows to about ``max_calls`` calls in the same ratio."""
    total = sum(count for *_, count in flows)
    if total <= max_calls:
        return flows
    scaled = (
        (
            organisation,
            request_class,
            weight,
            math.ceil(count * max_calls / total),
        )
        for organisation, request_class, weight, count in flows
    )
    return tuple(scaled)
