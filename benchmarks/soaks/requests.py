"""Random runs of the claim ledger's cores, with faults at every step.

Members, copying and claimers are the program's own cores; the transport is
a bag of messages from which any may be delivered next, doubled or lost.
Members restart without memory, hosts are cut off, claimers die before the
claim, after it, while sending and before recording, and the list of members
changes. Runs are counted for each operation; more than one is a violation,
and so is a claim that was told "not run" and ran.
"""

import collections
import dataclasses
import random
import time

from skylarkpitch.messages import requests as messages
from skylarkpitch.requests import claims
from skylarkpitch.requests import ledger
from skylarkpitch.requests import ledger_sync
from skylarkpitch.requests import operation_ids

__all__ = ['World', 'run']

REGION = 'r1'
HOSTS = ('h1', 'h2', 'h3', 'h4', 'h5')
STEPS_A_WORLD = 400
LEASE_S = 5.0
RETENTION_S = 600.0
MAX_IN_FLIGHT = 100
START_S = 1000.0
OPENED_S = START_S + 2 * operation_ids.CLOCK_SKEW_S


@dataclasses.dataclass(slots=True, eq=False)
class _Claimer:
    host: str
    asked: messages.ClaimRequest
    tally: claims.Tally
    state: str = 'claiming'


class World:
    """Hosts, messages in flight, and what ran."""

    def __init__(self, *, rng: random.Random) -> None:
        self._rng = rng
        self.now_s = START_S
        self._loss = rng.choice((0.02, 0.2, 0.4))
        self._faults = rng.choice((0.5, 2, 4))
        self.listed = HOSTS[:3]
        self.epoch = 1
        self.runs: collections.Counter = collections.Counter()
        self.counts: collections.Counter = collections.Counter()
        self.violations: list[str] = []
        self._members: dict[str, ledger.Member] = {}
        self._syncs: dict[str, ledger_sync.Sync] = {}
        self._rounds: dict[str, dict[str, list]] = {}
        self._knows: dict[str, tuple] = {}
        self._flying: list[tuple] = []
        self._claimers: list[_Claimer] = []
        self._cut: set[str] = set()
        self._ids: list[str] = []
        for host in HOSTS:
            self._knows[host] = (self.epoch, self.listed)
            self._restart(host)

    def step(self) -> None:
        """Take one random step."""
        self.now_s += self._rng.random() * 0.1
        action = self._rng.choices(
            (
                self._deliver,
                self._claim,
                self._end_claim,
                self._copy,
                self._finish_copy,
                self._fault,
                self._restart_granter,
            ),
            weights=(60, 4, 8, 6, 6, self._faults, self._faults),
        )[0]
        action()

    def _deliver(self) -> None:
        if not self._flying:
            return
        number = self._rng.randrange(len(self._flying))
        sender, receiver, message, done = self._flying[number]
        if self._rng.random() > 0.05:
            self._flying[number] = self._flying[-1]
            self._flying.pop()
        if self._rng.random() < self._loss or {sender, receiver} & self._cut:
            self.counts['lost'] += 1
            return
        self.counts['delivered'] += 1
        done(sender, message)

    def _send(self, sender, receiver, message, done) -> None:
        self._flying.append((sender, receiver, message, done))
        while len(self._flying) > MAX_IN_FLIGHT:
            self._flying.pop(self._rng.randrange(len(self._flying)))

    def _claim(self) -> None:
        host = self._rng.choice(HOSTS)
        epoch, listed = self._knows[host]
        if not self._ids or self._rng.random() < 0.06:
            self._ids.append(self._new_id(len(self._ids)))
        operation_id = self._rng.choice(self._ids[-2:])
        asked = messages.ClaimRequest(
            region=REGION,
            epoch=epoch,
            members=listed,
            organisation='org',
            operation_id=operation_id,
            token=f'{host}.{self.counts["claims"]}',
            fingerprint=b'f',
            lease_s=LEASE_S,
        )
        self.counts['claims'] += 1
        claimer = _Claimer(
            host=host,
            asked=asked,
            tally=claims.Tally(members=listed, fingerprint=b'f'),
        )
        self._claimers.append(claimer)
        for name in self._rng.sample(listed, len(listed)):
            if name == listed[-1] and self._rng.random() < self._loss:
                continue
            self._send(host, name, asked, self._votes(claimer, name))

    def _new_id(self, number: int) -> str:
        prefix = operation_ids.issue_prefix(region=REGION, wall_s=self.now_s)
        return f'{prefix}{number}' if number % 2 else f'own{number}'

    def _votes(self, claimer: _Claimer, name: str):
        def answered(sender: str, vote: messages.ClaimResponse) -> None:
            claimer.tally.add(name, vote)

        def asked(sender: str, claim: messages.ClaimRequest) -> None:
            vote = self._members[name].vote(
                claim,
                now_s=self.now_s,
                wall_s=self.now_s,
                retention_s=RETENTION_S,
                opened_s=OPENED_S,
            )
            self._send(name, sender, vote, answered)

        return asked

    def _end_claim(self) -> None:
        if not self._claimers:
            return
        number = self._rng.randrange(len(self._claimers))
        claimer = self._claimers[number]
        if self._rng.random() < 0.03:
            self._claimers.pop(number)
            self.counts['claimers_died'] += 1
            return
        if claimer.state == 'claiming':
            verdict = claimer.tally.verdict()
            if verdict is claims.Verdict.WON:
                self._win(claimer)
            elif verdict is not None or self._rng.random() < 0.05:
                self._claimers.pop(number)
                self._settle(claimer, ledger.State.RELEASED)
                self._replay(claimer, verdict)
            return
        self._claimers.pop(number)
        ends = (ledger.State.RECORDED, ledger.State.UNKNOWN)
        self._settle(claimer, self._rng.choice(ends))

    def _win(self, claimer: _Claimer) -> None:
        if self._rng.random() < 0.2:
            self._claimers.remove(claimer)
            self._settle(claimer, ledger.State.RELEASED)
            self.counts['released'] += 1
            return
        claimer.state = 'sent'
        operation_id = claimer.asked.operation_id
        self.runs[operation_id] += 1
        if self.runs[operation_id] > 1:
            self.violations.append(f'{operation_id} ran twice')

    def _replay(self, claimer: _Claimer, verdict) -> None:
        if verdict is claims.Verdict.RECORDED:
            self.counts['replayed'] += 1
            if not self.runs[claimer.asked.operation_id]:
                self.violations.append('an answer without a run')

    def _settle(self, claimer: _Claimer, state: ledger.State) -> None:
        asked = claimer.asked
        register = messages.Register(
            organisation=asked.organisation,
            operation_id=asked.operation_id,
            token=asked.token,
            fingerprint=asked.fingerprint,
            state=state.value,
            lease_s=asked.lease_s,
        )
        for name in asked.members:
            self._send(claimer.host, name, register, self._settles(name))

    def _settles(self, name: str):
        def settle(sender: str, register: messages.Register) -> None:
            self._members[name].settle(register, now_s=self.now_s)

        return settle

    def _copy(self) -> None:
        host = self._rng.choice(HOSTS)
        sync = self._syncs[host]
        sync.adopt(*self._knows[host])
        if sync.is_done or host in self._rounds:
            return
        self._rounds[host] = {}
        for name in sync.peers():
            copied = self._copied(host, self._rounds[host], name)
            self._send(host, name, sync.copy_request(None), copied)

    def _copied(self, host: str, answers: dict, name: str):
        def answered(sender: str, copied: messages.CopyResponse) -> None:
            answers[name] = copied

        def asked(sender: str, copy: messages.CopyRequest) -> None:
            copied = self._syncs[name].copy_response(
                host, copy, now_s=self.now_s
            )
            self._send(name, host, copied, answered)

        return asked

    def _finish_copy(self) -> None:
        host = self._rng.choice(HOSTS)
        if host not in self._rounds:
            return
        answers = self._rounds[host]
        missing = len(self._syncs[host].peers()) - len(answers)
        if missing and self._rng.random() < 0.8:
            return
        del self._rounds[host]
        sources = [
            ledger_sync.Source(
                name=name, incarnation=copied.incarnation, parts=[copied]
            )
            for name, copied in answers.items()
        ]
        self._syncs[host].finish_round(sources, now_s=self.now_s)
        self.counts['synced'] += self._syncs[host].is_done

    def _fault(self) -> None:
        kind = self._rng.random()
        host = self._rng.choice(HOSTS)
        if kind < 0.6:
            self._restart(host)
        elif kind < 0.7:
            self._cut = set(self._rng.sample(HOSTS, self._rng.randrange(2)))
        elif kind < 0.8:
            self._change_list()
        else:
            self._knows[host] = (self.epoch, self.listed)

    def _restart(self, host: str) -> None:
        self.counts['restarts'] += 1
        epoch, listed = self._knows[host]
        member = ledger.Member(
            name=host,
            region=REGION,
            incarnation=int(self.now_s * 1e6),
            epoch=epoch,
            members=listed,
            history_start_s=self.now_s + operation_ids.CLOCK_SKEW_S,
        )
        self._members[host] = member
        self._syncs[host] = ledger_sync.Sync(member=member)
        self._rounds.pop(host, None)
        self._claimers = [c for c in self._claimers if c.host != host]

    def _restart_granter(self) -> None:
        """Restart a member that granted, and let it copy without delay."""
        claimers = [c for c in self._claimers if c.tally.granted]
        if not claimers:
            return
        host = self._rng.choice(self._rng.choice(claimers).tally.granted)
        self._restart(host)
        sync = self._syncs[host]
        answers = []
        for name in sync.peers():
            if name in self._cut or self._rng.random() < 0.2:
                continue
            copied = self._syncs[name].copy_response(
                host, sync.copy_request(None), now_s=self.now_s
            )
            answers.append(
                ledger_sync.Source(
                    name=name, incarnation=copied.incarnation, parts=[copied]
                )
            )
        sync.finish_round(answers, now_s=self.now_s)

    def _change_list(self) -> None:
        """Replace one member, once every host knows the list before."""
        if any(known[0] != self.epoch for known in self._knows.values()):
            return
        spare = [host for host in HOSTS if host not in self.listed]
        gone = self._rng.choice(self.listed)
        kept = [host for host in self.listed if host != gone]
        self.listed = tuple(sorted([*kept, self._rng.choice(spare)]))
        self.epoch += 1
        self.counts['changes'] += 1


def run(*, seed: int, seconds: float) -> dict:
    """Run worlds from one seed until ``seconds`` are over."""
    rng = random.Random(seed)
    ends_s = time.monotonic() + seconds
    totals: collections.Counter = collections.Counter()
    violations: list[str] = []
    while time.monotonic() < ends_s:
        world = World(rng=random.Random(rng.getrandbits(64)))
        for _ in range(STEPS_A_WORLD):
            world.step()
        totals.update(world.counts)
        totals['steps'] += STEPS_A_WORLD
        totals['runs'] += sum(world.runs.values())
        violations.extend(world.violations)
    return {**totals, 'violations': len(violations), 'seen': violations[:5]}
