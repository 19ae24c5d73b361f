"""Specification of escrow: transfer, expiry, crash and partition.

The transitions are those of the program: each state contains the accounts in
full, and a step restores them, calls the real account and records it again.
Messages are never removed from the network, so that each one may be lost,
delayed, duplicated or reordered; a partition is a message that is not
delivered yet. A lender's clock runs fast and a borrower's slow, each by the
whole drift. The rate is zero, so that only the bursts of shares matter.
"""

from collections.abc import Callable
import dataclasses
import functools

import minicheck

from benchmarks.models import spec
from skylarkpitch.limits import escrow
from skylarkpitch.limits import shares

__all__ = ['SPECS']

LEASE_S = 2.0
DRIFT = 0.4
ENTITLEMENT = 2
LOAN_SIZES = (0, 2)
FIELDS = ('now', 'hosts', 'network', 'asked', 'restarts', 'in_use')


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Scenario:
    """Bounds of one model check, and the faults of a broken variant."""

    lenders: tuple[int, ...]
    ticks: int
    requests: int
    restarts: int
    account_type: type[escrow.Account] = escrow.Account
    waits_after_restart: bool = True


def _share(size: int) -> shares.Share:
    return shares.Share(0, size)


def _clock(scenario: Scenario, host: int, now: int) -> float:
    """Return the clock of a host: lenders' run fast, others' slow."""
    is_lender = host in scenario.lenders
    return now * (1 + DRIFT if is_lender else 1 - DRIFT)


def _restore(scenario: Scenario, host: tuple, now_s: float) -> escrow.Account:
    entitlement, _, _, borrowed, lent, awaited = host
    account = scenario.account_type(lease_s=LEASE_S, drift=DRIFT, now_s=now_s)
    account.entitlement = _share(entitlement)
    account._borrowed = {
        lender: escrow._BorrowedLoan(share=_share(size), expires_s=expires_s)
        for lender, size, expires_s in borrowed
    }
    account._lent = {
        key: escrow._LentLoan(
            share=_share(size),
            expires_s=expires_s,
            number=number,
            grant=escrow.Grant(share=_share(g), tokens=0, lease_s=lease),
        )
        for key, size, expires_s, number, g, lease in lent
    }
    account._awaited_numbers = dict(awaited)
    account._recompute()
    account.refill_and_expire(now_s=now_s)
    return account


def _record(
    account: escrow.Account, incarnation: int, resumes_s: float
) -> tuple:
    borrowed = tuple(
        (lender, loan.share.burst, loan.expires_s)
        for lender, loan in sorted(account._borrowed.items())
    )
    lent = tuple(
        (
            key,
            loan.share.burst,
            loan.expires_s,
            loan.number,
            loan.grant.share.burst,
            loan.grant.lease_s,
        )
        for key, loan in sorted(account._lent.items())
    )
    awaited = tuple(sorted(account._awaited_numbers.items()))
    entitlement = account.entitlement.burst
    return entitlement, incarnation, resumes_s, borrowed, lent, awaited


@functools.lru_cache(maxsize=200_000)
def _share_in_use(scenario: Scenario, now: int, hosts: tuple) -> int:
    total = 0
    for number, host in enumerate(hosts):
        account = _restore(scenario, host, _clock(scenario, number, now))
        total += max(0, account.available.burst)
    return total


class _Step:
    """Build the states that follow one state."""

    def __init__(self, scenario: Scenario, state: tuple) -> None:
        self._scenario = scenario
        self.now, self.hosts, self.network, self.asked, self.restarts, _ = (
            state
        )

    def account(self, host: int) -> escrow.Account:
        now_s = self.clock(host)
        return _restore(self._scenario, self.hosts[host], now_s)

    def clock(self, host: int) -> float:
        return _clock(self._scenario, host, self.now)

    def after(
        self,
        *,
        host: int | None = None,
        record: tuple = (),
        sent: tuple = (),
        **changed: int,
    ) -> tuple:
        hosts = list(self.hosts)
        if host is not None:
            hosts[host] = record
        now = changed.get('now', self.now)
        return (
            now,
            tuple(hosts),
            self.network | frozenset(sent),
            changed.get('asked', self.asked),
            changed.get('restarts', self.restarts),
            _share_in_use(self._scenario, now, tuple(hosts)),
        )

    def record_account(self, host: int, account: escrow.Account) -> tuple:
        _, incarnation, resumes_s, *_ = self.hosts[host]
        return _record(account, incarnation, resumes_s)


def _send_request(step: _Step, borrower: int, want: int) -> tuple:
    """Reduce a loan to at most ``want`` and send a request for ``want``."""
    account = step.account(borrower)
    number = step.asked + 1
    now_s = step.clock(borrower)
    lender = borrower - 1
    held, _ = account.prepare_request(
        str(lender), number, max_share=_share(want), now_s=now_s
    )
    incarnation = step.hosts[borrower][1]
    request = ('ask', borrower, incarnation, number, held.burst, want, now_s)
    return step.after(
        host=borrower,
        record=step.record_account(borrower, account),
        sent=(request,),
        asked=number,
    )


def _deliver_request(step: _Step, message: tuple) -> tuple:
    _, borrower, incarnation, number, held, want, sent_s = message
    lender = borrower - 1
    account = step.account(lender)
    grant = account.lend(
        (str(borrower), incarnation),
        number,
        held=_share(held),
        returned_tokens=0,
        target=_share(want),
        reserved_tokens=0,
        now_s=step.clock(lender),
    )
    sent = ()
    if grant is not None:
        size = grant.share.burst
        answer = (borrower, incarnation, number, size, grant.lease_s, sent_s)
        sent = (('answer', *answer),)
    return step.after(
        host=lender, record=step.record_account(lender, account), sent=sent
    )


def _deliver_answer(step: _Step, message: tuple) -> tuple:
    _, borrower, incarnation, number, size, lease_s, sent_s = message
    if step.hosts[borrower][1] != incarnation:
        return step.after()
    account = step.account(borrower)
    account.accept_grant(
        str(borrower - 1),
        number,
        escrow.Grant(share=_share(size), tokens=0, lease_s=lease_s),
        sent_s=sent_s,
        now_s=step.clock(borrower),
    )
    return step.after(
        host=borrower, record=step.record_account(borrower, account)
    )


def _deliver_request_halved(step: _Step, message: tuple) -> tuple:
    """Deliver a request to a lender that grants half of it."""
    return _deliver_request(step, (*message[:5], message[5] // 2, message[6]))


def _restart(scenario: Scenario, step: _Step, host: int) -> tuple:
    """Restart without state; the entitlement returns after a lease."""
    now_s = step.clock(host)
    wait_s = LEASE_S * (1 + DRIFT) if scenario.waits_after_restart else 0.0
    incarnation = step.hosts[host][1] + 1
    record = (0, incarnation, now_s + wait_s, (), (), ())
    return step.after(host=host, record=record, restarts=step.restarts + 1)


def _resume(step: _Step, host: int) -> tuple:
    account = step.account(host)
    account.set_entitlement(_share(ENTITLEMENT), now_s=step.clock(host))
    return step.after(host=host, record=step.record_account(host, account))


def _transitions(scenario: Scenario) -> Callable[[tuple], list]:
    borrowers = range(1, max(scenario.lenders) + 2)

    def transitions(state: tuple) -> list:
        step = _Step(scenario, state)
        successors = []
        if step.now < scenario.ticks:
            successors.append(('tick', step.after(now=step.now + 1)))
        if step.asked < scenario.requests:
            successors += [
                (f'host {b} requests {want}', _send_request(step, b, want))
                for b in borrowers
                for want in LOAN_SIZES
            ]
        for message in step.network:
            if message[0] == 'ask':
                successors.append(('request', _deliver_request(step, message)))
                if message[5]:
                    successors.append(
                        (
                            'request granted in half',
                            _deliver_request_halved(step, message),
                        )
                    )
            else:
                successors.append(('answer', _deliver_answer(step, message)))
        if step.restarts < scenario.restarts:
            successors += [
                (f'host {h} restarts', _restart(scenario, step, h))
                for h in range(len(step.hosts))
            ]
        root_host = step.hosts[0]
        if not root_host[0] and step.clock(0) >= root_host[2]:
            successors.append(('holder resumes', _resume(step, 0)))
        return successors

    return transitions


def _protocol(scenario: Scenario) -> minicheck.Protocol:
    count = max(scenario.lenders) + 2
    root_host = (ENTITLEMENT, 0, 0.0, (), (), ())
    others = tuple((0, 0, 0.0, (), (), ()) for _ in range(count - 1))
    return minicheck.Protocol(
        name='escrow',
        candidate=False,
        fields=FIELDS,
        initial=(0, (root_host, *others), frozenset(), 0, 0, ENTITLEMENT),
        transitions=_transitions(scenario),
        invariants={
            'shares in use stay within the entitlement': (
                lambda d: d['in_use'] <= ENTITLEMENT
            )
        },
    )


class _ExpiresByTheBorrowersLease(escrow.Account):
    """Reclaim a loan when the borrower's lease would expire."""

    def lend(self, borrower, number, *, now_s, **options):
        grant = super().lend(borrower, number, now_s=now_s, **options)
        if grant is not None:
            ends_s = now_s + grant.lease_s * (1 - self.drift)
            self._lent[borrower].expires_s = ends_s
            self._recompute()
        return grant


class _AppliesRepeatedResponses(escrow.Account):
    """Apply a response each time it arrives."""

    def accept_grant(self, lender, number, grant, **times):
        self._awaited_numbers[lender] = number
        return super().accept_grant(lender, number, grant, **times)


class _ReclaimsBeforeRelease(escrow.Account):
    """Reclaim a share that the borrower has not released yet."""

    def lend(self, borrower, number, **options):
        grant = super().lend(borrower, number, **options)
        if grant is not None:
            self._lent[borrower].share = grant.share
            self._recompute()
        return grant


DIRECT = Scenario(lenders=(0,), ticks=3, requests=2, restarts=1)
SMALL = dataclasses.replace(DIRECT, requests=1)
WITHOUT_RESTARTS = dataclasses.replace(DIRECT, restarts=0)
CHAIN = Scenario(lenders=(0, 1), ticks=3, requests=2, restarts=0)
SMALL_CHAIN = dataclasses.replace(CHAIN, ticks=2)


def _broken(scenario: Scenario, **changes) -> minicheck.Protocol:
    return _protocol(dataclasses.replace(scenario, **changes))


SPECS = (
    spec.Spec(
        name='escrow',
        protocol=_protocol(DIRECT),
        broken=(
            (
                'lender-takes-back-at-the-borrowers-time',
                _broken(SMALL, account_type=_ExpiresByTheBorrowersLease),
            ),
            (
                'restart-without-waiting',
                _broken(SMALL, waits_after_restart=False),
            ),
            (
                'duplicated-loan-applied-twice',
                _broken(
                    WITHOUT_RESTARTS,
                    ticks=1,
                    account_type=_AppliesRepeatedResponses,
                ),
            ),
            (
                'return-counted-before-it-is-acknowledged',
                _broken(
                    WITHOUT_RESTARTS,
                    ticks=1,
                    account_type=_ReclaimsBeforeRelease,
                ),
            ),
        ),
        small=_protocol(SMALL),
    ),
    spec.Spec(
        name='escrow-chain',
        protocol=_protocol(CHAIN),
        broken=(),
        small=_protocol(SMALL_CHAIN),
    ),
)
