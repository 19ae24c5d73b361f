"""Hold the callers that wait for the replicated log."""

import asyncio
import dataclasses

from skylarkpitch import errors
from skylarkpitch import sentinels

__all__ = ['PendingRequests']


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _Proposal:
    term: int
    future: asyncio.Future


class PendingRequests:
    """Proposals by index, and questions by their future."""

    def __init__(self) -> None:
        self._proposals: dict[int, _Proposal] = {}
        self._reads: set[asyncio.Future] = set()

    def add_proposal(
        self, index: int, *, term: int, future: asyncio.Future
    ) -> None:
        """Wait for the entry that was appended at an index in a term."""
        self._proposals[index] = _Proposal(term=term, future=future)

    def add_read(self, future: asyncio.Future) -> None:
        """Wait for the answer to a question."""
        self._reads.add(future)
        future.add_done_callback(self._reads.discard)

    def complete_proposal(
        self, index: int, *, term: int, result: object | Exception
    ) -> None:
        """Answer the proposal at an index with what was applied there.

        When the entry applied is of another term, the proposed one was
        replaced and never will be committed.
        """
        proposal = self._proposals.pop(index, None)
        if proposal is None or proposal.future.done():
            return
        if proposal.term != term:
            proposal.future.set_exception(
                errors.NotLeaderError(
                    'another leader replaced this change before it was '
                    'committed; send it again',
                    leader=None,
                )
            )
        elif isinstance(result, Exception):
            proposal.future.set_exception(result)
        else:
            proposal.future.set_result(result)

    def fail_other_terms(self, term: int | None) -> None:
        """Give up the proposals of other terms; their outcome is unknown."""
        for index, proposal in list(self._proposals.items()):
            if proposal.term == term:
                continue
            del self._proposals[index]
            if not proposal.future.done():
                proposal.future.set_exception(
                    errors.UncertainError(
                        'the leader changed before this change was '
                        'committed; send it again with the same operation id'
                    )
                )

    def fail_other_reads(
        self, asked: set[object], *, leader: str | None
    ) -> None:
        """Give up the questions that the core no longer asks."""
        for future in self._reads - asked:
            if not future.done():
                future.set_result(sentinels.Absent('not_leader', leader or ''))

    def fail_all(self) -> None:
        """Give everything up."""
        self.fail_other_terms(None)
        self.fail_other_reads(set(), leader=None)
