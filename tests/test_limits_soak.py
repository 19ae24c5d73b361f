"""Run the soak's trials briefly, and show that they catch broken escrow."""

import pytest

from benchmarks.soaks import limits as soak
from skylarkpitch.limits import escrow
from skylarkpitch.limits import organisation
from skylarkpitch.limits import shares


def violations(*, seed, steps):
    trial = soak.Trial(seed=seed)
    for _ in range(steps):
        trial.step()
    return trial.counts['violations']


@pytest.mark.parametrize('seed', range(4))
def test_trial_holds(seed):
    assert violations(seed=seed, steps=800) == 0


def _lends_without_giving_up(monkeypatch):
    monkeypatch.setattr(
        escrow.Account, '_uncommitted_until', lambda self, *_: self.entitlement
    )


def _restarts_without_waiting(monkeypatch):
    monkeypatch.setattr(
        organisation.LeaseBounds, 'startup_wait_s', property(lambda _: 0.0)
    )


def _takes_back_at_once(monkeypatch):
    lend = escrow.Account.lend

    def broken(self, *args, **options):
        grant = lend(self, *args, **options)
        if grant is not None:
            self._lent[args[0]].share = grant.share
            self._recompute()
        return grant

    monkeypatch.setattr(escrow.Account, 'lend', broken)


def _counts_the_lease_from_the_answer(monkeypatch):
    accept = escrow.Account.accept_grant

    def broken(self, *args, sent_s, now_s):
        return accept(self, *args, sent_s=now_s, now_s=now_s)

    monkeypatch.setattr(escrow.Account, 'accept_grant', broken)


def _keeps_what_it_returns(monkeypatch):
    def broken(self, lender, number, *, max_share, now_s):
        self.refill_and_expire(now_s=now_s)
        self._awaited_numbers[lender] = number
        return self.borrowed_from(lender).at_most(max_share), 0

    monkeypatch.setattr(escrow.Account, 'prepare_request', broken)


def _answers_count_more_than_once(monkeypatch):
    accept = escrow.Account.accept_grant

    def broken(self, lender, number, grant, **times):
        self._awaited_numbers[lender] = number
        return accept(self, lender, number, grant, **times)

    monkeypatch.setattr(escrow.Account, 'accept_grant', broken)


@pytest.mark.parametrize(
    'break_it',
    [
        _lends_without_giving_up,
        _restarts_without_waiting,
        _takes_back_at_once,
        _counts_the_lease_from_the_answer,
        _keeps_what_it_returns,
        _answers_count_more_than_once,
    ],
)
def test_broken_escrow_is_caught(monkeypatch, break_it):
    break_it(monkeypatch)
    assert any(violations(seed=seed, steps=800) for seed in range(40))


def test_share_arithmetic_is_exact():
    whole = shares.from_tokens(rate_per_s=100, burst=10)
    third = whole.scaled(1, 3)
    assert (third + third + third).within(whole)
    assert whole.scaled(1, 0) == shares.ZERO
