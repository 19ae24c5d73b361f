"""Specify escrow: transfer, expiry, crash and partition.

The transitions are those of the program: each state holds the accounts in
full, and a step restores them, calls the real account and takes them down
again. Messages are never removed from the network, so that every one may be
lost, late, doubled or overtaken, and a partition is a message not yet
delivered. A lender's clock runs fast and a borrower's slow, each by the
whole drift. The rate is zero, so that only the sizes of shares matter.
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
WHOLE = 2
SIZES = (0, 2)
FIELDS = ('now', 'hosts', 'network', 'asked', 'restarts', 'in_use')


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Shape:
    """Bounds of one check, and what a broken variant changes."""

    lenders: tuple[int, ...]
    ticks: int
    requests: int
    restarts: int
    account_type: type[escrow.Account] = escrow.Account
    waits: bool = True


def _share(size: int) -> shares.Share:
    return shares.Share(0, size)


def _clock(shape: Shape, host: int, now: int) -> float:
    """Return a host's own time: lenders run fast, others slow."""
    lends = host in shape.lenders
    return now * (1 + DRIFT if lends else 1 - DRIFT)


def _restore(shape: Shape, host: tuple, now_s: float) -> escrow.Account:
    entitlement, _, _, borrowed, lent, awaited = host
    account = shape.account_type(lease_s=LEASE_S, drift=DRIFT, now_s=now_s)
    account.entitlement = _share(entitlement)
    account._borrowed = {
        lender: escrow._BorrowedLoan(share=_share(size), expires_s=end)
        for lender, size, end in borrowed
    }
    account._lent = {
        key: escrow._LentLoan(
            share=_share(size),
            expires_s=end,
            number=number,
            grant=escrow.Grant(share=_share(g), tokens=0, lease_s=lease),
        )
        for key, size, end, number, g, lease in lent
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
def _in_use(shape: Shape, now: int, hosts: tuple) -> int:
    total = 0
    for number, host in enumerate(hosts):
        account = _restore(shape, host, _clock(shape, number, now))
        total += max(0, account.available.burst)
    return total


class _Step:
    """Build the states that follow one state."""

    def __init__(self, shape: Shape, state: tuple) -> None:
        self._shape = shape
        self.now, self.hosts, self.network, self.asked, self.restarts, _ = (
            state
        )

    def account(self, host: int) -> escrow.Account:
        now_s = self.clock(host)
        return _restore(self._shape, self.hosts[host], now_s)

    def clock(self, host: int) -> float:
        return _clock(self._shape, host, self.now)

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
            _in_use(self._shape, now, tuple(hosts)),
        )

    def record_account(self, host: int, account: escrow.Account) -> tuple:
        _, incarnation, resumes_s, *_ = self.hosts[host]
        return _record(account, incarnation, resumes_s)


def _ask(step: _Step, borrower: int, want: int) -> tuple:
    """Let a borrower keep at most ``want`` and ask for as much."""
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


def _claw_back(step: _Step, message: tuple) -> tuple:
    """Deliver a request to a lender that now wants half for itself."""
    return _deliver_request(step, (*message[:5], message[5] // 2, message[6]))


def _restart(shape: Shape, step: _Step, host: int) -> tuple:
    """Lose all memory; the entitlement comes back after a lease."""
    now_s = step.clock(host)
    wait_s = LEASE_S * (1 + DRIFT) if shape.waits else 0.0
    incarnation = step.hosts[host][1] + 1
    record = (0, incarnation, now_s + wait_s, (), (), ())
    return step.after(host=host, record=record, restarts=step.restarts + 1)


def _resume(step: _Step, host: int) -> tuple:
    account = step.account(host)
    account.set_entitlement(_share(WHOLE), now_s=step.clock(host))
    return step.after(host=host, record=step.record_account(host, account))


def _transitions(shape: Shape) -> Callable[[tuple], list]:
    borrowers = range(1, max(shape.lenders) + 2)

    def transitions(state: tuple) -> list:
        step = _Step(shape, state)
        found = []
        if step.now < shape.ticks:
            found.append(('tick', step.after(now=step.now + 1)))
        if step.asked < shape.requests:
            found += [
                (f'host {b} asks for {want}', _ask(step, b, want))
                for b in borrowers
                for want in SIZES
            ]
        for message in step.network:
            if message[0] == 'ask':
                found.append(('request', _deliver_request(step, message)))
                if message[5]:
                    found.append(('claw back', _claw_back(step, message)))
            else:
                found.append(('answer', _deliver_answer(step, message)))
        if step.restarts < shape.restarts:
            found += [
                (f'host {h} restarts', _restart(shape, step, h))
                for h in range(len(step.hosts))
            ]
        holder = step.hosts[0]
        if not holder[0] and step.clock(0) >= holder[2]:
            found.append(('holder resumes', _resume(step, 0)))
        return found

    return transitions


def _protocol(shape: Shape) -> minicheck.Protocol:
    count = max(shape.lenders) + 2
    holder = (WHOLE, 0, 0.0, (), (), ())
    others = tuple((0, 0, 0.0, (), (), ()) for _ in range(count - 1))
    return minicheck.Protocol(
        name='escrow',
        candidate=False,
        fields=FIELDS,
        initial=(0, (holder, *others), frozenset(), 0, 0, WHOLE),
        transitions=_transitions(shape),
        invariants={
            'shares in use stay within the entitlement': (
                lambda d: d['in_use'] <= WHOLE
            )
        },
    )


class _LendersTimeIsBorrowers(escrow.Account):
    """Take a loan back when the borrower's own lease would end."""

    def lend(self, borrower, number, *, now_s, **options):
        grant = super().lend(borrower, number, now_s=now_s, **options)
        if grant is not None:
            ends_s = now_s + grant.lease_s * (1 - self.drift)
            self._lent[borrower].expires_s = ends_s
            self._recompute()
        return grant


class _AnswersCountTwice(escrow.Account):
    """Take an answer as often as it comes."""

    def accept_grant(self, lender, number, grant, **times):
        self._awaited_numbers[lender] = number
        return super().accept_grant(lender, number, grant, **times)


class _CountsReturnsEarly(escrow.Account):
    """Take back what the borrower was told to return but still holds."""

    def lend(self, borrower, number, **options):
        grant = super().lend(borrower, number, **options)
        if grant is not None:
            self._lent[borrower].share = grant.share
            self._recompute()
        return grant


DIRECT = Shape(lenders=(0,), ticks=3, requests=2, restarts=1)
SMALL = dataclasses.replace(DIRECT, requests=1)
CALM = dataclasses.replace(DIRECT, restarts=0)
CHAIN = Shape(lenders=(0, 1), ticks=3, requests=2, restarts=0)
SMALL_CHAIN = dataclasses.replace(CHAIN, ticks=2)


def _broken(shape: Shape, **changes) -> minicheck.Protocol:
    return _protocol(dataclasses.replace(shape, **changes))


SPECS = (
    spec.Spec(
        name='escrow',
        protocol=_protocol(DIRECT),
        broken=(
            (
                'lender-takes-back-at-the-borrowers-time',
                _broken(SMALL, account_type=_LendersTimeIsBorrowers),
            ),
            ('restart-without-waiting', _broken(SMALL, waits=False)),
            (
                'duplicated-loan-applied-twice',
                _broken(CALM, ticks=1, account_type=_AnswersCountTwice),
            ),
            (
                'return-counted-before-it-is-acknowledged',
                _broken(CALM, ticks=1, account_type=_CountsReturnsEarly),
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
