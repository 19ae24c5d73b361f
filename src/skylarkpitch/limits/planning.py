"""Plan the sizes of loans between hosts.

A lender divides its share among borrowers, a borrower divides its request
among lenders. Safety does not depend on this module: an account never lends
more than its available share, whatever the plan is.
"""

from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses

from skylarkpitch.limits import escrow
from skylarkpitch.limits import shares

__all__ = ['LoanPlanner', 'PlannedLoan']

# Part of an entitlement that is never lent to other failure domains.
MIN_LOCAL_PERCENT = 2
# Lenders among which a request is divided; all current lenders are included.
MAX_LENDERS = 8


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PlannedLoan:
    """Intended size of a loan, and what could be lent in addition."""

    target: shares.Share
    spare: shares.Share


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _RequestedShare:
    """Last request of a borrower, local to the failure domain or remote."""

    share: shares.Share
    is_local: bool
    recorded_s: float


class LoanPlanner:
    """Plan loans by what borrowers requested and what lenders can spare.

    All requests and spare shares belong to one organisation.
    """

    def __init__(self) -> None:
        self._requested: dict[str, _RequestedShare] = {}
        self._spare_by_lender: dict[str, shares.Share] = {}
        self._remote_borrowers: set[str] = set()

    def record_request(
        self,
        borrower: str,
        share: shares.Share,
        *,
        is_local: bool,
        now_s: float,
    ) -> None:
        """Record the share that a borrower requests."""
        if not is_local:
            self._remote_borrowers.add(borrower)
        self._requested[borrower] = _RequestedShare(
            share=share, is_local=is_local, recorded_s=now_s
        )

    def record_spare(self, lender: str, spare: shares.Share) -> None:
        """Record the share that a lender could lend in addition."""
        self._spare_by_lender[lender] = spare

    def may_have_spare(self, lenders: Iterable[str]) -> bool:
        """Return whether any lender may have something to lend.

        A lender that has not reported its spare share may have some.
        """
        unknown_spare = shares.Share(1, 1)
        return any(
            self._spare_by_lender.get(lender, unknown_spare)
            for lender in lenders
        )

    def local_demand(
        self, required: shares.Share, *, now_s: float, lease_s: float
    ) -> shares.Share:
        """Return ``required`` plus recent requests within the failure domain.

        Removes requests that are older than ``lease_s``.
        """
        rate, burst = required.rate, required.burst
        for name, record in list(self._requested.items()):
            if now_s - record.recorded_s > lease_s:
                del self._requested[name]
            elif record.is_local:
                rate += record.share.rate
                burst += record.share.burst
        return shares.Share(rate, burst)

    def plan_loan(
        self,
        borrower: str,
        *,
        is_local: bool,
        required: shares.Share,
        account: escrow.Account,
        now_s: float,
    ) -> PlannedLoan:
        """Return the intended size of the loan of a borrower.

        ``required`` is what this host requires for its own calls. Hosts of
        the same failure domain have priority and share by max-min fairness.
        Hosts of other domains share the part of the entitlement that this
        domain does not require.
        """
        domain_demand = self.local_demand(
            required, now_s=now_s, lease_s=account.lease_s
        )
        if is_local:
            available, requested = self._domain_share(account), domain_demand
        else:
            minimum = account.entitlement.scaled(MIN_LOCAL_PERCENT, 100)
            available = account.entitlement - domain_demand.at_least(minimum)
            available = available.at_least(shares.ZERO)
            requested = _total(self._requested_shares(is_local=False).values())
        spare = (available - requested).at_least(shares.ZERO)
        if requested.within(available):
            return PlannedLoan(
                target=self._requested[borrower].share, spare=spare
            )
        demands = self._requested_shares(is_local=is_local)
        if is_local:
            demands[''] = required
        return PlannedLoan(
            target=_max_min_shares(available, demands)[borrower], spare=spare
        )

    def split_request(
        self,
        missing: shares.Share,
        *,
        lenders: tuple[str, ...],
        borrowed: Mapping[str, shares.Share],
        limit: shares.Share,
    ) -> dict[str, shares.Share]:
        """Return the loan to request of each lender to cover ``missing``.

        ``borrowed`` are the current loans. Loans grow in proportion to the
        spare shares of the lenders and shrink in proportion to their size.
        A lender whose spare share is unknown counts with an even part of
        ``limit``. Returns an empty mapping if nothing is missing or
        borrowed.
        """
        total_borrowed = _total(borrowed.values())
        if not (missing or total_borrowed):
            return {}
        available = self._available_by_lender(lenders, borrowed, limit)
        return {
            name: shares.Share(
                _resized_amount(
                    name, 'rate', missing, total_borrowed, borrowed, available
                ),
                _resized_amount(
                    name, 'burst', missing, total_borrowed, borrowed, available
                ),
            )
            for name in available
        }

    def _available_by_lender(
        self,
        lenders: tuple[str, ...],
        borrowed: Mapping[str, shares.Share],
        limit: shares.Share,
    ) -> dict[str, shares.Share]:
        even_split = limit.scaled(1, len(lenders) + 1)
        spare = {
            name: self._spare_by_lender.get(name, even_split)
            for name in lenders
        }
        by_spare = sorted(
            (name for name in lenders if name not in borrowed),
            key=lambda name: (spare[name].rate, spare[name].burst),
            reverse=True,
        )
        chosen = [name for name in borrowed if name in spare]
        chosen += by_spare[: max(0, MAX_LENDERS - len(chosen))]
        # At least one micro-token, so that a lender which had nothing to
        # spare is still sent requests.
        minimum = shares.Share(1, 1)
        return {name: spare[name].at_least(minimum) for name in chosen}

    def _domain_share(self, account: escrow.Account) -> shares.Share:
        """Return the share of this domain, without loans to other domains."""
        available = account.entitlement + _total(account.borrowed().values())
        if self._remote_borrowers:
            available = available - _total(
                share
                for (name, _), share in account.lent().items()
                if name in self._remote_borrowers
            )
        return available.at_least(shares.ZERO)

    def _requested_shares(self, *, is_local: bool) -> dict[str, shares.Share]:
        return {
            name: record.share
            for name, record in self._requested.items()
            if record.is_local == is_local
        }


def _max_min_shares(
    available: shares.Share, demands: Mapping[str, shares.Share]
) -> dict[str, shares.Share]:
    rates = shares.max_min(
        available.rate, {name: demand.rate for name, demand in demands.items()}
    )
    bursts = shares.max_min(
        available.burst,
        {name: demand.burst for name, demand in demands.items()},
    )
    return {name: shares.Share(rates[name], bursts[name]) for name in demands}


def _total(items: Iterable[shares.Share]) -> shares.Share:
    rate = burst = 0
    for share in items:
        rate += share.rate
        burst += share.burst
    return shares.Share(rate, burst)


def _resized_amount(
    name: str,
    field: str,
    missing: shares.Share,
    total_borrowed: shares.Share,
    borrowed: Mapping[str, shares.Share],
    available: Mapping[str, shares.Share],
) -> int:
    target = getattr(missing, field)
    current_total = getattr(total_borrowed, field)
    current = getattr(borrowed.get(name, shares.ZERO), field)
    if target <= current_total:
        return current * target // current_total if current_total else 0
    total_available = sum(
        getattr(share, field) for share in available.values()
    )
    return (
        current
        + (target - current_total)
        * getattr(available[name], field)
        // total_available
    )
