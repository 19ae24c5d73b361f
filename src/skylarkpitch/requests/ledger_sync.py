"""Copying of registers after a restart or a change of ledger members.

A member of a new list first copies from a majority of each earlier list.
The copy request seals its receiver: the receiver adopts the newer list and
grants no claim under the older one any more.

A restarted member announces its new incarnation with the same request. From
then on, a grant of its earlier incarnation does not count together with new
grants of the receiver, and the response contains all earlier grants of the
receiver.
"""

import dataclasses

from skylarkpitch.messages import requests as messages
from skylarkpitch.requests import ledger
from skylarkpitch.requests import quorums

__all__ = ['REGISTERS_PER_PART', 'Source', 'Sync']

REGISTERS_PER_PART = 1000


@dataclasses.dataclass(slots=True, kw_only=True)
class Source:
    """Responses of one peer in one round of copying."""

    name: str
    incarnation: int
    parts: list[messages.CopyResponse]

    @property
    def last(self) -> messages.CopyResponse:
        """Return the final part."""
        return self.parts[-1]


class Sync:
    """State of copying for one member, which decides when it may grant.

    A member may grant claims once a majority of each earlier list has
    responded and, after a start, enough peers of its own list.

    ``votes_from_s`` is the Unix time from which on all responding members
    grant claims of ids issued then or later. It is None until enough peers
    have responded.
    """

    def __init__(self, *, member: ledger.Member) -> None:
        self._member = member
        self._needs_first_copy = True
        self._has_history = False
        self._earlier_lists: tuple[tuple[str, ...], ...] = ()
        self.votes_from_s: float | None = None

    @property
    def is_done(self) -> bool:
        """Return whether the member has nothing left to copy."""
        return self._member.may_grant and self._has_history

    def adopt(self, epoch: int, members: tuple[str, ...]) -> bool:
        """Adopt a newer list of members; return whether it changed."""
        member = self._member
        if epoch <= member.epoch:
            return False
        member.epoch = epoch
        if members == member.members:
            return False
        self._earlier_lists = (*self._earlier_lists, member.members)
        member.members = members
        member.may_grant = False
        self._has_history = False
        return True

    def peers(self) -> tuple[str, ...]:
        """Return the hosts to copy from, without the member itself."""
        names = set(self._member.members).union(*self._earlier_lists)
        return tuple(sorted(names - {self._member.name}))

    def copy_request(
        self, after: tuple[str, str] | None
    ) -> messages.CopyRequest:
        """Return the request for the part that follows ``after``."""
        member = self._member
        return messages.CopyRequest(
            region=member.region,
            epoch=member.epoch,
            members=member.members,
            incarnation=member.incarnation,
            after=after,
        )

    def copy_response(
        self, sender: str, request: messages.CopyRequest, *, now_s: float
    ) -> messages.CopyResponse:
        """Adopt the list of the sender and return one part of registers.

        Also records the incarnation of the sender.
        """
        member = self._member
        self.adopt(request.epoch, request.members)
        member.record_incarnation(sender, request.incarnation)
        selected = member.list_registers(
            now_s=now_s, after=request.after, count=REGISTERS_PER_PART + 1
        )
        return messages.CopyResponse(
            member=member.name,
            epoch=member.epoch,
            members=member.members,
            incarnation=member.incarnation,
            view={**member.peer_incarnations, member.name: member.incarnation},
            blind_before_s=member.history_start_s,
            settled=member.may_grant,
            previous=self._earlier_lists,
            registers=selected[:REGISTERS_PER_PART],
            last=len(selected) <= REGISTERS_PER_PART,
        )

    def finish_round(self, sources: list[Source], *, now_s: float) -> None:
        """Apply one round of responses and decide if the member may grant."""
        member = self._member
        for source in sources:
            self._merge_source(source, now_s=now_s)
        usable = [
            source
            for source in sources
            if source.last.epoch >= member.epoch
            and all(p.incarnation == source.incarnation for p in source.parts)
        ]
        same_list = [s for s in usable if s.last.members == member.members]
        self._apply_same_list(same_list)
        self._drop_copied_lists(usable)
        if not self._earlier_lists and not self._needs_first_copy:
            member.may_grant = True
        self._extend_history([s for s in same_list if s.last.settled])

    def _merge_source(self, source: Source, *, now_s: float) -> None:
        member = self._member
        for part in source.parts:
            for register in part.registers:
                member.merge(register, now_s=now_s)
            for name, incarnation in part.view.items():
                member.record_incarnation(name, incarnation)
        known = max(p.view.get(member.name, 0) for p in source.parts)
        if known > member.incarnation:
            # After the clock was set back, the incarnation of this start
            # would be lower than an earlier one.
            member.incarnation = known + 1

    def _apply_same_list(self, same_list: list[Source]) -> None:
        """Record the earlier lists that peers report, and their history."""
        member = self._member
        known = {item for source in same_list for item in source.last.previous}
        known -= {member.members}
        self._earlier_lists = tuple(sorted({*self._earlier_lists, *known}))
        needed = quorums.copy_quorum(len(member.members))
        if not self._needs_first_copy or len(same_list) < needed:
            return
        self._needs_first_copy = False
        history_starts_s = [
            s.last.blind_before_s for s in same_list if s.last.settled
        ]
        if history_starts_s:
            # A settled peer has copied the grants of the earlier lists, back
            # to the start of its own history.
            member.history_start_s = max(
                member.history_start_s, min(history_starts_s)
            )

    def _drop_copied_lists(self, usable: list[Source]) -> None:
        """Drop the earlier lists of which a majority has responded."""
        member = self._member
        responded = {source.name: source for source in usable}
        for earlier in self._earlier_lists:
            sources = [
                responded[name] for name in earlier if name in responded
            ]
            count = len(sources) + (member.name in earlier)
            if count < quorums.majority(len(earlier)):
                continue
            self._earlier_lists = tuple(
                p for p in self._earlier_lists if p != earlier
            )
            history_starts_s = [
                source.last.blind_before_s for source in sources
            ]
            member.history_start_s = max(
                [member.history_start_s, *history_starts_s]
            )

    def _extend_history(self, settled: list[Source]) -> None:
        """Move the start of the history back to that of enough peers."""
        member = self._member
        if not member.may_grant:
            return
        needed = quorums.copy_quorum(len(member.members))
        if len(settled) < needed:
            return
        self._has_history = True
        history_starts_s = sorted(
            source.last.blind_before_s for source in settled
        )
        if needed > 0:
            member.history_start_s = min(
                member.history_start_s, history_starts_s[needed - 1]
            )
        self.votes_from_s = max([member.history_start_s, *history_starts_s])
