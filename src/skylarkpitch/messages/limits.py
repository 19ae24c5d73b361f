"""Messages that lend shares of an organisation's rate and burst.

Rates are in micro-tokens a second, bursts and tokens in micro-tokens.
Requested loans and grants are encoded as arrays, since one message contains
many of them; new fields must be appended at the end.
"""

import msgspec

from skylarkpitch.messages import codec

__all__ = ['LoanGrant', 'LoanRequest', 'LoanResponse', 'RequestedLoan']


class RequestedLoan(
    msgspec.Struct, frozen=True, kw_only=True, array_like=True
):
    """Current and requested size of a loan for one organisation.

    The borrower released everything above ``held_rate`` and ``held_burst``
    before it sent this; ``returned_tokens`` were removed from its bucket
    with that.
    """

    organisation: str
    held_rate: int
    held_burst: int
    want_rate: int
    want_burst: int
    returned_tokens: int = 0


class LoanGrant(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """New size of a loan for one organisation.

    A ``lease_s`` of zero does not extend the loan. ``tokens`` are added to
    the borrower's bucket. ``spare_rate`` and ``spare_burst`` are what the
    lender could lend in addition.
    """

    organisation: str
    rate: int
    burst: int
    tokens: int
    lease_s: float
    spare_rate: int = 0
    spare_burst: int = 0


@codec.message('limits.loan_request')
class LoanRequest:
    """Request a lender to renew and resize loans of some organisations.

    ``incarnation`` differs for every run of the borrower; ``number``
    increases with each round of requests of an incarnation. ``view`` is a
    digest of the entry hosts in the borrower's settings. An ``urgent``
    request makes a lender in the same failure domain borrow elsewhere if its
    share is too small. ``wishes`` are the requested loans.
    """

    incarnation: int
    number: int
    view: str
    urgent: bool
    wishes: tuple[RequestedLoan, ...]


@codec.message('limits.loan_answer')
class LoanResponse:
    """Grants for the request with the same ``number``."""

    number: int
    grants: tuple[LoanGrant, ...]
