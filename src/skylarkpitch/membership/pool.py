"""Upstreams that one host owns, and the reservation of their slots."""

import dataclasses
import random

from skylarkpitch import charts
from skylarkpitch.membership import slots as upstream_slots
from skylarkpitch import ports
from skylarkpitch import sentinels

__all__ = ['DrainRecord', 'Pool', 'SlotReservation', 'Upstream']


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class DrainRecord:
    """Time that an upstream took from leaving to its last response."""

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
        """Apply an event of the life cycle and return the new state."""
        self.state = self._chart.send(event)
        self.slots.accepts_work = self.state not in ('leaving', 'gone')
        return self.state


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SlotReservation:
    """One slot of an upstream, reserved for one request.

    ``token`` identifies the reservation to the upstream's slots.
    """

    upstream: Upstream
    token: int


class Pool:
    """Upstreams of one host by service.

    Every slot in use was reserved here. Some free slots of a service may be
    reserved for tickets, which let other hosts use them.
    """

    def __init__(self, *, rng: random.Random) -> None:
        self._rng = rng
        self._by_name: dict[str, Upstream] = {}
        self._by_service: dict[str, list[Upstream]] = {}
        self._reserved_for_tickets: dict[str, int] = {}
        self.drains: list[DrainRecord] = []

    def add(self, upstream: Upstream) -> None:
        """Add an upstream."""
        self._by_name[upstream.name] = upstream
        self._by_service.setdefault(upstream.service, []).append(upstream)

    def update(self, upstream: Upstream, *, service: str, url: str) -> None:
        """Set the service and the address of an upstream."""
        upstream.url = url
        if upstream.service != service:
            self._by_service[upstream.service].remove(upstream)
            self._by_service.setdefault(service, []).append(upstream)
            upstream.service = service

    def get(self, name: str) -> Upstream | None:
        """Return the upstream called ``name``, or None."""
        return self._by_name.get(name)

    def all(self) -> tuple[Upstream, ...]:
        """Return every upstream, sorted by name."""
        return tuple(self._by_name[name] for name in sorted(self._by_name))

    def upstreams_of(self, service: str) -> list[Upstream]:
        """Return the upstreams of a service."""
        return self._by_service.get(service, [])

    def services(self) -> tuple[str, ...]:
        """Return the services with an upstream on this host."""
        return tuple(
            name for name, upstreams in self._by_service.items() if upstreams
        )

    def remove(self, name: str) -> None:
        """Remove an upstream whose slots are all free."""
        upstream = self._by_name.pop(name)
        self._by_service[upstream.service].remove(upstream)

    def free(self, service: str, *, now_s: float) -> int:
        """Return the free slots that are not reserved for tickets."""
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

        Slots count only when their lease is valid for another ``for_s``
        seconds.
        """
        counts = {
            service: self.slots_of(service, now_s=now_s + for_s)
            for service in self.services()
        }
        return {service: count for service, count in counts.items() if count}

    def slots_of(self, service: str, *, now_s: float) -> int:
        """Return the announced slots of a service under valid leases."""
        return sum(
            upstream.slots.ceiling
            for upstream in self.upstreams_of(service)
            if upstream.slots.accepts_work
            and upstream.slots.lease_until_s > now_s
        )

    def reserve_for_tickets(
        self, service: str, count: int, *, now_s: float
    ) -> int:
        """Reserve up to ``count`` free slots; return the number reserved."""
        count = min(count, self.free(service, now_s=now_s))
        if count > 0:
            self._reserved_for_tickets[service] = (
                self.reserved_for_tickets(service) + count
            )
        return max(0, count)

    def release_from_tickets(self, service: str, count: int) -> None:
        """Release slots that were reserved for tickets."""
        self._reserved_for_tickets[service] = (
            self.reserved_for_tickets(service) - count
        )

    def reserved_for_tickets(self, service: str) -> int:
        """Return the slots of a service reserved for tickets."""
        return self._reserved_for_tickets.get(service, 0)

    def tickets_fit_without(self, upstream: Upstream, *, now_s: float) -> bool:
        """Return whether the slots reserved for tickets fit elsewhere.

        True when the other upstreams of the service have that many free
        slots.
        """
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
        """Reserve a slot of the less loaded of two upstreams drawn at random.

        With ``for_ticket`` the slot is one of those reserved for tickets, and
        the caller has called :meth:`release_from_tickets` for it. ``until_s``
        is the time by which the request ends. Returns ``Absent`` with reason
        ``no_room`` when no slot is free. The power of two choices:
        Mitzenmacher, "The Power of Two Choices in Randomized Load Balancing",
        2001.
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
        exchange: ports.ExchangeOutcome,
        *,
        now_s: float,
    ) -> None:
        """Release a slot and update its upstream's state by the outcome."""
        upstream = reservation.upstream
        slots = upstream.slots
        failures_before = slots.backoff.failures
        slots.finish(reservation.token, exchange, now_s=now_s, rng=self._rng)
        if slots.backoff.failures > failures_before:
            if upstream.state in ('cold', 'ready'):
                upstream.apply_event('failed')
        elif failures_before and not slots.backoff.failures:
            upstream.apply_event('probed')
        if upstream.state == 'leaving':
            self.update_state(upstream, now_s=now_s)

    def update_state(self, upstream: Upstream, *, now_s: float) -> None:
        """Update an upstream's life cycle from the time and its slots.

        An upstream without a lease is removed once no slot is busy.
        """
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
        """Send an upstream no new work from now on."""
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
