"""Bring a ledger member up to date after a restart or a change of members.

A member of a new list first copies from a majority of each earlier list.
The question itself seals the answerer: it takes over the newer list and
grants nothing under the older one any more. A member that restarted without
memory makes its new incarnation known with the same question, so that a
grant of its earlier incarnation no longer counts beside the answerer's next
grants, and the answer holds every earlier one.
"""

import dataclasses

from skylarkpitch.messages import requests as messages
from skylarkpitch.requests import ledger
from skylarkpitch.requests import quorums

__all__ = ['PART_REGISTERS', 'Source', 'Sync']

PART_REGISTERS = 1000


@dataclasses.dataclass(slots=True, kw_only=True)
class Source:
    """Everything that one peer answered in one round."""

    name: str
    incarnation: int
    parts: list[messages.CopyResponse]

    @property
    def last(self) -> messages.CopyResponse:
        """Return the part that ended the answer."""
        return self.parts[-1]


class Sync:
    """Decide when a member may vote, from what its peers answered.

    ``votes_from_s`` is the issue time from which on every member that was
    heard votes on an id, in Unix time; None before enough were heard.
    """

    def __init__(self, *, member: ledger.Member) -> None:
        self._member = member
        self._fresh = True
        self._seen = False
        self._pending: tuple[tuple[str, ...], ...] = ()
        self.votes_from_s: float | None = None

    @property
    def done(self) -> bool:
        """Tell whether the member knows all that it can learn."""
        return self._member.settled and self._seen

    def adopt(self, epoch: int, members: tuple[str, ...]) -> bool:
        """Take over a newer list of members; tell whether it changed."""
        member = self._member
        if epoch <= member.epoch:
            return False
        member.epoch = epoch
        if members == member.members:
            return False
        self._pending = (*self._pending, member.members)
        member.members = members
        member.settled = False
        self._seen = False
        return True

    def peers(self) -> tuple[str, ...]:
        """Return the hosts to ask, without the member itself."""
        names = set(self._member.members).union(*self._pending)
        return tuple(sorted(names - {self._member.name}))

    def question(self, after: tuple[str, str] | None) -> messages.CopyRequest:
        """Return the question for a part that follows ``after``."""
        member = self._member
        return messages.CopyRequest(
            region=member.region,
            epoch=member.epoch,
            members=member.members,
            incarnation=member.incarnation,
            after=after,
        )

    def answer(
        self, sender: str, asked: messages.CopyRequest, *, now_s: float
    ) -> messages.CopyResponse:
        """Seal under the asker's list, note its incarnation, and answer."""
        member = self._member
        self.adopt(asked.epoch, asked.members)
        member.learn(sender, asked.incarnation)
        found = member.registers(
            now_s=now_s, after=asked.after, count=PART_REGISTERS + 1
        )
        return messages.CopyResponse(
            member=member.name,
            epoch=member.epoch,
            members=member.members,
            incarnation=member.incarnation,
            view={**member.view, member.name: member.incarnation},
            blind_before_s=member.blind_before_s,
            settled=member.settled,
            previous=self._pending,
            registers=found[:PART_REGISTERS],
            last=len(found) <= PART_REGISTERS,
        )

    def finish(self, sources: list[Source], *, now_s: float) -> None:
        """Take one round of answers and see whether they are enough."""
        member = self._member
        for source in sources:
            self._take(source, now_s=now_s)
        usable = [
            source
            for source in sources
            if source.last.epoch >= member.epoch
            and all(p.incarnation == source.incarnation for p in source.parts)
        ]
        alike = [s for s in usable if s.last.members == member.members]
        self._hear(alike)
        self._cover(usable)
        if not self._pending and not self._fresh:
            member.settled = True
        self._see([s for s in alike if s.last.settled])

    def _take(self, source: Source, *, now_s: float) -> None:
        member = self._member
        for part in source.parts:
            for register in part.registers:
                member.merge(register, now_s=now_s)
            for name, incarnation in part.view.items():
                member.learn(name, incarnation)
        own = max(p.view.get(member.name, 0) for p in source.parts)
        if own > member.incarnation:
            # A clock that was set back must not make this start look old.
            member.incarnation = own + 1

    def _hear(self, alike: list[Source]) -> None:
        """Learn of earlier lists, and of the past of the present one."""
        member = self._member
        known = {item for source in alike for item in source.last.previous}
        known -= {member.members}
        self._pending = tuple(sorted({*self._pending, *known}))
        needed = quorums.copy_quorum(len(member.members))
        if not self._fresh or len(alike) < needed:
            return
        self._fresh = False
        past = [s.last.blind_before_s for s in alike if s.last.settled]
        if past:
            # One settled peer knows what the earlier lists granted, but for
            # what it is blind to itself.
            member.blind_before_s = max(member.blind_before_s, min(past))

    def _cover(self, usable: list[Source]) -> None:
        """Drop the earlier lists of which a majority has answered."""
        member = self._member
        answered = {source.name: source for source in usable}
        for earlier in self._pending:
            known = [answered[name] for name in earlier if name in answered]
            count = len(known) + (member.name in earlier)
            if count < quorums.majority(len(earlier)):
                continue
            self._pending = tuple(p for p in self._pending if p != earlier)
            blind = [source.last.blind_before_s for source in known]
            member.blind_before_s = max([member.blind_before_s, *blind])

    def _see(self, settled: list[Source]) -> None:
        """Be blind only to what too many of the settled peers lost too."""
        member = self._member
        if not member.settled:
            return
        needed = quorums.copy_quorum(len(member.members))
        if len(settled) < needed:
            return
        self._seen = True
        blind = sorted(source.last.blind_before_s for source in settled)
        if needed > 0:
            member.blind_before_s = min(
                member.blind_before_s, blind[needed - 1]
            )
        self.votes_from_s = max([member.blind_before_s, *blind])
