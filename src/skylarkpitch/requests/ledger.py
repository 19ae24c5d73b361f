"""Write-once registers of one ledger member.

A register records one operation of one organisation. The first claim that
finds the register empty is written into it, and later claims are rejected.
Only the claimer that wrote a register may release it, and only if no byte of
its request was sent.

Registers are stored in memory only. After a start, a member cannot know
which operations an earlier incarnation of it granted. It therefore refuses
claims of ids that were issued before ``history_start_s`` on the wall clock,
and of ids that the caller chose, which carry no issue time. Copying the
registers of its peers moves ``history_start_s`` back
(:mod:`skylarkpitch.requests.ledger_sync`).
"""

import dataclasses
import enum

from skylarkpitch.messages import requests as messages
from skylarkpitch.requests import operation_ids

__all__ = ['Member', 'Outcome', 'State']

MAX_REGISTERS = 2_000_000
MAX_STORED_BODY_BYTES = 64 * 1024 * 1024
MAX_RECORDED_BODY_BYTES = 64 * 1024
# A register must outlive the time in which any host accepts its id.
EXPIRY_MARGIN_S = 4 * operation_ids.CLOCK_SKEW_S


class State(enum.StrEnum):
    """State of a register; a released register is empty again.

    ``UNKNOWN`` means that the request may have run, but its outcome was not
    recorded.
    """

    CLAIMED = 'claimed'
    UNKNOWN = 'unknown'
    RECORDED = 'recorded'
    RELEASED = 'released'


class Outcome(enum.StrEnum):
    """Vote of a member on a claim.

    ``NO_HISTORY`` means that the member may have lost an earlier grant of
    the operation, ``OTHER_MEMBERS`` that the claimer uses another list of
    members than this member.
    """

    GRANTED = 'granted'
    ALREADY_CLAIMED = 'held'
    NO_HISTORY = 'blind'
    OTHER_MEMBERS = 'epoch'
    EXPIRED = 'expired'
    FULL = 'full'


# A register is never replaced by one of lower rank.
_RANK = {State.CLAIMED: 0, State.UNKNOWN: 1, State.RECORDED: 2}


@dataclasses.dataclass(slots=True)
class _StoredRegister:
    """Register with the time of its grant, by the monotonic clock."""

    register: messages.Register
    granted_s: float

    def age_s(self, now_s: float) -> float:
        return now_s - self.granted_s

    def expire_lease(self, now_s: float) -> None:
        """Set the outcome to unknown once the claimer's lease has expired."""
        register = self.register
        if register.state != State.CLAIMED:
            return
        if self.age_s(now_s) >= register.lease_s:
            self.register = dataclasses.replace(
                register, state=State.UNKNOWN.value
            )


class Member:
    """Member of the ledger of one region, which votes on claims.

    ``members`` is the list of members in use and ``epoch`` its number.
    ``may_grant`` is False until the member has copied from enough peers
    after a start or a change of members. ``peer_incarnations`` has the newest
    incarnation known of each peer.
    """

    def __init__(
        self,
        *,
        name: str,
        region: str,
        incarnation: int,
        epoch: int,
        members: tuple[str, ...],
        history_start_s: float,
    ) -> None:
        self.name = name
        self.region = region
        self.incarnation = incarnation
        self.epoch = epoch
        self.members = members
        self.history_start_s = history_start_s
        self.may_grant = False
        self.peer_incarnations: dict[str, int] = {}
        self.stored_body_bytes = 0
        self._registers: dict[tuple[str, str], _StoredRegister] = {}

    def __len__(self) -> int:
        return len(self._registers)

    def vote(
        self,
        claim: messages.ClaimRequest,
        *,
        now_s: float,
        wall_s: float,
        retention_s: float,
        opened_s: float,
    ) -> messages.ClaimResponse:
        """Write the claim if its register is empty, and return the vote.

        ``now_s`` is a time of the monotonic clock and ``wall_s`` a Unix time.
        ``retention_s`` is how long the record of an operation is stored.
        ``opened_s`` is the Unix time up to which operators guarantee that no
        id chosen by a caller is sent again.
        """
        if claim.members != self.members:
            return self._response(
                Outcome.OTHER_MEMBERS, detail=str(self.epoch)
            )
        key = (claim.organisation, claim.operation_id)
        stored = self._registers.get(key)
        if stored is not None:
            stored.expire_lease(now_s)
            is_same_claim = stored.register.token == claim.token
            if is_same_claim and stored.register.state == State.CLAIMED:
                return self._response_to_same_claim(stored)
            return self._response(
                Outcome.ALREADY_CLAIMED, register=stored.register
            )
        issued_s = _issued_s(claim, self.region)
        refusal = self._refusal(
            issued_s,
            wall_s=wall_s,
            retention_s=retention_s,
            opened_s=opened_s,
        )
        if refusal is not None:
            return self._response(refusal)
        register = messages.Register(
            organisation=claim.organisation,
            operation_id=claim.operation_id,
            token=claim.token,
            fingerprint=claim.fingerprint,
            state=State.CLAIMED.value,
            lease_s=claim.lease_s,
        )
        self._registers[key] = _StoredRegister(
            register=register, granted_s=now_s
        )
        return self._response(Outcome.GRANTED)

    def settle(self, final: messages.Register, *, now_s: float) -> None:
        """Store the final state of a claim, as its claimer reported it.

        Only the winner of an operation records a response or an unknown
        outcome, so these replace any stored claim.
        """
        key = (final.organisation, final.operation_id)
        stored = self._registers.get(key)
        if final.state == State.RELEASED:
            self._release(key, stored, final.token)
            return
        if stored is None:
            stored = _StoredRegister(register=final, granted_s=now_s)
        elif _RANK[State(final.state)] < _RANK[State(stored.register.state)]:
            return
        self._subtract_body(
            stored.register if key in self._registers else None
        )
        stored.register = self._without_large_body(final)
        self._registers[key] = stored
        self.stored_body_bytes += len(stored.register.body)
        self._evict_bodies()

    def remove_expired(
        self, *, now_s: float, wall_s: float, retention_s: float
    ) -> None:
        """Remove the registers that are past their retention."""
        for key, stored in list(self._registers.items()):
            stored.expire_lease(now_s)
            if stored.register.state == State.CLAIMED:
                continue
            issued_s = _issued_s(stored.register, self.region)
            age_s = stored.age_s(now_s)
            if issued_s is not None:
                age_s = wall_s - issued_s
            if age_s > retention_s + EXPIRY_MARGIN_S:
                self._subtract_body(stored.register)
                del self._registers[key]

    def list_registers(
        self, *, now_s: float, after: tuple[str, str] | None, count: int
    ) -> tuple[messages.Register, ...]:
        """Return up to ``count`` registers whose keys follow ``after``."""
        keys = sorted(
            key for key in self._registers if not after or key > after
        )
        return tuple(
            dataclasses.replace(
                self._registers[key].register,
                age_s=self._registers[key].age_s(now_s),
            )
            for key in keys[:count]
        )

    def merge(self, copied: messages.Register, *, now_s: float) -> None:
        """Merge the register of a peer into the stored ones.

        If the stored claim is another one, either may be the winner. The
        register is then marked as contested and granted to no claim.
        """
        key = (copied.organisation, copied.operation_id)
        register = dataclasses.replace(copied, age_s=0.0)
        stored = self._registers.get(key)
        if stored is None:
            granted_s = now_s - copied.age_s
            self._registers[key] = _StoredRegister(
                register=register, granted_s=granted_s
            )
            self.stored_body_bytes += len(register.body)
            return
        existing = stored.register
        if _RANK[State(register.state)] > _RANK[State(existing.state)]:
            stored.register = register
            self.stored_body_bytes += len(register.body)
        elif existing.state == State.CLAIMED and (
            register.contested or register.token != existing.token
        ):
            stored.register = dataclasses.replace(existing, contested=True)

    def record_incarnation(self, name: str, incarnation: int) -> None:
        """Record the incarnation of a peer, unless a newer one is known."""
        if name == self.name:
            return
        self.peer_incarnations[name] = max(
            incarnation, self.peer_incarnations.get(name, 0)
        )

    def _refusal(
        self,
        issued_s: float | None,
        *,
        wall_s: float,
        retention_s: float,
        opened_s: float,
    ) -> Outcome | None:
        if not self.may_grant:
            return Outcome.NO_HISTORY
        if len(self._registers) >= MAX_REGISTERS:
            return Outcome.FULL
        if issued_s is not None:
            if is_expired(issued_s, wall_s=wall_s, retention_s=retention_s):
                return Outcome.EXPIRED
            # An issue time in the future would pass the check against
            # ``history_start_s`` although the grant may be lost.
            latest_s = wall_s + operation_ids.CLOCK_SKEW_S
            in_history = self.history_start_s <= issued_s <= latest_s
            return None if in_history else Outcome.NO_HISTORY
        # The caller chose the id, so its issue time is unknown. A lost grant
        # of it is from before ``history_start_s``: the id is then not sent
        # again, or its record has expired.
        if self.history_start_s <= opened_s:
            return None
        if wall_s >= self.history_start_s + retention_s:
            return None
        return Outcome.NO_HISTORY

    def _release(
        self,
        key: tuple[str, str],
        stored: _StoredRegister | None,
        token: str,
    ) -> None:
        if stored is None or stored.register.token != token:
            return
        if stored.register.contested:
            return
        if stored.register.state in (State.CLAIMED, State.UNKNOWN):
            del self._registers[key]

    def _without_large_body(
        self, register: messages.Register
    ) -> messages.Register:
        if len(register.body) <= MAX_RECORDED_BODY_BYTES:
            return dataclasses.replace(register, contested=False)
        return dataclasses.replace(
            register, contested=False, body=b'', whole=False
        )

    def _subtract_body(self, register: messages.Register | None) -> None:
        if register is not None:
            self.stored_body_bytes -= len(register.body)

    def _evict_bodies(self) -> None:
        """Remove bodies of the oldest registers if all are too large.

        Removes until at most half of ``MAX_STORED_BODY_BYTES`` is in use.
        """
        if self.stored_body_bytes <= MAX_STORED_BODY_BYTES:
            return
        for stored in self._registers.values():
            if not stored.register.body:
                continue
            self.stored_body_bytes -= len(stored.register.body)
            stored.register = dataclasses.replace(
                stored.register, body=b'', whole=False
            )
            if self.stored_body_bytes <= MAX_STORED_BODY_BYTES // 2:
                return

    def _response_to_same_claim(
        self, stored: _StoredRegister
    ) -> messages.ClaimResponse:
        if stored.register.contested:
            return self._response(
                Outcome.ALREADY_CLAIMED, register=stored.register
            )
        return self._response(Outcome.GRANTED)

    def _response(
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
            view=dict(self.peer_incarnations),
            register=register,
            detail=detail,
        )


def is_expired(issued_s: float, *, wall_s: float, retention_s: float) -> bool:
    """Return whether an issue time is past the retention (Unix times)."""
    return wall_s - issued_s > retention_s


def _issued_s(
    item: messages.ClaimRequest | messages.Register, region: str
) -> float | None:
    return operation_ids.parse(
        item.operation_id, organisation=item.organisation, regions=(region,)
    ).issued_s
