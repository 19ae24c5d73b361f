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
MAX_HEADROOM_TOKENS = 4.0


class Accounts:
    """Spend, ask and lend for every organisation of the configuration."""

    def __init__(
        self,
        *,
        holders: holder_tables.EntitlementHolders,
        incarnation: int,
        now_s: float,
    ) -> None:
        self.holders = holders
        self.incarnation = incarnation
        self._started_s = now_s
        self._number = 0
        self._organisations: dict[str, records.OrganisationState] = {}
        self._bounds: records.LeaseBounds | None = None
        self._silent: set[str] = set()

    def configure(
        self,
        limits: Mapping[str, shares.Share],
        bounds: records.LeaseBounds,
        *,
        now_s: float,
    ) -> None:
        """Apply the limits of a configuration."""
        self._bounds = bounds
        for name in self._organisations.keys() - limits.keys():
            self._change(name, shares.ZERO, now_s)
        for name, limit in limits.items():
            if name not in self._organisations:
                self._organisations[name] = self._open(limit, now_s)
            self._change(name, limit, now_s)
            account = self._organisations[name].account
            account.lease_s = bounds.lease_s
            account.drift = bounds.drift

    def organisations(self) -> Mapping[str, records.OrganisationState]:
        """Return every organisation by name."""
        return self._organisations

    def spend(self, name: str, *, now_s: float) -> bool:
        """Take one token; raises ``InvariantError`` over the limit."""
        organisation = self._organisations[name]
        if not organisation.account.spend_token(now_s=now_s):
            return False
        organisation.audit.record_spend(now_s=now_s)
        return True

    def apply_due_entitlements(self, *, now_s: float) -> None:
        """Bring due changes of entitlements into force."""
        for organisation in self._organisations.values():
            usable = organisation.entitlement_schedule.usable(now_s=now_s)
            if usable != organisation.account.entitlement:
                organisation.account.set_entitlement(usable, now_s=now_s)

    def build_requests(
        self,
        *,
        now_s: float,
        names: Iterable[str] | None = None,
        urgent: bool = False,
        pending: frozenset[tuple[str, str]] = frozenset(),
    ) -> dict[str, messages.LoanRequest]:
        """Return the requests to send now, by lender.

        ``names`` are the organisations to look at, all by default.
        ``busy`` holds pairs of organisation and lender with an answer still
        awaited; they are left out.
        """
        wishes: dict[str, list[messages.RequestedLoan]] = {}
        self._number += 1
        for name in self._organisations if names is None else names:
            for lender, want in self._wants(name, now_s).items():
                if (name, lender) in pending:
                    continue
                if not urgent and self._can_wait(name, lender, want, now_s):
                    continue
                wish = self._wish(name, lender, want, now_s)
                wishes.setdefault(lender, []).append(wish)
        return {
            lender: messages.LoanRequest(
                incarnation=self.incarnation,
                number=self._number,
                view=self.holders.view_digest,
                urgent=urgent,
                wishes=tuple(items),
            )
            for lender, items in wishes.items()
        }

    def answer_request(
        self, borrower: str, request: messages.LoanRequest, *, now_s: float
    ) -> messages.LoanResponse | None:
        """Lend to a borrower; ``None`` to one with other holders in view."""
        if request.view != self.holders.view_digest:
            return None
        grants = []
        for wish in request.wishes:
            grant = self._grant(borrower, request, wish, now_s)
            if grant is not None:
                grants.append(grant)
        return messages.LoanResponse(
            number=request.number, grants=tuple(grants)
        )

    def accept_response(
        self,
        lender: str,
        answer: messages.LoanResponse,
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
            organisation.planner.record_spare(
                lender,
                shares.Share(grant.spare_rate, grant.spare_burst),
            )
            organisation.account.accept_grant(
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

    def record_lost_request(
        self, lender: str, request: messages.LoanRequest
    ) -> None:
        """Expect nothing more of a lender that did not answer."""
        self._silent.add(lender)
        for wish in request.wishes:
            organisation = self._organisations.get(wish.organisation)
            if organisation is not None:
                organisation.planner.record_spare(lender, shares.ZERO)

    def lenders(self, name: str) -> tuple[str, ...]:
        """Return the hosts of whom this one borrows now.

        A host borrows of the holder in its failure domain, and of those in
        the others while that one does not answer.
        """
        holder = self.holders.local_holder(name)
        remote = self.holders.remote_holders(name)
        if holder is None or holder == self.holders.own_host:
            return remote
        if holder in self._silent:
            return (holder, *remote)
        return (holder,)

    def find_shortages(
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
            organisation.planner.record_request(
                borrower,
                shares.Share(wish.want_rate, wish.want_burst),
                is_local=True,
                now_s=now_s,
            )
            if self._is_short(organisation, now_s):
                found.append(wish.organisation)
        return tuple(found)

    def required_share(self, name: str, *, now_s: float) -> shares.Share:
        """Return what this host needs for its own calls."""
        return self._organisations[name].required_share(now_s=now_s)

    def _open(
        self, limit: shares.Share, now_s: float
    ) -> records.OrganisationState:
        bounds = self._bounds
        return records.OrganisationState(
            limit=limit,
            headroom_tokens=self._headroom_tokens(limit),
            account=escrow.Account(
                lease_s=bounds.lease_s, drift=bounds.drift, now_s=now_s
            ),
            entitlement_schedule=entitlements.EntitlementSchedule(
                start_s=self._started_s + bounds.startup_wait_s
            ),
            audit=entitlements.SpendAudit(limit=limit, now_s=now_s),
            demand=demands.DemandEstimator(now_s=now_s),
            planner=planning.LoanPlanner(),
        )

    def _headroom_tokens(self, limit: shares.Share) -> float:
        """Return half of what an even split would give each host."""
        even = (
            limit.burst
            / shares.MICROTOKENS_PER_TOKEN
            / self.holders.host_count
        )
        return min(MAX_HEADROOM_TOKENS, max(1.0, even / 2))

    def _change(self, name: str, limit: shares.Share, now_s: float) -> None:
        organisation = self._organisations[name]
        grace_s = self._bounds.grace_s
        if limit != organisation.limit:
            organisation.audit.set_limit(limit, now_s=now_s, grace_s=grace_s)
        organisation.limit = limit
        organisation.headroom_tokens = self._headroom_tokens(limit)
        organisation.entitlement_schedule.set_target(
            self.holders.entitlement(name, limit),
            now_s=now_s,
            grace_s=grace_s,
        )

    def _domain_need(
        self, organisation: records.OrganisationState, now_s: float
    ) -> shares.Share:
        return organisation.planner.local_demand(
            organisation.required_share(now_s=now_s),
            now_s=now_s,
            lease_s=self._bounds.lease_s,
        ).at_most(organisation.limit)

    def _is_short(
        self, organisation: records.OrganisationState, now_s: float
    ) -> bool:
        account = organisation.account
        account.refill_and_expire(now_s=now_s)
        held = account.entitlement
        for share in account.borrowed().values():
            held = held + share
        return not self._domain_need(organisation, now_s).within(held)

    def _wants(self, name: str, now_s: float) -> dict[str, shares.Share]:
        organisation = self._organisations[name]
        organisation.account.refill_and_expire(now_s=now_s)
        borrowed = dict(organisation.account.borrowed())
        holder = self.holders.local_holder(name)
        if holder == self.holders.own_host:
            missing = self._domain_need(organisation, now_s)
            missing = missing - organisation.account.entitlement
            return organisation.planner.split_request(
                missing.at_least(shares.ZERO),
                lenders=self.holders.remote_holders(name),
                borrowed=borrowed,
                limit=organisation.limit,
            )
        required = self.required_share(name, now_s=now_s)
        if holder is None or not (required or borrowed):
            return {}
        if holder not in self._silent:
            return {holder: required}
        missing = required - borrowed.pop(holder, shares.ZERO)
        elsewhere = organisation.planner.split_request(
            missing.at_least(shares.ZERO),
            lenders=self.holders.remote_holders(name),
            borrowed=borrowed,
            limit=organisation.limit,
        )
        return {holder: required, **elsewhere}

    def _can_wait(
        self, name: str, lender: str, want: shares.Share, now_s: float
    ) -> bool:
        """Tell whether a loan is about right and lasts a while yet."""
        account = self._organisations[name].account
        held = account.borrowed_from(lender)
        if not held:
            return not want
        left_s = account.loan_expires_s(lender) - now_s
        return left_s > self._bounds.lease_s / 2 and _is_near(held, want)

    def _wish(
        self, name: str, lender: str, want: shares.Share, now_s: float
    ) -> messages.RequestedLoan:
        held, tokens = self._organisations[name].account.prepare_request(
            lender, self._number, max_share=want, now_s=now_s
        )
        return messages.RequestedLoan(
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
        wish: messages.RequestedLoan,
        now_s: float,
    ) -> messages.LoanGrant | None:
        organisation = self._organisations.get(wish.organisation)
        if organisation is None:
            return None
        is_local = (
            self.holders.domain_of(borrower) == self.holders.failure_domain
        )
        want = shares.Share(wish.want_rate, wish.want_burst)
        planner = organisation.planner
        planner.record_request(borrower, want, is_local=is_local, now_s=now_s)
        required = self.required_share(wish.organisation, now_s=now_s)
        planned = planner.plan_loan(
            borrower,
            is_local=is_local,
            required=required,
            account=organisation.account,
            now_s=now_s,
        )
        grant = organisation.account.lend(
            (borrower, request.incarnation),
            request.number,
            held=shares.Share(wish.held_rate, wish.held_burst),
            returned_tokens=wish.returned_tokens,
            target=planned.target,
            reserved_tokens=required.burst,
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
