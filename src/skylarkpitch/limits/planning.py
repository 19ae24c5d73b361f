"""Decide how a lender divides a share, and whom a borrower asks.

Nothing here is needed for safety: the account lends no more than it holds,
whatever the plan says.
"""

from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses

from skylarkpitch.limits import escrow
from skylarkpitch.limits import shares

__all__ = ['LoanPlanner', 'PlannedLoan']

# Part of an entitlement that never leaves its failure domain.
FLOOR_PERCENT = 2
MAX_LENDERS = 8


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PlannedLoan:
    """Size that a loan should have, and what could be lent on top."""

    target: shares.Share
    spare: shares.Share


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _Noted:
    want: shares.Share
    is_local: bool
    noted_s: float


class LoanPlanner:
    """Remember the wishes of borrowers and the spare shares of lenders."""

    def __init__(self) -> None:
        self._noted: dict[str, _Noted] = {}
        self._spare: dict[str, shares.Share] = {}
        self._remote: set[str] = set()

    def record_request(
        self,
        borrower: str,
        want: shares.Share,
        *,
        is_local: bool,
        now_s: float,
    ) -> None:
        """Remember what a borrower would like to hold."""
        if not is_local:
            self._remote.add(borrower)
        self._noted[borrower] = _Noted(
            want=want, is_local=is_local, noted_s=now_s
        )

    def record_spare(self, lender: str, spare: shares.Share) -> None:
        """Remember what a lender could have granted on top."""
        self._spare[lender] = spare

    def may_have_spare(self, lenders: Iterable[str]) -> bool:
        """Tell whether a lender may have something to lend."""
        unknown = shares.Share(1, 1)
        return any(self._spare.get(lender, unknown) for lender in lenders)

    def local_demand(
        self, required: shares.Share, *, now_s: float, lease_s: float
    ) -> shares.Share:
        """Return ``need`` plus the recent wishes within the domain."""
        rate, burst = required.rate, required.burst
        for name, noted in list(self._noted.items()):
            if now_s - noted.noted_s > lease_s:
                del self._noted[name]
            elif noted.is_local:
                rate += noted.want.rate
                burst += noted.want.burst
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
        """Return what a borrower should hold.

        Hosts of the own failure domain come first and share by max-min
        fairness. Other domains share what the own one does not need of its
        entitlement.
        """
        total = self.local_demand(
            required, now_s=now_s, lease_s=account.lease_s
        )
        if is_local:
            amount, wanted = self._for_domain(account), total
        else:
            floor = account.entitlement.scaled(FLOOR_PERCENT, 100)
            amount = account.entitlement - total.at_least(floor)
            amount = amount.at_least(shares.ZERO)
            wanted = _sum(self._wants(is_local=False).values())
        spare = (amount - wanted).at_least(shares.ZERO)
        if wanted.within(amount):
            return PlannedLoan(target=self._noted[borrower].want, spare=spare)
        wants = self._wants(is_local=is_local)
        if is_local:
            wants[''] = required
        return PlannedLoan(target=_fair(amount, wants)[borrower], spare=spare)

    def split_request(
        self,
        missing: shares.Share,
        *,
        lenders: tuple[str, ...],
        borrowed: Mapping[str, shares.Share],
        limit: shares.Share,
    ) -> dict[str, shares.Share]:
        """Return what to ask of each lender to make up for ``missing``.

        Loans grow in proportion to what the lenders have to spare and
        shrink in proportion to their size. Nobody else is asked for
        nothing.
        """
        held = _sum(borrowed.values())
        if not (missing or held):
            return {}
        room = self._room(lenders, borrowed, limit)
        return {
            name: shares.Share(
                _resized(name, 'rate', missing, held, borrowed, room),
                _resized(name, 'burst', missing, held, borrowed, room),
            )
            for name in room
        }

    def _room(
        self,
        lenders: tuple[str, ...],
        borrowed: Mapping[str, shares.Share],
        limit: shares.Share,
    ) -> dict[str, shares.Share]:
        even = limit.scaled(1, len(lenders) + 1)
        spare = {name: self._spare.get(name, even) for name in lenders}
        most = sorted(
            (name for name in lenders if name not in borrowed),
            key=lambda name: (spare[name].rate, spare[name].burst),
            reverse=True,
        )
        chosen = [name for name in borrowed if name in spare]
        chosen += most[: max(0, MAX_LENDERS - len(chosen))]
        # One micro-token keeps asking a lender that had nothing to spare.
        least = shares.Share(1, 1)
        return {name: spare[name].at_least(least) for name in chosen}

    def _for_domain(self, account: escrow.Account) -> shares.Share:
        amount = account.entitlement + _sum(account.borrowed().values())
        if self._remote:
            amount = amount - _sum(
                share
                for (name, _), share in account.lent().items()
                if name in self._remote
            )
        return amount.at_least(shares.ZERO)

    def _wants(self, *, is_local: bool) -> dict[str, shares.Share]:
        return {
            name: noted.want
            for name, noted in self._noted.items()
            if noted.is_local == is_local
        }


def _fair(
    amount: shares.Share, wants: Mapping[str, shares.Share]
) -> dict[str, shares.Share]:
    rates = shares.max_min(
        amount.rate, {name: want.rate for name, want in wants.items()}
    )
    bursts = shares.max_min(
        amount.burst, {name: want.burst for name, want in wants.items()}
    )
    return {name: shares.Share(rates[name], bursts[name]) for name in wants}


def _sum(items: Iterable[shares.Share]) -> shares.Share:
    rate = burst = 0
    for share in items:
        rate += share.rate
        burst += share.burst
    return shares.Share(rate, burst)


def _resized(
    name: str,
    field: str,
    missing: shares.Share,
    held: shares.Share,
    borrowed: Mapping[str, shares.Share],
    room: Mapping[str, shares.Share],
) -> int:
    needed = getattr(missing, field)
    before = getattr(held, field)
    own = getattr(borrowed.get(name, shares.ZERO), field)
    if needed <= before:
        return own * needed // before if before else 0
    total = sum(getattr(share, field) for share in room.values())
    return own + (needed - before) * getattr(room[name], field) // total
