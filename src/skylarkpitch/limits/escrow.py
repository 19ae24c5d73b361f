"""Hold one organisation's share at one host, by escrow.

The rate and burst of an organisation are one quantity, divided into
entitlements. All movement is by loans with leases: the lender takes a loan
off its own share before it tells the borrower, and takes it back only when
the borrower says that it gave it up, or when the lease is over by the
lender's clock with the drift added. The borrower counts the lease from when
it sent its request, with the drift taken off. So at every moment

    sum of the shares in use <= sum of the entitlements

Tokens move with a loan and never exceed the burst of the share they lie in.
Over every window of W seconds the hosts together therefore spend at most
burst + rate * W, through lost, doubled and late messages, restarts without
memory, partitions, and clocks whose rates are off by the drift at most.

The method is O'Neil's escrow ("The escrow transactional method", 1986) with
the leases of Gray and Cheriton (1989). This module does no input or output
and has no clock: ``now_s`` is the host's monotonic time in seconds.
"""

import dataclasses

from skylarkpitch import errors
from skylarkpitch.limits import shares

__all__ = ['Account', 'Grant']

# Keeps a loan that is backed by another from outliving it by rounding.
ROUNDING_S = 1e-6


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Grant:
    """Size of a loan from now on, the tokens with it, and its lease."""

    share: shares.Share
    tokens: int
    lease_s: float


@dataclasses.dataclass(slots=True, kw_only=True)
class _BorrowedLoan:
    share: shares.Share
    expires_s: float


@dataclasses.dataclass(slots=True, kw_only=True)
class _LentLoan:
    share: shares.Share
    expires_s: float
    number: int
    grant: Grant


class Account:
    """Keep a token bucket whose size changes by loans.

    ``drift`` bounds the error of every clock's rate, as a fraction.
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
        """Return the share that this host may use or lend now."""
        return self._available

    @property
    def tokens(self) -> float:
        """Return the micro-tokens in the bucket."""
        return self._tokens

    def borrowed(self) -> dict[str, shares.Share]:
        """Return what each lender lends to this host."""
        return {name: loan.share for name, loan in self._borrowed.items()}

    def borrowed_from(self, lender: str) -> shares.Share:
        """Return what ``lender`` lends to this host."""
        loan = self._borrowed.get(lender)
        return shares.ZERO if loan is None else loan.share

    def loan_expires_s(self, lender: str) -> float:
        """Return when a loan to this host ends; 0 if there is none."""
        loan = self._borrowed.get(lender)
        return 0.0 if loan is None else loan.expires_s

    def lent(self) -> dict[tuple[str, int], shares.Share]:
        """Return what this host lends, by borrower and incarnation."""
        return {key: loan.share for key, loan in self._lent.items()}

    def set_entitlement(self, share: shares.Share, *, now_s: float) -> None:
        """Change what this host holds by right.

        Loans above a smaller entitlement end with their leases.
        """
        self.refill_and_expire(now_s=now_s)
        self.entitlement = share
        self._recompute()

    def spend_token(self, *, now_s: float) -> bool:
        """Spend one token if there is one."""
        self.refill_and_expire(now_s=now_s)
        if self._tokens < shares.MICROTOKENS_PER_TOKEN:
            return False
        self._tokens -= shares.MICROTOKENS_PER_TOKEN
        self.spent += 1
        return True

    def seconds_until_tokens(self, tokens: int = 1) -> float:
        """Return the seconds until ``tokens`` are there without a loan."""
        missing = tokens * shares.MICROTOKENS_PER_TOKEN - self._tokens
        if missing <= 0:
            return 0.0
        if self._available.rate <= 0:
            return float('inf')
        return missing * (1 + self.drift) / self._available.rate

    def refill_and_expire(self, *, now_s: float) -> None:
        """Refill the bucket and end the loans whose lease is over."""
        while self._next_expiry_s <= now_s:
            ended_s = self._next_expiry_s
            self._refill(ended_s)
            self._end_loans(ended_s)
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
        """Give up a loan above ``keep`` and await the answer ``number``.

        Returns what is still held and the micro-tokens given back. Shares
        that were lent on to others can't be given up. An answer to an
        earlier request counts no more.
        """
        self.refill_and_expire(now_s=now_s)
        self._awaited_numbers[lender] = number
        loan = self._borrowed.get(lender)
        if loan is None:
            return shares.ZERO, 0
        before = self._tokens
        kept = loan.share - self._dispensable(loan)
        loan.share = loan.share.at_most(max_share.at_least(kept))
        held = loan.share
        self._recompute()
        return held, int(before - self._tokens)

    def accept_grant(
        self,
        lender: str,
        number: int,
        grant: Grant,
        *,
        sent_s: float,
        now_s: float,
    ) -> bool:
        """Take a grant that answers the request sent at ``sent_s``.

        Returns False for an answer that is not the awaited one, comes too
        late or prolongs nothing.
        """
        self.refill_and_expire(now_s=now_s)
        if self._awaited_numbers.get(lender) != number:
            return False
        del self._awaited_numbers[lender]
        expires_s = sent_s + grant.lease_s * (1 - self.drift)
        if grant.lease_s <= 0 or expires_s <= now_s:
            self._shrink(lender, grant.share)
            return False
        loan = self._borrowed.setdefault(
            lender, _BorrowedLoan(share=shares.ZERO, expires_s=expires_s)
        )
        kept = loan.share - self._dispensable(loan)
        loan.share = grant.share.at_least(kept)
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

        ``held`` is what the borrower still holds; it gave up the rest.
        ``target`` is the size that it should come to. A request that was
        answered before gets the same answer; ``None`` stands for one that
        a later one overtook or whose loan is not known here.
        """
        self.refill_and_expire(now_s=now_s)
        loan = self._lent.get(borrower)
        if loan is None:
            if held:
                return None
            loan = self._open(borrower, now_s)
        elif number <= loan.number:
            return loan.grant if number == loan.number else None
        self._take_back(loan, held, returned_tokens)
        before = loan.share
        granted, lease_s = self._size(loan, target, now_s)
        tokens = self._tokens_for(
            granted.burst - before.burst, reserved_tokens
        )
        self._tokens -= tokens
        loan.share = before.at_least(granted)
        loan.number = number
        loan.expires_s = max(
            loan.expires_s, now_s + lease_s * (1 + self.drift)
        )
        loan.grant = Grant(share=granted, tokens=tokens, lease_s=lease_s)
        self._recompute()
        self._check_lent(grew=loan.share != before)
        return loan.grant

    def _shrink(self, lender: str, share: shares.Share) -> None:
        loan = self._borrowed.get(lender)
        if loan is not None:
            kept = loan.share - self._dispensable(loan)
            loan.share = loan.share.at_most(share.at_least(kept))
            self._recompute()

    def _open(self, borrower: tuple[str, int], now_s: float) -> _LentLoan:
        none = Grant(share=shares.ZERO, tokens=0, lease_s=0.0)
        loan = _LentLoan(
            share=shares.ZERO, expires_s=now_s, number=0, grant=none
        )
        self._lent[borrower] = loan
        return loan

    def _take_back(
        self, loan: _LentLoan, held: shares.Share, returned_tokens: int
    ) -> None:
        freed = loan.share - held.at_most(loan.share)
        if not freed:
            return
        loan.share = loan.share - freed
        self._recompute()
        self._tokens += min(returned_tokens, freed.burst)
        self._clip()

    def _size(
        self, loan: _LentLoan, target: shares.Share, now_s: float
    ) -> tuple[shares.Share, float]:
        """Return the granted size of a loan and its lease in seconds.

        A loan that needs shares which this host borrowed itself ends
        before they do. A loan that is no longer covered, since the
        entitlement went down, is not prolonged.
        """
        whole = target.at_least(loan.share)
        ends = [item.expires_s for item in self._borrowed.values()]
        full_s = now_s + self.lease_s * (1 + self.drift)
        granted, lease_s = loan.share, 0.0
        backed_s = min([full_s, *ends]) - ROUNDING_S
        for until_s in (full_s, backed_s):
            covered = self._uncommitted_until(
                max(until_s, loan.expires_s), loan
            )
            if loan.share.within(covered):
                granted = target.at_most(covered)
                lease_s = (until_s - now_s) / (1 + self.drift)
            elif not lease_s:
                granted = granted.at_most(covered.at_least(shares.ZERO))
            if whole.within(covered):
                break
        return granted.at_most(target), lease_s

    def _uncommitted_until(
        self, until_s: float, without: _LentLoan | None = None
    ) -> shares.Share:
        """Return the least that is uncommitted from now to ``until_s``."""
        if not self._borrowed:
            taken = shares.ZERO if without is None else without.share
            return self._available + taken
        loans = [*self._borrowed.values(), *self._lent.values()]
        moments = {item.expires_s for item in loans}
        least = self._uncommitted(self._updated_s, without)
        for moment_s in moments:
            if self._updated_s < moment_s < until_s:
                least = least.at_most(self._uncommitted(moment_s, without))
        return least

    def _dispensable(self, loan: _BorrowedLoan) -> shares.Share:
        """Return how much of a loan no share lent on depends on."""
        covered = self._uncommitted_until(loan.expires_s)
        return loan.share.at_most(covered).at_least(shares.ZERO)

    def _uncommitted(
        self, moment_s: float, without: _LentLoan | None = None
    ) -> shares.Share:
        rate = self.entitlement.rate
        burst = self.entitlement.burst
        for loan in self._borrowed.values():
            if loan.expires_s > moment_s:
                rate += loan.share.rate
                burst += loan.share.burst
        for lent in self._lent.values():
            if lent.expires_s > moment_s and lent is not without:
                rate -= lent.share.rate
                burst -= lent.share.burst
        return shares.Share(rate, burst)

    def _tokens_for(self, grown_burst: int, reserved_tokens: int) -> int:
        if grown_burst <= 0 or self._available.burst <= 0:
            return 0
        surplus = self._tokens - reserved_tokens
        in_proportion = self._tokens * grown_burst / self._available.burst
        return int(min(grown_burst, max(surplus, in_proportion)))

    def _refill(self, now_s: float) -> None:
        elapsed_s = now_s - self._updated_s
        if elapsed_s <= 0:
            return
        self._updated_s = now_s
        if self._available.rate > 0:
            self._tokens += self._available.rate * elapsed_s / (1 + self.drift)
            self._clip()

    def _clip(self) -> None:
        self._tokens = min(self._tokens, max(0, self._available.burst))

    def _end_loans(self, ended_s: float) -> None:
        for loans in (self._lent, self._borrowed):
            over = [k for k, v in loans.items() if v.expires_s <= ended_s]
            for key in over:
                del loans[key]

    def _recompute(self) -> None:
        rate, burst = self.entitlement.rate, self.entitlement.burst
        expiry_s = float('inf')
        for loan in self._borrowed.values():
            rate += loan.share.rate
            burst += loan.share.burst
            if loan.expires_s < expiry_s:
                expiry_s = loan.expires_s
        for lent in self._lent.values():
            rate -= lent.share.rate
            burst -= lent.share.burst
            if lent.expires_s < expiry_s:
                expiry_s = lent.expires_s
        self._available = shares.Share(rate, burst)
        self._next_expiry_s = expiry_s
        self._clip()

    def _check_lent(self, *, grew: bool) -> None:
        if grew and not shares.ZERO.within(self._available):
            raise errors.InvariantError(
                f'loans exceed the share of this host: {self._available} is '
                'left; report this with the log, and restart the host'
            )
        if self._tokens < 0:
            raise errors.InvariantError(
                f'bucket balance is {self._tokens} micro-tokens, below zero; '
                'report this with the log, and restart the host'
            )
