"""Run short trials of the soak, and check that they detect broken escrow."""

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
def test_trial_without_violations(seed):
    assert violations(seed=seed, steps=800) == 0


def _lends_without_subtracting(monkeypatch):
    monkeypatch.setattr(
        escrow.Account, '_uncommitted_until', lambda self, *_: self.entitlement
    )


def _restarts_without_waiting(monkeypatch):
    monkeypatch.setattr(
        organisation.LeaseBounds, 'startup_wait_s', property(lambda _: 0.0)
    )


def _reclaims_before_release(monkeypatch):
    lend = escrow.Account.lend

    def broken(self, *args, **options):
        grant = lend(self, *args, **options)
        if grant is not None:
            self._lent[args[0]].share = grant.share
            self._recompute()
        return grant

    monkeypatch.setattr(escrow.Account, 'lend', broken)


def _counts_the_lease_from_the_response(monkeypatch):
    accept = escrow.Account.accept_grant

    def broken(self, *args, sent_s, now_s):
        return accept(self, *args, sent_s=now_s, now_s=now_s)

    monkeypatch.setattr(escrow.Account, 'accept_grant', broken)


def _uses_share_after_release(monkeypatch):
    def broken(self, lender, number, *, max_share, now_s):
        self.refill_and_expire(now_s=now_s)
        self._awaited_numbers[lender] = number
        return self.borrowed_from(lender).at_most(max_share), 0

    monkeypatch.setattr(escrow.Account, 'prepare_request', broken)


def _applies_a_grant_repeatedly(monkeypatch):
    accept = escrow.Account.accept_grant

    def broken(self, lender, number, grant, **times):
        self._awaited_numbers[lender] = number
        return accept(self, lender, number, grant, **times)

    monkeypatch.setattr(escrow.Account, 'accept_grant', broken)


@pytest.mark.parametrize(
    'inject_fault',
    [
        _lends_without_subtracting,
        _restarts_without_waiting,
        _reclaims_before_release,
        _counts_the_lease_from_the_response,
        _uses_share_after_release,
        _applies_a_grant_repeatedly,
    ],
)
def test_broken_escrow_is_caught(monkeypatch, inject_fault):
    inject_fault(monkeypatch)
    assert any(violations(seed=seed, steps=800) for seed in range(40))


def test_share_arithmetic_is_exact():
    whole = shares.from_tokens(rate_per_s=100, burst=10)
    third = whole.scaled(1, 3)
    assert (third + third + third).within(whole)
    assert whole.scaled(1, 0) == shares.ZERO
