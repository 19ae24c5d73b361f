"""Messages that move shares of an organisation's rate and burst.

Rates are in micro-tokens a second, bursts and tokens in micro-tokens. Wishes
and grants go as arrays, since one message carries many of them; new fields go
to their end.
"""

import msgspec

from skylarkpitch.messages import codec

__all__ = ['LoanGrant', 'LoanRequest', 'LoanResponse', 'RequestedLoan']


class RequestedLoan(
    msgspec.Struct, frozen=True, kw_only=True, array_like=True
):
    """What a borrower holds of one organisation, and would like to hold.

    The borrower gave up everything above ``held`` before it sent this;
    ``returned_tokens`` left its bucket with that.
    """

    organisation: str
    held_rate: int
    held_burst: int
    want_rate: int
    want_burst: int
    returned_tokens: int = 0


class LoanGrant(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """What the lender grants of one organisation from now on.

    A ``lease_s`` of zero prolongs nothing. ``spare_rate`` and
    ``spare_burst`` tell what the lender could grant on top.
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
    """Ask a lender to renew and resize the loans of some organisations.

    ``incarnation`` differs for every run of the borrower; ``number`` grows
    by one with each request of an incarnation. ``view`` is a digest of the
    holders in the borrower's view.
    """

    incarnation: int
    number: int
    view: str
    urgent: bool
    wishes: tuple[RequestedLoan, ...]


@codec.message('limits.loan_answer')
class LoanResponse:
    """Answer the request with the same number."""

    number: int
    grants: tuple[LoanGrant, ...]
