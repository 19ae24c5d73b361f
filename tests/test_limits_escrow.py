"""Tests of the escrow account of one organisation's share."""

import pytest

from skylarkpitch.limits import escrow
from skylarkpitch.limits import shares

LEASE_S = 2.0
DRIFT = 0.01
WHOLE = shares.from_tokens(rate_per_s=100, burst=100)
HALF = shares.from_tokens(rate_per_s=50, burst=50)
TENTH = shares.from_tokens(rate_per_s=10, burst=10)


def make(entitlement=shares.ZERO, now_s=0.0):
    account = escrow.Account(lease_s=LEASE_S, drift=DRIFT, now_s=now_s)
    account.set_entitlement(entitlement, now_s=now_s)
    return account


def lend(lender, number, *, held, target, now_s, released=0, borrower='b'):
    return lender.lend(
        (borrower, 1),
        number,
        held=held,
        returned_tokens=released,
        target=target,
        reserved_tokens=0,
        now_s=now_s,
    )


def borrow(lender, borrower, number, target, *, sent_s, now_s, name='b'):
    held, released = borrower.prepare_request(
        'l', number, max_share=target, now_s=sent_s
    )
    grant = lend(
        lender,
        number,
        held=held,
        target=target,
        released=released,
        now_s=now_s,
        borrower=name,
    )
    if grant is not None:
        borrower.accept_grant('l', number, grant, sent_s=sent_s, now_s=now_s)
    return grant


def test_bucket_refills_at_the_rate_less_the_drift():
    account = make(WHOLE)
    assert not account.spend_token(now_s=0.0)
    account.refill_and_expire(now_s=0.5)
    assert account.tokens == pytest.approx(WHOLE.rate * 0.5 / (1 + DRIFT))
    account.refill_and_expire(now_s=50.0)
    assert account.tokens == WHOLE.burst


def test_loan_moves_share_and_tokens_at_once():
    lender, borrower = make(WHOLE), make()
    borrow(lender, borrower, 1, HALF, sent_s=10.0, now_s=10.1)
    assert lender.available + borrower.available == WHOLE
    assert lender.tokens + borrower.tokens <= WHOLE.burst
    assert borrower.tokens == HALF.burst


@pytest.mark.parametrize(
    ('now_s', 'lender_rate', 'borrower_rate'),
    [
        (11.9, HALF.rate, HALF.rate),
        (10.0 + LEASE_S * (1 - DRIFT), HALF.rate, 0),
        (10.1 + LEASE_S, HALF.rate, 0),
        (10.1 + LEASE_S * (1 + DRIFT), WHOLE.rate, 0),
    ],
)
def test_borrower_stops_before_lender_reclaims(
    now_s, lender_rate, borrower_rate
):
    lender, borrower = make(WHOLE), make()
    borrow(lender, borrower, 1, HALF, sent_s=10.0, now_s=10.1)
    lender.refill_and_expire(now_s=now_s)
    borrower.refill_and_expire(now_s=now_s)
    assert lender.available.rate == lender_rate
    assert borrower.available.rate == borrower_rate


def test_same_request_twice_lends_once():
    lender = make(WHOLE)
    first = lend(lender, 1, held=shares.ZERO, target=HALF, now_s=5.0)
    again = lend(lender, 1, held=shares.ZERO, target=HALF, now_s=5.1)
    assert again == first
    assert lender.available == WHOLE - HALF


def test_request_after_a_later_one_is_not_answered():
    lender = make(WHOLE)
    lend(lender, 2, held=shares.ZERO, target=HALF, now_s=5.0)
    late = lend(lender, 1, held=shares.ZERO, target=TENTH, now_s=5.1)
    assert late is None
    assert lender.available == WHOLE - HALF


def test_response_is_applied_once():
    lender, borrower = make(WHOLE), make()
    grant = borrow(lender, borrower, 1, HALF, sent_s=5.0, now_s=5.0)
    for _ in range(10):
        borrower.spend_token(now_s=5.0)
    before = borrower.tokens
    assert not borrower.accept_grant('l', 1, grant, sent_s=5.0, now_s=5.0)
    assert borrower.tokens == before


def test_response_after_the_lease_is_dropped():
    lender, borrower = make(WHOLE), make()
    borrower.prepare_request('l', 1, max_share=HALF, now_s=5.0)
    grant = lend(lender, 1, held=shares.ZERO, target=HALF, now_s=5.1)
    assert not borrower.accept_grant('l', 1, grant, sent_s=5.0, now_s=7.0)
    assert borrower.available == shares.ZERO


def test_response_to_an_older_request_is_dropped():
    lender, borrower = make(WHOLE), make()
    borrower.prepare_request('l', 1, max_share=HALF, now_s=5.0)
    grant = lend(lender, 1, held=shares.ZERO, target=HALF, now_s=5.0)
    borrower.prepare_request('l', 2, max_share=HALF, now_s=5.1)
    assert not borrower.accept_grant('l', 1, grant, sent_s=5.0, now_s=5.2)


def test_share_is_released_before_the_request_is_sent():
    lender, borrower = make(WHOLE), make()
    borrow(lender, borrower, 1, HALF, sent_s=5.0, now_s=5.0)
    held, released = borrower.prepare_request(
        'l', 2, max_share=TENTH, now_s=5.5
    )
    assert (held, borrower.available) == (TENTH, TENTH)
    assert released == HALF.burst - TENTH.burst
    lend(lender, 2, held=held, target=TENTH, released=released, now_s=5.6)
    assert lender.available == WHOLE - TENTH


def test_lender_reclaims_only_what_the_borrower_released():
    lender, borrower = make(WHOLE), make()
    borrow(lender, borrower, 1, HALF, sent_s=5.0, now_s=5.0)
    held, _ = borrower.prepare_request('l', 2, max_share=HALF, now_s=5.5)
    grant = lend(lender, 2, held=held, target=TENTH, now_s=5.5)
    assert grant.share == TENTH
    assert lender.available == WHOLE - HALF
    borrower.accept_grant('l', 2, grant, sent_s=5.5, now_s=5.6)
    assert borrower.available == TENTH
    borrow(lender, borrower, 3, HALF, sent_s=5.7, now_s=5.7)
    assert lender.available + borrower.available == WHOLE


def test_loan_backed_by_a_loan_expires_before_it():
    first, middle, last = make(WHOLE), make(), make()
    borrow(first, middle, 1, HALF, sent_s=5.0, now_s=5.0, name='m')
    grant = borrow(middle, last, 1, HALF, sent_s=6.0, now_s=6.0)
    assert grant.lease_s < 1.0
    end_s = 5.0 + LEASE_S * (1 - DRIFT)
    middle.refill_and_expire(now_s=end_s)
    last.refill_and_expire(now_s=end_s)
    assert middle.available == last.available == shares.ZERO


def test_share_that_was_lent_on_cannot_be_released():
    first, middle, last = make(WHOLE), make(), make()
    borrow(first, middle, 1, HALF, sent_s=5.0, now_s=5.0, name='m')
    borrow(middle, last, 1, TENTH, sent_s=5.1, now_s=5.1)
    held, _ = middle.prepare_request('l', 2, max_share=shares.ZERO, now_s=5.2)
    assert held == TENTH


def test_lower_entitlement_stops_renewal_of_the_excess():
    lender, borrower = make(WHOLE), make()
    borrow(lender, borrower, 1, HALF, sent_s=5.0, now_s=5.0)
    lender.set_entitlement(TENTH, now_s=5.1)
    assert not lender.spend_token(now_s=5.1)
    grant = borrow(lender, borrower, 2, HALF, sent_s=5.2, now_s=5.2)
    assert grant.lease_s == 0
    borrow(lender, borrower, 3, HALF, sent_s=5.3, now_s=5.3)
    assert borrower.available.within(TENTH)
    assert (lender.available + borrower.available).within(TENTH)


def test_unknown_loan_is_not_renewed():
    lender = make(WHOLE)
    assert lend(lender, 4, held=HALF, target=HALF, now_s=1.0) is None
    assert lender.available == WHOLE


@pytest.mark.parametrize(
    ('amount', 'demands', 'granted'),
    [
        (10, {'a': 4, 'b': 4}, {'a': 4, 'b': 4}),
        (10, {'a': 2, 'b': 20}, {'a': 2, 'b': 8}),
        (9, {'a': 9, 'b': 9, 'c': 9}, {'a': 3, 'b': 3, 'c': 3}),
        (-3, {'a': 1}, {'a': 0}),
        (5, {}, {}),
    ],
)
def test_max_min_fairness(amount, demands, granted):
    assert shares.max_min(amount, demands) == granted
