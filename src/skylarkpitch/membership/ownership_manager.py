"""Decide on announcements and update the pool with each change of a lease.

This module does no input or output of its own: the caller provides the
coroutines that send messages to other hosts.
"""

from collections.abc import Awaitable
from collections.abc import Callable
import random

from skylarkpitch.membership import announcements
from skylarkpitch.membership import live_hosts
from skylarkpitch.membership import ownership as ownerships
from skylarkpitch.membership import pool as pools
from skylarkpitch.membership import slots as upstream_slots
from skylarkpitch.membership import terms as ownership_terms
from skylarkpitch.messages import membership as messages

__all__ = ['OwnershipManager']

ANNOUNCEMENTS_PER_LEASE = 4
# Added to the time for which slots are blocked by work of an earlier owner.
BLOCK_MARGIN_S = 0.25

RequestFromOthers = Callable[
    [messages.ReleaseRequest],
    Awaitable[dict[str, messages.ReleaseResponse | None]],
]


class OwnershipManager:
    """Ownership of upstreams by one entry host.

    ``own_host`` is the name of this host. ``drained_upstreams()`` returns the
    names of the upstreams that operators drain, and ``url_of(host)`` the base
    URL on which a host accepts announcements. ``request_from_others()`` sends
    a release request to the other hosts of the failure domain and returns
    their responses by host, None for one that did not respond.
    ``is_alive(host)`` contacts a host and returns whether it responds.
    """

    def __init__(
        self,
        *,
        own_host: str,
        hosts: live_hosts.LiveHosts,
        pool: pools.Pool,
        drained_upstreams: Callable[[], frozenset[str]],
        url_of: Callable[[str], str | None],
        request_from_others: RequestFromOthers,
        is_alive: Callable[[str], Awaitable[bool]],
        clock: Callable[[], float],
        rng: random.Random,
    ) -> None:
        self.leases = ownerships.LeaseTable()
        self.started_s = clock()
        self._own_host = own_host
        self._hosts = hosts
        self._pool = pool
        self._drained_upstreams = drained_upstreams
        self._url_of = url_of
        self._request_from_others = request_from_others
        self._is_alive = is_alive
        self._clock = clock
        self._rng = rng
        self._last_owned_s: dict[str, float] = {}
        self._departed: dict[tuple[str, str], float] = {}
        self._admitting: dict[str, str] = {}
        self._released_to: dict[str, tuple[str, int]] = {}
        self._release_count = 0

    async def handle_announcement(
        self, item: announcements.Announcement, terms: ownership_terms.Terms
    ) -> announcements.AnnouncementResponse | ownership_terms.Refusal:
        """Accept the upstream, redirect it to its preferred owner, or refuse.

        The preferred owner is contacted first; a host that does not respond is
        skipped.
        """
        if (item.name, item.instance) in self._departed:
            return ownership_terms.refuse_departed()
        owner = await self._preferred_owner(item.name)
        now_s = self._clock()
        if owner is None:
            return ownership_terms.refuse_stopping()
        if self._conflicts_with_lease(item, now_s):
            return self._refuse_taken(item)
        if owner != self._own_host and self._should_redirect(
            item, owner, now_s
        ):
            self.release(item.name)
            return self._response(terms, announce_to=self._url_of(owner))
        lease = self.leases.renew(
            item.name,
            instance=item.instance,
            url=item.url,
            echo=item.echo,
            now_s=now_s,
            lease_s=terms.lease_s,
        )
        if not lease:
            return await self._admit_exclusively(item, terms)
        self._accept(item, lease, terms, now_s)
        return self._response(terms, owner=self._own_host, item=item)

    def release(self, name: str) -> None:
        """Stop assigning slots of an upstream; running work continues."""
        self.leases.release(name)
        upstream = self._pool.get(name)
        if upstream is not None:
            upstream.slots.lease_until_s = 0.0
            self._pool.update_state(upstream, now_s=self._clock())

    def handle_leave(self, name: str, instance: str) -> bool:
        """Send an upstream no new work; return whether this host owns it."""
        now_s = self._clock()
        self._departed[name, instance] = now_s
        upstream = self._pool.get(name)
        if upstream is None or upstream.instance != instance:
            return False
        self._pool.start_leaving(upstream, now_s=now_s)
        return True

    def handle_release_request(
        self, item: messages.ReleaseRequest, *, sender: str, lease_s: float
    ) -> messages.ReleaseResponse:
        """Release an upstream to the requesting host and report running work.

        Work that was sent to an earlier process of the upstream ended with
        that process and is not counted.
        """
        now_s = self._clock()
        is_taken = self._conflicts_with_claim(item, lease_s, now_s)
        upstream = self._pool.get(item.name)
        busy_slots = (0, 0.0)
        ramp_age_s = 0.0
        if not is_taken:
            if upstream is not None and upstream.instance == item.instance:
                busy_slots = upstream.slots.busy(now_s=now_s)
                ramp_age_s = upstream.slots.ramp_age_s(now_s=now_s)
            self.release(item.name)
            self._release_count += 1
            self._released_to[item.name] = (sender, self._release_count)
        return messages.ReleaseResponse(
            known=upstream is not None or item.name in self._last_owned_s,
            taken=is_taken,
            running=busy_slots[0],
            busy_for_s=busy_slots[1],
            up_for_s=now_s - self.started_s,
            served_for_s=ramp_age_s,
            number=self._release_count,
        )

    def running_work_report(
        self, upstream: pools.Upstream
    ) -> tuple[str, messages.RunningWorkReport] | None:
        """Return the report to send after a request of an upstream ended.

        It is a pair of the new owner and the message; None while this host
        owns the upstream or when it has not released it.
        """
        released = self._released_to.get(upstream.name)
        now_s = self._clock()
        if released is None or upstream.slots.lease_until_s > now_s:
            return None
        host, number = released
        return host, messages.RunningWorkReport(
            name=upstream.name,
            instance=upstream.instance,
            number=number,
            running=upstream.slots.busy(now_s=now_s)[0],
        )

    def handle_running_work_report(
        self, message: messages.RunningWorkReport, *, sender: str
    ) -> None:
        """Free the slots whose earlier work has ended."""
        upstream = self._pool.get(message.name)
        if upstream is not None and upstream.instance == message.instance:
            source = _block_source(sender, message.number)
            upstream.slots.reduce_block(source, message.running)

    def tick(self, *, terms: ownership_terms.Terms) -> None:
        """Update every life cycle and remove expired records."""
        now_s = self._clock()
        drained_upstreams = self._drained_upstreams()
        self.leases.remove_expired(now_s=now_s, lease_s=terms.lease_s)
        for upstream in self._pool.all():
            self._drain(upstream, drained_upstreams, now_s)
            self._pool.update_state(upstream, now_s=now_s)
        retention_s = 2 * (terms.takeover_wait_s + terms.max_work_s)
        _remove_older(self._last_owned_s, now_s - retention_s)
        _remove_older(self._departed, now_s - retention_s)
        for name in [*self._released_to]:
            if self._pool.get(name) is None:
                del self._released_to[name]

    def _drain(
        self,
        upstream: pools.Upstream,
        drained_upstreams: frozenset[str],
        now_s: float,
    ) -> None:
        if upstream.name in drained_upstreams:
            self._pool.start_leaving(upstream, now_s=now_s)
            return
        if (upstream.name, upstream.instance) in self._departed:
            return
        if upstream.state in ('leaving', 'gone'):
            if upstream.slots.lease_until_s > now_s:
                self._resume(upstream, now_s)

    def _resume(self, upstream: pools.Upstream, now_s: float) -> None:
        upstream.apply_event(
            'returned' if upstream.state == 'leaving' else 'announced'
        )
        upstream.slots.restart_ramp(now_s=now_s)

    async def _preferred_owner(self, name: str) -> str | None:
        while True:
            now_s = self._clock()
            owner = self._hosts.preferred_owner(name, now_s=now_s)
            if owner in (None, self._own_host) or await self._is_alive(owner):
                return owner
            self._hosts.remove(owner)

    def _should_redirect(
        self, item: announcements.Announcement, owner: str, now_s: float
    ) -> bool:
        if self._hosts.stopping:
            return self._can_transfer(item.name, now_s)
        if self.leases.lease(item.name, now_s=now_s) is None:
            return True
        is_stable = self._hosts.is_stable(owner, now_s=now_s)
        return is_stable and self._can_transfer(item.name, now_s)

    def _can_transfer(self, name: str, now_s: float) -> bool:
        upstream = self._pool.get(name)
        return upstream is None or self._pool.tickets_fit_without(
            upstream, now_s=now_s
        )

    def _conflicts_with_claim(
        self, item: messages.ReleaseRequest, lease_s: float, now_s: float
    ) -> bool:
        pending_url = self.leases.pending_url(
            item.name, now_s=now_s, lease_s=lease_s
        )
        admitting_url = self._admitting.get(item.name)
        if self._conflicts_with_lease(item, now_s):
            return True
        return any(
            url not in (None, item.url) for url in (pending_url, admitting_url)
        )

    def _conflicts_with_lease(
        self,
        item: announcements.Announcement | messages.ReleaseRequest,
        now_s: float,
    ) -> bool:
        lease = self.leases.lease(item.name, now_s=now_s)
        if lease is not None and lease.url != item.url:
            return True
        other_name = self.leases.name_of_url(item.url, now_s=now_s)
        return other_name not in (None, item.name)

    async def _admit_exclusively(
        self, item: announcements.Announcement, terms: ownership_terms.Terms
    ) -> announcements.AnnouncementResponse | ownership_terms.Refusal:
        if item.name in self._admitting:
            return self._refuse_taken(item)
        self._admitting[item.name] = item.url
        try:
            return await self._admit(item, terms)
        finally:
            del self._admitting[item.name]

    async def _admit(
        self, item: announcements.Announcement, terms: ownership_terms.Terms
    ) -> announcements.AnnouncementResponse | ownership_terms.Refusal:
        responses = await self._request_from_others(
            messages.ReleaseRequest(
                name=item.name, instance=item.instance, url=item.url
            )
        )
        received = {
            host: response
            for host, response in responses.items()
            if response is not None
        }
        now_s = self._clock()
        is_taken = any(response.taken for response in received.values())
        if is_taken or self._conflicts_with_lease(item, now_s):
            return self._refuse_taken(item)
        decision = ownerships.evaluate_claim(
            ownerships.Claim(
                own_host=self._own_host,
                previous_owner=item.previous_owner or '',
                previous_owner_age_s=item.previous_owner_age_s,
            ),
            release_responses={
                host: (response.known, response.up_for_s)
                for host, response in received.items()
            },
            unresponsive=[
                host
                for host, response in responses.items()
                if response is None
            ],
            has_history=item.name in self._last_owned_s,
            takeover_wait_s=terms.takeover_wait_s,
            max_work_s=terms.max_work_s,
        )
        if decision.retry_after_s > 0:
            return ownership_terms.refuse_early(decision.retry_after_s)
        upstream = self._pool.get(item.name)
        if upstream is None:
            upstream = self._add(item, terms, now_s)
        _block(upstream.slots, received, decision, terms, now_s)
        return self._response(terms, item=item)

    def _add(
        self,
        item: announcements.Announcement,
        terms: ownership_terms.Terms,
        now_s: float,
    ) -> pools.Upstream:
        upstream = pools.Upstream(
            name=item.name,
            service=item.service,
            url=item.url,
            instance=item.instance,
            slots=upstream_slots.UpstreamSlots(
                report=_report(item), ramp_s=terms.ramp_s, now_s=now_s
            ),
        )
        self._pool.add(upstream)
        return upstream

    def _accept(
        self,
        item: announcements.Announcement,
        lease: ownerships.Lease,
        terms: ownership_terms.Terms,
        now_s: float,
    ) -> None:
        upstream = self._pool.get(item.name)
        if upstream is None:
            upstream = self._add(item, terms, now_s)
        was_owned = upstream.slots.lease_until_s > now_s
        self._pool.update(upstream, service=item.service, url=item.url)
        upstream.slots.update_report(_report(item), ramp_s=terms.ramp_s)
        upstream.slots.lease_until_s = lease.until_s
        self._last_owned_s[item.name] = now_s
        self._released_to.pop(item.name, None)
        if upstream.instance != item.instance:
            upstream.instance = item.instance
            upstream.slots.restart_ramp(now_s=now_s)
        if upstream.state == 'gone' and not was_owned:
            upstream.apply_event('announced')
        if item.name in self._drained_upstreams():
            self._pool.start_leaving(upstream, now_s=now_s)

    def _refuse_taken(
        self, item: announcements.Announcement
    ) -> ownership_terms.Refusal:
        retry_after_s = self._rng.uniform(0.5, 1.5)
        return ownership_terms.refuse_taken(
            item.name, retry_after_s=retry_after_s
        )

    def _response(
        self,
        terms: ownership_terms.Terms,
        *,
        owner: str = '',
        announce_to: str | None = None,
        item: announcements.Announcement | None = None,
    ) -> announcements.AnnouncementResponse:
        interval_s = terms.lease_s / ANNOUNCEMENTS_PER_LEASE
        echo = ''
        if item is not None:
            echo = f'{self._rng.getrandbits(64):016x}'
            self.leases.record_echo(
                item.name,
                instance=item.instance,
                url=item.url,
                value=echo,
                now_s=self._clock(),
            )
        return announcements.AnnouncementResponse(
            host=self._own_host,
            owner=owner,
            announce_to=announce_to,
            lease_s=terms.takeover_wait_s,
            announce_every_s=interval_s if owner else 0.0,
            echo=echo,
        )


def _block(
    slots: upstream_slots.UpstreamSlots,
    received: dict[str, messages.ReleaseResponse],
    decision: ownerships.ClaimDecision,
    terms: ownership_terms.Terms,
    now_s: float,
) -> None:
    drift_factor = (1 + terms.drift) / (1 - terms.drift)
    for host, response in received.items():
        if response.running:
            source = _block_source(host, response.number)
            until_s = (
                now_s + response.busy_for_s * drift_factor + BLOCK_MARGIN_S
            )
            slots.block(source, response.running, until_s=until_s)
        if response.served_for_s:
            slots.extend_ramp_age(response.served_for_s, now_s=now_s)
    if decision.unknown_work:
        until_s = now_s + terms.max_work_s * drift_factor + BLOCK_MARGIN_S
        slots.block('unknown', slots.ceiling, until_s=until_s)


def _block_source(host: str, number: int) -> str:
    return f'{host}#{number}'


def _report(item: announcements.Announcement) -> upstream_slots.UpstreamReport:
    return upstream_slots.UpstreamReport(
        slots=item.slots,
        connections=item.connections,
        load_percent=item.load_percent,
        healthy=item.healthy,
    )


def _remove_older(times_s: dict, before_s: float) -> None:
    for key in [key for key, at_s in times_s.items() if at_s < before_s]:
        del times_s[key]
