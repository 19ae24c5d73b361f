"""Hold the write-once registers of one ledger member.

One register stands for one operation of one organisation. The first claim
that finds it empty is written; no later one replaces it. Only the claimer
that wrote it may empty it again, and only when no byte of its request left.

A member that starts without memory is blind for operations that an earlier
incarnation may have granted: for ids issued before ``blind_before_s`` on the
wall clock, and for callers' own ids, which tell nothing of their age. It
sees again once it has copied what its peers hold (:mod:`ledger_sync`).
"""

import dataclasses
import enum

from skylarkpitch.messages import requests as messages
from skylarkpitch.requests import operation_ids

__all__ = ['Member', 'Outcome', 'State']

MAX_REGISTERS = 2_000_000
MAX_KEPT_BYTES = 64 * 1024 * 1024
MAX_ANSWER_BYTES = 64 * 1024
# Keeps a register for longer than any host accepts its id.
FORGET_MARGIN_S = 4 * operation_ids.CLOCK_SKEW_S


class State(enum.StrEnum):
    """State of a register; a released one is empty."""

    CLAIMED = 'claimed'
    UNKNOWN = 'unknown'
    RECORDED = 'recorded'
    RELEASED = 'released'


class Outcome(enum.StrEnum):
    """What a member says to a claim."""

    GRANTED = 'granted'
    HELD = 'held'
    BLIND = 'blind'
    EPOCH = 'epoch'
    EXPIRED = 'expired'
    FULL = 'full'


_RANK = {State.CLAIMED: 0, State.UNKNOWN: 1, State.RECORDED: 2}


@dataclasses.dataclass(slots=True)
class _Held:
    register: messages.Register
    granted_s: float

    def age_s(self, now_s: float) -> float:
        return now_s - self.granted_s

    def lapse(self, now_s: float) -> None:
        """Call the outcome unknown once the claimer's lease is over."""
        register = self.register
        if register.state != State.CLAIMED:
            return
        if self.age_s(now_s) >= register.lease_s:
            self.register = dataclasses.replace(
                register, state=State.UNKNOWN.value
            )


class Member:
    """Vote on claims for the operations of one region."""

    def __init__(
        self,
        *,
        name: str,
        region: str,
        incarnation: int,
        epoch: int,
        members: tuple[str, ...],
        blind_before_s: float,
    ) -> None:
        self.name = name
        self.region = region
        self.incarnation = incarnation
        self.epoch = epoch
        self.members = members
        self.blind_before_s = blind_before_s
        self.settled = False
        self.view: dict[str, int] = {}
        self.kept_bytes = 0
        self._held: dict[tuple[str, str], _Held] = {}

    def __len__(self) -> int:
        return len(self._held)

    def vote(
        self,
        claim: messages.ClaimRequest,
        *,
        now_s: float,
        wall_s: float,
        retention_s: float,
        opened_s: float,
    ) -> messages.ClaimResponse:
        """Write the claim if its register is empty, and tell what it holds.

        ``opened_s`` is the wall-clock time up to which operators vouch that
        no caller's own id will be sent again.
        """
        if claim.members != self.members:
            return self._say(Outcome.EPOCH, detail=str(self.epoch))
        key = (claim.organisation, claim.operation_id)
        held = self._held.get(key)
        if held is not None:
            held.lapse(now_s)
            mine = held.register.token == claim.token
            if mine and held.register.state == State.CLAIMED:
                return self._say_own(held)
            return self._say(Outcome.HELD, register=held.register)
        issued_s = _issued_s(claim, self.region)
        refused = self._refuses(
            issued_s,
            wall_s=wall_s,
            retention_s=retention_s,
            opened_s=opened_s,
        )
        if refused is not None:
            return self._say(refused)
        register = messages.Register(
            organisation=claim.organisation,
            operation_id=claim.operation_id,
            token=claim.token,
            fingerprint=claim.fingerprint,
            state=State.CLAIMED.value,
            lease_s=claim.lease_s,
        )
        self._held[key] = _Held(register=register, granted_s=now_s)
        return self._say(Outcome.GRANTED)

    def settle(self, said: messages.Register, *, now_s: float) -> None:
        """Take a claimer's word on how its operation ended.

        Only the one winner of an operation records an answer or an unknown
        outcome, so these replace whatever is held.
        """
        key = (said.organisation, said.operation_id)
        held = self._held.get(key)
        if said.state == State.RELEASED:
            self._release(key, held, said.token)
            return
        if held is None:
            held = _Held(register=said, granted_s=now_s)
        elif _RANK[State(said.state)] < _RANK[State(held.register.state)]:
            return
        self._forget_body(held.register if key in self._held else None)
        held.register = self._bounded(said)
        self._held[key] = held
        self.kept_bytes += len(held.register.body)
        self._shed_bodies()

    def forget(
        self, *, now_s: float, wall_s: float, retention_s: float
    ) -> None:
        """Drop the registers that are past their retention."""
        for key, held in list(self._held.items()):
            held.lapse(now_s)
            if held.register.state == State.CLAIMED:
                continue
            issued_s = _issued_s(held.register, self.region)
            age_s = held.age_s(now_s)
            if issued_s is not None:
                age_s = wall_s - issued_s
            if age_s > retention_s + FORGET_MARGIN_S:
                self._forget_body(held.register)
                del self._held[key]

    def registers(
        self, *, now_s: float, after: tuple[str, str] | None, count: int
    ) -> tuple[messages.Register, ...]:
        """Return up to ``count`` registers that follow ``after``."""
        keys = sorted(key for key in self._held if not after or key > after)
        return tuple(
            dataclasses.replace(
                self._held[key].register, age_s=self._held[key].age_s(now_s)
            )
            for key in keys[:count]
        )

    def merge(self, copied: messages.Register, *, now_s: float) -> None:
        """Add a peer's register to what is held.

        Of two claims by different claimers either may be the winner, so the
        register is contested: it is granted to nobody.
        """
        key = (copied.organisation, copied.operation_id)
        register = dataclasses.replace(copied, age_s=0.0)
        held = self._held.get(key)
        if held is None:
            granted_s = now_s - copied.age_s
            self._held[key] = _Held(register=register, granted_s=granted_s)
            self.kept_bytes += len(register.body)
            return
        mine = held.register
        if _RANK[State(register.state)] > _RANK[State(mine.state)]:
            held.register = register
            self.kept_bytes += len(register.body)
        elif mine.state == State.CLAIMED and (
            register.contested or register.token != mine.token
        ):
            held.register = dataclasses.replace(mine, contested=True)

    def learn(self, name: str, incarnation: int) -> None:
        """Note a peer's incarnation; the newest one counts."""
        if name == self.name:
            return
        self.view[name] = max(incarnation, self.view.get(name, 0))

    def _refuses(
        self,
        issued_s: float | None,
        *,
        wall_s: float,
        retention_s: float,
        opened_s: float,
    ) -> Outcome | None:
        if not self.settled:
            return Outcome.BLIND
        if len(self._held) >= MAX_REGISTERS:
            return Outcome.FULL
        if issued_s is not None:
            if is_expired(issued_s, wall_s=wall_s, retention_s=retention_s):
                return Outcome.EXPIRED
            # A time from the future would defeat ``blind_before_s``.
            latest_s = wall_s + operation_ids.CLOCK_SKEW_S
            seen = self.blind_before_s <= issued_s <= latest_s
            return None if seen else Outcome.BLIND
        if self.blind_before_s <= opened_s:
            return None
        if wall_s >= self.blind_before_s + retention_s:
            return None
        return Outcome.BLIND

    def _release(
        self, key: tuple[str, str], held: _Held | None, token: str
    ) -> None:
        if held is None or held.register.token != token:
            return
        if held.register.contested:
            return
        if held.register.state in (State.CLAIMED, State.UNKNOWN):
            del self._held[key]

    def _bounded(self, said: messages.Register) -> messages.Register:
        if len(said.body) <= MAX_ANSWER_BYTES:
            return dataclasses.replace(said, contested=False)
        return dataclasses.replace(
            said, contested=False, body=b'', whole=False
        )

    def _forget_body(self, register: messages.Register | None) -> None:
        if register is not None:
            self.kept_bytes -= len(register.body)

    def _shed_bodies(self) -> None:
        if self.kept_bytes <= MAX_KEPT_BYTES:
            return
        for held in self._held.values():
            if not held.register.body:
                continue
            self.kept_bytes -= len(held.register.body)
            held.register = dataclasses.replace(
                held.register, body=b'', whole=False
            )
            if self.kept_bytes <= MAX_KEPT_BYTES // 2:
                return

    def _say_own(self, held: _Held) -> messages.ClaimResponse:
        if held.register.contested:
            return self._say(Outcome.HELD, register=held.register)
        return self._say(Outcome.GRANTED)

    def _say(
        self,
        outcome: Outcome,
        *,
        register: messages.Register | None = None,
        detail: str = '',
    ) -> messages.ClaimResponse:
        return messages.ClaimResponse(
            member=self.name,
            outcome=outcome.value,
            incarnation=self.incarnation,
            view=dict(self.view),
            register=register,
            detail=detail,
        )


def is_expired(issued_s: float, *, wall_s: float, retention_s: float) -> bool:
    """Tell whether an issue time is past the retention."""
    return wall_s - issued_s > retention_s


def _issued_s(
    item: messages.ClaimRequest | messages.Register, region: str
) -> float | None:
    return operation_ids.parse(
        item.operation_id, organisation=item.organisation, regions=(region,)
    ).issued_s
