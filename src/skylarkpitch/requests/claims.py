"""Count the votes of ledger members in one round of a claim."""

import enum

from skylarkpitch.messages import requests as messages
from skylarkpitch.requests import ledger
from skylarkpitch.requests import quorums

__all__ = ['Tally', 'Verdict']


class Verdict(enum.StrEnum):
    """Result of a round of votes.

    ``ID_REUSED`` means that another request has claimed the operation id,
    and ``STILL_RUNNING`` that an earlier claim has no outcome yet. ``SPLIT``
    means that no claim can get a majority, ``FULL`` that a member cannot
    store another register, and ``HISTORY_LOST`` that a majority may have lost
    an earlier grant in a restart.
    """

    WON = 'won'
    RECORDED = 'recorded'
    ID_REUSED = 'id_reused'
    UNKNOWN = 'outcome_unknown'
    STILL_RUNNING = 'still_running'
    SPLIT = 'split'
    EXPIRED = 'id_expired'
    FULL = 'full'
    HISTORY_LOST = 'lost'
    UNREACHABLE = 'ledger_unreachable'


class Tally:
    """Votes of one round of a claim and the verdict that they allow."""

    def __init__(
        self, *, members: tuple[str, ...], fingerprint: bytes
    ) -> None:
        self._members = members
        self._fingerprint = fingerprint
        self._votes: dict[str, messages.ClaimResponse] = {}
        self._responded: set[str] = set()

    def add(self, member: str, vote: messages.ClaimResponse | None) -> None:
        """Add the vote of a member; None if it did not respond."""
        self._responded.add(member)
        if vote is not None and vote.member == member:
            self._votes[member] = vote

    @property
    def granted(self) -> tuple[str, ...]:
        """Return the members that granted the claim."""
        return tuple(self._members_with(ledger.Outcome.GRANTED))

    def decisive_register(self) -> messages.Register | None:
        """Return the received register whose state decides the outcome.

        That is a recorded one, else an unknown one, else any. Returns None
        if no member returned a register.
        """
        registers = self._registers()
        for state in (ledger.State.RECORDED, ledger.State.UNKNOWN):
            for register in registers:
                if register.state == state:
                    return register
        return registers[0] if registers else None

    def verdict(self) -> Verdict | None:
        """Return the verdict; None while further votes could change it."""
        if self._has_won():
            return Verdict.WON
        registers = self._registers()
        if any(item.fingerprint != self._fingerprint for item in registers):
            return Verdict.ID_REUSED
        if any(item.state == ledger.State.RECORDED for item in registers):
            return Verdict.RECORDED
        if len(self._responded) < len(self._members):
            return None
        if registers:
            return self._verdict_of_registers(registers)
        return self._verdict_of_refusals()

    def _verdict_of_registers(
        self, registers: list[messages.Register]
    ) -> Verdict:
        if any(item.state == ledger.State.UNKNOWN for item in registers):
            return Verdict.UNKNOWN
        contested = any(item.contested for item in registers)
        tokens = [item.token for item in registers]
        # The other members may have granted any of the claims.
        undecided = len(self._members) - len(registers) - len(self.granted)
        max_grants = (
            max(tokens.count(token) for token in set(tokens)) + undecided
        )
        if max_grants < quorums.majority(len(self._members)) and not contested:
            return Verdict.SPLIT
        return Verdict.STILL_RUNNING

    def _verdict_of_refusals(self) -> Verdict:
        if self._members_with(ledger.Outcome.EXPIRED):
            return Verdict.EXPIRED
        if self._members_with(ledger.Outcome.FULL):
            return Verdict.FULL
        without_history = len(self._members_with(ledger.Outcome.NO_HISTORY))
        if without_history >= quorums.majority(len(self._members)):
            return Verdict.HISTORY_LOST
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

    def _members_with(self, outcome: ledger.Outcome) -> list[str]:
        return [
            name
            for name, vote in self._votes.items()
            if vote.outcome == outcome.value
        ]
