"""Keep the accounts of all organisations at one host.

Decides what to ask of whom and what to grant; the service carries the
messages. ``now_s`` is the host's monotonic time in seconds.
"""

from collections.abc import Iterable
from collections.abc import Mapping

from skylarkpitch.limits import demand as demands
from skylarkpitch.limits import entitlements
from skylarkpitch.limits import escrow
from skylarkpitch.limits import holders as holder_tables
from skylarkpitch.limits import organisation as records
from skylarkpitch.limits import planning
from skylarkpitch.limits import shares
from skylarkpitch.messages import limits as messages

__all__ = ['Accounts']


# A loan that differs from the need by less is not resized before half its
# lease is over.
TOLERANCE_PERCENT = 25
MAX_SPARE_TOKENS = 4.0


class Accounts:
    """Spend, ask and lend for every organisation of the configuration."""

    def __init__(
        self,
        *,
        holders: holder_tables.Holders,
        incarnation: int,
        now_s: float,
    ) -> None:
        self.holders = holders
        self.incarnation = incarnation
        self._started_s = now_s
        self._number = 0
        self._organisations: dict[str, records.Organisation] = {}
        self._bounds: records.Bounds | None = None
        self._silent: set[str] = set()

    def configure(
        self,
        limits: Mapping[str, shares.Share],
        bounds: records.Bounds,
        *,
        now_s: float,
    ) -> None:
        """Apply the limits of a configuration."""
        self._bounds = bounds
        for name in self._organisations.keys() - limits.keys():
            self._change(name, shares.NOTHING, now_s)
        for name, limit in limits.items():
            if name not in self._organisations:
                self._organisations[name] = self._open(limit, now_s)
            self._change(name, limit, now_s)
            account = self._organisations[name].account
            account.lease_s = bounds.lease_s
            account.drift = bounds.drift

    def organisations(self) -> Mapping[str, records.Organisation]:
        """Return every organisation by name."""
        return self._organisations

    def spend(self, name: str, *, now_s: float) -> bool:
        """Take one token; raises ``InvariantError`` over the limit."""
        organisation = self._organisations[name]
        if not organisation.account.take(now_s=now_s):
            return False
        organisation.audit.spend(now_s=now_s)
        return True

    def advance(self, *, now_s: float) -> None:
        """Bring due changes of entitlements into force."""
        for organisation in self._organisations.values():
            usable = organisation.entitlement.usable(now_s=now_s)
            if usable != organisation.account.entitlement:
                organisation.account.set_entitlement(usable, now_s=now_s)

    def requests(
        self,
        *,
        now_s: float,
        names: Iterable[str] | None = None,
        urgent: bool = False,
        busy: frozenset[tuple[str, str]] = frozenset(),
    ) -> dict[str, messages.LoanRequest]:
        """Return the requests to send now, by lender.

        ``names`` are the organisations to look at, all by default.
        ``busy`` holds pairs of organisation and lender with an answer still
        awaited; they are left out.
        """
        wishes: dict[str, list[messages.LoanWish]] = {}
        self._number += 1
        for name in self._organisations if names is None else names:
            for lender, want in self._wants(name, now_s).items():
                if (name, lender) in busy:
                    continue
                if not urgent and self._can_wait(name, lender, want, now_s):
                    continue
                wish = self._wish(name, lender, want, now_s)
                wishes.setdefault(lender, []).append(wish)
        return {
            lender: messages.LoanRequest(
                incarnation=self.incarnation,
                number=self._number,
                view=self.holders.view,
                urgent=urgent,
                wishes=tuple(items),
            )
            for lender, items in wishes.items()
        }

    def answer(
        self, borrower: str, request: messages.LoanRequest, *, now_s: float
    ) -> messages.LoanAnswer | None:
        """Lend to a borrower; ``None`` to one with other holders in view."""
        if request.view != self.holders.view:
            return None
        grants = []
        for wish in request.wishes:
            grant = self._grant(borrower, request, wish, now_s)
            if grant is not None:
                grants.append(grant)
        return messages.LoanAnswer(number=request.number, grants=tuple(grants))

    def accept(
        self,
        lender: str,
        answer: messages.LoanAnswer,
        *,
        sent_s: float,
        now_s: float,
    ) -> None:
        """Take the answer to the request sent at ``sent_s``."""
        self._silent.discard(lender)
        for grant in answer.grants:
            organisation = self._organisations.get(grant.organisation)
            if organisation is None:
                continue
            organisation.wishes.note_spare(
                lender,
                shares.Share(grant.spare_rate, grant.spare_burst),
            )
            organisation.account.accept(
                lender,
                answer.number,
                escrow.Grant(
                    share=shares.Share(grant.rate, grant.burst),
                    tokens=grant.tokens,
                    lease_s=grant.lease_s,
                ),
                sent_s=sent_s,
                now_s=now_s,
            )

    def lose(self, lender: str, request: messages.LoanRequest) -> None:
        """Expect nothing more of a lender that did not answer."""
        self._silent.add(lender)
        for wish in request.wishes:
            organisation = self._organisations.get(wish.organisation)
            if organisation is not None:
                organisation.wishes.note_spare(lender, shares.NOTHING)

    def lenders(self, name: str) -> tuple[str, ...]:
        """Return the hosts of whom this one borrows now.

        A host borrows of the holder in its failure domain, and of those in
        the others while that one does not answer.
        """
        holder = self.holders.local(name)
        remote = self.holders.remote(name)
        if holder is None or holder == self.holders.own:
            return remote
        if holder in self._silent:
            return (holder, *remote)
        return (holder,)

    def short_of(
        self, borrower: str, request: messages.LoanRequest, *, now_s: float
    ) -> tuple[str, ...]:
        """Return the organisations that the failure domain runs short of.

        Notes the wishes of ``request`` first.
        """
        found = []
        for wish in request.wishes:
            organisation = self._organisations.get(wish.organisation)
            if organisation is None:
                continue
            organisation.wishes.note(
                borrower,
                shares.Share(wish.want_rate, wish.want_burst),
                is_local=True,
                now_s=now_s,
            )
            if self._is_short(organisation, now_s):
                found.append(wish.organisation)
        return tuple(found)

    def need(self, name: str, *, now_s: float) -> shares.Share:
        """Return what this host needs for its own calls."""
        return self._organisations[name].need(now_s=now_s)

    def _open(self, limit: shares.Share, now_s: float) -> records.Organisation:
        bounds = self._bounds
        return records.Organisation(
            limit=limit,
            spare_tokens=self._spare_tokens(limit),
            account=escrow.Account(
                lease_s=bounds.lease_s, drift=bounds.drift, now_s=now_s
            ),
            entitlement=entitlements.Entitlement(
                first_s=self._started_s + bounds.first_s
            ),
            audit=entitlements.SpendAudit(limit=limit, now_s=now_s),
            demand=demands.Demand(now_s=now_s),
            wishes=planning.Wishes(),
        )

    def _spare_tokens(self, limit: shares.Share) -> float:
        """Return half of what an even split would give each host."""
        even = limit.burst / shares.TOKEN / self.holders.host_count
        return min(MAX_SPARE_TOKENS, max(1.0, even / 2))

    def _change(self, name: str, limit: shares.Share, now_s: float) -> None:
        organisation = self._organisations[name]
        grace_s = self._bounds.grace_s
        if limit != organisation.limit:
            organisation.audit.change(limit, now_s=now_s, grace_s=grace_s)
        organisation.limit = limit
        organisation.spare_tokens = self._spare_tokens(limit)
        organisation.entitlement.change(
            self.holders.entitlement(name, limit),
            now_s=now_s,
            grace_s=grace_s,
        )

    def _domain_need(
        self, organisation: records.Organisation, now_s: float
    ) -> shares.Share:
        return organisation.wishes.local_total(
            organisation.need(now_s=now_s),
            now_s=now_s,
            lease_s=self._bounds.lease_s,
        ).at_most(organisation.limit)

    def _is_short(
        self, organisation: records.Organisation, now_s: float
    ) -> bool:
        account = organisation.account
        account.settle(now_s=now_s)
        held = account.entitlement
        for share in account.borrowed().values():
            held = held + share
        return not self._domain_need(organisation, now_s).within(held)

    def _wants(self, name: str, now_s: float) -> dict[str, shares.Share]:
        organisation = self._organisations[name]
        organisation.account.settle(now_s=now_s)
        borrowed = dict(organisation.account.borrowed())
        holder = self.holders.local(name)
        if holder == self.holders.own:
            missing = self._domain_need(organisation, now_s)
            missing = missing - organisation.account.entitlement
            return organisation.wishes.divide(
                missing.at_least(shares.NOTHING),
                lenders=self.holders.remote(name),
                borrowed=borrowed,
                limit=organisation.limit,
            )
        need = self.need(name, now_s=now_s)
        if holder is None or not (need or borrowed):
            return {}
        if holder not in self._silent:
            return {holder: need}
        missing = need - borrowed.pop(holder, shares.NOTHING)
        elsewhere = organisation.wishes.divide(
            missing.at_least(shares.NOTHING),
            lenders=self.holders.remote(name),
            borrowed=borrowed,
            limit=organisation.limit,
        )
        return {holder: need, **elsewhere}

    def _can_wait(
        self, name: str, lender: str, want: shares.Share, now_s: float
    ) -> bool:
        """Tell whether a loan is about right and lasts a while yet."""
        account = self._organisations[name].account
        held = account.borrowed_from(lender)
        if not held:
            return not want
        left_s = account.expires_s(lender) - now_s
        return left_s > self._bounds.lease_s / 2 and _is_near(held, want)

    def _wish(
        self, name: str, lender: str, want: shares.Share, now_s: float
    ) -> messages.LoanWish:
        held, tokens = self._organisations[name].account.expect(
            lender, self._number, keep=want, now_s=now_s
        )
        return messages.LoanWish(
            organisation=name,
            held_rate=held.rate,
            held_burst=held.burst,
            want_rate=want.rate,
            want_burst=want.burst,
            returned_tokens=tokens,
        )

    def _grant(
        self,
        borrower: str,
        request: messages.LoanRequest,
        wish: messages.LoanWish,
        now_s: float,
    ) -> messages.LoanGrant | None:
        organisation = self._organisations.get(wish.organisation)
        if organisation is None:
            return None
        is_local = (
            self.holders.domain_of(borrower) == self.holders.failure_domain
        )
        want = shares.Share(wish.want_rate, wish.want_burst)
        wishes = organisation.wishes
        wishes.note(borrower, want, is_local=is_local, now_s=now_s)
        need = self.need(wish.organisation, now_s=now_s)
        planned = wishes.plan(
            borrower,
            is_local=is_local,
            need=need,
            account=organisation.account,
            now_s=now_s,
        )
        grant = organisation.account.lend(
            (borrower, request.incarnation),
            request.number,
            held=shares.Share(wish.held_rate, wish.held_burst),
            returned_tokens=wish.returned_tokens,
            target=planned.target,
            keep_tokens=need.burst,
            now_s=now_s,
        )
        if grant is None:
            return None
        return messages.LoanGrant(
            organisation=wish.organisation,
            rate=grant.share.rate,
            burst=grant.share.burst,
            tokens=grant.tokens,
            lease_s=grant.lease_s,
            spare_rate=planned.spare.rate,
            spare_burst=planned.spare.burst,
        )


def _is_near(held: shares.Share, want: shares.Share) -> bool:
    return all(
        abs(one - other) * 100 <= TOLERANCE_PERCENT * max(one, other)
        for one, other in (
            (held.rate, want.rate),
            (held.burst, want.burst),
        )
    )
