"""Run the escrow of limits under random faults of a seed.

Hosts of several failure domains spend, borrow and lend with the real
accounts. Messages are lost, duplicated, delayed and reordered. Hosts restart
without stored state. Clocks run at the extremes of the allowed drift.
Limits change and take effect at each host at a different time within the key
lease, after which a host without the change refuses every call. Checked in
true time: the sum of the shares in use never exceeds the limit, and an ideal
token bucket of the whole limit never lacks a token that was spent.
"""

import heapq
import itertools
import random
import time

from skylarkpitch import errors
from skylarkpitch.limits import accounts as account_sets
from skylarkpitch.limits import holders as holder_tables
from skylarkpitch.limits import organisation as organisation_states
from skylarkpitch.limits import shares
from skylarkpitch.peers import directory as directories

__all__ = ['Trial', 'run']

STEPS_PER_TRIAL = 3000
ORGANISATION = 'org'
BOUNDS = organisation_states.LeaseBounds(
    lease_s=2.0, drift=0.05, key_lease_s=3.0
)
MAX_DELAY_S = 5.0
LOSS_PROBABILITY = 0.15
DUPLICATION_PROBABILITY = 0.15
ROUNDING_TOKENS = 1e-3


def _host(name: str, failure_domain: str) -> directories.Host:
    return directories.Host(
        name=name,
        region='r',
        failure_domain=failure_domain,
        roles=('entry',),
        peers_address='127.0.0.1:1',
        callers_address=None,
        relay_address=None,
        public_key=name,
    )


class _Host:
    """One run of a host, with its accounts and its clock."""

    def __init__(
        self,
        *,
        name: str,
        hosts: list[directories.Host],
        limit: shares.Share,
        rng: random.Random,
        true_s: float,
    ) -> None:
        self.name = name
        self._clock_rate = rng.choice((1 - BOUNDS.drift, 1, 1 + BOUNDS.drift))
        self._offset_s = rng.uniform(0, 1000)
        directory = directories.Directory(local_host=name, hosts=hosts)
        self.accounts = account_sets.Accounts(
            holders=holder_tables.EntitlementHolders(directory=directory),
            incarnation=rng.getrandbits(62),
            now_s=self.clock(true_s),
        )
        self.limit = limit
        self.apply(limit, true_s)

    def clock(self, true_s: float) -> float:
        """Return the time of the host's clock."""
        return self._offset_s + true_s * self._clock_rate

    def apply(self, limit: shares.Share, true_s: float) -> None:
        """Apply a limit at this host."""
        self.limit = limit
        now_s = self.clock(true_s)
        self.accounts.configure({ORGANISATION: limit}, BOUNDS, now_s=now_s)

    def available(self, true_s: float) -> shares.Share:
        """Return the share that the host can use at ``true_s``."""
        account = self.accounts.organisations()[ORGANISATION].account
        account.refill_and_expire(now_s=self.clock(true_s))
        return account.available.at_least(shares.ZERO)


class Trial:
    """Run of one fleet; all random choices derive from ``seed``."""

    def __init__(self, *, seed: int) -> None:
        self.rng = random.Random(seed)
        self.true_s = 0.0
        self.counts = {
            'spent': 0,
            'refused': 0,
            'messages': 0,
            'restarts': 0,
            'changes': 0,
            'violations': 0,
        }
        domains = self.rng.choice((1, 2, 3, 6))
        self._hosts = [
            _host(f'd{d}-{i}', f'd{d}')
            for d in range(domains)
            for i in range(self.rng.choice((1, 2, 3)))
        ]
        self._limit = self._random_limit()
        # Expiry time and value of limits that a host or loan may still use.
        self._former_limits: list[tuple[float, shares.Share]] = []
        self._tokens = float(self._limit.burst)
        self._bucket_updated_s = 0.0
        self._numbers = itertools.count()
        self._events: list[tuple] = []
        self._isolated: frozenset[str] = frozenset()
        self._running_hosts = {
            h.name: self._start_host(h.name) for h in self._hosts
        }

    def step(self) -> None:
        """Run one random step, then check the invariants."""
        self.true_s += self.rng.expovariate(20)
        try:
            while self._events and self._events[0][0] <= self.true_s:
                _, _, deliver = heapq.heappop(self._events)
                deliver()
            self._run_random_action()
        except errors.InvariantError:
            self.counts['violations'] += 1
        self._check_invariants()

    def _run_random_action(self) -> None:
        action = self.rng.choices(
            (
                self._spend,
                self._send_requests,
                self._restart,
                self._change_limit,
                self._partition,
            ),
            weights=(60, 40, 0.3, 0.1, 0.3),
        )[0]
        action(self.rng.choice(self._hosts).name)

    def _random_limit(self) -> shares.Share:
        return shares.from_tokens(
            rate_per_s=self.rng.choice((5, 30, 400)),
            burst=self.rng.choice((3, 30, 400)),
        )

    def _start_host(self, name: str) -> _Host:
        return _Host(
            name=name,
            hosts=self._hosts,
            limit=self._limit,
            rng=self.rng,
            true_s=self.true_s,
        )

    def _spend(self, name: str) -> None:
        host = self._running_hosts[name]
        now_s = host.clock(self.true_s)
        host.accounts.apply_due_entitlements(now_s=now_s)
        organisation = host.accounts.organisations()[ORGANISATION]
        for _ in range(self.rng.choice((1, 1, 5, 50))):
            organisation.demand.record_call(now_s=now_s)
            if host.accounts.spend(ORGANISATION, now_s=now_s):
                self._record_spent_token()
            else:
                self.counts['refused'] += 1

    def _send_requests(self, name: str) -> None:
        host = self._running_hosts[name]
        sent_s = host.clock(self.true_s)
        host.accounts.apply_due_entitlements(now_s=sent_s)
        requests = host.accounts.build_requests(now_s=sent_s)
        for lender, request in requests.items():
            self.counts['messages'] += 1

            def deliver(lender=lender, request=request):
                self._handle_request(host, lender, request, sent_s)

            self._transmit(name, lender, deliver)

    def _handle_request(self, borrower, lender_name, request, sent_s) -> None:
        lender = self._running_hosts[lender_name]
        now_s = lender.clock(self.true_s)
        lender.accounts.apply_due_entitlements(now_s=now_s)
        response = lender.accounts.answer_request(
            borrower.name, request, now_s=now_s
        )
        if response is None:
            return

        def deliver():
            borrower.accounts.accept_response(
                lender_name,
                response,
                sent_s=sent_s,
                now_s=borrower.clock(self.true_s),
            )

        self._transmit(lender_name, borrower.name, deliver)

    def _transmit(self, sender: str, receiver: str, deliver) -> None:
        if (sender in self._isolated) != (receiver in self._isolated):
            return
        if self.rng.random() < LOSS_PROBABILITY:
            return
        for _ in range(
            2 if self.rng.random() < DUPLICATION_PROBABILITY else 1
        ):
            delay_s = self.rng.choice((0.001, 0.05, 0.5))
            if self.rng.random() < 0.05:
                delay_s = MAX_DELAY_S
            due_s = self.true_s + self.rng.uniform(0, delay_s)
            event = (due_s, next(self._numbers), deliver)
            heapq.heappush(self._events, event)

    def _restart(self, name: str) -> None:
        self.counts['restarts'] += 1
        self._running_hosts[name] = self._start_host(name)

    def _partition(self, _: str) -> None:
        names = [host.name for host in self._hosts]
        size = self.rng.randrange(len(names))
        self._isolated = frozenset(self.rng.sample(names, size))

    def _change_limit(self, _: str) -> None:
        self.counts['changes'] += 1
        end_s = self.true_s + 2 * BOUNDS.key_lease_s + 2 * BOUNDS.lease_s
        self._former_limits.append((end_s, self._limit))
        self._limit = self._random_limit()
        for host in self._hosts:
            self._schedule_limit_change(host.name, self._limit)

    def _schedule_limit_change(self, name: str, limit: shares.Share) -> None:
        due_s = self.true_s + self.rng.uniform(0, BOUNDS.key_lease_s)

        def apply_limit():
            if limit == self._limit:
                self._running_hosts[name].apply(limit, self.true_s)

        event = (due_s, next(self._numbers), apply_limit)
        heapq.heappush(self._events, event)

    def _allowed_share(self) -> shares.Share:
        self._former_limits = [
            f for f in self._former_limits if f[0] > self.true_s
        ]
        allowed = self._limit
        for _, limit in self._former_limits:
            allowed = allowed.at_least(limit)
        return allowed

    def _record_spent_token(self) -> None:
        self.counts['spent'] += 1
        allowed = self._allowed_share()
        elapsed_s = self.true_s - self._bucket_updated_s
        self._bucket_updated_s = self.true_s
        self._tokens += allowed.rate * elapsed_s
        self._tokens = (
            min(self._tokens, allowed.burst) - shares.MICROTOKENS_PER_TOKEN
        )
        if self._tokens < -ROUNDING_TOKENS * shares.MICROTOKENS_PER_TOKEN:
            self.counts['violations'] += 1

    def _check_invariants(self) -> None:
        total = shares.ZERO
        for host in self._running_hosts.values():
            total = total + host.available(self.true_s)
        if not total.within(self._allowed_share()):
            self.counts['violations'] += 1


def run(*, seed: int, seconds: float) -> dict:
    """Run trials for ``seconds`` and return the counts."""
    end_s = time.monotonic() + seconds
    totals = {'trials': 0, 'steps': 0}
    for number in itertools.count():
        trial = Trial(seed=seed * 1_000_003 + number)
        totals['trials'] += 1
        for _ in range(STEPS_PER_TRIAL):
            if time.monotonic() > end_s:
                break
            trial.step()
            totals['steps'] += 1
        for name, count in trial.counts.items():
            totals[name] = totals.get(name, 0) + count
        if time.monotonic() > end_s:
            return totals
