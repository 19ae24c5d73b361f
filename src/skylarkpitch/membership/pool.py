"""Hold the upstreams that one host owns and hand out their slots."""

import dataclasses
import random

from skylarkpitch import charts
from skylarkpitch.membership import slots as upstream_slots
from skylarkpitch import ports
from skylarkpitch import sentinels

__all__ = ['Drain', 'Held', 'Pool', 'Upstream']


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Drain:
    """How long an upstream took from leaving to its last answer."""

    name: str
    took_s: float


class Upstream:
    """One upstream: its slots and the state of its life cycle."""

    def __init__(
        self,
        *,
        name: str,
        service: str,
        url: str,
        instance: str,
        slots: upstream_slots.UpstreamSlots,
    ) -> None:
        self.name = name
        self.service = service
        self.url = url
        self.instance = instance
        self.slots = slots
        self.leaving_since_s: float | None = None
        self._chart = charts.Chart(name='upstream')
        self.state = self._chart.state

    def send(self, event: str) -> str:
        """Take an event of the life cycle and return the state after it."""
        self.state = self._chart.send(event)
        self.slots.open = self.state not in ('leaving', 'gone')
        return self.state


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Held:
    """One slot in hand."""

    upstream: Upstream
    token: int


class Pool:
    """Hold upstreams by service; every slot in use was taken here."""

    def __init__(self, *, rng: random.Random) -> None:
        self._rng = rng
        self._by_name: dict[str, Upstream] = {}
        self._by_service: dict[str, list[Upstream]] = {}
        self._reserved: dict[str, int] = {}
        self.drains: list[Drain] = []

    def add(self, upstream: Upstream) -> None:
        """Hold another upstream."""
        self._by_name[upstream.name] = upstream
        self._by_service.setdefault(upstream.service, []).append(upstream)

    def describe(self, upstream: Upstream, *, service: str, url: str) -> None:
        """Take a new service or address of an upstream."""
        upstream.url = url
        if upstream.service != service:
            self._by_service[upstream.service].remove(upstream)
            self._by_service.setdefault(service, []).append(upstream)
            upstream.service = service

    def get(self, name: str) -> Upstream | None:
        """Return the upstream called ``name``, if it is held."""
        return self._by_name.get(name)

    def all(self) -> tuple[Upstream, ...]:
        """Return every upstream, sorted by name."""
        return tuple(self._by_name[name] for name in sorted(self._by_name))

    def of(self, service: str) -> list[Upstream]:
        """Return the upstreams of a service."""
        return self._by_service.get(service, [])

    def services(self) -> tuple[str, ...]:
        """Return the services with an upstream here."""
        return tuple(name for name, held in self._by_service.items() if held)

    def remove(self, name: str) -> None:
        """Forget an upstream whose slots are all free."""
        upstream = self._by_name.pop(name)
        self._by_service[upstream.service].remove(upstream)

    def free(self, service: str, *, now_s: float) -> int:
        """Return the free slots that no ticket has reserved."""
        free = sum(u.slots.free(now_s=now_s) for u in self.of(service))
        return max(0, free - self._reserved.get(service, 0))

    def in_use(self, service: str) -> int:
        """Return the slots of a service that are in use."""
        return sum(u.slots.in_use for u in self.of(service))

    def owned_slots(
        self, *, now_s: float, for_s: float = 0.0
    ) -> dict[str, int]:
        """Return the announced slots by service.

        Only those count whose lease lives for another ``for_s``.
        """
        counts = {
            service: self.slots_of(service, now_s=now_s + for_s)
            for service in self.services()
        }
        return {service: count for service, count in counts.items() if count}

    def slots_of(self, service: str, *, now_s: float) -> int:
        """Return the announced slots of a service under living leases."""
        return sum(
            upstream.slots.ceiling
            for upstream in self.of(service)
            if upstream.slots.open and upstream.slots.lease_until_s > now_s
        )

    def reserve(self, service: str, count: int, *, now_s: float) -> int:
        """Set aside up to ``count`` free slots; return how many."""
        count = min(count, self.free(service, now_s=now_s))
        if count > 0:
            self._reserved[service] = self.reserved(service) + count
        return max(0, count)

    def unreserve(self, service: str, count: int) -> None:
        """Give reserved slots back."""
        self._reserved[service] = self.reserved(service) - count

    def reserved(self, service: str) -> int:
        """Return the slots set aside for tickets."""
        return self._reserved.get(service, 0)

    def spare(self, upstream: Upstream, *, now_s: float) -> bool:
        """Tell whether the tickets can do without an upstream."""
        return upstream.slots.free(now_s=now_s) <= self.free(
            upstream.service, now_s=now_s
        )

    def take(
        self,
        service: str,
        *,
        now_s: float,
        until_s: float,
        exclude: frozenset[str] = frozenset(),
        reserved: bool = False,
    ) -> Held | sentinels.Absent:
        """Take a slot of the less loaded of two upstreams drawn at random.

        With ``reserved`` the slot is one of those set aside, and the caller
        has called :meth:`unreserve` for it. The power of two choices:
        Mitzenmacher, "The Power of Two Choices in Randomized Load
        Balancing", 2001.
        """
        if self.reserved(service) and not reserved:
            if self.free(service, now_s=now_s) < 1:
                return sentinels.Absent('no_room', 'reserved')
        chosen = self._choose(service, now_s, exclude)
        if chosen is None:
            return sentinels.Absent('no_room')
        token = chosen.slots.take(now_s=now_s, until_s=until_s)
        return Held(upstream=chosen, token=token)

    def finish(
        self, held: Held, exchange: ports.ExchangeOutcome, *, now_s: float
    ) -> None:
        """Give a slot back and judge its upstream."""
        upstream = held.upstream
        slots = upstream.slots
        failed_before = slots.backoff.failures
        slots.finish(held.token, exchange, now_s=now_s, rng=self._rng)
        if slots.backoff.failures > failed_before:
            if upstream.state in ('cold', 'ready'):
                upstream.send('failed')
        elif failed_before and not slots.backoff.failures:
            upstream.send('probed')
        if upstream.state == 'leaving':
            self.settle(upstream, now_s=now_s)

    def settle(self, upstream: Upstream, *, now_s: float) -> None:
        """Move the life cycle on to what the clock and the slots say."""
        slots = upstream.slots
        state = upstream.state
        if state == 'cold' and slots.is_warm(now_s=now_s):
            upstream.send('warmed')
        elif state == 'leaving':
            if slots.busy(now_s=now_s)[0] == 0:
                self._drained(upstream, now_s)
        if upstream.state != 'gone' and slots.lease_until_s <= now_s:
            upstream.send('lapse')
        if upstream.state == 'gone' and slots.lease_until_s <= now_s:
            if slots.busy(now_s=now_s)[0] == 0:
                self.remove(upstream.name)

    def leave(self, upstream: Upstream, *, now_s: float) -> None:
        """Give an upstream nothing new from now on."""
        if upstream.state in ('leaving', 'gone'):
            return
        upstream.leaving_since_s = now_s
        upstream.send('leave')

    def _drained(self, upstream: Upstream, now_s: float) -> None:
        upstream.send('drained')
        since_s = upstream.leaving_since_s
        took_s = now_s - (now_s if since_s is None else since_s)
        self.drains.append(Drain(name=upstream.name, took_s=took_s))
        del self.drains[:-100]

    def _choose(
        self, service: str, now_s: float, exclude: frozenset[str]
    ) -> Upstream | None:
        held = self.of(service)
        if not held:
            return None
        first = held[int(self._rng.random() * len(held))]
        second = held[int(self._rng.random() * len(held))]
        if _load(second) < _load(first):
            first, second = second, first
        for upstream in (first, second):
            if _has_room(upstream, now_s, exclude):
                return upstream
        for upstream in sorted(held, key=_load):
            if _has_room(upstream, now_s, exclude):
                return upstream
        return None


def _load(upstream: Upstream) -> float:
    return upstream.slots.in_use / upstream.slots.ceiling


def _has_room(
    upstream: Upstream, now_s: float, exclude: frozenset[str]
) -> bool:
    if upstream.name in exclude:
        return False
    return upstream.slots.free(now_s=now_s) > 0
