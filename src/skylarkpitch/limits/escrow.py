"""Account for the share of an organisation's limit at one host, by escrow.

The rate and burst of an organisation are divided into entitlements of
hosts. Hosts transfer parts of them only as loans with leases. The lender
subtracts a loan from its available share before it sends the grant. It adds
the loan back only after the borrower has reported a release, or when the
lease has expired by the lender's clock with the drift added. The borrower
counts the lease from the time when it sent its request, with the drift
subtracted. Therefore, at every moment:

    sum of the shares in use <= sum of the entitlements

Tokens are transferred with a loan and never exceed the burst of the share
whose bucket contains them. Over every window of W seconds, all hosts
together spend at most burst + rate * W. This bound holds with lost,
duplicated and late messages, restarts without stored state, network
partitions, and clocks whose rates are wrong by at most the drift.

The method is O'Neil's escrow ("The escrow transactional method", 1986) with
the leases of Gray and Cheriton (1989). This module does no input or output
and reads no clock: ``now_s`` is the host's monotonic time in seconds.
"""

import dataclasses

from skylarkpitch import errors
from skylarkpitch.limits import shares

__all__ = ['Account', 'Grant']

# Subtracted from the lease of a loan that is backed by another loan, so that
# rounding cannot make it expire after that one.
LEASE_ROUNDING_S = 1e-6


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Grant:
    """New size of a loan, the micro-tokens transferred, and the lease.

    A ``lease_s`` of zero does not extend the loan.
    """

    share: shares.Share
    tokens: int
    lease_s: float


@dataclasses.dataclass(slots=True, kw_only=True)
class _BorrowedLoan:
    """Loan from another host; expires by the borrower's clock."""

    share: shares.Share
    expires_s: float


@dataclasses.dataclass(slots=True, kw_only=True)
class _LentLoan:
    """Loan to another host, with the last request number and its grant."""

    share: shares.Share
    expires_s: float
    number: int
    grant: Grant


class Account:
    """Token bucket whose rate and burst change with loans.

    ``lease_s`` is the lease of new grants in seconds. ``drift`` is the upper
    bound of the error of every clock's rate, as a fraction. ``spent`` counts
    the tokens spent since the account was created.
    """

    def __init__(self, *, lease_s: float, drift: float, now_s: float) -> None:
        self.lease_s = lease_s
        self.drift = drift
        self.entitlement = shares.ZERO
        self.spent = 0
        self._borrowed: dict[str, _BorrowedLoan] = {}
        self._awaited_numbers: dict[str, int] = {}
        self._lent: dict[tuple[str, int], _LentLoan] = {}
        self._available = shares.ZERO
        self._tokens = 0.0
        self._updated_s = now_s
        self._next_expiry_s = float('inf')

    @property
    def available(self) -> shares.Share:
        """Return the share that this host can use or lend now."""
        return self._available

    @property
    def tokens(self) -> float:
        """Return the micro-tokens in the bucket."""
        return self._tokens

    def borrowed(self) -> dict[str, shares.Share]:
        """Return the share borrowed from each lender."""
        return {name: loan.share for name, loan in self._borrowed.items()}

    def borrowed_from(self, lender: str) -> shares.Share:
        """Return the share borrowed from ``lender``."""
        loan = self._borrowed.get(lender)
        return shares.ZERO if loan is None else loan.share

    def loan_expires_s(self, lender: str) -> float:
        """Return the expiry time of the loan from ``lender``; 0 if none."""
        loan = self._borrowed.get(lender)
        return 0.0 if loan is None else loan.expires_s

    def lent(self) -> dict[tuple[str, int], shares.Share]:
        """Return the shares lent, by borrower and incarnation."""
        return {key: loan.share for key, loan in self._lent.items()}

    def set_entitlement(self, share: shares.Share, *, now_s: float) -> None:
        """Replace the entitlement of this host.

        Loans that exceed a lower entitlement last until their leases expire.
        """
        self.refill_and_expire(now_s=now_s)
        self.entitlement = share
        self._recompute()

    def spend_token(self, *, now_s: float) -> bool:
        """Spend one token; return False if the bucket has less than one."""
        self.refill_and_expire(now_s=now_s)
        if self._tokens < shares.MICROTOKENS_PER_TOKEN:
            return False
        self._tokens -= shares.MICROTOKENS_PER_TOKEN
        self.spent += 1
        return True

    def seconds_until_tokens(self, tokens: int = 1) -> float:
        """Return the seconds until the bucket has refilled to ``tokens``.

        Returns infinity for a rate of zero or below. Future loans are not
        considered.
        """
        missing = tokens * shares.MICROTOKENS_PER_TOKEN - self._tokens
        if missing <= 0:
            return 0.0
        if self._available.rate <= 0:
            return float('inf')
        return missing * (1 + self.drift) / self._available.rate

    def refill_and_expire(self, *, now_s: float) -> None:
        """Refill the bucket and remove the loans whose lease has expired."""
        while self._next_expiry_s <= now_s:
            expired_at_s = self._next_expiry_s
            self._refill(expired_at_s)
            self._remove_expired_loans(expired_at_s)
            self._recompute()
        self._refill(now_s)

    def prepare_request(
        self,
        lender: str,
        number: int,
        *,
        max_share: shares.Share,
        now_s: float,
    ) -> tuple[shares.Share, int]:
        """Release what exceeds ``max_share``; await response ``number``.

        Returns the remaining share of the loan and the micro-tokens
        released with the rest. The part that was lent on to other hosts
        cannot be released. Responses to earlier requests are ignored from
        now on.
        """
        self.refill_and_expire(now_s=now_s)
        self._awaited_numbers[lender] = number
        loan = self._borrowed.get(lender)
        if loan is None:
            return shares.ZERO, 0
        tokens_before = self._tokens
        lent_on = loan.share - self._releasable(loan)
        loan.share = loan.share.at_most(max_share.at_least(lent_on))
        remaining = loan.share
        self._recompute()
        return remaining, int(tokens_before - self._tokens)

    def accept_grant(
        self,
        lender: str,
        number: int,
        grant: Grant,
        *,
        sent_s: float,
        now_s: float,
    ) -> bool:
        """Apply a grant for the request that was sent at ``sent_s``.

        Returns False for a response that is not the awaited one, that
        arrives after its lease has expired, or that does not extend the
        loan. In the last two cases the loan can only shrink, to the granted
        share.
        """
        self.refill_and_expire(now_s=now_s)
        if self._awaited_numbers.get(lender) != number:
            return False
        del self._awaited_numbers[lender]
        expires_s = sent_s + grant.lease_s * (1 - self.drift)
        if grant.lease_s <= 0 or expires_s <= now_s:
            self._shrink_loan(lender, grant.share)
            return False
        loan = self._borrowed.setdefault(
            lender, _BorrowedLoan(share=shares.ZERO, expires_s=expires_s)
        )
        lent_on = loan.share - self._releasable(loan)
        loan.share = grant.share.at_least(lent_on)
        loan.expires_s = max(loan.expires_s, expires_s)
        self._tokens += grant.tokens
        self._recompute()
        return True

    def lend(
        self,
        borrower: tuple[str, int],
        number: int,
        *,
        held: shares.Share,
        returned_tokens: int,
        target: shares.Share,
        reserved_tokens: int,
        now_s: float,
    ) -> Grant | None:
        """Renew and resize the loan of a borrower's incarnation.

        ``held`` is the share that the borrower still uses; it has released
        the rest. ``target`` is the intended size of the loan.
        ``reserved_tokens`` are micro-tokens that stay with this host, unless
        the borrower's proportion of the bucket is larger. A repeated request
        gets the same grant again. Returns None if a later request has been
        processed already, or if the loan is unknown to this host, as after a
        restart. Raises ``InvariantError`` if the loans exceed the share of
        this host.
        """
        self.refill_and_expire(now_s=now_s)
        loan = self._lent.get(borrower)
        if loan is None:
            if held:
                return None
            loan = self._open_loan(borrower, now_s)
        elif number <= loan.number:
            return loan.grant if number == loan.number else None
        self._reclaim(loan, held, returned_tokens)
        previous_share = loan.share
        granted, lease_s = self._loan_size(loan, target, now_s)
        tokens = self._tokens_to_lend(
            granted.burst - previous_share.burst, reserved_tokens
        )
        self._tokens -= tokens
        loan.share = previous_share.at_least(granted)
        loan.number = number
        loan.expires_s = max(
            loan.expires_s, now_s + lease_s * (1 + self.drift)
        )
        loan.grant = Grant(share=granted, tokens=tokens, lease_s=lease_s)
        self._recompute()
        self._check_invariants(grew=loan.share != previous_share)
        return loan.grant

    def _shrink_loan(self, lender: str, share: shares.Share) -> None:
        loan = self._borrowed.get(lender)
        if loan is not None:
            lent_on = loan.share - self._releasable(loan)
            loan.share = loan.share.at_most(share.at_least(lent_on))
            self._recompute()

    def _open_loan(self, borrower: tuple[str, int], now_s: float) -> _LentLoan:
        empty_grant = Grant(share=shares.ZERO, tokens=0, lease_s=0.0)
        loan = _LentLoan(
            share=shares.ZERO, expires_s=now_s, number=0, grant=empty_grant
        )
        self._lent[borrower] = loan
        return loan

    def _reclaim(
        self, loan: _LentLoan, held: shares.Share, returned_tokens: int
    ) -> None:
        freed = loan.share - held.at_most(loan.share)
        if not freed:
            return
        loan.share = loan.share - freed
        self._recompute()
        self._tokens += min(returned_tokens, freed.burst)
        self._cap_tokens()

    def _loan_size(
        self, loan: _LentLoan, target: shares.Share, now_s: float
    ) -> tuple[shares.Share, float]:
        """Return the granted size of a loan and its lease in seconds.

        A loan that is backed by shares which this host has borrowed itself
        expires before they do. A loan that exceeds the uncommitted share,
        because the entitlement was lowered, is not extended.
        """
        full_size = target.at_least(loan.share)
        backing_expiries_s = [
            item.expires_s for item in self._borrowed.values()
        ]
        full_lease_end_s = now_s + self.lease_s * (1 + self.drift)
        granted, lease_s = loan.share, 0.0
        backed_until_s = (
            min([full_lease_end_s, *backing_expiries_s]) - LEASE_ROUNDING_S
        )
        for until_s in (full_lease_end_s, backed_until_s):
            uncommitted = self._uncommitted_until(
                max(until_s, loan.expires_s), loan
            )
            if loan.share.within(uncommitted):
                granted = target.at_most(uncommitted)
                lease_s = (until_s - now_s) / (1 + self.drift)
            elif not lease_s:
                granted = granted.at_most(uncommitted.at_least(shares.ZERO))
            if full_size.within(uncommitted):
                break
        return granted.at_most(target), lease_s

    def _uncommitted_until(
        self, until_s: float, excluded: _LentLoan | None = None
    ) -> shares.Share:
        """Return the minimum uncommitted share from now to ``until_s``.

        That is the share which this host would not have lent, considering
        the expiry of each loan. The loan ``excluded`` counts as not lent.
        """
        if not self._borrowed:
            excluded_share = (
                shares.ZERO if excluded is None else excluded.share
            )
            return self._available + excluded_share
        loans = [*self._borrowed.values(), *self._lent.values()]
        expiries_s = {item.expires_s for item in loans}
        minimum = self._uncommitted_at(self._updated_s, excluded)
        for at_s in expiries_s:
            if self._updated_s < at_s < until_s:
                minimum = minimum.at_most(self._uncommitted_at(at_s, excluded))
        return minimum

    def _releasable(self, loan: _BorrowedLoan) -> shares.Share:
        """Return the part of a loan that backs no loan to another host."""
        uncommitted = self._uncommitted_until(loan.expires_s)
        return loan.share.at_most(uncommitted).at_least(shares.ZERO)

    def _uncommitted_at(
        self, at_s: float, excluded: _LentLoan | None = None
    ) -> shares.Share:
        rate = self.entitlement.rate
        burst = self.entitlement.burst
        for loan in self._borrowed.values():
            if loan.expires_s > at_s:
                rate += loan.share.rate
                burst += loan.share.burst
        for lent_loan in self._lent.values():
            if lent_loan.expires_s > at_s and lent_loan is not excluded:
                rate -= lent_loan.share.rate
                burst -= lent_loan.share.burst
        return shares.Share(rate, burst)

    def _tokens_to_lend(self, added_burst: int, reserved_tokens: int) -> int:
        if added_burst <= 0 or self._available.burst <= 0:
            return 0
        surplus = self._tokens - reserved_tokens
        proportional = self._tokens * added_burst / self._available.burst
        return int(min(added_burst, max(surplus, proportional)))

    def _refill(self, now_s: float) -> None:
        elapsed_s = now_s - self._updated_s
        if elapsed_s <= 0:
            return
        self._updated_s = now_s
        if self._available.rate > 0:
            self._tokens += self._available.rate * elapsed_s / (1 + self.drift)
            self._cap_tokens()

    def _cap_tokens(self) -> None:
        self._tokens = min(self._tokens, max(0, self._available.burst))

    def _remove_expired_loans(self, expired_at_s: float) -> None:
        for loans in (self._lent, self._borrowed):
            expired = [
                k for k, v in loans.items() if v.expires_s <= expired_at_s
            ]
            for key in expired:
                del loans[key]

    def _recompute(self) -> None:
        rate, burst = self.entitlement.rate, self.entitlement.burst
        expiry_s = float('inf')
        for loan in self._borrowed.values():
            rate += loan.share.rate
            burst += loan.share.burst
            if loan.expires_s < expiry_s:
                expiry_s = loan.expires_s
        for lent_loan in self._lent.values():
            rate -= lent_loan.share.rate
            burst -= lent_loan.share.burst
            if lent_loan.expires_s < expiry_s:
                expiry_s = lent_loan.expires_s
        self._available = shares.Share(rate, burst)
        self._next_expiry_s = expiry_s
        self._cap_tokens()

    def _check_invariants(self, *, grew: bool) -> None:
        if grew and not shares.ZERO.within(self._available):
            raise errors.InvariantError(
                f'loans exceed the share of this host: {self._available}; '
                'report this with the log, and restart the host'
            )
        if self._tokens < 0:
            raise errors.InvariantError(
                f'{self._tokens} micro-tokens are in the bucket, below zero; '
                'report this with the log, and restart the host'
            )
