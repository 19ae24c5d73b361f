"""Hold the upstreams that one host owns and hand out their slots."""

import dataclasses
import random

from skylarkpitch import charts
from skylarkpitch.membership import slots as upstream_slots
from skylarkpitch import ports
from skylarkpitch import sentinels

__all__ = ['DrainRecord', 'Pool', 'SlotReservation', 'Upstream']


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class DrainRecord:
    """How long an upstream took from leaving to its last answer."""

    name: str
    duration_s: float


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

    def apply_event(self, event: str) -> str:
        """Take an event of the life cycle and return the state after it."""
        self.state = self._chart.send(event)
        self.slots.accepts_work = self.state not in ('leaving', 'gone')
        return self.state


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SlotReservation:
    """One slot in hand."""

    upstream: Upstream
    token: int


class Pool:
    """Hold upstreams by service; every slot in use was taken here."""

    def __init__(self, *, rng: random.Random) -> None:
        self._rng = rng
        self._by_name: dict[str, Upstream] = {}
        self._by_service: dict[str, list[Upstream]] = {}
        self._reserved_for_tickets: dict[str, int] = {}
        self.drains: list[DrainRecord] = []

    def add(self, upstream: Upstream) -> None:
        """Hold another upstream."""
        self._by_name[upstream.name] = upstream
        self._by_service.setdefault(upstream.service, []).append(upstream)

    def update(self, upstream: Upstream, *, service: str, url: str) -> None:
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

    def upstreams_of(self, service: str) -> list[Upstream]:
        """Return the upstreams of a service."""
        return self._by_service.get(service, [])

    def services(self) -> tuple[str, ...]:
        """Return the services with an upstream here."""
        return tuple(
            name for name, upstreams in self._by_service.items() if upstreams
        )

    def remove(self, name: str) -> None:
        """Forget an upstream whose slots are all free."""
        upstream = self._by_name.pop(name)
        self._by_service[upstream.service].remove(upstream)

    def free(self, service: str, *, now_s: float) -> int:
        """Return the free slots that no ticket has reserved."""
        free = sum(
            u.slots.free(now_s=now_s) for u in self.upstreams_of(service)
        )
        return max(0, free - self._reserved_for_tickets.get(service, 0))

    def in_use(self, service: str) -> int:
        """Return the slots of a service that are in use."""
        return sum(u.slots.in_use for u in self.upstreams_of(service))

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
            for upstream in self.upstreams_of(service)
            if upstream.slots.accepts_work
            and upstream.slots.lease_until_s > now_s
        )

    def reserve_for_tickets(
        self, service: str, count: int, *, now_s: float
    ) -> int:
        """Set aside up to ``count`` free slots; return how many."""
        count = min(count, self.free(service, now_s=now_s))
        if count > 0:
            self._reserved_for_tickets[service] = (
                self.reserved_for_tickets(service) + count
            )
        return max(0, count)

    def release_from_tickets(self, service: str, count: int) -> None:
        """Give reserved slots back."""
        self._reserved_for_tickets[service] = (
            self.reserved_for_tickets(service) - count
        )

    def reserved_for_tickets(self, service: str) -> int:
        """Return the slots set aside for tickets."""
        return self._reserved_for_tickets.get(service, 0)

    def tickets_fit_without(self, upstream: Upstream, *, now_s: float) -> bool:
        """Tell whether the tickets can do without an upstream."""
        return upstream.slots.free(now_s=now_s) <= self.free(
            upstream.service, now_s=now_s
        )

    def reserve_slot(
        self,
        service: str,
        *,
        now_s: float,
        until_s: float,
        exclude: frozenset[str] = frozenset(),
        for_ticket: bool = False,
    ) -> SlotReservation | sentinels.Absent:
        """Take a slot of the less loaded of two upstreams drawn at random.

        With ``reserved`` the slot is one of those set aside, and the caller
        has called :meth:`unreserve` for it. The power of two choices:
        Mitzenmacher, "The Power of Two Choices in Randomized Load
        Balancing", 2001.
        """
        if self.reserved_for_tickets(service) and not for_ticket:
            if self.free(service, now_s=now_s) < 1:
                return sentinels.Absent('no_room', 'reserved')
        chosen = self._select(service, now_s, exclude)
        if chosen is None:
            return sentinels.Absent('no_room')
        token = chosen.slots.reserve(now_s=now_s, until_s=until_s)
        return SlotReservation(upstream=chosen, token=token)

    def finish(
        self,
        reservation: SlotReservation,
        exchange: ports.Exchange,
        *,
        now_s: float,
    ) -> None:
        """Give a slot back and judge its upstream."""
        upstream = reservation.upstream
        slots = upstream.slots
        failed_before = slots.backoff.failures
        slots.finish(reservation.token, exchange, now_s=now_s, rng=self._rng)
        if slots.backoff.failures > failed_before:
            if upstream.state in ('cold', 'ready'):
                upstream.apply_event('failed')
        elif failed_before and not slots.backoff.failures:
            upstream.apply_event('probed')
        if upstream.state == 'leaving':
            self.update_state(upstream, now_s=now_s)

    def update_state(self, upstream: Upstream, *, now_s: float) -> None:
        """Move the life cycle on to what the clock and the slots say."""
        slots = upstream.slots
        state = upstream.state
        if state == 'cold' and slots.is_ramped_up(now_s=now_s):
            upstream.apply_event('warmed')
        elif state == 'leaving':
            if slots.busy(now_s=now_s)[0] == 0:
                self._record_drain(upstream, now_s)
        if upstream.state != 'gone' and slots.lease_until_s <= now_s:
            upstream.apply_event('lapse')
        if upstream.state == 'gone' and slots.lease_until_s <= now_s:
            if slots.busy(now_s=now_s)[0] == 0:
                self.remove(upstream.name)

    def start_leaving(self, upstream: Upstream, *, now_s: float) -> None:
        """Give an upstream nothing new from now on."""
        if upstream.state in ('leaving', 'gone'):
            return
        upstream.leaving_since_s = now_s
        upstream.apply_event('leave')

    def _record_drain(self, upstream: Upstream, now_s: float) -> None:
        upstream.apply_event('drained')
        since_s = upstream.leaving_since_s
        duration_s = now_s - (now_s if since_s is None else since_s)
        self.drains.append(
            DrainRecord(name=upstream.name, duration_s=duration_s)
        )
        del self.drains[:-100]

    def _select(
        self, service: str, now_s: float, exclude: frozenset[str]
    ) -> Upstream | None:
        upstreams = self.upstreams_of(service)
        if not upstreams:
            return None
        first = upstreams[int(self._rng.random() * len(upstreams))]
        second = upstreams[int(self._rng.random() * len(upstreams))]
        if _load(second) < _load(first):
            first, second = second, first
        for upstream in (first, second):
            if _has_free_slot(upstream, now_s, exclude):
                return upstream
        for upstream in sorted(upstreams, key=_load):
            if _has_free_slot(upstream, now_s, exclude):
                return upstream
        return None


def _load(upstream: Upstream) -> float:
    return upstream.slots.in_use / upstream.slots.ceiling


def _has_free_slot(
    upstream: Upstream, now_s: float, exclude: frozenset[str]
) -> bool:
    if upstream.name in exclude:
        return False
    return upstream.slots.free(now_s=now_s) > 0
