"""Random simulation of the claim ledger with faults at every step.

Members, copying and tallies are those of the program. The simulated network
delivers messages in any order, and duplicates or loses some. Members restart
without their registers, hosts are disconnected, claimers crash before and
after the claim, while sending and before recording, and the list of members
changes. Runs are counted for each operation. More than one run is a
violation, and so is a recorded response without a run.
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
STEPS_PER_WORLD = 400
LEASE_S = 5.0
RETENTION_S = 600.0
MAX_IN_FLIGHT = 100
START_S = 1000.0
OPENED_S = START_S + 2 * operation_ids.CLOCK_SKEW_S


@dataclasses.dataclass(slots=True, eq=False)
class _Claimer:
    host: str
    request: messages.ClaimRequest
    tally: claims.Tally
    state: str = 'claiming'


class World:
    """Simulated hosts, messages in flight and counts of runs."""

    def __init__(self, *, rng: random.Random) -> None:
        self._rng = rng
        self.now_s = START_S
        self._loss_probability = rng.choice((0.02, 0.2, 0.4))
        self._fault_weight = rng.choice((0.5, 2, 4))
        self.listed = HOSTS[:3]
        self.epoch = 1
        self.runs: collections.Counter = collections.Counter()
        self.counts: collections.Counter = collections.Counter()
        self.violations: list[str] = []
        self._members: dict[str, ledger.Member] = {}
        self._syncs: dict[str, ledger_sync.Sync] = {}
        self._copy_rounds: dict[str, dict[str, list]] = {}
        self._known_lists: dict[str, tuple] = {}
        self._in_flight: list[tuple] = []
        self._claimers: list[_Claimer] = []
        self._disconnected: set[str] = set()
        self._ids: list[str] = []
        for host in HOSTS:
            self._known_lists[host] = (self.epoch, self.listed)
            self._restart(host)

    def step(self) -> None:
        """Run one random step."""
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
            weights=(60, 4, 8, 6, 6, self._fault_weight, self._fault_weight),
        )[0]
        action()

    def _deliver(self) -> None:
        if not self._in_flight:
            return
        number = self._rng.randrange(len(self._in_flight))
        sender, receiver, message, on_delivery = self._in_flight[number]
        if self._rng.random() > 0.05:
            self._in_flight[number] = self._in_flight[-1]
            self._in_flight.pop()
        if (
            self._rng.random() < self._loss_probability
            or {sender, receiver} & self._disconnected
        ):
            self.counts['lost'] += 1
            return
        self.counts['delivered'] += 1
        on_delivery(sender, message)

    def _send(self, sender, receiver, message, on_delivery) -> None:
        self._in_flight.append((sender, receiver, message, on_delivery))
        while len(self._in_flight) > MAX_IN_FLIGHT:
            self._in_flight.pop(self._rng.randrange(len(self._in_flight)))

    def _claim(self) -> None:
        host = self._rng.choice(HOSTS)
        epoch, listed = self._known_lists[host]
        if not self._ids or self._rng.random() < 0.06:
            self._ids.append(self._new_id(len(self._ids)))
        operation_id = self._rng.choice(self._ids[-2:])
        request = messages.ClaimRequest(
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
            request=request,
            tally=claims.Tally(members=listed, fingerprint=b'f'),
        )
        self._claimers.append(claimer)
        for name in self._rng.sample(listed, len(listed)):
            if (
                name == listed[-1]
                and self._rng.random() < self._loss_probability
            ):
                continue
            self._send(host, name, request, self._vote_handler(claimer, name))

    def _new_id(self, number: int) -> str:
        prefix = operation_ids.issue_prefix(region=REGION, wall_s=self.now_s)
        return f'{prefix}{number}' if number % 2 else f'own{number}'

    def _vote_handler(self, claimer: _Claimer, name: str):
        def on_response(sender: str, vote: messages.ClaimResponse) -> None:
            claimer.tally.add(name, vote)

        def on_request(sender: str, claim: messages.ClaimRequest) -> None:
            vote = self._members[name].vote(
                claim,
                now_s=self.now_s,
                wall_s=self.now_s,
                retention_s=RETENTION_S,
                opened_s=OPENED_S,
            )
            self._send(name, sender, vote, on_response)

        return on_request

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
                self._on_won(claimer)
            elif verdict is not None or self._rng.random() < 0.05:
                self._claimers.pop(number)
                self._settle(claimer, ledger.State.RELEASED)
                self._check_replay(claimer, verdict)
            return
        self._claimers.pop(number)
        final_states = (ledger.State.RECORDED, ledger.State.UNKNOWN)
        self._settle(claimer, self._rng.choice(final_states))

    def _on_won(self, claimer: _Claimer) -> None:
        if self._rng.random() < 0.2:
            self._claimers.remove(claimer)
            self._settle(claimer, ledger.State.RELEASED)
            self.counts['released'] += 1
            return
        claimer.state = 'sent'
        operation_id = claimer.request.operation_id
        self.runs[operation_id] += 1
        if self.runs[operation_id] > 1:
            self.violations.append(f'{operation_id} ran twice')

    def _check_replay(self, claimer: _Claimer, verdict) -> None:
        if verdict is claims.Verdict.RECORDED:
            self.counts['replayed'] += 1
            if not self.runs[claimer.request.operation_id]:
                self.violations.append('a response without a run')

    def _settle(self, claimer: _Claimer, state: ledger.State) -> None:
        request = claimer.request
        register = messages.Register(
            organisation=request.organisation,
            operation_id=request.operation_id,
            token=request.token,
            fingerprint=request.fingerprint,
            state=state.value,
            lease_s=request.lease_s,
        )
        for name in request.members:
            self._send(
                claimer.host, name, register, self._settle_handler(name)
            )

    def _settle_handler(self, name: str):
        def settle(sender: str, register: messages.Register) -> None:
            self._members[name].settle(register, now_s=self.now_s)

        return settle

    def _copy(self) -> None:
        host = self._rng.choice(HOSTS)
        sync = self._syncs[host]
        sync.adopt(*self._known_lists[host])
        if sync.is_done or host in self._copy_rounds:
            return
        self._copy_rounds[host] = {}
        for name in sync.peers():
            handler = self._copy_handler(host, self._copy_rounds[host], name)
            self._send(host, name, sync.copy_request(None), handler)

    def _copy_handler(self, host: str, responses: dict, name: str):
        def on_response(sender: str, copied: messages.CopyResponse) -> None:
            responses[name] = copied

        def on_request(sender: str, request: messages.CopyRequest) -> None:
            copied = self._syncs[name].copy_response(
                host, request, now_s=self.now_s
            )
            self._send(name, host, copied, on_response)

        return on_request

    def _finish_copy(self) -> None:
        host = self._rng.choice(HOSTS)
        if host not in self._copy_rounds:
            return
        responses = self._copy_rounds[host]
        missing = len(self._syncs[host].peers()) - len(responses)
        if missing and self._rng.random() < 0.8:
            return
        del self._copy_rounds[host]
        sources = [
            ledger_sync.Source(
                name=name, incarnation=copied.incarnation, parts=[copied]
            )
            for name, copied in responses.items()
        ]
        self._syncs[host].finish_round(sources, now_s=self.now_s)
        self.counts['synced'] += self._syncs[host].is_done

    def _fault(self) -> None:
        kind = self._rng.random()
        host = self._rng.choice(HOSTS)
        if kind < 0.6:
            self._restart(host)
        elif kind < 0.7:
            self._disconnected = set(
                self._rng.sample(HOSTS, self._rng.randrange(2))
            )
        elif kind < 0.8:
            self._change_list()
        else:
            self._known_lists[host] = (self.epoch, self.listed)

    def _restart(self, host: str) -> None:
        self.counts['restarts'] += 1
        epoch, listed = self._known_lists[host]
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
        self._copy_rounds.pop(host, None)
        self._claimers = [c for c in self._claimers if c.host != host]

    def _restart_granter(self) -> None:
        """Restart a member that granted a claim; it copies at once."""
        claimers = [c for c in self._claimers if c.tally.granted]
        if not claimers:
            return
        host = self._rng.choice(self._rng.choice(claimers).tally.granted)
        self._restart(host)
        sync = self._syncs[host]
        sources = []
        for name in sync.peers():
            if name in self._disconnected or self._rng.random() < 0.2:
                continue
            copied = self._syncs[name].copy_response(
                host, sync.copy_request(None), now_s=self.now_s
            )
            sources.append(
                ledger_sync.Source(
                    name=name, incarnation=copied.incarnation, parts=[copied]
                )
            )
        sync.finish_round(sources, now_s=self.now_s)

    def _change_list(self) -> None:
        """Replace one member, once all hosts know the current list."""
        if any(known[0] != self.epoch for known in self._known_lists.values()):
            return
        candidates = [host for host in HOSTS if host not in self.listed]
        removed = self._rng.choice(self.listed)
        remaining = [host for host in self.listed if host != removed]
        self.listed = tuple(sorted([*remaining, self._rng.choice(candidates)]))
        self.epoch += 1
        self.counts['changes'] += 1


def run(*, seed: int, seconds: float) -> dict:
    """Run simulations from one seed for ``seconds``."""
    rng = random.Random(seed)
    stop_s = time.monotonic() + seconds
    totals: collections.Counter = collections.Counter()
    violations: list[str] = []
    while time.monotonic() < stop_s:
        world = World(rng=random.Random(rng.getrandbits(64)))
        for _ in range(STEPS_PER_WORLD):
            world.step()
        totals.update(world.counts)
        totals['steps'] += STEPS_PER_WORLD
        totals['runs'] += sum(world.runs.values())
        violations.extend(world.violations)
    return {**totals, 'violations': len(violations), 'seen': violations[:5]}
