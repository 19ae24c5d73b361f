"""Count the votes of one round of a claim."""

import enum

from skylarkpitch.messages import requests as messages
from skylarkpitch.requests import ledger
from skylarkpitch.requests import quorums

__all__ = ['Tally', 'Verdict']


class Verdict(enum.StrEnum):
    """What a round of votes comes to."""

    WON = 'won'
    RECORDED = 'recorded'
    REUSED = 'id_reused'
    UNKNOWN = 'outcome_unknown'
    HELD = 'still_running'
    SPLIT = 'split'
    EXPIRED = 'id_expired'
    FULL = 'full'
    LOST = 'lost'
    UNREACHABLE = 'ledger_unreachable'


class Tally:
    """Votes of one round, and whether more of them could change the end."""

    def __init__(
        self, *, members: tuple[str, ...], fingerprint: bytes
    ) -> None:
        self._members = members
        self._fingerprint = fingerprint
        self._votes: dict[str, messages.ClaimResponse] = {}
        self._answered: set[str] = set()

    def add(self, member: str, vote: messages.ClaimResponse | None) -> None:
        """Add a member's vote; None when it gave none."""
        self._answered.add(member)
        if vote is not None and vote.member == member:
            self._votes[member] = vote

    @property
    def granted(self) -> tuple[str, ...]:
        """Return the members that granted the claim."""
        return tuple(self._with(ledger.Outcome.GRANTED))

    def register(self) -> messages.Register | None:
        """Return the register that says most of the operation."""
        held = self._registers()
        for state in (ledger.State.RECORDED, ledger.State.UNKNOWN):
            for register in held:
                if register.state == state:
                    return register
        return held[0] if held else None

    def verdict(self) -> Verdict | None:
        """Return what the round came to; None while votes are awaited."""
        if self._has_won():
            return Verdict.WON
        held = self._registers()
        if any(item.fingerprint != self._fingerprint for item in held):
            return Verdict.REUSED
        if any(item.state == ledger.State.RECORDED for item in held):
            return Verdict.RECORDED
        if len(self._answered) < len(self._members):
            return None
        if held:
            return self._verdict_of_held(held)
        return self._verdict_of_refusals()

    def _verdict_of_held(self, held: list[messages.Register]) -> Verdict:
        if any(item.state == ledger.State.UNKNOWN for item in held):
            return Verdict.UNKNOWN
        contested = any(item.contested for item in held)
        tokens = [item.token for item in held]
        unheard = len(self._members) - len(held) - len(self.granted)
        most = max(tokens.count(token) for token in set(tokens)) + unheard
        if most < quorums.majority(len(self._members)) and not contested:
            return Verdict.SPLIT
        return Verdict.HELD

    def _verdict_of_refusals(self) -> Verdict:
        if self._with(ledger.Outcome.EXPIRED):
            return Verdict.EXPIRED
        if self._with(ledger.Outcome.FULL):
            return Verdict.FULL
        blind = len(self._with(ledger.Outcome.BLIND))
        if blind >= quorums.majority(len(self._members)):
            return Verdict.LOST
        return Verdict.UNREACHABLE

    def _has_won(self) -> bool:
        votes = {name: self._votes[name] for name in self.granted}
        if not votes:
            return False
        return quorums.agreeing_majority(
            self._members,
            {name: vote.incarnation for name, vote in votes.items()},
            {name: vote.view for name, vote in votes.items()},
        )

    def _registers(self) -> list[messages.Register]:
        return [
            vote.register
            for vote in self._votes.values()
            if vote.register is not None
        ]

    def _with(self, outcome: ledger.Outcome) -> list[str]:
        return [
            name
            for name, vote in self._votes.items()
            if vote.outcome == outcome.value
        ]
