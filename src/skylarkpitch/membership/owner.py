"""Decide on announcements and keep the pool in step with the leases.

Pure but for the question to the other hosts, which is handed in.
"""

from collections.abc import Awaitable
from collections.abc import Callable
import random

from skylarkpitch.membership import announcements
from skylarkpitch.membership import live_hosts
from skylarkpitch.membership import ownership as ownerships
from skylarkpitch.membership import pool as pools
from skylarkpitch.membership import slots as upstream_slots
from skylarkpitch.membership import terms as terms_of
from skylarkpitch.messages import membership as messages

__all__ = ['Owner']

ANNOUNCEMENTS_A_LEASE = 4
GRACE_S = 0.25

AskOthers = Callable[
    [messages.Release], Awaitable[dict[str, messages.Released | None]]
]


class Owner:
    """Own upstreams on behalf of one entry host."""

    def __init__(
        self,
        *,
        own: str,
        hosts: live_hosts.LiveHosts,
        pool: pools.Pool,
        drained: Callable[[], frozenset[str]],
        url_of: Callable[[str], str | None],
        ask_others: AskOthers,
        lives: Callable[[str], Awaitable[bool]],
        clock: Callable[[], float],
        rng: random.Random,
    ) -> None:
        self.leases = ownerships.Ownership()
        self.began_s = clock()
        self._own = own
        self._hosts = hosts
        self._pool = pool
        self._drained = drained
        self._url_of = url_of
        self._ask_others = ask_others
        self._lives = lives
        self._clock = clock
        self._rng = rng
        self._remembered: dict[str, float] = {}
        self._left: dict[tuple[str, str], float] = {}
        self._admitting: dict[str, str] = {}
        self._released_to: dict[str, tuple[str, int]] = {}
        self._releases = 0

    async def announced(
        self, item: announcements.Announcement, terms: terms_of.Terms
    ) -> announcements.Answer | terms_of.Refused:
        """Own the upstream, pass it on, or refuse it."""
        if (item.name, item.instance) in self._left:
            return terms_of.refused_left()
        owner = await self._preferred(item.name)
        now_s = self._clock()
        if owner is None:
            return terms_of.refused_stopping()
        if self._is_taken(item, now_s):
            return self._taken(item)
        if owner != self._own and self._passes_on(item, owner, now_s):
            self.give_up(item.name)
            return self._answer(terms, announce_to=self._url_of(owner))
        lease = self.leases.renew(
            item.name,
            instance=item.instance,
            url=item.url,
            echo=item.echo,
            now_s=now_s,
            lease_s=terms.lease_s,
        )
        if not lease:
            return await self._admit_alone(item, terms)
        self._accept(item, lease, terms, now_s)
        return self._answer(terms, owner=self._own, item=item)

    def give_up(self, name: str) -> None:
        """Hand out no slot of an upstream any more; running work goes on."""
        self.leases.release(name)
        upstream = self._pool.get(name)
        if upstream is not None:
            upstream.slots.lease_until_s = 0.0
            self._pool.settle(upstream, now_s=self._clock())

    def left(self, name: str, instance: str) -> bool:
        """Give a leaving upstream nothing new; tell whether it is here."""
        now_s = self._clock()
        self._left[name, instance] = now_s
        upstream = self._pool.get(name)
        if upstream is None or upstream.instance != instance:
            return False
        self._pool.leave(upstream, now_s=now_s)
        return True

    def asked_to_release(
        self, item: messages.Release, *, sender: str, lease_s: float
    ) -> messages.Released:
        """Give an upstream up to the host that asks, and count its work.

        Work sent to an earlier process of the upstream ended with it.
        """
        now_s = self._clock()
        taken = self._is_claimed(item, lease_s, now_s)
        upstream = self._pool.get(item.name)
        busy = (0, 0.0)
        served_for_s = 0.0
        if not taken:
            if upstream is not None and upstream.instance == item.instance:
                busy = upstream.slots.busy(now_s=now_s)
                served_for_s = upstream.slots.served_for_s(now_s=now_s)
            self.give_up(item.name)
            self._releases += 1
            self._released_to[item.name] = (sender, self._releases)
        return messages.Released(
            known=upstream is not None or item.name in self._remembered,
            taken=taken,
            running=busy[0],
            busy_for_s=busy[1],
            up_for_s=now_s - self.began_s,
            served_for_s=served_for_s,
            number=self._releases,
        )

    def ended(
        self, upstream: pools.Upstream
    ) -> tuple[str, messages.StillRunning] | None:
        """Return what to tell the new owner once earlier work ended."""
        released = self._released_to.get(upstream.name)
        now_s = self._clock()
        if released is None or upstream.slots.lease_until_s > now_s:
            return None
        host, number = released
        return host, messages.StillRunning(
            name=upstream.name,
            instance=upstream.instance,
            number=number,
            running=upstream.slots.busy(now_s=now_s)[0],
        )

    def still_running(
        self, message: messages.StillRunning, *, sender: str
    ) -> None:
        """Free the slots whose earlier work has ended."""
        upstream = self._pool.get(message.name)
        if upstream is not None and upstream.instance == message.instance:
            source = _source(sender, message.number)
            upstream.slots.lower_block(source, message.running)

    def tick(self, *, terms: terms_of.Terms) -> None:
        """Move every life cycle on and forget what is of no use."""
        now_s = self._clock()
        drained = self._drained()
        self.leases.forget_lapsed(now_s=now_s, lease_s=terms.lease_s)
        for upstream in self._pool.all():
            self._drain(upstream, drained, now_s)
            self._pool.settle(upstream, now_s=now_s)
        memory_s = 2 * (terms.wait_s + terms.longest_work_s)
        _drop_older(self._remembered, now_s - memory_s)
        _drop_older(self._left, now_s - memory_s)
        for name in [*self._released_to]:
            if self._pool.get(name) is None:
                del self._released_to[name]

    def _drain(
        self, upstream: pools.Upstream, drained: frozenset[str], now_s: float
    ) -> None:
        if upstream.name in drained:
            self._pool.leave(upstream, now_s=now_s)
            return
        if (upstream.name, upstream.instance) in self._left:
            return
        if upstream.state in ('leaving', 'gone'):
            if upstream.slots.lease_until_s > now_s:
                self._return(upstream, now_s)

    def _return(self, upstream: pools.Upstream, now_s: float) -> None:
        upstream.send(
            'returned' if upstream.state == 'leaving' else 'announced'
        )
        upstream.slots.restart(now_s=now_s)

    async def _preferred(self, name: str) -> str | None:
        while True:
            now_s = self._clock()
            owner = self._hosts.preferred(name, now_s=now_s)
            if owner in (None, self._own) or await self._lives(owner):
                return owner
            self._hosts.lost(owner)

    def _passes_on(
        self, item: announcements.Announcement, owner: str, now_s: float
    ) -> bool:
        if self._hosts.stopping:
            return self._can_spare(item.name, now_s)
        if self.leases.lease(item.name, now_s=now_s) is None:
            return True
        settled = self._hosts.is_settled(owner, now_s=now_s)
        return settled and self._can_spare(item.name, now_s)

    def _can_spare(self, name: str, now_s: float) -> bool:
        upstream = self._pool.get(name)
        return upstream is None or self._pool.spare(upstream, now_s=now_s)

    def _is_claimed(
        self, item: messages.Release, lease_s: float, now_s: float
    ) -> bool:
        promised = self.leases.promised_url(
            item.name, now_s=now_s, lease_s=lease_s
        )
        admitting = self._admitting.get(item.name)
        if self._is_taken(item, now_s):
            return True
        return any(
            url not in (None, item.url) for url in (promised, admitting)
        )

    def _is_taken(
        self,
        item: announcements.Announcement | messages.Release,
        now_s: float,
    ) -> bool:
        held = self.leases.lease(item.name, now_s=now_s)
        if held is not None and held.url != item.url:
            return True
        twin = self.leases.name_of_url(item.url, now_s=now_s)
        return twin not in (None, item.name)

    async def _admit_alone(
        self, item: announcements.Announcement, terms: terms_of.Terms
    ) -> announcements.Answer | terms_of.Refused:
        if item.name in self._admitting:
            return self._taken(item)
        self._admitting[item.name] = item.url
        try:
            return await self._admit(item, terms)
        finally:
            del self._admitting[item.name]

    async def _admit(
        self, item: announcements.Announcement, terms: terms_of.Terms
    ) -> announcements.Answer | terms_of.Refused:
        answers = await self._ask_others(
            messages.Release(
                name=item.name, instance=item.instance, url=item.url
            )
        )
        heard = {host: a for host, a in answers.items() if a is not None}
        now_s = self._clock()
        taken = any(answer.taken for answer in heard.values())
        if taken or self._is_taken(item, now_s):
            return self._taken(item)
        verdict = ownerships.judge_claim(
            ownerships.Claim(
                own_host=self._own,
                previous_owner=item.previous_owner or '',
                previous_owner_age_s=item.previous_owner_age_s,
            ),
            answers={h: (a.known, a.up_for_s) for h, a in heard.items()},
            silent=[host for host, a in answers.items() if a is None],
            remembered=item.name in self._remembered,
            wait_s=terms.wait_s,
            longest_work_s=terms.longest_work_s,
        )
        if verdict.retry_after_s > 0:
            return terms_of.refused_early(verdict.retry_after_s)
        upstream = self._pool.get(item.name)
        if upstream is None:
            upstream = self._add(item, terms, now_s)
        _block(upstream.slots, heard, verdict, terms, now_s)
        return self._answer(terms, item=item)

    def _add(
        self,
        item: announcements.Announcement,
        terms: terms_of.Terms,
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
        terms: terms_of.Terms,
        now_s: float,
    ) -> None:
        upstream = self._pool.get(item.name)
        if upstream is None:
            upstream = self._add(item, terms, now_s)
        renewed = upstream.slots.lease_until_s > now_s
        self._pool.describe(upstream, service=item.service, url=item.url)
        upstream.slots.announce(_report(item), ramp_s=terms.ramp_s)
        upstream.slots.lease_until_s = lease.until_s
        self._remembered[item.name] = now_s
        self._released_to.pop(item.name, None)
        if upstream.instance != item.instance:
            upstream.instance = item.instance
            upstream.slots.restart(now_s=now_s)
        if upstream.state == 'gone' and not renewed:
            upstream.send('announced')
        if item.name in self._drained():
            self._pool.leave(upstream, now_s=now_s)

    def _taken(self, item: announcements.Announcement) -> terms_of.Refused:
        retry_after_s = self._rng.uniform(0.5, 1.5)
        return terms_of.refused_taken(item.name, retry_after_s=retry_after_s)

    def _answer(
        self,
        terms: terms_of.Terms,
        *,
        owner: str = '',
        announce_to: str | None = None,
        item: announcements.Announcement | None = None,
    ) -> announcements.Answer:
        every_s = terms.lease_s / ANNOUNCEMENTS_A_LEASE
        echo = ''
        if item is not None:
            echo = f'{self._rng.getrandbits(64):016x}'
            self.leases.issue(
                item.name,
                instance=item.instance,
                url=item.url,
                value=echo,
                now_s=self._clock(),
            )
        return announcements.Answer(
            host=self._own,
            owner=owner,
            announce_to=announce_to,
            lease_s=terms.wait_s,
            announce_every_s=every_s if owner else 0.0,
            echo=echo,
        )


def _block(
    slots: upstream_slots.UpstreamSlots,
    heard: dict[str, messages.Released],
    verdict: ownerships.Verdict,
    terms: terms_of.Terms,
    now_s: float,
) -> None:
    stretch = (1 + terms.drift) / (1 - terms.drift)
    for host, answer in heard.items():
        if answer.running:
            source = _source(host, answer.number)
            until_s = now_s + answer.busy_for_s * stretch + GRACE_S
            slots.block(source, answer.running, until_s=until_s)
        if answer.served_for_s:
            slots.served_before(answer.served_for_s, now_s=now_s)
    if verdict.unknown_work:
        until_s = now_s + terms.longest_work_s * stretch + GRACE_S
        slots.block('unknown', slots.ceiling, until_s=until_s)


def _source(host: str, number: int) -> str:
    return f'{host}#{number}'


def _report(item: announcements.Announcement) -> upstream_slots.Report:
    return upstream_slots.Report(
        slots=item.slots,
        connections=item.connections,
        load_percent=item.load_percent,
        healthy=item.healthy,
    )


def _drop_older(times_s: dict, before_s: float) -> None:
    for key in [key for key, at_s in times_s.items() if at_s < before_s]:
        del times_s[key]
