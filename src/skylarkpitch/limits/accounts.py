"""Accounts of all organisations at one host.

Builds the loan requests of this host and grants those of others; the
service sends and receives the messages. ``now_s`` is the host's monotonic
time in seconds.
"""

from collections.abc import Iterable
from collections.abc import Mapping

from skylarkpitch.limits import demand as demands
from skylarkpitch.limits import entitlements
from skylarkpitch.limits import escrow
from skylarkpitch.limits import holders as holder_tables
from skylarkpitch.limits import organisation as organisation_states
from skylarkpitch.limits import planning
from skylarkpitch.limits import shares
from skylarkpitch.messages import limits as messages

__all__ = ['Accounts']


# A loan that differs from its target by at most this part of the larger
# amount is not resized before half of its lease has passed.
TOLERANCE_PERCENT = 25
MAX_HEADROOM_TOKENS = 4.0


class Accounts:
    """Spend, borrow and lend for every organisation of the configuration.

    ``incarnation`` identifies this run of the host in its requests.
    """

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
        self._organisations: dict[
            str, organisation_states.OrganisationState
        ] = {}
        self._bounds: organisation_states.LeaseBounds | None = None
        self._unresponsive: set[str] = set()

    def configure(
        self,
        limits: Mapping[str, shares.Share],
        bounds: organisation_states.LeaseBounds,
        *,
        now_s: float,
    ) -> None:
        """Apply the limits of a configuration, by organisation.

        The limit of a removed organisation becomes zero.
        """
        self._bounds = bounds
        for name in self._organisations.keys() - limits.keys():
            self._set_limit(name, shares.ZERO, now_s)
        for name, limit in limits.items():
            if name not in self._organisations:
                self._organisations[name] = self._open_organisation(
                    limit, now_s
                )
            self._set_limit(name, limit, now_s)
            account = self._organisations[name].account
            account.lease_s = bounds.lease_s
            account.drift = bounds.drift

    def organisations(
        self,
    ) -> Mapping[str, organisation_states.OrganisationState]:
        """Return the state of every organisation, by name."""
        return self._organisations

    def spend(self, name: str, *, now_s: float) -> bool:
        """Spend one token; return False if there is none.

        Raises ``InvariantError`` if this exceeds the whole limit, and
        ``KeyError`` for an organisation that is not configured.
        """
        organisation = self._organisations[name]
        if not organisation.account.spend_token(now_s=now_s):
            return False
        organisation.audit.record_spend(now_s=now_s)
        return True

    def apply_due_entitlements(self, *, now_s: float) -> None:
        """Apply the entitlement changes whose delay has passed."""
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

        ``names`` are the organisations to include, all by default.
        ``pending`` contains pairs of organisation and lender whose response
        is still awaited; these are skipped. Unless ``urgent``, loans that
        need no renewal yet are skipped too.
        """
        loans_by_lender: dict[str, list[messages.RequestedLoan]] = {}
        self._number += 1
        for name in self._organisations if names is None else names:
            for lender, target in self._target_loans(name, now_s).items():
                if (name, lender) in pending:
                    continue
                if not urgent and self._can_wait(name, lender, target, now_s):
                    continue
                loan = self._requested_loan(name, lender, target, now_s)
                loans_by_lender.setdefault(lender, []).append(loan)
        return {
            lender: messages.LoanRequest(
                incarnation=self.incarnation,
                number=self._number,
                view=self.holders.view_digest,
                urgent=urgent,
                wishes=tuple(loans),
            )
            for lender, loans in loans_by_lender.items()
        }

    def answer_request(
        self, borrower: str, request: messages.LoanRequest, *, now_s: float
    ) -> messages.LoanResponse | None:
        """Return the grants for a borrower.

        Returns None if the borrower has other entry hosts in its settings
        and therefore computes other holders. Raises ``InvariantError`` if the
        loans exceed the share of this host.
        """
        if request.view != self.holders.view_digest:
            return None
        grants = []
        for loan in request.wishes:
            grant = self._grant_loan(borrower, request, loan, now_s)
            if grant is not None:
                grants.append(grant)
        return messages.LoanResponse(
            number=request.number, grants=tuple(grants)
        )

    def accept_response(
        self,
        lender: str,
        response: messages.LoanResponse,
        *,
        sent_s: float,
        now_s: float,
    ) -> None:
        """Apply the response to the request that was sent at ``sent_s``."""
        self._unresponsive.discard(lender)
        for grant in response.grants:
            organisation = self._organisations.get(grant.organisation)
            if organisation is None:
                continue
            organisation.planner.record_spare(
                lender,
                shares.Share(grant.spare_rate, grant.spare_burst),
            )
            organisation.account.accept_grant(
                lender,
                response.number,
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
        """Record that a lender did not respond to ``request``.

        The lender counts as unresponsive, without spare share, until its
        next response.
        """
        self._unresponsive.add(lender)
        for loan in request.wishes:
            organisation = self._organisations.get(loan.organisation)
            if organisation is not None:
                organisation.planner.record_spare(lender, shares.ZERO)

    def lenders(self, name: str) -> tuple[str, ...]:
        """Return the hosts from which this host borrows now.

        A host borrows from the holder in its failure domain and, while that
        one does not respond, also from the holders in the other domains. A
        holder borrows from the holders in the other domains.
        """
        holder = self.holders.local_holder(name)
        remote_holders = self.holders.remote_holders(name)
        if holder is None or holder == self.holders.local_host:
            return remote_holders
        if holder in self._unresponsive:
            return (holder, *remote_holders)
        return (holder,)

    def find_shortages(
        self, borrower: str, request: messages.LoanRequest, *, now_s: float
    ) -> tuple[str, ...]:
        """Return the organisations whose share is too small for the domain.

        Records the requested loans of ``borrower``, a host of this failure
        domain, first.
        """
        short = []
        for loan in request.wishes:
            organisation = self._organisations.get(loan.organisation)
            if organisation is None:
                continue
            organisation.planner.record_request(
                borrower,
                shares.Share(loan.want_rate, loan.want_burst),
                is_local=True,
                now_s=now_s,
            )
            if self._is_short(organisation, now_s):
                short.append(loan.organisation)
        return tuple(short)

    def required_share(self, name: str, *, now_s: float) -> shares.Share:
        """Return the share that this host requires for its own calls."""
        return self._organisations[name].required_share(now_s=now_s)

    def _open_organisation(
        self, limit: shares.Share, now_s: float
    ) -> organisation_states.OrganisationState:
        bounds = self._bounds
        return organisation_states.OrganisationState(
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
        """Return half of an even part of the burst, in whole tokens.

        The result is between 1 and ``MAX_HEADROOM_TOKENS``.
        """
        even_tokens = (
            limit.burst
            / shares.MICROTOKENS_PER_TOKEN
            / self.holders.host_count
        )
        return min(MAX_HEADROOM_TOKENS, max(1.0, even_tokens / 2))

    def _set_limit(self, name: str, limit: shares.Share, now_s: float) -> None:
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

    def _domain_demand(
        self, organisation: organisation_states.OrganisationState, now_s: float
    ) -> shares.Share:
        return organisation.planner.local_demand(
            organisation.required_share(now_s=now_s),
            now_s=now_s,
            lease_s=self._bounds.lease_s,
        ).at_most(organisation.limit)

    def _is_short(
        self, organisation: organisation_states.OrganisationState, now_s: float
    ) -> bool:
        account = organisation.account
        account.refill_and_expire(now_s=now_s)
        total_share = account.entitlement
        for share in account.borrowed().values():
            total_share = total_share + share
        return not self._domain_demand(organisation, now_s).within(total_share)

    def _target_loans(
        self, name: str, now_s: float
    ) -> dict[str, shares.Share]:
        organisation = self._organisations[name]
        organisation.account.refill_and_expire(now_s=now_s)
        borrowed = dict(organisation.account.borrowed())
        holder = self.holders.local_holder(name)
        if holder == self.holders.local_host:
            missing = self._domain_demand(organisation, now_s)
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
        if holder not in self._unresponsive:
            return {holder: required}
        missing = required - borrowed.pop(holder, shares.ZERO)
        remote_loans = organisation.planner.split_request(
            missing.at_least(shares.ZERO),
            lenders=self.holders.remote_holders(name),
            borrowed=borrowed,
            limit=organisation.limit,
        )
        return {holder: required, **remote_loans}

    def _can_wait(
        self, name: str, lender: str, target: shares.Share, now_s: float
    ) -> bool:
        """Return whether a loan is near its target and not to be renewed yet.

        A loan is renewed after half of its lease.
        """
        account = self._organisations[name].account
        current = account.borrowed_from(lender)
        if not current:
            return not target
        remaining_s = account.loan_expires_s(lender) - now_s
        return remaining_s > self._bounds.lease_s / 2 and _is_close(
            current, target
        )

    def _requested_loan(
        self, name: str, lender: str, target: shares.Share, now_s: float
    ) -> messages.RequestedLoan:
        held, tokens = self._organisations[name].account.prepare_request(
            lender, self._number, max_share=target, now_s=now_s
        )
        return messages.RequestedLoan(
            organisation=name,
            held_rate=held.rate,
            held_burst=held.burst,
            want_rate=target.rate,
            want_burst=target.burst,
            returned_tokens=tokens,
        )

    def _grant_loan(
        self,
        borrower: str,
        request: messages.LoanRequest,
        loan: messages.RequestedLoan,
        now_s: float,
    ) -> messages.LoanGrant | None:
        organisation = self._organisations.get(loan.organisation)
        if organisation is None:
            return None
        is_local = (
            self.holders.domain_of(borrower) == self.holders.failure_domain
        )
        requested = shares.Share(loan.want_rate, loan.want_burst)
        planner = organisation.planner
        planner.record_request(
            borrower, requested, is_local=is_local, now_s=now_s
        )
        required = self.required_share(loan.organisation, now_s=now_s)
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
            held=shares.Share(loan.held_rate, loan.held_burst),
            returned_tokens=loan.returned_tokens,
            target=planned.target,
            reserved_tokens=required.burst,
            now_s=now_s,
        )
        if grant is None:
            return None
        return messages.LoanGrant(
            organisation=loan.organisation,
            rate=grant.share.rate,
            burst=grant.share.burst,
            tokens=grant.tokens,
            lease_s=grant.lease_s,
            spare_rate=planned.spare.rate,
            spare_burst=planned.spare.burst,
        )


def _is_close(current: shares.Share, target: shares.Share) -> bool:
    return all(
        abs(first - second) * 100 <= TOLERANCE_PERCENT * max(first, second)
        for first, second in (
            (current.rate, target.rate),
            (current.burst, target.burst),
        )
    )
